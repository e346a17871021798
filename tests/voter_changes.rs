//! Leases of rate limits while the registry changes and the seats move.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::ids::NodeId;
use laburnumtide::limit::{Claim, NodeInfo, Owner, Placement, Shard, Voter, VoterProgress};
use laburnumtide::time::Time;
use laburnumtide::units::Position;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SHARD: Shard = Shard(11);

/// Time between two ticks of an owner.
const TICK: Duration = Duration::from_millis(100);

/// Time after which seats vote that have just started.
const WARM: Duration = Duration::from_secs(4);

const START: Time = Time::from_millis(100_000);

fn site(n: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(n),
        addr: format!("10.0.0.{n}:7100").parse().unwrap(),
        zone: format!("zone-{}", n % 4).parse().unwrap(),
    }
}

/// One version of the registry.
#[derive(Clone, Debug)]
struct Version {
    position: Position,
    members: Vec<u64>,
    demoted: Vec<u64>,
}

struct Node {
    owner: Owner,
    voter: Voter,
    placement: Placement,
    progress: VoterProgress,
    /// How many versions it has learned.
    learned: usize,
    is_up: bool,
}

/// How a fleet settles registries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settles {
    /// By what the seats say.
    VoterProgress,
    /// As soon as a node learns a registry, which is unsafe.
    AtOnce,
    /// Not within the test, as by acceptance alone.
    Never,
}

struct Fleet {
    now: Time,
    nodes: BTreeMap<u64, Node>,
    versions: Vec<Version>,
    settles: Settles,
    /// Nodes that the others take for dead, so that they do not claim the shard.
    idle: Vec<u64>,
    rng: StdRng,
    /// Share of the messages that are lost.
    loss: f64,
}

impl Fleet {
    fn new(seed: u64, settles: Settles) -> Fleet {
        Fleet {
            now: START,
            nodes: BTreeMap::new(),
            versions: Vec::new(),
            settles,
            idle: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
        }
    }

    fn start(&mut self, n: u64) {
        let mut voter = Voter::new(self.now);
        voter.assume_short_leases();
        let node = Node {
            owner: Owner::new(NodeId(n)),
            voter,
            placement: Placement::new(NodeId(n)),
            progress: VoterProgress::default(),
            learned: 0,
            is_up: true,
        };
        self.nodes.insert(n, node);
    }

    fn publish(&mut self, members: &[u64], demoted: &[u64]) {
        let position = Position(10 * (self.versions.len() as u64 + 1));
        self.versions.push(Version {
            position,
            members: members.to_vec(),
            demoted: demoted.to_vec(),
        });
    }

    /// Lets a node learn all versions; one that has learned none misses those before the last.
    fn learn(&mut self, n: u64) {
        let idle = self.idle.clone();
        let node = self.nodes.get_mut(&n).unwrap();
        let first = match node.learned {
            0 => self.versions.len() - 1,
            learned => learned,
        };
        for version in &self.versions[first..] {
            let sites: Vec<NodeInfo> = version.members.iter().map(|n| site(*n)).collect();
            let demoted: Vec<NodeId> = version.demoted.iter().map(|n| NodeId(*n)).collect();
            let is_next = node.learned > 0;
            let placement = &mut node.placement;
            placement.set_registry(version.position, is_next, &sites, &demoted);
            if self.settles == Settles::AtOnce {
                placement.settle_at(version.position);
            }
            node.learned += 1;
        }
        node.learned = self.versions.len();
        node.placement.set_live(|id| !idle.contains(&id.0));
    }

    fn learn_all(&mut self) {
        let up: Vec<u64> = self.up();
        up.into_iter().for_each(|n| self.learn(n));
    }

    fn up(&self) -> Vec<u64> {
        let up = self.nodes.iter().filter(|(_, node)| node.is_up);
        up.map(|(n, _)| *n).collect()
    }

