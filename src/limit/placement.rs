//! Which nodes may own a shard and which nodes are its seats.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{AccountName, NodeId, ZoneName};
use crate::limit::{LEASE, SHARD_COUNT, SHORT_LEASE, SMALL_FLEET, SURELY_SMALL_FLEET};
use crate::units::Position;

/// Seats of a shard in a fleet of one group, as far as there are nodes.
///
/// Nodes may go for good at any time, and a lease needs a majority of the seats. Of 30 nodes of which 7
/// are gone, two of three seats are among them once in eight times, three of five once in fifteen.
pub const VOTER_COUNT: usize = 5;

/// Seats of a shard in a larger fleet, where the loss of a group concerns a part of the shards only.
const GROUP_VOTER_COUNT: usize = 3;

/// Nodes for which one set of seats is named, so that renewals stay inside the byte budget.
const GROUP_NODES: usize = 64;

/// Seed that separates the order of seats from the order of owners.
const VOTER_SEED: u64 = 1 << 32;

/// A part of the accounts that has one owner.
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

/// A node as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeInfo {
    /// The process.
    pub id: NodeId,
    /// Its link address, which stays the same over restarts.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

impl NodeInfo {
    fn weight(&self, seed: u64) -> u64 {
        xxh3_64_with_seed(self.addr.to_string().as_bytes(), seed)
    }
}

/// Seats of every group of shards.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Layout {
    groups: Vec<Vec<SocketAddr>>,
    digest: u64,
    /// Position of the registry that first had these seats.
    since: Position,
}

impl Layout {
    fn of(since: Position, sites: &[NodeInfo]) -> Layout {
        let count = sites.len().div_ceil(GROUP_NODES) as u64;
        let groups: Vec<_> = (0..count).map(|g| choose_voters(sites, g)).collect();
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

/// Takes the first node of each zone in rendezvous order, then the second of each, and so on, so that
/// the loss of a zone takes as few seats as possible.
fn choose_voters(sites: &[NodeInfo], group: u64) -> Vec<SocketAddr> {
    let mut order: Vec<&NodeInfo> = sites.iter().collect();
    order.sort_by_key(|site| (site.weight(VOTER_SEED + group), site.addr));
    order.dedup_by_key(|site| site.addr);
    let mut taken: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, SocketAddr)> = Vec::with_capacity(order.len());
    for site in order {
        let round = taken.entry(&site.zone).or_default();
        rounds.push((*round, site.addr));
        *round += 1;
    }
    // The sort is stable, so that each round keeps the rendezvous order.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.truncate(match sites.len() <= GROUP_NODES {
        true => VOTER_COUNT,
        false => GROUP_VOTER_COUNT,
    });
    rounds.into_iter().map(|(_, addr)| addr).collect()
}

/// The first nodes in the rendezvous order of a shard.
#[derive(Clone, Copy, Debug)]
struct Preferred {
    candidates: [Option<NodeId>; 2],
    /// A leaving node before the first candidate.
    leaving: Option<NodeId>,
}

