//! Monotonic time, passed as values to the modules that use no clock themselves.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time in microseconds on the monotonic clock of one process.
///
/// Times of different processes can't be compared; processes exchange only durations.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);

    /// Creates a time from milliseconds.
    pub const fn from_millis(ms: u64) -> Time {
        Time(ms * 1_000)
    }

    /// Returns whole milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, d: Duration) -> Time {
        Time(self.0.saturating_add(d.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    /// Saturates at the start of the clock.
    fn sub(self, d: Duration) -> Time {
        Time(self.0.saturating_sub(d.as_micros() as u64))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A source of monotonic time; daemons use [`Monotonic`], and tests advance a clock of their own.
pub trait Clock: Send + Sync + 'static {
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// Added to the clock, so that subtracting a lifetime right after boot does not saturate.
const BOOT_OFFSET: Duration = Duration::from_secs(3_600);

/// The time since the VM booted.
///
/// The clock keeps running while the process is stopped and while the VM is suspended, so that leases
/// and other lifetimes expire in both cases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monotonic;

impl Monotonic {
    /// Creates a handle on the clock.
    pub fn new() -> Self {
        Monotonic
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Time {
        let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let since_boot = Duration::new(t.tv_sec as u64, t.tv_nsec as u32);
        Time::ZERO + since_boot + BOOT_OFFSET
    }
}
