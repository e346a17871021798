//! Decisions of a node that stops: which requests it still takes, and when it ends the others.
//!
//! A stopped process is killed after a grace period. A request that is taken in that time and can't
//! end in it is cut while its target works, so it is better refused while that is still safe.

use std::time::Duration;

use crate::outcome::{Reason, Refusal};

/// Samples of a kind of request that are kept.
const SAMPLES_MAX: usize = 200;

/// Maximum number of kinds of requests.
const KINDS_MAX: usize = 1_024;

/// Number of samples from which on an estimate counts; with fewer, the highest of them says little.
const SAMPLES_MIN: usize = 10;

/// Percentage of requests that end within [`RequestTimes::likely`]; a caller mostly has no other node
/// that could take its request.
const LIKELY_PERCENT: usize = 50;

/// Percentage of requests that end within [`RequestTimes::usual`], before its margin; an ingress
/// mostly has other targets for a request that an egress refuses.
const USUAL_PERCENT: usize = 95;

/// Margin of [`RequestTimes::usual`], as a divisor.
const USUAL_MARGIN_DIVISOR: u32 = 4;

/// Longest time during which a stopped node takes requests.
const TAKE_MAX: Duration = Duration::from_secs(3);

/// Time by which a signal may come late on a loaded VM; counts against the time for taking requests,
/// since a process can't tell when the signal was sent.
const SIGNAL_MARGIN: Duration = Duration::from_millis(600);

/// Limits of the retry delay of a refusal: a process is often gone long before the end of its drain.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(3);

/// Parts of the grace period, as divisors: for taking requests, before its end for ending those that
/// are left, for responses under way after that, and for closing connections after that.
const TAKE_DIVISOR: u32 = 2;
const END_DIVISOR: u32 = 7;
const FLUSH_DIVISOR: u32 = 40;
const CLOSE_DIVISOR: u32 = 60;

/// The times of a drain, counted from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// No request is taken from here on.
    pub take: Duration,
    /// Requests without a response are ended here.
    pub end: Duration,
    /// Responses that aren't complete are broken off here.
    pub flush: Duration,
    /// The process ends here, whichever connections are open.
    pub close: Duration,
}

/// When a request ends, as far as that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestEnd {
    /// Time until the caller no longer waits, if the caller states that.
    pub left: Option<Duration>,
    /// Time that it takes, estimated from others of its kind.
    pub estimate: Option<Duration>,
}

impl DrainTimes {
    /// Returns the times of a process that is killed `grace` after its stop signal.
    pub fn for_grace(grace: Duration) -> DrainTimes {
        let end = grace - grace / END_DIVISOR;
        let flush = end + grace / FLUSH_DIVISOR;
        DrainTimes {
            take: (grace / TAKE_DIVISOR)
                .min(TAKE_MAX)
                .saturating_sub(SIGNAL_MARGIN),
            end,
            flush,
            close: flush + grace / CLOSE_DIVISOR,
        }
    }

    /// Decides whether a request is taken `elapsed` after the stop signal.
    ///
    /// # Errors
    ///
    /// Refuses a request that probably can't end in what is left, until when the process is gone.
    pub fn check(&self, elapsed: Duration, request: RequestEnd) -> Result<(), Refusal> {
        let left = self.end.saturating_sub(elapsed);
        let ends_in_time = |time: Duration| time <= left;
        let is_bounded = request.left.is_some_and(ends_in_time);
        let is_short = request.estimate.is_none_or(ends_in_time);
        match elapsed < self.take && (is_bounded || is_short) {
            true => Ok(()),
            false => Err(self.refusal(elapsed)),
        }
    }

    /// Returns the refusal of a request `elapsed` after the stop signal.
    pub fn refusal(&self, elapsed: Duration) -> Refusal {
        let left = self.close.saturating_sub(elapsed);
        Refusal::after(Reason::Draining, left.clamp(RETRY_MIN, RETRY_MAX))
    }
}

/// The times that recent requests took, by kind.
#[derive(Clone, Debug, Default)]
pub struct RequestTimes {
    /// Sorted by kind.
    kinds: Vec<KindTimes>,
}

/// The times of one kind of request; the oldest is replaced first.
#[derive(Clone, Debug)]
struct KindTimes {
    kind: String,
    times: Vec<Duration>,
    next: usize,
}

impl RequestTimes {
    /// Records the time that a request took until its response was complete.
    pub fn record(&mut self, kind: &str, time: Duration) {
        let at = match self.position(kind) {
            Ok(at) => at,
            Err(_) if self.kinds.len() >= KINDS_MAX => return,
            Err(at) => {
                self.kinds.insert(at, KindTimes::new(kind));
                at
            }
        };
        self.kinds[at].record(time);
    }

    /// Returns the time in which half of the requests of this kind end; `None` if too few ended.
    pub fn likely(&self, kind: &str) -> Option<Duration> {
        self.quantile(kind, LIKELY_PERCENT)
    }

    /// Returns the time in which requests of this kind end, with few exceptions and a margin; `None`
    /// if too few ended.
    pub fn usual(&self, kind: &str) -> Option<Duration> {
        let time = self.quantile(kind, USUAL_PERCENT)?;
        Some(time + time / USUAL_MARGIN_DIVISOR)
    }

    fn quantile(&self, kind: &str, percent: usize) -> Option<Duration> {
        let at = self.position(kind).ok()?;
        self.kinds[at].quantile(percent)
    }

    fn position(&self, kind: &str) -> Result<usize, usize> {
        self.kinds.binary_search_by(|k| k.kind.as_str().cmp(kind))
    }
}

impl KindTimes {
    fn new(kind: &str) -> KindTimes {
        KindTimes {
            kind: kind.to_owned(),
            times: Vec::new(),
            next: 0,
        }
    }

    fn record(&mut self, time: Duration) {
        if self.times.len() < SAMPLES_MAX {
            self.times.push(time);
            return;
        }
        self.times[self.next] = time;
        self.next = (self.next + 1) % SAMPLES_MAX;
    }

    fn quantile(&self, percent: usize) -> Option<Duration> {
        if self.times.len() < SAMPLES_MIN {
            return None;
        }
        let mut sorted = self.times.clone();
        sorted.sort_unstable();
        Some(sorted[(sorted.len() - 1) * percent / 100])
    }
}
