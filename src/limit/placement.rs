//! Which nodes may own a shard and which nodes are its seats.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{AccountName, NodeId, ZoneName};
use crate::limit::{LEASE, SHARD_COUNT, SHORT_LEASE, SMALL_FLEET};

/// Seats of a shard in a fleet of one group, as far as there are nodes.
///
/// Nodes may go for good at any time, and a lease needs a majority of the seats. Of 30 nodes of which 7
/// are gone, two of three seats are among them once in eight times, three of five once in fifteen.
pub const SEAT_COUNT: usize = 5;

/// Seats of a shard in a larger fleet, where the loss of a group concerns a part of the shards only.
const GROUP_SEAT_COUNT: usize = 3;

/// Nodes for which one set of seats is named, so that renewals stay inside the byte budget.
const GROUP_NODES: usize = 64;

/// Seed that separates the order of seats from the order of owners.
const SEAT_SEED: u64 = 1 << 32;

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
pub struct Site {
    /// The process.
    pub id: NodeId,
    /// Its link address, which stays the same over restarts.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

impl Site {
    fn weight(&self, seed: u64) -> u64 {
        xxh3_64_with_seed(self.addr.to_string().as_bytes(), seed)
    }
}

/// Seats of every group of shards.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Layout {
    groups: Vec<Vec<SocketAddr>>,
    digest: u64,
}

impl Layout {
    fn of(sites: &[Site]) -> Layout {
        let count = sites.len().div_ceil(GROUP_NODES) as u64;
        let groups: Vec<_> = (0..count).map(|g| choose_seats(sites, g)).collect();
        let digest = xxh3_64(format!("{groups:?}").as_bytes());
        Layout { groups, digest }
    }

    fn seats(&self, shard: Shard) -> &[SocketAddr] {
        match self.groups.len() {
            0 => &[],
            n => &self.groups[usize::from(shard.0) % n],
        }
    }
}

/// Takes the first node of each zone in rendezvous order, then the rest in that order.
fn choose_seats(sites: &[Site], group: u64) -> Vec<SocketAddr> {
    let mut order: Vec<&Site> = sites.iter().collect();
    order.sort_by_key(|site| (site.weight(SEAT_SEED + group), site.addr));
    order.dedup_by_key(|site| site.addr);
    let mut zones: Vec<&ZoneName> = Vec::new();
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for site in order {
        if zones.contains(&&site.zone) {
            rest.push(site.addr);
        } else {
            zones.push(&site.zone);
            first.push(site.addr);
        }
    }
    first.extend(rest);
    first.truncate(match sites.len() <= GROUP_NODES {
        true => SEAT_COUNT,
        false => GROUP_SEAT_COUNT,
    });
    first
}

/// The first nodes in the rendezvous order of a shard.
#[derive(Clone, Copy, Debug)]
struct First {
    candidates: [Option<NodeId>; 2],
    /// A leaving node before the first candidate.
    leaving: Option<NodeId>,
}

/// Candidates and seats of every shard, by one node's view of the registry.
///
/// Both orders hash the address, so that a restarted process takes the place that it had before.
///
/// When the registry changes the seats, a lease needs a majority of the old and of the new seats
/// until [`Placement::settle`] is called, and a seat votes only for a claim that follows the seat's
/// own layouts. So a node that has not learned the change cannot win beside one that has. A process
/// that starts knows no earlier seats; the seats that do know them refuse its claims.
#[derive(Clone, Debug)]
pub struct Placement {
    me: NodeId,
    sites: Vec<Site>,
    live: Vec<bool>,
    /// Sorted.
    leaving: Vec<NodeId>,
    /// Hashes of the live sites that do not leave, or of all live ones if each leaves.
    hashes: BTreeMap<u64, NodeId>,
    /// Hashes of the live sites that leave.
    leaving_hashes: BTreeMap<u64, NodeId>,
    /// First candidates, found when they are first asked for.
    first: Vec<OnceLock<First>>,
    layouts: Vec<Layout>,
}

impl Placement {
    /// Creates a placement without members.
    pub fn new(me: NodeId) -> Placement {
        Placement {
            me,
            sites: Vec::new(),
            live: Vec::new(),
            leaving: Vec::new(),
            hashes: BTreeMap::new(),
            leaving_hashes: BTreeMap::new(),
            first: vec![OnceLock::new(); usize::from(SHARD_COUNT)],
            layouts: Vec::new(),
        }
    }

    /// Takes over the registry's members and this node's view of which of them are alive.
    ///
    /// This node counts as alive.
    pub fn set_members(&mut self, sites: &[Site], live: impl Fn(NodeId) -> bool) {
        let alive: Vec<bool> = sites
            .iter()
            .map(|s| s.id == self.me || live(s.id))
            .collect();
        if self.sites != sites {
            self.sites = sites.to_vec();
            self.add_layout(Layout::of(sites));
        } else if self.live == alive {
            return;
        }
        self.live = alive;
        self.order();
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
        let last = self.layouts.pop();
        self.layouts.clear();
        self.layouts.extend(last);
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
    pub fn owners(&self, shard: Shard) -> [Option<NodeId>; 2] {
        let first = self.find(shard);
        match first.leaving {
            Some(node) => [Some(node), first.candidates[0]],
            None => first.candidates,
        }
    }

    fn find(&self, shard: Shard) -> &First {
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
    pub fn seat_sets(&self, shard: Shard) -> impl Iterator<Item = &[SocketAddr]> {
        self.layouts.iter().map(move |layout| layout.seats(shard))
    }

    /// Returns every seat whose vote on a shard may be needed.
    pub fn seats(&self, shard: Shard) -> Vec<SocketAddr> {
        let mut seats: Vec<_> = self.seat_sets(shard).flatten().copied().collect();
        seats.sort();
        seats.dedup();
        seats
    }

    fn add_layout(&mut self, layout: Layout) {
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

    fn find_first(&self, shard: Shard) -> First {
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
        First {
            candidates: best.map(|entry| entry.map(|(_, id)| id)),
            leaving: leaving.filter(before).map(|(_, id)| id),
        }
    }
}
