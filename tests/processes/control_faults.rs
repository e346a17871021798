//! Faults of control processes: kills, lost and damaged folders, freezes, long absence.

use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::caller::call_with_key;
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

/// Returns the identities of the voting replicas.
fn voters(fleet: &Fleet) -> Vec<u64> {
    let status = status(fleet).unwrap_or_default();
    let replicas = status["replicas"].as_array().cloned().unwrap_or_default();
    let voters = replicas.iter().filter(|r| r["voter"] == true);
    voters.filter_map(|r| r["id"].as_u64()).collect()
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

/// Guards against a replica that votes without its log, and against a loss right after a repair.
#[test]
fn lost_folder() {
    let mut fleet = served_fleet();
    for (number, lost) in [(2, 0), (3, 1)] {
        let before = voters(&fleet);
        fleet.controls[lost].as_mut().unwrap().kill();
        std::fs::remove_dir_all(fleet.data_folder(lost)).unwrap();
        fleet.start_control(lost);
        eventually("the new replica votes and the old one is gone", || {
            let after = voters(&fleet);
            after.len() == 3 && after != before
        });
        submit(&fleet, number);
    }
}

/// Guards against a frozen leader that goes on leading when it continues.
#[test]
fn frozen_leader() {
    let fleet = served_fleet();
    let frozen = leader(&fleet).expect("the fleet has a leader");
    let process = fleet.controls[frozen].as_ref().unwrap();
    process.signal(Signal::STOP);
    submit(&fleet, 2);
    process.signal(Signal::CONT);
    submit(&fleet, 3);
    eventually("the frozen process follows another", || {
        leader(&fleet).is_some_and(|l| l != frozen)
    });
}

/// Guards against damaged records that are dropped silently.
#[test]
fn damaged_log() {
    let mut fleet = served_fleet();
    submit(&fleet, 2);
    let damaged = 1;
    fleet.controls[damaged].as_mut().unwrap().kill();
    let log = fleet.data_folder(damaged).join("log");
    let mut bytes = std::fs::read(&log).unwrap();
    // A byte within the record of the first note; the space between seals holds nothing.
    let name = bytes.windows(6).position(|w| w == b"office").unwrap();
    bytes[name] ^= 0x10;
    std::fs::write(&log, bytes).unwrap();
    fleet.start_control(damaged);
    let process = fleet.controls[damaged].as_mut().unwrap();
    assert_eq!(process.wait(), Some(1));
    assert!(process.log().contains("log"), "{}", process.log());
    submit(&fleet, 3);
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
    fleet.nodes[0].as_ref().unwrap().signal(Signal::STOP);
    fleet.nodes[2].as_ref().unwrap().signal(Signal::STOP);
    let start = Instant::now();
    loop {
        let answer = call_with_key(fleet.caller_addr(1), "GET", "/records/1", YARD_KEY);
        if answer.is_ok_and(|a| a.reason() == "stale-config") {
            break;
        }
        assert!(
            start.elapsed() < STALE_MAX,
            "the node honours keys on old evidence"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    // What was frozen must not honour a key when it continues, until it has new evidence.
    std::thread::sleep(STALE_MAX);
    fleet.nodes[1].as_ref().unwrap().signal(Signal::STOP);
    fleet.nodes[0].as_ref().unwrap().signal(Signal::CONT);
    let answer = call_with_key(fleet.caller_addr(0), "GET", "/records/1", YARD_KEY).unwrap();
    assert_eq!(answer.reason(), "stale-config", "{answer:?}");
}
