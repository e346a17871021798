//! A request with an idempotency key runs once, and a duplicate receives the outcome of the first.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};

use crate::cluster::{Cluster, eventually, header, outcome};

async fn order(cluster: &Cluster, path: &str, key: &str) -> Response<Bytes> {
    let request = Request::post(path).header("idempotency-key", key);
    cluster.send(request).await
}

fn first<'a>(response: &'a Response<Bytes>, name: &str) -> &'a str {
    header(response.headers(), &format!("laburnum-first-{name}"))
}

/// Guards against a duplicate that runs, and against a refusal without the outcome of the first.
#[tokio::test]
async fn duplicate_is_refused() {
    let cluster = Cluster::open().await;
    let response = order(&cluster, "/bake/1", "order-1").await;
    assert_eq!(outcome(&response).0, "answer");
    let duplicate = order(&cluster, "/bake/1", "order-1").await;
    assert_eq!(duplicate.status(), StatusCode::CONFLICT);
    assert_eq!(outcome(&duplicate), ("not-run", "repeat"));
    let id = header(response.headers(), "laburnum-request-id");
    assert_eq!(first(&duplicate, "request-id"), id);
    assert_eq!(first(&duplicate, "outcome"), "answer");
    assert_eq!(first(&duplicate, "status"), response.status().as_str());
    let other = order(&cluster, "/bake/1", "order-2").await;
    assert_eq!(outcome(&other).0, "answer");
    assert_eq!(cluster.runs().len(), 2);
}

/// Guards against a duplicate that runs concurrently with the first request.
#[tokio::test]
async fn duplicate_of_running_request_is_refused() {
    let cluster = Cluster::with(Default::default(), 7, Duration::from_millis(300)).await;
    let running = order(&cluster, "/bake/1", "order-1");
    let duplicate = async {
        eventually("the first runs", || !cluster.runs().is_empty()).await;
        order(&cluster, "/bake/1", "order-1").await
    };
    let (running, duplicate) = futures::join!(running, duplicate);
    assert_eq!(outcome(&running).0, "answer");
    assert_eq!(outcome(&duplicate), ("not-run", "repeat-running"));
    assert_eq!(first(&duplicate, "outcome"), "");
    assert_eq!(cluster.runs().len(), 1);
}

/// Guards against a request of unknown outcome that runs again when it is retried.
#[tokio::test]
async fn duplicate_of_unknown_outcome_is_refused() {
    let cluster = Cluster::open().await;
    // The route permits a second run of GET, but the key doesn't.
    for method in ["POST", "GET"] {
        let lost = Request::builder()
            .method(method)
            .uri("/bake?fault=reset")
            .header("idempotency-key", method);
        let lost = cluster.send(lost).await;
        assert_eq!(outcome(&lost).0, "unknown", "{method}");
        let duplicate = Request::builder()
            .method(method)
            .uri("/bake")
            .header("idempotency-key", method);
        let duplicate = cluster.send(duplicate).await;
        assert_eq!(outcome(&duplicate), ("not-run", "repeat"));
        assert_eq!(first(&duplicate, "outcome"), "unknown");
        assert_eq!(first(&duplicate, "status"), "");
    }
    assert_eq!(cluster.runs().len(), 2);
}

/// Guards against a key that stays claimed although its request did not run.
#[tokio::test]
async fn refused_request_releases_its_key() {
    let cluster = Cluster::open().await;
    let shed = order(&cluster, "/bake?fault=shed", "order-1").await;
    assert_eq!(outcome(&shed), ("not-run", "shed"));
    let again = order(&cluster, "/bake", "order-1").await;
    assert_eq!(outcome(&again).0, "answer");
    assert_eq!(cluster.runs().len(), 1);
}

/// Guards against a run although the state of the key is unknown, and against a dispatch after the
/// records of the claim may have expired.
#[tokio::test]
async fn unverifiable_request_does_not_run() {
    let cluster = Cluster::open().await;
    cluster.records.unavailable.store(true, Ordering::SeqCst);
    let unavailable = order(&cluster, "/bake", "order-1").await;
    assert_eq!(outcome(&unavailable), ("not-run", "repeat-unknown"));
    assert_eq!(header(unavailable.headers(), "retry-after"), "1");
    cluster.records.unavailable.store(false, Ordering::SeqCst);
    cluster
        .records
        .permits_expired
        .store(true, Ordering::SeqCst);
    let late = order(&cluster, "/bake", "order-1").await;
    assert_eq!(outcome(&late), ("not-run", "repeat-unknown"));
    assert_eq!(cluster.runs().len(), 0);
}

/// Guards against a malformed key, or a second key in one request, that is ignored, so that a
/// duplicate would run.
#[tokio::test]
async fn malformed_key_is_refused() {
    let cluster = Cluster::open().await;
    let long = "x".repeat(65);
    for key in ["", "two words", "\u{e9}", &long] {
        let refused = order(&cluster, "/bake", key).await;
        assert_eq!(outcome(&refused), ("not-run", "bad-request"), "{key}");
    }
    let twice = Request::post("/bake")
        .header("idempotency-key", "a")
        .header("idempotency-key", "b");
    let twice = cluster.send(twice).await;
    assert_eq!(outcome(&twice), ("not-run", "bad-request"));
    let longest = order(&cluster, "/bake", &long[1..]).await;
    assert_eq!(outcome(&longest).0, "answer");
    assert_eq!(cluster.runs().len(), 1);
}
