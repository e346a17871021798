//! Idempotency keys of callers: at most one run for each client account and key within the
//! retention period.
//!
//! The voters of the account's shard keep one record for each key ([`RecordStore`]). The ingress
//! claims a key for a request before it sends the request to a target ([`ClaimCoordinator`]). A
//! claim is new only if a majority of the voters of every layout in force recorded it as new, so
//! any two claims of the same key have a voter in common that recorded only the first of them. A
//! layout is the assignment of voters under one registry; several are in force while a registry
//! change that alters the voters is not settled.
//!
//! - A voter records a claim before it responds, and the request runs only after the responses.
//! - A voter that has recently started, become a voter or been partitioned may lack records. It
//!   accepts no new key until every record that it may lack has expired.
//! - A new claim yields a [`Permit`], with which the request must be dispatched within a limited
//!   time. Records outlive the retention period by the lifetime of a permit, so the period counts
//!   from the dispatch of the first request.
//! - A voter at its capacity refuses claims; it never drops a record early.

mod coordinator;
mod message;
mod store;

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::error::{Error, Result};

pub use coordinator::{ClaimCoordinator, ClaimResult, Permit};
pub use message::{Claim, ClaimResponse, ExistingClaim, RecordState, RunReport, RunResult};
pub use store::{Capacity, RecordStore};

/// Default retention period.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Shortest retention period; a shorter one would end before a typical caller retries.
pub const RETENTION_MIN: Duration = Duration::from_secs(30);

/// Longest idempotency key in bytes.
pub const KEY_MAX_BYTES: usize = 64;

/// Longest time after a claim in which its request may be dispatched.
const PERMIT_MAX: Duration = Duration::from_secs(10);

/// Divisor of the retention period that yields the time in which a claimed request may be
/// dispatched.
const PERMIT_DIVISOR: u32 = 10;

/// A key that a caller gives to a request, so that a retry with the same key does not run again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Returns the key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        if s.is_empty() || s.len() > KEY_MAX_BYTES || !s.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::invalid(format!(
                "idempotency key must have 1 to {KEY_MAX_BYTES} visible ASCII characters"
            )));
        }
        Ok(IdempotencyKey(s.into()))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The retention period and the durations derived from it, which are the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Time after the dispatch of a request in which further requests with its key are refused.
    pub retention: Duration,
}

impl RetentionPolicy {
    /// Returns the time after a claim in which its request may be dispatched.
    pub fn permit_lifetime(&self) -> Duration {
        PERMIT_MAX.min(self.retention / PERMIT_DIVISOR)
    }

    /// Returns the lifetime of a record, without the allowance for clock drift.
    pub fn record_lifetime(&self) -> Duration {
        self.retention + self.permit_lifetime()
    }

    /// Returns how long a voter may go without proof that its registry is current.
    ///
    /// No voter layout that it missed can have been settled within that time.
    pub fn max_gap(&self) -> Duration {
        self.retention / 2
    }
}

impl Default for RetentionPolicy {
    fn default() -> Self {
        RetentionPolicy {
            retention: RETENTION,
        }
    }
}
