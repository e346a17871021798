//! Changes while most nodes are gone for good, lost or stopped as planned.

use rustix::process::Signal;

use crate::end_to_end::{make_ready, ready_fleet};
use crate::fleet::{Fleet, eventually};

/// Submits a note and waits until it is accepted.
fn submit_accepted(fleet: &Fleet) {
    let note = "number = 2\n[[changed.accounts]]\nname = \"office\"\nrate = \"22/s\"\n";
    std::fs::write(fleet.dir.path().join("second.toml"), note).unwrap();
    let file = fleet.dir.path().join("second.toml").display().to_string();
    fleet.ctl(&["submit", "--wait", "0s", &file]);
    eventually("the note is accepted", || {
        let output = fleet.ctl(&["--json", "note", "2"]);
        let state = serde_json::from_slice::<serde_json::Value>(&output.stdout);
        state.is_ok_and(|state| state["accepted"] == true)
    });
}

/// Guards against a note that is never accepted after most nodes were killed (review/2), where nodes
/// serve only for seconds without control.
#[test]
fn killed_for_good() {
    let options = vec![("offline-time", "3s".to_owned())];
    let mut fleet = make_ready(Fleet::start_limited(3, 3, options));
    for node in 0..2 {
        fleet.nodes[node].as_mut().unwrap().kill();
    }
    submit_accepted(&fleet);
}

/// Guards against the same after most nodes were stopped as planned, where nodes serve for hours
/// without control.
#[test]
fn stopped_for_good() {
    let mut fleet = ready_fleet();
    for node in 0..2 {
        fleet.nodes[node].as_ref().unwrap().signal(Signal::TERM);
    }
    for node in 0..2 {
        assert_eq!(fleet.nodes[node].as_mut().unwrap().wait(), Some(0));
    }
    submit_accepted(&fleet);
}
