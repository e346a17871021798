//! Runs of targets: late, repeated and outdated announcements, and targets that leave.

use std::time::Duration;

use laburnumtide::fleet::TargetState;
use laburnumtide::node::local::{AnnounceResult, Announcement, LocalTargets};
use laburnumtide::prelude::*;

fn local() -> LocalTargets {
    let zone = "zone-a".parse().unwrap();
    let clock = laburnumtide::time::Monotonic::new();
    LocalTargets::new(NodeId(1), zone, clock, Duration::from_secs(1))
}

fn said(name: &str, incarnation: u64, sequence: u64) -> Announcement {
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

/// Guards against a late announcement that takes a drain back.
#[test]
fn late_announcement() {
    let local = local();
    assert_eq!(local.announce(&said("a", 5, 1)), AnnounceResult::Accepted);
    let drains = Announcement {
        draining: true,
        ..said("a", 5, 3)
    };
    assert_eq!(local.announce(&drains), AnnounceResult::Accepted);
    assert_eq!(local.announce(&said("a", 5, 2)), AnnounceResult::Stale);
    assert_eq!(state(&local, 0), TargetState::Draining);
}

/// Guards against a target that has left and comes back by an announcement that was under way.
#[test]
fn left_stays() {
    let local = local();
    local.announce(&said("a", 5, 1));
    local.deregister(&"a".parse().unwrap(), None);
    assert_eq!(state(&local, 0), TargetState::Draining);
    assert_eq!(local.announce(&said("a", 5, 9)), AnnounceResult::Stale);
    assert_eq!(state(&local, 0), TargetState::Draining);
    assert_eq!(local.announce(&said("a", 6, 1)), AnnounceResult::Accepted);
    assert_ne!(state(&local, 0), TargetState::Draining);
}

/// Guards against a dead target that gets requests on an address that another has taken over.
#[test]
fn address_reused() {
    let local = local();
    local.announce(&said("old", 5, 8));
    assert_eq!(local.announce(&said("new", 9, 1)), AnnounceResult::Accepted);
    assert_eq!(names(&local), ["new"]);
    assert_eq!(local.announce(&said("old", 5, 9)), AnnounceResult::Stale);
    assert_eq!(names(&local), ["new"]);
}

/// Guards against a restarted target under its old name that is taken for the earlier run, whose
/// numbers were higher.
#[test]
fn same_name_again() {
    let local = local();
    local.announce(&said("a", 5, 80));
    assert_eq!(local.announce(&said("a", 6, 1)), AnnounceResult::Accepted);
    assert_eq!(local.announce(&said("a", 5, 81)), AnnounceResult::Stale);
    assert_eq!(local.announce(&said("a", 6, 2)), AnnounceResult::Accepted);
}

/// Guards against a leave of an earlier run that stops the later one.
#[test]
fn leave_of_earlier() {
    let local = local();
    local.announce(&said("a", 6, 1));
    local.deregister(&"a".parse().unwrap(), Some(5));
    assert_ne!(state(&local, 0), TargetState::Draining);
}
