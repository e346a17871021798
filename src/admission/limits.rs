//! Limits of a target and their growth from a cold start.

use std::time::Duration;

use crate::time::Time;
use crate::units::Slots;

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

/// Time from the first request until a cold target has all its slots.
pub const WARM_UP: Duration = Duration::from_secs(10);

/// Share of the slots that a cold target starts with.
const COLD_SHARE: f64 = 0.25;

/// Steps in which the slots of a cold target grow.
const WARM_STEPS: u32 = 20;

/// The slots that are open at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opening {
    pub limits: Limits,
    cold_since: Option<Time>,
}

impl Opening {
    pub fn new(now: Time, limits: Limits, cold: bool) -> Self {
        Opening {
            limits,
            cold_since: cold.then_some(now),
        }
    }

    /// Returns true while the target has fewer slots than it announced.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_since.is_some_and(|t| now.since(t) < WARM_UP)
    }

    /// Returns how many requests may run at `now`.
    pub fn slots(&self, now: Time) -> usize {
        let all = self.limits.running();
        match self.cold_since {
            Some(since) if self.is_cold(now) => {
                let warmth = now.since(since).as_secs_f64() / WARM_UP.as_secs_f64();
                let share = COLD_SHARE + (1.0 - COLD_SHARE) * warmth;
                ((all as f64 * share) as usize).clamp(all.min(1), all)
            }
            _ => all,
        }
    }

    /// Returns when the slots may grow next.
    pub fn next_step(&self, now: Time) -> Option<Time> {
        self.is_cold(now).then(|| now + WARM_UP / WARM_STEPS)
    }
}
