//! Two candidates for a shard while one of its seats is gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::ids::NodeId;
use laburnumtide::limit::{LEASE, NodeInfo, Owner, Placement, Shard, Voter};
use laburnumtide::time::Time;

/// Time between two ticks of an owner.
const TICK: Duration = Duration::from_millis(100);

fn site(n: u64) -> NodeInfo {
    NodeInfo {
        id: NodeId(n),
        addr: format!("10.0.0.{n}:7100").parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
    }
}

/// Guards against two candidates that each hold one of the two votes left, give way to each other and
/// try again together: no account of the shard was served for 15 s (hunt-28bc-15 of Kylmaring).
fn one_wins(nodes: u64, voter_count: usize) {
    let sites: Vec<NodeInfo> = (1..=nodes).map(site).collect();
    let shard = Shard(11);
    let mut views = Vec::new();
    for me in [6, 7] {
        let mut placement = Placement::new(NodeId(me));
        // Each believes that it is the only live node, so that both are the first candidate.
        placement.set_members(&sites, |id| id == NodeId(me));
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
    // Restarted seats abstain for one lease and its drift at first.
    let mut now = start + LEASE.mul_f64(1.1);
    let mut won = Vec::new();
    for tick in 0..100 {
        now = now + TICK;
        let mut mail = Vec::new();
        for (at, (owner, placement)) in views.iter_mut().enumerate() {
            let claims = owner.claims(now, placement, [shard]);
            mail.extend(claims.into_iter().map(|claim| (at, claim)));
        }
        // The seats hear them in opposite orders, so that the votes are split.
        for (i, addr) in live.iter().enumerate() {
            let mut here: Vec<_> = mail.iter().filter(|(_, (to, _))| to == addr).collect();
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

#[test]
fn one_of_two_wins_with_three_seats() {
    one_wins(65, 3);
}

#[test]
fn one_of_two_wins_with_five_seats() {
    one_wins(7, 5);
}
