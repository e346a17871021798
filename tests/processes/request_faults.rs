//! Requests while nodes and targets are killed, frozen or shut down.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::caller::{Response, call, call_with_key};
use crate::end_to_end::ready_fleet;
use crate::fleet::{Fleet, eventually};
use crate::notes::{OFFICE_KEY, YARD_KEY, sample_note};

/// The result of one request, as seen by its caller.
type CallResult = std::io::Result<Response>;

/// The process in which a fault is injected.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Ingress,
    Egress,
    Target,
}

/// The injected fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
}

/// The node that serves the callers.
const INGRESS: usize = 0;

/// The node beside the target.
const EGRESS: usize = 2;

/// Returns how often the target has run a request with this path.
fn runs(fleet: &Fleet, path: &str) -> usize {
    let report = call(fleet.target_addr(0), "GET", "/runs", &[])
        .unwrap()
        .body;
    report.matches(path).count()
}

fn inject(fleet: &mut Fleet, victim: Victim, fault: Fault) {
    let process = match victim {
        Victim::Ingress => &mut fleet.nodes[INGRESS],
        Victim::Egress => &mut fleet.nodes[EGRESS],
        Victim::Target => &mut fleet.targets[0],
    };
    let process = process.as_mut().unwrap();
    match fault {
        Fault::Kill => process.kill(),
        Fault::Freeze => process.freeze(),
    }
}

/// Sends an order, injects a fault while the target runs it, and returns the caller's result.
fn order_during_fault(fleet: &mut Fleet, victim: Victim, fault: Fault) -> CallResult {
    let addr = fleet.caller_addr(INGRESS);
    let path = "/records/order?delay_ms=1500";
    let caller = std::thread::spawn(move || call_with_key(addr, "POST", path, YARD_KEY));
    eventually("the target runs the order", || {
        runs(fleet, "/records/order") == 1
    });
    inject(fleet, victim, fault);
    caller.join().unwrap()
}

fn check_order(result: &CallResult) {
    match result {
        Ok(response) => {
            let outcome = response.header("laburnum-outcome");
            assert_eq!(outcome, Some("unknown"), "the order ran: {response:?}");
        }
        Err(e) => println!("the caller lost its connection: {e}"),
    }
}

/// Guards against a wrong `not-run` outcome and a second run when the egress is killed during a
/// request.
#[test]
fn egress_killed() {
    let mut fleet = ready_fleet();
    let result = order_during_fault(&mut fleet, Victim::Egress, Fault::Kill);
    check_order(&result);
    assert!(result.is_ok(), "the ingress is alive and must respond");
    assert_eq!(runs(&fleet, "/records/order"), 1);
}

/// Guards against a second run when the ingress is killed during a request.
#[test]
fn ingress_killed() {
    let mut fleet = ready_fleet();
    let result = order_during_fault(&mut fleet, Victim::Ingress, Fault::Kill);
    check_order(&result);
    assert_eq!(runs(&fleet, "/records/order"), 1);
}

/// Guards against a wrong `not-run` outcome when a target is killed while it runs a request.
#[test]
fn target_killed() {
    let mut fleet = ready_fleet();
    let result = order_during_fault(&mut fleet, Victim::Target, Fault::Kill);
    check_order(&result);
    assert!(result.is_ok(), "the nodes are alive and must respond");
}

/// Guards against callers that wait past the deadline, and against a wrong `not-run` outcome, when
/// the egress or the target is frozen.
#[test]
fn frozen_processes() {
    for victim in [Victim::Egress, Victim::Target] {
        let mut fleet = ready_fleet();
        let start = Instant::now();
        let result = order_during_fault(&mut fleet, victim, Fault::Freeze);
        // The route's deadline is 5 s.
        assert!(start.elapsed() < Duration::from_secs(7), "{victim:?}");
        check_order(&result);
        assert!(
            result.is_ok(),
            "the ingress is alive and must respond: {victim:?}"
        );
    }
}

/// Guards against requests that are lost or duplicated, or that end with an `unknown` outcome, when
/// the egress is killed before anything was sent to it.
#[test]
fn killed_before_sending() {
    let mut fleet = ready_fleet();
    fleet.start_target(1, "records");
    let second = |fleet: &Fleet| {
        // The target may not listen yet.
        let report = call(fleet.target_addr(1), "GET", "/runs", &[]);
        report.map_or(0, |r| r.body.matches("/records/late").count())
    };
    eventually("the second target serves requests", || {
        let path = "/records/late";
        let _ = call_with_key(fleet.caller_addr(INGRESS), "GET", path, YARD_KEY);
        second(&fleet) > 0
    });
    inject(&mut fleet, Victim::Egress, Fault::Kill);
    // Until the loss is detected, an order may be routed to the killed egress; it then doesn't run or
    // is retried elsewhere.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let path = "/records/late";
        let response = call_with_key(fleet.caller_addr(INGRESS), "POST", path, OFFICE_KEY).unwrap();
        let outcome = response.header("laburnum-outcome").unwrap().to_owned();
        assert_ne!(outcome, "unknown", "nothing was sent: {response:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    let response = call_with_key(
        fleet.caller_addr(INGRESS),
        "POST",
        "/records/late",
        OFFICE_KEY,
    );
    assert_eq!(response.unwrap().status, 200);
}

