//! Encoding of the messages about claims of idempotency keys.

use std::time::Duration;

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::error::{Error, Result};
use crate::idempotency::{Claim, ClaimResponse, ExistingClaim, RunReport, RunResult};
use crate::ids::{NodeId, RequestId};
use crate::outcome::FirstOutcome;

/// A call on the idempotency channel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyRequest {
    /// A claim of a key, to one of its record stores.
    Claim(Claim),
    /// The outcome of a request that claimed a key.
    Report(RunReport),
}

/// The response to an [`IdempotencyRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyResponse {
    /// The record store's response to a claim.
    Claim(ClaimResponse),
    /// The outcome was recorded.
    Recorded,
}

/// Value of an `ended` field for an unknown outcome; no HTTP status is zero.
const UNKNOWN_STATUS: u32 = 0;

#[derive(Clone, PartialEq, Message)]
struct RequestRecord {
    #[prost(oneof = "RequestBody", tags = "1, 2")]
    body: Option<RequestBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum RequestBody {
    #[prost(message, tag = "1")]
    Claim(ClaimRecord),
    #[prost(message, tag = "2")]
    End(ReportRecord),
}

#[derive(Clone, PartialEq, Message)]
struct ClaimRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(fixed64, tag = "2")]
    request: u64,
    #[prost(fixed64, repeated, tag = "3")]
    layouts: Vec<u64>,
    #[prost(string, tag = "4")]
    account: String,
    #[prost(string, tag = "5")]
    key: String,
}

