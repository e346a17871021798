//! Queueing by objective, kind of request and priority.

use std::time::Duration;

use laburnumtide::admission::{Admission, AdmissionQueue, Decision, Limits, SlotRequest};
use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;

/// Service time of the typical kind in milliseconds.
const TYPICAL_MS: u64 = 400;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn request(attempt: u64, now: u64, objective_ms: u64, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        attempt: AttemptId(attempt),
        account: Some("bank".parse().unwrap()),
        weight: Rate::per_sec(10),
        kind: "typical".to_owned(),
        priority: 1,
        is_call: false,
        deadline: at(now + deadline_ms),
        objective: Some(at(now + objective_ms)),
        wait_max: Duration::MAX,
    }
}

/// Returns a queue of two slots that has measured the typical kind.
fn measured() -> AdmissionQueue {
    let limits = Limits {
        slots: Slots(2),
        connections: 10,
    };
    let mut queue = AdmissionQueue::new(at(0), limits, false);
    for n in 0..50 {
        let start = n * TYPICAL_MS;
        let admission = queue.admit(at(start), request(1_000 + n, start, 2_000, 4_000));
        assert_eq!(admission, Admission::Run);
        queue.finish(at(start + TYPICAL_MS), AttemptId(1_000 + n));
    }
    queue
}

/// Time in milliseconds at which the measurement has ended and a test begins.
const START: u64 = 50 * TYPICAL_MS;

/// Guards against queues that make every response late: a request that can't meet its objective is
/// refused at once, with a retry delay, instead of waiting until its deadline.
#[test]
fn objective_bounds_queue() {
    let mut queue = measured();
    let mut waiting = 0;
    for n in 0..40 {
        match queue.admit(at(START), request(n, START, 1_000, 8_000)) {
            Admission::Run => {}
            Admission::Queued => waiting += 1,
            Admission::Refused(refusal) => {
                assert_eq!(refusal.reason, Reason::Deadline);
                assert!(refusal.retry_after.is_some());
            }
        }
    }
    // One of the two slots becomes free every 200 ms; at the start of a request half of its service
    // time must be left until its objective.
    assert!((2..=4).contains(&waiting), "{waiting} wait");
}

/// Guards against the refusal of a request that misses its objective while a slot is free.
#[test]
fn free_slot_runs_late_request() {
    let mut queue = measured();
    let admission = queue.admit(at(START), request(1, START, 10, 8_000));
    assert_eq!(admission, Admission::Run);
}

/// Guards against a wait at a target while others are idle: a request that may not queue is
/// refused.
#[test]
fn busy_without_queueing() {
    let mut queue = measured();
    for n in 0..2 {
        queue.admit(at(START), request(n, START, 2_000, 8_000));
    }
    let unqueued = SlotRequest {
        wait_max: Duration::ZERO,
        ..request(5, START, 2_000, 8_000)
    };
    let Admission::Refused(Refusal {
        reason: Reason::Busy,
        retry_after: Some(wait),
        ..
    }) = queue.admit(at(START), unqueued)
    else {
        panic!("the request must be refused as busy");
    };
    assert!(wait <= Duration::from_millis(TYPICAL_MS), "{wait:?}");
}

/// Guards against short requests that are refused as late because other kinds take long.
#[test]
fn short_kind() {
    let mut queue = measured();
    let short = |n, now| SlotRequest {
        kind: "short".to_owned(),
        objective: None,
        ..request(n, now, 0, 300)
    };
    assert_eq!(queue.admit(at(START), short(900, START)), Admission::Run);
    queue.finish(at(START + 20), AttemptId(900));
    let now = START + 30;
    for n in 0..2 {
        queue.admit(at(now), request(n, now, 2_000, 8_000));
    }
    assert_eq!(queue.admit(at(now), short(901, now)), Admission::Queued);
}

