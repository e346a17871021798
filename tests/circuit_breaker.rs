//! The circuit breaker of a target: when it opens, probes and closes.

use std::time::Duration;

use laburnumtide::admission::{BreakerDecision, CircuitBreaker};
use laburnumtide::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn open_breaker() -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    assert_eq!(
        breaker.admit(at(0), AttemptId(1), false, false),
        BreakerDecision::Allow
    );
    assert!(breaker.record_failure(at(1), AttemptId(1), at(0)));
    breaker
}

/// Guards against a breaker that stays closed after a first failure, so that a target which returns
/// its errors at once fails the next requests too.
#[test]
fn first_failure() {
    let mut breaker = open_breaker();
    for (attempt, idempotent) in [(2, false), (3, true)] {
        let decision = breaker.admit(at(5), AttemptId(attempt), idempotent, false);
        assert!(
            matches!(decision, BreakerDecision::Reject(_)),
            "{decision:?}"
        );
    }
}

/// Guards against probing with a request that is not idempotent while an idempotent one may come.
/// A failed probe with an idempotent request can be retried.
#[test]
fn idempotent_probe() {
    let mut breaker = open_breaker();
    let due = at(600);
    assert!(matches!(
        breaker.admit(due, AttemptId(2), false, false),
        BreakerDecision::Reject(_)
    ));
    assert_eq!(
        breaker.admit(due, AttemptId(3), true, false),
        BreakerDecision::Allow
    );
    assert!(matches!(
        breaker.admit(due, AttemptId(4), true, false),
        BreakerDecision::Reject(_)
    ));
}

/// Guards against a breaker that never closes because its service has no idempotent requests.
#[test]
fn non_idempotent_probe() {
    let mut breaker = open_breaker();
    let late = at(1_400);
    assert_eq!(
        breaker.admit(late, AttemptId(2), false, false),
        BreakerDecision::Allow
    );
}

/// Guards against a breaker that stays open until a slow response to the probe arrives.
#[test]
fn slow_probe_passes() {
    let mut breaker = open_breaker();
    assert_eq!(
        breaker.admit(at(600), AttemptId(2), true, false),
        BreakerDecision::Allow
    );
    assert_eq!(
        breaker.admit(at(710), AttemptId(3), false, false),
        BreakerDecision::Allow
    );
    assert!(!breaker.is_open());
}

/// Guards against many failed probes while a target fails, and against probes more than 2 s apart.
#[test]
fn failed_probes() {
    let mut breaker = open_breaker();
    let (mut now, mut attempt, mut probes) = (2, 10, Vec::new());
    while now < 10_000 {
        attempt += 1;
        if breaker.admit(at(now), AttemptId(attempt), true, false) == BreakerDecision::Allow {
            probes.push(now);
            breaker.record_failure(at(now + 1), AttemptId(attempt), at(now));
        }
        now += 20;
    }
    assert!(probes.len() <= 11, "{probes:?}");
    let gaps = probes.windows(2).map(|p| p[1] - p[0]);
    assert!(gaps.max() < Some(2_000), "{probes:?}");
}

/// Guards against attempts from before the first failure that prolong the open time when they fail.
#[test]
fn earlier_attempts() {
    let mut breaker = open_breaker();
    for n in 0..5 {
        breaker.record_failure(at(300 + n), AttemptId(20 + n), at(0));
    }
    assert_eq!(
        breaker.admit(at(520), AttemptId(3), true, false),
        BreakerDecision::Allow
    );
}

/// Guards against a service that refuses every request after each of its targets has failed once.
#[test]
fn forced_request() {
    let mut breaker = open_breaker();
    assert_eq!(
        breaker.admit(at(5), AttemptId(2), false, true),
        BreakerDecision::Allow
    );
    assert_eq!(
        breaker.admit(at(5), AttemptId(3), false, false),
        BreakerDecision::Reject(Duration::from_millis(496))
    );
}

/// Guards against a cancelled probe after which no other is sent.
#[test]
fn cancelled_probe() {
    let mut breaker = open_breaker();
    assert_eq!(
        breaker.admit(at(600), AttemptId(2), true, false),
        BreakerDecision::Allow
    );
    breaker.record_cancel(AttemptId(2));
    assert_eq!(
        breaker.admit(at(610), AttemptId(3), true, false),
        BreakerDecision::Allow
    );
}

/// Guards against a failing target that fails all forced requests: it returns its errors at once,
/// so 38 of them ended there within 0.6 s, most of them not idempotent (run `trouble-1 --seed 1` on
/// Kylmaring).
#[test]
fn forced_requests_are_probes() {
    let mut breaker = open_breaker();
    let (mut now, mut attempt, mut lost) = (2, 10, 0);
    while now < 4_000 {
        attempt += 1;
        if breaker.admit(at(now), AttemptId(attempt), false, true) == BreakerDecision::Allow {
            lost += 1;
            breaker.record_failure(at(now + 4), AttemptId(attempt), at(now));
        }
        now += 20;
    }
    // Five consecutive ones, then one every 500 ms.
    assert!(lost <= 13, "{lost} requests lost");
    // While a probe runs no other is sent; once it has run for a while without failing, all are.
    let decision =
        |breaker: &mut CircuitBreaker, ms, n| breaker.admit(at(ms), AttemptId(n), false, true);
    assert_eq!(decision(&mut breaker, 5_000, 500), BreakerDecision::Allow);
    assert!(matches!(
        decision(&mut breaker, 5_050, 501),
        BreakerDecision::Reject(_)
    ));
    assert_eq!(decision(&mut breaker, 5_100, 502), BreakerDecision::Allow);
    assert_eq!(decision(&mut breaker, 5_101, 503), BreakerDecision::Allow);
}

/// Guards against a service that refuses nearly all requests when its targets fail half of them.
#[test]
fn half_failing_target_serves() {
    let mut breaker = open_breaker();
    let mut served = 0;
    for n in 0..200 {
        let (now, attempt) = (at(10 + 10 * n), AttemptId(10 + n));
        if breaker.admit(now, attempt, false, true) == BreakerDecision::Allow {
            match n % 4 < 2 {
                true => breaker.record_success(attempt),
                false => drop(breaker.record_failure(now, attempt, now)),
            }
            served += 1;
        }
    }
    assert_eq!(served, 200);
}
