//! Responses without an end, in the head or the body, are no response and cost only so much.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::Request;
use laburnumtide::node::Limits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::cluster::{Cluster, KEY, TEST_TIMEOUT, outcome};

/// Limit on a response body in these tests.
const RESPONSE_BYTES: u64 = 1024 * 1024;

/// What a target may send beyond a limit: the socket buffers and windows between it and the caller.
const BUFFERED_BYTES: u64 = 16 * 1024 * 1024;

/// Time after the end of a request in which its connection to the target must be closed.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// A target that never ends its response.
struct EndlessTarget {
    sent: Arc<AtomicU64>,
    closed: Arc<AtomicBool>,
}

impl EndlessTarget {
    /// Replaces the cluster's target by one that sends `start`, and then `part` again and again.
    async fn open(cluster: &Cluster, start: &'static [u8], part: &'static [u8]) -> EndlessTarget {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = EndlessTarget {
            sent: Arc::default(),
            closed: Arc::default(),
        };
        let (sent, closed) = (target.sent.clone(), target.closed.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.read(&mut [0; 4_096]).await;
                let mut part_sent = stream.write_all(start).await;
                while part_sent.is_ok() {
                    part_sent = stream.write_all(part).await;
                    sent.fetch_add(part.len() as u64, Ordering::SeqCst);
                }
                closed.store(true, Ordering::SeqCst);
            }
        });
        cluster.replace_target(address).await;
        target
    }

    /// Waits until the node has closed its connection, and returns the number of bytes sent.
    async fn closed(&self) -> u64 {
        let start = Instant::now();
        while !self.closed.load(Ordering::SeqCst) {
            assert!(start.elapsed() < CLOSE_TIME, "the connection is still open");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.sent.load(Ordering::SeqCst)
    }
}

async fn cluster() -> Cluster {
    let limits = Limits {
        response_bytes: RESPONSE_BYTES,
        ..Limits::default()
    };
    Cluster::with(limits, 7, Duration::ZERO).await
}

/// Sends a request and returns everything that arrives until the node closes the connection.
async fn read_response(cluster: &Cluster, path: &str, headers: &str) -> Vec<u8> {
    let addr = cluster.front.caller_addr();
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n{headers}\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(TEST_TIMEOUT, read).await.unwrap();
    response
}

/// Guards against a head without an end that is buffered or waited for until the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn endless_headers_are_read() {
    let cluster = cluster().await;
    let target = EndlessTarget::open(&cluster, b"HTTP/1.1 200 OK\r\n", b"x-more: 0123\r\n").await;
    let response = cluster.send(Request::post("/bake")).await;
    assert_eq!(outcome(&response), ("unknown", "target-error"));
    assert!(target.closed().await < BUFFERED_BYTES);
}

/// Guards against a header line without an end that is buffered.
#[tokio::test(flavor = "multi_thread")]
async fn endless_line_is_read() {
    let cluster = cluster().await;
    let target =
        EndlessTarget::open(&cluster, b"HTTP/1.1 200 OK\r\nx-more: ", &[b'a'; 1_024]).await;
    let response = cluster.send(Request::post("/bake")).await;
    assert_eq!(outcome(&response), ("unknown", "target-error"));
    assert!(target.closed().await < BUFFERED_BYTES);
}

/// Guards against interim responses without an end that are read beyond the request's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn interim_heads_never_end() {
    let cluster = cluster().await;
    let part = b"HTTP/1.1 100 Continue\r\n\r\n";
    let target = EndlessTarget::open(&cluster, b"", part).await;
    let start = Instant::now();
    let response = cluster.send(Request::post("/brief")).await;
    assert_eq!(outcome(&response).0, "unknown");
    assert!(start.elapsed() < CLOSE_TIME);
    target.closed().await;
}

/// Guards against a body without an end that takes the links of two VMs for as long as the caller
/// reads.
#[tokio::test(flavor = "multi_thread")]
async fn endless_chunks_pass() {
    let cluster = cluster().await;
    let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let target = EndlessTarget::open(&cluster, start, b"8\r\n01234567\r\n").await;
    let response = read_response(&cluster, "/bake", "").await;
    assert!(
        (response.len() as u64) < 3 * RESPONSE_BYTES,
        "{} bytes",
        response.len()
    );
    assert!(!response.ends_with(b"0\r\n\r\n"), "the body looks complete");
    assert!(target.closed().await < BUFFERED_BYTES);
}

/// Guards against a body of a stated size above the limit that is passed on.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_body_passes() {
    let cluster = cluster().await;
    let start = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n";
    let target = EndlessTarget::open(&cluster, start, &[b'a'; 1_024]).await;
    let response = read_response(&cluster, "/bake", "").await;
    assert!(
        (response.len() as u64) < RESPONSE_BYTES,
        "{} bytes",
        response.len()
    );
    assert!(target.closed().await < BUFFERED_BYTES);
}

/// Guards against a slow body without an end that is passed on after the caller's wait has ended.
#[tokio::test(flavor = "multi_thread")]
async fn caller_waits_forever() {
    let cluster = Cluster::open().await;
    let start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let target = EndlessTarget::open(&cluster, start, b"8\r\n01234567\r\n").await;
    let begin = Instant::now();
    let response = read_response(&cluster, "/bake", "laburnum-timeout-ms: 300\r\n").await;
    assert!(begin.elapsed() < Duration::from_millis(300) + CLOSE_TIME);
    assert!(!response.ends_with(b"0\r\n\r\n"), "the body looks complete");
    target.closed().await;
}
