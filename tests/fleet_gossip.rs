//! The spread of node records, digests, and the size of gossip messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use laburnumtide::fleet::gossip::{GOSSIP_FANOUT, GOSSIP_INTERVAL};
use laburnumtide::fleet::{
    Advertisement, Gossip, GossipRequest, GossipResponse, Health, KindHealth, Member, NodeRecord,
    Push, Records, RegistryChange, RelayedEntry, RequestStamp, Scope, TargetRecord, TargetState,
    Window,
};
use laburnumtide::ids::NodeId;
use laburnumtide::time::Time;
use laburnumtide::units::{Position, Slots};
use laburnumtide::wire::gossip::GossipMessage;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const NODES: usize = 560;

fn member(i: usize) -> Member {
    Member {
        id: NodeId(i as u64 * 7_919 + 1),
        addr: format!("10.0.{}.{}:7000", i / 250, i % 250)
            .parse()
            .unwrap(),
        zone: format!("zone-{}", i % 9).parse().unwrap(),
    }
}

fn window() -> Window {
    Window {
        span_ms: 10_000,
        requests: 212,
        failures: 2,
        timeouts: 1,
        truncated: 0,
        latency: vec![0, 0, 0, 0, 0, 3, 40, 88, 61, 14, 5, 1],
    }
}

fn advertisement(i: usize, version: u64, targets: usize) -> Advertisement {
    let target = |t: usize| TargetRecord {
        name: format!("ordering-{t}").parse().unwrap(),
        service: format!("service-{}", (i + t) % 410).parse().unwrap(),
        addr: format!("10.0.1.2:{}", 8_000 + t).parse().unwrap(),
        slots: Slots(7),
        connections: 360,
        state: TargetState::Ready,
        health: Health {
            recent: window(),
            long: window(),
            worst: None,
        },
    };
    let member = member(i);
    Advertisement {
        addr: member.addr,
        started: 1_000,
        record: NodeRecord {
            node: member.id,
            version,
            health_version: 1,
            zone: member.zone,
            leaving: false,
            targets: (0..targets).map(target).collect(),
        },
    }
}

fn fleet(count: usize) -> Vec<Gossip> {
    let joined: Vec<Member> = (0..count).map(member).collect();
    let change = RegistryChange {
        joined,
        ..RegistryChange::default()
    };
    let start = |i: usize| {
        let mut gossip = Gossip::new(member(i).id);
        gossip.apply(Position(1), Some(&change)).unwrap();
        gossip.publish(advertisement(i, 1, 1));
        gossip
    };
    (0..count).map(start).collect()
}

fn pair(nodes: &mut [Gossip], a: usize, b: usize) -> (&mut Gossip, &mut Gossip) {
    let (low, high) = nodes.split_at_mut(a.max(b));
    match a < b {
        true => (&mut low[a], &mut high[0]),
        false => (&mut high[0], &mut low[b]),
    }
}

/// Runs one gossip round of every node; returns the bytes of all messages.
fn round(
    nodes: &mut [Gossip],
    now: Time,
    rng: &mut StdRng,
    is_up: impl Fn(usize) -> bool,
) -> usize {
    let mut bytes = 0;
    // All requests of a round are built before the first response arrives.
    let mut requests = Vec::new();
    for i in (0..nodes.len()).filter(|i| is_up(*i)) {
        for peer in nodes[i].peers(rng) {
            let j = ((peer.id.0 - 1) / 7_919) as usize;
            requests.push((i, j, nodes[i].request(now, &peer)));
        }
    }
    for (i, j, request) in requests.into_iter().filter(|(_, j, _)| is_up(*j)) {
        let (requester, other) = pair(nodes, i, j);
        let response = other.respond(now, &request);
        bytes += GossipMessage::Request(request).encode().len();
        if let Some(push) = requester.receive(now, &response) {
            other.receive_push(&push);
            bytes += GossipMessage::Push(push).encode().len();
        }
        bytes += GossipMessage::Response(response).encode().len();
    }
    bytes
}

fn same(nodes: &[Gossip]) -> bool {
    let hash = nodes[0].records().hash(Scope::WithoutHealth);
    nodes
        .iter()
        .all(|n| n.records().hash(Scope::WithoutHealth) == hash)
}

/// Guards against changes that spread too slowly, and against messages above the node's budget of
/// 20 kB/s for control traffic.
#[test]
fn change_spreads_within_budget() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut nodes = fleet(NODES);
    let mut now = Time::from_millis(3_600_000);
    while !same(&nodes) {
        round(&mut nodes, now, &mut rng, |_| true);
        now = now + GOSSIP_INTERVAL;
        assert!(
            now < Time::from_millis(3_660_000),
            "the start takes more than a minute"
        );
    }
    println!(
        "all records everywhere after {:?}",
        now.since(Time::from_millis(3_600_000))
    );
    // Updates from the start are announced for 2.4 s, which is 6 rounds.
    for _ in 0..7 {
        round(&mut nodes, now, &mut rng, |_| true);
        now = now + GOSSIP_INTERVAL;
    }
    let quiet = round(&mut nodes, now, &mut rng, |_| true);
    let exchanges = NODES * GOSSIP_FANOUT;
    // Each node sends the requests of its own exchanges and the responses of its peers' exchanges.
    let per_second = quiet as f64 / NODES as f64 / GOSSIP_INTERVAL.as_secs_f64();
    println!(
        "quiet exchange: {} bytes, {per_second:.0} bytes/s a node",
        quiet / exchanges
    );
    assert!(per_second < 20_000.0);

    nodes[17].publish(advertisement(17, 2, 13));
    let mut rounds = 0;
    let mut max_bytes = 0;
    let has_change = |n: &Gossip| n.records().get(member(17).id).unwrap().record.version == 2;
    while !nodes.iter().all(has_change) {
        max_bytes = max_bytes.max(round(&mut nodes, now, &mut rng, |_| true));
        now = now + GOSSIP_INTERVAL;
        rounds += 1;
        assert!(rounds < 5, "a change takes longer than 2 s");
    }
    let record = nodes[17].records().get(member(17).id).cloned();
    let record = GossipMessage::Push(Push {
        records: record.into_iter().collect(),
    })
    .encode();
    println!(
        "a record of 13 targets has {} bytes and spreads in {rounds} rounds",
        record.len()
    );
    println!("largest round: {} bytes a node", max_bytes / NODES);
}

