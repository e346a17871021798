//! The table of node records that one node holds.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::record::NodeRecord;
use super::registry::Registry;
use crate::ids::NodeId;
use crate::time::Time;

/// Time for which requests announce the version of a changed record.
///
/// It exceeds [`SEND_PERIOD`] by more than the time in which a change spreads, so that a peer
/// seldom sends a record that this node already holds.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(2_400);

/// Time for which responses contain a changed record; digests find the records that were missed.
const SEND_PERIOD: Duration = Duration::from_millis(1_200);

/// Time before a requested record is requested again.
const REQUEST_RETRY: Duration = Duration::from_millis(800);

/// Largest number of records in one message.
pub const RECORDS_MAX: usize = 64;

/// Largest number of records in a table.
pub const TABLE_MAX: usize = 2_048;

/// Largest number of tombstones of removed nodes; about 1,300 nodes are removed in a day.
const TOMBSTONES_MAX: usize = 4_096;

/// A node record with the address and the start time of the node's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The address on which the node accepts links.
    pub addr: SocketAddr,
    /// The start time of the process, in milliseconds of its VM's wall clock.
    ///
    /// It decides between two processes on one address only until a registry change does.
    pub started: u64,
    /// The record.
    pub record: NodeRecord,
}

/// The version of a node's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordVersion {
    /// The node whose record it is.
    pub node: NodeId,
    /// The version.
    pub version: u64,
}

fn version_of(ad: &Advertisement) -> RecordVersion {
    RecordVersion {
        node: ad.record.node,
        version: ad.record.version,
    }
}

/// The records of all nodes.
///
/// The record of a node that was removed from the registry is not accepted again unless the node is
/// registered again.
#[derive(Clone, Debug)]
pub struct Records {
    me: NodeId,
    held: BTreeMap<NodeId, Arc<Advertisement>>,
    /// Recently changed records with the time of the change; `None` until the next message sets it.
    recent: BTreeMap<NodeId, Option<Time>>,
    addrs: BTreeMap<SocketAddr, NodeId>,
    registered: BTreeSet<NodeId>,
    tombstones: BTreeSet<NodeId>,
    tombstone_order: VecDeque<NodeId>,
    /// The XOR of the hashes of all nodes with their versions.
    hash: u64,
    /// Records requested from peers, with the time of the request.
    requested: BTreeMap<NodeId, Time>,
}

impl Records {
    /// Creates an empty table of node `me`.
    pub fn new(me: NodeId) -> Self {
        Records {
            me,
            held: BTreeMap::new(),
            recent: BTreeMap::new(),
            addrs: BTreeMap::new(),
            registered: BTreeSet::new(),
            tombstones: BTreeSet::new(),
            tombstone_order: VecDeque::new(),
            hash: 0,
            requested: BTreeMap::new(),
        }
    }

