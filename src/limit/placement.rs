//! Determines which nodes may own a shard and which nodes vote on its lease.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{AccountName, NodeId, ZoneName};
use crate::limit::{LEASE, SHARD_COUNT, SHORT_LEASE, SMALL_FLEET, SURELY_SMALL_FLEET};
use crate::units::Position;

/// Voters of a shard in a fleet of one group; a fleet of fewer nodes has fewer.
///
/// Nodes may be lost for good at any time, and a lease needs a majority of its voters. If 7 of 30
/// nodes are lost, the probability that these include two of three voters is 1/8, and that they
/// include three of five voters is 1/15.
pub const VOTER_COUNT: usize = 5;

/// Voters of a shard in a larger fleet, where the loss of a group affects only some of the shards.
const GROUP_VOTER_COUNT: usize = 3;

/// Nodes per set of voters; the limit keeps lease renewals within the byte budget.
const GROUP_NODES: usize = 64;

/// Seed that makes the order of voters independent of the order of owners.
const VOTER_SEED: u64 = 1 << 32;

/// A subset of the accounts that has one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u16);

impl Shard {
    /// Returns the shard of an account.
    pub fn of(account: &AccountName) -> Shard {
        let hash = xxh3_64(account.as_str().as_bytes());
        Shard((hash % u64::from(SHARD_COUNT)) as u16)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A member of the fleet as placement uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeInfo {
    /// The process.
    pub id: NodeId,
    /// Its link address, which does not change when the process restarts.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

impl NodeInfo {
    fn weight(&self, seed: u64) -> u64 {
        xxh3_64_with_seed(self.addr.to_string().as_bytes(), seed)
    }
}

/// The voters of every group of shards.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Layout {
    groups: Vec<Vec<SocketAddr>>,
    digest: u64,
    /// Position of the first registry with these voters.
    since: Position,
}

impl Layout {
    fn of(since: Position, nodes: &[NodeInfo]) -> Layout {
        let count = nodes.len().div_ceil(GROUP_NODES) as u64;
        let groups: Vec<_> = (0..count).map(|g| choose_voters(nodes, g)).collect();
        let digest = xxh3_64(format!("{groups:?}").as_bytes());
        Layout {
            groups,
            digest,
            since,
        }
    }

    fn voters(&self, shard: Shard) -> &[SocketAddr] {
        match self.groups.len() {
            0 => &[],
            n => &self.groups[usize::from(shard.0) % n],
        }
    }
}

/// Chooses the first node of each zone in rendezvous order, then the second of each, and so on, so
/// that the loss of a zone affects as few voters as possible.
fn choose_voters(nodes: &[NodeInfo], group: u64) -> Vec<SocketAddr> {
    let mut order: Vec<&NodeInfo> = nodes.iter().collect();
    order.sort_by_key(|node| (node.weight(VOTER_SEED + group), node.addr));
    order.dedup_by_key(|node| node.addr);
    let mut per_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, SocketAddr)> = Vec::with_capacity(order.len());
    for node in order {
        let round = per_zone.entry(&node.zone).or_default();
        rounds.push((*round, node.addr));
        *round += 1;
    }
    // The sort is stable, so that each round keeps the rendezvous order.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.truncate(match nodes.len() <= GROUP_NODES {
        true => VOTER_COUNT,
        false => GROUP_VOTER_COUNT,
    });
    rounds.into_iter().map(|(_, addr)| addr).collect()
}

/// The nodes that come first in the rendezvous order of a shard.
#[derive(Clone, Copy, Debug)]
struct Preferred {
    candidates: [Option<NodeId>; 2],
    /// A leaving node that precedes the first candidate.
    leaving: Option<NodeId>,
}

