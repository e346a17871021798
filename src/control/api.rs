//! The JSON messages of the operator's interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config::NoteError;
use crate::ids::{NodeId, ReplicaId, ZoneName};
use crate::units::{NoteNumber, Position, Term};

/// Status 200 to `POST /notes` and `GET /notes/N`: how far a note has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteState {
    /// Number of the note.
    pub number: NoteNumber,
    /// Title of the note, if it has one.
    pub title: Option<String>,
    /// SHA-256 digest of the note's canonical encoding in hexadecimal digits.
    pub digest: String,
    /// Position in the replicated log.
    pub position: Position,
    /// True once a majority of replicas and a majority of registered nodes hold it.
    pub accepted: bool,
    /// Registered nodes.
    pub registered: usize,
    /// Registered nodes that have it in force.
    pub holding: usize,
    /// Registered nodes that don't have it yet.
    pub missing: Vec<NodeId>,
}

/// Status 409 to `POST /notes`: another note has this number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The number that was asked for.
    pub number: NoteNumber,
    /// Title of the note that has it.
    pub title: Option<String>,
    /// Digest of the note that has it; absent if it is too old to be known.
    pub digest: Option<String>,
    /// The number that a new note must have.
    pub next: NoteNumber,
}

/// Status 421: this replica is not the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeader {
    /// Operator address of the leader, if it is known.
    pub leader: Option<SocketAddr>,
}

/// Status 422 to `POST /notes`: the note breaks rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invalid {
    /// Every error with its place in the file.
    pub errors: Vec<PlacedError>,
}

/// An error with its place; line and column start at 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedError {
    /// The line.
    pub line: usize,
    /// The column in characters.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl From<NoteError> for PlacedError {
    fn from(e: NoteError) -> PlacedError {
        PlacedError {
            line: e.line,
            column: e.column,
            message: e.message,
        }
    }
}

/// Any other error status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What went wrong.
    pub message: String,
}

/// Status 200 to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the replica that answers.
    pub replica: ReplicaId,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Its election term.
    pub term: Term,
    /// Operator address of the leader, if it is known.
    pub leader: Option<SocketAddr>,
    /// Last committed position.
    pub committed: Position,
    /// Number of the last committed note.
    pub number: NoteNumber,
    /// Replicas of the group.
    pub replicas: Vec<ReplicaStatus>,
    /// Registered nodes.
    pub nodes: Vec<NodeStatus>,
}

/// One replica in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: ReplicaId,
    /// Its link address, if it is known.
    pub addr: Option<SocketAddr>,
    /// True if it votes, false while it catches up.
    pub voter: bool,
    /// Position that it is known to hold; only the leader knows it.
    pub position: Option<Position>,
}

/// One node in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its identity.
    pub id: NodeId,
    /// Its link address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Position that it was last known to hold.
    pub position: Position,
    /// Milliseconds since its last contact with this replica, if there was any.
    pub silent_ms: Option<u64>,
}
