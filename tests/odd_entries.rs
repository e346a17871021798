//! Odd entries among those of the targets: they are skipped, and the others hold.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use laburnumtide::fleet::{
    Advertisement, Health, NodeRecord, Push, SLOTS_MAX, TARGETS_MAX, TargetRecord, TargetState,
};
use laburnumtide::ids::NodeId;
use laburnumtide::node::local::{AnnounceResult, Announcement, LocalTargets};
use laburnumtide::time::Monotonic;
use laburnumtide::units::Slots;
use laburnumtide::wire::gossip::GossipMessage;
use proptest::prelude::*;

const ADDRESS: &str = "127.0.0.9:7100";

fn target(name: &str, slots: u32) -> TargetRecord {
    TargetRecord {
        name: name.parse().unwrap(),
        service: "ovens".parse().unwrap(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        slots: Slots(slots),
        connections: 10,
        state: TargetState::Ready,
        health: Health::default(),
    }
}

fn record(node: u64, addr: &str, targets: Vec<TargetRecord>) -> Arc<Advertisement> {
    Arc::new(Advertisement {
        addr: addr.parse().unwrap(),
        started: 1,
        record: NodeRecord {
            node: NodeId(node),
            version: 1,
            health_version: 1,
            zone: "a".parse().unwrap(),
            leaving: false,
            targets,
        },
    })
}

fn encode(records: Vec<Arc<Advertisement>>) -> Vec<u8> {
    GossipMessage::Push(Push { records }).encode().to_vec()
}

fn decode(bytes: Vec<u8>) -> Vec<Arc<Advertisement>> {
    match GossipMessage::decode(bytes.into()) {
        Ok(GossipMessage::Push(push)) => push.records,
        other => panic!("{other:?}"),
    }
}

fn replace(bytes: &mut [u8], old: &str, new: &str) {
    assert_eq!(old.len(), new.len());
    let found = bytes.windows(old.len()).position(|w| w == old.as_bytes());
    let at = found.expect("the text is in the message");
    bytes[at..at + old.len()].copy_from_slice(new.as_bytes());
}

/// Guards against a node that stops following all others because of one record that it can't read.
#[test]
fn unreadable_record_skipped() {
    for odd in [
        "127.0.0.9:71x0",
        "127.0.0.9:-100",
        "127.0.0.9:7\0\0\0",
        "999999999:7100",
    ] {
        let other = record(2, "127.0.0.2:7100", vec![target("b", 3)]);
        let mut bytes = encode(vec![record(1, ADDRESS, Vec::new()), other.clone()]);
        replace(&mut bytes, ADDRESS, odd);
        assert_eq!(decode(bytes), [other], "{odd}");
    }
}

/// Guards against a target that hides the others on its VM, and against a number of slots that
/// makes the capacity of a service overflow.
#[test]
fn odd_target_skipped() {
    let targets = vec![
        target("a", u32::MAX),
        target("b", SLOTS_MAX),
        target("c", SLOTS_MAX + 1),
    ];
    let decoded = decode(encode(vec![record(1, ADDRESS, targets)]));
    assert_eq!(decoded[0].record.targets, [target("b", SLOTS_MAX)]);
}

fn announcement(name: &str, port: u16) -> Announcement {
    Announcement {
        name: name.parse().unwrap(),
        service: "ovens".parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        slots: Slots(3),
        connections: 6,
        started_ms_ago: 0,
        draining: false,
        load: 0.0,
        incarnation: Some(1),
        sequence: Some(1),
        cold_ms: Some(0),
    }
}

/// Guards against a node whose record is too long for the others to read.
#[tokio::test]
async fn targets_are_bounded() {
    let zone = "a".parse().unwrap();
    let timeout = Duration::from_secs(1);
    let local = LocalTargets::new(NodeId(1), zone, Monotonic::new(), timeout);
    let announce = |i: usize| local.announce(&announcement(&format!("t{i}"), 9_000 + i as u16));
    for i in 0..TARGETS_MAX {
        assert_eq!(announce(i), AnnounceResult::Accepted);
    }
    assert_eq!(announce(TARGETS_MAX), AnnounceResult::Full);
    let again = Announcement {
        sequence: Some(2),
        ..announcement("t0", 9_000)
    };
    assert_eq!(local.announce(&again), AnnounceResult::Accepted);
    let own = local.records().borrow().targets.clone();
    assert_eq!(
        decode(encode(vec![record(1, ADDRESS, own.clone())]))[0]
            .record
            .targets,
        own
    );
}

/// Guards against announcements with absurd numbers.
#[test]
fn ranges_checked() {
    let valid = announcement("a", 9_000);
    assert!(valid.check().is_ok());
    let rows = [
        Announcement {
            slots: Slots(0),
            ..valid.clone()
        },
        Announcement {
            slots: Slots(u32::MAX),
            ..valid.clone()
        },
        Announcement {
            connections: 0,
            ..valid.clone()
        },
        Announcement {
            connections: u32::MAX,
            ..valid.clone()
        },
        announcement("a", 0),
        Announcement {
            address: ([0, 0, 0, 0], 80).into(),
            ..valid.clone()
        },
    ];
    for row in rows {
        assert!(row.check().is_err(), "{row:?}");
    }
    let late = Announcement {
        started_ms_ago: u64::MAX,
        incarnation: Some(u64::MAX),
        sequence: Some(u64::MAX),
        cold_ms: Some(u64::MAX),
        ..valid
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let zone = "a".parse().unwrap();
        let local = LocalTargets::new(NodeId(1), zone, Monotonic::new(), Duration::from_secs(1));
        assert_eq!(local.announce(&late), AnnounceResult::Accepted);
        local.tick();
    });
}

