//! Idempotency keys over real processes.

use std::time::{Duration, Instant};

use crate::caller::{Answer, call};
use crate::fleet::{Fleet, eventually};
use crate::notes::YARD_KEY;
use crate::whole_path::serve;

/// Retention period of the fleet, the shortest that is permitted.
const RETENTION: Duration = Duration::from_secs(30);

/// Limit for what takes a lifetime of records, on a busy machine.
const SETTLE_PATIENCE: Duration = Duration::from_secs(150);

fn order(fleet: &Fleet, node: usize, path: &str, key: &str) -> std::io::Result<Answer> {
    let bearer = format!("Bearer {YARD_KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    call(fleet.caller_addr(node), "POST", path, &headers)
}

fn runs(fleet: &Fleet, path: &str) -> usize {
    let report = call(fleet.target_addr(0), "GET", "/runs", &[]).unwrap();
    report.body.matches(path).count()
}

/// Waits longer than [`eventually`], for what takes a lifetime of records.
fn in_time(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < SETTLE_PATIENCE,
            "{what} did not come true"
        );
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// Waits until requests with a key run and every node vouches as a seat of one layout.
fn wait_for_seats(fleet: &Fleet) {
    let mut tries = 0;
    for node in 0..3 {
        in_time("a request with a key runs", || {
            tries += 1;
            order(fleet, node, "/records/warm", &format!("warm-{tries}"))
                .is_ok_and(|answer| answer.status == 200)
        });
    }
    // Until then a record may lie on two seats only, one of which the test kills.
    let is_settled = |node: usize| {
        let metrics = call(fleet.admin_addr(node), "GET", "/metrics", &[]).unwrap();
        let has = |wanted: &str| metrics.body.lines().any(|line| line == wanted);
        has("laburnum.repeat.layouts 1") && has("laburnum.repeat.abstaining 0")
    };
    in_time("every seat vouches", || (0..3).all(is_settled));
}

fn check_not_run(answer: &Answer, status: u16, reason: &str) {
    assert_eq!(
        (answer.status, answer.reason()),
        (status, reason),
        "{answer:?}"
    );
    assert_eq!(answer.header("laburnum-outcome"), Some("not-run"));
}

/// Guards against a second run of an order through another node, after the death of its ingress,
/// and right after the start of a whole fleet, and against a key that stays taken for ever.
#[test]
fn repeated_orders() {
    let options = vec![("retention", format!("{}s", RETENTION.as_secs()))];
    let started = Instant::now();
    let mut fleet = serve(Fleet::start_with(3, 3, options));
    // No seat can know yet what ran before the fleet started.
    let early = order(&fleet, 0, "/records/early", "early").unwrap();
    if started.elapsed() < RETENTION {
        check_not_run(&early, 503, "repeat-unknown");
        assert!(early.header("retry-after").is_some(), "{early:?}");
        assert_eq!(runs(&fleet, "/records/early"), 0);
    }
    wait_for_seats(&fleet);

    let answer = order(&fleet, 0, "/records/whole", "whole").unwrap();
    assert_eq!(answer.header("laburnum-outcome"), Some("answer"));
    let mut repeat = order(&fleet, 1, "/records/whole", "whole").unwrap();
    // The end of the first reaches the seats a moment after its answer reaches the caller.
    eventually("the seats know the end of the first", || {
        repeat = order(&fleet, 1, "/records/whole", "whole").unwrap();
        assert_eq!(
            repeat.header("laburnum-outcome"),
            Some("not-run"),
            "{repeat:?}"
        );
        repeat.reason() == "repeat"
    });
    check_not_run(&repeat, 409, "repeat");
    let first = repeat.header("laburnum-first-request-id");
    assert_eq!(first, answer.header("laburnum-request-id"));
    assert_eq!(repeat.header("laburnum-first-outcome"), Some("answer"));
    assert_eq!(repeat.header("laburnum-first-status"), Some("200"));
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
            // The connection ends with the node.
            let _ = call(addr, "POST", path, &headers);
        });
        eventually("the order runs", || runs(&fleet, "/records/killed") == 1);
        eventually("the seats know that the first runs", || {
            let repeat = order(&fleet, 1, path, "killed").unwrap();
            assert_eq!(
                repeat.header("laburnum-outcome"),
                Some("not-run"),
                "{repeat:?}"
            );
            repeat.reason() == "repeat-running"
        });
        fleet.nodes[0].as_mut().unwrap().kill();
    });
    eventually("the seats know that the ingress is gone", || {
        let repeat = order(&fleet, 1, path, "killed").unwrap();
        if sent.elapsed() < RETENTION {
            let outcome = repeat.header("laburnum-outcome");
            assert_eq!(outcome, Some("not-run"), "{repeat:?}");
        }
        repeat.reason() == "repeat" && repeat.header("laburnum-first-outcome") == Some("unknown")
    });
    assert_eq!(runs(&fleet, "/records/killed"), 1);
    in_time("the key is free again", || {
        let again = order(&fleet, 1, path, "killed").unwrap();
        again.status == 200
    });
    assert!(sent.elapsed() > RETENTION, "{:?}", sent.elapsed());
    assert_eq!(runs(&fleet, "/records/killed"), 2);
}
