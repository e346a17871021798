//! Traffic and notes while control processes are killed, down, or unreachable from a node.

use std::time::{Duration, Instant};

use crate::caller::{call_with_key, call_within};
use crate::end_to_end::ready_fleet;
use crate::fleet::{Fleet, eventually};
use crate::notes::{OFFICE_KEY, YARD_KEY};

/// Maximum time without a leader after a leader is lost.
const FAILOVER_MAX: Duration = Duration::from_secs(3);

/// Maximum time for which a node may accept keys while it can't prove that its configuration is
/// current.
const STALE_MAX: Duration = Duration::from_secs(5);

/// Reason of refusals by a node without a current freshness proof.
const STALE: &str = "stale-config";

fn status(fleet: &Fleet) -> Option<serde_json::Value> {
    let output = fleet.ctl(&["--json", "status"]);
    serde_json::from_slice(&output.stdout).ok()
}

/// Returns the number of the leading control process.
fn leader(fleet: &Fleet) -> Option<usize> {
    let leader = status(fleet)?["leader"].as_str()?.to_owned();
    (0..3).find(|i| fleet.operator_addr(*i).to_string() == leader)
}

fn note(number: u64, rate: u64) -> String {
    format!("number = {number}\n[[changed.accounts]]\nname = \"office\"\nrate = \"{rate}/s\"\n")
}

fn submit(fleet: &Fleet, number: u64) {
    let output = fleet.submit(&note(number, 20 + number));
    assert_eq!(output.status.code(), Some(0), "note {number}: {output:?}");
}

fn is_served(fleet: &Fleet, node: usize) -> bool {
    let response = call_with_key(fleet.caller_addr(node), "GET", "/records/1", OFFICE_KEY);
    response.is_ok_and(|r| r.status == 200)
}

/// Guards against accepted notes that are lost when the leader is killed, and against a slow
/// failover.
#[test]
fn killed_leaders() {
    let mut fleet = ready_fleet();
    for number in 2..6 {
        let lost = leader(&fleet).expect("the fleet has a leader");
        fleet.controls[lost].as_mut().unwrap().kill();
        let start = Instant::now();
        submit(&fleet, number);
        let took = start.elapsed();
        println!("note {number} in force {took:?} after the leader was killed");
        assert!(took < FAILOVER_MAX, "note {number} took {took:?}");
        fleet.start_control(lost);
        eventually("the restarted process has caught up", || {
            let reached = |s: serde_json::Value| {
                let replicas = s["replicas"].as_array().cloned().unwrap_or_default();
                let lowest = replicas.iter().map(|r| r["position"].as_u64()).min();
                lowest.flatten() >= s["committed"].as_u64()
            };
            leader(&fleet).is_some() && status(&fleet).is_some_and(reached)
        });
    }
    let output = fleet.ctl(&["--json", "note", "5"]);
    let state: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(state["accepted"], true, "{state}");
}

/// Guards against traffic that stops while every control process is down.
#[test]
fn absent_controls() {
    let mut fleet = ready_fleet();
    for control in &mut fleet.controls {
        control.as_mut().unwrap().kill();
    }
    let start = Instant::now();
    // Three times the lifetime of any freshness proof from the control processes.
    while start.elapsed() < STALE_MAX * 3 {
        for node in 0..3 {
            assert!(
                is_served(&fleet, node),
                "node {node} refused at {:?}",
                start.elapsed()
            );
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// Guards against a node that accepts keys while it can't learn of their withdrawal.
#[test]
fn partitioned_node() {
    let mut fleet = ready_fleet();
    for control in &mut fleet.controls {
        control.as_mut().unwrap().kill();
    }
    for node in [0, 2] {
        fleet.nodes[node].as_ref().unwrap().freeze();
    }
    let start = Instant::now();
    loop {
        let sent = start.elapsed();
        let seen = reason(&fleet, 1);
        if seen == STALE {
            break;
        }
        assert!(
            sent < STALE_MAX,
            "the node accepts keys with an expired freshness proof: {seen}"
        );
    }
    // A node that was frozen must not accept keys after it resumes until it has a new freshness
    // proof.
    std::thread::sleep(STALE_MAX);
    fleet.nodes[1].as_ref().unwrap().freeze();
    fleet.nodes[0].as_ref().unwrap().thaw();
    let seen = reason(&fleet, 0);
    assert_eq!(
        seen, STALE,
        "a resumed node accepts keys with an expired freshness proof"
    );
}

/// Returns the reason of the refusal of a request, or why there is none; requests to targets beside
/// frozen nodes time out.
fn reason(fleet: &Fleet, node: usize) -> String {
    let key = format!("Bearer {YARD_KEY}");
    let headers = [("authorization", key.as_str())];
    let timeout = Duration::from_millis(300);
    let addr = fleet.caller_addr(node);
    let response = call_within(addr, "GET", "/records/1", &headers, timeout);
    match response {
        Ok(response) if response.reason().is_empty() => format!("status {}", response.status),
        Ok(response) => response.reason().to_owned(),
        Err(e) => format!("no response: {e}"),
    }
}
