//! How often the health of a target is published to the fleet.

use std::time::Duration;

use laburnumtide::ids::AttemptId;
use laburnumtide::prelude::*;
use laburnumtide::route::{AttemptResult, Meter};

/// Guards against a publication to the whole fleet each time that the median of a healthy target
/// changes its latency band. The service times lie on both sides of the edge between two bands, so
/// the median of a hundred requests changes its band every few seconds.
#[test]
fn median_at_edge() {
    let start = Time::from_millis(3_600_000);
    let mut meter = Meter::new(start);
    let mut published = 0;
    for i in 0..60_000_u64 {
        let now = start + Duration::from_millis(10) * i as u32;
        // In the bands below and above 16 ms, in runs longer than the window.
        let service_time = Duration::from_millis(if i / 200 % 2 == 0 { 15 } else { 17 });
        meter.start(now, AttemptId(i));
        meter.end(
            now + service_time,
            AttemptId(i),
            "records",
            AttemptResult::Success,
        );
        if i % 25 == 24 && meter.publish(now + service_time).is_some() {
            published += 1;
        }
    }
    // Ten minutes hold five regular publications; the first sample is published in steps.
    assert!(published <= 10, "{published} publications");
}
