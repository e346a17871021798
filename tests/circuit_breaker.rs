//! Requests are kept from a target that has just failed and return once it works.

use std::time::Duration;

use laburnumtide::admission::{BreakerDecision, CircuitBreaker};
use laburnumtide::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn tripped() -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    assert_eq!(
        breaker.admit(at(0), AttemptId(1), false, false),
        BreakerDecision::Allow
    );
    assert!(breaker.record_failure(at(1), AttemptId(1), at(0)));
    breaker
}

/// Guards against a second lost request at a target that answers its errors at once.
#[test]
fn first_failure() {
    let mut breaker = tripped();
    for (attempt, repeatable) in [(2, false), (3, true)] {
        let passage = breaker.admit(at(5), AttemptId(attempt), repeatable, false);
        assert!(matches!(passage, BreakerDecision::Reject(_)), "{passage:?}");
    }
}

/// Guards against a non-idempotent request that is spent as a probe while others could be.
#[test]
fn cheap_probe() {
    let mut breaker = tripped();
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

/// Guards against a service without idempotent requests that never gets its target back.
#[test]
fn any_probe() {
    let mut breaker = tripped();
    let late = at(1_400);
    assert_eq!(
        breaker.admit(late, AttemptId(2), false, false),
        BreakerDecision::Allow
    );
}

/// Guards against a sound target that waits for a slow answer before it gets requests again.
#[test]
fn slow_probe_passes() {
    let mut breaker = tripped();
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

/// Guards against a flood of failures while a spell lasts, and against one that is never probed: the
/// target is asked again at least every 2 s.
#[test]
fn failed_probes() {
    let mut breaker = tripped();
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

/// Guards against old requests that fail after the first one and prolong the hold.
#[test]
fn earlier_attempts() {
    let mut breaker = tripped();
    for n in 0..5 {
        breaker.record_failure(at(300 + n), AttemptId(20 + n), at(0));
    }
    assert_eq!(
        breaker.admit(at(520), AttemptId(3), true, false),
        BreakerDecision::Allow
    );
}

/// Guards against a service that refuses everything because all of its targets failed once.
#[test]
fn last_target() {
    let mut breaker = tripped();
    assert_eq!(
        breaker.admit(at(5), AttemptId(2), false, true),
        BreakerDecision::Allow
    );
    assert_eq!(
        breaker.admit(at(5), AttemptId(3), false, false),
        BreakerDecision::Reject(Duration::from_millis(496))
    );
}

/// Guards against a probe whose caller left, after which no other would be sent.
#[test]
fn cancelled_probe() {
    let mut breaker = tripped();
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

/// Guards against a failing target that swallows what finds no other: it answers its errors at once, so
/// 38 forced requests ended there within 0.6 s, most of them not to be sent again (Kylmaring,
/// `trouble-1 --seed 1`).
#[test]
fn forced_requests_are_probes() {
    let mut breaker = tripped();
    let (mut now, mut attempt, mut lost) = (2, 10, 0);
    while now < 4_000 {
        attempt += 1;
        if breaker.admit(at(now), AttemptId(attempt), false, true) == BreakerDecision::Allow {
            lost += 1;
            breaker.record_failure(at(now + 4), AttemptId(attempt), at(now));
        }
        now += 20;
    }
    // Five in a row, then one in each 500 ms.
    assert!(lost <= 13, "{lost} requests lost");
    // While a probe is under way no other is sent, and once it has not failed for a while all are.
    let passage =
        |breaker: &mut CircuitBreaker, ms, n| breaker.admit(at(ms), AttemptId(n), false, true);
    assert_eq!(passage(&mut breaker, 5_000, 500), BreakerDecision::Allow);
    assert!(matches!(
        passage(&mut breaker, 5_050, 501),
        BreakerDecision::Reject(_)
    ));
    assert_eq!(passage(&mut breaker, 5_100, 502), BreakerDecision::Allow);
    assert_eq!(passage(&mut breaker, 5_101, 503), BreakerDecision::Allow);
}

/// Guards against a service whose targets all fail half of their requests and that refuses nearly all.
#[test]
fn half_failing_target_serves() {
    let mut breaker = tripped();
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
