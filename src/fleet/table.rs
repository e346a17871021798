//! The records of all nodes, as one node knows them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::record::NodeRecord;
use super::registry::Registry;
use crate::ids::NodeId;

/// How many messages carry a changed record on before it counts as spread.
///
/// With two messages in each of four exchanges a round, a change has reached nearly every one of
/// 560 nodes by then; digests find the rest.
const PUSHES: u8 = 12;

/// Most records in one message.
pub const RECORDS_MAX: usize = 64;

/// Most records in a table.
const TABLE_MAX: usize = 2_048;

/// How many removed nodes are remembered; a day has about 1,300.
const RETIRED_MAX: usize = 4_096;

/// A node record with what identifies its process on the address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
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
pub struct Known {
    /// The node whose record it is.
    pub node: NodeId,
    /// The version.
    pub version: u64,
}

#[derive(Clone, Debug)]
struct Held {
    published: Arc<Published>,
    pushes: u8,
}

/// The records of all nodes; a record that was registered once and is removed never returns.
#[derive(Clone, Debug)]
pub struct Records {
    me: NodeId,
    held: BTreeMap<NodeId, Held>,
    addrs: BTreeMap<SocketAddr, NodeId>,
    registered: BTreeSet<NodeId>,
    retired: BTreeSet<NodeId>,
    retired_order: VecDeque<NodeId>,
    /// The exclusive or of the hashes of all nodes and versions.
    hash: u64,
    /// Where the search for records to pass on goes on.
    cursor: NodeId,
}

impl Records {
    /// Creates an empty table of node `me`.
    pub fn new(me: NodeId) -> Self {
        Records {
            me,
            held: BTreeMap::new(),
            addrs: BTreeMap::new(),
            registered: BTreeSet::new(),
            retired: BTreeSet::new(),
            retired_order: VecDeque::new(),
            hash: 0,
            cursor: NodeId(0),
        }
    }

    /// Returns a hash that two tables with the same versions share.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Lists the records, sorted by node.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<Published>> {
        self.held.values().map(|h| &h.published)
    }

    /// Returns the record of `node`.
    pub fn get(&self, node: NodeId) -> Option<&Arc<Published>> {
        self.held.get(&node).map(|h| &h.published)
    }

    /// Puts the own record in; its version must grow.
    pub fn publish(&mut self, published: Published) {
        self.put(published);
    }

    /// Takes in a record from another node; returns true if it is news.
    ///
    /// Nobody else can change the own record.
    pub fn merge(&mut self, published: Published) -> bool {
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
    /// node that has just started would push the whole table to peers that hold it.
    pub fn catch_up(&mut self, published: Published) -> bool {
        let node = published.record.node;
        let is_known = self.held.contains_key(&node);
        let is_first = self.merge(published) && !is_known;
        if is_first && let Some(held) = self.held.get_mut(&node) {
            held.pushes = 0;
        }
        is_first
    }

    fn put(&mut self, published: Published) -> bool {
        let node = published.record.node;
        if let Some(held) = self.held.get(&node)
            && held.published.record.version >= published.record.version
        {
            return false;
        }
        if let Some(other) = self.addrs.get(&published.addr).copied()
            && other != node
        {
            let rank = |p: &Published| (p.started, p.record.node);
            let is_later = |h: &Held| rank(&h.published) > rank(&published);
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
        let held = Held {
            published: Arc::new(published),
            pushes: PUSHES,
        };
        self.held.insert(node, held);
        true
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(held) = self.held.remove(&node) {
            self.hash ^= hash(node, held.published.record.version);
            self.addrs.remove(&held.published.addr);
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

    /// Returns records that changed lately, to be passed on, at most [`RECORDS_MAX`].
    pub fn rumors(&mut self) -> Vec<Arc<Published>> {
        let mut rumors = Vec::new();
        let start = self.cursor;
        let mut take = |node: &NodeId, held: &mut Held| {
            if held.pushes > 0 && rumors.len() < RECORDS_MAX {
                held.pushes -= 1;
                rumors.push(Arc::clone(&held.published));
                self.cursor = *node;
            }
        };
        for (node, held) in self.held.range_mut(start..) {
            take(node, held);
        }
        for (node, held) in self.held.range_mut(..start) {
            take(node, held);
        }
        rumors
    }

    /// Returns the versions of all records.
    pub fn digest(&self) -> Vec<Known> {
        let known = |h: &Held| Known {
            node: h.published.record.node,
            version: h.published.record.version,
        };
        self.held.values().map(known).collect()
    }

    /// Returns records that are newer here than in `digest`, at most [`RECORDS_MAX`].
    pub fn newer_than(&self, digest: &[Known]) -> Vec<Arc<Published>> {
        let theirs: BTreeMap<NodeId, u64> = digest.iter().map(|k| (k.node, k.version)).collect();
        let is_newer = |p: &&Arc<Published>| {
            let version = theirs.get(&p.record.node);
            version.is_none_or(|v| *v < p.record.version)
        };
        self.iter()
            .filter(is_newer)
            .take(RECORDS_MAX)
            .cloned()
            .collect()
    }

    /// Returns the nodes whose records are newer in `digest` than here, at most [`RECORDS_MAX`].
    pub fn older_than(&self, digest: &[Known]) -> Vec<NodeId> {
        let is_older = |k: &&Known| {
            let held = self.get(k.node).map(|p| p.record.version);
            let barred = k.node == self.me || self.retired.contains(&k.node);
            !barred && held.is_none_or(|v| v < k.version)
        };
        let older = digest.iter().filter(is_older).take(RECORDS_MAX);
        older.map(|k| k.node).collect()
    }

    /// Returns the records of `nodes`, at most [`RECORDS_MAX`].
    pub fn pick(&self, nodes: &[NodeId]) -> Vec<Arc<Published>> {
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
