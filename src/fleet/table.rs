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
    /// The version of all but health.
    pub version: u64,
    /// The version of health; zero without health.
    pub health_version: u64,
}

impl RecordVersion {
    /// Returns the versions in their order.
    fn order(&self) -> (u64, u64) {
        (self.version, self.health_version)
    }
}

/// The part of the records that an exchange between two nodes covers.
///
/// Health changes many times as often as the rest of a record. It matters most to the nodes that send
/// most of the requests, those in the same availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Whole records.
    WithHealth,
    /// Records without health.
    WithoutHealth,
}

impl Scope {
    fn version_of(self, ad: &Advertisement) -> RecordVersion {
        RecordVersion {
            node: ad.record.node,
            version: ad.record.version,
            health_version: match self {
                Scope::WithHealth => ad.record.health_version,
                Scope::WithoutHealth => 0,
            },
        }
    }

    /// Returns what an exchange of this scope sends of a record.
    fn select(self, ad: &Arc<Advertisement>) -> Arc<Advertisement> {
        match self {
            Scope::WithHealth => ad.clone(),
            Scope::WithoutHealth => Arc::new(Advertisement {
                record: ad.record.without_health(),
                ..**ad
            }),
        }
    }
}

/// Times of the last changes of a record; `None` until the next message sets them.
#[derive(Clone, Copy, Debug, Default)]
struct Change {
    /// The last change of health or of anything else.
    any: Option<Time>,
    /// The last change of anything but health, if there was one.
    other: Option<Option<Time>>,
}

impl Change {
    /// Sets the times that are missing to `now`.
    fn set_times(&mut self, now: Time) {
        self.any.get_or_insert(now);
        if let Some(other) = &mut self.other {
            other.get_or_insert(now);
        }
    }

