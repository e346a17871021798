//! The limits of a target and the warm-up after a cold start.

use std::time::Duration;

use crate::time::Time;
use crate::units::Slots;

/// The limits that a target announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of requests that it serves at the same time.
    pub slots: Slots,
    /// Number of connections that it accepts; each running request uses one.
    pub connections: u32,
}

impl Limits {
    /// Returns the number of requests that may run at the same time.
    pub fn max_running(self) -> usize {
        self.slots.0.min(self.connections) as usize
    }
}

/// Time after which all slots of a cold target are open.
pub const WARM_UP: Duration = Duration::from_secs(10);

/// Share of its slots with which a cold target starts.
const INITIAL_SHARE: f64 = 0.25;

/// Number of steps in which the slots of a cold target grow.
const WARM_UP_STEPS: u32 = 20;

/// The number of open slots, which grows during the warm-up.
#[derive(Clone, Copy, Debug)]
pub(super) struct WarmUp {
    pub limits: Limits,
    cold_since: Option<Time>,
}

impl WarmUp {
    pub fn new(now: Time, limits: Limits, cold: bool) -> Self {
        WarmUp {
            limits,
            cold_since: cold.then_some(now),
        }
    }

    /// Returns true during the warm-up.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_since.is_some_and(|t| now.since(t) < WARM_UP)
    }

    /// Returns the number of requests that may run at `now`.
    pub fn slots(&self, now: Time) -> usize {
        let all = self.limits.max_running();
        match self.cold_since {
            Some(since) if self.is_cold(now) => {
                let done = now.since(since).as_secs_f64() / WARM_UP.as_secs_f64();
                let share = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * done;
                ((all as f64 * share) as usize).clamp(all.min(1), all)
            }
            _ => all,
        }
    }

    /// Returns when the number of open slots may grow next.
    pub fn next_step(&self, now: Time) -> Option<Time> {
        self.is_cold(now).then(|| now + WARM_UP / WARM_UP_STEPS)
    }
}
