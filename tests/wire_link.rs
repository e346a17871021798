//! Links refuse strangers, and calls get their own replies.

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

const LIMIT: Duration = Duration::from_secs(10);

struct Echo;

impl Handler for Echo {
    async fn handle(&self, _: Hello, channel: Channel, payload: Bytes) -> Result<Bytes> {
        match channel {
            // Replies cross on purpose: the first byte is the delay in milliseconds.
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

/// Guards against replies that reach the wrong caller when they arrive in another order.
#[tokio::test]
async fn crossed_replies() {
    let addr = spawn_server().await;
    let peer = Peer::new(addr, secret("0123456789abcdef"), hello(2));
    let calls = (0..50u8).rev().map(|i| {
        let peer = peer.clone();
        async move {
            let sent = Bytes::from(vec![i, i]);
            let got = peer.call(Channel::Gossip, sent.clone(), LIMIT).await;
            assert_eq!(got.unwrap(), sent);
        }
    });
    futures::future::join_all(calls).await;
}

/// Guards against a stranger without the fleet secret being served, on either side.
#[tokio::test]
async fn wrong_secret() {
    let addr = spawn_server().await;
    let error = connect(addr, &secret("another-secret-here"), hello(2))
        .await
        .unwrap_err();
    assert_eq!(error.category(), Category::Denied);
}

/// Guards against a stranger's long message being allocated or answered.
#[tokio::test]
async fn stranger_bytes() {
    let addr = spawn_server().await;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(&[0xff; 600]).await.unwrap();
    let mut answer = Vec::new();
    // A reset counts as closed too.
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty());
}

/// Guards against a call that hangs forever and against a link that stays dead after it.
#[tokio::test]
async fn lost_replies() {
    let addr = spawn_server().await;
    let peer = Peer::new(addr, secret("0123456789abcdef"), hello(2));
    for _ in 0..4 {
        let call = peer.call(Channel::Limit, Bytes::new(), Duration::from_millis(20));
        assert_eq!(call.await.unwrap_err().category(), Category::Unavailable);
    }
    let sent = Bytes::from_static(&[0]);
    let got = peer
        .call(Channel::Gossip, sent.clone(), LIMIT)
        .await
        .unwrap();
    assert_eq!(got, sent);
}

/// Guards against the secret showing up in debug output or being accepted when too short.
#[test]
fn secret_hidden() {
    assert_eq!(format!("{:?}", secret("0123456789abcdef")), "Secret(..)");
    assert!(Secret::new(b"  short  ").is_err());
    assert!(secret("0123456789abcdef").matches(b"0123456789abcdef"));
    assert!(!secret("0123456789abcdef").matches(b"0123456789abcdeg"));
}
