//! Messages between seats, owners and holders.

use std::time::Duration;

use crate::ids::{AccountName, NodeId};
use crate::limit::Shard;
use crate::time::Time;
use crate::units::Position;

/// A candidate's claim on shards, or its renewal, sent to one seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The candidate.
    pub node: NodeId,
    /// Send time on the candidate's clock; grows with each claim and orders them at the seat.
    pub sent: Time,
    /// Length of the vote that the candidate asks for, at most [`LEASE`](crate::limit::LEASE).
    pub length: Duration,
    /// Digests of the seat layouts that the candidate follows, the newest last.
    pub layouts: Vec<u64>,
    /// The last registry that the candidate knows to be settled.
    pub settled: Position,
    /// Shards to vote for.
    pub claim: Vec<Shard>,
    /// Shards whose vote is given back.
    pub release: Vec<Shard>,
    /// Claimed shards whose leaving owner has handed its buckets to the candidate.
    pub succeeds: Vec<Succession>,
}

/// The right of a candidate to a leaving owner's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Succession {
    /// The shard.
    pub shard: Shard,
    /// The leaving owner.
    pub owner: NodeId,
}

/// A seat's answer to a [`Claim`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseVote {
    /// Send time of the claim, echoed.
    pub sent: Time,
    /// Length of the votes, counted by the candidate from the send time.
    pub length: Duration,
    /// Shards that the seat voted for.
    pub granted: Vec<Shard>,
    /// Shards that another node holds.
    pub held: Vec<HeldVote>,
    /// How long the seat still abstains, if it does.
    pub abstains: Option<Duration>,
    /// The registry that the seat follows.
    pub registry: Position,
    /// The last registry that the seat knows to be settled.
    pub settled: Position,
}

/// A vote that a seat has given to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldVote {
    /// The shard.
    pub shard: Shard,
    /// The node voted for.
    pub holder: NodeId,
    /// Time until the vote ends unless it is renewed.
    pub remaining: Duration,
}

/// A holder's report and request for one account.
///
/// Counters grow over the life of a credit, so lost, repeated and reordered asks do no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditRequest {
    /// The account.
    pub account: AccountName,
    /// The holder's number for its line of credit; grows with each new one.
    pub credit: u64,
    /// The owner's number for the credit, zero if not known yet.
    pub serial: u64,
    /// Send time on the holder's clock.
    pub sent: Time,
    /// Tokens of the credit spent so far.
    pub spent: u64,
    /// Tokens of the credit given back so far.
    pub returned: u64,
    /// Requests that wait for a token now.
    pub waiting: u32,
    /// Recent demand in thousandths of a request per second.
    pub demand: u64,
    /// The holder drops the credit.
    pub close: bool,
}

/// An owner's answer to an [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditResponse {
    /// The account.
    pub account: AccountName,
    /// The credit of the ask.
    pub credit: u64,
    /// Send time of the ask, echoed.
    pub sent: Time,
    /// What the owner says.
    pub result: CreditResult,
}

/// Content of an [`CreditResponse`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CreditResult {
    /// The state of the credit.
    Grant(Grant),
    /// The node does not own the shard; it may know who does.
    NotOwner(Option<NodeId>),
}

/// The state of a credit at the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The owner's number for the credit; no credit of any lease has the same.
    pub serial: u64,
    /// Tokens granted over the life of the credit.
    pub total: u64,
    /// Time from the answer until every token of the credit expires.
    pub valid_for: Duration,
    /// Part of the total that may be spent at once.
    pub settled: u64,
    /// Time from the answer until the rest of the total may be spent.
    pub ready_in: Duration,
    /// Tokens that the holder should keep; it returns more than that.
    pub target: u64,
    /// Time until a token exists for this holder, if a waiting request got none.
    pub retry: Option<Duration>,
    /// Time between tokens for this holder while they are scarce.
    pub pace: Duration,
    /// The holder should report spent tokens without delay.
    pub prompt: bool,
}
