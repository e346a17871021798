//! What to do next with a request after each of its attempts.

use std::time::Duration;

use super::retry::{RetryContext, may_retry};
use crate::ids::TargetId;
use crate::outcome::{Outcome, Reason};
use crate::time::Time;

/// Attempts that ended at the gate of a target because it has just failed, before one is forced.
const SUSPECTS_MAX: usize = 5;

/// Attempts that ended at the gate of a target which refused to queue the request.
///
/// It may happen once more after the choice of the shortest queue.
const FULL_MAX: usize = 1;

/// Attempts for which no link to the node of a target could be opened.
const LINKS_MAX: usize = 3;

/// Targets that are asked for a free slot before the request waits at one of them.
///
/// What an ingress knows of the load of targets is seconds old, and a context takes milliseconds.
const ASKED_MAX: usize = 3;

/// What follows an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target; nothing reached a target, so this is no retry.
    Transparent,
    /// Send the request once more, which the budget of retries must allow.
    Retry,
    /// The outcome is final.
    Stop,
}

/// The attempts of one request.
///
/// An attempt that ended at a gate, or for which no link could be opened, cost the target nothing.
/// Only what was sent to a target counts as an attempt of the route and against the budget.
#[derive(Clone, Debug)]
pub struct RetryState {
    most: usize,
    sent: usize,
    suspects: usize,
    full: usize,
    unreached: usize,
    /// Targets without a free slot, with the wait that they expected.
    busy: Vec<(Duration, TargetId)>,
    may_queue: bool,
    tried: Vec<TargetId>,
    held: Vec<TargetId>,
    forced: bool,
}

impl RetryState {
    /// Begins a request that may be sent to `most` targets.
    pub fn new(most: usize) -> RetryState {
        RetryState {
            most,
            sent: 0,
            suspects: 0,
            full: 0,
            unreached: 0,
            busy: Vec::new(),
            may_queue: false,
            tried: Vec::new(),
            held: Vec::new(),
            forced: false,
        }
    }

    /// Returns the targets that the next attempt may not go to.
    pub fn tried(&self) -> &[TargetId] {
        &self.tried
    }

    /// Returns true if the next target takes the request although it has just failed.
    pub fn is_forced(&self) -> bool {
        self.forced
    }

    /// Returns true if the request may wait for a slot at the next target.
    pub fn may_queue(&self) -> bool {
        self.may_queue
    }

    /// Returns the target with the shortest wait, once enough were asked for a free slot.
    pub fn queue_at(&self) -> Option<&TargetId> {
        let best = self.busy.iter().min().map(|(_, id)| id);
        best.filter(|_| self.may_queue)
    }

    /// Takes in that no target is left to ask for a free slot, or to go to.
    ///
    /// Returns true if the request may wait at one that was busy, or if those that held it back may
    /// be asked once more, with force.
    pub fn relax(&mut self) -> bool {
        if !self.may_queue {
            self.may_queue = true;
            if !self.busy.is_empty() {
                return true;
            }
        }
        if self.forced || self.held.is_empty() {
            return false;
        }
        let held = std::mem::take(&mut self.held);
        self.tried.retain(|id| !held.contains(id));
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
        let goes_on = may_retry(now, context);
        match reason {
            Some(Reason::Suspect) => {
                self.held.push(target);
                self.suspects += 1;
                self.forced |= self.suspects >= SUSPECTS_MAX;
                proceed_if(
                    goes_on && self.suspects <= SUSPECTS_MAX,
                    RetryDecision::Transparent,
                )
            }
            Some(Reason::Busy) => {
                let wait = match context.outcome {
                    Outcome::NotRun(refusal) => refusal.retry_after.unwrap_or_default(),
                    _ => Duration::MAX,
                };
                self.busy.push((wait, target));
                self.may_queue = self.busy.len() >= ASKED_MAX;
                proceed_if(goes_on, RetryDecision::Transparent)
            }
            Some(Reason::Connect) => {
                self.busy.retain(|(_, id)| *id != target);
                self.unreached += 1;
                proceed_if(
                    goes_on && self.unreached <= LINKS_MAX,
                    RetryDecision::Transparent,
                )
            }
            Some(Reason::Shed) | None => {
                self.sent += 1;
                proceed_if(goes_on && self.sent < self.most, RetryDecision::Retry)
            }
            Some(_) => {
                self.busy.retain(|(_, id)| *id != target);
                self.full += 1;
                proceed_if(goes_on && self.full <= FULL_MAX, RetryDecision::Transparent)
            }
        }
    }
}

fn proceed_if(goes_on: bool, next: RetryDecision) -> RetryDecision {
    match goes_on {
        true => next,
        false => RetryDecision::Stop,
    }
}