/// Guards against a node that never receives changes which spread while it was partitioned.
#[test]
fn digest_finds_missed_records() {
    let mut rng = StdRng::seed_from_u64(4);
    let mut nodes = fleet(20);
    let mut now = Time::from_millis(3_600_000);
    for pass in 0..200 {
        if pass == 20 {
            (0..20).for_each(|i| nodes[i].publish(advertisement(i, 2, 1)));
        }
        round(&mut nodes, now, &mut rng, |i| {
            i != 5 || !(20..150).contains(&pass)
        });
        now = now + GOSSIP_INTERVAL;
    }
    assert!(same(&nodes));
    let held = nodes[5].records().iter().all(|p| p.record.version == 2);
    assert!(held);
}

/// Guards against a delayed record of a dead process that replaces the record of its successor.
#[test]
fn successor_replaces_record() {
    let mut records = Records::new(NodeId(999_999_999));
    let old = advertisement(1, 50, 1);
    let mut new = advertisement(1, 1, 1);
    new.record.node = NodeId(77);
    new.started = 2_000;
    assert!(records.merge(old.clone()));
    assert!(records.merge(new));
    assert!(!records.merge(old.clone()));
    assert!(records.get(old.record.node).is_none());
    assert_eq!(records.iter().len(), 1);
}

/// Guards against records of nodes that the registry removed, and against a peer that changes a
/// node's own record.
#[test]
fn removed_record_is_rejected() {
    let mut nodes = fleet(3);
    let (requester, other) = pair(&mut nodes, 0, 1);
    let now = Time::from_millis(3_600_000);
    let request = requester.request(now, &member(1));
    let response = other.respond(now, &request);
    let push = requester.receive(now, &response).unwrap();
    other.receive_push(&push);
    assert!(other.records().get(member(0).id).is_some());
    let change = RegistryChange {
        left: vec![member(0).id],
        ..RegistryChange::default()
    };
    other.apply(Position(2), Some(&change)).unwrap();
    assert!(other.records().get(member(0).id).is_none());
    assert!(other.respond(now, &request).requested.is_empty());
    other.receive_push(&push);
    assert!(other.records().get(member(0).id).is_none());
    let mut own = Records::new(member(1).id);
    assert!(!own.merge(advertisement(1, 9, 1)));
}

fn response() -> GossipResponse {
    let mut nodes = fleet(4);
    let now = Time::from_millis(3_600_000);
    let request = nodes[0].request(now, &member(1));
    let mut response = nodes[1].respond(now + Duration::from_millis(30), &request);
    response.records = vec![Arc::new(full_record())];
    response.requested = vec![NodeId(3)];
    response.entries = vec![RelayedEntry {
        position: Position(2),
        entry: Bytes::from_static(b"entry"),
    }];
    response
}

fn full_record() -> Advertisement {
    let mut full = advertisement(2, 3, 2);
    full.record.leaving = true;
    full.record.targets[1].state = TargetState::Draining;
    full.record.targets[1].health.long = Window::default();
    full.record.targets[0].health.worst = Some(KindHealth {
        kind: "checkout".into(),
        requests: 20,
        errors: 11,
    });
    full
}

/// Guards against fields that are lost or changed in the encoding.
#[test]
fn messages_round_trip() {
    let request = GossipRequest {
        stamp: RequestStamp {
            from: NodeId(9),
            sent: Time(12_345),
        },
        position: Position(8),
        hash: 77,
        updates: fleet(2)[0].records().digest(Scope::WithHealth),
        digest: Some(fleet(3)[1].records().digest(Scope::WithHealth)),
        without_entries: true,
        scope: Scope::WithHealth,
        without_updates: true,
        departures: Vec::new(),
    };
    let push = Push {
        records: vec![Arc::new(full_record())],
    };
    for message in [
        GossipMessage::Request(request),
        GossipMessage::Response(response()),
        GossipMessage::Push(push),
        GossipMessage::EntriesRequest(Position(8)),
        GossipMessage::Entries(response().entries),
    ] {
        let decoded = GossipMessage::decode(message.encode()).unwrap();
        assert_eq!(decoded, message);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Guards against a panic on corrupt bytes, and against a freshness proof that such a message
    /// extends beyond its lifetime.
    #[test]
    fn damaged_messages_do_not_panic(at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = GossipMessage::Response(response()).encode().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Ok(GossipMessage::Response(response)) = GossipMessage::decode(bytes.into()) {
            let now = Time::from_millis(3_700_000);
            let mut gossip = fleet(4).swap_remove(0);
            gossip.receive(now, &response);
            prop_assert!(gossip.proof().expires() < Time::from_millis(3_704_000));
        }
    }
}
