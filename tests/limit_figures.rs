//! Accounts within their rate are served, however their requests are spread over the nodes and
//! however far other accounts exceed their rates.
//!
//! The bounds are those of `docs/design.md`. Only refusals beyond those of a single ideal bucket
//! with the same random arrivals count.

#[allow(dead_code, reason = "each program uses a part of the simulated fleet")]
mod limit_sim;

use std::time::Duration;

use laburnumtide::limit::{
    Allowance, Claim, CreditRequest, CreditResponse, CreditResult, NodeInfo, Owner, Placement,
    Shard,
};
use laburnumtide::prelude::*;
use limit_sim::load::{Fault, Plan, Spread, deployment, run, run_seeds};
use limit_sim::{
    Allowances, Net, SEC, STARTUP_TIME, Sim, admitted, allowance, first_violation, name,
};

/// Refusals per 1,000 requests at 90 % of the rate.
const STEADY_BOUND: f64 = 1.0;

/// Refusals per 1,000 requests in the 30 s after the loss of a VM.
const LOSS_BOUND: f64 = 10.0;

fn worst_at(nodes: usize, zones: usize, percent: u64, spread: Spread) -> f64 {
    let plan = Plan {
        spread,
        rates: vec![400, 200, 100, 40],
        percent: vec![percent; 4],
        span: 30 * SEC,
        ..deployment(nodes, zones, percent)
    };
    run(&plan, 0, plan.span).worst()
}

/// Guards against refusals because tokens are held by nodes that do not need them.
#[test]
fn served_within_rate() {
    for spread in [Spread::Even, Spread::Skewed, Spread::Moving] {
        assert_eq!(worst_at(18, 4, 50, spread), 0.0, "{spread:?}");
        let worst = worst_at(18, 4, 90, spread);
        assert!(worst <= STEADY_BOUND, "{worst} in 1,000 with {spread:?}");
    }
}

/// Guards against accounts that are not served while their shard gets another owner.
#[test]
fn served_after_loss() {
    for fault in [Fault::Vm, Fault::Owner] {
        let plan = Plan {
            fault,
            span: 62 * SEC,
            ..deployment(22, 4, 90)
        };
        let figures = run_seeds(&plan, 2, 31 * SEC, 30 * SEC);
        let worst = figures.worst();
        assert!(worst <= LOSS_BOUND, "{worst} in 1,000 after {fault:?}");
    }
}

/// Guards against accounts that are not served while a leaving owner hands its shards over.
#[test]
fn served_during_handover() {
    for nodes in [3, 22] {
        let plan = Plan {
            fault: Fault::Leave,
            span: 62 * SEC,
            ..deployment(nodes, 3.min(nodes), 90)
        };
        let figures = run_seeds(&plan, 2, 31 * SEC, 30 * SEC);
        let worst = figures.worst();
        println!("worst={worst} in 1,000 with {nodes} nodes");
        assert!(worst <= LOSS_BOUND, "{worst} in 1,000 with {nodes} nodes");
    }
}

/// Guards against refusals of accounts within their rate while others send five times theirs.
#[test]
fn served_beside_overload() {
    for overloaded in [1, 3] {
        let mut plan = deployment(22, 4, 90);
        plan.percent[..overloaded].fill(500);
        plan.rates.truncate(6);
        plan.percent.truncate(6);
        plan.span = 20 * SEC;
        let worst = run(&plan, 0, plan.span).worst_within(&plan);
        assert!(
            worst <= STEADY_BOUND,
            "{worst} in 1,000 beside {overloaded}"
        );
    }
}

fn one_account_sim(rate: u64, burst: u32, nodes: usize) -> Sim {
    let mut allowances = Allowances::default();
    allowances.0.insert(name(0), allowance(rate, burst));
    Sim::new(3, nodes, 4, Net::CLEAN, allowances)
}

/// Guards against an account with a low rate whose requests are refused because its tokens are held
/// by other nodes.
#[test]
fn slow_account_at_any_node() {
    let mut sim = one_account_sim(2, 10, 22);
    let start = STARTUP_TIME + 6 * SEC;
    for i in 0..180 {
        let node = (i as usize * 7) % 22;
        sim.request(start + i * SEC * 10 / 18, node, &name(0));
    }
    sim.run_until(start + 101 * SEC);
    assert_eq!(admitted(&sim, &name(0)).len(), 180);
}

