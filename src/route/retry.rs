//! Which requests are sent again, and how many.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::outcome::{Outcome, Reason, Refusal};
use crate::time::Time;

/// Retries that each request earns where no limits are set: a tenth of the traffic.
const RETRY_SHARE: f64 = 0.1;

/// Retries that can be saved up where no limits are set, so that a lost target's requests in flight
/// can move at once.
const SAVED_MAX: f64 = 20.0;

/// Part of the share of retries in the limits that nodes use.
///
/// The rest is for the calls that a repeated run makes again, which count at the service that is
/// called, and for requests that move between two windows.
const RATIO_USED: f64 = 0.75;

/// Part of the retries beyond the share that nodes use, for the same reasons.
const EXTRA_USED: f64 = 0.8;

/// Retries that the whole fleet may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries as a share of the requests.
    pub ratio: f64,
    /// Retries beyond that share in any window.
    pub extra: u32,
}

/// A budget of retries of one service at one node.
///
/// Without it, retries multiply the load of a service that fails as a whole.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
    most: f64,
}

impl RetryBudget {
    /// Creates a budget with the saved-up retries of a quiet time.
    pub fn new() -> Self {
        RetryBudget {
            share: RETRY_SHARE,
            saved: SAVED_MAX,
            most: SAVED_MAX,
        }
    }

    /// Creates the budget of one of `nodes` nodes that keep `limits` together: each earns a share of
    /// its own requests and saves up no more than its part of the extra.
    pub fn shared(limits: RetryLimits, nodes: usize) -> Self {
        let mut budget = RetryBudget {
            share: limits.ratio * RATIO_USED,
            saved: f64::INFINITY,
            most: 0.0,
        };
        budget.set_nodes(limits, nodes);
        budget
    }

    /// Takes in how many nodes keep `limits` together.
    pub fn set_nodes(&mut self, limits: RetryLimits, nodes: usize) {
        let part = f64::from(limits.extra) * EXTRA_USED / nodes.max(1) as f64;
        // At least one retry can be saved up, or a node among very many could never repeat.
        self.most = part.max(1.0);
        self.saved = self.saved.min(self.most);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
    }

    /// Takes one retry; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        // The sum of many shares is off by rounding.
        let enough = self.saved >= 1.0 - f64::EPSILON * SAVED_MAX;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new()
    }
}

/// Least time that must be left before the deadline for another attempt.
pub const LEAST_TIME_LEFT: Duration = Duration::from_millis(2);

/// What is known when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext<'a> {
    /// How the attempt ended.
    pub outcome: &'a Outcome,
    /// True if the route declares the method idempotent.
    pub idempotent: bool,
    /// True if the body can be sent again from its beginning.
    pub replayable: bool,
    /// The time by which the answer must be complete.
    pub deadline: Time,
}

/// Returns true if the request may be sent to another target; the budget is asked after this.
///
/// A request that may have run is sent again only if it is idempotent. A refusal that depends on
/// the request and not on the target is final.
pub fn may_retry(now: Time, context: &RetryContext<'_>) -> bool {
    let in_time = now + LEAST_TIME_LEFT < context.deadline;
    let safe = match context.outcome {
        Outcome::Response => false,
        Outcome::NotRun(refusal) => is_of_target(refusal),
        Outcome::Unknown(_) => context.idempotent,
    };
    in_time && safe && context.replayable
}

/// Returns true if another target may decide otherwise.
fn is_of_target(refusal: &Refusal) -> bool {
    use Reason::*;
    matches!(
        refusal.reason,
        Draining | Starting | QueueFull | Busy | AccountShare | Deadline | Shed | Suspect | Connect
    )
}

/// Whether an attempt of a request may have reached a target.
///
/// An idempotent request may be sent again after an attempt of unknown outcome. If the last attempt
/// is refused, the request as a whole may still have run, so the caller must not read "not run".
#[derive(Debug, Default)]
pub struct Delivery {
    sent: AtomicBool,
}

impl Delivery {
    /// Notes that an attempt is about to be sent; returns what to restore if it did not run.
    pub fn mark_sent(&self) -> bool {
        self.sent.swap(true, Ordering::SeqCst)
    }

    /// Takes back a note after proof that the attempt did not run.
    pub fn restore(&self, earlier: bool) {
        self.sent.store(earlier, Ordering::SeqCst);
    }

    /// Returns true if an attempt may have reached a target.
    pub fn may_have_run(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Returns the outcome of a request that ends with `refusal`.
    pub fn final_outcome(&self, refusal: Refusal) -> Outcome {
        match self.may_have_run() {
            true => Outcome::Unknown(refusal.reason),
            false => Outcome::NotRun(refusal),
        }
    }
}
