//! Candidates for a shard that hear nothing from its voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::limit::{LEASE, NodeInfo, Owner, Placement, Shard, Voter};
use laburnumtide::prelude::*;

fn node_info(n: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(n),
        addr: format!("10.0.0.{n}:7100").parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
    }
}

/// Plays 30 s with two candidates and returns when the second one owns the shard.
///
/// `hears` tells whether the first candidate receives the vote of a voter, `reaches` whether a
/// candidate and a voter reach each other at all; voters are numbered from zero.
fn owned_after(
    hears: impl Fn(usize) -> bool,
    reaches: impl Fn(usize, usize) -> bool,
) -> Option<Duration> {
    let infos: Vec<NodeInfo> = (1..=80).map(node_info).collect();
    let shard = Shard(11);
    let mut views = Vec::new();
    for me in [6, 7] {
        let mut placement = Placement::new(NodeId(me));
        placement.set_members(&infos, |id| id == NodeId(me));
        views.push((Owner::new(NodeId(me)), placement));
    }
    let start = Time::from_millis(100_000);
    let addrs = views[0].1.voters(shard);
    let new_voter = |addr: &SocketAddr| (*addr, Voter::new(start));
    let mut voters: BTreeMap<_, _> = addrs.iter().map(new_voter).collect();
    let begin = start + LEASE.mul_f64(1.1);
    for tick in 0..300u32 {
        let now = begin + Duration::from_millis(100) * tick;
        for (at, (owner, placement)) in views.iter_mut().enumerate() {
            for (addr, claim) in owner.claims(now, placement, [shard]) {
                let number = addrs.iter().position(|a| *a == addr).unwrap();
                if !reaches(at, number) {
                    continue;
                }
                let voter = voters.get_mut(&addr).unwrap();
                let vote = voter.vote(now, &placement.layouts(), &claim);
                if let Some(vote) = vote.filter(|_| at == 1 || hears(number)) {
                    owner.record_vote(now, placement, addr, &vote);
                }
            }
        }
        let (owner, placement) = &views[1];
        if owner.holds(now, placement, shard) {
            return Some(now.since(begin));
        }
    }
    None
}

/// Guards against a candidate whose claims arrive but which gets no response, as on a full or
/// one-way link: it kept the votes of a shard that it never owned.
#[test]
fn deaf_candidate_gives_up() {
    let owned = owned_after(|_| false, |_, _| true);
    let owned = owned.expect("the other candidate never owns the shard");
    assert!(owned <= LEASE * 4, "owned after {owned:?}");
}

/// Guards against a candidate that reaches only one of three voters and keeps its vote from one that
/// reaches this voter and another one.
#[test]
fn lone_vote_is_released() {
    let owned = owned_after(|_| true, |at, voter| voter == 0 || at == 1 && voter == 1);
    let owned = owned.expect("the other candidate never owns the shard");
    assert!(owned <= LEASE * 4, "owned after {owned:?}");
}
