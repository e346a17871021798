//! The standing of one target at one ingress: in rotation, ejected or returning.

use std::time::Duration;

use super::outlier::Cause;
use crate::fleet::Health;
use crate::time::Time;

/// First ejection time; it doubles with each further ejection.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Doublings at most, so that a repaired target is not away for more than minutes.
const LEVEL_MAX: u32 = 6;

/// Quiet time that undoes one doubling.
const DECAY: Duration = Duration::from_secs(60);

/// Time over which a returning target gets back its share.
pub const SLOW_START_WINDOW: Duration = Duration::from_secs(10);

/// Time at the end of an ejection in which probes are sent.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Share of its usual work with which a target returns.
const RETURN_SHARE: f64 = 0.05;

/// Where a target stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionState {
    /// It gets its full share.
    Active,
    /// It gets only probes until the time is over.
    Ejected {
        /// Why it was ejected.
        cause: Cause,
        /// When it may return.
        until: Time,
    },
    /// It gets a growing share.
    SlowStart {
        /// When the return began.
        since: Time,
    },
}

/// The standing with what is remembered of past ejections.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub standing: EjectionState,
    /// Severity at the last ejection.
    pub severity: f64,
    /// The health that led to the present ejection, unless the path did.
    pub charge: Option<Health>,
    /// Evidence from before this time belongs to an earlier standing.
    pub fresh_from: Time,
    level: u32,
    /// When the level was last raised or lowered.
    level_at: Time,
}

impl Record {
    pub fn new() -> Self {
        Record {
            standing: EjectionState::Active,
            severity: 0.0,
            charge: None,
            fresh_from: Time::ZERO,
            level: 0,
            level_at: Time::ZERO,
        }
    }

    pub fn is_active(&self) -> bool {
        self.standing == EjectionState::Active
    }

    pub fn is_ejected(&self) -> bool {
        matches!(self.standing, EjectionState::Ejected { .. })
    }

    /// Returns true if the target was ejected and has not been quiet for long since.
    pub fn is_suspect(&self) -> bool {
        matches!(self.standing, EjectionState::SlowStart { .. })
    }

    pub fn eject(&mut self, now: Time, cause: Cause, severity: f64) {
        self.decay(now);
        let length = BASE_EJECTION_TIME * 2u32.pow(self.level);
        self.level = (self.level + 1).min(LEVEL_MAX);
        self.level_at = now + length;
        self.standing = EjectionState::Ejected {
            cause,
            until: now + length,
        };
        self.severity = severity;
        self.fresh_from = now;
    }

    /// Prolongs an ejection whose probes failed.
    pub fn prolong(&mut self, now: Time) {
        if let EjectionState::Ejected { cause, .. } = self.standing {
            self.eject(now, cause, self.severity);
        }
    }

    /// Returns true shortly before the ejection ends, when probes show whether it should.
    ///
    /// Probes earlier in the ejection would only lose requests.
    pub fn is_probed(&self, now: Time) -> bool {
        matches!(self.standing, EjectionState::Ejected { until, .. } if until.since(now) <= PROBE_TIME)
    }

    pub fn begin_return(&mut self, now: Time) {
        self.standing = EjectionState::SlowStart { since: now };
        self.charge = None;
        self.fresh_from = now;
    }

    /// Puts the target back into full rotation.
    pub fn restore(&mut self) {
        self.standing = EjectionState::Active;
        self.charge = None;
    }

    /// Ends an ejection that proved to be wrong, and does not count it.
    pub fn acquit(&mut self) {
        self.level = self.level.saturating_sub(1);
        self.restore();
    }

    /// Returns true if the ejection time is over.
    pub fn is_due(&self, now: Time) -> bool {
        matches!(self.standing, EjectionState::Ejected { until, .. } if now >= until)
    }

    /// Moves on with time and returns true if the target is back in full rotation by it.
    pub fn advance(&mut self, now: Time) -> bool {
        self.decay(now);
        match self.standing {
            EjectionState::SlowStart { since } if now.since(since) >= SLOW_START_WINDOW => {
                self.restore();
                true
            }
            _ => false,
        }
    }

    /// Returns the share of its usual work that the target gets.
    pub fn share(&self, now: Time) -> f64 {
        match self.standing {
            EjectionState::Active => 1.0,
            EjectionState::Ejected { .. } => 0.0,
            EjectionState::SlowStart { since } => {
                let done = now.since(since).as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
                (RETURN_SHARE + (1.0 - RETURN_SHARE) * done).min(1.0)
            }
        }
    }

    fn decay(&mut self, now: Time) {
        while self.level > 0 && now.since(self.level_at) >= DECAY {
            self.level -= 1;
            self.level_at = self.level_at + DECAY;
        }
    }
}
