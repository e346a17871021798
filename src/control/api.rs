//! JSON messages of the operator API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config::NoteError;
use crate::ids::{NodeId, ReplicaId, ZoneName};
use crate::units::{NoteNumber, Position, Term};

/// Status 200 to `POST /notes` and `GET /notes/N`: the progress of a note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteState {
    /// Number of the note.
    pub number: NoteNumber,
    /// Title of the note, if it has one.
    pub title: Option<String>,
    /// SHA-256 digest of the note's canonical encoding, in hexadecimal.
    pub digest: String,
    /// Position in the replicated log.
    pub position: Position,
    /// True once a majority of replicas and a majority of registered nodes hold it.
    pub accepted: bool,
    /// Number of registered nodes.
    pub registered: usize,
    /// Number of registered nodes that have the note in force.
    pub holding: usize,
    /// Registered nodes that don't have the note yet.
    pub missing: Vec<NodeId>,
}

/// Status 409 to `POST /notes`: another note has this number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The submitted number.
    pub number: NoteNumber,
    /// Title of the note that has this number.
    pub title: Option<String>,
    /// Digest of the note that has this number; absent if that note is no longer kept.
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

/// Status 422 to `POST /notes`: the note fails validation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invalid {
    /// Every error with its location in the file.
    pub errors: Vec<LocatedError>,
}

/// An error with its location; line and column start at 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocatedError {
    /// The line.
    pub line: usize,
    /// The column in characters.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

impl From<NoteError> for LocatedError {
    fn from(e: NoteError) -> LocatedError {
        LocatedError {
            line: e.line,
            column: e.column,
            message: e.message,
        }
    }
}

/// Any other error status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Description of the error.
    pub message: String,
}

/// Status 200 to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the responding replica.
    pub replica: ReplicaId,
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Its election term.
    pub term: Term,
    /// Operator address of the leader, if it is known.
    pub leader: Option<SocketAddr>,
    /// Last committed position.
    pub committed: Position,
    /// Number of the last applied note.
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
    /// True for a voter, false for a learner that catches up.
    pub voter: bool,
    /// Position that it is known to hold; reported only by the leader.
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
    /// Position from its last sync request to this replica.
    pub position: Position,
    /// Milliseconds since its last sync request to this replica, if there was one.
    pub silent_ms: Option<u64>,
}
