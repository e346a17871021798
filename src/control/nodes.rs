//! The nodes that contacted a replica, and the registry changes that the leader derives from them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::control::state::State;
use crate::fleet::{
    Heartbeat, Member, MembershipTable, ProbeAck, ProofExpiry, Registry, RegistryChange,
};
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;
use crate::wire::sync::Request;

/// Time between two probes of a node by the leader; in between, the node's sync requests serve as
/// heartbeats.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two probes of a node that sends requests but isn't registered, so that a node that
/// was removed after a time without contact is soon registered again.
const NEW_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two passes over the nodes' heartbeats; a node that leaves runs for only about 2 s
/// more.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// How long a contact is kept after its last request.
const CONTACT_RETENTION: Duration = Duration::from_secs(120);

/// A node that has sent requests to this replica.
#[derive(Clone, Debug)]
struct Contact {
    member: Member,
    position: Position,
    last_request: Time,
    probed: Option<Time>,
    leaving: bool,
}

/// All nodes that have sent requests to this replica.
#[derive(Debug, Default)]
pub struct Nodes {
    /// Sorted by identity.
    contacts: Mutex<Vec<Contact>>,
}

impl Nodes {
    /// Creates an empty list.
    pub fn new() -> Nodes {
        Nodes::default()
    }

    fn contacts(&self) -> MutexGuard<'_, Vec<Contact>> {
        self.contacts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request of a node; returns true if the node is new, its position has advanced or it
    /// has started to leave.
    pub fn record_request(&self, now: Time, request: &Request) -> bool {
        let mut contacts = self.contacts();
        match contacts.binary_search_by_key(&request.node.id, |c| c.member.id) {
            Ok(i) => {
                let contact = &mut contacts[i];
                contact.last_request = now;
                let advanced =
                    request.position > contact.position || request.leaving && !contact.leaving;
                contact.position = contact.position.max(request.position);
                contact.leaving |= request.leaving;
                advanced
            }
            Err(i) => {
                let contact = Contact {
                    member: request.node.clone(),
                    position: request.position,
                    last_request: now,
                    probed: None,
                    leaving: request.leaving,
                };
                contacts.insert(i, contact);
                true
            }
        }
    }

    /// Returns the last request of each node as a heartbeat.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        let contacts = self.contacts();
        let heartbeat = |c: &Contact| Heartbeat {
            received: c.last_request,
            id: c.member.id,
            addr: c.member.addr,
            leaving: c.leaving,
        };
        contacts.iter().map(heartbeat).collect()
    }

    /// Returns the position of a node and the time since its last request.
    pub fn contact(&self, now: Time, id: NodeId) -> Option<(Position, Duration)> {
        let contacts = self.contacts();
        let i = contacts.binary_search_by_key(&id, |c| c.member.id).ok()?;
        Some((contacts[i].position, now.since(contacts[i].last_request)))
    }

    /// Returns the member data that the node `id` announced.
    pub fn member(&self, id: NodeId) -> Option<Member> {
        let contacts = self.contacts();
        let i = contacts.binary_search_by_key(&id, |c| c.member.id).ok()?;
        Some(contacts[i].member.clone())
    }

    /// Returns the registered nodes that don't hold `position`, sorted.
    pub fn missing(&self, registry: &Registry, position: Position) -> Vec<NodeId> {
        let contacts = self.contacts();
        let holds = |id| {
            let found = contacts.binary_search_by_key(&id, |c| c.member.id);
            found.is_ok_and(|i| contacts[i].position >= position)
        };
        let ids = registry.members().iter().map(|m| m.id);
        ids.filter(|id| !holds(*id)).collect()
    }

    /// Returns the nodes that the leader should probe now, and marks them as probed.
    pub fn due_probes(&self, now: Time, registry: &Registry) -> Vec<Member> {
        let mut contacts = self.contacts();
        contacts.retain(|c| now.since(c.last_request) < CONTACT_RETENTION);
        let interval = |id| match registry.get(id) {
            Some(_) => PROBE_INTERVAL,
            None => NEW_PROBE_INTERVAL,
        };
        let is_due = |c: &&mut Contact| {
            let next = c.probed.map(|t| t + interval(c.member.id));
            next.is_none_or(|t| now >= t)
        };
        let due = contacts.iter_mut().filter(is_due);
        let probed = due.map(|c| {
            c.probed = Some(now);
            c.member.clone()
        });
        probed.collect()
    }

    /// Makes every node due for a probe, for a new leader.
    pub fn reset_probes(&self) {
        for contact in self.contacts().iter_mut() {
            contact.probed = None;
        }
    }
}

