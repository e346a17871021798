//! The registry, its changes, the failure detector and the acceptance of entries.

use std::time::Duration;

use laburnumtide::fleet::{
    AckTracker, CHANGE_INTERVAL, Heartbeat, Member, MembershipTable, ProbeAck, REMOVAL_TIMEOUT,
    Registry, RegistryChange, RegistryLog,
};
use laburnumtide::freshness::PROOF_LIFETIME_MAX;
use laburnumtide::ids::NodeId;
use laburnumtide::time::Time;
use laburnumtide::units::Position;

const START: Time = Time::from_millis(3_600_000);

fn member(id: u64, port: u16) -> Member {
    Member {
        id: NodeId(id),
        addr: format!("127.0.0.1:{port}").parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
    }
}

fn heartbeat(received: Time, m: &Member) -> Heartbeat {
    Heartbeat {
        received,
        id: m.id,
        addr: m.addr,
        leaving: false,
    }
}

fn joins(members: &[Member]) -> RegistryChange {
    RegistryChange {
        joined: members.to_vec(),
        ..RegistryChange::default()
    }
}

fn probe(started: Time, member: Member) -> ProbeAck {
    ProbeAck { started, member }
}

/// Guards against a registry with an unknown, duplicate or conflicting node, and against a change
/// that is applied out of order.
#[test]
fn invalid_changes_are_rejected() {
    let two = Registry::new()
        .with_change(&joins(&[member(1, 1), member(2, 2)]))
        .unwrap();
    let leaves = |id| RegistryChange {
        left: vec![NodeId(id)],
        ..RegistryChange::default()
    };
    assert!(two.with_change(&leaves(3)).is_err());
    assert!(two.with_change(&joins(&[member(2, 9)])).is_err());
    assert!(two.with_change(&joins(&[member(3, 2)])).is_err());
    let swap = RegistryChange {
        joined: vec![member(3, 2)],
        left: vec![NodeId(2)],
        ..RegistryChange::default()
    };
    assert_eq!(
        two.with_change(&swap).unwrap().ids(),
        [NodeId(1), NodeId(3)]
    );
    let mut log = RegistryLog::default();
    log.apply(Position(4), &joins(&[member(1, 1)])).unwrap();
    assert!(log.apply(Position(4), &joins(&[member(2, 2)])).is_err());
    assert!(log.before(Position(4)).members().is_empty());
    assert_eq!(log.at(Position(4)).members().len(), 1);
}

/// Guards against half of the nodes counting as a majority.
#[test]
fn half_is_no_majority() {
    let four = Registry::new();
    let four = four.with_change(&joins(&[
        member(1, 1),
        member(2, 2),
        member(3, 3),
        member(4, 4),
    ]));
    let four = four.unwrap();
    assert!(!four.is_majority(|id| id.0 <= 2));
    assert!(four.is_majority(|id| id.0 <= 3));
}

/// Guards against a live process that is marked dead by the late probe response of its predecessor.
#[test]
fn late_probe_proves_nothing() {
    let at = |ms| START + Duration::from_millis(ms);
    let mut table = MembershipTable::default();
    assert_eq!(table.record_probe(at(10), probe(at(0), member(1, 1))), None);
    assert_eq!(
        table.record_probe(at(30), probe(at(20), member(2, 1))),
        Some(NodeId(1))
    );
    assert_eq!(
        table.record_probe(at(50), probe(at(25), member(1, 1))),
        None
    );
    assert_eq!(
        table.record_probe(at(70), probe(at(60), member(2, 1))),
        None
    );
}

