//! The messages between replicas.

use bytes::Bytes;

use crate::replica::entry::{LogEntry, Replicas};
use crate::time::Time;
use crate::units::{Position, Term};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Checks whether a vote would be granted; changes no state.
    PreVote(RequestVote),
    /// The response to [`Message::PreVote`].
    PreVoteResponse(RequestVoteResponse),
    /// Requests a vote.
    RequestVote(RequestVote),
    /// The response to [`Message::RequestVote`].
    RequestVoteResponse(RequestVoteResponse),
    /// Replicates entries, or serves as a heartbeat.
    AppendEntries(AppendEntries),
    /// The response to [`Message::AppendEntries`].
    AppendEntriesResponse(AppendEntriesResponse),
    /// Transfers a chunk of a snapshot to a follower that is behind the start of the leader's log.
    InstallSnapshot(InstallSnapshot),
    /// The response to [`Message::InstallSnapshot`].
    InstallSnapshotResponse(InstallSnapshotResponse),
}

/// A vote request, with the end of the candidate's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestVote {
    /// The term of the election.
    pub term: Term,
    /// The term of the last entry in its log.
    pub last_term: Term,
    /// The position of the last entry in its log.
    pub last_position: Position,
}

/// The response to a [`RequestVote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestVoteResponse {
    /// The requested term if granted, otherwise the voter's term.
    pub term: Term,
    /// True if the vote is granted.
    pub granted: bool,
}

/// Log entries to append after a position; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// The position of the entry before the first one.
    pub previous: Position,
    /// The term of the entry at that position.
    pub previous_term: Term,
    /// The entries.
    pub entries: Vec<LogEntry>,
    /// The leader's commit position.
    pub committed: Position,
    /// Send time on the leader's clock; the response repeats it.
    pub sent: Time,
}

/// The response to an [`AppendEntries`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendEntriesResponse {
    /// The follower's term.
    pub term: Term,
    /// The send time of the request.
    pub sent: Time,
    /// The `previous` of the request.
    pub previous: Position,
    /// True if the logs match and the entries are synced.
    pub agreed: bool,
    /// The last matching position, or the next one to try if the logs differ.
    pub position: Position,
}

/// Metadata of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotMetadata {
    /// The last position covered.
    pub position: Position,
    /// The term of the entry at that position.
    pub term: Term,
    /// The group at that position.
    pub replicas: Replicas,
    /// The size of the data in bytes.
    pub size: u64,
}

/// A chunk of a snapshot; one without bytes is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// Send time on the leader's clock; the response repeats it.
    pub sent: Time,
    /// The metadata of the snapshot.
    pub metadata: SnapshotMetadata,
    /// The offset of the bytes in the snapshot.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// The response to an [`InstallSnapshot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstallSnapshotResponse {
    /// The follower's term.
    pub term: Term,
    /// The send time of the request.
    pub sent: Time,
    /// The snapshot's position.
    pub position: Position,
    /// The number of bytes that the follower has received.
    pub received: u64,
}

impl Message {
    /// Returns the term of the message.
    pub fn term(&self) -> Term {
        match self {
            Message::PreVote(m) | Message::RequestVote(m) => m.term,
            Message::PreVoteResponse(m) | Message::RequestVoteResponse(m) => m.term,
            Message::AppendEntries(m) => m.term,
            Message::AppendEntriesResponse(m) => m.term,
            Message::InstallSnapshot(m) => m.term,
            Message::InstallSnapshotResponse(m) => m.term,
        }
    }
}
