//! What an ingress has learned from refusals about when a target takes requests again.

use std::time::Duration;

use crate::outcome::{Reason, Refusal};
use crate::time::Time;

/// Longest time for which a refusal holds, as the state of a target changes within a second or two.
const HOLD_MAX: Duration = Duration::from_secs(1);

/// The time for which a target refuses requests, by its last refusal.
///
/// Without it, each request of an ingress learns anew what the one before it was told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Hold {
    /// Until when the circuit breaker is open.
    breaker: Time,
    /// Until when the wait for a slot is too long.
    busy: Time,
}

impl Hold {
    /// Records a refusal of the target's egress.
    pub fn record(&mut self, now: Time, refusal: &Refusal) {
        let until = now + refusal.retry_after.unwrap_or_default().min(HOLD_MAX);
        match refusal.reason {
            Reason::Suspect => self.breaker = until,
            Reason::Busy | Reason::QueueFull => self.busy = until,
            _ => {}
        }
    }

    /// Records that the target served a request.
    pub fn clear(&mut self) {
        *self = Hold::default();
    }

    /// Returns true if the target would refuse a request now.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.until()
    }

    /// Returns true if the target takes a request that waits for a slot.
    pub fn may_queue(&self, now: Time) -> bool {
        now < self.busy && self.breaker <= now
    }

    /// Returns the time until which the target refuses requests.
    pub fn until(&self) -> Time {
        self.breaker.max(self.busy)
    }
}
