//! What to do next with a request after each of its attempts.

use std::time::Duration;

use super::retry::{RetryQuestion, may_retry};
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
/// What an ingress knows of the load of targets is seconds old, and a question takes milliseconds.
const ASKED_MAX: usize = 3;

/// What follows an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another target; nothing reached a target, so this is no retry.
    Elsewhere,
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
pub struct Course {
    most: usize,
    sent: usize,
    suspects: usize,
    full: usize,
    unreached: usize,
    /// Targets without a free slot, with the wait that they expected.
    busy: Vec<(Duration, TargetId)>,
    patient: bool,
    tried: Vec<TargetId>,
    held: Vec<TargetId>,
    forced: bool,
}

impl Course {
    /// Begins a request that may be sent to `most` targets.
    pub fn new(most: usize) -> Course {
        Course {
            most,
            sent: 0,
            suspects: 0,
            full: 0,
            unreached: 0,
            busy: Vec::new(),
            patient: false,
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
    pub fn is_patient(&self) -> bool {
        self.patient
    }

    /// Returns the target with the shortest wait, once enough were asked for a free slot.
    pub fn queue_at(&self) -> Option<&TargetId> {
        let best = self.busy.iter().min().map(|(_, id)| id);
        best.filter(|_| self.patient)
    }

    /// Takes in that no target is left to ask for a free slot, or to go to.
    ///
    /// Returns true if the request may wait at one that was busy, or if those that held it back may
    /// be asked once more, with force.
    pub fn insist(&mut self) -> bool {
        if !self.patient {
            self.patient = true;
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
    pub fn after(&mut self, now: Time, target: TargetId, question: &RetryQuestion<'_>) -> Next {
        self.tried.push(target.clone());
        let reason = match question.outcome {
            Outcome::NotRun(refusal) => Some(refusal.reason),
            _ => None,
        };
        let goes_on = may_retry(now, question);
        match reason {
            Some(Reason::Suspect) => {
                self.held.push(target);
                self.suspects += 1;
                self.forced |= self.suspects >= SUSPECTS_MAX;
                decide(goes_on && self.suspects <= SUSPECTS_MAX, Next::Elsewhere)
            }
            Some(Reason::Busy) => {
                let wait = match question.outcome {
                    Outcome::NotRun(refusal) => refusal.retry_after.unwrap_or_default(),
                    _ => Duration::MAX,
                };
                self.busy.push((wait, target));
                self.patient = self.busy.len() >= ASKED_MAX;
                decide(goes_on, Next::Elsewhere)
            }
            Some(Reason::Connect) => {
                self.busy.retain(|(_, id)| *id != target);
                self.unreached += 1;
                decide(goes_on && self.unreached <= LINKS_MAX, Next::Elsewhere)
            }
            Some(Reason::Shed) | None => {
                self.sent += 1;
                decide(goes_on && self.sent < self.most, Next::Retry)
            }
            Some(_) => {
                self.busy.retain(|(_, id)| *id != target);
                self.full += 1;
                decide(goes_on && self.full <= FULL_MAX, Next::Elsewhere)
            }
        }
    }
}

fn decide(goes_on: bool, next: Next) -> Next {
    match goes_on {
        true => next,
        false => Next::Stop,
    }
}