    /// Returns true if a change that `scope` covers is younger than `age`.
    fn is_within(&self, now: Time, scope: Scope, age: Duration) -> bool {
        let time = match scope {
            Scope::WithHealth => self.any,
            Scope::WithoutHealth => self.other.flatten(),
        };
        time.is_some_and(|t| now.since(t) < age)
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
    /// Recently changed records.
    recent: BTreeMap<NodeId, Change>,
    addrs: BTreeMap<SocketAddr, NodeId>,
    registered: BTreeSet<NodeId>,
    tombstones: BTreeSet<NodeId>,
    tombstone_order: VecDeque<NodeId>,
    /// The XOR of the hashes of all nodes with their versions, with and without health.
    hashes: [u64; 2],
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
            hashes: [0; 2],
            requested: BTreeMap::new(),
        }
    }

    /// Returns a hash over all nodes and versions; tables that are equal in `scope` have equal
    /// hashes.
    pub fn hash(&self, scope: Scope) -> u64 {
        self.hashes[scope as usize]
    }

    /// Adds a record to the hashes, or removes it from them.
    fn toggle_hashes(&mut self, ad: &Advertisement) {
        for scope in [Scope::WithHealth, Scope::WithoutHealth] {
            self.hashes[scope as usize] ^= hash(&scope.version_of(ad));
        }
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
        let order = |ad: &Advertisement| Scope::WithHealth.version_of(ad).order();
        let held = self.held.get(&node).map(|held| order(held));
        if held.is_some_and(|held| held >= order(&ad)) {
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
        let is_health_only = held.is_some_and(|(version, _)| version == ad.record.version);
        let last = self.recent.get(&node).and_then(|change| change.other);
        let change = Change {
            any: None,
            other: if is_health_only { last } else { Some(None) },
        };
        self.remove(node);
        if self.held.len() >= TABLE_MAX {
            return false;
        }
        self.toggle_hashes(&ad);
        self.addrs.insert(ad.addr, node);
        self.recent.insert(node, change);
        self.held.insert(node, Arc::new(ad));
        true
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(held) = self.held.remove(&node) {
            self.toggle_hashes(&held);
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
    pub fn updates(&mut self, now: Time, scope: Scope) -> Vec<RecordVersion> {
        self.expire_recent(now);
        let updates = self.changed_within(now, scope, ANNOUNCE_PERIOD);
        updates.map(|ad| scope.version_of(ad)).collect()
    }

    /// Returns recently changed records that a peer didn't announce, at most [`RECORDS_MAX`].
    pub fn updates_for(
        &mut self,
        now: Time,
        scope: Scope,
        announced: &[RecordVersion],
    ) -> Vec<Arc<Advertisement>> {
        self.expire_recent(now);
        let updates = self.changed_within(now, scope, SEND_PERIOD);
        let missing = updates.filter(|ad| is_newer(scope, ad, announced));
        missing
            .take(RECORDS_MAX)
            .map(|ad| scope.select(ad))
            .collect()
    }

    /// Returns the records with a change that `scope` covers and that is younger than `age`.
    fn changed_within(
        &self,
        now: Time,
        scope: Scope,
        age: Duration,
    ) -> impl Iterator<Item = &Arc<Advertisement>> {
        let changes = self.recent.iter();
        let changes = changes.filter(move |(_, change)| change.is_within(now, scope, age));
        changes.filter_map(|(node, _)| self.held.get(node))
    }

    /// Sets the time of changes since the last message and drops expired ones.
    fn expire_recent(&mut self, now: Time) {
        self.recent.retain(|_, change| {
            change.set_times(now);
            change.is_within(now, Scope::WithHealth, ANNOUNCE_PERIOD)
        });
    }

    /// Returns the versions of all records.
    pub fn digest(&self, scope: Scope) -> Vec<RecordVersion> {
        let ads = self.held.values();
        ads.map(|ad| scope.version_of(ad)).collect()
    }

    /// Returns records that are newer here than in `digest`, at most [`RECORDS_MAX`].
    pub fn newer_than(&self, scope: Scope, digest: &[RecordVersion]) -> Vec<Arc<Advertisement>> {
        let newer = self.iter().filter(|ad| is_newer(scope, ad, digest));
        newer.take(RECORDS_MAX).map(|ad| scope.select(ad)).collect()
    }

    /// Returns the nodes whose records are newer in `versions` than in this table, at most
    /// [`RECORDS_MAX`], and marks them as requested.
    ///
    /// Records with a recent request are left out, since several peers announce them at once.
    pub fn outdated(&mut self, now: Time, scope: Scope, versions: &[RecordVersion]) -> Vec<NodeId> {
        self.requested
            .retain(|_, time| now.since(*time) < REQUEST_RETRY);
        let is_newer = |v: &&RecordVersion| {
            let held = self.get(v.node).map(|ad| scope.version_of(ad).order());
            let is_excluded = v.node == self.me || self.tombstones.contains(&v.node);
            !is_excluded
                && !self.requested.contains_key(&v.node)
                && held.is_none_or(|held| held < v.order())
        };
        let missing = versions.iter().filter(is_newer).take(RECORDS_MAX);
        let missing: Vec<NodeId> = missing.map(|v| v.node).collect();
        self.requested
            .extend(missing.iter().map(|node| (*node, now)));
        missing
    }

    /// Returns the records of `nodes`, at most [`RECORDS_MAX`].
    pub fn select(&self, scope: Scope, nodes: &[NodeId]) -> Vec<Arc<Advertisement>> {
        let found = nodes.iter().filter_map(|n| self.get(*n));
        found.take(RECORDS_MAX).map(|ad| scope.select(ad)).collect()
    }
}

/// Returns true if a record is newer than in `versions`, which are sorted by node.
fn is_newer(scope: Scope, ad: &Advertisement, versions: &[RecordVersion]) -> bool {
    match versions.binary_search_by_key(&ad.record.node, |v| v.node) {
        Ok(at) => versions[at].order() < scope.version_of(ad).order(),
        Err(_) => true,
    }
}

fn hash(version: &RecordVersion) -> u64 {
    let parts = [version.node.0, version.version, version.health_version];
    let mut bytes = [0; 24];
    for (chunk, part) in bytes.chunks_exact_mut(8).zip(parts) {
        chunk.copy_from_slice(&part.to_le_bytes());
    }
    xxh3_64(&bytes)
}
