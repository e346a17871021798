//! Passes the buckets of a leaving owner to its successor.
//!
//! The successor asks the leaving owner with a [`HandoverRequest`]. The owner stops granting and renewing for
//! good, and answers with an [`ShardHandover`] of its buckets. It answers one ticket of one successor only,
//! so that no level is used twice. The successor's claims then name the owner, and a seat gives it
//! the owner's vote at once.
//!
//! Tokens that are outstanding at the owner count as outstanding at the successor until they expire.
//! If a message is lost or a side ends, the votes run out and the next owner starts empty.

use std::time::Duration;

use crate::ids::{AccountName, NodeId};
use crate::limit::bucket::Bucket;
use crate::limit::{Allowance, Shard, shrink, stretch};
use crate::time::Time;

/// A successor's question for the buckets of shards that a leaving node owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// Send time on the successor's clock.
    pub sent: Time,
    /// The shards.
    pub shards: Vec<HandoverTicket>,
}

/// A shard that a successor asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandoverTicket {
    /// The shard.
    pub shard: Shard,
    /// Stays the same until the successor has used an offer of the shard.
    pub ticket: u64,
}

/// A leaving owner's answer to a [`HandoverRequest`] for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHandover {
    /// The shard.
    pub shard: Shard,
    /// The ticket, echoed.
    pub ticket: u64,
    /// Time from the answer until the owner's lease ends and with it every grant.
    pub valid_for: Duration,
    /// Time for which accounts without a bucket have used nothing.
    pub idle_for: Duration,
    /// The buckets of accounts in use.
    pub buckets: Vec<BucketState>,
}

/// The bucket of one account in an [`ShardHandover`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BucketState {
    /// The account.
    pub account: AccountName,
    /// Rate and burst that the bucket follows.
    pub allowance: Allowance,
    /// Level in billionths of a token; negative by tokens granted in advance.
    pub level: i64,
    /// Tokens granted and neither reported nor expired.
    pub outstanding: u64,
    /// Time from the answer until the last of the outstanding tokens expires.
    pub expires_in: Duration,
}

/// An offer that a leaving owner has made; it makes no other for the shard.
#[derive(Clone, Debug)]
pub(super) struct SentHandover {
    pub(super) successor: NodeId,
    /// End of the lease; nothing granted under it is valid later.
    pub(super) until: Time,
    frozen: Time,
    offer: ShardHandover,
}

impl SentHandover {
    pub(super) fn new(
        now: Time,
        successor: NodeId,
        until: Time,
        offer: ShardHandover,
    ) -> SentHandover {
        SentHandover {
            successor,
            until,
            frozen: now,
            offer,
        }
    }

    /// Returns the offer again, with times counted from `now`.
    pub(super) fn repeat(
        &self,
        now: Time,
        successor: NodeId,
        ticket: u64,
    ) -> Option<ShardHandover> {
        if successor != self.successor || ticket != self.offer.ticket || self.until <= now {
            return None;
        }
        let passed = now.since(self.frozen);
        let mut offer = self.offer.clone();
        offer.valid_for = self.until.since(now);
        for handed in &mut offer.buckets {
            handed.expires_in = handed.expires_in.saturating_sub(passed);
        }
        Some(offer)
    }
}

/// An offer at the successor, until the lease begins.
#[derive(Clone, Debug)]
pub(super) struct ReceivedHandover {
    /// The leaving owner.
    pub(super) from: NodeId,
    received: Time,
    /// Until when no other node can have held the lease.
    until: Time,
    offer: ShardHandover,
}

impl ReceivedHandover {
    pub(super) fn new(
        now: Time,
        sent: Time,
        from: NodeId,
        offer: ShardHandover,
    ) -> ReceivedHandover {
        ReceivedHandover {
            from,
            received: now,
            until: sent + shrink(offer.valid_for),
            offer,
        }
    }

    pub(super) fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns a time after which nothing granted by the leaving owner is valid.
    pub(super) fn blocked(&self) -> Time {
        self.received + stretch(self.offer.valid_for)
    }

    /// Returns the time since which accounts without a bucket have used nothing.
    pub(super) fn since(&self) -> Time {
        let idle = shrink(self.offer.idle_for).as_micros() as u64;
        Time(self.received.0.saturating_sub(idle))
    }

    /// Returns the buckets; they mint from the receipt on, when the owner no longer does.
    pub(super) fn buckets(&self) -> impl Iterator<Item = (AccountName, Bucket)> {
        self.offer.buckets.iter().map(|handed| {
            let bucket = Bucket::resume(handed, self.received);
            (handed.account.clone(), bucket)
        })
    }
}
