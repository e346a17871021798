//! Two candidates for a shard while one of its voters is unavailable.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::ids::NodeId;
use laburnumtide::limit::{LEASE, NodeInfo, Owner, Placement, Shard, Voter};
use laburnumtide::time::Time;

/// Time between two ticks of an owner.
const TICK: Duration = Duration::from_millis(100);

fn node_info(n: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(n),
        addr: format!("10.0.0.{n}:7100").parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
    }
}

/// Checks that one of two candidates wins although a voter is unavailable and each candidate gets
/// half of the other votes.
///
/// Two candidates that each held one of the two remaining votes yielded to each other and retried
/// at the same time. No account of the shard was served for 15 s (run hunt-28bc-15).
fn one_candidate_wins(nodes: u64, voter_count: usize) {
    let infos: Vec<NodeInfo> = (1..=nodes).map(node_info).collect();
    let shard = Shard(11);
    let mut views = Vec::new();
    for me in [6, 7] {
        let mut placement = Placement::new(NodeId(me));
        // Each node considers only itself alive, so that both are the first candidate.
        placement.set_members(&infos, |id| id == NodeId(me));
        views.push((Owner::new(NodeId(me)), placement));
    }
    let addrs = views[0].1.voters(shard);
    assert_eq!(addrs.len(), voter_count);
    let live = &addrs[..voter_count - 1];
    let start = Time::from_millis(100_000);
    let mut voters: BTreeMap<SocketAddr, Voter> = BTreeMap::new();
    for addr in live {
        voters.insert(*addr, Voter::new(start));
    }
    // Restarted voters abstain for one lease, extended for clock drift.
    let mut now = start + LEASE.mul_f64(1.1);
    let mut won = Vec::new();
    for tick in 0..100 {
        now = now + TICK;
        let mut messages = Vec::new();
        for (at, (owner, placement)) in views.iter_mut().enumerate() {
            let claims = owner.claims(now, placement, [shard]);
            messages.extend(claims.into_iter().map(|claim| (at, claim)));
        }
        // Voters receive the claims in opposite orders, so that the votes are split.
        for (i, addr) in live.iter().enumerate() {
            let mut here: Vec<_> = messages.iter().filter(|(_, (to, _))| to == addr).collect();
            if i % 2 == 1 {
                here.reverse();
            }
            for (at, (_, claim)) in here {
                let layouts = views[*at].1.layouts();
                let voter = voters.get_mut(addr).unwrap();
                if let Some(vote) = voter.vote(now, &layouts, claim) {
                    let (owner, placement) = &mut views[*at];
                    owner.record_vote(now, placement, *addr, &vote);
                }
            }
        }
        let holds = views.iter().filter(|(owner, _)| owner.shard_count() > 0);
        let holders = holds.count();
        assert!(holders <= 1, "two owners at tick {tick}");
        won.push(holders);
    }
    let first = won.iter().position(|n| *n == 1);
    assert!(first.is_some_and(|tick| tick < 30), "won at tick {first:?}");
    assert!(won[30..].iter().all(|n| *n == 1), "the lease is lost again");
}

/// Guards against a split vote of two remaining voters; a shard of a fleet of 65 nodes has three.
#[test]
fn one_of_two_wins_with_three_voters() {
    one_candidate_wins(65, 3);
}

/// Guards against a split vote of four remaining voters; a shard of a fleet of 7 nodes has five.
#[test]
fn one_of_two_wins_with_five_voters() {
    one_candidate_wins(7, 5);
}
