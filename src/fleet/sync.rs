//! What a node and a control replica say to each other.

use std::sync::Arc;

use bytes::Bytes;

use super::gossip::{Question, Relayed};
use super::table::Published;
use crate::freshness::Heard;
use crate::ids::ReplicaId;
use crate::replica::Vouch;
use crate::units::Position;

/// A node's question to a control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncAsk {
    /// The question.
    pub question: Question,
    /// The last entry that the node holds.
    pub position: Position,
    /// The node's own record.
    pub published: Option<Arc<Published>>,
}

/// The replica's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncAnswer {
    /// The question.
    pub question: Question,
    /// Who answers.
    pub replica: ReplicaId,
    /// The last committed entry of the replica.
    pub position: Position,
    /// What the replica can say about newer entries.
    pub vouch: Vouch,
    /// Committed entries that the node misses.
    pub entries: Vec<Relayed>,
    /// A snapshot in place of entries that the replica no longer holds.
    pub snapshot: Option<Bytes>,
}

impl SyncAnswer {
    /// Returns what the answer says as evidence, once its entries are applied.
    pub fn heard(&self) -> Heard {
        Heard {
            sent: self.question.sent,
            replica: self.replica,
            position: self.position,
            vouch: self.vouch,
        }
    }
}
