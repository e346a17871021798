//! A node that leaves cuts no request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use laburnumtide::node::Limits;

use crate::site::{Site, eventually, outcome};

fn limits() -> Limits {
    Limits {
        drain_grace: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// Sends requests until `stop` and counts answers; anything but a whole answer or a refusal that
/// says "not run" fails the test.
async fn load(site: &Site, stop: &AtomicBool, answered: &AtomicU32) {
    while !stop.load(Ordering::SeqCst) {
        let response = site.get("/bake?bytes=5000&gap_ms=2&delay_ms=10").await;
        match outcome(&response) {
            ("answer", _) => {
                assert_eq!(response.body().len(), 5_000);
                answered.fetch_add(1, Ordering::SeqCst);
            }
            ("not-run", _) => tokio::time::sleep(Duration::from_millis(5)).await,
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against a node of targets that stops while requests of other nodes run on it.
#[tokio::test]
async fn leaving_egress_cuts_nothing() {
    let Site {
        front,
        back,
        target,
        fresh,
        back_fresh,
        admits,
        records,
    } = Site::with(limits(), 7, Duration::ZERO).await;
    let spare = crate::site::node(&limits(), &fresh, &admits, &records).await;
    let site = Site {
        front,
        back: spare,
        target,
        fresh,
        back_fresh,
        admits,
        records,
    };
    let (stop, answered) = (AtomicBool::new(false), AtomicU32::new(0));
    let callers = (0..8).map(|_| load(&site, &stop, &answered));
    let drain = async {
        eventually("requests are answered", || {
            answered.load(Ordering::SeqCst) > 50
        })
        .await;
        back.drain().await;
        assert_eq!(site.target.running().0, 0);
        stop.store(true, Ordering::SeqCst);
    };
    tokio::join!(futures::future::join_all(callers), drain);
    assert!(site.runs().iter().all(|run| run.finished));
}

/// Guards against a node that stops while its callers wait, also for long answers.
#[tokio::test]
async fn leaving_ingress_cuts_nothing() {
    let site = Arc::new(Site::with(limits(), 7, Duration::ZERO).await);
    let long = site.clone();
    let long = tokio::spawn(async move { long.get("/bulk?delay_ms=1500&bytes=9").await });
    eventually("the long request runs", || site.target.running().0 == 1).await;
    let caller = site.front.caller_addr();
    let admin = site.front.admin_addr();
    let (stop, answered) = (AtomicBool::new(false), AtomicU32::new(0));
    let ready = async |path: &str| {
        let text = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        crate::site::raw(admin, text.as_bytes()).await
    };
    assert!(ready("/ready").await.starts_with("HTTP/1.1 200"));
    let callers = (0..8).map(|_| load(&site, &stop, &answered));
    let drain = async {
        site.front.begin_drain();
        let answer = ready("/ready").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(ready("/live").await.starts_with("HTTP/1.1 200"));
        let refused = async || {
            let response = site.get("/bake").await;
            outcome(&response) == ("not-run", "draining")
        };
        while !refused().await {}
        stop.store(true, Ordering::SeqCst);
    };
    tokio::join!(futures::future::join_all(callers), drain);
    assert_eq!(outcome(&long.await.unwrap()).0, "answer");
    let site = Arc::into_inner(site).expect("every caller is done");
    site.front.drain().await;
    assert!(std::net::TcpStream::connect(caller).is_err());
    assert!(site.target.runs().iter().all(|run| run.finished));
}

/// Guards against new work for a target that leaves, sent by a node that has not heard of it.
#[tokio::test]
async fn leaving_target_gets_no_new_work() {
    let site = Site::open().await;
    let other = crate::site::target(&site.back, "oven-2", 7, Duration::ZERO).await;
    site.connect(2).await;
    let long = site.get("/bulk?delay_ms=3000");
    let leave = async {
        eventually("the long request runs", || {
            site.target.running().0 + other.running().0 == 1
        })
        .await;
        let (leaving, staying) = match site.target.running().0 {
            1 => (&site.target, &other),
            _ => (&other, &site.target),
        };
        leaving.drain();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let before = leaving.runs().len();
        for _ in 0..30 {
            assert_eq!(outcome(&site.get("/bake").await).0, "answer");
        }
        assert_eq!(leaving.runs().len(), before);
        assert_eq!(staying.runs().len(), 30);
    };
    let (long, ()) = tokio::join!(long, leave);
    assert_eq!(outcome(&long).0, "answer");
}