/// Candidates and seats of every shard, by one node's view of the registry.
///
/// Both orders hash the address, so that a restarted process takes the place that it had before.
///
/// When the registry changes the seats, a lease needs a majority of the old and of the new seats
/// until the new registry is settled, and a seat votes only for a claim that follows the seat's own
/// layouts. So a node that has not learned the change cannot win beside one that has. A process
/// that starts knows no earlier seats; the seats that do know them refuse its claims.
///
/// A registry is settled once no node with an earlier one can win or hold a lease. That is a fact
/// about the fleet, so nodes tell it each other with claims and ballots.
#[derive(Clone, Debug)]
pub struct Placement {
    me: NodeId,
    /// Position of the registry.
    position: Position,
    sites: Vec<NodeInfo>,
    /// Members that hold no seats, sorted.
    demoted: Vec<NodeId>,
    live: Vec<bool>,
    /// Members that leave by this node's view, sorted.
    leaving: Vec<NodeId>,
    /// Hashes of the live sites that do not leave, or of all live ones if each leaves.
    hashes: BTreeMap<u64, NodeId>,
    /// Hashes of the live sites that leave.
    leaving_hashes: BTreeMap<u64, NodeId>,
    /// First candidates, found when they are first asked for.
    first: Vec<OnceLock<Preferred>>,
    layouts: Vec<Layout>,
    /// Position of the first registry from which on this node knows every layout.
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
            sites: Vec::new(),
            demoted: Vec::new(),
            live: Vec::new(),
            leaving: Vec::new(),
            hashes: BTreeMap::new(),
            leaving_hashes: BTreeMap::new(),
            first: vec![OnceLock::new(); usize::from(SHARD_COUNT)],
            layouts: Vec::new(),
            known_from: Position(0),
            settled: Position(0),
        }
    }

    /// Takes over the members of the next registry, if they have changed, and this node's view of
    /// which of them are alive.
    pub fn set_members(&mut self, sites: &[NodeInfo], live: impl Fn(NodeId) -> bool) {
        if self.sites != sites {
            self.set_registry(self.position.next(), true, sites, &[]);
        }
        self.set_live(live);
    }

    /// Takes over the registry at `position`, with the members that hold no seats.
    ///
    /// `is_next` says that this node has taken over every registry before it.
    pub fn set_registry(
        &mut self,
        position: Position,
        is_next: bool,
        sites: &[NodeInfo],
        demoted: &[NodeId],
    ) {
        if !is_next || self.layouts.is_empty() {
            self.known_from = position;
        }
        self.position = position;
        // A member is taken for dead until this node says more.
        let live = sites.iter().map(|s| s.id == self.me || self.is_live(s.id));
        self.live = live.collect();
        self.sites = sites.to_vec();
        self.demoted = demoted.to_vec();
        self.demoted.sort();
        let stays = |s: &&NodeInfo| self.demoted.binary_search(&s.id).is_err();
        let mut voters: Vec<NodeInfo> = sites.iter().filter(stays).cloned().collect();
        if voters.is_empty() {
            voters = sites.to_vec();
        }
        self.add_layout(Layout::of(position, &voters));
        self.drop_settled();
        self.order();
    }

    /// Takes over this node's view of which members are alive; this node counts as alive.
    pub fn set_live(&mut self, live: impl Fn(NodeId) -> bool) {
        let sites = self.sites.iter();
        let alive: Vec<bool> = sites.map(|s| s.id == self.me || live(s.id)).collect();
        if self.live != alive {
            self.live = alive;
            self.order();
        }
    }

    /// Takes over this node's view of which members leave; they own no further shards.
    ///
    /// A leaving owner keeps its shards until a successor takes them.
    pub fn set_leaving(&mut self, mut leaving: Vec<NodeId>) {
        leaving.sort();
        if self.leaving != leaving {
            self.leaving = leaving;
            self.order();
        }
    }

    /// Returns true if this node believes that `node` leaves.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        self.leaving.binary_search(&node).is_ok()
    }

    /// Forgets earlier seats.
    ///
    /// To be called when the present registry has been accepted for longer than the lifetime of
    /// evidence and a lease, so that no node with an older registry honours keys any more.
    pub fn settle(&mut self) {
        self.settle_at(self.position);
    }

    /// Takes in that the registry at `position` is settled; returns true if that is news.
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

    /// Drops the layouts that ended at or before the settled registry.
    fn drop_settled(&mut self) {
        let next = |i: usize| self.layouts.get(i + 1).map(|l| l.since);
        let count = (0..self.layouts.len())
            .take_while(|i| next(*i).is_some_and(|end| end <= self.settled))
            .count();
        self.layouts.drain(..count);
    }

    /// Returns true if a layout in force names `addr` as a seat.
    pub fn is_voter(&self, addr: SocketAddr) -> bool {
        let groups = self.layouts.iter().flat_map(|layout| &layout.groups);
        groups.flatten().any(|voter| *voter == addr)
    }

    /// Returns the newest registry up to `most` that `has_moved` shows to be settled, if it is newer
    /// than the last.
    ///
    /// `has_moved(voter, position)` says that a seat has followed the registry at `position`, or a
    /// later one, for longer than a vote lasts. Once a majority of the seats of every earlier layout
    /// has, a claim by such a layout cannot win, and what it won before has ended.
    pub fn newest_settled(
        &self,
        most: Position,
        has_moved: impl Fn(SocketAddr, Position) -> bool,
    ) -> Option<Position> {
        if self.known_from > self.settled {
            return None;
        }
        let is_left = |layout: &Layout, position: Position| {
            layout.groups.iter().all(|voters| {
                let moved = voters.iter().filter(|voter| has_moved(**voter, position));
                moved.count() > voters.len() / 2
            })
        };
        (1..self.layouts.len()).rev().find_map(|at| {
            let since = self.layouts[at].since;
            let earlier = &self.layouts[..at];
            let is_open = since > self.settled && since <= most;
            (is_open && earlier.iter().all(|l| is_left(l, since))).then_some(since)
        })
    }

    /// Returns the longest vote that a seat may have given by this registry or one shortly before.
    pub fn longest_vote(&self) -> Duration {
        match self.sites.len() <= SURELY_SMALL_FLEET {
            true => SHORT_LEASE,
            false => LEASE,
        }
    }

    /// Returns this node.
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
        self.find(shard).candidates
    }

    /// Returns the two nodes that a holder asks about a shard, if it knows no owner.
    ///
    /// A leaving node that was first in the order still owns the shard until it is handed over.
    pub fn probable_owners(&self, shard: Shard) -> [Option<NodeId>; 2] {
        let first = self.find(shard);
        match first.leaving {
            Some(node) => [Some(node), first.candidates[0]],
            None => first.candidates,
        }
    }

    fn find(&self, shard: Shard) -> &Preferred {
        self.first[usize::from(shard.0)].get_or_init(|| self.find_first(shard))
    }

    /// Returns the length of the leases that this node claims.
    pub fn lease(&self) -> Duration {
        match self.sites.len() <= SMALL_FLEET {
            true => SHORT_LEASE,
            false => LEASE,
        }
    }

    /// Returns true if this node believes that `node` is alive.
    pub fn is_live(&self, node: NodeId) -> bool {
        self.sites
            .iter()
            .zip(&self.live)
            .any(|(site, live)| *live && site.id == node)
    }

    /// Returns the link address of a member.
    pub fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        let site = self.sites.iter().find(|site| site.id == node)?;
        Some(site.addr)
    }

    /// Returns the digests of the seat layouts in force, the newest last.
    pub fn layouts(&self) -> Vec<u64> {
        self.layouts.iter().map(|layout| layout.digest).collect()
    }

    /// Returns the sets of seats of a shard; a lease needs a majority of each.
    pub fn voter_sets(&self, shard: Shard) -> impl Iterator<Item = &[SocketAddr]> {
        self.layouts.iter().map(move |layout| layout.voters(shard))
    }

    /// Returns every seat whose vote on a shard may be needed.
    pub fn voters(&self, shard: Shard) -> Vec<SocketAddr> {
        let mut voters: Vec<_> = self.voter_sets(shard).flatten().copied().collect();
        voters.sort();
        voters.dedup();
        voters
    }

    /// Adds the newest layout; one that returns needs the seats between, but not itself twice.
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

    fn order(&mut self) {
        let live = self.sites.iter().zip(&self.live).filter(|(_, live)| **live);
        let hashes = live.map(|(site, _)| (site.weight(0), site.id));
        let (leaving, staying) = hashes.partition(|(_, id)| self.is_leaving(*id));
        (self.leaving_hashes, self.hashes) = (leaving, staying);
        if self.hashes.is_empty() {
            self.hashes = std::mem::take(&mut self.leaving_hashes);
        }
        self.first.fill(OnceLock::new());
    }

    fn find_first(&self, shard: Shard) -> Preferred {
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
