//! The floor: the slots of a service that ejections must leave in rotation.

use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Time;
use crate::units::Slots;

/// Time for which the slots of a lost target count as announced.
///
/// Without it each lost target would lower the floor and so allow further ejections.
const LOST_RETENTION: Duration = Duration::from_secs(600);

/// The capacity of a service in slots, as one ingress sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of all targets, those lost a short time ago included.
    pub announced: u32,
    /// Slots of targets that are ready and in full rotation.
    ///
    /// Draining, leaving, cold, lost and ejected targets and those in slow start do not count.
    pub healthy: u32,
    /// The floor in slots.
    pub floor: u32,
}

impl Capacity {
    /// Returns true if `slots` may leave rotation without falling below the floor.
    pub fn can_spare(&self, slots: Slots) -> bool {
        self.healthy >= self.floor.saturating_add(slots.0)
    }

    /// Returns true if the healthy slots are below the floor.
    pub fn is_below_floor(&self) -> bool {
        self.healthy < self.floor
    }
}

/// Returns the floor in slots, rounded up.
pub(super) fn floor_slots(announced: u32, percent: u8) -> u32 {
    (u64::from(announced) * u64::from(percent)).div_ceil(100) as u32
}

/// Adds up slots, up to the largest number.
pub(super) fn total_slots(slots: impl Iterator<Item = Slots>) -> u32 {
    slots.fold(0, |total, slots| total.saturating_add(slots.0))
}

/// A target that was lost without draining.
#[derive(Clone, Debug)]
struct Loss {
    addr: SocketAddr,
    slots: Slots,
    until: Time,
}

/// The targets that were lost a short time ago.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses {
    entries: Vec<Loss>,
}

impl Losses {
    pub fn add(&mut self, now: Time, addr: SocketAddr, slots: Slots) {
        self.remove(addr);
        self.entries.push(Loss {
            addr,
            slots,
            until: now + LOST_RETENTION,
        });
    }

    /// Removes the lost target at `addr`, which another one has replaced.
    pub fn remove(&mut self, addr: SocketAddr) {
        self.entries.retain(|l| l.addr != addr);
    }

    /// Returns the slots that still count as announced at `now`.
    pub fn slots(&mut self, now: Time) -> u32 {
        self.entries.retain(|l| l.until > now);
        total_slots(self.entries.iter().map(|l| l.slots))
    }
}