/// The leader's view of fleet membership during its term.
#[derive(Debug)]
pub struct MembershipTracker {
    table: MembershipTable,
    /// When the proofs of nodes that are dead, leaving or out of contact have expired.
    expiry: ProofExpiry,
    /// The limit on the time offline that the registry should have.
    offline: Duration,
    /// The position of the last registry that was applied.
    applied: Position,
    /// The position of the last change that this leader proposed.
    proposed: Position,
    /// When the nodes' heartbeats were last recorded.
    refreshed: Option<Time>,
}

impl MembershipTracker {
    /// Creates the view of a new leader; `offline` is the limit that the registry should have.
    pub fn new(offline: Duration) -> MembershipTracker {
        MembershipTracker {
            table: MembershipTable::default(),
            expiry: ProofExpiry::default(),
            offline,
            applied: Position(0),
            proposed: Position(0),
            refreshed: None,
        }
    }

    /// Applies the registries that came into force since the last call, oldest first.
    pub fn apply_registries(&mut self, now: Time, state: &State) {
        for (position, registry) in state.registries() {
            if position > self.applied {
                self.applied = position;
                let dead = self.table.apply_registry(now, registry);
                self.record_ends(now, dead);
                self.record_ends(now, registry.leaving().iter().copied());
            }
        }
        self.expiry.record_commit(now, state.position());
        self.expiry.prune(state.accepted());
    }

    /// Records that a node responded to a probe.
    pub fn record_probe(&mut self, now: Time, ack: ProbeAck) {
        let dead = self.table.record_probe(now, ack);
        self.record_ends(now, dead);
    }

    fn record_ends(&mut self, now: Time, nodes: impl IntoIterator<Item = NodeId>) {
        for id in nodes {
            self.expiry.record_end(now, id);
        }
    }

    /// Returns the next registry change if one is due; `position` is that of the applied state.
    pub fn due_change(
        &mut self,
        now: Time,
        position: Position,
        registry: &Registry,
        nodes: &Nodes,
    ) -> Option<RegistryChange> {
        if position < self.proposed {
            return None;
        }
        if self
            .refreshed
            .is_none_or(|last| now.since(last) >= REFRESH_INTERVAL)
        {
            self.refreshed = Some(now);
            for heartbeat in nodes.heartbeats() {
                self.table.record_heartbeat(&heartbeat);
            }
        }
        let change = self.table.propose(now, registry);
        let offline = (registry.offline() != Some(self.offline)).then_some(self.offline);
        let is_formed = !registry.members().is_empty();
        match change {
            Some(change) => Some(RegistryChange { offline, ..change }),
            None if is_formed && offline.is_some() => Some(RegistryChange {
                offline,
                ..RegistryChange::default()
            }),
            None => None,
        }
    }

    /// Returns how many of the nodes are proved dead or were leaving.
    pub fn count_ended(&self, nodes: &[NodeId]) -> usize {
        let ended = nodes.iter().filter(|id| self.expiry.has_ended(**id));
        ended.count()
    }

    /// Records the position of a change that [`MembershipTracker::due_change`] returned.
    pub fn record_proposed(&mut self, position: Position) {
        self.proposed = position;
    }

    /// Returns the last position that can be accepted.
    ///
    /// A process that is proved dead or leaving counts as holding every position once all freshness
    /// proofs from it have expired. No majority is needed once the nodes' time offline is over.
    pub fn acceptable(&self, now: Time, nodes: &Nodes, state: &State) -> Option<Position> {
        state.acceptable(|registry, position| {
            let missing = nodes.missing(registry, position);
            let holds = |id: NodeId| {
                missing.binary_search(&id).is_err() || self.expiry.is_node_over(now, id)
            };
            let offline = registry.offline();
            registry.is_majority(holds) || self.expiry.is_offline_over(now, position, offline)
        })
    }
}
