//! Fleet-wide rate limits of client accounts.
//!
//! An account hashes to a [`Shard`]. A node that holds a lease on the shard from a majority of its
//! [`Voter`]s is the shard's [`Owner`] and keeps a token bucket for each account in use. Every node
//! runs a [`LocalLimiter`] that spends tokens granted by the owners. [`Placement`] determines which
//! nodes may own a shard and which vote on its lease.
//!
//! Over any interval `t` the fleet admits at most `rate * t + burst` requests of an account:
//!
//! - `level + outstanding` of a bucket never exceeds the burst, where outstanding tokens are those
//!   granted and neither reported as spent nor expired.
//! - A token that is granted before it is minted carries the time from which it may be spent.
//! - No grant outlives the owner's lease. A new owner starts with empty buckets, unless a leaving
//!   owner has handed its buckets over together with their outstanding tokens.
//! - Every check reads the clock itself, so a process that was paused spends no expired token.
//!
//! When a registry change alters the voters of a shard, a lease needs a majority of the old and a
//! majority of the new voters until the new registry is settled, which [`VoterProgress`]
//! determines.
//!
//! A restarted voter abstains for one lease, since its votes are not stored durably. A fleet that
//! starts as a whole therefore grants its first tokens about [`LEASE`] after the start.

mod account;
mod bucket;
mod credit;
mod handover;
mod limiter;
mod message;
mod owner;
mod placement;
mod progress;
mod route;
mod voter;

use std::time::Duration;

pub use handover::{BucketState, HandoverRequest, HandoverTicket, ShardHandover};
pub use limiter::{AdmitResult, LocalLimiter, Ticket, WaitResult};
pub use message::{
    Claim, CreditRequest, CreditResponse, CreditResult, Grant, HeldVote, LeaseVote, Succession,
};
pub use owner::{Accounts, Allowance, OpenClaim, Owner};
pub use placement::{NodeInfo, Placement, Shard, VOTER_COUNT};
pub use progress::VoterProgress;
pub use voter::Voter;
pub(crate) use voter::layouts_match;

/// Number of shards that accounts hash to.
pub const SHARD_COUNT: u16 = 2_048;

/// Longest duration of a vote, and how long a restarted voter abstains unless the fleet is known to
/// be small.
pub const LEASE: Duration = Duration::from_secs(3);

/// Duration of votes in a fleet of at most [`SMALL_FLEET`] nodes.
///
/// While a shard changes its owner, an account has only the tokens that the nodes already hold. A
/// short lease shortens that time; in a large fleet the renewals would cost too much traffic.
pub const SHORT_LEASE: Duration = Duration::from_secs(1);

/// Largest fleet that uses [`SHORT_LEASE`], in nodes.
pub const SMALL_FLEET: usize = 64;

/// Largest accepted registry, in nodes, for which a restarted voter may assume that its votes
/// before the restart lasted at most [`SHORT_LEASE`].
///
/// It is well below [`SMALL_FLEET`], because a fleet that has just shrunk below that size may still
/// have votes for [`LEASE`] in force.
pub const SURELY_SMALL_FLEET: usize = 48;

/// Period of the batched credit requests from local limiters to owners.
pub const BATCH_PERIOD: Duration = Duration::from_millis(100);

/// Longest time that a request without a latency objective waits for a token before it is refused.
pub const TOKEN_WAIT_MAX: Duration = Duration::from_millis(100);

/// Time after which a credit request without a response is sent again; it doubles with each further
/// one.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(25);

/// Correction of a duration that another process measures, in thousandths.
///
/// Two clocks that each drift by at most 1 % differ by less than 2.03 % of a duration.
const DRIFT_PER_MILLE: u32 = 21;

/// Returns a duration that ends on this clock before `d` ends on the clock that measured it.
fn shrink(d: Duration) -> Duration {
    d * (1_000 - DRIFT_PER_MILLE) / 1_000
}

/// Returns a duration that ends on this clock after `d` ends on the clock that measured it.
pub(crate) fn stretch(d: Duration) -> Duration {
    d * (1_000 + DRIFT_PER_MILLE) / 1_000
}