    /// Runs one tick; messages arrive at once or not at all.
    fn tick(&mut self, accepted: Position) {
        self.now = self.now + TICK;
        for n in self.up() {
            let claims = self.claims(n, accepted);
            for (addr, claim) in claims {
                self.claim(n, addr, &claim);
            }
        }
    }

    fn claims(&mut self, n: u64, accepted: Position) -> BTreeMap<SocketAddr, Claim> {
        let node = self.nodes.get_mut(&n).unwrap();
        if self.settles == Settles::VoterProgress
            && let Some(position) =
                node.progress
                    .newest_settled(self.now, &node.placement, accepted)
        {
            node.placement.settle_at(position);
        }
        node.progress.prune(&node.placement);
        if self.idle.contains(&n) {
            return BTreeMap::new();
        }
        node.owner.claims(self.now, &node.placement, [SHARD])
    }

    fn claim(&mut self, from: u64, addr: SocketAddr, claim: &Claim) {
        let voter = self.up().into_iter().find(|n| site(*n).addr == addr);
        let Some(to) = voter.filter(|_| !self.rng.random_bool(self.loss)) else {
            return;
        };
        let voter = self.nodes.get_mut(&to).unwrap();
        voter.placement.settle_at(claim.settled);
        let layouts = voter.placement.layouts();
        let Some(mut vote) = voter.voter.vote(self.now, &layouts, claim) else {
            return;
        };
        vote.registry = voter.placement.position();
        vote.settled = voter.placement.settled();
        if self.rng.random_bool(self.loss) {
            return;
        }
        let node = self.nodes.get_mut(&from).unwrap();
        node.progress.record(self.now, addr, vote.registry);
        node.placement.settle_at(vote.settled);
        node.owner
            .record_vote(self.now, &node.placement, addr, &vote);
    }

    /// Returns the nodes that hold the lease, also those that the fleet takes for dead.
    fn holders(&self) -> Vec<u64> {
        let holds = |node: &Node| node.owner.holds(self.now, &node.placement, SHARD);
        let holders = self
            .nodes
            .iter()
            .filter(|(_, node)| node.is_up && holds(node));
        holders.map(|(n, _)| *n).collect()
    }
}

/// Replaces 14 of 22 nodes within 10 s, the seats first and each 2 s after it has begun to leave, and
/// returns the longest time in ticks for which the node that stays does not hold its lease.
fn replace_most(settles: Settles) -> usize {
    let mut fleet = Fleet::new(1, settles);
    let mut members: Vec<u64> = (1..=22).collect();
    // Node 22 owns the shard; the others are seats only.
    fleet.idle = (1..=21).chain(101..=121).collect();
    members.iter().for_each(|n| fleet.start(*n));
    fleet.publish(&members, &[]);
    fleet.learn_all();
    let first = fleet.versions[0].position;
    for node in fleet.nodes.values_mut() {
        node.placement.settle_at(first);
    }
    for _ in 0..WARM.as_millis() / TICK.as_millis() {
        fleet.tick(first);
    }
    assert_eq!(fleet.holders(), [22]);
    let voters = fleet.nodes[&22].placement.voters(SHARD);
    let mut goes: Vec<u64> = (1..=21).collect();
    goes.sort_by_key(|n| !voters.contains(&site(*n).addr));
    let (mut without, mut longest) = (0, 0);
    let mut demoted: Vec<(u64, usize)> = Vec::new();
    for tick in 0..200_usize {
        if tick % 7 == 0 && tick < 7 * 14 {
            let n = goes[tick / 7];
            fleet.start(100 + n);
            members.push(100 + n);
            demoted.push((n, tick));
            let leaving: Vec<u64> = demoted.iter().map(|(n, _)| *n).collect();
            fleet.publish(&members, &leaving);
            fleet.learn_all();
        }
        for (n, since) in &demoted {
            fleet.nodes.get_mut(n).unwrap().is_up = tick < since + 20;
        }
        let accepted = fleet.versions.last().unwrap().position;
        fleet.tick(accepted);
        without = match fleet.holders().as_slice() {
            [22] => 0,
            [] => without + 1,
            holders => panic!("held by {holders:?}"),
        };
        longest = longest.max(without);
    }
    longest
}