/// Candidates and voters of every shard, according to one node's view of the registry.
///
/// Both are chosen by rendezvous hashing of the address, so a restarted process gets the same roles
/// as before.
///
/// When a registry change alters the voters, a lease needs a majority of the old and a majority of
/// the new voters until the new registry is settled, as in joint consensus. A voter votes only for
/// claims that have all layouts of the voter, so a node without the change and a node with it can't
/// both hold a lease. A process that starts has no earlier layouts; voters that do have them refuse
/// its claims.
///
/// A registry is settled once no node with an earlier one can win or hold a lease. This holds for
/// the whole fleet, so nodes exchange the settled position in claims and votes.
#[derive(Clone, Debug)]
pub struct Placement {
    me: NodeId,
    /// Position of the registry.
    position: Position,
    nodes: Vec<NodeInfo>,
    /// Members that are not eligible as voters, sorted.
    demoted: Vec<NodeId>,
    /// Whether each of `nodes` is alive in this node's view.
    live: Vec<bool>,
    /// Members that leave according to this node's view, sorted.
    leaving: Vec<NodeId>,
    /// Hashes of the live members that do not leave, or of all live members if every one leaves.
    hashes: BTreeMap<u64, NodeId>,
    /// Hashes of the live members that leave.
    leaving_hashes: BTreeMap<u64, NodeId>,
    /// The preferred nodes of each shard, computed on first use.
    preferred: Vec<OnceLock<Preferred>>,
    layouts: Vec<Layout>,
    /// Position of the registry since which this node has seen every layout.
    known_from: Position,
    /// Position of the last settled registry.
    settled: Position,
}

impl Placement {
    /// Creates a placement without members.
    pub fn new(me: NodeId) -> Placement {
        Placement {
            me,
            position: Position(0),
            nodes: Vec::new(),
            demoted: Vec::new(),
            live: Vec::new(),
            leaving: Vec::new(),
            hashes: BTreeMap::new(),
            leaving_hashes: BTreeMap::new(),
            preferred: vec![OnceLock::new(); usize::from(SHARD_COUNT)],
            layouts: Vec::new(),
            known_from: Position(0),
            settled: Position(0),
        }
    }

    /// Sets the members as the next registry, if they have changed, and which of them are alive.
    pub fn set_members(&mut self, nodes: &[NodeInfo], live: impl Fn(NodeId) -> bool) {
        if self.nodes != nodes {
            self.set_registry(self.position.next(), true, nodes, &[]);
        }
        self.set_live(live);
    }

    /// Sets the registry at `position` and the members that are not eligible as voters.
    ///
    /// `is_next` is true if no registry between the last one and this one was skipped.
    pub fn set_registry(
        &mut self,
        position: Position,
        is_next: bool,
        nodes: &[NodeInfo],
        demoted: &[NodeId],
    ) {
        if !is_next || self.layouts.is_empty() {
            self.known_from = position;
        }
        self.position = position;
        // New members count as dead until the next call of `set_live`.
        let live = nodes.iter().map(|n| n.id == self.me || self.is_live(n.id));
        self.live = live.collect();
        self.nodes = nodes.to_vec();
        self.demoted = demoted.to_vec();
        self.demoted.sort();
        let is_eligible = |n: &&NodeInfo| self.demoted.binary_search(&n.id).is_err();
        let mut voters: Vec<NodeInfo> = nodes.iter().filter(is_eligible).cloned().collect();
        if voters.is_empty() {
            voters = nodes.to_vec();
        }
        self.add_layout(Layout::of(position, &voters));
        self.drop_settled();
        self.rehash();
    }

    /// Sets which members are alive in this node's view; this node always counts as alive.
    pub fn set_live(&mut self, live: impl Fn(NodeId) -> bool) {
        let nodes = self.nodes.iter();
        let alive: Vec<bool> = nodes.map(|n| n.id == self.me || live(n.id)).collect();
        if self.live != alive {
            self.live = alive;
            self.rehash();
        }
    }

    /// Sets which members leave in this node's view; they obtain no further shards.
    ///
    /// A leaving owner keeps its shards until it hands them over to a successor.
    pub fn set_leaving(&mut self, mut leaving: Vec<NodeId>) {
        leaving.sort();
        if self.leaving != leaving {
            self.leaving = leaving;
            self.rehash();
        }
    }

