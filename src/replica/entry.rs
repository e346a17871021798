//! Log entries, snapshots and the members of the group.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::ids::ReplicaId;
use crate::units::{Position, Term};

/// The payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The first entry of a leader, which lets it commit the entries of earlier terms.
    Empty,
    /// An encoded release note.
    Note(Bytes),
    /// An encoded change of the node registry.
    Nodes(Bytes),
    /// A membership change of the group, in force as soon as it is appended to a log.
    Replicas(Replicas),
    /// Marks the entries up to this position as accepted by the nodes.
    Accepted(Position),
}

impl Entry {
    /// Returns the approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        const FIXED_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 96;
        FIXED_BYTES
            + match self {
                Entry::Note(bytes) | Entry::Nodes(bytes) => bytes.len(),
                Entry::Replicas(replicas) => MEMBER_BYTES * replicas.members().len(),
                Entry::Empty | Entry::Accepted(_) => 0,
            }
    }
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The position.
    pub position: Position,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The payload.
    pub entry: Entry,
}

/// The state that a replica must persist before it sends a message: identity, term and vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HardState {
    /// The identity, drawn when the data directory is created.
    pub id: ReplicaId,
    /// The latest term seen.
    pub term: Term,
    /// The replica that this replica voted for in the term.
    pub vote: Option<ReplicaId>,
}

impl HardState {
    /// Creates the hard state of a new data directory.
    pub fn new(id: ReplicaId) -> HardState {
        HardState {
            id,
            term: Term(0),
            vote: None,
        }
    }
}

/// The applied state up to a position, which replaces the entries up to there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The position of the last entry in the snapshot.
    pub position: Position,
    /// The term of the entry at that position.
    pub term: Term,
    /// The group at that position.
    pub replicas: Replicas,
    /// The encoded state.
    pub data: Bytes,
}

/// One replica of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The identity.
    pub id: ReplicaId,
    /// The address for other processes.
    pub link: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// True if it votes and counts toward commits; false for a learner.
    pub voter: bool,
    /// The member that a learner replaces once it has caught up.
    pub replaces: Option<ReplicaId>,
}

/// The members of a group, sorted by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replicas {
    members: Vec<Member>,
}

impl Replicas {
    /// Creates a group; of several members with one identity the first is kept.
    pub fn new(mut members: Vec<Member>) -> Replicas {
        members.sort_by_key(|m| m.id);
        members.dedup_by_key(|m| m.id);
        Replicas { members }
    }

    /// Returns all members, sorted by identity.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member `id`.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        let i = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&self.members[i])
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members.iter().filter(|m| m.voter).map(|m| m.id)
    }

    /// Returns true if `id` is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.voter)
    }

    /// Returns the number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns true before the group is bootstrapped.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