/// Guards against a live process that is marked dead because the registry change with its
/// predecessor commits after the leader has probed it.
#[test]
fn late_commit_marks_predecessor_dead() {
    let at = |ms| START + Duration::from_millis(ms);
    let mut table = MembershipTable::default();
    table.record_probe(at(10), probe(at(0), member(1, 1)));
    let change = table.propose(at(600), &Registry::new()).unwrap();
    assert_eq!(
        table.record_probe(at(640), probe(at(630), member(2, 1))),
        Some(NodeId(1))
    );
    let registry = Registry::new().with_change(&change).unwrap();
    assert_eq!(table.apply_registry(at(650), &registry), [NodeId(1)]);
    assert_eq!(
        table.record_probe(at(670), probe(at(660), member(2, 1))),
        None
    );
    let next = table.propose(at(650) + CHANGE_INTERVAL, &registry).unwrap();
    let swap = RegistryChange {
        joined: vec![member(2, 1)],
        left: vec![NodeId(1)],
        ..RegistryChange::default()
    };
    assert_eq!(next, swap);
}

/// Guards against a new leader that never marks processes of older registry versions as dead.
#[test]
fn new_leader_detects_dead_processes() {
    let mut table = MembershipTable::default();
    let first = Registry::new()
        .with_change(&joins(&[member(1, 1), member(2, 2)]))
        .unwrap();
    let swap = RegistryChange {
        joined: vec![member(3, 2)],
        left: vec![NodeId(2)],
        ..RegistryChange::default()
    };
    let second = first.with_change(&swap).unwrap();
    assert_eq!(table.apply_registry(START, &first), []);
    assert_eq!(table.apply_registry(START, &second), [NodeId(2)]);
}

/// Guards against one registry change per restart, and against lost VMs that stay registered and
/// count toward majorities.
#[test]
fn changes_are_batched() {
    let mut table = MembershipTable::default();
    let mut registry = Registry::new();
    let (mut changes, mut demotions) = (0, 0);
    for second in 0..100 {
        let now = START + Duration::from_secs(second);
        for port in 1..20 {
            // One node is lost; another restarts each second.
            let is_lost = port == 1 && second > 10;
            let id = if port == 2 {
                1_000 + second
            } else {
                u64::from(port)
            };
            if !is_lost {
                table.record_probe(now, probe(now, member(id, port)));
            }
        }
        if let Some(change) = table.propose(now, &registry) {
            registry = registry.with_change(&change).unwrap();
            table.apply_registry(now, &registry);
            match change.demoted.as_slice() {
                [] => changes += 1,
                // The demotion of the lost node does not wait for the next batch.
                demoted => {
                    assert_eq!(demoted, [NodeId(1)]);
                    demotions += 1;
                }
            }
        }
        let idle = now.since(START + Duration::from_secs(10));
        let is_registered = second >= 2;
        if is_registered && idle < REMOVAL_TIMEOUT {
            assert!(registry.get(NodeId(1)).is_some(), "{second}");
        } else if idle >= REMOVAL_TIMEOUT + CHANGE_INTERVAL {
            assert!(registry.get(NodeId(1)).is_none(), "{second}");
        }
    }
    assert_eq!((changes, demotions), (20, 1));
    assert_eq!(registry.members().len(), 18);
}

/// Guards against acceptance without a majority of the registry before the entry.
#[test]
fn acceptance_needs_both_majorities() {
    let mut log = RegistryLog::default();
    log.apply(
        Position(1),
        &joins(&[member(1, 1), member(2, 2), member(3, 3)]),
    )
    .unwrap();
    let swap = RegistryChange {
        joined: vec![member(5, 2), member(6, 3)],
        left: vec![NodeId(2), NodeId(3)],
        ..RegistryChange::default()
    };
    log.apply(Position(2), &swap).unwrap();
    let mut acks = AckTracker::new(Position(0));
    let last = Position(3);
    for id in [1, 5, 6] {
        acks.ack(NodeId(id), Position(3));
    }
    assert_eq!(acks.advance(START, &log, last), Position(0));
    acks.ack(NodeId(2), Position(1));
    assert_eq!(acks.advance(START, &log, last), Position(1));
    // A late acknowledgement of an earlier position has no effect.
    acks.ack(NodeId(1), Position(0));
    acks.mark_dead(START, NodeId(3));
    let early = START + PROOF_LIFETIME_MAX - Duration::from_millis(1);
    assert_eq!(acks.advance(early, &log, last), Position(1));
    assert_eq!(
        acks.advance(START + PROOF_LIFETIME_MAX, &log, last),
        Position(3)
    );
    acks.prune(&mut log);
    assert_eq!(log.versions().count(), 1);
}

