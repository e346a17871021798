//! A withdrawn key stops working for connected callers and for streams in progress.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::site::{KEY, PATIENCE, Site, config, config_without_key, eventually};

/// Seconds within which a withdrawn key must not be of any use.
const WITHDRAWAL: Duration = Duration::from_secs(5);

async fn open_stream(site: &Site, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.front.caller_addr()).await.unwrap();
    let request =
        format!("GET {path} HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    // An abort may show as a reset after the bytes that came before it.
    let _ = tokio::time::timeout(PATIENCE, read).await.unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a stream that goes on after its key was withdrawn.
#[tokio::test]
async fn stream_ends_with_its_key() {
    let site = Site::open().await;
    let stream = open_stream(&site, "/bulk?bytes=1000000000&gap_ms=5&chunked=1").await;
    eventually("the stream runs", || site.target.running().0 == 1).await;
    let start = Instant::now();
    site.front.active_config().store(config_without_key());
    let answer = read_to_end(stream).await;
    assert!(start.elapsed() < WITHDRAWAL);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"));
    eventually("the run is cancelled", || site.runs()[0].cancelled).await;
}

/// Guards against a stalled stream that is not polled and so misses the withdrawal.
#[tokio::test]
async fn waiting_request_ends_with_its_key() {
    let site = Site::open().await;
    let stream = open_stream(&site, "/bulk?fault=hang").await;
    eventually("the request runs", || site.target.running().0 == 1).await;
    site.front.active_config().store(config_without_key());
    let mut stream = stream;
    let mut first = [0; 12];
    stream.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 401");
    eventually("the run is cancelled", || site.runs()[0].cancelled).await;
}

/// Guards against a kept connection that is authenticated only once.
#[tokio::test]
async fn kept_connection_is_checked_anew() {
    let site = Site::open().await;
    let mut stream = open_stream(&site, "/bake?bytes=0").await;
    let mut buffer = [0; 4_096];
    let size = stream.read(&mut buffer).await.unwrap();
    assert!(buffer[..size].starts_with(b"HTTP/1.1 200"));
    site.front.active_config().store(config_without_key());
    let request =
        format!("GET /bake HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let size = stream.read(&mut buffer).await.unwrap();
    assert!(buffer[..size].starts_with(b"HTTP/1.1 401"));
    assert_eq!(site.runs().len(), 1);
}

/// Guards against a stream on a node that can no longer learn of a withdrawal.
#[tokio::test]
async fn stream_ends_on_a_stale_node() {
    let site = Site::open().await;
    let stream = open_stream(&site, "/bulk?bytes=1000000000&gap_ms=5").await;
    eventually("the stream runs", || site.target.running().0 == 1).await;
    site.fresh.set(false);
    let start = Instant::now();
    read_to_end(stream).await;
    assert!(start.elapsed() < WITHDRAWAL);
}

/// Guards against a change of the configuration that cuts streams whose key is still valid.
#[tokio::test]
async fn stream_outlives_other_changes() {
    let site = Site::open().await;
    let stream = open_stream(&site, "/bulk?bytes=200000&gap_ms=20&chunked=1").await;
    eventually("the stream runs", || site.target.running().0 == 1).await;
    for _ in 0..10 {
        site.front.active_config().store(config());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    eventually("the run ends", || site.runs()[0].finished).await;
    drop(stream);
}

/// Guards against a withdrawal that is undone by an older configuration that arrives late.
#[tokio::test]
async fn older_configuration_is_ignored() {
    let site = Site::open().await;
    site.front.active_config().store(config_without_key());
    site.front.active_config().store(config());
    let response = site.get("/bake").await;
    assert_eq!(response.status(), 401);
}
