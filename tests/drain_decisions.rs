//! Which requests a stopped node takes, and when it ends the others.

use std::time::Duration;

use laburnumtide::drain::{DrainTimes, RequestEnd, RequestTimes};

const GRACE: Duration = Duration::from_secs(6);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against requests that are taken later than 3 s after a stop signal, whatever the grace
/// period, and against requests that are cut before its last sixth or a process that outlives it.
#[test]
fn times_stay_in_bounds() {
    for grace_ms in [1_000, 3_000, 6_000, 10_000, 60_000, 600_000] {
        let grace = ms(grace_ms);
        let times = DrainTimes::for_grace(grace);
        assert!(times.take + ms(500) <= Duration::from_secs(3), "{times:?}");
        assert!(times.end > grace - grace / 6, "{times:?}");
        assert!(times.end < times.flush && times.flush < times.close);
        assert!(times.close + grace / 12 < grace, "{times:?}");
    }
}

/// Guards against a request that is taken although it most likely can't end before the drain does.
#[test]
fn long_requests_are_refused() {
    let times = DrainTimes::for_grace(GRACE);
    let long = RequestEnd {
        left: Some(ms(8_000)),
        estimate: Some(ms(4_500)),
    };
    assert!(times.check(ms(0), long).is_ok());
    assert!(times.check(ms(1_000), long).is_err());
    let bounded = RequestEnd {
        left: Some(ms(2_500)),
        ..long
    };
    assert!(times.check(ms(2_000), bounded).is_ok());
    let short = RequestEnd {
        estimate: Some(ms(600)),
        ..long
    };
    assert!(times.check(times.take - ms(1), short).is_ok());
    assert!(times.check(times.take, short).is_err());
}

/// Guards against a retry delay after which the refusing process is still there.
#[test]
fn retry_delay_is_what_is_left() {
    let times = DrainTimes::for_grace(GRACE);
    let elapsed = ms(3_000);
    let refusal = times.check(elapsed, RequestEnd::default()).unwrap_err();
    assert_eq!(refusal.retry_after, Some(times.close - elapsed));
}

/// Guards against an estimate that rests on a few requests, or on another kind.
#[test]
fn estimate_needs_samples() {
    let mut times = RequestTimes::default();
    for n in 0..9 {
        times.record("lookup", ms(100 + n));
    }
    assert_eq!(times.usual("lookup"), None);
    for n in 0..400 {
        times.record("lookup", ms(n));
        times.record("report", ms(5_000));
    }
    let usual = times.usual("lookup").unwrap();
    assert!((ms(470)..ms(490)).contains(&usual), "{usual:?}");
    let likely = times.likely("lookup").unwrap();
    assert!((ms(295)..ms(305)).contains(&likely), "{likely:?}");
    assert_eq!(times.likely("report"), Some(ms(5_000)));
    assert_eq!(times.usual("other"), None);
}
