//! The traffic of gossip in fleets of any size.

use std::time::Duration;

use laburnumtide::fleet::gossip::GOSSIP_INTERVAL;
use laburnumtide::fleet::{
    Advertisement, Departure, Gossip, GossipRequest, Health, Member, NodeRecord, Push,
    RegistryChange, TargetRecord, TargetRun, TargetState, Window,
};
use laburnumtide::ids::NodeId;
use laburnumtide::time::Time;
use laburnumtide::units::{Position, Slots};
use laburnumtide::wire::gossip::GossipMessage;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Traffic of a node's control work in bytes per second, at every size of the fleet.
const BUDGET: f64 = 20_000.0;

/// Nodes in an availability zone of the fleets.
const ZONE_NODES: usize = 60;

/// Health changes of a target per second while it serves requests.
const CHANGE_RATE: f64 = 0.4;

/// Length of the measurement.
const ROUNDS: u32 = 25;

struct Fleet {
    nodes: Vec<Gossip>,
    /// Bytes sent within zones and between zones.
    bytes: [usize; 2],
}

fn zone(i: usize) -> usize {
    i / ZONE_NODES
}

fn member(i: usize) -> Member {
    Member {
        id: NodeId(i as u64 + 1),
        addr: format!("10.0.{}.{}:7000", i / 250, i % 250)
            .parse()
            .unwrap(),
        zone: format!("zone-{}", zone(i)).parse().unwrap(),
    }
}

fn advertisement(i: usize, health_version: u64) -> Advertisement {
    let window = Window {
        span_ms: 10_000,
        requests: 40 + health_version as u32,
        failures: 2,
        timeouts: 1,
        truncated: 0,
        latency: vec![0, 0, 0, 0, 0, 3, 4, 8, 6, 1, 5, 1],
    };
    let target = TargetRecord {
        name: format!("i-{i:010}").parse().unwrap(),
        service: "records".parse().unwrap(),
        addr: "10.0.1.2:8000".parse().unwrap(),
        slots: Slots(8),
        connections: 5_400,
        state: TargetState::Ready,
        health: Health {
            recent: window.clone(),
            long: window,
            worst: None,
        },
    };
    let member = member(i);
    Advertisement {
        addr: member.addr,
        started: 1_000,
        record: NodeRecord {
            node: member.id,
            version: 1,
            health_version,
            zone: member.zone,
            leaving: false,
            targets: vec![target],
        },
    }
}

impl Fleet {
    /// Starts all nodes at once, each with one target.
    fn start(count: usize) -> Fleet {
        let change = RegistryChange {
            joined: (0..count).map(member).collect(),
            ..RegistryChange::default()
        };
        let start = |i: usize| {
            let mut gossip = Gossip::new(member(i).id);
            gossip.apply(Position(1), Some(&change)).unwrap();
            gossip.publish(advertisement(i, 1));
            gossip
        };
        Fleet {
            nodes: (0..count).map(start).collect(),
            bytes: [0; 2],
        }
    }

    fn count(&mut self, i: usize, j: usize, message: &GossipMessage) {
        self.bytes[usize::from(zone(i) != zone(j))] += message.encode().len();
    }

    fn round(&mut self, now: Time, rng: &mut StdRng) {
        let mut requests = Vec::new();
        for i in 0..self.nodes.len() {
            for peer in self.nodes[i].peers(rng) {
                let j = peer.id.0 as usize - 1;
                requests.push((i, j, self.nodes[i].request(now, &peer)));
            }
        }
        for (i, j, request) in requests {
            let response = self.nodes[j].respond(now, &request);
            let push = self.nodes[i].receive(now, &response);
            self.count(i, j, &GossipMessage::Request(request));
            self.count(j, i, &GossipMessage::Response(response));
            if let Some(push) = push {
                self.nodes[j].receive_push(&push);
                self.count(i, j, &GossipMessage::Push(Push::clone(&push)));
            }
        }
    }

    /// Returns the bytes that a node has sent per second, within zones and between zones, in
    /// `rounds` rounds.
    fn take_rates(&mut self, rounds: u32) -> [f64; 2] {
        let seconds = (GOSSIP_INTERVAL * rounds).as_secs_f64();
        let nodes = self.nodes.len() as f64;
        std::mem::take(&mut self.bytes).map(|bytes| bytes as f64 / nodes / seconds)
    }
}

/// Guards against health changes whose gossip fills the links of a large fleet.
#[test]
fn health_changes_within_budget() {
    for count in [30, 100, 354, 560] {
        let mut rng = StdRng::seed_from_u64(1);
        let mut fleet = Fleet::start(count);
        let mut now = Time::from_millis(3_600_000);
        for _ in 0..ROUNDS {
            fleet.round(now, &mut rng);
            now = now + GOSSIP_INTERVAL;
        }
        let start = fleet.take_rates(ROUNDS);
        let chance = CHANGE_RATE * GOSSIP_INTERVAL.as_secs_f64();
        let mut versions = vec![1; count];
        for _ in 0..ROUNDS {
            for (i, version) in versions.iter_mut().enumerate() {
                if rng.random_bool(chance) {
                    *version += 1;
                    fleet.nodes[i].publish(advertisement(i, *version));
                }
            }
            fleet.round(now, &mut rng);
            now = now + GOSSIP_INTERVAL;
        }
        let load = fleet.take_rates(ROUNDS);
        println!(
            "{count} nodes, bytes/s of a node in and between zones: start {start:.0?}, load {load:.0?}"
        );
        let total = load[0] + load[1];
        assert!(total <= BUDGET, "{count} nodes: {total:.0} bytes/s");
    }
}

/// Guards against a start of the whole fleet that fills the links of its nodes.
#[test]
fn start_within_budget() {
    for count in [30, 100, 354, 560] {
        let mut rng = StdRng::seed_from_u64(2);
        let mut fleet = Fleet::start(count);
        let mut now = Time::from_millis(3_600_000);
        let rounds = (Duration::from_secs(10).as_millis() / GOSSIP_INTERVAL.as_millis()) as u32;
        for _ in 0..rounds {
            fleet.round(now, &mut rng);
            now = now + GOSSIP_INTERVAL;
        }
        let rates = fleet.take_rates(rounds);
        println!("{count} nodes, bytes/s of a node in and between zones: {rates:.0?}");
        let held = fleet.nodes.iter().map(|n| n.records().iter().len());
        assert_eq!(held.min(), Some(count), "a node lacks records after 10 s");
        let total = rates[0] + rates[1];
        assert!(total <= BUDGET, "{count} nodes: {total:.0} bytes/s");
    }
}

/// Guards against departures that cost traffic while no target leaves, or more than a node record
/// without health when one does.
#[test]
fn departure_size() {
    let mut fleet = Fleet::start(30);
    let mut request = fleet.nodes[0].request(Time::from_millis(1_000), &member(1));
    let size = |request: &GossipRequest| GossipMessage::Request(request.clone()).encode().len();
    let without = size(&request);
    request.departures = vec![Departure {
        run: TargetRun {
            vm: member(0).addr,
            name: "i-0000000001".parse().unwrap(),
            incarnation: 1_796_457_600_000,
        },
        age: Duration::from_secs(1),
    }];
    let added = size(&request) - without;
    println!("a departure adds {added} bytes to a gossip request");
    assert!(added <= 64);
}
