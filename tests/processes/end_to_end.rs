//! Requests through a whole fleet of separate processes.

use laburnumtide::control::api::Status;

use crate::caller::{call, call_with_key};
use crate::fleet::{Fleet, eventually};
use crate::notes::{OFFICE_KEY, YARD_KEY, sample_note};

fn is_served(fleet: &Fleet, node: usize) -> bool {
    [YARD_KEY, OFFICE_KEY].iter().all(|key| {
        let response = call_with_key(fleet.caller_addr(node), "GET", "/records/1", key);
        response.is_ok_and(|r| r.status == 200)
    })
}

/// Starts three control processes, three nodes and a target beside node 2, and applies the sample
/// note.
pub fn ready_fleet() -> Fleet {
    make_ready(Fleet::start(3, 3))
}

/// Starts a target beside node 2, submits the sample note and waits until every node serves requests.
pub fn make_ready(mut fleet: Fleet) -> Fleet {
    fleet.start_target(2, "records");
    let output = fleet.submit(&sample_note());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    // Nodes that start slightly later are registered by the next registry change, which comes some
    // seconds later.
    eventually("every node is registered and current", || {
        let output = fleet.ctl(&["--json", "status"]);
        let status = serde_json::from_slice::<Status>(&output.stdout);
        status
            .is_ok_and(|s| s.nodes.len() == 3 && s.nodes.iter().all(|n| n.position >= s.committed))
    });
    for node in 0..3 {
        eventually("a keyed request is served", || is_served(&fleet, node));
    }
    fleet
}

/// Guards against any break in the path from note to response, against a request that can't be traced
/// in the logs, and against a leaked key.
#[test]
fn keyed_request() {
    let fleet = ready_fleet();
    for key in [YARD_KEY, OFFICE_KEY] {
        let response = call_with_key(fleet.caller_addr(0), "GET", "/records/7", key).unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.header("laburnum-outcome"), Some("answer"));
        let id = response.header("laburnum-request-id").unwrap();
        for node in [0, 2] {
            eventually("the request is logged on both hops", || {
                fleet.nodes[node].as_ref().unwrap().log().contains(id)
            });
        }
        assert!(!response.head.contains(key) && !response.body.contains(key));
        let logs = fleet.nodes.iter().flatten().map(|n| n.log());
        assert!(
            logs.into_iter().all(|log| !log.contains(key)),
            "a key is logged"
        );
    }
    // The stand-in target echoes the headers that it receives.
    let seen = call_with_key(fleet.caller_addr(0), "GET", "/records/7?echo=1", YARD_KEY).unwrap();
    assert!(seen.body.contains("laburnum-request-id"), "{seen:?}");
    assert!(!seen.body.contains(YARD_KEY), "{seen:?}");
    assert!(
        !seen.body.to_lowercase().contains("authorization"),
        "{seen:?}"
    );
}

/// Guards against requests that run without authorization or outside the routes.
#[test]
fn refused_requests() {
    let fleet = ready_fleet();
    let node = fleet.caller_addr(1);
    let wrong = call_with_key(node, "GET", "/records/1", "wrong-key-0123456789").unwrap();
    assert_eq!((wrong.status, wrong.reason()), (401, "unknown-key"));
    assert_eq!(wrong.header("laburnum-outcome"), Some("not-run"));
    let none = call(node, "GET", "/records/1", &[]).unwrap();
    assert_eq!((none.status, none.reason()), (401, "no-key"));
    let lost = call_with_key(node, "GET", "/nowhere", YARD_KEY).unwrap();
    assert_eq!((lost.status, lost.reason()), (404, "no-route"));
    let method = call_with_key(node, "DELETE", "/records/1", YARD_KEY).unwrap();
    assert_eq!(
        (method.status, method.reason()),
        (405, "method-not-allowed")
    );
    let open = call(node, "GET", "/public/1", &[]).unwrap();
    assert_eq!(open.status, 200, "{open:?}");
}

/// Guards against a withdrawn key that continues to work, and against a note that doesn't reach a
/// node.
#[test]
fn withdrawn_key() {
    let fleet = ready_fleet();
    let output = fleet.submit("number = 2\n[withdrawn]\nkeys = [\"yard-1\"]\n");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for node in 0..3 {
        // The submit waits until the note is in force on every node.
        let response =
            call_with_key(fleet.caller_addr(node), "GET", "/records/1", YARD_KEY).unwrap();
        assert_eq!((response.status, response.reason()), (401, "unknown-key"));
        let other = call_with_key(fleet.caller_addr(node), "GET", "/records/1", OFFICE_KEY);
        assert_eq!(other.unwrap().status, 200);
    }
}
