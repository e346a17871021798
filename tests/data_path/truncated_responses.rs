//! Truncated, late or mismatched responses never look like complete responses to a request.

use std::time::{Duration, Instant};

use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::cluster::{Cluster, KEY, header, outcome};

/// Splits a raw response into its head and its body.
fn parts(response: &str) -> (&str, &str) {
    response.split_once("\r\n\r\n").unwrap()
}

fn get(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n\r\n"
    )
}

/// Guards against a truncated response that looks complete to the caller.
#[tokio::test]
async fn truncated_response_is_detectable() {
    let cluster = Cluster::open().await;
    for (bytes, gap) in [(200_000, 1), (200_000, 0), (100, 0)] {
        for fault in ["cut", "wrong-length"] {
            let path = format!("/bulk?fault={fault}&bytes={bytes}&gap_ms={gap}");
            let response = cluster.raw(get(&path).as_bytes()).await;
            let (head, body) = parts(&response);
            let complete =
                head.contains(&format!("content-length: {bytes}")) && body.len() == bytes;
            assert!(!complete, "{fault} {bytes}");
        }
    }
}

/// Guards against a final chunk that the node adds to a truncated response.
#[tokio::test]
async fn truncated_chunks_lack_the_final_chunk() {
    let cluster = Cluster::open().await;
    let path = "/bulk?fault=cut&bytes=200000&chunked=1&gap_ms=1";
    let response = cluster.raw(get(path).as_bytes()).await;
    let (head, body) = parts(&response);
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    assert!(!body.ends_with("0\r\n\r\n"));
    let complete = cluster
        .raw(get("/bulk?bytes=200000&chunked=1").as_bytes())
        .await;
    assert!(complete.ends_with("0\r\n\r\n"));
}

/// Guards against a response that is passed to another request than its own.
#[tokio::test]
async fn mismatched_response_is_rejected() {
    let cluster = Cluster::open().await;
    let response = cluster.send(Request::post("/bake?fault=crossed")).await;
    assert_eq!(outcome(&response), ("unknown", "crossed"));
    assert_eq!(response.status(), 502);
}

/// Guards against a late response that is passed to the next request on the connection.
#[tokio::test]
async fn late_response_is_discarded() {
    let cluster = Cluster::open().await;
    let start = Instant::now();
    let response = cluster
        .send(Request::post("/brief?fault=late&bytes=777"))
        .await;
    assert_eq!(outcome(&response), ("unknown", "timeout"));
    assert!(start.elapsed() < Duration::from_millis(450));
    for bytes in 1..20 {
        let response = cluster.get(&format!("/bake?bytes={bytes}")).await;
        assert_eq!(response.body().len(), bytes);
        let id = header(response.headers(), "laburnum-request-id").to_owned();
        let runs = cluster.runs();
        assert_eq!(runs.iter().filter(|run| run.request == id).count(), 1);
    }
}

/// Guards against a response whose end can't be distinguished from a lost connection.
#[tokio::test]
async fn undelimited_response_is_rejected() {
    let cluster = Cluster::open().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await;
        }
    });
    cluster.replace_target(addr).await;
    let response = cluster.send(Request::post("/bake")).await;
    assert_eq!(outcome(&response), ("unknown", "target-error"));
}
