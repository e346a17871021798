//! Streaming of bodies with backpressure, size limits and timeouts.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use laburnumtide::node::Limits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{Cluster, KEY, TEST_TIMEOUT, eventually};

const MIB: u64 = 1024 * 1024;

/// Sends a request and returns the response with its body unread.
async fn start<B>(cluster: &Cluster, request: Request<B>) -> http::Response<Incoming>
where
    B: http_body::Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    let stream = TcpStream::connect(cluster.front.caller_addr())
        .await
        .unwrap();
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
    tokio::spawn(connection);
    sender.send_request(request).await.unwrap()
}

fn request(method: &str, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "front")
        .header("authorization", format!("Bearer {KEY}"))
}

/// Environment variable set in the process that measures its memory.
const ALONE: &str = "LABURNUM_TEST_ALONE";

/// Returns the peak memory use of this process in bytes.
fn peak_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib * 1024
}

/// Guards against a node that buffers complete bodies in memory, in either direction.
#[tokio::test]
async fn large_bodies_stream() {
    // Peak memory is that of the process, so the test runs alone in a process of its own.
    if std::env::var_os(ALONE).is_none() {
        let test = "body_limits::large_bodies_stream";
        let program = std::env::current_exe().unwrap();
        let mut alone = tokio::process::Command::new(program);
        let output = alone.args(["--exact", test]).env(ALONE, "1").output().await;
        let output = output.unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(
            output.status.success() && text.contains("1 passed"),
            "{text}"
        );
        return;
    }
    let cluster = Cluster::open().await;
    let before = peak_memory();
    let parts = futures::stream::iter(0..256 * 16)
        .map(|_| Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'b'; 64 * 1024]))));
    let path = format!("/bulk?bytes={}", 256 * MIB);
    let request = request("POST", &path).body(StreamBody::new(parts)).unwrap();
    let mut body = start(&cluster, request).await.into_body();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        read += frame.unwrap().data_ref().map_or(0, Bytes::len) as u64;
    }
    assert_eq!(read, 256 * MIB);
    assert_eq!(cluster.runs()[0].bytes, 256 * MIB);
    let grown = peak_memory() - before;
    assert!(grown < 64 * MIB, "memory grew by {} MiB", grown / MIB);
}

/// Guards against a node that reads ahead from the target without limit for a slow reader.
#[tokio::test]
async fn slow_reader_applies_backpressure() {
    let cluster = Cluster::open().await;
    let path = format!("/bulk?bytes={}", 256 * MIB);
    let request = request("GET", &path)
        .body(http_body_util::Empty::new())
        .unwrap();
    let mut response = start(&cluster, request).await;
    response.body_mut().frame().await.unwrap().unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!cluster.runs()[0].finished);
    assert!(!cluster.runs()[0].cancelled);
    drop(response);
    eventually("the run is cancelled", || cluster.runs()[0].cancelled).await;
}

fn raw_head(lines: &str) -> String {
    format!("POST /bake HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n{lines}\r\n\r\n")
}

#[tokio::test]
async fn oversized_content_length_is_refused() {
    let cluster = Cluster::open().await;
    let response = cluster
        .raw(raw_head("content-length: 100001").as_bytes())
        .await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.contains("laburnum-outcome: not-run"), "{response}");
    assert_eq!(cluster.runs().len(), 0);
    assert_eq!(cluster.admitted(), 0);
}

/// Guards against a refusal that closes the connection although the rest of the body is short.
#[tokio::test]
async fn short_refused_body_keeps_the_connection() {
    let cluster = Cluster::open().await;
    let refused = "POST /bake HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
    let last = raw_head("content-length: 0\r\nconnection: close");
    let response = cluster
        .raw(format!("{refused}{refused}{last}").as_bytes())
        .await;
    assert_eq!(
        response.matches("laburnum-reason: no-key").count(),
        2,
        "{response}"
    );
    assert_eq!(response.matches("HTTP/1.1 200").count(), 1, "{response}");
}

/// Guards against a chunked body that exceeds the limit of its route.
#[tokio::test]
async fn oversized_chunked_body_is_aborted() {
    let cluster = Cluster::open().await;
    let mut text = raw_head("transfer-encoding: chunked");
    let chunk = format!("{:x}\r\n{}\r\n", 10_000, "c".repeat(10_000));
    text.push_str(&chunk.repeat(11));
    text.push_str("0\r\n\r\n");
    let response = cluster.raw(text.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(
        response.contains("laburnum-reason: body-too-large"),
        "{response}"
    );
    assert!(response.contains("laburnum-outcome: unknown"), "{response}");
    eventually("the run is cancelled", || {
        cluster.runs().iter().all(|run| run.cancelled)
    })
    .await;
}

/// Guards against a caller that occupies a slot by not sending the rest of its body.
#[tokio::test]
async fn slow_body_times_out() {
    let limits = Limits {
        body_time: Duration::from_millis(200),
        ..Limits::default()
    };
    let cluster = Cluster::with(limits, 1, Duration::ZERO).await;
    let mut stream = TcpStream::connect(cluster.front.caller_addr())
        .await
        .unwrap();
    let text = raw_head("content-length: 10") + "abc";
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .unwrap()
        .unwrap();
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    assert!(response.contains("laburnum-outcome: unknown"), "{response}");
    eventually("the slot is free", || cluster.target.running().0 == 0).await;
}

/// Guards against a caller that occupies a slot by not reading its response.
#[tokio::test]
async fn stalled_reader_times_out() {
    let limits = Limits {
        write_time: Duration::from_millis(200),
        ..Limits::default()
    };
    let cluster = Cluster::with(limits, 1, Duration::ZERO).await;
    let path = format!("/bulk?bytes={}", 256 * MIB);
    let request = request("GET", &path).body(http_body_util::Empty::new());
    let response = start(&cluster, request.unwrap()).await;
    eventually("the run is cancelled", || cluster.runs()[0].cancelled).await;
    drop(response);
}
