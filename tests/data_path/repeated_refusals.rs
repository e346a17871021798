//! Refusals that a faulty target writes once more on a kept connection prove nothing about the next
//! request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::cluster::{Cluster, outcome};

const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nlaburnum-outcome: not-run\r\ncontent-length: 0\r\n";

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// When the target repeats an earlier refusal, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Repeat {
    /// Together with an answer, before the next request.
    WithAnswer,
    /// While the connection is idle.
    WhenIdle,
    /// In place of the answer to the next request, which it runs, without naming a request.
    Unnamed,
    /// The same, with the id of an earlier request.
    Named,
    /// Together with the refusal itself.
    Twice,
}

/// A target that answers the first request, and repeats a refusal on the connection.
struct Faulty {
    repeat: Repeat,
    /// Requests that it began to run.
    runs: AtomicU32,
}

impl Faulty {
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let this = self.clone();
            tokio::spawn(async move { this.serve_connection(stream).await });
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> Option<()> {
        let refusal = format!("{REFUSAL}\r\n");
        read_head(&mut stream).await?;
        let first = match self.repeat {
            Repeat::WithAnswer => format!("{ANSWER}{refusal}"),
            Repeat::Twice => format!("{refusal}{refusal}"),
            _ => ANSWER.to_owned(),
        };
        if self.repeat != Repeat::Twice {
            self.runs.fetch_add(1, Ordering::SeqCst);
        }
        stream.write_all(first.as_bytes()).await.ok()?;
        if self.repeat == Repeat::WhenIdle {
            tokio::time::sleep(Duration::from_millis(30)).await;
            stream.write_all(refusal.as_bytes()).await.ok()?;
        }
        read_head(&mut stream).await?;
        self.runs.fetch_add(1, Ordering::SeqCst);
        let copy = match self.repeat {
            Repeat::Named => format!("{REFUSAL}laburnum-request-id: 7\r\n\r\n"),
            _ => refusal,
        };
        stream.write_all(copy.as_bytes()).await.ok()?;
        tokio::time::sleep(Duration::from_millis(50)).await;
        stream.write_all(ANSWER.as_bytes()).await.ok()
    }
}

/// Reads the head of a request; none at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(())
}

async fn open(repeat: Repeat) -> (Cluster, Arc<Faulty>) {
    let cluster = Cluster::open().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let runs = AtomicU32::new(0);
    let faulty = Arc::new(Faulty { repeat, runs });
    tokio::spawn(faulty.clone().serve(listener));
    cluster.replace_target(addr).await;
    (cluster, faulty)
}

/// Guards against "not run, try again" for a request that the target runs, and against a second run
/// of it.
#[tokio::test]
async fn repeated_in_place_of_answer() {
    for repeat in [Repeat::Unnamed, Repeat::Named] {
        let (cluster, faulty) = open(repeat).await;
        let first = cluster.send(Request::post("/bake")).await;
        assert_eq!(first.status(), 200, "{repeat:?}");
        let second = cluster.send(Request::post("/bake")).await;
        assert_eq!(outcome(&second), ("unknown", "crossed"), "{repeat:?}");
        assert_eq!(faulty.runs.load(Ordering::SeqCst), 2, "{repeat:?}");
    }
}

/// Guards against a copy that is taken for the response to the next request on the connection.
#[tokio::test]
async fn repeated_before_next_request() {
    for repeat in [Repeat::WithAnswer, Repeat::WhenIdle] {
        let (cluster, faulty) = open(repeat).await;
        for run in 1..=5 {
            let response = cluster.send(Request::post("/bake")).await;
            assert_eq!(outcome(&response).0, "answer", "{repeat:?}, run {run}");
            assert_eq!(response.body(), "done");
            assert_eq!(faulty.runs.load(Ordering::SeqCst), run, "{repeat:?}");
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }
}

/// Guards against a connection that is kept after a refusal, on which the target may repeat it.
#[tokio::test]
async fn refused_connection_is_closed() {
    let (cluster, faulty) = open(Repeat::Twice).await;
    for _ in 0..5 {
        let response = cluster.send(Request::post("/bake")).await;
        assert_eq!(outcome(&response).0, "not-run");
    }
    assert_eq!(faulty.runs.load(Ordering::SeqCst), 0);
}
