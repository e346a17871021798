//! The records of all nodes, as one node knows them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::record::NodeRecord;
use super::registry::Registry;
use crate::ids::NodeId;
use crate::time::Time;

/// How long a question names a changed record.
///
/// It is longer than [`SENT_FOR`] by more than the time in which a change spreads, so that a peer
/// seldom sends a record that is here already.
const NAMED_FOR: Duration = Duration::from_millis(2_400);

/// How long answers bring a changed record along; digests find what is missed.
const SENT_FOR: Duration = Duration::from_millis(1_200);

/// How long a record that was asked for is not asked for again.
const WANTED_AGAIN: Duration = Duration::from_millis(800);

/// Most records in one message.
pub const RECORDS_MAX: usize = 64;

/// Most records in a table.
pub const TABLE_MAX: usize = 2_048;

/// How many removed nodes are remembered; a day has about 1,300.
const RETIRED_MAX: usize = 4_096;

/// A node record with what identifies its process on the address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The address on which the node accepts links.
    pub addr: SocketAddr,
    /// When the process started, in milliseconds of its VM's wall clock.
    ///
    /// It only decides between two processes on one address while no registry change can.
    pub started: u64,
    /// The record.
    pub record: NodeRecord,
}

/// The version of one record that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordVersion {
    /// The node whose record it is.
    pub node: NodeId,
    /// The version.
    pub version: u64,
}

fn known(published: &Advertisement) -> RecordVersion {
    RecordVersion {
        node: published.record.node,
        version: published.record.version,
    }
}

