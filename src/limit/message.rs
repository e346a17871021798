//! Messages between voters, owners and local limiters.

use std::time::Duration;

use crate::ids::{AccountName, NodeId};
use crate::limit::Shard;
use crate::time::Time;
use crate::units::Position;

/// A candidate's request for votes on shards, or for their renewal, sent to one voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The candidate.
    pub node: NodeId,
    /// Send time on the candidate's clock; grows with each claim, so the voter can order them.
    pub sent: Time,
    /// Requested duration of the votes, at most [`LEASE`](crate::limit::LEASE).
    pub length: Duration,
    /// Digests of the candidate's voter layouts in force, the newest last.
    pub layouts: Vec<u64>,
    /// Position of the last registry that is settled according to the candidate.
    pub settled: Position,
    /// Shards on which a vote is requested.
    pub claim: Vec<Shard>,
    /// Shards whose votes the candidate releases.
    pub release: Vec<Shard>,
    /// Claimed shards that the leaving owner has handed over to the candidate.
    pub succeeds: Vec<Succession>,
}

/// Entitles a candidate to the votes of a leaving owner that has handed the shard over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Succession {
    /// The shard.
    pub shard: Shard,
    /// The leaving owner.
    pub owner: NodeId,
}

/// A voter's response to a [`Claim`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseVote {
    /// Send time of the claim, echoed.
    pub sent: Time,
    /// Duration of the votes; the candidate counts it from the send time.
    pub length: Duration,
    /// Shards on which the voter voted for the candidate.
    pub granted: Vec<Shard>,
    /// Shards on which the voter's vote is held by another node.
    pub held: Vec<HeldVote>,
    /// How long the voter still abstains, if it does.
    pub abstains: Option<Duration>,
    /// Position of the voter's registry.
    pub registry: Position,
    /// Position of the last registry that is settled according to the voter.
    pub settled: Position,
}

/// A vote that is held by another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldVote {
    /// The shard.
    pub shard: Shard,
    /// The node that holds the vote.
    pub holder: NodeId,
    /// Time until the vote expires unless it is renewed.
    pub remaining: Duration,
}

/// A local limiter's usage report and request for tokens of one account.
///
/// The counters only grow over the life of a credit, so requests may be lost, duplicated and
/// reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditRequest {
    /// The account.
    pub account: AccountName,
    /// The local limiter's number for the credit; grows with each new credit.
    pub credit: u64,
    /// The owner's number for the credit, zero before the first response.
    pub serial: u64,
    /// Send time on the local limiter's clock.
    pub sent: Time,
    /// Tokens of the credit spent so far.
    pub spent: u64,
    /// Tokens of the credit returned so far.
    pub returned: u64,
    /// Requests that are waiting for a token.
    pub waiting: u32,
    /// Recent demand in thousandths of a request per second.
    pub demand: u64,
    /// True if the local limiter drops the credit.
    pub close: bool,
    /// True if a node that knows the owner should relay the request to it, as the sender has had no
    /// response from the owner.
    pub relay: bool,
}

/// An owner's response to a [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditResponse {
    /// The account.
    pub account: AccountName,
    /// The credit of the request, echoed.
    pub credit: u64,
    /// Send time of the request, echoed.
    pub sent: Time,
    /// The result of the request.
    pub result: CreditResult,
}

/// The result of a [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreditResult {
    /// The state of the credit.
    Grant(Grant),
    /// The node does not own the shard; names the owner if it is known.
    NotOwner(Option<NodeId>),
}

/// The state of a credit at its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The owner's number for the credit, unique among the credits of all leases.
    pub serial: u64,
    /// Tokens granted over the life of the credit.
    pub total: u64,
    /// Time from the response until all tokens of the credit expire.
    pub valid_for: Duration,
    /// Number of tokens of the total that may already be spent.
    pub spendable: u64,
    /// Time from the response until the rest of the total may be spent.
    pub ready_in: Duration,
    /// Number of tokens to keep locally; tokens beyond it are returned.
    pub target_reserve: u64,
    /// Time until the next token for this node is minted, if a waiting request got none.
    pub retry: Option<Duration>,
    /// Time between tokens for this node while tokens are scarce.
    pub pace: Duration,
    /// True if spent tokens should be reported without delay.
    pub report_promptly: bool,
}