/// Guards against a target that is moved to another service or address by an announcement that doesn't
/// show a later start (review/3: a target ran the requests of another service).
#[tokio::test]
async fn foreign_announcements() {
    let other = |a: &Announcement| Announcement {
        service: "mills".parse().unwrap(),
        ..a.clone()
    };
    let moved = |a: &Announcement| Announcement {
        address: ([127, 0, 0, 1], 9_001).into(),
        ..a.clone()
    };
    for incarnation in [Some(1), None] {
        let zone = "a".parse().unwrap();
        let local = LocalTargets::new(NodeId(1), zone, Monotonic::new(), Duration::from_secs(1));
        let own = Announcement {
            incarnation,
            ..announcement("a", 9_000)
        };
        assert_eq!(local.announce(&own), AnnounceResult::Accepted);
        let before = local.get(&own.name).unwrap();
        let later = Announcement {
            sequence: Some(9),
            ..own.clone()
        };
        let unknown_run = Announcement {
            incarnation: None,
            ..later.clone()
        };
        for odd in [&later, &unknown_run]
            .into_iter()
            .flat_map(|a| [other(a), moved(a)])
        {
            assert_eq!(local.announce(&odd), AnnounceResult::Stale, "{odd:?}");
        }
        let next = Announcement {
            sequence: Some(2),
            ..own.clone()
        };
        assert_eq!(local.announce(&next), AnnounceResult::Accepted);
        let after = local.get(&own.name).unwrap();
        assert!(Arc::ptr_eq(&before, &after));
        assert_eq!(local.records().borrow().targets[0].service, own.service);
    }
}

/// Guards against a target without a start time that counts as started anew with each announcement,
/// and so loses its queue.
#[tokio::test]
async fn run_without_start_time() {
    let zone = "a".parse().unwrap();
    let local = LocalTargets::new(NodeId(1), zone, Monotonic::new(), Duration::from_secs(1));
    let own = |sequence, started_ms_ago| Announcement {
        started_ms_ago,
        incarnation: None,
        sequence: Some(sequence),
        ..announcement("a", 9_000)
    };
    let first = own(1, 1_500);
    local.announce(&first);
    let before = local.get(&first.name).unwrap();
    assert_eq!(local.announce(&own(2, 0)), AnnounceResult::Accepted);
    let after = local.get(&first.name).unwrap();
    assert!(Arc::ptr_eq(&before, &after));
}

proptest! {
    /// Guards against bytes that end a process or hide what is readable.
    #[test]
    fn any_bytes(
        at in 0_usize..400, value in any::<u8>(), cut in 0_usize..400, noise in any::<[u8; 64]>(),
    ) {
        let records = vec![record(1, ADDRESS, vec![target("a", 3); 3]), record(2, ADDRESS, Vec::new())];
        let mut bytes = encode(records);
        let at = at % bytes.len();
        bytes[at] = value;
        let _ = GossipMessage::decode(bytes.clone().into());
        bytes.truncate(cut);
        let _ = GossipMessage::decode(bytes.into());
        let _ = GossipMessage::decode(Bytes::copy_from_slice(&noise));
    }
}
