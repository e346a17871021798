//! Idempotency keys of callers: at most one run for each client account and key.
//!
//! The seats of the account's shard keep one record for each key ([`RecordStore`]). The ingress claims a
//! key for a request before it sends the request to a target ([`ClaimCoordinator`]). A claim is new only if
//! a majority of the seats of every layout in force recorded it as new, so two claims of the same
//! key always share a seat that recorded only the first of them.
//!
//! - A seat records a claim before it answers, and the request runs only after the answers.
//! - A seat that started, became a seat or was cut off lately may lack records. It says nothing new
//!   until every record that it may lack has ended.
//! - Records outlive the retention period by the time in which a claim permits a hand-over, so the
//!   period counts from the hand-over of the first request.
//! - A seat without room refuses; it never drops a record early.

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

/// Default of the retention period.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Shortest retention period; shorter ones would end before a usual caller repeats.
pub const RETENTION_MIN: Duration = Duration::from_secs(30);

/// Longest idempotency key in bytes.
pub const KEY_MAX_BYTES: usize = 64;

/// Longest time after a claim in which its request may be handed over.
const PERMIT_MAX: Duration = Duration::from_secs(10);

/// Share of the retention period in which a claimed request may be handed over.
const PERMIT_DIVISOR: u32 = 10;

/// Name that a caller gives to a request, so that a repeat of it does not run again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Returns the key as text.
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

/// Durations that follow from the retention period; the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Time after the hand-over of a request in which a repeat of it is refused.
    pub retention: Duration,
}

impl RetentionPolicy {
    /// Returns the time after a claim in which its request may be handed over.
    pub fn permit_lifetime(&self) -> Duration {
        PERMIT_MAX.min(self.retention / PERMIT_DIVISOR)
    }

    /// Returns the lifetime of a record, before the stretch for drift.
    pub fn record_lifetime(&self) -> Duration {
        self.retention + self.permit_lifetime()
    }

    /// Returns how long a seat may go without proof that its registry is current.
    ///
    /// A layout of seats that it missed meanwhile can't have been settled in that time.
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
