//! The way of published health from gossip to the choice of targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnumtide::fleet::{
    Advertisement, Health, Member, NodeRecord, Push, TargetRecord, TargetState, Window,
};
use laburnumtide::node::ActiveConfig;
use laburnumtide::node::join::propagate_records;
use laburnumtide::node::links::Links;
use laburnumtide::node::targets::Targets;
use laburnumtide::node::view::FleetView;
use laburnumtide::prelude::*;
use laburnumtide::route::PickArgs;
use laburnumtide::wire::Secret;
use tokio::time::{Instant, sleep};

const ME: NodeId = NodeId(1);

/// Nodes with a target each.
const NODES: std::ops::RangeInclusive<u64> = 2..=5;

const FAILING: u64 = 3;

/// Time within which health that this node has received must act on its choices.
const APPLY_MAX: Duration = Duration::from_secs(1);

fn zone() -> ZoneName {
    "zone-1".parse().unwrap()
}

fn service() -> ServiceName {
    "records".parse().unwrap()
}

fn addr(node: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16))
}

fn health(failures: u32) -> Health {
    let window = |span_ms| Window {
        span_ms,
        requests: 100,
        failures,
        latency: vec![0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 100 - failures],
        ..Window::default()
    };
    Health {
        recent: window(2_000),
        long: window(10_000),
        worst: None,
    }
}

fn advertisement(node: u64, health_version: u64, failures: u32) -> Arc<Advertisement> {
    let target = TargetRecord {
        name: "t".parse().unwrap(),
        service: service(),
        addr: addr(node),
        slots: Slots(4),
        connections: 100,
        state: TargetState::Ready,
        health: health(failures),
    };
    Arc::new(Advertisement {
        addr: addr(node),
        started: 1,
        record: NodeRecord {
            node: NodeId(node),
            version: 1,
            health_version,
            zone: zone(),
            leaving: false,
            targets: vec![target],
        },
    })
}

/// An ingress whose choices follow the records in its view.
struct Ingress {
    view: Arc<FleetView>,
    targets: Arc<Targets>,
}

impl Ingress {
    fn spawn() -> Ingress {
        let member = Member {
            id: ME,
            addr: addr(1),
            zone: zone(),
        };
        let clock = Monotonic::new();
        let config = Arc::new(ActiveConfig::new());
        let view = Arc::new(FleetView::new(member, clock, config));
        let targets = Arc::new(Targets::new(clock, zone()));
        let secret = Secret::new(b"a secret of the test fleet").unwrap();
        let links = Arc::new(Links::new(ME, secret, Duration::from_secs(1)));
        tokio::spawn(propagate_records(view.clone(), targets.clone(), links));
        Ingress { view, targets }
    }

    fn receive(&self, records: Vec<Arc<Advertisement>>) {
        self.view.apply_push(&Push { records });
    }

    /// Returns how many of 200 requests each node gets.
    fn picks(&self) -> Vec<(u64, usize)> {
        let args = PickArgs {
            service: &service(),
            kind: "",
            idempotent: false,
            tried: &[],
            fast_refusal: false,
        };
        let picks: Vec<u64> = (0..200)
            .filter_map(|_| self.targets.pick(&args))
            .map(|pick| pick.id.node.0)
            .collect();
        let count = |node| picks.iter().filter(|p| **p == node).count();
        NODES.map(|node| (node, count(node))).collect()
    }

    /// Waits until the share of the failing node meets `expected`.
    async fn wait_for(&self, expected: impl Fn(usize) -> bool) {
        let deadline = Instant::now() + APPLY_MAX;
        loop {
            let picks = self.picks();
            let (_, failing) = picks[(FAILING - NODES.start()) as usize];
            if expected(failing) && picks.iter().map(|p| p.1).sum::<usize>() == 200 {
                return;
            }
            assert!(Instant::now() < deadline, "picks by node: {picks:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against changes of health that reach the table of records but not the balancer.
#[tokio::test]
async fn health_alone_ejects() {
    let ingress = Ingress::spawn();
    ingress.receive(NODES.map(|node| advertisement(node, 1, 0)).collect());
    ingress.wait_for(|picks| picks > 0).await;
    ingress.receive(vec![advertisement(FAILING, 2, 100)]);
    ingress.wait_for(|picks| picks == 0).await;
}

/// Guards against a balancer that lets older health take the place of newer health.
#[tokio::test]
async fn late_health_ignored() {
    let ingress = Ingress::spawn();
    ingress.receive(NODES.map(|node| advertisement(node, 2, 0)).collect());
    ingress.wait_for(|picks| picks > 0).await;
    let late = advertisement(FAILING, 1, 100);
    ingress.targets.update_node(late.addr, &late.record);
    ingress.wait_for(|picks| picks > 0).await;
}
