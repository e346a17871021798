//! Encoding of the messages about leases and credit of rate limits, batched for each pair of nodes.

use std::time::Duration;

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::error::{Error, Result};
use crate::ids::NodeId;
use crate::limit::{
    Claim, CreditRequest, CreditResponse, CreditResult, Grant, HandoverRequest, HeldVote,
    LeaseVote, SHARD_COUNT, Shard, ShardHandover, Succession,
};
use crate::time::Time;
use crate::units::Position;
use crate::wire::handover::{HandoverRequestRecord, ShardHandoverRecord, ShardHandoversRecord};

/// A call on the limit channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitRequest {
    /// A candidate's lease claim, to a lease voter.
    Claim(Claim),
    /// Credit requests of a node's local limiter, to the owner of the shards.
    Credit(Vec<CreditRequest>),
    /// Credit requests of a node that can't reach the owner, from a node that can.
    Relay(RelayRequest),
    /// A handover request of a successor, to the owner that is leaving.
    Handover(HandoverRequest),
}

/// Credit requests that another node relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRequest {
    /// The node whose local limiter sent them.
    pub node: NodeId,
    /// The requests.
    pub requests: Vec<CreditRequest>,
}

/// The response to a [`LimitRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimitResponse {
    /// The votes on a lease claim.
    Vote(LeaseVote),
    /// The owner's responses to credit requests.
    Credit(Vec<CreditResponse>),
    /// The shards that the leaving owner transfers.
    Handover(Vec<ShardHandover>),
}

#[derive(Clone, PartialEq, Message)]
struct RequestRecord {
    #[prost(oneof = "RequestBody", tags = "1, 2, 3, 4")]
    body: Option<RequestBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum RequestBody {
    #[prost(message, tag = "1")]
    Claim(ClaimRecord),
    #[prost(message, tag = "2")]
    Asks(CreditRequestsRecord),
    #[prost(message, tag = "3")]
    Take(HandoverRequestRecord),
    #[prost(message, tag = "4")]
    Relay(RelayRecord),
}

#[derive(Clone, PartialEq, Message)]
struct ResponseRecord {
    #[prost(oneof = "ReplyBody", tags = "1, 2, 3")]
    body: Option<ReplyBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum ReplyBody {
    #[prost(message, tag = "1")]
    Ballot(LeaseVoteRecord),
    #[prost(message, tag = "2")]
    Answers(CreditResponsesRecord),
    #[prost(message, tag = "3")]
    Offers(ShardHandoversRecord),
}

#[derive(Clone, PartialEq, Message)]
struct ClaimRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(uint64, tag = "2")]
    sent: u64,
    #[prost(fixed64, repeated, tag = "3")]
    layouts: Vec<u64>,
    #[prost(uint32, repeated, tag = "4")]
    claim: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    release: Vec<u32>,
    #[prost(uint64, tag = "6")]
    length: u64,
    #[prost(message, repeated, tag = "7")]
    succeeds: Vec<SuccessionRecord>,
    #[prost(uint64, tag = "8")]
    settled: u64,
}

#[derive(Clone, PartialEq, Message)]
struct SuccessionRecord {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(fixed64, tag = "2")]
    owner: u64,
}

#[derive(Clone, PartialEq, Message)]
struct LeaseVoteRecord {
    #[prost(uint64, tag = "1")]
    sent: u64,
    #[prost(uint32, repeated, tag = "2")]
    granted: Vec<u32>,
    #[prost(message, repeated, tag = "3")]
    held: Vec<HeldVoteRecord>,
    #[prost(uint64, optional, tag = "4")]
    abstains: Option<u64>,
    #[prost(uint64, tag = "5")]
    length: u64,
    #[prost(uint64, tag = "6")]
    registry: u64,
    #[prost(uint64, tag = "7")]
    settled: u64,
}

#[derive(Clone, PartialEq, Message)]
struct HeldVoteRecord {
    #[prost(uint32, tag = "1")]
    shard: u32,
    #[prost(fixed64, tag = "2")]
    holder: u64,
    #[prost(uint64, tag = "3")]
    remaining: u64,
}

