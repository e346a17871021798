//! Which attempts count for the service time of a target.

use std::time::Duration;

use laburnumtide::admission::{Limits, SlotRequest};
use laburnumtide::node::slots::TargetQueue;
use laburnumtide::prelude::*;
use tokio::time::sleep;

/// Service time of the target.
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn request(clock: Monotonic, attempt: u64) -> SlotRequest {
    SlotRequest {
        attempt: AttemptId(attempt),
        account: Some("bank".parse().unwrap()),
        weight: Rate::per_sec(10),
        kind: "read".to_owned(),
        priority: 0,
        is_call: false,
        deadline: clock.now() + Duration::from_secs(5),
        objective: None,
        wait_max: Duration::ZERO,
    }
}

/// Guards against refused attempts, and errors that come at once, which make a failing target look
/// fast and attract requests.
#[tokio::test]
async fn only_runs_count() {
    let clock = Monotonic::new();
    let limits = Limits {
        slots: Slots(4),
        connections: 10,
    };
    let queue = TargetQueue::new(clock, limits, false);
    for attempt in 0..10 {
        let mut slot = queue.enter(request(clock, attempt)).await.unwrap();
        sleep(SERVICE_TIME).await;
        slot.mark_ran();
    }
    let measured = queue.load().service_time;
    assert!(measured >= SERVICE_TIME * 9 / 10, "{measured:?}");
    // The breaker refuses these after they got a slot, or the target fails them at once.
    for attempt in 100..200 {
        drop(queue.enter(request(clock, attempt)).await.unwrap());
    }
    assert_eq!(queue.load().service_time, measured);
}
