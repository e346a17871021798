//! The choice among the targets of a service by what an ingress knows of them.

use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::admission::Load;
use laburnumtide::fleet::{Health, NodeRecord, TargetRecord, TargetState};
use laburnumtide::prelude::*;
use laburnumtide::route::Balancer;
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
