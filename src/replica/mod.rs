//! The replicated log of the control processes, an implementation of Raft.
//!
//! [`Replica`] is a state machine without sockets, files or clocks. The caller passes in time,
//! randomness and messages, and executes the returned [`Action`]s *in order*: an
//! [`Action::Persist`] must be synced before any later action, since votes and acknowledgements
//! refer to data on disk. If a persist fails, the caller drops the remaining actions and rebuilds
//! the replica from its store with [`Replica::restore`], as after a crash.
//!
//! Elections use terms and a pre-vote. An entry commits when a majority of the voters has synced
//! it and it belongs to the leader's own term. A leader that gets no responses from a majority
//! within [`LEASE`] steps down by its own clock. A voter that started, or received a message from a
//! leader, less than [`ELECTION_MIN`] ago grants no vote, so a lease never overlaps the election of
//! a later leader.
//!
//! A group is bootstrapped once, by a unanimous vote of its initial members; a replica without a
//! log never starts an election otherwise. A replica whose disk is lost returns under a new
//! [`ReplicaId`](crate::ids::ReplicaId) as a learner, catches up, and replaces the old member in
//! two single-server membership changes: the old member is removed, then the learner is promoted.
//! This order never needs more live replicas than before the repair. A group that is bootstrapped
//! with fewer voters than it should have grows in the same way, by one learner after the other.

mod election;
mod entry;
mod follower;
mod leader;
mod log;
mod machine;
mod membership;
mod message;

use std::time::Duration;

pub use self::entry::{Entry, HardState, LogEntry, Member, Replicas, Snapshot};
pub use self::machine::{Action, Confirmation, Limits, Persist, Replica, Role, Stored};
pub use self::message::{
    AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse, Message,
    RequestVote, RequestVoteResponse, SnapshotMetadata,
};

/// Interval between heartbeats of a leader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest election timeout: time without a message from a leader before an election starts.
pub const ELECTION_MIN: Duration = Duration::from_millis(600);

/// Longest election timeout.
pub const ELECTION_MAX: Duration = Duration::from_millis(1_200);

/// Shortest election timeout of a candidate.
///
/// It may be below [`ELECTION_MIN`], since a candidate has already been without a leader for that
/// long.
pub const RETRY_MIN: Duration = Duration::from_millis(200);

/// Longest election timeout of a candidate.
///
/// With a second full election timeout, a network partition followed by one split vote would leave
/// the group without a leader for up to 3 s.
pub const RETRY_MAX: Duration = Duration::from_millis(600);

/// Leader lease, counted from the send time of requests that a majority has acknowledged.
///
/// It is shorter than [`ELECTION_MIN`] by far more than the assumed clock drift of 1 %.
pub const LEASE: Duration = Duration::from_millis(500);

/// Time without a response after which entries or a snapshot chunk are sent again.
pub const RESEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without contact after which a voter may be replaced by a learner that has caught up.
///
/// A permanently lost VM still counts toward the majority until it is replaced. A voter that was
/// only unreachable rejoins as a learner and loses no data.
pub const VOTER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without contact after which a learner is removed from the group.
///
/// A learner that is lost for good would hold one of the [`REPLICAS_MAX`] places. One that was only
/// unreachable rejoins.
pub const LEARNER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest number of replicas in a group.
pub const REPLICAS_MAX: usize = 7;