    /// Returns a hash over all nodes and versions; equal tables have equal hashes.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Lists the records, sorted by node.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<Advertisement>> {
        self.held.values()
    }

    /// Returns the record of `node`.
    pub fn get(&self, node: NodeId) -> Option<&Arc<Advertisement>> {
        self.held.get(&node)
    }

    /// Replaces the node's own record; its version must increase.
    pub fn publish(&mut self, ad: Advertisement) {
        self.put(ad);
    }

    /// Merges a record from another node; returns true if the table changes.
    ///
    /// Other nodes can't change the node's own record.
    pub fn merge(&mut self, ad: Advertisement) -> bool {
        let node = ad.record.node;
        if node == self.me || self.tombstones.contains(&node) {
            return false;
        }
        self.put(ad)
    }

    /// Merges a record that a digest showed to be missing; returns true if it is the first one of
    /// its node.
    ///
    /// Such a first record is not announced: the peers had it before this node, and a node that has
    /// just started would announce the whole table to peers that already hold it.
    pub fn merge_missed(&mut self, ad: Advertisement) -> bool {
        let node = ad.record.node;
        let is_known = self.held.contains_key(&node);
        let is_first = self.merge(ad) && !is_known;
        if is_first {
            self.recent.remove(&node);
        }
        is_first
    }

    fn put(&mut self, ad: Advertisement) -> bool {
        let node = ad.record.node;
        if let Some(held) = self.held.get(&node)
            && held.record.version >= ad.record.version
        {
            return false;
        }
        if let Some(other) = self.addrs.get(&ad.addr).copied()
            && other != node
        {
            let order = |a: &Advertisement| (a.started, a.record.node);
            let is_later = |a: &Arc<Advertisement>| order(a) > order(&ad);
            if node != self.me && self.held.get(&other).is_some_and(is_later) {
                return false;
            }
            self.remove(other);
        }
        self.remove(node);
        if self.held.len() >= TABLE_MAX {
            return false;
        }
        self.hash ^= hash(node, ad.record.version);
        self.addrs.insert(ad.addr, node);
        self.recent.insert(node, None);
        self.held.insert(node, Arc::new(ad));
        true
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(held) = self.held.remove(&node) {
            self.hash ^= hash(node, held.record.version);
            self.addrs.remove(&held.addr);
            self.recent.remove(&node);
        }
    }

    /// Applies a new registry and drops the records of nodes that it removed.
    pub fn set_registry(&mut self, registry: &Registry) {
        let next: BTreeSet<NodeId> = registry.members().iter().map(|m| m.id).collect();
        let removed = self.registered.difference(&next);
        let removed: Vec<NodeId> = removed.copied().filter(|n| *n != self.me).collect();
        for node in removed {
            self.remove(node);
            if self.tombstones.insert(node) {
                self.tombstone_order.push_back(node);
            }
        }
        while self.tombstone_order.len() > TOMBSTONES_MAX {
            if let Some(oldest) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&oldest);
            }
        }
        // A node that was unreachable for long is registered again under the same id.
        for node in &next {
            self.tombstones.remove(node);
        }
        self.registered = next;
    }

    /// Returns the versions of recently changed records.
    ///
    /// Each change reaches a node from many peers but the record is needed only once, so records
    /// are sent only to nodes that don't announce them.
    pub fn updates(&mut self, now: Time) -> Vec<RecordVersion> {
        self.expire_recent(now);
        let nodes = self.recent.keys();
        let updates = nodes.filter_map(|node| self.held.get(node));
        updates.map(|ad| version_of(ad)).collect()
    }

    /// Returns recently changed records that a peer didn't announce, at most [`RECORDS_MAX`].
    pub fn updates_for(
        &mut self,
        now: Time,
        announced: &[RecordVersion],
    ) -> Vec<Arc<Advertisement>> {
        self.expire_recent(now);
        let announced: BTreeMap<NodeId, u64> =
            announced.iter().map(|v| (v.node, v.version)).collect();
        let is_fresh = |time: &Option<Time>| time.is_some_and(|t| now.since(t) < SEND_PERIOD);
        let fresh = self.recent.iter().filter(|(_, time)| is_fresh(time));
        let fresh = fresh.filter_map(|(node, _)| self.held.get(node));
        let is_missing = |ad: &&Arc<Advertisement>| {
            let version = announced.get(&ad.record.node);
            version.is_none_or(|v| *v < ad.record.version)
        };
        fresh
            .filter(is_missing)
            .take(RECORDS_MAX)
            .cloned()
            .collect()
    }

    /// Sets the time of changes since the last message and drops expired ones.
    fn expire_recent(&mut self, now: Time) {
        self.recent.retain(|_, time| {
            let changed = *time.get_or_insert(now);
            now.since(changed) < ANNOUNCE_PERIOD
        });
    }

    /// Returns the versions of all records.
    pub fn digest(&self) -> Vec<RecordVersion> {
        self.held.values().map(|ad| version_of(ad)).collect()
    }

    /// Returns records that are newer here than in `digest`, at most [`RECORDS_MAX`].
    pub fn newer_than(&self, digest: &[RecordVersion]) -> Vec<Arc<Advertisement>> {
        let theirs: BTreeMap<NodeId, u64> = digest.iter().map(|v| (v.node, v.version)).collect();
        let is_newer = |ad: &&Arc<Advertisement>| {
            let version = theirs.get(&ad.record.node);
            version.is_none_or(|v| *v < ad.record.version)
        };
        self.iter()
            .filter(is_newer)
            .take(RECORDS_MAX)
            .cloned()
            .collect()
    }

    /// Returns the nodes whose records are newer in `versions` than in this table, at most
    /// [`RECORDS_MAX`], and marks them as requested.
    ///
    /// Records with a recent request are left out, since several peers announce them at once.
    pub fn outdated(&mut self, now: Time, versions: &[RecordVersion]) -> Vec<NodeId> {
        self.requested
            .retain(|_, time| now.since(*time) < REQUEST_RETRY);
        let is_newer = |v: &&RecordVersion| {
            let held = self.get(v.node).map(|ad| ad.record.version);
            let is_excluded = v.node == self.me || self.tombstones.contains(&v.node);
            !is_excluded
                && !self.requested.contains_key(&v.node)
                && held.is_none_or(|held| held < v.version)
        };
        let missing = versions.iter().filter(is_newer).take(RECORDS_MAX);
        let missing: Vec<NodeId> = missing.map(|v| v.node).collect();
        self.requested
            .extend(missing.iter().map(|node| (*node, now)));
        missing
    }

    /// Returns the records of `nodes`, at most [`RECORDS_MAX`].
    pub fn select(&self, nodes: &[NodeId]) -> Vec<Arc<Advertisement>> {
        let found = nodes.iter().filter_map(|n| self.get(*n));
        found.take(RECORDS_MAX).cloned().collect()
    }
}

fn hash(node: NodeId, version: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&node.0.to_le_bytes());
    bytes[8..].copy_from_slice(&version.to_le_bytes());
    xxh3_64(&bytes)
}
