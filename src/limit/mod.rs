//! Rates and bursts of client accounts over the whole fleet.
//!
//! An account hashes to a [`Shard`]. A node that holds a lease on the shard from a majority of its
//! [`Voter`]s is the shard's [`Owner`] and keeps one bucket for each account in use. The other nodes
//! run a [`LocalLimiter`] that spends tokens granted by the owner. [`Placement`] names the seats and the
//! candidates of each shard.
//!
//! Over any interval `t` the fleet admits at most `rate * t + burst` requests of an account:
//!
//! - `level + outstanding` of a bucket never exceeds the burst, where outstanding tokens are those
//!   granted and neither reported nor expired.
//! - Tokens are granted in advance of minting only with the time from which they may be spent.
//! - No grant outlives the owner's lease, and a new owner starts with an empty bucket, unless a
//!   leaving owner has handed its bucket over with all that is outstanding.
//! - Every check takes the time read at the check, so that a paused process spends nothing late.
//!
//! When the registry changes, seats move to other nodes. A lease then needs the seats of each
//! registry that is not settled; [`VoterProgress`] tells when one is.
//!
//! A restarted seat abstains for one lease, since it has forgotten its votes. A fleet that starts
//! as a whole therefore grants its first tokens about [`LEASE`] after the start.

mod bucket;
mod credit;
mod handover;
mod limiter;
mod message;
mod owner;
mod placement;
mod progress;
mod voter;

use std::time::Duration;

pub use handover::{BucketState, HandoverRequest, HandoverTicket, ShardHandover};
pub use limiter::{AdmitResult, LocalLimiter, Ticket, WaitResult};
pub use message::{
    Claim, CreditRequest, CreditResponse, CreditResult, Grant, HeldVote, LeaseVote, Succession,
};
pub use owner::{Accounts, Allowance, Owner};
pub use placement::{NodeInfo, Placement, Shard, VOTER_COUNT};
pub use progress::VoterProgress;
pub use voter::Voter;
pub(crate) use voter::layouts_match;

/// Number of shards that accounts hash to.
pub const SHARD_COUNT: u16 = 2_048;

/// Longest vote of a seat for the owner of a shard, and how long a restarted seat abstains unless it
/// learns that the fleet is surely small.
pub const LEASE: Duration = Duration::from_secs(3);

/// Length of votes in a fleet of at most [`SMALL_FLEET`] nodes.
///
/// An account has only the tokens at the nodes while its shard moves. A short lease makes that
/// time short; a large fleet can't afford the renewals.
pub const SHORT_LEASE: Duration = Duration::from_secs(1);

/// Most nodes of a fleet that uses [`SHORT_LEASE`].
pub const SMALL_FLEET: usize = 64;

/// Most nodes of an accepted registry by which a restarted seat knows that the votes before its start
/// were short.
///
/// It is well below [`SMALL_FLEET`], so that a fleet which has shrunk across that size a moment ago is
/// not taken for one that was small all along.
pub const SURELY_SMALL_FLEET: usize = 48;

/// Period of batched reports from holders to owners.
pub const BATCH_PERIOD: Duration = Duration::from_millis(100);

/// Longest time that a request waits for a token before it is refused.
pub const WAIT_MAX: Duration = Duration::from_millis(100);

/// Time after which an unanswered ask is sent again.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(25);

/// Two clocks that each drift by at most 1 % differ by less than 2.03 % of a duration, so a
/// duration measured by another process is shortened or lengthened by 2.1 %.
const DRIFT_PER_MILLE: u32 = 21;

/// Returns a duration that ends on this clock before `d` ends on the clock that measured it.
fn shrink(d: Duration) -> Duration {
    d * (1_000 - DRIFT_PER_MILLE) / 1_000
}

/// Returns a duration that ends on this clock after `d` ends on the clock that measured it.
pub(crate) fn stretch(d: Duration) -> Duration {
    d * (1_000 + DRIFT_PER_MILLE) / 1_000
}
