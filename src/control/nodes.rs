//! What the leader knows about the nodes, and the registry changes that follow from it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::fleet::{Member, Registry, RegistryChange};
use crate::ids::NodeId;
use crate::time::Time;
use crate::units::Position;

/// Least time between two changes of the registry, so that a fleet that starts costs few entries.
pub const CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// A node must have asked within this time to be registered.
const PRESENT: Duration = Duration::from_secs(2);

/// A registered node that is silent for this time is removed.
const SILENCE: Duration = Duration::from_secs(120);

/// How long evidence lets a node honour keys; the predecessor of a node on the same address counts
/// as holding everything after that, since it can vouch for nobody.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(3);

/// One node that has asked this replica.
#[derive(Clone, Debug)]
struct Contact {
    member: Member,
    position: Position,
    first: Time,
    last: Time,
}

/// All nodes that have asked this replica.
#[derive(Debug, Default)]
pub struct Nodes {
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

    /// Notes a question of a node; returns true if the node is new or its position has grown.
    pub fn touch(&self, now: Time, member: &Member, position: Position) -> bool {
        let mut contacts = self.contacts();
        match contacts.binary_search_by_key(&member.id, |c| c.member.id) {
            Ok(i) => {
                let contact = &mut contacts[i];
                contact.last = now;
                let grown = position > contact.position;
                contact.position = contact.position.max(position);
                grown
            }
            Err(i) => {
                let contact = Contact {
                    member: member.clone(),
                    position,
                    first: now,
                    last: now,
                };
                contacts.insert(i, contact);
                true
            }
        }
    }

    /// Returns the position of a node and the time since its last question.
    pub fn contact(&self, now: Time, id: NodeId) -> Option<(Position, Duration)> {
        let contacts = self.contacts();
        let i = contacts.binary_search_by_key(&id, |c| c.member.id).ok()?;
        Some((contacts[i].position, now.since(contacts[i].last)))
    }

    /// Returns true if a majority of `registry` holds `position`.
    pub fn majority_holds(&self, now: Time, registry: &Registry, position: Position) -> bool {
        let contacts = self.contacts();
        let holds = |m: &&Member| contacts.holds(now, m, position);
        registry.members().iter().filter(holds).count() >= registry.majority()
    }

    /// Returns the registered nodes that don't hold `position`.
    pub fn missing(&self, registry: &Registry, position: Position) -> Vec<NodeId> {
        let contacts = self.contacts();
        let lacks = |m: &&Member| contacts.find(m.id).is_none_or(|c| c.position < position);
        let members = registry.members().iter().filter(lacks);
        members.map(|m| m.id).collect()
    }

    /// Returns the due change of the registry, if any; `since` is when this replica began to lead.
    pub fn due_change(&self, now: Time, since: Time, registry: &Registry) -> RegistryChange {
        let mut contacts = self.contacts();
        contacts.retain(|c| now.since(c.last) < SILENCE);
        let mut change = RegistryChange::default();
        for contact in contacts.iter() {
            let present = now.since(contact.last) < PRESENT;
            let known = registry.get(contact.member.id).is_some();
            if present && !known && !contacts.is_replaced(&contact.member) {
                change.added.push(contact.member.clone());
            }
        }
        for member in registry.members() {
            let last = contacts
                .find(member.id)
                .map_or(since, |c| c.last.max(since));
            if now.since(last) >= SILENCE || contacts.is_replaced(member) {
                change.removed.push(member.id);
            }
        }
        change
    }
}

/// Questions about a sorted list of contacts.
trait Contacts {
    fn find(&self, id: NodeId) -> Option<&Contact>;
    fn successor(&self, member: &Member) -> Option<&Contact>;
    fn is_replaced(&self, member: &Member) -> bool;
    fn holds(&self, now: Time, member: &Member, position: Position) -> bool;
}

impl Contacts for Vec<Contact> {
    fn find(&self, id: NodeId) -> Option<&Contact> {
        let i = self.binary_search_by_key(&id, |c| c.member.id).ok()?;
        Some(&self[i])
    }

    /// Returns a node that appeared on the member's address after the member's last question.
    fn successor(&self, member: &Member) -> Option<&Contact> {
        let last = self.find(member.id).map_or(Time::ZERO, |c| c.last);
        let later = |c: &&Contact| {
            c.member.addr == member.addr && c.member.id != member.id && c.first > last
        };
        self.iter().find(later)
    }

    fn is_replaced(&self, member: &Member) -> bool {
        self.successor(member).is_some()
    }

    fn holds(&self, now: Time, member: &Member, position: Position) -> bool {
        let present = self.find(member.id).is_some_and(|c| c.position >= position);
        let dead = self
            .successor(member)
            .is_some_and(|c| now.since(c.first) >= EVIDENCE_LIFETIME);
        present || dead
    }
}
