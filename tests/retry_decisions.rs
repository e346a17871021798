//! Decisions after each attempt of a request, and the retry budget of the fleet.

use std::time::Duration;

use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;
use laburnumtide::route::{RetryBudget, RetryContext, RetryDecision, RetryLimits, RetryState};

const NOW: Time = Time::from_millis(1_000);

fn target(n: u64) -> TargetId {
    TargetId {
        node: NodeId(n),
        name: "one".parse().unwrap(),
    }
}

fn not_run(reason: Reason, wait_ms: u64) -> Outcome {
    Outcome::NotRun(Refusal::after(reason, Duration::from_millis(wait_ms)))
}

fn decide(state: &mut RetryState, n: u64, outcome: &Outcome, idempotent: bool) -> RetryDecision {
    let context = RetryContext {
        outcome,
        idempotent,
        replayable: true,
        deadline: NOW + Duration::from_secs(2),
    };
    state.decide(NOW, target(n), &context)
}

/// Guards against a request that queues at a busy target while another has a shorter queue.
#[test]
fn shortest_queue() {
    let mut state = RetryState::new(2);
    for (n, wait) in [(1, 300), (2, 100), (3, 200)] {
        assert!(!state.may_queue());
        let decision = decide(&mut state, n, &not_run(Reason::Busy, wait), false);
        assert_eq!(decision, RetryDecision::Transparent);
    }
    assert!(state.may_queue());
    assert_eq!(state.queue_at(), Some(&target(2)));
    let decision = decide(&mut state, 2, &not_run(Reason::Deadline, 50), false);
    assert_eq!(decision, RetryDecision::Transparent);
    assert_eq!(state.queue_at(), Some(&target(3)));
    let decision = decide(&mut state, 3, &not_run(Reason::Deadline, 50), false);
    assert_eq!(decision, RetryDecision::Stop);
}

/// Guards against a service whose only target is busy and whose requests never queue.
#[test]
fn only_target() {
    let mut state = RetryState::new(2);
    decide(&mut state, 1, &not_run(Reason::Busy, 10), false);
    assert!(state.relax());
    assert_eq!(state.queue_at(), Some(&target(1)));
}

/// Guards against refused admissions that count against the attempts of the route.
#[test]
fn refusals_use_no_attempts() {
    let mut state = RetryState::new(2);
    for n in 1..=5 {
        let decision = decide(&mut state, n, &not_run(Reason::Suspect, 500), false);
        assert_eq!(decision, RetryDecision::Transparent);
    }
    assert!(state.is_forced());
    let shed = not_run(Reason::Shed, 0);
    assert_eq!(decide(&mut state, 6, &shed, false), RetryDecision::Retry);
    assert_eq!(decide(&mut state, 7, &shed, false), RetryDecision::Stop);
}

/// Guards against a request that fails because two nodes are unreachable while others are not.
#[test]
fn unreachable_nodes() {
    let mut state = RetryState::new(2);
    let connect = not_run(Reason::Connect, 0);
    for n in 1..=3 {
        assert_eq!(
            decide(&mut state, n, &connect, false),
            RetryDecision::Transparent
        );
    }
    assert_eq!(decide(&mut state, 4, &connect, false), RetryDecision::Stop);
}

/// Guards against a second run of a request that must run at most once.
#[test]
fn unknown_outcomes() {
    let lost = Outcome::Unknown(Reason::LostLink);
    assert_eq!(
        decide(&mut RetryState::new(3), 1, &lost, false),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(&mut RetryState::new(3), 1, &lost, true),
        RetryDecision::Retry
    );
}

/// Guards against a service that refuses every request after each target has failed once.
#[test]
fn all_breakers_open() {
    let mut state = RetryState::new(2);
    decide(&mut state, 1, &not_run(Reason::Suspect, 500), true);
    decide(&mut state, 2, &not_run(Reason::Suspect, 500), true);
    assert!(state.relax());
    assert!(state.is_forced() && state.tried().is_empty());
    assert!(!state.relax());
}

/// Guards against nodes whose retries together exceed the limit of the fleet, as when 426 retries
/// reached a service within 10 s where 392 were allowed.
#[test]
fn fleet_budget() {
    let terms = RetryLimits {
        ratio: 0.2,
        extra: 60,
    };
    for nodes in [3, 22, 30, 60] {
        let mut retries = 0;
        for _ in 0..nodes {
            let mut budget = RetryBudget::shared(terms, nodes);
            for _ in 0..1_200 / nodes {
                budget.deposit();
                while budget.withdraw() {
                    retries += 1;
                }
            }
        }
        assert!(retries <= 60 + 240, "{nodes} nodes send {retries}");
        assert!(retries >= 150, "{nodes} nodes send only {retries}");
    }
}