#[derive(Clone, PartialEq, Message)]
struct CreditRequestsRecord {
    #[prost(message, repeated, tag = "1")]
    asks: Vec<CreditRequestRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct RelayRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(message, repeated, tag = "2")]
    asks: Vec<CreditRequestRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct CreditRequestRecord {
    #[prost(string, tag = "1")]
    account: String,
    #[prost(fixed64, tag = "2")]
    credit: u64,
    #[prost(fixed64, tag = "3")]
    serial: u64,
    #[prost(uint64, tag = "4")]
    sent: u64,
    #[prost(uint64, tag = "5")]
    spent: u64,
    #[prost(uint64, tag = "6")]
    returned: u64,
    #[prost(uint32, tag = "7")]
    waiting: u32,
    #[prost(uint64, tag = "8")]
    demand: u64,
    #[prost(bool, tag = "9")]
    close: bool,
    #[prost(bool, tag = "10")]
    relay: bool,
}

#[derive(Clone, PartialEq, Message)]
struct CreditResponsesRecord {
    #[prost(message, repeated, tag = "1")]
    answers: Vec<CreditResponseRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct CreditResponseRecord {
    #[prost(string, tag = "1")]
    account: String,
    #[prost(fixed64, tag = "2")]
    credit: u64,
    #[prost(uint64, tag = "3")]
    sent: u64,
    #[prost(message, optional, tag = "4")]
    grant: Option<GrantRecord>,
    /// The current owner, if the response is not a grant and the owner is known.
    #[prost(fixed64, optional, tag = "5")]
    owner: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct GrantRecord {
    #[prost(fixed64, tag = "1")]
    serial: u64,
    #[prost(uint64, tag = "2")]
    total: u64,
    #[prost(uint64, tag = "3")]
    valid_for: u64,
    #[prost(uint64, tag = "4")]
    settled: u64,
    #[prost(uint64, tag = "5")]
    ready_in: u64,
    #[prost(uint64, tag = "6")]
    target: u64,
    #[prost(uint64, optional, tag = "7")]
    retry: Option<u64>,
    #[prost(uint64, tag = "8")]
    pace: u64,
    #[prost(bool, tag = "9")]
    prompt: bool,
}

pub(super) fn micros(d: Duration) -> u64 {
    d.as_micros() as u64
}

/// Rounds up, for times before which something must not happen.
pub(super) fn micros_ceil(d: Duration) -> u64 {
    d.as_nanos().div_ceil(1_000) as u64
}

fn numbers(shards: &[Shard]) -> Vec<u32> {
    shards.iter().map(|s| u32::from(s.0)).collect()
}

pub(super) fn shard(number: u32) -> Result<Shard> {
    match u16::try_from(number) {
        Ok(n) if n < SHARD_COUNT => Ok(Shard(n)),
        _ => Err(Error::invalid(format!("no shard {number}"))),
    }
}

fn shards(numbers: Vec<u32>) -> Result<Vec<Shard>> {
    numbers.into_iter().map(shard).collect()
}

impl From<&Claim> for ClaimRecord {
    fn from(claim: &Claim) -> Self {
        let succeeds = claim.succeeds.iter().map(|s| SuccessionRecord {
            shard: u32::from(s.shard.0),
            owner: s.owner.0,
        });
        ClaimRecord {
            succeeds: succeeds.collect(),
            node: claim.node.0,
            sent: claim.sent.0,
            layouts: claim.layouts.clone(),
            claim: numbers(&claim.claim),
            release: numbers(&claim.release),
            length: micros(claim.length),
            settled: claim.settled.0,
        }
    }
}

impl TryFrom<ClaimRecord> for Claim {
    type Error = Error;

    fn try_from(record: ClaimRecord) -> Result<Self> {
        let succeeds = record.succeeds.into_iter().map(|s| {
            Ok(Succession {
                shard: shard(s.shard)?,
                owner: NodeId(s.owner),
            })
        });
        Ok(Claim {
            succeeds: succeeds.collect::<Result<_>>()?,
            node: NodeId(record.node),
            sent: Time(record.sent),
            layouts: record.layouts,
            claim: shards(record.claim)?,
            release: shards(record.release)?,
            length: Duration::from_micros(record.length),
            settled: Position(record.settled),
        })
    }
}

impl From<&LeaseVote> for LeaseVoteRecord {
    fn from(vote: &LeaseVote) -> Self {
        let held = vote.held.iter().map(|h| HeldVoteRecord {
            shard: u32::from(h.shard.0),
            holder: h.holder.0,
            remaining: micros_ceil(h.remaining),
        });
        LeaseVoteRecord {
            sent: vote.sent.0,
            granted: numbers(&vote.granted),
            held: held.collect(),
            abstains: vote.abstains.map(micros_ceil),
            length: micros(vote.length),
            registry: vote.registry.0,
            settled: vote.settled.0,
        }
    }
}

impl TryFrom<LeaseVoteRecord> for LeaseVote {
    type Error = Error;

    fn try_from(record: LeaseVoteRecord) -> Result<Self> {
        let held = record.held.into_iter().map(|h| {
            Ok(HeldVote {
                shard: shard(h.shard)?,
                holder: NodeId(h.holder),
                remaining: Duration::from_micros(h.remaining),
            })
        });
        Ok(LeaseVote {
            sent: Time(record.sent),
            granted: shards(record.granted)?,
            held: held.collect::<Result<_>>()?,
            abstains: record.abstains.map(Duration::from_micros),
            length: Duration::from_micros(record.length),
            registry: Position(record.registry),
            settled: Position(record.settled),
        })
    }
}

impl From<&CreditRequest> for CreditRequestRecord {
    fn from(request: &CreditRequest) -> Self {
        CreditRequestRecord {
            account: request.account.to_string(),
            credit: request.credit,
            serial: request.serial,
            sent: request.sent.0,
            spent: request.spent,
            returned: request.returned,
            waiting: request.waiting,
            demand: request.demand,
            close: request.close,
            relay: request.relay,
        }
    }
}

impl TryFrom<CreditRequestRecord> for CreditRequest {
    type Error = Error;

    fn try_from(record: CreditRequestRecord) -> Result<Self> {
        Ok(CreditRequest {
            account: record.account.parse()?,
            credit: record.credit,
            serial: record.serial,
            sent: Time(record.sent),
            spent: record.spent,
            returned: record.returned,
            waiting: record.waiting,
            demand: record.demand,
            close: record.close,
            relay: record.relay,
        })
    }
}

impl From<&Grant> for GrantRecord {
    fn from(grant: &Grant) -> Self {
        GrantRecord {
            serial: grant.serial,
            total: grant.total,
            valid_for: micros(grant.valid_for),
            settled: grant.spendable,
            ready_in: micros_ceil(grant.ready_in),
            target: grant.target_reserve,
            retry: grant.retry.map(micros_ceil),
            pace: micros_ceil(grant.pace),
            prompt: grant.report_promptly,
        }
    }
}

impl From<GrantRecord> for Grant {
    fn from(record: GrantRecord) -> Self {
        Grant {
            serial: record.serial,
            total: record.total,
            valid_for: Duration::from_micros(record.valid_for),
            spendable: record.settled,
            ready_in: Duration::from_micros(record.ready_in),
            target_reserve: record.target,
            retry: record.retry.map(Duration::from_micros),
            pace: Duration::from_micros(record.pace),
            report_promptly: record.prompt,
        }
    }
}

impl From<&CreditResponse> for CreditResponseRecord {
    fn from(response: &CreditResponse) -> Self {
        let (grant, owner) = match &response.result {
            CreditResult::Grant(grant) => (Some(grant.into()), None),
            CreditResult::NotOwner(owner) => (None, owner.map(|node| node.0)),
        };
        CreditResponseRecord {
            account: response.account.to_string(),
            credit: response.credit,
            sent: response.sent.0,
            grant,
            owner,
        }
    }
}

impl TryFrom<CreditResponseRecord> for CreditResponse {
    type Error = Error;

    fn try_from(record: CreditResponseRecord) -> Result<Self> {
        let result = match record.grant {
            Some(grant) => CreditResult::Grant(grant.into()),
            None => CreditResult::NotOwner(record.owner.map(NodeId)),
        };
        Ok(CreditResponse {
            account: record.account.parse()?,
            credit: record.credit,
            sent: Time(record.sent),
            result,
        })
    }
}

fn encode_requests(requests: &[CreditRequest]) -> Vec<CreditRequestRecord> {
    requests.iter().map(CreditRequestRecord::from).collect()
}

fn decode_requests(records: Vec<CreditRequestRecord>) -> Result<Vec<CreditRequest>> {
    let requests = records.into_iter().map(CreditRequest::try_from);
    requests.collect()
}

impl LimitRequest {
    /// Encodes the request as a frame payload.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            LimitRequest::Claim(claim) => RequestBody::Claim(claim.into()),
            LimitRequest::Credit(requests) => RequestBody::Asks(CreditRequestsRecord {
                asks: encode_requests(requests),
            }),
            LimitRequest::Relay(relay) => RequestBody::Relay(RelayRecord {
                node: relay.node.0,
                asks: encode_requests(&relay.requests),
            }),
            LimitRequest::Handover(request) => RequestBody::Take(request.into()),
        };
        RequestRecord { body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes a frame payload.
    ///
    /// # Errors
    ///
    /// Fails if the payload is malformed or contains an invalid name or shard number.
    pub fn decode(payload: Bytes) -> Result<LimitRequest> {
        let record = RequestRecord::decode(payload)
            .map_err(|e| Error::invalid(format!("limit request: {e}")))?;
        match record.body {
            Some(RequestBody::Claim(claim)) => Ok(LimitRequest::Claim(claim.try_into()?)),
            Some(RequestBody::Asks(record)) => {
                Ok(LimitRequest::Credit(decode_requests(record.asks)?))
            }
            Some(RequestBody::Relay(record)) => Ok(LimitRequest::Relay(RelayRequest {
                node: NodeId(record.node),
                requests: decode_requests(record.asks)?,
            })),
            Some(RequestBody::Take(record)) => Ok(LimitRequest::Handover(record.try_into()?)),
            None => Err(Error::invalid("limit request without a body")),
        }
    }
}

impl LimitResponse {
    /// Encodes the response as a frame payload.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            LimitResponse::Vote(vote) => ReplyBody::Ballot(vote.into()),
            LimitResponse::Credit(responses) => ReplyBody::Answers(CreditResponsesRecord {
                answers: responses.iter().map(CreditResponseRecord::from).collect(),
            }),
            LimitResponse::Handover(handovers) => ReplyBody::Offers(ShardHandoversRecord {
                offers: handovers.iter().map(ShardHandoverRecord::from).collect(),
            }),
        };
        ResponseRecord { body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes a frame payload.
    ///
    /// # Errors
    ///
    /// As [`LimitRequest::decode`].
    pub fn decode(payload: Bytes) -> Result<LimitResponse> {
        let record = ResponseRecord::decode(payload)
            .map_err(|e| Error::invalid(format!("limit response: {e}")))?;
        match record.body {
            Some(ReplyBody::Ballot(record)) => Ok(LimitResponse::Vote(record.try_into()?)),
            Some(ReplyBody::Answers(record)) => {
                let responses = record.answers.into_iter().map(CreditResponse::try_from);
                Ok(LimitResponse::Credit(responses.collect::<Result<_>>()?))
            }
            Some(ReplyBody::Offers(record)) => {
                let handovers = record.offers.into_iter().map(ShardHandover::try_from);
                Ok(LimitResponse::Handover(handovers.collect::<Result<_>>()?))
            }
            None => Err(Error::invalid("limit response without a body")),
        }
    }
}