/// Guards against a fleet whose nodes are replaced one after the other and that loses the majority of
/// an earlier set of seats: no account with a limit was served for 18 s, and on (Kylmaring,
/// `mix --seed 480380651728`).
#[test]
fn replaced_fleet_keeps_its_owner() {
    assert_eq!(replace_most(Settles::VoterProgress), 0);
}

/// Shows that the replacement takes the majority of earlier seats, so that the test above means
/// something.
#[test]
fn without_moves_the_owner_is_lost() {
    assert!(replace_most(Settles::Never) > 50);
}

/// Runs random changes of the registry with late learners, lost messages, ends and restarts, and
/// returns the first tick at which two nodes hold the lease.
fn change_at_random(seed: u64, settles: Settles) -> Option<usize> {
    let mut fleet = Fleet::new(seed, settles);
    fleet.loss = 0.1;
    let mut members: Vec<u64> = (1..=9).collect();
    members.iter().for_each(|n| fleet.start(*n));
    fleet.publish(&members, &[]);
    fleet.learn_all();
    let mut accepted = fleet.versions[0].position;
    fleet.nodes.values_mut().for_each(|node| {
        node.placement.settle_at(accepted);
    });
    let mut next = 10;
    for tick in 0..400 {
        if fleet.rng.random_bool(0.05) {
            let at = fleet.rng.random_range(0..members.len());
            let demoted = [members[at]];
            if fleet.rng.random_bool(0.7) {
                fleet.start(next);
                members[at] = next;
                next += 1;
            }
            fleet.publish(&members, &demoted);
        }
        // Each node learns late, so that some follow registries from before the last few.
        for n in fleet.up() {
            if fleet.rng.random_bool(0.05) {
                fleet.learn(n);
            }
        }
        // Nodes differ about who is alive, so that several claim the shard.
        if fleet.rng.random_bool(0.1) {
            let up = fleet.up();
            let n = up[fleet.rng.random_range(0..up.len())];
            let dead = members[fleet.rng.random_range(0..members.len())];
            let node = fleet.nodes.get_mut(&n).unwrap();
            node.placement.set_live(|id| id.0 != dead);
        }
        let up = fleet.up();
        if up.len() > 5 && fleet.rng.random_bool(0.02) {
            let n = up[fleet.rng.random_range(0..up.len())];
            fleet.nodes.get_mut(&n).unwrap().is_up = false;
        }
        // A process that starts anew votes once its registry is proved current.
        if fleet.rng.random_bool(0.02) {
            let up = fleet.up();
            let n = up[fleet.rng.random_range(0..up.len())];
            fleet.start(n);
            fleet.learn(n);
        }
        accepted = accepted.max(majority_position(&fleet, &members));
        fleet.tick(accepted);
        if fleet.holders().len() > 1 {
            return Some(tick);
        }
    }
    None
}

/// Returns the last registry that most members have learned.
fn majority_position(fleet: &Fleet, members: &[u64]) -> Position {
    let learned = |n: &u64| fleet.nodes.get(n).map_or(0, |node| node.learned);
    let mut counts: Vec<usize> = members.iter().map(learned).collect();
    counts.sort_unstable();
    let held = counts[(counts.len() - 1) / 2];
    let version = held.checked_sub(1).map(|at| &fleet.versions[at]);
    version.map_or(Position(0), |v| v.position)
}

/// Guards against two owners of a shard, each with a majority of the seats of another registry.
#[test]
fn moved_seats_allow_one_owner() {
    for seed in 0..300 {
        assert_eq!(
            change_at_random(seed, Settles::VoterProgress),
            None,
            "seed {seed}"
        );
    }
}

/// Shows that the random changes find two owners if a registry is settled too early.
#[test]
fn early_settlement_allows_two() {
    let found = (0..300).filter(|seed| change_at_random(*seed, Settles::AtOnce).is_some());
    assert!(found.count() > 0);
}