/// Guards against permanently lost VMs that stay registered and remain lease voters. With two of
/// three voters lost, no account with a limit was served (run `scale-2 --seed 448392660267` on
/// Kylmaring).
#[test]
fn unreachable_nodes_are_removed() {
    let stay: Vec<Member> = (1..=4).map(|n| member(n, n as u16)).collect();
    let lost = member(5, 5);
    let mut all = stay.clone();
    all.push(lost.clone());
    let registry = Registry::new().with_change(&joins(&all)).unwrap();
    let mut table = MembershipTable::default();
    table.apply_registry(START, &registry);
    let later = START + REMOVAL_TIMEOUT - Duration::from_secs(1);
    for m in &stay {
        table.record_heartbeat(&heartbeat(later, m));
    }
    // A heartbeat with an earlier identity does not count for the current process.
    let earlier = Member {
        id: NodeId(9),
        ..lost.clone()
    };
    table.record_heartbeat(&heartbeat(later, &earlier));
    // It is demoted before it is removed, and no other node is.
    let demotion = table.propose(later, &registry).unwrap();
    assert_eq!(demotion, demotes(&[5]));
    let registry = registry.with_change(&demotion).unwrap();
    assert_eq!(table.propose(START + REMOVAL_TIMEOUT, &registry), None);
    for m in &stay {
        table.record_heartbeat(&heartbeat(later + CHANGE_INTERVAL, m));
    }
    let change = table.propose(later + CHANGE_INTERVAL, &registry).unwrap();
    assert_eq!(change.left, [lost.id]);
    assert!(change.joined.is_empty());
}

fn demotes(ids: &[u64]) -> RegistryChange {
    RegistryChange {
        demoted: ids.iter().map(|id| NodeId(*id)).collect(),
        ..RegistryChange::default()
    }
}

/// Guards against a leader that is partitioned from most nodes and removes them. It removed 17 of
/// 26 live nodes, and their accounts had no owners for 10 s (incident inc-e736 on Kylmaring).
#[test]
fn many_unreachable_nodes_stay() {
    let all: Vec<Member> = (1..=9).map(|n| member(n, n as u16)).collect();
    let registry = Registry::new().with_change(&joins(&all)).unwrap();
    let mut table = MembershipTable::default();
    table.apply_registry(START, &registry);
    let later = START + REMOVAL_TIMEOUT;
    for m in &all[..4] {
        table.record_heartbeat(&heartbeat(later, m));
    }
    // Neither removed nor demoted.
    assert_eq!(table.propose(later, &registry), None);
    table.record_heartbeat(&heartbeat(later, &all[4]));
    assert_eq!(
        table.propose(later, &registry),
        Some(demotes(&[6, 7, 8, 9]))
    );
    let registry = registry.with_change(&demotes(&[6, 7, 8, 9])).unwrap();
    let later = later + CHANGE_INTERVAL;
    for m in &all[..6] {
        table.record_heartbeat(&heartbeat(later, m));
    }
    let change = table.propose(later, &registry).unwrap();
    assert_eq!(change.left, [NodeId(7), NodeId(8), NodeId(9)]);
    assert_eq!(change.reinstated, [NodeId(6)]);
}

