//! The replicated log of the control processes.
//!
//! [`Replica`] is a state machine without sockets, files or clocks. The caller passes time,
//! randomness and messages in, and carries out the [`Action`]s that come back *in their order*:
//! an [`Action::Persist`] must be synced before any later action is carried out, since votes and
//! acknowledgements promise what is on the disk. If a persist fails, the caller drops the remaining
//! actions and builds the replica anew from its store with [`Replica::restore`], as after a crash.
//!
//! Elections use terms and a pre-vote. An entry commits when a majority of the voters has synced
//! it and it belongs to the leader's own term. A leader that gets no answers from a majority within
//! [`LEASE`] steps down by its own clock. A voter that heard from a leader, or started, less than
//! [`ELECTION_MIN`] ago grants no vote, so a lease never overlaps a later leader's election.
//!
//! A group is founded once, by a unanimous vote of its initial members; a replica without a log
//! otherwise never stands for election. A replica whose disk is lost returns under a new
//! [`ReplicaId`](crate::ids::ReplicaId) as a learner, catches up, and takes the place of the old
//! member in two single steps: the old member is removed, then the learner gets its vote. This
//! order never needs more live replicas than before the repair. A group that is to have more voters
//! than it was founded with grows in the same way, by one learner after the other.

mod election;
mod entry;
mod follower;
mod leader;
mod log;
mod machine;
mod members;
mod message;

use std::time::Duration;

pub use self::entry::{Entry, HardState, LogEntry, Member, Replicas, Snapshot};
pub use self::machine::{Action, Confirmation, Limits, Persist, Replica, Role, Stored};
pub use self::message::{
    AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse, Message,
    RequestVote, RequestVoteResponse, SnapshotHead,
};

/// Time between heartbeats of a leader.
pub const HEARTBEAT: Duration = Duration::from_millis(100);

/// Shortest silence of the leader before a replica stands for election.
pub const ELECTION_MIN: Duration = Duration::from_millis(600);

/// Longest silence of the leader before a replica stands for election.
pub const ELECTION_MAX: Duration = Duration::from_millis(1_200);

/// Shortest time before a candidate tries again.
///
/// It may be below [`ELECTION_MIN`], since a candidate has heard no leader for that long already.
pub const RETRY_MIN: Duration = Duration::from_millis(200);

/// Longest time before a candidate tries again.
///
/// With a second full election timeout, a silent cut followed by one split vote takes up to 3 s.
pub const RETRY_MAX: Duration = Duration::from_millis(600);

/// How long answers of a majority let a leader lead, counted from the send time of the question.
///
/// It is shorter than [`ELECTION_MIN`] by far more than the assumed clock drift of 1 %.
pub const LEASE: Duration = Duration::from_millis(500);

/// Time without an answer after which entries or a snapshot chunk are sent again.
pub const RESEND: Duration = Duration::from_millis(300);

/// Silence of a voter after which a learner that has caught up may take its place.
///
/// A VM that is gone for good weighs on every majority until it is replaced. A voter that was only
/// cut off is let in again as a learner and loses nothing.
pub const VOTER_SILENCE_MAX: Duration = Duration::from_millis(2_500);

/// Most replicas in a group.
pub const REPLICAS_MAX: usize = 7;
