//! Idempotency keys over real processes.

use std::time::{Duration, Instant};

use crate::caller::{Response, call};
use crate::end_to_end::make_ready;
use crate::fleet::{Fleet, eventually};
use crate::notes::YARD_KEY;

/// Retention of idempotency keys in the fleet, the minimum that is allowed.
const RETENTION: Duration = Duration::from_secs(30);

/// Timeout for conditions that take the lifetime of a record, on a busy machine.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(150);

fn send_order(fleet: &Fleet, node: usize, path: &str, key: &str) -> std::io::Result<Response> {
    let bearer = format!("Bearer {YARD_KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    call(fleet.caller_addr(node), "POST", path, &headers)
}

fn runs(fleet: &Fleet, path: &str) -> usize {
    let report = call(fleet.target_addr(0), "GET", "/runs", &[]).unwrap();
    report.body.matches(path).count()
}

/// Like [`eventually`], with a longer timeout for conditions that take the lifetime of a record.
fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < SETTLE_TIMEOUT, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// Waits until requests with a key run and every record store responds to claims under one layout.
fn wait_for_stores(fleet: &Fleet) {
    let mut tries = 0;
    for node in 0..3 {
        wait_for("a request with a key runs", || {
            tries += 1;
            send_order(fleet, node, "/records/warm", &format!("warm-{tries}"))
                .is_ok_and(|response| response.status == 200)
        });
    }
    // Until then a record may be on only two record stores, one of which the test kills.
    let is_settled = |node: usize| {
        let metrics = call(fleet.admin_addr(node), "GET", "/metrics", &[]).unwrap();
        let has = |expected: &str| metrics.body.lines().any(|line| line == expected);
        has("laburnum.repeat.layouts 1") && has("laburnum.repeat.abstaining 0")
    };
    wait_for("every record store responds to claims", || {
        (0..3).all(is_settled)
    });
}

fn check_not_run(response: &Response, status: u16, reason: &str) {
    assert_eq!(
        (response.status, response.reason()),
        (status, reason),
        "{response:?}"
    );
    assert_eq!(response.header("laburnum-outcome"), Some("not-run"));
}

/// Guards against a second run of a request with a used key: through another node, after its ingress
/// is killed, and right after the start of a whole fleet. Also guards against a key that is never
/// released.
#[test]
fn reused_keys() {
    let options = vec![("retention", format!("{}s", RETENTION.as_secs()))];
    let started = Instant::now();
    let mut fleet = make_ready(Fleet::start_with(3, 3, options));
    // The record stores have no records of requests that ran before the fleet started.
    let early = send_order(&fleet, 0, "/records/early", "early").unwrap();
    if started.elapsed() < RETENTION {
        check_not_run(&early, 503, "repeat-unknown");
        assert!(early.header("retry-after").is_some(), "{early:?}");
        assert_eq!(runs(&fleet, "/records/early"), 0);
    }
    wait_for_stores(&fleet);

    let response = send_order(&fleet, 0, "/records/whole", "whole").unwrap();
    assert_eq!(response.header("laburnum-outcome"), Some("answer"));
    let mut duplicate = send_order(&fleet, 1, "/records/whole", "whole").unwrap();
    // The outcome reaches the record stores slightly after the response reaches the caller.
    eventually("the record stores have the first outcome", || {
        duplicate = send_order(&fleet, 1, "/records/whole", "whole").unwrap();
        assert_eq!(
            duplicate.header("laburnum-outcome"),
            Some("not-run"),
            "{duplicate:?}"
        );
        duplicate.reason() == "repeat"
    });
    check_not_run(&duplicate, 409, "repeat");
    let first = duplicate.header("laburnum-first-request-id");
    assert_eq!(first, response.header("laburnum-request-id"));
    assert_eq!(duplicate.header("laburnum-first-outcome"), Some("answer"));
    assert_eq!(duplicate.header("laburnum-first-status"), Some("200"));
    assert_eq!(runs(&fleet, "/records/whole"), 1);

    let sent = Instant::now();
    let path = "/records/killed?delay_ms=4000";
    std::thread::scope(|scope| {
        let (addr, bearer) = (fleet.caller_addr(0), format!("Bearer {YARD_KEY}"));
        scope.spawn(move || {
            let headers = [
                ("authorization", bearer.as_str()),
                ("idempotency-key", "killed"),
            ];
            // The connection is lost when the node is killed.
            let _ = call(addr, "POST", path, &headers);
        });
        eventually("the order runs", || runs(&fleet, "/records/killed") == 1);
        eventually(
            "the record stores have the claim of the first request",
            || {
                let duplicate = send_order(&fleet, 1, path, "killed").unwrap();
                assert_eq!(
                    duplicate.header("laburnum-outcome"),
                    Some("not-run"),
                    "{duplicate:?}"
                );
                duplicate.reason() == "repeat-running"
            },
        );
        fleet.nodes[0].as_mut().unwrap().kill();
    });
    eventually("the ingress of the first request counts as dead", || {
        let duplicate = send_order(&fleet, 1, path, "killed").unwrap();
        if sent.elapsed() < RETENTION {
            let outcome = duplicate.header("laburnum-outcome");
            assert_eq!(outcome, Some("not-run"), "{duplicate:?}");
        }
        duplicate.reason() == "repeat"
            && duplicate.header("laburnum-first-outcome") == Some("unknown")
    });
    assert_eq!(runs(&fleet, "/records/killed"), 1);
    wait_for("the key is released", || {
        let again = send_order(&fleet, 1, path, "killed").unwrap();
        again.status == 200
    });
    assert!(sent.elapsed() > RETENTION, "{:?}", sent.elapsed());
    assert_eq!(runs(&fleet, "/records/killed"), 2);
}
