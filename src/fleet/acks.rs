//! Tracking of the acknowledgements that make a committed entry accepted.

use std::collections::BTreeMap;

use super::proof_expiry::ProofExpiry;
use super::registry::{Registry, RegistryLog};
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;

/// The position that each node has acknowledged, as known to the control leader.
///
/// A committed entry is accepted once a majority of the registry before it holds it, and for a
/// registry change a majority of the new registry too; entries are accepted in order. A node at an
/// earlier position can then find no majority of *its* registry that held nothing newer.
///
/// A process that is proved dead counts as holding every entry once every freshness proof based on
/// its statements has expired. Otherwise a fleet whose processes have all restarted could accept no
/// further entry. So does a leaving one, and a registry with a limit on the time offline needs no
/// majority once that time has passed since the entry was committed.
#[derive(Clone, Debug, Default)]
pub struct AckTracker {
    accepted: Position,
    acked: BTreeMap<NodeId, Position>,
    expiry: ProofExpiry,
}

impl AckTracker {
    /// Creates the state of a new leader for which the entries up to `accepted` are accepted.
    pub fn new(accepted: Position) -> Self {
        AckTracker {
            accepted,
            ..AckTracker::default()
        }
    }

    /// Returns the last accepted position.
    pub fn accepted(&self) -> Position {
        self.accepted
    }

    /// Records that `node` holds every entry up to `position`.
    pub fn ack(&mut self, node: NodeId, position: Position) {
        let acked = self.acked.entry(node).or_default();
        *acked = position.max(*acked);
    }

    /// Records that `node` is proved dead, as by
    /// [`MembershipTable::record_probe`](super::MembershipTable::record_probe).
    pub fn mark_dead(&mut self, now: Time, node: NodeId) {
        self.expiry.record_end(now, node);
    }

    /// Returns true if `node` holds the entry at `position`, or if it is dead and every freshness
    /// proof based on its statements has expired.
    fn holds(&self, now: Time, node: NodeId, position: Position) -> bool {
        self.acked.get(&node).is_some_and(|p| *p >= position) || self.expiry.is_node_over(now, node)
    }

    /// Returns true if no node of `registry` that lacks the entry at `position` can be fresh.
    fn is_safe(&self, now: Time, registry: &Registry, position: Position) -> bool {
        registry.is_majority(|node| self.holds(now, node, position))
            || self
                .expiry
                .is_offline_over(now, position, registry.offline())
    }

    /// Accepts entries up to `committed` as far as possible and returns the last accepted position.
    pub fn advance(&mut self, now: Time, log: &RegistryLog, committed: Position) -> Position {
        self.expiry.record_commit(now, committed);
        let leaving = log.versions().flat_map(|r| r.leaving());
        leaving.for_each(|id| self.expiry.record_end(now, *id));
        while self.accepted < committed {
            let next = self.accepted.next();
            let (before, after) = (log.before(next), log.at(next));
            if !self.is_safe(now, before, next) || !self.is_safe(now, after, next) {
                break;
            }
            self.accepted = next;
        }
        self.expiry.prune(self.accepted);
        self.accepted
    }

    /// Drops the state of nodes that are in no registry since the last accepted entry.
    pub fn prune(&mut self, log: &mut RegistryLog) {
        log.prune_before(self.accepted);
        let is_registered = |id: &NodeId| log.versions().any(|r| r.get(*id).is_some());
        self.acked.retain(|id, _| is_registered(id));
        self.expiry.retain(|id| is_registered(&id));
    }
}
