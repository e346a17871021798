//! Messages between claimants and the seats that keep records.

use std::time::Duration;

use crate::idempotency::IdempotencyKey;
use crate::ids::{AccountName, NodeId, RequestId};
use crate::outcome::FirstOutcome;

/// A claim of a key for one request, sent to each seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The ingress of the request.
    pub node: NodeId,
    /// The request; a claim that arrives twice is one claim.
    pub request: RequestId,
    /// Digests of the seat layouts that the claimant follows, the newest last.
    pub layouts: Vec<u64>,
    /// The client account.
    pub account: AccountName,
    /// The key.
    pub key: IdempotencyKey,
}

/// A seat's answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The seat recorded the claim and held no other record of the key.
    New,
    /// The seat holds a record of another request with the key.
    Held(ExistingClaim),
    /// The seat can't tell, and recorded nothing.
    Abstains {
        /// Time after which it can tell, if that is known.
        wait: Option<Duration>,
    },
}

/// A record of another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExistingClaim {
    /// The request that claimed the key.
    pub request: RequestId,
    /// Its ingress.
    pub node: NodeId,
    /// How it ended; none if the seat has not been told.
    pub end: Option<FirstOutcome>,
}

/// The claimant's report on a request that it claimed a key for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// The request.
    pub request: RequestId,
    /// Its ingress.
    pub node: NodeId,
    /// The client account.
    pub account: AccountName,
    /// The key.
    pub key: IdempotencyKey,
    /// How the request ended.
    pub result: RunResult,
}

/// How a request with a key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// It certainly did not run and never will, so the key is free.
    NotRun,
    /// It ran or may have run.
    Ran(FirstOutcome),
}

/// What a seat knows of the request that a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// It claimed the key.
    Claimed,
    /// It ended and ran, or may have run.
    Ended(FirstOutcome),
    /// It did not run; only a late copy of its claim is refused.
    Released,
}
