//! Which requests are retried, and the budget of retries.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::outcome::{Outcome, Reason, Refusal};
use crate::time::Time;

/// Retries that each request earns where no limits are set: a tenth of the traffic.
const DEFAULT_RATIO: f64 = 0.1;

/// Capacity of the token bucket where no limits are set, so that the requests in flight at a lost
/// target can be retried at once.
const DEFAULT_BURST: f64 = 20.0;

/// Fraction of [`RetryLimits::ratio`] that the nodes use.
///
/// A retried request repeats its calls to other services, which count as retries there, and some
/// requests shift from one measured window to the next. The rest is left for these.
const RATIO_USED: f64 = 0.75;

/// Fraction of [`RetryLimits::extra`] that the nodes use, for the same reasons.
const EXTRA_USED: f64 = 0.8;

/// Limits on the retries that the whole fleet sends to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries as a fraction of the requests.
    pub ratio: f64,
    /// Retries beyond that fraction in any window.
    pub extra: u32,
}

/// The retry budget of one service at one node: a token bucket that requests fill.
///
/// Without it, retries multiply the load on a service that fails as a whole.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
    burst: f64,
}

impl RetryBudget {
    /// Creates a full budget with the default limits.
    pub fn new() -> Self {
        RetryBudget {
            ratio: DEFAULT_RATIO,
            tokens: DEFAULT_BURST,
            burst: DEFAULT_BURST,
        }
    }

    /// Creates the full budget of one of `nodes` nodes that share `limits`.
    ///
    /// The requests of each node fill its bucket, whose capacity is the node's part of
    /// [`RetryLimits::extra`].
    pub fn shared(limits: RetryLimits, nodes: usize) -> Self {
        let mut budget = RetryBudget {
            ratio: limits.ratio * RATIO_USED,
            tokens: f64::INFINITY,
            burst: 0.0,
        };
        budget.set_nodes(limits, nodes);
        budget
    }

    /// Sets the number of nodes that share `limits`.
    pub fn set_nodes(&mut self, limits: RetryLimits, nodes: usize) {
        let part = f64::from(limits.extra) * EXTRA_USED / nodes.max(1) as f64;
        // The capacity is at least one retry, or a node among very many could never retry.
        self.burst = part.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        // Allows for the rounding error of many deposits.
        let enough = self.tokens >= 1.0 - f64::EPSILON * DEFAULT_BURST;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new()
    }
}

/// Minimum time left before the deadline for another attempt.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// The end of an attempt and the properties of its request that decide on a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext<'a> {
    /// How the attempt ended.
    pub outcome: &'a Outcome,
    /// True if the route declares the method idempotent.
    pub idempotent: bool,
    /// True if the body can be sent again from its beginning.
    pub replayable: bool,
    /// The time by which the response must be complete.
    pub deadline: Time,
}

/// Returns true if the request may be sent to another target, apart from the retry budget.
///
/// A request that may have run is sent again only if it is idempotent. A refusal that depends on
/// the request and not on the target is final.
pub fn may_retry(now: Time, context: &RetryContext<'_>) -> bool {
    let in_time = now + MIN_TIME_LEFT < context.deadline;
    let safe = match context.outcome {
        Outcome::Response => false,
        Outcome::NotRun(refusal) => depends_on_target(refusal),
        Outcome::Unknown(_) => context.idempotent,
    };
    in_time && safe && context.replayable
}

/// Returns true if another target may accept the request.
fn depends_on_target(refusal: &Refusal) -> bool {
    use Reason::*;
    matches!(
        refusal.reason,
        Draining | Starting | QueueFull | Busy | AccountShare | Deadline | Shed | Suspect | Connect
    )
}

/// Tracks whether any attempt of a request may have reached a target.
///
/// An idempotent request may be sent again after an attempt of unknown outcome. If the last attempt
/// is refused then, the request as a whole may still have run, so its outcome is not "not run".
#[derive(Debug, Default)]
pub struct Delivery {
    sent: AtomicBool,
}

impl Delivery {
    /// Records that an attempt is about to be sent.
    ///
    /// Returns the previous state, which [`Delivery::restore`] needs if the attempt did not run.
    pub fn mark_sent(&self) -> bool {
        self.sent.swap(true, Ordering::SeqCst)
    }

    /// Restores the state from before an attempt that provably did not run.
    pub fn restore(&self, before: bool) {
        self.sent.store(before, Ordering::SeqCst);
    }

    /// Returns true if an attempt may have reached a target.
    pub fn may_have_run(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Returns the outcome of a request whose last attempt ended with `refusal`.
    pub fn final_outcome(&self, refusal: Refusal) -> Outcome {
        match self.may_have_run() {
            true => Outcome::Unknown(refusal.reason),
            false => Outcome::NotRun(refusal),
        }
    }
}
