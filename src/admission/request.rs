//! A request for a slot of a target.

use std::time::Duration;

use super::fair::FlowId;
use crate::ids::{AccountName, AttemptId};
use crate::time::Time;
use crate::units::Rate;

/// Longest time in the queue as a multiple of the longest expected wait.
const WAIT_FACTOR: u32 = 4;

/// Least urgent priority with a weight of its own.
const PRIORITY_MAX: u8 = 8;

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client account, or `None` on a route open to all.
    pub account: Option<AccountName>,
    /// The account's rate, or the open rate of the service; shares are in proportion to it.
    pub weight: Rate,
    /// The kind of request, usually the name of its route; service times are kept by kind.
    pub kind: String,
    /// The priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// True if a target makes the request while it runs another.
    pub is_call: bool,
    /// The time by which the response must be complete.
    pub deadline: Time,
    /// The time by which the response should be complete, or `None` if only the deadline counts.
    ///
    /// A request waits for a slot only if it can still meet its objective.
    pub objective: Option<Time>,
    /// Longest expected wait for a slot; the request is refused as busy if it is longer.
    pub wait_max: Duration,
}

impl SlotRequest {
    /// Returns true if the request has no flow of its own and makes no part of a run.
    pub(super) fn is_anonymous(&self) -> bool {
        self.account.is_none() && !self.is_call
    }

    pub(super) fn flow(&self) -> Option<FlowId> {
        let account = self.account.clone()?;
        Some(FlowId {
            account,
            priority: self.priority,
        })
    }

    /// Returns the weight in the queue: that of the account, doubled for each step of urgency.
    ///
    /// Under load the urgent requests get the larger share without starving the others.
    pub(super) fn queue_weight(&self) -> Rate {
        let priority = self.priority.min(PRIORITY_MAX);
        Rate::from_millis(self.weight.as_millis() << (PRIORITY_MAX - priority))
    }

    /// Returns when a request that queues now goes elsewhere unless it has got a slot.
    ///
    /// The target may have stopped to work after the wait was estimated.
    pub(super) fn leaves(&self, now: Time) -> Time {
        match (self.wait_max, self.objective) {
            (Duration::MAX, Some(objective)) => objective + objective.since(now),
            (Duration::MAX, None) => self.deadline,
            (wait_max, _) => now + wait_max * WAIT_FACTOR,
        }
    }

    /// Returns the time by which a request that waits for a slot must be able to end.
    pub(super) fn wait_limit(&self) -> Time {
        self.objective
            .map_or(self.deadline, |objective| objective.min(self.deadline))
    }
}