/// The records of all nodes; a record that was registered once and is removed never returns.
#[derive(Clone, Debug)]
pub struct Records {
    me: NodeId,
    held: BTreeMap<NodeId, Arc<Advertisement>>,
    /// Records that changed lately, and when; the time is stated with the next message.
    recent: BTreeMap<NodeId, Option<Time>>,
    addrs: BTreeMap<SocketAddr, NodeId>,
    registered: BTreeSet<NodeId>,
    retired: BTreeSet<NodeId>,
    retired_order: VecDeque<NodeId>,
    /// The exclusive or of the hashes of all nodes and versions.
    hash: u64,
    /// Records that peers were asked for, and when.
    asked: BTreeMap<NodeId, Time>,
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
            retired: BTreeSet::new(),
            retired_order: VecDeque::new(),
            hash: 0,
            asked: BTreeMap::new(),
        }
    }

    /// Returns a hash that two tables with the same versions share.
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

    /// Puts the own record in; its version must grow.
    pub fn publish(&mut self, published: Advertisement) {
        self.put(published);
    }

    /// Takes in a record from another node; returns true if it is news.
    ///
    /// Nobody else can change the own record.
    pub fn merge(&mut self, published: Advertisement) -> bool {
        let node = published.record.node;
        if node == self.me || self.retired.contains(&node) {
            return false;
        }
        self.put(published)
    }

    /// Takes in a record that a digest showed to be missing; returns true if it is the first one of
    /// its node.
    ///
    /// The first record of a node is not passed on then: the others had it before this one, and a
    /// node that has just started would name the whole table to peers that hold it.
    pub fn catch_up(&mut self, published: Advertisement) -> bool {
        let node = published.record.node;
        let is_known = self.held.contains_key(&node);
        let is_first = self.merge(published) && !is_known;
        if is_first {
            self.recent.remove(&node);
        }
        is_first
    }

    fn put(&mut self, published: Advertisement) -> bool {
        let node = published.record.node;
        if let Some(held) = self.held.get(&node)
            && held.record.version >= published.record.version
        {
            return false;
        }
        if let Some(other) = self.addrs.get(&published.addr).copied()
            && other != node
        {
            let rank = |p: &Advertisement| (p.started, p.record.node);
            let is_later = |p: &Arc<Advertisement>| rank(p) > rank(&published);
            if node != self.me && self.held.get(&other).is_some_and(is_later) {
                return false;
            }
            self.remove(other);
        }
        self.remove(node);
        if self.held.len() >= TABLE_MAX {
            return false;
        }
        self.hash ^= hash(node, published.record.version);
        self.addrs.insert(published.addr, node);
        self.recent.insert(node, None);
        self.held.insert(node, Arc::new(published));
        true
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(held) = self.held.remove(&node) {
            self.hash ^= hash(node, held.record.version);
            self.addrs.remove(&held.addr);
            self.recent.remove(&node);
        }
    }

    /// Takes in a new registry and drops the records of nodes that it removed.
    pub fn set_registry(&mut self, registry: &Registry) {
        let next: BTreeSet<NodeId> = registry.members().iter().map(|m| m.id).collect();
        let gone = self.registered.difference(&next);
        let gone: Vec<NodeId> = gone.copied().filter(|n| *n != self.me).collect();
        for node in gone {
            self.remove(node);
            if self.retired.insert(node) {
                self.retired_order.push_back(node);
            }
        }
        while self.retired_order.len() > RETIRED_MAX {
            if let Some(oldest) = self.retired_order.pop_front() {
                self.retired.remove(&oldest);
            }
        }
        // A node that was silent for long is registered again under the same id.
        for node in &next {
            self.retired.remove(node);
        }
        self.registered = next;
    }

    /// Returns the versions of records that changed lately.
    ///
    /// A node hears of each change many times and needs the record once, so records travel only to
    /// those who don't name them.
    pub fn updates(&mut self, now: Time) -> Vec<RecordVersion> {
        self.date(now);
        let nodes = self.recent.keys();
        let news = nodes.filter_map(|node| self.held.get(node));
        news.map(|p| known(p)).collect()
    }

    /// Returns records that changed lately and that a peer doesn't name, at most [`RECORDS_MAX`].
    pub fn updates_for(&mut self, now: Time, named: &[RecordVersion]) -> Vec<Arc<Advertisement>> {
        self.date(now);
        let named: BTreeMap<NodeId, u64> = named.iter().map(|k| (k.node, k.version)).collect();
        let is_fresh = |time: &Option<Time>| time.is_some_and(|t| now.since(t) < SENT_FOR);
        let fresh = self.recent.iter().filter(|(_, time)| is_fresh(time));
        let fresh = fresh.filter_map(|(node, _)| self.held.get(node));
        let is_missing = |p: &&Arc<Advertisement>| {
            let version = named.get(&p.record.node);
            version.is_none_or(|v| *v < p.record.version)
        };
        fresh
            .filter(is_missing)
            .take(RECORDS_MAX)
            .cloned()
            .collect()
    }

    /// Dates the changes since the last message and forgets those of long ago.
    fn date(&mut self, now: Time) {
        self.recent.retain(|_, time| {
            let changed = *time.get_or_insert(now);
            now.since(changed) < NAMED_FOR
        });
    }

    /// Returns the versions of all records.
    pub fn digest(&self) -> Vec<RecordVersion> {
        self.held.values().map(|p| known(p)).collect()
    }

    /// Returns records that are newer here than in `digest`, at most [`RECORDS_MAX`].
    pub fn newer_than(&self, digest: &[RecordVersion]) -> Vec<Arc<Advertisement>> {
        let theirs: BTreeMap<NodeId, u64> = digest.iter().map(|k| (k.node, k.version)).collect();
        let is_newer = |p: &&Arc<Advertisement>| {
            let version = theirs.get(&p.record.node);
            version.is_none_or(|v| *v < p.record.version)
        };
        self.iter()
            .filter(is_newer)
            .take(RECORDS_MAX)
            .cloned()
            .collect()
    }

    /// Returns the nodes whose records are newer in `known` than here, at most [`RECORDS_MAX`].
    ///
    /// A record that was asked for a moment ago is left out, as several peers name it at once.
    pub fn to_request(&mut self, now: Time, known: &[RecordVersion]) -> Vec<NodeId> {
        self.asked.retain(|_, time| now.since(*time) < WANTED_AGAIN);
        let is_news = |k: &&RecordVersion| {
            let held = self.get(k.node).map(|p| p.record.version);
            let barred = k.node == self.me || self.retired.contains(&k.node);
            !barred && !self.asked.contains_key(&k.node) && held.is_none_or(|v| v < k.version)
        };
        let wanted = known.iter().filter(is_news).take(RECORDS_MAX);
        let wanted: Vec<NodeId> = wanted.map(|k| k.node).collect();
        self.asked.extend(wanted.iter().map(|node| (*node, now)));
        wanted
    }

    /// Returns the records of `nodes`, at most [`RECORDS_MAX`].
    pub fn pick(&self, nodes: &[NodeId]) -> Vec<Arc<Advertisement>> {
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