/// Guards against a node that starts between two registries, does not know the seats before them and
/// takes the second for settled.
#[test]
fn unknown_layouts_are_not_settled() {
    let sites: Vec<NodeInfo> = (1..=9).map(site).collect();
    let mut placement = Placement::new(NodeId(1));
    placement.set_registry(Position(20), false, &sites, &[]);
    let voters = placement.voters(SHARD);
    let is_voter = |s: &&NodeInfo| voters.contains(&s.addr);
    let demoted: Vec<NodeId> = sites
        .iter()
        .filter(is_voter)
        .take(1)
        .map(|s| s.id)
        .collect();
    placement.set_registry(Position(30), true, &sites, &demoted);
    let most = Position(30);
    assert_eq!(placement.newest_settled(most, |_, _| true), None);
    // Others have told that nothing before the first known registry counts.
    placement.settle_at(Position(20));
    assert_eq!(placement.newest_settled(most, |_, _| true), Some(most));
    assert_eq!(placement.newest_settled(Position(29), |_, _| true), None);
    let minority = |voter, _| voters[..2].contains(&voter);
    assert_eq!(placement.newest_settled(most, minority), None);
}

/// Guards against three of five seats in one of three zones, whose loss would leave no majority.
#[test]
fn zones_share_the_seats() {
    let sites: Vec<NodeInfo> = (1..=30)
        .map(|n| NodeInfo {
            zone: format!("zone-{}", n % 3).parse().unwrap(),
            ..site(n)
        })
        .collect();
    for first in 0..20 {
        let some = &sites[first..first + 9];
        let mut placement = Placement::new(NodeId(1));
        placement.set_members(some, |_| true);
        let voters = placement.voters(SHARD);
        let mut zones: BTreeMap<String, usize> = BTreeMap::new();
        for site in some.iter().filter(|s| voters.contains(&s.addr)) {
            *zones.entry(site.zone.to_string()).or_default() += 1;
        }
        assert_eq!(voters.len(), 5);
        assert!(zones.values().all(|n| *n <= 2), "{zones:?}");
    }
}

/// Lets one of two nodes leave, which ends 2 s later, and returns the longest time in ticks for which
/// the other does not hold the lease; both learn of it `delay` ticks after the node has begun to leave.
fn leave_two(delay: usize) -> usize {
    let mut fleet = Fleet::new(3, Settles::VoterProgress);
    fleet.idle = vec![1];
    fleet.start(1);
    fleet.start(2);
    fleet.publish(&[1, 2], &[]);
    fleet.learn_all();
    let first = fleet.versions[0].position;
    fleet.nodes.values_mut().for_each(|node| {
        node.placement.settle_at(first);
    });
    for _ in 0..WARM.as_millis() / TICK.as_millis() {
        fleet.tick(first);
    }
    assert_eq!(fleet.holders(), [2]);
    let (mut without, mut longest) = (0, 0);
    for tick in 0..60 {
        if tick == delay {
            fleet.publish(&[1, 2], &[1]);
            fleet.learn_all();
        }
        fleet.nodes.get_mut(&1).unwrap().is_up = tick < 20;
        let accepted = fleet.versions.last().unwrap().position;
        fleet.tick(accepted);
        without = match fleet.holders().is_empty() {
            true => without + 1,
            false => 0,
        };
        longest = longest.max(without);
    }
    longest
}

/// Guards against a fleet of two that has no owner once one of them has left: both seats were needed
/// until 5 s after the change, and callers got 429 (`processes::request_faults::egress_terminated`, once
/// beside other tests). The leader is told at once and writes the change within 0.75 s.
#[test]
fn one_of_two_leaves() {
    for delay in 0..=12 {
        assert_eq!(leave_two(delay), 0, "learned after {delay} ticks");
    }
    // Learned only after the end, as when the leader is busy for that long.
    assert!(leave_two(21) > 10);
}