/// Sends requests to `node` until `stopped` and returns how many were served.
fn load(addr: std::net::SocketAddr, stopped: &AtomicBool, failures: &AtomicUsize) -> usize {
    let mut served = 0;
    while !stopped.load(Ordering::Relaxed) {
        match call_with_key(addr, "GET", "/records/1?delay_ms=50", YARD_KEY) {
            Ok(response) if response.status == 200 => served += 1,
            other => {
                println!("not served: {other:?}");
                failures.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    served
}

/// Guards against requests that are aborted or refused when a node beside a target shuts down under
/// load while another target is available.
#[test]
fn egress_terminated() {
    let mut fleet = ready_fleet();
    fleet.start_target(1, "records");
    let addr = fleet.caller_addr(INGRESS);
    let (stopped, failures) = (AtomicBool::new(false), AtomicUsize::new(0));
    let served = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..2)
            .map(|_| scope.spawn(|| load(addr, &stopped, &failures)))
            .collect();
        std::thread::sleep(Duration::from_millis(1_500));
        let node = fleet.nodes[EGRESS].as_mut().unwrap();
        node.signal(Signal::TERM);
        assert_eq!(node.wait(), Some(0));
        std::thread::sleep(Duration::from_millis(500));
        stopped.store(true, Ordering::Relaxed);
        let served = callers.into_iter().map(|c| c.join().unwrap());
        served.sum::<usize>()
    });
    assert!(served > 50, "only {served} requests were served");
    assert_eq!(failures.load(Ordering::Relaxed), 0);
}

/// Guards against an account that gets more than its rate and burst across several nodes, and against
/// an account that loses its share to one that exceeds its own rate by far.
#[test]
fn rate_over_nodes() {
    const RATE: f64 = 20.0;
    const BURST: f64 = 40.0;
    let mut fleet = Fleet::start(3, 3);
    fleet.start_target(2, "records");
    let output = fleet.submit(&sample_note());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for node in 0..3 {
        eventually("a keyed request is served", || {
            let response = call_with_key(fleet.caller_addr(node), "GET", "/records/1", OFFICE_KEY);
            response.is_ok_and(|r| r.status == 200)
        });
    }
    let time = Duration::from_secs(10);
    let start = Instant::now();
    let (greedy, modest) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let refused = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        // Account office sends about 5 times its rate of 20/s over three nodes.
        for node in 0..3 {
            let addr = fleet.caller_addr(node);
            let greedy = &greedy;
            scope.spawn(move || {
                while start.elapsed() < time {
                    let response = call_with_key(addr, "GET", "/records/1", OFFICE_KEY).unwrap();
                    match response.status {
                        200 => _ = greedy.fetch_add(1, Ordering::Relaxed),
                        _ => assert_eq!(response.reason(), "rate", "{response:?}"),
                    }
                    std::thread::sleep(Duration::from_millis(30));
                }
            });
        }
        // Account yard stays at half its rate of 50/s.
        for node in 0..3 {
            let addr = fleet.caller_addr(node);
            let (modest, refused) = (&modest, &refused);
            scope.spawn(move || {
                while start.elapsed() < time {
                    let sent = start.elapsed();
                    let response = call_with_key(addr, "GET", "/records/1", YARD_KEY).unwrap();
                    match response.status {
                        200 => _ = modest.fetch_add(1, Ordering::Relaxed),
                        _ => refused.lock().unwrap().push((node, sent, response)),
                    }
                    std::thread::sleep(Duration::from_millis(120));
                }
            });
        }
    });
    let elapsed = start.elapsed().as_secs_f64();
    let greedy = greedy.load(Ordering::Relaxed) as f64;
    let modest = modest.load(Ordering::Relaxed);
    let refused = refused.into_inner().unwrap();
    println!("greedy={greedy} modest={modest} refused={refused:?} elapsed={elapsed:.1}s");
    assert!(greedy <= RATE * elapsed + BURST, "{greedy} in {elapsed} s");
    assert!(greedy >= RATE * elapsed * 0.8, "{greedy} in {elapsed} s");
    assert!(
        refused.is_empty(),
        "an account inside its rate was refused; {modest} were served"
    );
}