/// Guards against a fleet that keeps a lost majority registered for a minute, so that accounts with
/// a limit have no lease voters, although its nodes serve only for seconds without control.
#[test]
fn lost_majority_is_removed() {
    let all: Vec<Member> = (1..=9).map(|n| member(n, n as u16)).collect();
    for (offline, after) in [(Some(3), 20), (Some(43_200), 60), (None, 60)] {
        let joined = RegistryChange {
            offline: offline.map(Duration::from_secs),
            ..joins(&all)
        };
        let registry = Registry::new().with_change(&joined).unwrap();
        let mut table = MembershipTable::default();
        table.apply_registry(START, &registry);
        let mut heard = |second| {
            let now = START + Duration::from_secs(second);
            for m in &all[..4] {
                table.record_heartbeat(&heartbeat(now, m));
            }
            table.propose(now, &registry)
        };
        assert_eq!(heard(after - 1), None);
        let lost: Vec<NodeId> = (5..=9).map(NodeId).collect();
        assert_eq!(heard(after).unwrap().left, lost);
    }
}

/// Guards against lease voters that are about to stop. The leader demoted leaving nodes only once
/// they were unreachable, and when 14 nodes left within 10 s, three of five voters were lost
/// (run `mix --seed 480380651728` on Kylmaring).
#[test]
fn leaving_nodes_are_demoted() {
    let all: Vec<Member> = (1..=5).map(|n| member(n, n as u16)).collect();
    let mut registry = Registry::new();
    let mut table = MembershipTable::default();
    for member in &all {
        let started = START;
        let member = member.clone();
        table.record_probe(START, ProbeAck { started, member });
    }
    let mut now = START + Duration::from_millis(500);
    registry = registry
        .with_change(&table.propose(now, &registry).unwrap())
        .unwrap();
    // One leaves a second later; its demotion does not wait for the interval between changes.
    now = now + Duration::from_secs(1);
    let leaves = |m: &Member, received| Heartbeat {
        leaving: true,
        ..heartbeat(received, m)
    };
    all.iter()
        .for_each(|m| table.record_heartbeat(&heartbeat(now, m)));
    table.record_heartbeat(&leaves(&all[1], now));
    let change = table.propose(now, &registry).unwrap();
    let demotion = RegistryChange {
        leaving: vec![NodeId(2)],
        ..demotes(&[2])
    };
    assert_eq!(change, demotion);
    registry = registry.with_change(&change).unwrap();
    assert_eq!(registry.demoted(), [NodeId(2)]);
    assert_eq!(registry.members().len(), 5);
    // It is not reinstated while it still sends heartbeats, and is removed soon after it stops.
    now = now + CHANGE_INTERVAL;
    all.iter()
        .for_each(|m| table.record_heartbeat(&heartbeat(now, m)));
    assert_eq!(table.propose(now, &registry), None);
    now = now + Duration::from_secs(4);
    all.iter().filter(|m| m.id != NodeId(2)).for_each(|m| {
        table.record_heartbeat(&heartbeat(now, m));
    });
    let change = table.propose(now, &registry).unwrap();
    assert_eq!(change.left, [NodeId(2)]);
}

/// Guards against a new leader that reinstates nodes which left or became unreachable before its
/// term, since it starts with an assumed recent contact for each node (run
/// `scale-2 --seed 798175079981` on Kylmaring).
#[test]
fn new_leader_reinstates_reachable_nodes() {
    let all: Vec<Member> = (1..=5).map(|n| member(n, n as u16)).collect();
    let registry = Registry::new().with_change(&joins(&all)).unwrap();
    let registry = registry.with_change(&demotes(&[1, 2])).unwrap();
    let mut table = MembershipTable::default();
    table.apply_registry(START, &registry);
    assert_eq!(table.propose(START, &registry), None);
    let now = START + Duration::from_secs(1);
    all[1..]
        .iter()
        .for_each(|m| table.record_heartbeat(&heartbeat(now, m)));
    let change = table.propose(now, &registry).unwrap();
    assert_eq!(change.reinstated, [NodeId(2)]);
    assert!(change.left.is_empty() && change.demoted.is_empty());
}