#[derive(Clone, PartialEq, Message)]
struct ReportRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(fixed64, tag = "2")]
    request: u64,
    #[prost(string, tag = "3")]
    account: String,
    #[prost(string, tag = "4")]
    key: String,
    /// HTTP status of the response or [`UNKNOWN_STATUS`]; absent if the request did not run.
    #[prost(uint32, optional, tag = "5")]
    ended: Option<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct ResponseRecord {
    #[prost(oneof = "ReplyBody", tags = "1, 2, 3, 4")]
    body: Option<ReplyBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum ReplyBody {
    #[prost(message, tag = "1")]
    New(EmptyRecord),
    #[prost(message, tag = "2")]
    Held(ExistingClaimRecord),
    #[prost(message, tag = "3")]
    Abstains(AbstainsRecord),
    #[prost(message, tag = "4")]
    Booked(EmptyRecord),
}

#[derive(Clone, PartialEq, Message)]
struct EmptyRecord {}

#[derive(Clone, PartialEq, Message)]
struct ExistingClaimRecord {
    #[prost(fixed64, tag = "1")]
    node: u64,
    #[prost(fixed64, tag = "2")]
    request: u64,
    /// As in [`ReportRecord`]; absent if no outcome is recorded.
    #[prost(uint32, optional, tag = "3")]
    ended: Option<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct AbstainsRecord {
    /// Microseconds.
    #[prost(uint64, optional, tag = "1")]
    wait: Option<u64>,
}

fn encode_outcome(outcome: FirstOutcome) -> u32 {
    match outcome {
        FirstOutcome::Response(status) => u32::from(status),
        FirstOutcome::Unknown => UNKNOWN_STATUS,
    }
}

fn decode_outcome(status: u32) -> Result<FirstOutcome> {
    match u16::try_from(status) {
        Ok(0) => Ok(FirstOutcome::Unknown),
        Ok(status @ 100..=999) => Ok(FirstOutcome::Response(status)),
        _ => Err(Error::invalid(format!("no HTTP status {status}"))),
    }
}

impl From<&Claim> for ClaimRecord {
    fn from(claim: &Claim) -> Self {
        ClaimRecord {
            node: claim.node.0,
            request: claim.request.0,
            layouts: claim.layouts.clone(),
            account: claim.account.to_string(),
            key: claim.key.to_string(),
        }
    }
}

impl TryFrom<ClaimRecord> for Claim {
    type Error = Error;

    fn try_from(record: ClaimRecord) -> Result<Self> {
        Ok(Claim {
            node: NodeId(record.node),
            request: RequestId(record.request),
            layouts: record.layouts,
            account: record.account.parse()?,
            key: record.key.parse()?,
        })
    }
}

impl From<&RunReport> for ReportRecord {
    fn from(report: &RunReport) -> Self {
        ReportRecord {
            node: report.node.0,
            request: report.request.0,
            account: report.account.to_string(),
            key: report.key.to_string(),
            ended: match report.result {
                RunResult::NotRun => None,
                RunResult::Ran(first) => Some(encode_outcome(first)),
            },
        }
    }
}

impl TryFrom<ReportRecord> for RunReport {
    type Error = Error;

    fn try_from(record: ReportRecord) -> Result<Self> {
        Ok(RunReport {
            node: NodeId(record.node),
            request: RequestId(record.request),
            account: record.account.parse()?,
            key: record.key.parse()?,
            result: match record.ended {
                None => RunResult::NotRun,
                Some(status) => RunResult::Ran(decode_outcome(status)?),
            },
        })
    }
}

impl From<&ClaimResponse> for ReplyBody {
    fn from(response: &ClaimResponse) -> Self {
        match response {
            ClaimResponse::New => ReplyBody::New(EmptyRecord {}),
            ClaimResponse::Held(held) => ReplyBody::Held(ExistingClaimRecord {
                node: held.node.0,
                request: held.request.0,
                ended: held.outcome.map(encode_outcome),
            }),
            ClaimResponse::Abstains { wait } => ReplyBody::Abstains(AbstainsRecord {
                wait: wait.map(|d| d.as_micros() as u64),
            }),
        }
    }
}

impl TryFrom<ExistingClaimRecord> for ExistingClaim {
    type Error = Error;

    fn try_from(record: ExistingClaimRecord) -> Result<Self> {
        Ok(ExistingClaim {
            node: NodeId(record.node),
            request: RequestId(record.request),
            outcome: record.ended.map(decode_outcome).transpose()?,
        })
    }
}

impl IdempotencyRequest {
    /// Encodes the request as a frame payload.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            IdempotencyRequest::Claim(claim) => RequestBody::Claim(claim.into()),
            IdempotencyRequest::Report(report) => RequestBody::End(report.into()),
        };
        RequestRecord { body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes a frame payload.
    ///
    /// # Errors
    ///
    /// Fails if the payload is malformed or contains an invalid name or key.
    pub fn decode(payload: Bytes) -> Result<IdempotencyRequest> {
        let record = RequestRecord::decode(payload)
            .map_err(|e| Error::invalid(format!("repeat request: {e}")))?;
        match record.body {
            Some(RequestBody::Claim(claim)) => Ok(IdempotencyRequest::Claim(claim.try_into()?)),
            Some(RequestBody::End(report)) => Ok(IdempotencyRequest::Report(report.try_into()?)),
            None => Err(Error::invalid("repeat request without a body")),
        }
    }
}

impl IdempotencyResponse {
    /// Encodes the response as a frame payload.
    pub fn encode(&self) -> Bytes {
        let body = match self {
            IdempotencyResponse::Claim(response) => response.into(),
            IdempotencyResponse::Recorded => ReplyBody::Booked(EmptyRecord {}),
        };
        ResponseRecord { body: Some(body) }.encode_to_vec().into()
    }

    /// Decodes a frame payload.
    ///
    /// # Errors
    ///
    /// As [`IdempotencyRequest::decode`].
    pub fn decode(payload: Bytes) -> Result<IdempotencyResponse> {
        let record = ResponseRecord::decode(payload)
            .map_err(|e| Error::invalid(format!("idempotency response: {e}")))?;
        let response = match record.body {
            Some(ReplyBody::New(_)) => ClaimResponse::New,
            Some(ReplyBody::Held(held)) => ClaimResponse::Held(held.try_into()?),
            Some(ReplyBody::Abstains(record)) => ClaimResponse::Abstains {
                wait: record.wait.map(Duration::from_micros),
            },
            Some(ReplyBody::Booked(_)) => return Ok(IdempotencyResponse::Recorded),
            None => return Err(Error::invalid("idempotency response without a body")),
        };
        Ok(IdempotencyResponse::Claim(response))
    }
}
