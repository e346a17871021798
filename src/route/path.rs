//! What one ingress sees of the path to a target, apart from the target's own measurements.

use std::time::Duration;

use super::AttemptEvent;
use crate::time::Time;

/// Connect failures in a row that make a path bad.
const CONNECT_FAILURES: u32 = 2;

/// Losses in a row, without an answer between them, that make a path bad.
const LOSSES: u32 = 2;

/// Attempts lost within this time count as one loss, since one broken link loses all its requests.
const SAME_LOSS: Duration = Duration::from_millis(100);

/// Attempts that must all be overdue, without any answer, before silence counts.
///
/// Two long requests at the same time happen by chance; three with nothing answered do not.
const SILENT_ATTEMPTS: usize = 3;

/// Shortest silence that makes a path bad.
const LEAST_SILENCE: Duration = Duration::from_millis(400);

/// Usual service times of silence that make a path bad; a full queue takes eight of them.
const SILENCE_FACTOR: u32 = 12;

/// The path from this ingress to one target.
///
/// Any answer proves that both directions work, so it clears what was held against the path.
#[derive(Clone, Debug, Default)]
pub(super) struct Path {
    /// Attempts that have neither been answered nor given up.
    pub outstanding: u32,
    refused_links: u32,
    losses: u32,
    last_loss: Option<Time>,
    /// When the first attempts after the last answer were sent.
    unanswered: Vec<Time>,
}

impl Path {
    pub fn report(&mut self, now: Time, event: AttemptEvent) {
        match event {
            AttemptEvent::Sent => self.sent(now),
            AttemptEvent::ConnectFailed => self.refused_links += 1,
            AttemptEvent::Responded => {
                self.ended();
                self.restart();
            }
            AttemptEvent::LostLink | AttemptEvent::NoResponse => {
                self.ended();
                self.lost(now);
            }
            AttemptEvent::Cancelled => self.ended(),
        }
    }

    /// Returns true if the path fails, given the usual service time of the service.
    pub fn is_bad(&self, now: Time, usual: Duration) -> bool {
        let limit = LEAST_SILENCE.max(usual * SILENCE_FACTOR);
        let last = self.unanswered.get(SILENT_ATTEMPTS - 1);
        let is_silent = last.is_some_and(|t| now.since(*t) >= limit);
        is_silent || self.refused_links >= CONNECT_FAILURES || self.losses >= LOSSES
    }

    /// Forgets the past; attempts in flight stay counted.
    pub fn restart(&mut self) {
        *self = Path {
            outstanding: self.outstanding,
            ..Path::default()
        };
    }

    fn sent(&mut self, now: Time) {
        self.outstanding += 1;
        if self.unanswered.len() < SILENT_ATTEMPTS {
            self.unanswered.push(now);
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
