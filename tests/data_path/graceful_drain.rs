//! A draining node aborts no requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use laburnumtide::node::Limits;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{Cluster, KEY, TEST_TIMEOUT, eventually, outcome};

fn limits() -> Limits {
    Limits {
        drain_grace: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// Sends requests until `stop` and counts responses; anything but a complete response or a "not
/// run" refusal fails the test.
async fn load(cluster: &Cluster, stop: &AtomicBool, served: &AtomicU32) {
    while !stop.load(Ordering::SeqCst) {
        let response = cluster.get("/bake?bytes=5000&gap_ms=2&delay_ms=10").await;
        match outcome(&response) {
            ("answer", _) => {
                assert_eq!(response.body().len(), 5_000);
                served.fetch_add(1, Ordering::SeqCst);
            }
            ("not-run", _) => tokio::time::sleep(Duration::from_millis(5)).await,
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against an egress that stops while requests of other nodes are in flight at its targets.
#[tokio::test]
async fn draining_egress_aborts_no_request() {
    let Cluster {
        front,
        back,
        target,
        fresh,
        back_fresh,
        limiter,
        records,
    } = Cluster::with(limits(), 7, Duration::ZERO).await;
    let spare = crate::cluster::node(&limits(), &fresh, &limiter, &records).await;
    let cluster = Cluster {
        front,
        back: spare,
        target,
        fresh,
        back_fresh,
        limiter,
        records,
    };
    let (stop, served) = (AtomicBool::new(false), AtomicU32::new(0));
    let callers = (0..8).map(|_| load(&cluster, &stop, &served));
    let drain = async {
        eventually("requests are served", || served.load(Ordering::SeqCst) > 50).await;
        back.drain().await;
        assert_eq!(cluster.target.running().0, 0);
        stop.store(true, Ordering::SeqCst);
    };
    tokio::join!(futures::future::join_all(callers), drain);
    assert!(cluster.runs().iter().all(|run| run.finished));
}

/// Guards against an ingress that stops while its callers wait, also for slow responses.
#[tokio::test]
async fn draining_ingress_aborts_no_request() {
    let cluster = Arc::new(Cluster::with(limits(), 7, Duration::ZERO).await);
    let long = cluster.clone();
    let long = tokio::spawn(async move { long.get("/bulk?delay_ms=1500&bytes=9").await });
    eventually("the long request runs", || cluster.target.running().0 == 1).await;
    let caller = cluster.front.caller_addr();
    let admin = cluster.front.admin_addr();
    let (stop, served) = (AtomicBool::new(false), AtomicU32::new(0));
    let ready = async |path: &str| {
        let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        crate::cluster::raw(admin, text.as_bytes()).await
    };
    assert!(ready("/ready").await.starts_with("HTTP/1.1 200"));
    let callers = (0..8).map(|_| load(&cluster, &stop, &served));
    let drain = async {
        cluster.front.begin_drain();
        let response = ready("/ready").await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(ready("/live").await.starts_with("HTTP/1.1 200"));
        let refused = async || {
            let response = cluster.get("/bake").await;
            outcome(&response) == ("not-run", "draining")
        };
        while !refused().await {}
        stop.store(true, Ordering::SeqCst);
    };
    tokio::join!(futures::future::join_all(callers), drain);
    assert_eq!(outcome(&long.await.unwrap()).0, "answer");
    let cluster = Arc::into_inner(cluster).expect("every caller is done");
    cluster.front.drain().await;
    assert!(std::net::TcpStream::connect(caller).is_err());
    assert!(cluster.target.runs().iter().all(|run| run.finished));
}

/// Guards against new requests at a draining target, sent by a node that doesn't know of the drain.
#[tokio::test]
async fn draining_target_gets_no_new_requests() {
    let cluster = Cluster::open().await;
    let other = crate::cluster::target(&cluster.back, "oven-2", 7, Duration::ZERO).await;
    cluster.connect(2).await;
    let long = cluster.get("/bulk?delay_ms=3000");
    let leave = async {
        eventually("the long request runs", || {
            cluster.target.running().0 + other.running().0 == 1
        })
        .await;
        let (leaving, staying) = match cluster.target.running().0 {
            1 => (&cluster.target, &other),
            _ => (&other, &cluster.target),
        };
        leaving.drain();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = leaving.runs().len();
        for _ in 0..30 {
            assert_eq!(outcome(&cluster.get("/bake").await).0, "answer");
        }
        assert_eq!(leaving.runs().len(), before);
        assert_eq!(staying.runs().len(), 30);
    };
    let (long, ()) = tokio::join!(long, leave);
    assert_eq!(outcome(&long).0, "answer");
}

/// Guards against a request that is sent on although its body arrives after the node has stopped to
/// take requests.
#[tokio::test]
async fn late_body_is_not_run() {
    let cluster = Cluster::with(limits(), 7, Duration::ZERO).await;
    cluster.front.begin_drain();
    let mut stream = TcpStream::connect(cluster.front.caller_addr())
        .await
        .unwrap();
    let head = format!(
        "POST /bake HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .unwrap()
        .unwrap();
    assert!(response.contains("laburnum-reason: draining"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert_eq!(cluster.runs().len(), 0);
}

/// Guards against callers whose connection is closed without a response at the limit of a drain, and
/// against a drain that takes longer than its limit.
#[tokio::test]
async fn drain_limit_answers() {
    let limits = Limits {
        drain_grace: Duration::from_millis(100),
        drain_max: Duration::from_millis(500),
        ..Limits::default()
    };
    let cluster = Arc::new(Cluster::with(limits, 1, Duration::ZERO).await);
    let send = |path: &'static str| {
        let cluster = cluster.clone();
        tokio::spawn(async move { cluster.get(path).await })
    };
    let running = send("/bulk?fault=hang");
    eventually("the request runs", || cluster.target.running().0 == 1).await;
    let queued = send("/bulk?bytes=1");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let start = Instant::now();
    cluster.front.drain().await;
    assert!(
        start.elapsed() < Duration::from_millis(900),
        "{:?}",
        start.elapsed()
    );
    for request in [running, queued] {
        let response = request.await.expect("a response arrives");
        assert_eq!(outcome(&response), ("unknown", "draining"));
    }
}
