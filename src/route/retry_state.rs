//! The attempts of one request and the decision after each of them.

use std::time::Duration;

use super::retry::{RetryContext, may_retry};
use crate::ids::TargetId;
use crate::outcome::{Outcome, Reason};
use crate::time::Time;

/// Number of attempts rejected by open circuit breakers after which the next one is forced
/// through.
const BREAKER_REJECTIONS_MAX: usize = 5;

/// Maximum number of attempts refused by an admission queue, other than as busy, after which
/// another attempt is allowed.
///
/// If the queue that was chosen as the shortest refuses the request, one more is tried.
const QUEUE_REFUSALS_MAX: usize = 1;

/// Maximum number of attempts without a link to the node of the target after which another attempt
/// is allowed.
const CONNECT_FAILURES_MAX: usize = 3;

/// Targets that refuse a request as busy before it queues at one of them.
///
/// The load that an ingress knows of is seconds old, while a refusal takes milliseconds.
const BUSY_TARGETS_MAX: usize = 3;

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target without charging the retry budget, as no target received the request.
    Transparent,
    /// Send the request again if the retry budget allows it.
    Retry,
    /// The outcome is final.
    Stop,
}

/// The attempts of one request.
///
/// An attempt that was refused admission, or for which no link could be opened, costs the target
/// nothing. Only requests that were sent to a target count against the route's attempts and the
/// retry budget.
#[derive(Clone, Debug)]
pub struct RetryState {
    max_attempts: usize,
    /// Attempts that were sent to a target.
    sent: usize,
    /// Attempts that an open circuit breaker rejected.
    breaker_rejections: usize,
    /// Attempts that an admission queue refused, other than as busy.
    queue_refusals: usize,
    /// Attempts without a link to the node of the target.
    connect_failures: usize,
    /// Targets without a free slot, with the wait that each expects.
    busy: Vec<(Duration, TargetId)>,
    may_queue: bool,
    tried: Vec<TargetId>,
    /// Targets whose open circuit breaker rejected an attempt.
    rejected_by: Vec<TargetId>,
    forced: bool,
}

impl RetryState {
    /// Creates the state of a request that may be sent to `max_attempts` targets.
    pub fn new(max_attempts: usize) -> RetryState {
        RetryState {
            max_attempts,
            sent: 0,
            breaker_rejections: 0,
            queue_refusals: 0,
            connect_failures: 0,
            busy: Vec::new(),
            may_queue: false,
            tried: Vec::new(),
            rejected_by: Vec::new(),
            forced: false,
        }
    }

    /// Returns the targets that the next attempt must avoid.
    pub fn tried(&self) -> &[TargetId] {
        &self.tried
    }

    /// Returns true if the next attempt passes an open circuit breaker.
    pub fn is_forced(&self) -> bool {
        self.forced
    }

    /// Returns true if the request may wait for a slot at the next target.
    pub fn may_queue(&self) -> bool {
        self.may_queue
    }

    /// Returns the busy target with the shortest wait, once the request may queue.
    pub fn queue_at(&self) -> Option<&TargetId> {
        let best = self.busy.iter().min().map(|(_, id)| id);
        best.filter(|_| self.may_queue)
    }

    /// Relaxes the rules once no untried target is left; returns true if that allows an attempt.
    ///
    /// The request may queue at a busy target first. After that it may pass the open circuit
    /// breakers that rejected it.
    pub fn relax(&mut self) -> bool {
        if !self.may_queue {
            self.may_queue = true;
            if !self.busy.is_empty() {
                return true;
            }
        }
        if self.forced || self.rejected_by.is_empty() {
            return false;
        }
        let rejected_by = std::mem::take(&mut self.rejected_by);
        self.tried.retain(|id| !rejected_by.contains(id));
        self.forced = true;
        true
    }

    /// Decides what follows the end of an attempt at `target`.
    pub fn decide(
        &mut self,
        now: Time,
        target: TargetId,
        context: &RetryContext<'_>,
    ) -> RetryDecision {
        self.tried.push(target.clone());
        let reason = match context.outcome {
            Outcome::NotRun(refusal) => Some(refusal.reason),
            _ => None,
        };
        let allowed = may_retry(now, context);
        match reason {
            Some(Reason::Suspect) => {
                self.rejected_by.push(target);
                self.breaker_rejections += 1;
                self.forced |= self.breaker_rejections >= BREAKER_REJECTIONS_MAX;
                or_stop(
                    allowed && self.breaker_rejections <= BREAKER_REJECTIONS_MAX,
                    RetryDecision::Transparent,
                )
            }
            Some(Reason::Busy) => {
                let wait = match context.outcome {
                    Outcome::NotRun(refusal) => refusal.retry_after.unwrap_or_default(),
                    _ => Duration::MAX,
                };
                self.busy.push((wait, target));
                self.may_queue = self.busy.len() >= BUSY_TARGETS_MAX;
                or_stop(allowed, RetryDecision::Transparent)
            }
            Some(Reason::Connect) => {
                self.busy.retain(|(_, id)| *id != target);
                self.connect_failures += 1;
                or_stop(
                    allowed && self.connect_failures <= CONNECT_FAILURES_MAX,
                    RetryDecision::Transparent,
                )
            }
            Some(Reason::Shed) | None => {
                self.sent += 1;
                or_stop(
                    allowed && self.sent < self.max_attempts,
                    RetryDecision::Retry,
                )
            }
            Some(_) => {
                self.busy.retain(|(_, id)| *id != target);
                self.queue_refusals += 1;
                or_stop(
                    allowed && self.queue_refusals <= QUEUE_REFUSALS_MAX,
                    RetryDecision::Transparent,
                )
            }
        }
    }
}

fn or_stop(allowed: bool, next: RetryDecision) -> RetryDecision {
    match allowed {
        true => next,
        false => RetryDecision::Stop,
    }
}
