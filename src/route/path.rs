//! Failures on the path from one ingress to one target.
//!
//! The egress can't measure them, as it sees only the requests that reach it.

use std::time::Duration;

use super::AttemptEvent;
use crate::time::Time;

/// Consecutive connect failures after which a path counts as failing.
const CONNECT_FAILURES: u32 = 2;

/// Losses without a response between them after which a path counts as failing.
const LOSSES: u32 = 2;

/// Attempts lost within this time count as one loss, since a broken link loses all its requests.
const SAME_LOSS: Duration = Duration::from_millis(100);

/// Attempts that must be overdue, with no response since, for a path to count as unresponsive.
///
/// Two long requests at the same time are common; three without any response are not.
const OVERDUE_ATTEMPTS: usize = 3;

/// Minimum time without a response after which an attempt is overdue.
const OVERDUE_MIN: Duration = Duration::from_millis(400);

/// Time without a response after which an attempt is overdue, as a multiple of the typical service
/// time; a full queue takes eight of them.
const OVERDUE_FACTOR: u32 = 12;

/// The path from this ingress to one target.
///
/// Any response proves that both directions work, so it clears earlier failures.
#[derive(Clone, Debug, Default)]
pub(super) struct Path {
    /// Attempts that have not ended.
    pub outstanding: u32,
    connect_failures: u32,
    losses: u32,
    last_loss: Option<Time>,
    /// When the first attempts since the last response were sent.
    pending: Vec<Time>,
}

impl Path {
    pub fn report(&mut self, now: Time, event: AttemptEvent) {
        match event {
            AttemptEvent::Sent => self.sent(now),
            AttemptEvent::ConnectFailed => self.connect_failures += 1,
            AttemptEvent::Responded => {
                self.ended();
                self.reset();
            }
            AttemptEvent::LostLink | AttemptEvent::NoResponse => {
                self.ended();
                self.lost(now);
            }
            AttemptEvent::Cancelled => self.ended(),
        }
    }

    /// Returns true if the path fails, given the typical service time.
    pub fn is_failing(&self, now: Time, typical: Duration) -> bool {
        let limit = OVERDUE_MIN.max(typical * OVERDUE_FACTOR);
        let last = self.pending.get(OVERDUE_ATTEMPTS - 1);
        let is_unresponsive = last.is_some_and(|t| now.since(*t) >= limit);
        is_unresponsive || self.connect_failures >= CONNECT_FAILURES || self.losses >= LOSSES
    }

    /// Clears all failures; attempts in flight stay counted.
    pub fn reset(&mut self) {
        *self = Path {
            outstanding: self.outstanding,
            ..Path::default()
        };
    }

    fn sent(&mut self, now: Time) {
        self.outstanding += 1;
        if self.pending.len() < OVERDUE_ATTEMPTS {
            self.pending.push(now);
        }
    }

    fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    fn lost(&mut self, now: Time) {
        let is_same = self.last_loss.is_some_and(|t| now.since(t) < SAME_LOSS);
        self.last_loss = Some(now);
        if !is_same {
            self.losses += 1;
        }
    }
}
