//! Which requests are sent again, and how many.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::outcome::{Outcome, Reason, Refusal};
use crate::time::Time;

/// Retries that each request earns, in thousandths: a tenth of the traffic.
const RETRY_MILLIS: u64 = 100;

/// One retry in thousandths.
const ONE_MILLIS: u64 = 1_000;

/// Retries that can be saved up, so that a lost target's requests in flight can move at once.
const SAVED_MAX: u64 = 20;

/// Least time that must be left before the deadline for another attempt.
pub const LEAST_TIME_LEFT: Duration = Duration::from_millis(2);

/// A budget of retries that is a share of traffic.
///
/// Without it, retries multiply the load of a service that fails as a whole.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    millis: u64,
}

impl RetryBudget {
    /// Creates a budget with the saved-up retries of a quiet time.
    pub fn new() -> Self {
        RetryBudget {
            millis: SAVED_MAX * ONE_MILLIS,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.millis = (self.millis + RETRY_MILLIS).min(SAVED_MAX * ONE_MILLIS);
    }

    /// Takes one retry; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.millis >= ONE_MILLIS;
        if enough {
            self.millis -= ONE_MILLIS;
        }
        enough
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new()
    }
}

/// What is known when an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct RetryQuestion<'a> {
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
pub fn may_retry(now: Time, question: &RetryQuestion<'_>) -> bool {
    let in_time = now + LEAST_TIME_LEFT < question.deadline;
    let safe = match question.outcome {
        Outcome::Answer => false,
        Outcome::NotRun(refusal) => is_of_target(refusal),
        Outcome::Unknown(_) => question.idempotent,
    };
    in_time && safe && question.replayable
}

/// Returns true if another target may decide otherwise.
fn is_of_target(refusal: &Refusal) -> bool {
    use Reason::*;
    matches!(
        refusal.reason,
        Draining | Starting | QueueFull | AccountShare | Deadline | Shed | Suspect | Connect
    )
}

/// Whether an attempt of a request may have reached a target.
///
/// An idempotent request may be sent again after an attempt of unknown outcome. If the last attempt
/// is refused, the request as a whole may still have run, so the caller must not read "not run".
#[derive(Debug, Default)]
pub struct Exposure {
    sent: AtomicBool,
}

impl Exposure {
    /// Notes that an attempt is about to be sent; returns what to restore if it did not run.
    pub fn begin(&self) -> bool {
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
    pub fn conclude(&self, refusal: Refusal) -> Outcome {
        match self.may_have_run() {
            true => Outcome::Unknown(refusal.reason),
            false => Outcome::NotRun(refusal),
        }
    }
}
