//! The registered nodes and the log entries that change them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::error::{Error, Result};
use crate::ids::{NodeId, ZoneName};
use crate::units::Position;

/// Largest number of registered nodes; the planned size is 560.
pub const MEMBERS_MAX: usize = 1_024;

/// A registered node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The identity of the node process.
    pub id: NodeId,
    /// The address on which it accepts links.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The registered nodes at one position of the log, sorted by id, with at most one per address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Registry {
    members: Vec<Member>,
    /// Members that may not be lease voters, sorted.
    demoted: Vec<NodeId>,
    /// Members that are leaving and confirm nobody's configuration any more, sorted.
    leaving: Vec<NodeId>,
    /// Time for which nodes confirm one another's configuration after the last contact with the
    /// control group; `None` if it is unlimited.
    offline: Option<Duration>,
}

/// A change of the registry in one log entry; all lists are sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// Nodes to register.
    pub joined: Vec<Member>,
    /// Nodes to remove.
    pub left: Vec<NodeId>,
    /// Members that are no lease voters from now on, since they are leaving or unreachable.
    pub demoted: Vec<NodeId>,
    /// Demoted members that may be lease voters again.
    pub reinstated: Vec<NodeId>,
    /// Members that are leaving and confirm nobody's configuration any more.
    pub leaving: Vec<NodeId>,
    /// The new limit for [`Registry::offline`], if it changes.
    pub offline: Option<Duration>,
}

impl RegistryChange {
    /// Returns true if the change is empty.
    pub fn is_empty(&self) -> bool {
        let ids = [&self.left, &self.demoted, &self.reinstated, &self.leaving];
        self.joined.is_empty() && self.offline.is_none() && ids.iter().all(|ids| ids.is_empty())
    }
}

impl Registry {
    /// Creates the empty registry before the first change.
    pub fn new() -> Self {
        Registry::default()
    }

    /// Returns the members, sorted by id.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the ids of the members, sorted.
    pub fn ids(&self) -> Vec<NodeId> {
        self.members.iter().map(|m| m.id).collect()
    }

    /// Returns the members that may not be lease voters, sorted.
    pub fn demoted(&self) -> &[NodeId] {
        &self.demoted
    }

    /// Returns true if the member `id` may not be a lease voter.
    pub fn is_demoted(&self, id: NodeId) -> bool {
        self.demoted.binary_search(&id).is_ok()
    }

    /// Returns the members that are leaving and confirm nobody's configuration any more, sorted.
    pub fn leaving(&self) -> &[NodeId] {
        &self.leaving
    }

    /// Returns the time for which nodes confirm one another's configuration after the last contact
    /// with the control group; `None` if it is unlimited.
    pub fn offline(&self) -> Option<Duration> {
        self.offline
    }

    /// Returns the member with `id`.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        let i = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&self.members[i])
    }

    /// Returns the member on `addr`.
    pub fn by_addr(&self, addr: SocketAddr) -> Option<&Member> {
        self.members.iter().find(|m| m.addr == addr)
    }

    /// Returns true if more than half of the members satisfy `test`, or if there are none.
    pub fn is_majority(&self, test: impl Fn(NodeId) -> bool) -> bool {
        let count = self.members.iter().filter(|m| test(m.id)).count();
        self.members.is_empty() || count > self.members.len() / 2
    }

    /// Returns the registry after `change`.
    ///
    /// # Errors
    ///
    /// [`Category::Invalid`](crate::error::Category::Invalid) if a removed node is not registered,
    /// a new one is registered already, an address has two nodes, or there are too many nodes.
    pub fn with_change(&self, change: &RegistryChange) -> Result<Registry> {
        let mut members = self.members.clone();
        for id in &change.left {
            let i = members.binary_search_by_key(id, |m| m.id);
            let i = i.map_err(|_| Error::invalid(format!("node {id} is not registered")))?;
            members.remove(i);
        }
        for member in &change.joined {
            match members.binary_search_by_key(&member.id, |m| m.id) {
                Err(i) => members.insert(i, member.clone()),
                Ok(_) => {
                    let message = format!("node {} is registered already", member.id);
                    return Err(Error::invalid(message));
                }
            }
        }
        let mut addrs: Vec<_> = members.iter().map(|m| m.addr).collect();
        addrs.sort();
        if let Some(pair) = addrs.windows(2).find(|p| p[0] == p[1]) {
            return Err(Error::invalid(format!(
                "two nodes have the address {}",
                pair[0]
            )));
        }
        if members.len() > MEMBERS_MAX {
            return Err(Error::invalid(format!("more than {MEMBERS_MAX} nodes")));
        }
        let mut demoted = merged(&members, &self.demoted, &change.demoted);
        demoted.retain(|id| !change.reinstated.contains(id));
        Ok(Registry {
            leaving: merged(&members, &self.leaving, &change.leaving),
            offline: change.offline.or(self.offline),
            members,
            demoted,
        })
    }
}

/// Returns the members that are in one of the two lists, sorted.
fn merged(members: &[Member], a: &[NodeId], b: &[NodeId]) -> Vec<NodeId> {
    let mut ids: Vec<NodeId> = a.iter().chain(b).copied().collect();
    ids.sort();
    ids.dedup();
    ids.retain(|id| members.binary_search_by_key(id, |m| m.id).is_ok());
    ids
}

/// The versions of the registry since the last accepted entry.
#[derive(Clone, Debug, Default)]
pub struct RegistryLog {
    /// Each version applies from its position until that of the next one.
    versions: Vec<(Position, Registry)>,
}

impl RegistryLog {
    /// Creates a log that starts with `registry`, which the entry at `position` put in force.
    pub fn new(position: Position, registry: Registry) -> Self {
        RegistryLog {
            versions: vec![(position, registry)],
        }
    }

    /// Returns the registry after the entry at `position`.
    pub fn at(&self, position: Position) -> &Registry {
        static EMPTY: Registry = Registry {
            members: Vec::new(),
            demoted: Vec::new(),
            leaving: Vec::new(),
            offline: None,
        };
        let after = self.versions.partition_point(|(p, _)| *p <= position);
        after.checked_sub(1).map_or(&EMPTY, |i| &self.versions[i].1)
    }

    /// Returns the registry before the entry at `position`.
    pub fn before(&self, position: Position) -> &Registry {
        self.at(Position(position.0.saturating_sub(1)))
    }

    /// Lists the versions, oldest first.
    pub fn versions(&self) -> impl Iterator<Item = &Registry> {
        self.versions.iter().map(|(_, registry)| registry)
    }

    /// Returns the latest registry.
    pub fn latest(&self) -> &Registry {
        self.at(Position(u64::MAX))
    }

    /// Returns the position of the latest change.
    pub fn changed_at(&self) -> Position {
        self.versions.last().map_or(Position(0), |(p, _)| *p)
    }

    /// Applies the change at `position`.
    ///
    /// # Errors
    ///
    /// As for [`Registry::with_change`], and if a change at this position or later was applied.
    pub fn apply(&mut self, position: Position, change: &RegistryChange) -> Result<()> {
        if !self.versions.is_empty() && position <= self.changed_at() {
            return Err(Error::invalid(format!(
                "the change at position {position} is out of order"
            )));
        }
        let next = self.latest().with_change(change)?;
        self.versions.push((position, next));
        Ok(())
    }

    /// Drops the versions that no entry after `accepted` depends on.
    pub fn prune_before(&mut self, accepted: Position) {
        let after = self.versions.partition_point(|(p, _)| *p <= accepted);
        self.versions.drain(..after.saturating_sub(1));
    }
}
