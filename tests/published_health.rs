//! How often the measurement of a target is told to the fleet.

use std::time::Duration;

use laburnumtide::ids::AttemptId;
use laburnumtide::prelude::*;
use laburnumtide::route::{AttemptResult, Meter};

/// Guards against a message to the whole fleet for each chance step of a healthy target's median.
///
/// The service time lies at the edge of two latency bands, where the median of a hundred requests
/// changes band every few seconds.
#[test]
fn median_at_edge() {
    let start = Time::from_millis(3_600_000);
    let mut meter = Meter::new(start);
    let mut published = 0;
    for i in 0..60_000_u64 {
        let now = start + Duration::from_millis(10) * i as u32;
        // One band below and above 16 ms, in runs longer than the window.
        let took = Duration::from_millis(if i / 200 % 2 == 0 { 15 } else { 17 });
        meter.start(now, AttemptId(i));
        meter.end(now + took, AttemptId(i), "records", AttemptResult::Success);
        if i % 25 == 24 && meter.publish(now + took).is_some() {
            published += 1;
        }
    }
    // Ten minutes hold five regular repeats; the first sample is told in steps.
    assert!(published <= 10, "{published} publications");
}
