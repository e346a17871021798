//! Leaves of targets: what a node that acknowledged one must not forget.

use std::time::Duration;

use laburnumtide::fleet::TargetState;
use laburnumtide::node::local::{ANNOUNCE_TIMEOUT, AnnounceResult, Announcement, LocalTargets};
use laburnumtide::prelude::*;
use tokio::time::advance;

fn local() -> LocalTargets {
    let zone = "zone-a".parse().unwrap();
    let clock = laburnumtide::time::Monotonic::new();
    LocalTargets::new(NodeId(1), zone, clock, Duration::from_secs(1))
}

fn name() -> TargetName {
    "a".parse().unwrap()
}

fn ready(incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        name: name(),
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

fn draining(incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        draining: true,
        ..ready(incarnation, sequence)
    }
}

/// Returns true if callers' nodes would choose the target, or its own node dispatch a request to it.
fn is_used(local: &LocalTargets) -> bool {
    let record = local.records().borrow().clone();
    let is_listed = record
        .targets
        .iter()
        .any(|t| t.state != TargetState::Draining);
    is_listed || local.get(&name()).is_some_and(|t| t.accepts_requests())
}

/// Waits until the node has removed silent targets.
async fn stay_silent(local: &LocalTargets) {
    advance(ANNOUNCE_TIMEOUT + Duration::from_secs(1)).await;
    local.tick();
}

/// Guards against a drain that the time limit forgets.
#[tokio::test(start_paused = true)]
async fn silent_drain() {
    let local = local();
    local.announce(&ready(5, 4));
    local.announce(&draining(5, 6));
    stay_silent(&local).await;
    assert_eq!(local.announce(&ready(5, 5)), AnnounceResult::Stale);
    local.announce(&ready(5, 7));
    assert!(!is_used(&local));
}

/// Guards against a later ready announcement of the run that undoes its drain.
#[tokio::test(start_paused = true)]
async fn undone_drain() {
    let local = local();
    local.announce(&ready(5, 1));
    local.announce(&draining(5, 2));
    advance(Duration::from_secs(2)).await;
    local.announce(&ready(5, 3));
    assert!(!is_used(&local));
}

/// Guards against a drain that is ignored because a later announcement overtook it.
#[tokio::test(start_paused = true)]
async fn overtaken_drain() {
    let local = local();
    local.announce(&ready(5, 3));
    local.announce(&draining(5, 2));
    advance(Duration::from_secs(2)).await;
    local.announce(&ready(5, 4));
    assert!(!is_used(&local));
}

/// Guards against a leave that finds no entry and leaves no trace.
#[tokio::test(start_paused = true)]
async fn unknown_target_leaves() {
    let local = local();
    local.deregister(&name(), Some(5));
    assert_eq!(local.announce(&ready(5, 9)), AnnounceResult::Stale);
    assert!(!is_used(&local));
    assert_eq!(local.announce(&ready(6, 1)), AnnounceResult::Accepted);
    assert!(is_used(&local));
}

/// Guards against a leave of a run that the node hasn't heard of, which spares the run before it.
#[tokio::test(start_paused = true)]
async fn later_run_leaves() {
    let local = local();
    local.announce(&ready(5, 9));
    local.deregister(&name(), Some(6));
    advance(Duration::from_secs(2)).await;
    assert!(!is_used(&local));
    local.announce(&ready(6, 1));
    local.announce(&ready(5, 10));
    assert!(!is_used(&local));
}

/// Guards against requests to a target whose first announcement to a restarted node says that it
/// drains.
#[tokio::test(start_paused = true)]
async fn first_heard_draining() {
    let local = local();
    local.announce(&draining(5, 8));
    assert!(!is_used(&local));
}

/// Guards against a silent target that a delayed announcement brings back.
#[tokio::test(start_paused = true)]
async fn silent_target() {
    let local = local();
    local.announce(&ready(5, 4));
    stay_silent(&local).await;
    assert_eq!(local.announce(&ready(5, 3)), AnnounceResult::Stale);
    assert!(!is_used(&local));
    assert_eq!(local.announce(&ready(5, 5)), AnnounceResult::Accepted);
    assert!(is_used(&local));
}

/// Guards against a delayed announcement of the run before the one whose leave was acknowledged.
#[tokio::test(start_paused = true)]
async fn earlier_run() {
    let local = local();
    local.deregister(&name(), Some(5));
    assert_eq!(local.announce(&ready(4, 9)), AnnounceResult::Stale);
    assert!(!is_used(&local));
    assert_eq!(local.announce(&ready(6, 1)), AnnounceResult::Accepted);
    assert!(is_used(&local));
}

/// Guards against a drain of another service under a target's name that ends the use of the target.
#[tokio::test(start_paused = true)]
async fn foreign_drain() {
    let local = local();
    local.announce(&ready(5, 1));
    let foreign = Announcement {
        service: "other".parse().unwrap(),
        ..draining(5, 2)
    };
    assert_eq!(local.announce(&foreign), AnnounceResult::Stale);
    assert_eq!(local.announce(&ready(5, 3)), AnnounceResult::Accepted);
    assert!(is_used(&local));
}
