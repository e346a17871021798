//! The registered nodes.

use std::net::SocketAddr;

use prost::Message;

use crate::error::{Error, Result};
use crate::ids::{NodeId, ZoneName};

/// One registered node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The identity of this run of the node.
    pub id: NodeId,
    /// The link address.
    pub addr: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
}

/// The registered nodes, sorted by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Registry {
    members: Vec<Member>,
}

/// A change of the registry, as the replicated log holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// Nodes that are registered.
    pub added: Vec<Member>,
    /// Nodes that are no longer registered.
    pub removed: Vec<NodeId>,
}

impl Registry {
    /// Creates a registry; of several members with one identity the first is kept.
    pub fn new(mut members: Vec<Member>) -> Registry {
        members.sort_by_key(|m| m.id);
        members.dedup_by_key(|m| m.id);
        Registry { members }
    }

    /// Returns the members, sorted by identity.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member `id`.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        let i = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&self.members[i])
    }

    /// Returns how many members are a majority; zero if there are none.
    pub fn majority(&self) -> usize {
        match self.members.len() {
            0 => 0,
            n => n / 2 + 1,
        }
    }

    /// Returns the registry after a change.
    pub fn changed(&self, change: &RegistryChange) -> Registry {
        let mut members = self.members.clone();
        members.retain(|m| !change.removed.contains(&m.id));
        members.extend(change.added.iter().cloned());
        Registry::new(members)
    }
}

#[derive(Clone, PartialEq, Message)]
struct MemberRecord {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    addr: String,
    #[prost(string, tag = "3")]
    zone: String,
}

#[derive(Clone, PartialEq, Message)]
struct ChangeRecord {
    #[prost(message, repeated, tag = "1")]
    added: Vec<MemberRecord>,
    #[prost(fixed64, repeated, tag = "2")]
    removed: Vec<u64>,
}

impl RegistryChange {
    /// Returns the change that registers all members of `registry`.
    pub fn all(registry: &Registry) -> RegistryChange {
        RegistryChange {
            added: registry.members.clone(),
            removed: Vec::new(),
        }
    }

    /// Encodes the change.
    pub fn encode(&self) -> Vec<u8> {
        let added = self.added.iter().map(|m| MemberRecord {
            id: m.id.0,
            addr: m.addr.to_string(),
            zone: m.zone.to_string(),
        });
        let record = ChangeRecord {
            added: added.collect(),
            removed: self.removed.iter().map(|id| id.0).collect(),
        };
        record.encode_to_vec()
    }

    /// Decodes a change.
    ///
    /// # Errors
    ///
    /// [`Category::Corrupt`](crate::error::Category::Corrupt) for malformed bytes.
    pub fn decode(bytes: &[u8]) -> Result<RegistryChange> {
        let bad = || Error::corrupt("malformed change of the node registry");
        let record = ChangeRecord::decode(bytes).map_err(|_| bad())?;
        let mut added = Vec::with_capacity(record.added.len());
        for m in record.added {
            added.push(Member {
                id: NodeId(m.id),
                addr: m.addr.parse().map_err(|_| bad())?,
                zone: m.zone.parse().map_err(|_| bad())?,
            });
        }
        Ok(RegistryChange {
            added,
            removed: record.removed.into_iter().map(NodeId).collect(),
        })
    }
}
