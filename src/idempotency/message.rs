//! Messages between coordinators of claims and the voters that keep records.

use std::time::Duration;

use crate::idempotency::IdempotencyKey;
use crate::ids::{AccountName, NodeId, RequestId};
use crate::outcome::FirstOutcome;

/// A claim of a key for one request, sent to each voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The ingress of the request.
    pub node: NodeId,
    /// The request; duplicates of its claim count as one claim.
    pub request: RequestId,
    /// Digests of the coordinator's voter layouts in force, the newest last.
    pub layouts: Vec<u64>,
    /// The client account.
    pub account: AccountName,
    /// The key.
    pub key: IdempotencyKey,
}

/// A voter's response to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The voter recorded the claim and had no other record of the key.
    New,
    /// The voter has a record of another request with the key.
    Held(ExistingClaim),
    /// The voter can't decide, and recorded nothing.
    Abstains {
        /// Time after which it can decide, if that is known.
        wait: Option<Duration>,
    },
}

/// A record of another request with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExistingClaim {
    /// The request that claimed the key.
    pub request: RequestId,
    /// Its ingress.
    pub node: NodeId,
    /// How it ended; `None` if the voter has received no report.
    pub outcome: Option<FirstOutcome>,
}

/// An ingress's report on a request for which it claimed a key.
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
    /// It certainly did not run and never will, so the key is released.
    NotRun,
    /// It ran or may have run.
    Ran(FirstOutcome),
}

/// State of the request of a record, as far as reported to the voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The request claimed the key and has not ended.
    Claimed,
    /// The request ran, or may have run, and has ended.
    Ended(FirstOutcome),
    /// The request did not run; only late duplicates of its claim are refused.
    Released,
}
