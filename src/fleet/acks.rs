//! When an entry counts as accepted.

use std::collections::BTreeMap;

use super::registry::RegistryLog;
use crate::freshness::PROOF_LIFETIME_MAX;
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;

/// Who holds what, as the control leader knows it, and what follows for acceptance.
///
/// A committed entry is accepted once a majority of the registry before it holds it, and for a
/// registry change a majority of the new registry too; entries are accepted in order. A node at an
/// earlier position can then find no majority of *its* registry that held nothing newer.
///
/// A process that is proved dead counts as holding everything once evidence from it is gone, or a
/// fleet whose processes all restarted could accept nothing more.
#[derive(Clone, Debug, Default)]
pub struct AckTracker {
    accepted: Position,
    held: BTreeMap<NodeId, Position>,
    dead: BTreeMap<NodeId, Time>,
}

impl AckTracker {
    /// Creates the state of a new leader that knows entries up to `accepted` to be accepted.
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

    /// Takes in that `node` said that it holds every entry up to `position`.
    pub fn ack(&mut self, node: NodeId, position: Position) {
        let held = self.held.entry(node).or_default();
        *held = position.max(*held);
    }

    /// Takes in that `node` is proved dead, as by [`MembershipTable::sight`](super::MembershipTable::sight).
    pub fn mark_dead(&mut self, now: Time, node: NodeId) {
        self.dead.entry(node).or_insert(now);
    }

    /// Returns true if `node` holds the entry at `position` or can vouch for nothing older.
    fn holds(&self, now: Time, node: NodeId, position: Position) -> bool {
        let is_gone = |since: &Time| now.since(*since) >= PROOF_LIFETIME_MAX;
        self.held.get(&node).is_some_and(|p| *p >= position)
            || self.dead.get(&node).is_some_and(is_gone)
    }

    /// Accepts what can be accepted of the entries up to `committed` and returns the last.
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

    /// Drops what is known of nodes that no registry since the last accepted entry names.
    pub fn prune(&mut self, log: &mut RegistryLog) {
        log.prune_before(self.accepted);
        let is_named = |id: &NodeId| log.versions().any(|r| r.get(*id).is_some());
        self.held.retain(|id, _| is_named(id));
        self.dead.retain(|id, _| is_named(id));
    }
}
