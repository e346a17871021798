//! Incarnations of targets: stale announcements, restarts and deregistration.

use std::time::Duration;

use laburnumtide::fleet::TargetState;
use laburnumtide::node::local::{AnnounceResult, Announcement, LocalTargets};
use laburnumtide::prelude::*;

fn local() -> LocalTargets {
    let zone = "zone-a".parse().unwrap();
    let clock = laburnumtide::time::Monotonic::new();
    LocalTargets::new(NodeId(1), zone, clock, Duration::from_secs(1))
}

fn announcement(name: &str, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        name: name.parse().unwrap(),
        service: "ledger".parse().unwrap(),
        address: "10.0.0.1:8080".parse().unwrap(),
        slots: Slots(7),
        connections: 14,
        started_ms_ago: 0,
        draining: false,
        load: 0.0,
        incarnation: Some(incarnation),
        sequence: Some(sequence),
        cold_ms: Some(0),
    }
}

fn names(local: &LocalTargets) -> Vec<String> {
    let record = local.records().borrow().clone();
    record.targets.iter().map(|t| t.name.to_string()).collect()
}

fn state(local: &LocalTargets, at: usize) -> TargetState {
    local.records().borrow().targets[at].state
}

/// Guards against a delayed announcement that cancels a drain.
#[test]
fn stale_announcement_keeps_drain() {
    let local = local();
    assert_eq!(
        local.announce(&announcement("a", 5, 1)),
        AnnounceResult::Accepted
    );
    let drains = Announcement {
        draining: true,
        ..announcement("a", 5, 3)
    };
    assert_eq!(local.announce(&drains), AnnounceResult::Accepted);
    assert_eq!(
        local.announce(&announcement("a", 5, 2)),
        AnnounceResult::Stale
    );
    assert_eq!(state(&local, 0), TargetState::Draining);
}

/// Guards against a delayed announcement that restores a deregistered target.
#[test]
fn deregistered_target_stays_draining() {
    let local = local();
    local.announce(&announcement("a", 5, 1));
    local.deregister(&"a".parse().unwrap(), None);
    assert_eq!(state(&local, 0), TargetState::Draining);
    assert_eq!(
        local.announce(&announcement("a", 5, 9)),
        AnnounceResult::Stale
    );
    assert_eq!(state(&local, 0), TargetState::Draining);
    assert_eq!(
        local.announce(&announcement("a", 6, 1)),
        AnnounceResult::Accepted
    );
    assert_ne!(state(&local, 0), TargetState::Draining);
}

/// Guards against a stopped target that still receives requests on an address that another target
/// now uses.
#[test]
fn address_reuse_removes_old_target() {
    let local = local();
    local.announce(&announcement("old", 5, 8));
    assert_eq!(
        local.announce(&announcement("new", 9, 1)),
        AnnounceResult::Accepted
    );
    assert_eq!(names(&local), ["new"]);
    assert_eq!(
        local.announce(&announcement("old", 5, 9)),
        AnnounceResult::Stale
    );
    assert_eq!(names(&local), ["new"]);
}

/// Guards against a target restarted under its name whose announcements are ignored because the
/// earlier run had higher sequence numbers.
#[test]
fn restart_under_same_name() {
    let local = local();
    local.announce(&announcement("a", 5, 80));
    assert_eq!(
        local.announce(&announcement("a", 6, 1)),
        AnnounceResult::Accepted
    );
    assert_eq!(
        local.announce(&announcement("a", 5, 81)),
        AnnounceResult::Stale
    );
    assert_eq!(
        local.announce(&announcement("a", 6, 2)),
        AnnounceResult::Accepted
    );
}

/// Guards against the deregistration of an earlier run that drains the current one.
#[test]
fn deregistration_of_earlier_run_is_ignored() {
    let local = local();
    local.announce(&announcement("a", 6, 1));
    local.deregister(&"a".parse().unwrap(), Some(5));
    assert_ne!(state(&local, 0), TargetState::Draining);
}
