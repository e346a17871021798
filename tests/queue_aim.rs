//! A request waits for a slot only while it can make its aim, and kinds are told apart.

use std::time::Duration;

use laburnumtide::gate::{Decision, Gate, Limits, Offer, Offered};
use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;

/// Time that each request of the usual kind takes, in milliseconds.
const USUAL_MS: u64 = 400;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn offer(attempt: u64, now: u64, aim_ms: u64, deadline_ms: u64) -> Offer {
    Offer {
        attempt: AttemptId(attempt),
        account: Some("bank".parse().unwrap()),
        weight: Rate::per_sec(10),
        kind: "usual".to_owned(),
        priority: 1,
        deadline: at(now + deadline_ms),
        aim: Some(at(now + aim_ms)),
        patient: true,
    }
}

/// Returns a gate of two slots that has measured the usual kind.
fn measured() -> Gate {
    let limits = Limits {
        slots: Slots(2),
        connections: 10,
    };
    let mut gate = Gate::new(at(0), limits, false);
    for n in 0..50 {
        let start = n * USUAL_MS;
        let offered = gate.offer(at(start), offer(1_000 + n, start, 2_000, 4_000));
        assert_eq!(offered, Offered::Run);
        gate.finish(at(start + USUAL_MS), AttemptId(1_000 + n));
    }
    gate
}

/// First moment after the measurement.
const START: u64 = 50 * USUAL_MS;

/// Guards against queues that make every answer late: beyond the objective a request is refused at
/// once, with a time to come back, and is not held until its deadline.
#[test]
fn aim_bounds_queue() {
    let mut gate = measured();
    let mut waiting = 0;
    for n in 0..40 {
        match gate.offer(at(START), offer(n, START, 1_000, 8_000)) {
            Offered::Run => {}
            Offered::Queued => waiting += 1,
            Offered::Refused(refusal) => {
                assert_eq!(refusal.reason, Reason::Deadline);
                assert!(refusal.retry_after.is_some());
            }
        }
    }
    // Two slots free a place each 200 ms; half of the service time must be left at the start.
    assert!((2..=4).contains(&waiting), "{waiting} wait");
}

/// Guards against a request that is refused although a slot is free, only since it will be late.
#[test]
fn late_may_run() {
    let mut gate = measured();
    let offered = gate.offer(at(START), offer(1, START, 10, 8_000));
    assert_eq!(offered, Offered::Run);
}

/// Guards against a wait at a target while others are idle: without patience it is sent away.
#[test]
fn impatient() {
    let mut gate = measured();
    for n in 0..2 {
        gate.offer(at(START), offer(n, START, 2_000, 8_000));
    }
    let asked = Offer {
        patient: false,
        ..offer(5, START, 2_000, 8_000)
    };
    let Offered::Refused(Refusal {
        reason: Reason::Busy,
        retry_after: Some(wait),
        ..
    }) = gate.offer(at(START), asked)
    else {
        panic!("it must be sent away as busy");
    };
    assert!(wait <= Duration::from_millis(USUAL_MS), "{wait:?}");
}

/// Guards against short calls that are refused as late because other kinds take long.
#[test]
fn short_kind() {
    let mut gate = measured();
    let short = |n, now| Offer {
        kind: "short".to_owned(),
        aim: None,
        ..offer(n, now, 0, 300)
    };
    assert_eq!(gate.offer(at(START), short(900, START)), Offered::Run);
    gate.finish(at(START + 20), AttemptId(900));
    let now = START + 30;
    for n in 0..2 {
        gate.offer(at(now), offer(n, now, 2_000, 8_000));
    }
    assert_eq!(gate.offer(at(now), short(901, now)), Offered::Queued);
}

/// Guards against urgent requests that fare no better than others under overload, and against others
/// that get nothing.
#[test]
fn ranks_share() {
    let mut gate = measured();
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut served = [0, 0];
    for n in 0..4_000u64 {
        // Twice as many requests as two slots can serve.
        let now = START + n * USUAL_MS / 4;
        let mut started = Vec::new();
        while let Some(i) = ends.iter().position(|(_, end)| *end <= now) {
            let (attempt, _) = ends.swap_remove(i);
            started.extend(gate.finish(at(now), AttemptId(attempt)));
        }
        let offer = Offer {
            priority: (n % 2) as u8,
            ..offer(n, now, 1_000, 2_000)
        };
        if gate.offer(at(now), offer) == Offered::Run {
            started.push(Decision::Run(AttemptId(n)));
        }
        for decision in started {
            if let Decision::Run(attempt) = decision {
                ends.push((attempt.0, now + USUAL_MS));
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
