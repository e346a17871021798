//! Calls that targets make through the fleet while they run requests.

use std::sync::Arc;
use std::time::Duration;

use laburnumtide::admission::{Admission, AdmissionQueue, Decision, Limits, SlotRequest};
use laburnumtide::node::calls::Calls;
use laburnumtide::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn request(attempt: u64, is_call: bool) -> SlotRequest {
    SlotRequest {
        attempt: AttemptId(attempt),
        account: Some("bank".parse().unwrap()),
        weight: Rate::per_sec(10),
        kind: "read".to_owned(),
        priority: 0,
        is_call,
        deadline: at(2_100),
        objective: None,
        wait_max: Duration::MAX,
    }
}

/// Guards against work in progress that is lost, as its calls wait behind new requests.
#[test]
fn calls_go_first() {
    let limits = Limits {
        slots: Slots(1),
        connections: 10,
    };
    let mut queue = AdmissionQueue::new(at(0), limits, false);
    for n in 0..3 {
        queue.admit(at(n * 400), request(n, false));
        queue.finish(at(n * 400 + 400), AttemptId(n));
    }
    assert_eq!(queue.admit(at(1_200), request(10, false)), Admission::Run);
    let mut waiting = 0;
    while queue.admit(at(1_200), request(20 + waiting, false)) == Admission::Queued {
        waiting += 1;
    }
    // No further request can start in time, but a call can.
    assert!(waiting >= 1);
    assert_eq!(queue.admit(at(1_200), request(50, true)), Admission::Queued);
    let decisions = queue.finish(at(1_600), AttemptId(10));
    assert!(
        decisions.contains(&Decision::Run(AttemptId(50))),
        "{decisions:?}"
    );
}

/// Guards against requests of callers that pass for calls.
#[test]
fn one_call_for_each_run() {
    let calls = Arc::new(Calls::default());
    assert!(calls.begin_call().is_none());
    let run = calls.begin_run();
    let call = calls.begin_call();
    assert!(call.is_some());
    assert!(calls.begin_call().is_none());
    drop(call);
    assert!(calls.begin_call().is_some());
    drop(run);
    assert!(calls.begin_call().is_none());
}

/// Guards against evidence against a target whose call was refused, and against one failed call that
/// explains more than one error.
#[test]
fn failed_call_explains_error() {
    let calls = Arc::new(Calls::default());
    let _run = calls.begin_run();
    assert!(!calls.take_failure());
    calls.begin_call().unwrap().fail();
    assert!(calls.take_failure());
    assert!(!calls.take_failure());
    calls.begin_call().unwrap().fail();
    std::thread::sleep(Duration::from_millis(60));
    assert!(!calls.take_failure());
}