/// Guards against urgent requests that get no larger share than others under overload, and against
/// others that starve.
#[test]
fn shares_by_priority() {
    let mut queue = measured();
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut served = [0, 0];
    for n in 0..4_000u64 {
        // Twice as many requests as two slots can serve.
        let now = START + n * TYPICAL_MS / 4;
        let mut started = Vec::new();
        while let Some(i) = ends.iter().position(|(_, end)| *end <= now) {
            let (attempt, _) = ends.swap_remove(i);
            started.extend(queue.finish(at(now), AttemptId(attempt)));
        }
        let request = SlotRequest {
            priority: (n % 2) as u8,
            is_call: false,
            ..request(n, now, 1_000, 2_000)
        };
        if queue.admit(at(now), request) == Admission::Run {
            started.push(Decision::Run(AttemptId(n)));
        }
        for decision in started {
            if let Decision::Run(attempt) = decision {
                ends.push((attempt.0, now + TYPICAL_MS));
                served[(attempt.0 % 2) as usize] += 1;
            }
        }
    }
    let total = served[0] + served[1];
    assert!(total > 1_900, "slots were idle: {served:?}");
    assert!(served[0] > served[1], "{served:?}");
    assert!(
        served[1] * 8 > total,
        "the less urgent ones starve: {served:?}"
    );
}

/// Guards against a transfer to another target, often in another zone, where a slot is free soon, and
/// against a wait that is longer than a transfer is worth.
#[test]
fn short_wait_queues() {
    let mut queue = measured();
    for n in 0..2 {
        let admission = queue.admit(at(START), request(n, START, 1_000, 8_000));
        assert_eq!(admission, Admission::Run);
    }
    // A slot is expected to be free every 200 ms.
    let waiting = |n, wait_max| SlotRequest {
        wait_max: Duration::from_millis(wait_max),
        ..request(n, START, 1_000, 8_000)
    };
    let refused = queue.admit(at(START), waiting(10, 150));
    assert!(
        matches!(
            refused,
            Admission::Refused(Refusal {
                reason: Reason::Busy,
                ..
            })
        ),
        "{refused:?}"
    );
    assert_eq!(queue.admit(at(START), waiting(11, 250)), Admission::Queued);
    let refused = queue.admit(at(START), waiting(12, 250));
    assert!(
        matches!(
            refused,
            Admission::Refused(Refusal {
                reason: Reason::Busy,
                ..
            })
        ),
        "{refused:?}"
    );
}

/// Guards against a request that waits although its response would come after its objective.
#[test]
fn whole_service_fits() {
    for (objective, is_queued) in [(550, false), (650, false), (750, true)] {
        let mut queue = measured();
        for n in 0..2 {
            queue.admit(at(START), request(n, START, 2_000, 8_000));
        }
        // The expected wait is 200 ms and may take half as long again; the service takes 400 ms.
        let admission = queue.admit(at(START), request(10, START, objective, 8_000));
        assert_eq!(admission == Admission::Queued, is_queued, "{objective} ms");
    }
}

/// Guards against requests that wait until their deadline for a target that has stopped to work.
#[test]
fn stuck_target_releases() {
    let mut queue = measured();
    for n in 0..2 {
        queue.admit(at(START), request(n, START, 2_000, 8_000));
    }
    let brief = SlotRequest {
        wait_max: Duration::from_millis(250),
        ..request(10, START, 2_000, 8_000)
    };
    assert_eq!(queue.admit(at(START), brief), Admission::Queued);
    let patient = request(11, START, 2_000, 8_000);
    assert_eq!(queue.admit(at(START), patient), Admission::Queued);
    let mut left = Vec::new();
    let mut now = at(START);
    while let Some(next) = queue.next_expiry() {
        now = now.max(next);
        for decision in queue.expire(now) {
            match decision {
                Decision::Refuse(attempt, refusal) => left.push((attempt.0, now, refusal.reason)),
                Decision::Run(attempt) => panic!("{attempt} runs without a slot"),
            }
        }
    }
    let expected = [
        (10, at(START + 1_000), Reason::Busy),
        (11, at(START + 4_000), Reason::Busy),
    ];
    assert_eq!(left, expected);
}
