//! The slots and the fair queue of one target.
//!
//! The egress offers each request to the [`Gate`] of its target. The gate runs it, queues it or
//! refuses it at once, and is the only place that knows whether a request was handed over.

use std::collections::VecDeque;
use std::time::Duration;

use crate::fleet::TargetState;
use crate::ids::{AccountName, AttemptId};
use crate::outcome::{Reason, Refusal};
use crate::time::Time;
use crate::units::{Rate, Slots};

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client account, or `None` on a route open to all.
    pub account: Option<AccountName>,
    /// The account's rate, or the open rate of the service; it weighs the share of the account.
    pub weight: Rate,
    /// The time by which the answer must be complete.
    pub deadline: Time,
}

/// The answer to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// The request holds a slot; hand it over to the target.
    Run,
    /// The request waits; a later [`Decision`] names it.
    Queued,
    /// The request did not run and does not wait.
    Refused(Refusal),
}

/// What happens to a queued attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt holds a slot now; hand it over to the target.
    Run(AttemptId),
    /// The attempt left the queue and did not run.
    Refuse(AttemptId, Refusal),
}

/// What became of a cancelled attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It left the queue before hand-over and did not run.
    Removed,
    /// It was handed over and holds its slot until [`Gate::finish`].
    Running,
    /// The gate does not know it, or it has ended.
    Absent,
}

/// The limits that a target announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How many requests it serves at the same time.
    pub slots: Slots,
    /// How many connections it accepts; each running request uses one.
    pub connections: u32,
}

impl Limits {
    /// Returns how many requests may run at the same time.
    pub fn running(self) -> usize {
        self.slots.0.min(self.connections) as usize
    }
}

/// What a gate tells about itself on answers and in metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Slots open at present.
    pub slots: u32,
    /// Mean service time of late.
    pub service: Duration,
}

/// Queue places for each slot.
const QUEUE_PER_SLOT: usize = 4;

/// The slots and the queue of one target.
#[derive(Clone, Debug)]
pub struct Gate {
    limits: Limits,
    draining: bool,
    running: Vec<(AttemptId, Time)>,
    queue: VecDeque<Offer>,
}

impl Gate {
    /// Creates the gate of a target that was first seen at `now`.
    pub fn new(_now: Time, limits: Limits, _cold: bool) -> Gate {
        Gate {
            limits,
            draining: false,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Time, offer: Offer) -> Offered {
        if self.draining {
            return Offered::Refused(Refusal::new(Reason::Draining));
        }
        if self.running.len() < self.limits.running() {
            self.running.push((offer.attempt, now));
            return Offered::Run;
        }
        if self.queue.len() >= self.limits.running() * QUEUE_PER_SLOT {
            let delay = Duration::from_millis(100);
            return Offered::Refused(Refusal::after(Reason::QueueFull, delay));
        }
        self.queue.push_back(offer);
        Offered::Queued
    }

    /// Gives back the slot of an attempt that ended, and decides who takes it.
    pub fn finish(&mut self, now: Time, attempt: AttemptId) -> Vec<Decision> {
        self.running.retain(|(a, _)| *a != attempt);
        self.expire(now)
    }

    /// Withdraws an attempt.
    pub fn cancel(&mut self, _now: Time, attempt: AttemptId) -> Cancelled {
        if self.running.iter().any(|(a, _)| *a == attempt) {
            return Cancelled::Running;
        }
        match self.queue.iter().position(|o| o.attempt == attempt) {
            Some(at) => {
                self.queue.remove(at);
                Cancelled::Removed
            }
            None => Cancelled::Absent,
        }
    }

    /// Drops queued requests that can no longer meet their deadline and fills free slots.
    pub fn expire(&mut self, now: Time) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.queue.retain(|o| {
            let late = o.deadline <= now;
            if late {
                let refusal = Refusal::new(Reason::Deadline);
                decisions.push(Decision::Refuse(o.attempt, refusal));
            }
            !late
        });
        while self.running.len() < self.limits.running() {
            let Some(offer) = self.queue.pop_front() else {
                break;
            };
            self.running.push((offer.attempt, now));
            decisions.push(Decision::Run(offer.attempt));
        }
        decisions
    }

    /// Returns when [`Gate::expire`] is due, if anything waits.
    pub fn next_expiry(&self) -> Option<Time> {
        self.queue.iter().map(|o| o.deadline).min()
    }

    /// Takes over changed limits; running requests keep their slots.
    pub fn set_limits(&mut self, now: Time, limits: Limits) -> Vec<Decision> {
        self.limits = limits;
        self.expire(now)
    }

    /// Refuses new work from now on; what runs or waits goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the state to publish in the node record.
    pub fn state(&self, _now: Time) -> TargetState {
        match self.draining {
            true => TargetState::Draining,
            false => TargetState::Ready,
        }
    }

    /// Returns true if nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the present load.
    pub fn load(&self, _now: Time) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.limits.running() as u32,
            service: Duration::ZERO,
        }
    }
}
