//! Ejection of one target by one ingress, and its return in slow start.

use std::time::Duration;

use super::outlier::Cause;
use crate::fleet::Health;
use crate::time::Time;

/// Length of a first ejection; each further one takes twice as long.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Maximum number of doublings, so that a repaired target is back within minutes.
const LEVEL_MAX: u32 = 6;

/// Time without a further ejection that undoes one doubling.
const DECAY: Duration = Duration::from_secs(60);

/// Length of the slow start after an ejection.
pub const SLOW_START_WINDOW: Duration = Duration::from_secs(10);

/// Time at the end of an ejection in which probes are sent.
const PROBE_TIME: Duration = Duration::from_secs(2);

/// Share of its full load with which a target returns.
const INITIAL_SHARE: f64 = 0.05;

/// Whether a target is in rotation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EjectionState {
    /// It receives its full share of requests.
    Active,
    /// It receives only probes until the ejection ends.
    Ejected {
        /// Why it was ejected.
        cause: Cause,
        /// When the ejection ends.
        until: Time,
    },
    /// It receives a growing share of requests after an ejection.
    SlowStart {
        /// When the ejection ended.
        since: Time,
    },
}

/// The ejection state of a target and its past ejections.
#[derive(Clone, Debug)]
pub(super) struct Ejection {
    pub state: EjectionState,
    /// Severity at the last ejection.
    pub severity: f64,
    /// The health that caused the current ejection, unless the path did.
    pub trigger: Option<Health>,
    /// Observations from before this time belong to an earlier state.
    pub fresh_from: Time,
    /// Doublings of the next ejection.
    level: u32,
    /// When the level was last raised or lowered.
    level_at: Time,
}

impl Ejection {
    pub fn new() -> Self {
        Ejection {
            state: EjectionState::Active,
            severity: 0.0,
            trigger: None,
            fresh_from: Time::ZERO,
            level: 0,
            level_at: Time::ZERO,
        }
    }

    pub fn is_active(&self) -> bool {
        self.state == EjectionState::Active
    }

    pub fn is_ejected(&self) -> bool {
        matches!(self.state, EjectionState::Ejected { .. })
    }

    pub fn in_slow_start(&self) -> bool {
        matches!(self.state, EjectionState::SlowStart { .. })
    }

    pub fn eject(&mut self, now: Time, cause: Cause, severity: f64) {
        self.decay(now);
        let length = BASE_EJECTION_TIME * 2u32.pow(self.level);
        self.level = (self.level + 1).min(LEVEL_MAX);
        self.level_at = now + length;
        self.state = EjectionState::Ejected {
            cause,
            until: now + length,
        };
        self.severity = severity;
        self.fresh_from = now;
    }

    /// Starts a further, longer ejection after failed probes.
    pub fn prolong(&mut self, now: Time) {
        if let EjectionState::Ejected { cause, .. } = self.state {
            self.eject(now, cause, self.severity);
        }
    }

    /// Returns true shortly before the ejection ends, when probes show whether the target works.
    ///
    /// Probes earlier in the ejection would only lose requests.
    pub fn is_probed(&self, now: Time) -> bool {
        matches!(self.state, EjectionState::Ejected { until, .. } if until.since(now) <= PROBE_TIME)
    }

    pub fn begin_slow_start(&mut self, now: Time) {
        self.state = EjectionState::SlowStart { since: now };
        self.trigger = None;
        self.fresh_from = now;
    }

    /// Puts the target back into full rotation.
    pub fn restore(&mut self) {
        self.state = EjectionState::Active;
        self.trigger = None;
    }

    /// Undoes a false ejection, so that it does not lengthen the next one.
    pub fn revoke(&mut self) {
        self.level = self.level.saturating_sub(1);
        self.restore();
    }

    /// Returns true if the ejection time has passed.
    pub fn is_due(&self, now: Time) -> bool {
        matches!(self.state, EjectionState::Ejected { until, .. } if now >= until)
    }

    /// Advances to `now`; returns true if that ends the slow start.
    pub fn advance(&mut self, now: Time) -> bool {
        self.decay(now);
        match self.state {
            EjectionState::SlowStart { since } if now.since(since) >= SLOW_START_WINDOW => {
                self.restore();
                true
            }
            _ => false,
        }
    }

    /// Returns the share of its full load that the target receives.
    pub fn share(&self, now: Time) -> f64 {
        match self.state {
            EjectionState::Active => 1.0,
            EjectionState::Ejected { .. } => 0.0,
            EjectionState::SlowStart { since } => {
                let done = now.since(since).as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
                (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * done).min(1.0)
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