/// Guards against a burst that a single node can't spend at once, and against memory held for an
/// account that is not in use.
#[test]
fn whole_burst_at_one_node() {
    let mut sim = one_account_sim(50, 500, 22);
    sim.run_until(3_600 * SEC);
    let held: usize = sim.nodes.iter().map(|n| n.owner.bucket_count()).sum();
    assert_eq!(held, 0, "a bucket of an account that was never used");
    for i in 0..500 {
        sim.request(sim.at + i, 5, &name(0));
    }
    sim.run_until(sim.at + SEC);
    let times = admitted(&sim, &name(0));
    assert_eq!(times.len(), 500);
    assert_eq!(first_violation(&times, allowance(50, 500)), None);
    sim.run_until(sim.at + 60 * SEC);
    let held: usize = sim.nodes.iter().map(|n| n.owner.bucket_count()).sum();
    assert_eq!(held, 0, "a bucket of an account that is full again");
}

/// An owner in a fleet of one, whose only voter is itself.
struct SingleOwner {
    owner: Owner,
    placement: Placement,
    allowances: Allowances,
}

impl SingleOwner {
    fn new(limit: Allowance) -> SingleOwner {
        let info = NodeInfo {
            id: NodeId(1),
            addr: "127.0.0.1:7000".parse().unwrap(),
            zone: "zone-0".parse().unwrap(),
        };
        let mut placement = Placement::new(info.id);
        placement.set_members(&[info], |_| true);
        let mut allowances = Allowances::default();
        allowances.0.insert(name(0), limit);
        SingleOwner {
            owner: Owner::new(NodeId(1)),
            placement,
            allowances,
        }
    }

    fn renew(&mut self, now: Time) {
        let shards = [Shard::of(&name(0))];
        let claims = self.owner.claims(now, &self.placement, shards);
        for (voter, claim) in claims {
            let Claim { sent, length, .. } = claim;
            let vote = laburnumtide::limit::LeaseVote {
                sent,
                length,
                granted: claim.claim,
                ..Default::default()
            };
            self.owner.record_vote(now, &self.placement, voter, &vote);
        }
    }

    /// Renews the lease periodically until `to`.
    fn renew_until(&mut self, from: Time, to: Time) {
        let mut now = from;
        while now < to {
            self.renew(now);
            now = now + Duration::from_millis(100);
        }
    }

    /// Requests credit for a node and returns the tokens that it may spend at once.
    fn request_credit(&mut self, now: Time, node: u64, waiting: u32) -> u64 {
        let request = CreditRequest {
            account: name(0),
            credit: 1,
            serial: 0,
            sent: now,
            spent: 0,
            returned: 0,
            waiting,
            demand: 0,
            close: false,
            relay: false,
        };
        let CreditResponse { result, .. } = self.owner.serve(
            now,
            &self.placement,
            NodeId(node),
            &request,
            &self.allowances,
        );
        match result {
            CreditResult::Grant(grant) => grant.spendable,
            CreditResult::NotOwner(_) => panic!("the lease is lost"),
        }
    }
}

/// Guards against a changed rate or burst that yields tokens which were never minted.
#[test]
fn changed_limit_mints_no_burst() {
    let at = |secs: u64| Time::from_millis(secs * 1_000);
    for has_bucket in [true, false] {
        let (old, new) = (allowance(10, 20), allowance(10, 1_000));
        let mut single = SingleOwner::new(old);
        single.renew_until(at(100), at(110));
        if has_bucket {
            assert_eq!(single.request_credit(at(110), 2, 0), 0);
        }
        single.allowances.0.insert(name(0), new);
        single.owner.set_allowance(at(110), &name(0), old, new);
        assert!(single.request_credit(at(110), 3, 500) <= 20);
    }
}

/// Guards against refusals of small accounts, whose burst of 20 tokens is little more than one per
/// node.
#[test]
fn small_accounts_served() {
    let plan = Plan {
        rates: vec![20, 20, 10, 10],
        percent: vec![90; 4],
        ..deployment(18, 4, 90)
    };
    let worst = run_seeds(&plan, 8, 0, plan.span).worst();
    assert!(
        worst <= STEADY_BOUND,
        "{worst} in 1,000 at 20 and 10 a second"
    );
}
