//! Encoding of the messages that hand a shard over to its next owner.

use std::time::Duration;

use prost::Message;

use crate::error::{Error, Result};
use crate::limit::{Allowance, BucketState, HandoverRequest, HandoverTicket, ShardHandover};
use crate::time::Time;
use crate::units::{Burst, Rate};
use crate::wire::limit::{micros, micros_up, shard};

#[derive(Clone, PartialEq, Message)]
pub(super) struct TakeRecord {
    #[prost(uint64, tag = "1")]
    sent: u64,
    #[prost(message, repeated, tag = "2")]
    shards: Vec<TicketedRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct TicketedRecord {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(uint64, tag = "2")]
    ticket: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct OffersRecord {
    #[prost(message, repeated, tag = "1")]
    pub(super) offers: Vec<OfferRecord>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct OfferRecord {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(uint64, tag = "2")]
    ticket: u64,
    #[prost(uint64, tag = "3")]
    valid_for: u64,
    #[prost(uint64, tag = "4")]
    idle_for: u64,
    #[prost(message, repeated, tag = "5")]
    buckets: Vec<HandedRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct HandedRecord {
    #[prost(string, tag = "1")]
    account: String,
    #[prost(uint64, tag = "2")]
    rate: u64,
    #[prost(uint32, tag = "3")]
    burst: u32,
    #[prost(sint64, tag = "4")]
    level: i64,
    #[prost(uint64, tag = "5")]
    outstanding: u64,
    #[prost(uint64, tag = "6")]
    expires_in: u64,
}

impl From<&HandoverRequest> for TakeRecord {
    fn from(take: &HandoverRequest) -> Self {
        let shards = take.shards.iter().map(|t| TicketedRecord {
            shard: u32::from(t.shard.0),
            ticket: t.ticket,
        });
        TakeRecord {
            sent: take.sent.0,
            shards: shards.collect(),
        }
    }
}

impl TryFrom<TakeRecord> for HandoverRequest {
    type Error = Error;

    fn try_from(record: TakeRecord) -> Result<Self> {
        let shards = record.shards.into_iter().map(|t| {
            Ok(HandoverTicket {
                shard: shard(t.shard)?,
                ticket: t.ticket,
            })
        });
        Ok(HandoverRequest {
            sent: Time(record.sent),
            shards: shards.collect::<Result<_>>()?,
        })
    }
}

impl From<&ShardHandover> for OfferRecord {
    fn from(offer: &ShardHandover) -> Self {
        OfferRecord {
            shard: u32::from(offer.shard.0),
            ticket: offer.ticket,
            valid_for: micros(offer.valid_for),
            idle_for: micros(offer.idle_for),
            buckets: offer.buckets.iter().map(HandedRecord::from).collect(),
        }
    }
}

impl TryFrom<OfferRecord> for ShardHandover {
    type Error = Error;

    fn try_from(record: OfferRecord) -> Result<Self> {
        let buckets = record.buckets.into_iter().map(BucketState::try_from);
        Ok(ShardHandover {
            shard: shard(record.shard)?,
            ticket: record.ticket,
            valid_for: Duration::from_micros(record.valid_for),
            idle_for: Duration::from_micros(record.idle_for),
            buckets: buckets.collect::<Result<_>>()?,
        })
    }
}

impl From<&BucketState> for HandedRecord {
    fn from(handed: &BucketState) -> Self {
        HandedRecord {
            account: handed.account.to_string(),
            rate: handed.allowance.rate.as_millis(),
            burst: handed.allowance.burst.0,
            level: handed.level,
            outstanding: handed.outstanding,
            expires_in: micros_up(handed.expires_in),
        }
    }
}

impl TryFrom<HandedRecord> for BucketState {
    type Error = Error;

    fn try_from(record: HandedRecord) -> Result<Self> {
        Ok(BucketState {
            account: record.account.parse()?,
            allowance: Allowance {
                rate: Rate::from_millis(record.rate),
                burst: Burst(record.burst),
            },
            level: record.level,
            outstanding: record.outstanding,
            expires_in: Duration::from_micros(record.expires_in),
        })
    }
}
