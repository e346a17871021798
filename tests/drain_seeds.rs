//! Stops of one or both hops of requests in virtual time, with late signals, late timers and slow
//! readers.

use std::time::Duration;

use laburnumtide::drain::{DrainTimes, RequestEnd, RequestTimes};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Seeds in a normal run; `DRAIN_SEEDS` sets another number.
const SEEDS: u64 = 500;

/// Requests around one stop.
const REQUESTS: usize = 60;

/// Grace period in milliseconds; a request counts as cut unless it was sent in its first half and
/// its target still works in its last sixth.
const GRACE_MS: i64 = 6_000;
const SENT_MAX_MS: i64 = 3_000;
const CUT_MIN_MS: i64 = 5_000;

/// Latest times of a signal and of a timer on a loaded VM, in milliseconds.
const SIGNAL_LATE_MS: i64 = 500;
const TIMER_LATE_MS: i64 = 100;

/// A node of which the signal was sent at `sent` and seen at `seen`, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Stop {
    seen: i64,
    times: DrainTimes,
}

impl Stop {
    fn new(random: &mut SmallRng, sent: i64) -> Stop {
        Stop {
            seen: sent + random.random_range(0..SIGNAL_LATE_MS),
            times: DrainTimes::for_grace(ms(GRACE_MS)),
        }
    }

    fn takes(&self, at: i64, estimate: Option<Duration>) -> bool {
        let request = RequestEnd {
            left: None,
            estimate,
        };
        at < self.seen || self.times.check(ms(at - self.seen), request).is_ok()
    }

    /// Returns when a time of the drain takes effect.
    fn at(&self, random: &mut SmallRng, time: Duration) -> i64 {
        self.seen + time.as_millis() as i64 + random.random_range(0..TIMER_LATE_MS)
    }
}

fn ms(n: i64) -> Duration {
    Duration::from_millis(n as u64)
}

/// Returns how many requests were taken and how many of these were cut where that is allowed.
fn run(seed: u64) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(seed);
    let ingress = Stop::new(&mut random, 0);
    let offset = random.random_range(-4_000..4_000);
    let egress = random
        .random_bool(0.5)
        .then(|| Stop::new(&mut random, offset));
    let longest = random.random_range(1..5_000);
    let mut recent = RequestTimes::default();
    for _ in 0..200 {
        recent.record("order", ms(random.random_range(0..longest)));
    }
    let (likely, usual) = (recent.likely("order"), recent.usual("order"));
    let ends = ingress.at(&mut random, ingress.times.end);
    let gone = ingress.at(&mut random, ingress.times.close);
    assert!(gone < GRACE_MS, "seed {seed}: gone at {gone} ms");
    let egress_ends = egress.map(|stop| stop.at(&mut random, stop.times.end));
    let (mut taken, mut cut) = (0, 0);
    for _ in 0..REQUESTS {
        let sent = random.random_range(-3_000..5_000);
        let dispatched = sent + random.random_range(0..20);
        let is_taken =
            ingress.takes(sent, likely) && egress.is_none_or(|stop| stop.takes(dispatched, usual));
        if !is_taken {
            continue;
        }
        taken += 1;
        let done = dispatched + random.random_range(0..longest);
        let first_end = egress_ends.map_or(ends, |at| at.min(ends));
        if done < first_end {
            continue;
        }
        cut += 1;
        assert!(
            sent <= SENT_MAX_MS && first_end >= CUT_MIN_MS,
            "seed {seed}: sent at {sent} ms, cut at {first_end} ms, done at {done} ms, {egress:?}"
        );
    }
    (taken, cut)
}

/// Guards against requests that a stopped node takes late and cuts while their target works, and
/// against a process that is still there at the end of the grace period.
#[test]
fn late_requests_are_not_cut() {
    let stated = std::env::var("DRAIN_SEEDS").ok();
    let seeds = stated.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let ends = (0..seeds).map(run);
    let (taken, cut) = ends.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    println!("seeds {seeds}, taken {taken}, cut in the last sixth {cut}");
    assert!(taken > 0);
}
