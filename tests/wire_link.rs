//! Links reject unauthenticated peers, and calls get their own responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use laburnumtide::prelude::*;
use laburnumtide::wire::{
    Channel, Handler, Hello, Peer, Protocol, Role, Secret, accept, connect, serve_frames,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Echo;

impl Handler for Echo {
    async fn handle(&self, _: Hello, channel: Channel, payload: Bytes) -> Result<Bytes> {
        match channel {
            // Responses are reordered: the first byte is the delay in milliseconds.
            Channel::Gossip => {
                tokio::time::sleep(Duration::from_millis(u64::from(payload[0]))).await;
                Ok(payload)
            }
            Channel::Limit => std::future::pending().await,
            _ => Err(Error::invalid("not served")),
        }
    }
}

fn secret(text: &str) -> Secret {
    Secret::new(text.as_bytes()).unwrap()
}

fn hello(id: u64) -> Hello {
    Hello {
        role: Role::Node,
        id,
        protocol: Protocol::Frames,
    }
}

async fn spawn_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let link = accept(stream, &secret("0123456789abcdef"), hello(1)).await?;
                serve_frames(link, Arc::new(Echo)).await
            });
        }
    });
    addr
}

/// Guards against responses that are delivered to the wrong caller when they arrive out of order.
#[tokio::test]
async fn out_of_order_responses() {
    let addr = spawn_server().await;
    let peer = Peer::new(addr, secret("0123456789abcdef"), hello(2));
    let calls = (0..50u8).rev().map(|i| {
        let peer = peer.clone();
        async move {
            let sent = Bytes::from(vec![i, i]);
            let received = peer.call(Channel::Gossip, sent.clone(), TIMEOUT).await;
            assert_eq!(received.unwrap(), sent);
        }
    });
    futures::future::join_all(calls).await;
}

/// Guards against serving a peer without the fleet secret, on either side.
#[tokio::test]
async fn wrong_secret() {
    let addr = spawn_server().await;
    let error = connect(addr, &secret("another-secret-here"), hello(2))
        .await
        .unwrap_err();
    assert_eq!(error.category(), Category::Denied);
}

/// Guards against allocating or responding to a long message of an unauthenticated peer.
#[tokio::test]
async fn unauthenticated_bytes() {
    let addr = spawn_server().await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(&[0xff; 600]).await.unwrap();
    let mut received = Vec::new();
    // A connection reset counts as closed too.
    let _ = stream.read_to_end(&mut received).await;
    assert!(received.is_empty());
}

/// Guards against a call without a response that hangs forever, and against a link that stays
/// unusable after it.
#[tokio::test]
async fn call_timeouts() {
    let addr = spawn_server().await;
    let peer = Peer::new(addr, secret("0123456789abcdef"), hello(2));
    for _ in 0..4 {
        let call = peer.call(Channel::Limit, Bytes::new(), Duration::from_millis(20));
        assert_eq!(call.await.unwrap_err().category(), Category::Unavailable);
    }
    let sent = Bytes::from_static(&[0]);
    let received = peer
        .call(Channel::Gossip, sent.clone(), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(received, sent);
}

/// Guards against a secret in debug output, and against accepting a secret that is too short.
#[test]
fn secret_redacted() {
    assert_eq!(format!("{:?}", secret("0123456789abcdef")), "Secret(..)");
    assert!(Secret::new(b"  short  ").is_err());
    assert!(secret("0123456789abcdef").matches(b"0123456789abcdef"));
    assert!(!secret("0123456789abcdef").matches(b"0123456789abcdeg"));
}
