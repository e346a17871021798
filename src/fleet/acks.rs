//! Tracking of the acknowledgements that make a committed entry accepted.

use std::collections::BTreeMap;

use super::registry::RegistryLog;
use crate::freshness::PROOF_LIFETIME_MAX;
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
/// further entry.
#[derive(Clone, Debug, Default)]
pub struct AckTracker {
    accepted: Position,
    acked: BTreeMap<NodeId, Position>,
    dead: BTreeMap<NodeId, Time>,
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
        self.dead.entry(node).or_insert(now);
    }

    /// Returns true if `node` holds the entry at `position`, or if it is dead and every freshness
    /// proof based on its statements has expired.
    fn holds(&self, now: Time, node: NodeId, position: Position) -> bool {
        let has_expired = |since: &Time| now.since(*since) >= PROOF_LIFETIME_MAX;
        self.acked.get(&node).is_some_and(|p| *p >= position)
            || self.dead.get(&node).is_some_and(has_expired)
    }

    /// Accepts entries up to `committed` as far as possible and returns the last accepted position.
    pub fn advance(&mut self, now: Time, log: &RegistryLog, committed: Position) -> Position {
        while self.accepted < committed {
            let next = self.accepted.next();
            let holds = |node| self.holds(now, node, next);
            if !log.before(next).is_majority(holds) || !log.at(next).is_majority(holds) {
                break;
            }
            self.accepted = next;
        }
        self.accepted
    }

    /// Drops the state of nodes that are in no registry since the last accepted entry.
    pub fn prune(&mut self, log: &mut RegistryLog) {
        log.prune_before(self.accepted);
        let is_registered = |id: &NodeId| log.versions().any(|r| r.get(*id).is_some());
        self.acked.retain(|id, _| is_registered(id));
        self.dead.retain(|id, _| is_registered(id));
    }
}
