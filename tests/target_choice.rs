//! The choice among the targets of a service by what an ingress knows of them.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::admission::Load;
use laburnumtide::fleet::{Health, NodeRecord, TargetRecord, TargetState};
use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;
use laburnumtide::route::{Balancer, Choice, PickArgs};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Time = Time::from_millis(3_600_000);

fn service() -> ServiceName {
    "records".parse().unwrap()
}

fn target_id(node: u64) -> TargetId {
    TargetId {
        node: NodeId(node),
        name: "t".parse().unwrap(),
    }
}

fn record(node: u64) -> NodeRecord {
    NodeRecord {
        node: NodeId(node),
        version: 1,
        health_version: 1,
        zone: "zone-1".parse().unwrap(),
        leaving: false,
        targets: vec![TargetRecord {
            name: target_id(node).name,
            service: service(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16)),
            slots: Slots(4),
            connections: 100,
            state: TargetState::Ready,
            health: Health::default(),
        }],
    }
}

/// Returns an ingress with `count` targets.
fn balancer(count: u64) -> Balancer {
    let mut balancer = Balancer::new("zone-1".parse().unwrap());
    for node in 1..=count {
        balancer.update(START, &record(node));
    }
    balancer
}

/// Guards against a panic when targets report service times below the resolution of a load.
#[test]
fn zero_service_time() {
    let mut balancer = balancer(3);
    let mut rng = SmallRng::seed_from_u64(1);
    let load = Load {
        slots: 4,
        service_time: Duration::ZERO,
        ..Load::default()
    };
    for node in 1..=3 {
        balancer.observe(START, &target_id(node), load, None);
    }
    for _ in 0..100 {
        assert!(balancer.pick(START, &service(), &[], &mut rng).is_some());
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn choose(balancer: &mut Balancer, now: Time, tried: &[TargetId], seed: u64) -> Choice {
    let args = PickArgs {
        service: &service(),
        kind: "",
        idempotent: false,
        tried,
        fast_refusal: true,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    balancer.choose(now, &args, &mut rng).unwrap()
}

/// Returns the share of 200 choices that go to `node`.
fn share(balancer: &mut Balancer, now: Time, node: u64) -> f64 {
    let chosen = |seed| choose(balancer, now, &[], seed).target == target_id(node);
    (0..200).map(chosen).filter(|is_chosen| *is_chosen).count() as f64 / 200.0
}

/// Guards against requests that learn one after the other what an egress has stated already.
#[test]
fn refusal_remembered() {
    for reason in [Reason::Suspect, Reason::Busy] {
        let mut balancer = balancer(4);
        assert!(share(&mut balancer, START, 1) > 0.1);
        balancer.refused(START, &target_id(1), &Refusal::after(reason, ms(500)));
        assert_eq!(share(&mut balancer, START + ms(499), 1), 0.0, "{reason}");
        assert!(share(&mut balancer, START + ms(500), 1) > 0.1, "{reason}");
    }
}

/// Guards against a target that stays avoided although it serves requests again.
#[test]
fn served_target_used() {
    let mut balancer = balancer(4);
    balancer.refused(
        START,
        &target_id(1),
        &Refusal::after(Reason::Suspect, ms(900)),
    );
    balancer.served(&target_id(1));
    assert!(share(&mut balancer, START + ms(10), 1) > 0.1);
}

/// Guards against attempts at one busy target after the other while all are known to be busy.
#[test]
fn busy_everywhere_queues() {
    let mut balancer = balancer(4);
    for (node, delay) in [(1, 300), (2, 100), (3, 200)] {
        balancer.refused(
            START,
            &target_id(node),
            &Refusal::after(Reason::Busy, ms(delay)),
        );
    }
    balancer.refused(
        START,
        &target_id(4),
        &Refusal::after(Reason::Suspect, ms(50)),
    );
    let first = choose(&mut balancer, START, &[], 1);
    assert_eq!((first.target, first.queue), (target_id(2), true));
    let next = choose(&mut balancer, START, &[target_id(2)], 1);
    assert_eq!((next.target, next.queue), (target_id(3), true));
}

/// Guards against a refusal that keeps a target away for long, whatever the egress stated.
#[test]
fn hold_is_bounded() {
    let mut balancer = balancer(4);
    balancer.refused(
        START,
        &target_id(1),
        &Refusal::after(Reason::Suspect, ms(60_000)),
    );
    assert!(share(&mut balancer, START + ms(1_000), 1) > 0.1);
}
