//! When the freshness proofs that exclude an entry have expired, as known to the control leader.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::freshness::{PROOF_LIFETIME, PROOF_LIFETIME_MAX, with_drift};
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;

/// Times, on the leader's clock, from which freshness proofs can no longer be renewed.
///
/// A proof that no entry at a position was accepted rests on statements of nodes or of the control
/// group. Nodes that have ended or are leaving make no more statements, and the control group makes
/// none about earlier positions once the entry is committed.
#[derive(Clone, Debug, Default)]
pub struct ProofExpiry {
    /// Since when a node makes no statements.
    ended: BTreeMap<NodeId, Time>,
    /// Positions with the times at which the leader knew them to be committed, oldest first.
    committed: VecDeque<(Position, Time)>,
}

impl ProofExpiry {
    /// Records that `node` makes no statements from now on.
    pub fn record_end(&mut self, now: Time, node: NodeId) {
        self.ended.entry(node).or_insert(now);
    }

    /// Records that the entries up to `position` are committed.
    pub fn record_commit(&mut self, now: Time, position: Position) {
        if self.committed.back().is_none_or(|(p, _)| *p < position) {
            self.committed.push_back((position, now));
        }
    }

    /// Returns true if `node` has ended or is leaving.
    pub fn has_ended(&self, node: NodeId) -> bool {
        self.ended.contains_key(&node)
    }

    /// Returns true if every freshness proof that is based on a statement of `node` has expired.
    pub fn is_node_over(&self, now: Time, node: NodeId) -> bool {
        let since = self.ended.get(&node);
        since.is_some_and(|since| now.since(*since) >= PROOF_LIFETIME_MAX)
    }

    /// Returns true if every node that lacks the entry at `position` has been without a statement
    /// of the control group for `offline`, and thus has no valid proof.
    pub fn is_offline_over(
        &self,
        now: Time,
        position: Position,
        offline: Option<Duration>,
    ) -> bool {
        let Some(limit) = offline else {
            return false;
        };
        let limit = with_drift(limit.max(PROOF_LIFETIME));
        let found = self.committed.iter().find(|(p, _)| *p >= position);
        found.is_some_and(|(_, since)| now.since(*since) >= limit)
    }

    /// Drops the commit times of accepted positions.
    pub fn prune(&mut self, accepted: Position) {
        while self.committed.front().is_some_and(|(p, _)| *p <= accepted) {
            self.committed.pop_front();
        }
    }

    /// Drops the nodes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.ended.retain(|id, _| keep(*id));
    }
}
