use bytes::Bytes;

use crate::replica::entry::{LogEntry, Replicas};
use crate::time::Time;
use crate::units::{Position, Term};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether a vote would be granted; changes no state.
    PreVote(RequestVote),
    /// Answers [`Message::PreVote`].
    PreVoteResponse(RequestVoteResponse),
    /// Asks for a vote.
    RequestVote(RequestVote),
    /// Answers [`Message::RequestVote`].
    RequestVoteResponse(RequestVoteResponse),
    /// Entries or a heartbeat.
    AppendEntries(AppendEntries),
    /// Answers [`Message::AppendEntries`].
    AppendEntriesResponse(AppendEntriesResponse),
    /// A chunk of a snapshot, for a follower that is behind the leader's log.
    InstallSnapshot(InstallSnapshot),
    /// Answers [`Message::InstallSnapshot`].
    InstallSnapshotResponse(InstallSnapshotResponse),
}

/// The claim of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestVote {
    /// The term that the candidate wants to lead.
    pub term: Term,
    /// The term of the last entry in its log.
    pub last_term: Term,
    /// The position of the last entry in its log.
    pub last: Position,
}

/// The answer to a [`RequestVote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestVoteResponse {
    /// The term asked for if granted, else the voter's term.
    pub term: Term,
    /// True if the vote is given.
    pub granted: bool,
}

/// Entries that follow a position; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// The position before the first entry.
    pub previous: Position,
    /// The term of the entry at that position.
    pub previous_term: Term,
    /// The entries.
    pub entries: Vec<LogEntry>,
    /// The leader's commit position.
    pub committed: Position,
    /// Send time on the leader's clock; the answer repeats it.
    pub sent: Time,
}

/// The answer to an [`AppendEntries`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendEntriesResponse {
    /// The follower's term.
    pub term: Term,
    /// The send time of the question.
    pub sent: Time,
    /// The `previous` of the question.
    pub previous: Position,
    /// True if the logs agree and the entries are synced.
    pub agreed: bool,
    /// The last agreed position, or the one from which to try next if the logs differ.
    pub position: Position,
}

/// What a snapshot covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotHead {
    /// The last position covered.
    pub position: Position,
    /// The term of the entry at that position.
    pub term: Term,
    /// The group at that position.
    pub replicas: Replicas,
    /// The size of the data in bytes.
    pub size: u64,
}

/// A part of a snapshot; without bytes it serves as a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// Send time on the leader's clock; the answer repeats it.
    pub sent: Time,
    /// The snapshot.
    pub head: SnapshotHead,
    /// Where the bytes begin.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// The answer to a [`InstallSnapshot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstallSnapshotResponse {
    /// The follower's term.
    pub term: Term,
    /// The send time of the question.
    pub sent: Time,
    /// The snapshot's position.
    pub position: Position,
    /// How many bytes the follower holds.
    pub received: u64,
}

impl Message {
    /// Returns the term that the message names.
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
