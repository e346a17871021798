//! Encoding of the messages that hand the buckets of a shard over to its next owner.

use std::time::Duration;

use prost::Message;

use crate::error::{Error, Result};
use crate::limit::{Allowance, BucketState, HandoverRequest, HandoverTicket, ShardHandover};
use crate::time::Time;
use crate::units::{Burst, Rate};
use crate::wire::limit::{micros, micros_ceil, shard};

#[derive(Clone, PartialEq, Message)]
pub(super) struct HandoverRequestRecord {
    #[prost(uint64, tag = "1")]
    sent: u64,
    #[prost(message, repeated, tag = "2")]
    shards: Vec<TicketRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct TicketRecord {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(uint64, tag = "2")]
    ticket: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ShardHandoversRecord {
    #[prost(message, repeated, tag = "1")]
    pub(super) offers: Vec<ShardHandoverRecord>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ShardHandoverRecord {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(uint64, tag = "2")]
    ticket: u64,
    #[prost(uint64, tag = "3")]
    valid_for: u64,
    #[prost(uint64, tag = "4")]
    idle_for: u64,
    #[prost(message, repeated, tag = "5")]
    buckets: Vec<BucketRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct BucketRecord {
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

impl From<&HandoverRequest> for HandoverRequestRecord {
    fn from(request: &HandoverRequest) -> Self {
        let shards = request.shards.iter().map(|t| TicketRecord {
            shard: u32::from(t.shard.0),
            ticket: t.ticket,
        });
        HandoverRequestRecord {
            sent: request.sent.0,
            shards: shards.collect(),
        }
    }
}

impl TryFrom<HandoverRequestRecord> for HandoverRequest {
    type Error = Error;

    fn try_from(record: HandoverRequestRecord) -> Result<Self> {
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

impl From<&ShardHandover> for ShardHandoverRecord {
    fn from(handover: &ShardHandover) -> Self {
        ShardHandoverRecord {
            shard: u32::from(handover.shard.0),
            ticket: handover.ticket,
            valid_for: micros(handover.valid_for),
            idle_for: micros(handover.idle_for),
            buckets: handover.buckets.iter().map(BucketRecord::from).collect(),
        }
    }
}

impl TryFrom<ShardHandoverRecord> for ShardHandover {
    type Error = Error;

    fn try_from(record: ShardHandoverRecord) -> Result<Self> {
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

impl From<&BucketState> for BucketRecord {
    fn from(bucket: &BucketState) -> Self {
        BucketRecord {
            account: bucket.account.to_string(),
            rate: bucket.allowance.rate.as_millis(),
            burst: bucket.allowance.burst.0,
            level: bucket.level,
            outstanding: bucket.outstanding,
            expires_in: micros_ceil(bucket.expires_in),
        }
    }
}

impl TryFrom<BucketRecord> for BucketState {
    type Error = Error;

    fn try_from(record: BucketRecord) -> Result<Self> {
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
