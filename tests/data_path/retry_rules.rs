//! Retries: a request that may have run is sent again only if it is idempotent.

use std::collections::HashMap;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;

use crate::cluster::{Cluster, KEY, eventually, header, outcome, target};
use crate::standin::client::call;
use crate::standin::{Behaviour, Run};

const RESET: Behaviour = Behaviour {
    error: 0.0,
    hang: 0.0,
    reset: 1.0,
    cut: 0.0,
    wrong_length: 0.0,
    crossed: 0.0,
    late: 0.0,
    shed: 0.0,
    slow_factor: 0.0,
};

fn by_request(runs: &[Run]) -> HashMap<&str, usize> {
    let mut counts = HashMap::new();
    for run in runs {
        *counts.entry(run.request.as_str()).or_default() += 1;
    }
    counts
}

/// Guards against a retry that runs a request twice after its target has reset the connection.
#[tokio::test]
async fn unsafe_request_runs_at_most_once() {
    let cluster = Cluster::open().await;
    let other = target(&cluster.back, "oven-2", 7, Duration::ZERO).await;
    cluster.connect(2).await;
    let faulty = Behaviour {
        reset: 0.3,
        cut: 0.1,
        crossed: 0.1,
        ..RESET
    };
    cluster.target.set_behaviour(faulty);
    other.set_behaviour(faulty);
    let (mut unknown, mut rejected, mut sent) = (0, Vec::new(), 0);
    // Open circuit breakers reject most requests for a time, which leaves few unknown outcomes.
    while sent < 200 || unknown <= 20 && sent < 5_000 {
        let i = sent;
        sent += 1;
        // Some requests use pooled connections, some new ones.
        let body = if i % 2 == 0 { "" } else { "dough" };
        let request = Request::post(format!("/bake/{i}?bytes=0"))
            .header("host", "front")
            .header("authorization", format!("Bearer {KEY}"));
        let request = request.body(Full::from(body)).unwrap();
        if let Ok(response) = call(cluster.front.caller_addr(), request).await {
            match outcome(&response) {
                ("answer", _) => assert_eq!(response.status(), StatusCode::OK),
                ("unknown", _) => unknown += 1,
                // Both targets have failed five times in a row, so both circuit breakers are open.
                ("not-run", "suspect") => rejected.push(format!("/bake/{i}?bytes=0")),
                other => panic!("{other:?}"),
            }
        }
    }
    let mut runs = cluster.runs();
    runs.extend(other.runs());
    assert!(runs.iter().all(|run| !rejected.contains(&run.path)));
    assert!(unknown > 20, "{unknown}");
    assert!(by_request(&runs).values().all(|n| *n == 1));
    let mut paths: Vec<&str> = runs.iter().map(|run| run.path.as_str()).collect();
    paths.sort();
    paths.dedup();
    assert_eq!(paths.len(), runs.len());
}

/// Guards against an idempotent request that fails although another target works.
#[tokio::test]
async fn idempotent_request_moves_to_another_target() {
    let cluster = Cluster::open().await;
    let other = target(&cluster.back, "oven-2", 7, Duration::ZERO).await;
    cluster.connect(2).await;
    cluster.target.set_behaviour(RESET);
    for _ in 0..10 {
        let response = cluster.get("/bake").await;
        assert_eq!(outcome(&response).0, "answer");
    }
    let moved = cluster.runs().len();
    let metrics = cluster.front.metrics().render();
    let line = format!("laburnum.retried{{reason:lost-link}} {moved}\n");
    assert!(moved == 0 || metrics.contains(&line), "{moved}: {metrics}");
    assert_eq!(other.runs().len(), 10);
}

/// Guards against a "not run" outcome after an earlier attempt that may have run.
#[tokio::test]
async fn later_refusal_does_not_hide_a_run() {
    let cluster = Cluster::open().await;
    cluster.target.set_behaviour(RESET);
    let response = cluster.get("/bake").await;
    assert_eq!(outcome(&response).0, "unknown");
    assert_eq!(cluster.runs().len(), 1);
}

/// Guards against a "not run" outcome although the target has run the request.
#[tokio::test]
async fn not_run_outcome_is_accurate() {
    let cluster = Cluster::with(Default::default(), 1, Duration::from_millis(20)).await;
    let faulty = Behaviour {
        shed: 0.3,
        reset: 0.2,
        ..RESET
    };
    let shedding = Behaviour {
        shed: 1.0,
        reset: 0.0,
        ..RESET
    };
    let mut refused = Vec::new();
    // In the last batch every request is shed, so some are surely refused.
    for behaviour in [faulty, faulty, faulty, faulty, shedding] {
        cluster.target.set_behaviour(behaviour);
        let batch = (0..12).map(|_| cluster.send(Request::post("/bake")));
        for response in futures::future::join_all(batch).await {
            if outcome(&response).0 == "not-run" {
                let id = header(response.headers(), "laburnum-request-id");
                refused.push(id.to_owned());
            }
        }
    }
    assert!(refused.len() >= 12, "{} refused", refused.len());
    let runs = cluster.runs();
    let counts = by_request(&runs);
    assert!(refused.iter().all(|id| !counts.contains_key(id.as_str())));
    assert!(counts.values().all(|n| *n == 1));
}

/// Guards against a shed request whose refusal has no retry delay.
#[tokio::test]
async fn shed_request_is_not_run() {
    let cluster = Cluster::open().await;
    let response = cluster.send(Request::post("/bake?fault=shed")).await;
    assert_eq!(outcome(&response), ("not-run", "shed"));
    assert_eq!(header(response.headers(), "retry-after"), "1");
    assert_eq!(cluster.runs().len(), 0);
}

/// Guards against an unknown outcome at a target that has stopped but is still advertised.
#[tokio::test]
async fn unreachable_target_is_not_run() {
    let cluster = Cluster::open().await;
    cluster.target.stop();
    // The listener closes only after one more connection.
    let _ = tokio::net::TcpStream::connect(cluster.target.addr()).await;
    eventually("the listener is closed", || {
        std::net::TcpStream::connect(cluster.target.addr()).is_err()
    })
    .await;
    let response = cluster.send(Request::post("/bake")).await;
    assert_eq!(outcome(&response), ("not-run", "connect"));
    assert_eq!(cluster.runs().len(), 0);
}
