//! What a replica knows about the nodes, and what follows from it for the leader.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::control::state::State;
use crate::fleet::{Heartbeat, Member, MembershipTable, ProbeAck, Registry, RegistryChange};
use crate::freshness::PROOF_LIFETIME_MAX;
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;
use crate::wire::sync::Request;

/// Time between two visits of the leader to a node; questions of the node show in between that it is
/// there.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two visits to a node that asks but is not registered, so that one which was removed as
/// silent is soon back.
const NEW_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at the last questions of nodes; a node that leaves is there for 2 s or so.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// How long a contact is kept after the last question.
const CONTACT_RETENTION: Duration = Duration::from_secs(120);

/// One node that has asked this replica.
#[derive(Clone, Debug)]
struct Contact {
    member: Member,
    position: Position,
    last_request: Time,
    probed: Option<Time>,
    leaving: bool,
}

/// All nodes that have asked this replica.
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

    /// Notes a question of a node; returns true if the node is new, its position has grown or it now
    /// leaves.
    pub fn record_request(&self, now: Time, request: &Request) -> bool {
        let mut contacts = self.contacts();
        match contacts.binary_search_by_key(&request.node.id, |c| c.member.id) {
            Ok(i) => {
                let contact = &mut contacts[i];
                contact.last_request = now;
                let news =
                    request.position > contact.position || request.leaving && !contact.leaving;
                contact.position = contact.position.max(request.position);
                contact.leaving |= request.leaving;
                news
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

    /// Returns when each node asked its last question, and whether it leaves.
    pub fn last_requests(&self) -> Vec<Heartbeat> {
        let contacts = self.contacts();
        let hearing = |c: &Contact| Heartbeat {
            received: c.last_request,
            id: c.member.id,
            addr: c.member.addr,
            leaving: c.leaving,
        };
        contacts.iter().map(hearing).collect()
    }

    /// Returns the position of a node and the time since its last question.
    pub fn contact(&self, now: Time, id: NodeId) -> Option<(Position, Duration)> {
        let contacts = self.contacts();
        let i = contacts.binary_search_by_key(&id, |c| c.member.id).ok()?;
        Some((contacts[i].position, now.since(contacts[i].last_request)))
    }

    /// Returns what the node `id` said of itself.
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

    /// Returns the nodes that the leader should visit now; they count as probed.
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

    /// Makes every node due for a visit, for a new leader.
    pub fn reset_probes(&self) {
        for contact in self.contacts().iter_mut() {
            contact.probed = None;
        }
    }
}

/// Who runs on each address, as a leader knows it in its term.
#[derive(Debug, Default)]
pub struct MembershipTracker {
    roll: MembershipTable,
    /// Processes that are proved dead, and since when that is known.
    dead: BTreeMap<NodeId, Time>,
    /// The position of the last registry that was taken in.
    applied: Position,
    /// The position of the last change that this leader proposed.
    proposed: Position,
    /// When the last questions of nodes were taken in.
    refreshed: Option<Time>,
}

impl MembershipTracker {
    /// Takes in the registries that came into force since the last call, oldest first.
    pub fn apply_registries(&mut self, now: Time, state: &State) {
        for (position, registry) in state.registries() {
            if position > self.applied {
                self.applied = position;
                let dead = self.roll.apply_registry(now, registry);
                self.mark_dead(now, dead);
            }
        }
    }

    /// Takes in that a node answered a visit.
    pub fn record_probe(&mut self, now: Time, sighting: ProbeAck) {
        let dead = self.roll.record_probe(now, sighting);
        self.mark_dead(now, dead);
    }

    fn mark_dead(&mut self, now: Time, dead: impl IntoIterator<Item = NodeId>) {
        for id in dead {
            self.dead.entry(id).or_insert(now);
        }
    }

    /// Returns the due change of the registry; `position` is that of the applied state.
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
            for hearing in nodes.last_requests() {
                self.roll.record_heartbeat(&hearing);
            }
        }
        self.roll.propose(now, registry)
    }

    /// Notes the position of a change that [`MembershipTracker::due_change`] returned.
    pub fn proposed(&mut self, position: Position) {
        self.proposed = position;
    }

    /// Returns the last position that can be accepted.
    ///
    /// A process that is proved dead counts as holding everything once no evidence from it is left.
    pub fn acceptable(&self, now: Time, nodes: &Nodes, state: &State) -> Option<Position> {
        let is_gone = |since: &Time| now.since(*since) >= PROOF_LIFETIME_MAX;
        state.acceptable(|registry, position| {
            let missing = nodes.missing(registry, position);
            registry.is_majority(|id| {
                missing.binary_search(&id).is_err() || self.dead.get(&id).is_some_and(is_gone)
            })
        })
    }
}
