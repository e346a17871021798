//! A response whose head breaks off is no response.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};

use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::cluster::{Cluster, KEY, outcome};

/// Complete responses, one for each framing; the last one ends with its connection.
const RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx-mark: a\r\n\r\nthe response",
    "HTTP/1.1 200 OK\r\nx-mark: a\r\ntransfer-encoding: chunked\r\n\r\nc\r\nthe response\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-mark: a\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-mark: a\r\n\r\nthe response",
];

/// The response to requests that succeed.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nwhole";

/// A target that sends only the first bytes of its responses and closes the connection.
struct Cutting {
    response: &'static str,
    length: AtomicUsize,
    runs: AtomicU32,
}

impl Cutting {
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let this = self.clone();
            tokio::spawn(async move { this.serve_connection(stream).await });
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        let length = self.length.load(Ordering::SeqCst);
        let sent = match head.starts_with(b"POST /bake?whole ") {
            true => WHOLE.as_bytes(),
            false => &self.response.as_bytes()[..length],
        };
        stream.write_all(sent).await?;
        stream.shutdown().await
    }
}

/// Guards against a 200 with an empty or short body, framed as complete, for a response whose head
/// or body breaks off after any byte, and against a second run of the request.
#[tokio::test]
async fn cut_at_any_byte() {
    for response in RESPONSES {
        let cluster = Cluster::open().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let cutting = Arc::new(Cutting {
            response,
            length: AtomicUsize::new(0),
            runs: AtomicU32::new(0),
        });
        tokio::spawn(cutting.clone().serve(listener));
        cluster.replace_target(addr).await;
        let head = response.find("\r\n\r\n").unwrap() + 4;
        for length in 0..head {
            cutting.length.store(length, Ordering::SeqCst);
            let runs = cutting.runs.load(Ordering::SeqCst);
            let received = cluster.send(Request::post("/bake")).await;
            assert!(
                !received.status().is_success(),
                "{length} bytes of {response:?}"
            );
            assert_eq!(
                outcome(&received).0,
                "unknown",
                "{length} bytes of {response:?}"
            );
            let runs = cutting.runs.load(Ordering::SeqCst) - runs;
            assert_eq!(runs, 1, "{length} bytes of {response:?}");
            succeed(&cluster).await;
        }
        for length in head..response.len() {
            cutting.length.store(length, Ordering::SeqCst);
            let request = format!(
                "POST /bake HTTP/1.1\r\nhost: front\r\nauthorization: Bearer {KEY}\r\n\
                 content-length: 0\r\nconnection: close\r\n\r\n"
            );
            let runs = cutting.runs.load(Ordering::SeqCst);
            let received = cluster.raw(request.as_bytes()).await;
            assert_eq!(cutting.runs.load(Ordering::SeqCst), runs + 1);
            assert!(
                !is_complete(&received),
                "{length} bytes of {response:?}: {received}"
            );
            succeed(&cluster).await;
        }
    }
}

/// Sends requests that succeed, so that the target's circuit breaker stays closed.
async fn succeed(cluster: &Cluster) {
    for _ in 0..2 {
        let response = cluster.send(Request::post("/bake?whole")).await;
        assert_eq!(outcome(&response).0, "answer");
    }
}

/// Returns true if `received` is a complete success.
fn is_complete(received: &str) -> bool {
    let Some((head, body)) = received.split_once("\r\n\r\n") else {
        return false;
    };
    let stated = head.lines().find_map(|line| {
        let value = line.strip_prefix("content-length: ")?;
        value.parse::<usize>().ok()
    });
    let is_whole = match stated {
        Some(length) => body.len() >= length,
        None => !head.contains("chunked") || body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("HTTP/1.1 200") && is_whole
}
