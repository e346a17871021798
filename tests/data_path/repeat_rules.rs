//! A request with an idempotency key runs once, and a repeat learns what became of the first.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};

use crate::site::{Site, eventually, header, outcome};

async fn order(site: &Site, path: &str, key: &str) -> Response<Bytes> {
    let request = Request::post(path).header("idempotency-key", key);
    site.send(request).await
}

fn first<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    header(response.headers(), &format!("laburnum-first-{name}"))
}

/// Guards against a second run of a repeat and against a repeat that learns nothing of the first.
#[tokio::test]
async fn repeat_is_refused() {
    let site = Site::open().await;
    let answer = order(&site, "/bake/1", "order-1").await;
    assert_eq!(outcome(&answer).0, "answer");
    let repeat = order(&site, "/bake/1", "order-1").await;
    assert_eq!(repeat.status(), StatusCode::CONFLICT);
    assert_eq!(outcome(&repeat), ("not-run", "repeat"));
    let id = header(answer.headers(), "laburnum-request-id");
    assert_eq!(first(&repeat, "request-id"), id);
    assert_eq!(first(&repeat, "outcome"), "answer");
    assert_eq!(first(&repeat, "status"), answer.status().as_str());
    let other = order(&site, "/bake/1", "order-2").await;
    assert_eq!(outcome(&other).0, "answer");
    assert_eq!(site.runs().len(), 2);
}

/// Guards against a repeat that runs beside the first.
#[tokio::test]
async fn repeat_of_a_running_request() {
    let site = Site::with(Default::default(), 7, Duration::from_millis(300)).await;
    let running = order(&site, "/bake/1", "order-1");
    let repeat = async {
        eventually("the first runs", || !site.runs().is_empty()).await;
        order(&site, "/bake/1", "order-1").await
    };
    let (running, repeat) = futures::join!(running, repeat);
    assert_eq!(outcome(&running).0, "answer");
    assert_eq!(outcome(&repeat), ("not-run", "repeat-running"));
    assert_eq!(first(&repeat, "outcome"), "");
    assert_eq!(site.runs().len(), 1);
}

/// Guards against a request of unknown outcome that runs again as its own repeat.
#[tokio::test]
async fn unknown_request_is_not_repeated() {
    let site = Site::open().await;
    // The route permits a second run of GET; the key does not.
    for method in ["POST", "GET"] {
        let lost = Request::builder()
            .method(method)
            .uri("/bake?fault=reset")
            .header("idempotency-key", method);
        let lost = site.send(lost).await;
        assert_eq!(outcome(&lost).0, "unknown", "{method}");
        let repeat = Request::builder()
            .method(method)
            .uri("/bake")
            .header("idempotency-key", method);
        let repeat = site.send(repeat).await;
        assert_eq!(outcome(&repeat), ("not-run", "repeat"));
        assert_eq!(first(&repeat, "outcome"), "unknown");
        assert_eq!(first(&repeat, "status"), "");
    }
    assert_eq!(site.runs().len(), 2);
}

/// Guards against a key that stays taken although its request did not run.
#[tokio::test]
async fn refused_request_frees_its_key() {
    let site = Site::open().await;
    let shed = order(&site, "/bake?fault=shed", "order-1").await;
    assert_eq!(outcome(&shed), ("not-run", "shed"));
    let again = order(&site, "/bake", "order-1").await;
    assert_eq!(outcome(&again).0, "answer");
    assert_eq!(site.runs().len(), 1);
}

/// Guards against a run although nobody can tell whether the request is a repeat, and against a
/// hand-over after the records of the claim may have ended.
#[tokio::test]
async fn doubtful_request_does_not_run() {
    let site = Site::open().await;
    site.records.blind.store(true, Ordering::SeqCst);
    let blind = order(&site, "/bake", "order-1").await;
    assert_eq!(outcome(&blind), ("not-run", "repeat-unknown"));
    assert_eq!(header(blind.headers(), "retry-after"), "1");
    site.records.blind.store(false, Ordering::SeqCst);
    site.records.late.store(true, Ordering::SeqCst);
    let late = order(&site, "/bake", "order-1").await;
    assert_eq!(outcome(&late), ("not-run", "repeat-unknown"));
    assert_eq!(site.runs().len(), 0);
}

/// Guards against keys that no record can hold, and against a key that does not count at all.
#[tokio::test]
async fn malformed_key_is_refused() {
    let site = Site::open().await;
    let long = "x".repeat(65);
    for key in ["", "two words", "\u{e9}", &long] {
        let refused = order(&site, "/bake", key).await;
        assert_eq!(outcome(&refused), ("not-run", "bad-request"), "{key}");
    }
    let twice = Request::post("/bake")
        .header("idempotency-key", "a")
        .header("idempotency-key", "b");
    let twice = site.send(twice).await;
    assert_eq!(outcome(&twice), ("not-run", "bad-request"));
    let longest = order(&site, "/bake", &long[1..]).await;
    assert_eq!(outcome(&longest).0, "answer");
    assert_eq!(site.runs().len(), 1);
}
