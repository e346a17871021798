//! Encoding of node registries and their changes in log entries and snapshots.

use std::time::Duration;

use prost::Message;

use crate::error::{Error, Result};
use crate::fleet::{Member, Registry, RegistryChange};
use crate::ids::NodeId;

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
    joined: Vec<MemberRecord>,
    #[prost(fixed64, repeated, tag = "2")]
    left: Vec<u64>,
    #[prost(fixed64, repeated, tag = "3")]
    relieved: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    reinstated: Vec<u64>,
    #[prost(fixed64, repeated, tag = "5")]
    leaving: Vec<u64>,
    #[prost(uint64, optional, tag = "6")]
    offline_ms: Option<u64>,
}

fn numbers(ids: &[NodeId]) -> Vec<u64> {
    ids.iter().map(|id| id.0).collect()
}

/// Encodes a change.
pub fn encode_change(change: &RegistryChange) -> Vec<u8> {
    let joined = change.joined.iter().map(|m| MemberRecord {
        id: m.id.0,
        addr: m.addr.to_string(),
        zone: m.zone.to_string(),
    });
    let record = ChangeRecord {
        joined: joined.collect(),
        left: numbers(&change.left),
        relieved: numbers(&change.demoted),
        reinstated: numbers(&change.reinstated),
        leaving: numbers(&change.leaving),
        offline_ms: change.offline.map(|t| t.as_millis() as u64),
    };
    record.encode_to_vec()
}

/// Decodes a change.
///
/// # Errors
///
/// [`Category::Corrupt`](crate::error::Category::Corrupt) for malformed bytes.
pub fn decode_change(bytes: &[u8]) -> Result<RegistryChange> {
    let malformed = || Error::corrupt("malformed change of the node registry");
    let record = ChangeRecord::decode(bytes).map_err(|_| malformed())?;
    let mut joined = Vec::with_capacity(record.joined.len());
    for m in record.joined {
        joined.push(Member {
            id: NodeId(m.id),
            addr: m.addr.parse().map_err(|_| malformed())?,
            zone: m.zone.parse().map_err(|_| malformed())?,
        });
    }
    let ids = |numbers: Vec<u64>| numbers.into_iter().map(NodeId).collect();
    Ok(RegistryChange {
        joined,
        left: ids(record.left),
        demoted: ids(record.relieved),
        reinstated: ids(record.reinstated),
        leaving: ids(record.leaving),
        offline: record.offline_ms.map(Duration::from_millis),
    })
}

/// Encodes a registry.
pub fn encode_registry(registry: &Registry) -> Vec<u8> {
    encode_change(&RegistryChange {
        joined: registry.members().to_vec(),
        demoted: registry.demoted().to_vec(),
        leaving: registry.leaving().to_vec(),
        offline: registry.offline(),
        ..RegistryChange::default()
    })
}

/// Decodes a registry.
///
/// # Errors
///
/// As [`decode_change`], and if the members are inconsistent.
pub fn decode_registry(bytes: &[u8]) -> Result<Registry> {
    Registry::new().with_change(&decode_change(bytes)?)
}
