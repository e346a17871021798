//! Hands the buckets of a leaving owner over to its successor.
//!
//! The successor sends a [`HandoverRequest`] with a numbered [`HandoverTicket`] for each shard to
//! the leaving owner. The owner permanently stops granting tokens and renewing its lease, and
//! responds with a [`ShardHandover`] that contains its buckets. For each shard it serves only one
//! ticket of one successor, so that no bucket is used twice. The successor's claims then name the
//! leaving owner, and voters transfer that owner's votes to the successor at once.
//!
//! Tokens that are outstanding at the owner count as outstanding at the successor until they
//! expire. If a message is lost or a process ends, the votes expire and the next owner starts with
//! empty buckets.

use std::time::Duration;

use crate::ids::{AccountName, NodeId};
use crate::limit::bucket::Bucket;
use crate::limit::{Allowance, Shard, shrink, stretch};
use crate::time::Time;

/// A successor's request for the buckets of shards that a leaving node owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// Send time on the successor's clock.
    pub sent: Time,
    /// The shards.
    pub shards: Vec<HandoverTicket>,
}

/// A shard that a successor requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverTicket {
    /// The shard.
    pub shard: Shard,
    /// Number of the request; retries carry the same number until the successor has used a
    /// handover.
    pub ticket: u64,
}

/// A leaving owner's response to a [`HandoverRequest`] for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHandover {
    /// The shard.
    pub shard: Shard,
    /// The ticket, echoed.
    pub ticket: u64,
    /// Time from the response until the owner's lease and all its grants expire.
    pub valid_for: Duration,
    /// Time for which accounts without a bucket have spent no token.
    pub idle_for: Duration,
    /// The buckets of accounts in use.
    pub buckets: Vec<BucketState>,
}

/// The bucket of one account in a [`ShardHandover`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketState {
    /// The account.
    pub account: AccountName,
    /// Rate and burst of the bucket.
    pub allowance: Allowance,
    /// Level in billionths of a token; negative if tokens were granted before they are minted.
    pub level: i64,
    /// Tokens granted and neither reported as spent nor expired.
    pub outstanding: u64,
    /// Time from the response until the last of the outstanding tokens expires.
    pub expires_in: Duration,
}

/// The only handover that a leaving owner makes of a shard.
#[derive(Clone, Debug)]
pub(super) struct SentHandover {
    pub(super) successor: NodeId,
    /// End of the lease; all its grants have expired by then.
    pub(super) until: Time,
    stopped: Time,
    handover: ShardHandover,
}

impl SentHandover {
    pub(super) fn new(
        now: Time,
        successor: NodeId,
        until: Time,
        handover: ShardHandover,
    ) -> SentHandover {
        SentHandover {
            successor,
            until,
            stopped: now,
            handover,
        }
    }

    /// Returns the handover for a retry, with durations counted from `now`.
    pub(super) fn resend(
        &self,
        now: Time,
        successor: NodeId,
        ticket: u64,
    ) -> Option<ShardHandover> {
        if successor != self.successor || ticket != self.handover.ticket || self.until <= now {
            return None;
        }
        let passed = now.since(self.stopped);
        let mut handover = self.handover.clone();
        handover.valid_for = self.until.since(now);
        for state in &mut handover.buckets {
            state.expires_in = state.expires_in.saturating_sub(passed);
        }
        Some(handover)
    }
}

/// A handover at the successor, until its lease begins.
#[derive(Clone, Debug)]
pub(super) struct ReceivedHandover {
    /// The leaving owner.
    pub(super) from: NodeId,
    received: Time,
    /// No other node can have obtained the lease before this time.
    until: Time,
    handover: ShardHandover,
}

impl ReceivedHandover {
    pub(super) fn new(
        now: Time,
        sent: Time,
        from: NodeId,
        handover: ShardHandover,
    ) -> ReceivedHandover {
        ReceivedHandover {
            from,
            received: now,
            until: sent + shrink(handover.valid_for),
            handover,
        }
    }

    pub(super) fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns a time by which all grants of the leaving owner have expired.
    pub(super) fn grants_until(&self) -> Time {
        self.received + stretch(self.handover.valid_for)
    }

    /// Returns the time since which accounts without a bucket have spent no token.
    pub(super) fn idle_since(&self) -> Time {
        let idle = shrink(self.handover.idle_for).as_micros() as u64;
        Time(self.received.0.saturating_sub(idle))
    }

    /// Returns the buckets; they mint from the receipt on, since the leaving owner has stopped by
    /// then.
    pub(super) fn buckets(&self) -> impl Iterator<Item = (AccountName, Bucket)> {
        self.handover.buckets.iter().map(|state| {
            let bucket = Bucket::from_state(state, self.received);
            (state.account.clone(), bucket)
        })
    }
}