    /// Returns true if `node` leaves in this node's view.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        self.leaving.binary_search(&node).is_ok()
    }

    /// Marks the current registry as settled.
    ///
    /// To be called once that registry has been accepted for longer than the lifetime of a
    /// freshness proof plus a lease, so that no node with an older registry honours keys any more.
    pub fn settle(&mut self) {
        self.settle_at(self.position);
    }

    /// Marks the registry at `position` as settled; returns true if it is later than the last one.
    pub fn settle_at(&mut self, position: Position) -> bool {
        if position <= self.settled {
            return false;
        }
        self.settled = position;
        self.drop_settled();
        true
    }

    /// Returns the position of the last settled registry.
    pub fn settled(&self) -> Position {
        self.settled
    }

    /// Returns the position of the registry.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Drops the layouts that were replaced at or before the settled registry.
    fn drop_settled(&mut self) {
        let next = |i: usize| self.layouts.get(i + 1).map(|l| l.since);
        let count = (0..self.layouts.len())
            .take_while(|i| next(*i).is_some_and(|end| end <= self.settled))
            .count();
        self.layouts.drain(..count);
    }

    /// Returns true if `addr` is a voter in a layout in force.
    pub fn is_voter(&self, addr: SocketAddr) -> bool {
        let groups = self.layouts.iter().flat_map(|layout| &layout.groups);
        groups.flatten().any(|voter| *voter == addr)
    }

    /// Returns the newest registry up to `limit` that `has_reached` shows to be settled, if it is
    /// newer than the last settled one.
    ///
    /// `has_reached(voter, position)` is true if a voter has had the registry at `position`, or a
    /// later one, for longer than a vote lasts. Once that holds for a majority of the voters of
    /// every earlier layout, claims by such a layout cannot win, and earlier wins have expired.
    pub fn newest_settled(
        &self,
        limit: Position,
        has_reached: impl Fn(SocketAddr, Position) -> bool,
    ) -> Option<Position> {
        if self.known_from > self.settled {
            return None;
        }
        let is_superseded = |layout: &Layout, position: Position| {
            layout.groups.iter().all(|voters| {
                let reached = voters.iter().filter(|voter| has_reached(**voter, position));
                reached.count() > voters.len() / 2
            })
        };
        (1..self.layouts.len()).rev().find_map(|at| {
            let since = self.layouts[at].since;
            let earlier = &self.layouts[..at];
            let is_unsettled = since > self.settled && since <= limit;
            (is_unsettled && earlier.iter().all(|l| is_superseded(l, since))).then_some(since)
        })
    }

    /// Returns the longest duration of a vote under this registry or one shortly before it.
    pub fn longest_vote(&self) -> Duration {
        match self.nodes.len() <= SURELY_SMALL_FLEET {
            true => SHORT_LEASE,
            false => LEASE,
        }
    }

    /// Returns the identity of this node.
    pub fn me(&self) -> NodeId {
        self.me
    }

    /// Returns the first live node that does not leave in the rendezvous order of a shard.
    ///
    /// If every live node leaves, it is the first of them.
    pub fn candidate(&self, shard: Shard) -> Option<NodeId> {
        self.candidates(shard)[0]
    }

    /// Returns the first two live nodes that do not leave in the rendezvous order of a shard.
    pub fn candidates(&self, shard: Shard) -> [Option<NodeId>; 2] {
        self.preferred(shard).candidates
    }

    /// Returns the two nodes to which a limiter sends credit requests while it has no hint of the
    /// owner.
    ///
    /// A leaving node that comes first in the order still owns the shard until it hands it over.
    pub fn probable_owners(&self, shard: Shard) -> [Option<NodeId>; 2] {
        let first = self.preferred(shard);
        match first.leaving {
            Some(node) => [Some(node), first.candidates[0]],
            None => first.candidates,
        }
    }

    /// Returns another live node that can relay credit requests for a shard to its owner; a different
    /// one for each `turn`, as far as there are as many.
    pub fn relay(&self, shard: Shard, turn: u32) -> Option<NodeId> {
        let owners = self.probable_owners(shard);
        let is_relay = |id: &NodeId| *id != self.me && !owners.contains(&Some(*id));
        let live = self.nodes.iter().zip(&self.live).filter(|(_, live)| **live);
        let relays: Vec<NodeId> = live.map(|(node, _)| node.id).filter(is_relay).collect();
        // Nodes start at different relays, so that one node doesn't get the requests of all.
        let start = xxh3_64_with_seed(&self.me.0.to_le_bytes(), u64::from(shard.0));
        let at = start.wrapping_add(u64::from(turn)) % relays.len().max(1) as u64;
        relays.get(at as usize).copied()
    }

    fn preferred(&self, shard: Shard) -> &Preferred {
        self.preferred[usize::from(shard.0)].get_or_init(|| self.find_preferred(shard))
    }

    /// Returns the duration of the leases that this node claims.
    pub fn lease(&self) -> Duration {
        match self.nodes.len() <= SMALL_FLEET {
            true => SHORT_LEASE,
            false => LEASE,
        }
    }

    /// Returns true if `node` is alive in this node's view.
    pub fn is_live(&self, node: NodeId) -> bool {
        self.nodes
            .iter()
            .zip(&self.live)
            .any(|(member, live)| *live && member.id == node)
    }

    /// Returns the link address of a member.
    pub fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        let member = self.nodes.iter().find(|member| member.id == node)?;
        Some(member.addr)
    }

    /// Returns the digests of the voter layouts in force, the newest last.
    pub fn layouts(&self) -> Vec<u64> {
        self.layouts.iter().map(|layout| layout.digest).collect()
    }

    /// Returns the sets of voters of a shard; a lease needs a majority of each.
    pub fn voter_sets(&self, shard: Shard) -> impl Iterator<Item = &[SocketAddr]> {
        self.layouts.iter().map(move |layout| layout.voters(shard))
    }

    /// Returns every voter whose vote on a shard may be needed.
    pub fn voters(&self, shard: Shard) -> Vec<SocketAddr> {
        let mut voters: Vec<_> = self.voter_sets(shard).flatten().copied().collect();
        voters.sort();
        voters.dedup();
        voters
    }

    /// Adds the newest layout.
    ///
    /// An earlier layout with the same voters is dropped as a duplicate, but those between stay.
    fn add_layout(&mut self, layout: Layout) {
        if self
            .layouts
            .last()
            .is_some_and(|last| last.digest == layout.digest)
        {
            return;
        }
        self.layouts.retain(|l| l.digest != layout.digest);
        self.layouts.push(layout);
    }

    fn rehash(&mut self) {
        let live = self.nodes.iter().zip(&self.live).filter(|(_, live)| **live);
        let hashes = live.map(|(node, _)| (node.weight(0), node.id));
        let (leaving, staying) = hashes.partition(|(_, id)| self.is_leaving(*id));
        (self.leaving_hashes, self.hashes) = (leaving, staying);
        if self.hashes.is_empty() {
            self.hashes = std::mem::take(&mut self.leaving_hashes);
        }
        self.preferred.fill(OnceLock::new());
    }

    fn find_preferred(&self, shard: Shard) -> Preferred {
        let seed = u64::from(shard.0) + 1;
        let weight = |hash: &u64| xxh3_64_with_seed(&hash.to_le_bytes(), seed);
        let mut best: [Option<(u64, NodeId)>; 2] = [None; 2];
        for (hash, id) in &self.hashes {
            let entry = (weight(hash), *id);
            if best[0].is_none_or(|first| entry < first) {
                best = [Some(entry), best[0]];
            } else if best[1].is_none_or(|second| entry < second) {
                best[1] = Some(entry);
            }
        }
        let leaving = self.leaving_hashes.iter().map(|(h, id)| (weight(h), *id));
        let leaving = leaving.min();
        let before = |entry: &(u64, NodeId)| best[0].is_none_or(|first| *entry < first);
        Preferred {
            candidates: best.map(|entry| entry.map(|(_, id)| id)),
            leaving: leaving.filter(before).map(|(_, id)| id),
        }
    }
}
