//! Traffic and notes while control processes are killed, away, or out of reach of a node.

use std::time::{Duration, Instant};

use crate::caller::{call_with_key, call_within};
use crate::fleet::{Fleet, eventually};
use crate::notes::{OFFICE_KEY, YARD_KEY};
use crate::whole_path::served_fleet;

/// Longest time without a leader after one is lost.
const FAILOVER_MAX: Duration = Duration::from_secs(3);

/// Longest time in which a node may honour what it can't prove to be current.
const STALE_MAX: Duration = Duration::from_secs(5);

fn status(fleet: &Fleet) -> Option<serde_json::Value> {
    let output = fleet.ctl(&["--json", "status"]);
    serde_json::from_slice(&output.stdout).ok()
}

/// Returns the number of the control process that leads.
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
    let answer = call_with_key(fleet.caller_addr(node), "GET", "/records/1", OFFICE_KEY);
    answer.is_ok_and(|a| a.status == 200)
}

/// Guards against accepted notes that are lost with a killed leader, and against a slow failover.
#[test]
fn killed_leaders() {
    let mut fleet = served_fleet();
    for number in 2..6 {
        let lost = leader(&fleet).expect("the fleet has a leader");
        fleet.controls[lost].as_mut().unwrap().kill();
        let start = Instant::now();
        submit(&fleet, number);
        let took = start.elapsed();
        println!("note {number} in force {took:?} after the leader was killed");
        assert!(took < FAILOVER_MAX, "note {number} took {took:?}");
        fleet.start_control(lost);
        eventually("the killed process is back", || {
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

/// Guards against traffic that stops while every control process is away.
#[test]
fn absent_controls() {
    let mut fleet = served_fleet();
    for control in &mut fleet.controls {
        control.as_mut().unwrap().kill();
    }
    let start = Instant::now();
    // Three times as long as any evidence from the control processes lasts.
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

/// Guards against a node that honours keys while it can't hear of their withdrawal.
#[test]
fn cut_off_node() {
    let mut fleet = served_fleet();
    for control in &mut fleet.controls {
        control.as_mut().unwrap().kill();
    }
    for node in [0, 2] {
        fleet.nodes[node].as_ref().unwrap().freeze();
    }
    let start = Instant::now();
    loop {
        let asked = start.elapsed();
        if is_stale(&fleet, 1) {
            break;
        }
        assert!(asked < STALE_MAX, "the node honours keys on old evidence");
    }
    // What was frozen must not honour a key when it continues, until it has new evidence.
    std::thread::sleep(STALE_MAX);
    fleet.nodes[1].as_ref().unwrap().freeze();
    fleet.nodes[0].as_ref().unwrap().thaw();
    assert!(
        is_stale(&fleet, 0),
        "a thawed node honours keys on old evidence"
    );
}

/// Returns true if the node refuses a key as stale; targets on frozen VMs answer nothing.
fn is_stale(fleet: &Fleet, node: usize) -> bool {
    let key = format!("Bearer {YARD_KEY}");
    let headers = [("authorization", key.as_str())];
    let patience = Duration::from_millis(300);
    let addr = fleet.caller_addr(node);
    let answer = call_within(addr, "GET", "/records/1", &headers, patience);
    answer.is_ok_and(|a| a.reason() == "stale-config")
}
