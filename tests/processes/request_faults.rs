//! Requests through kills, freezes and shutdowns of nodes and targets at every step.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::caller::{Answer, call, call_with_key};
use crate::fleet::{Fleet, eventually};
use crate::notes::{OFFICE_KEY, YARD_KEY, sample_note};
use crate::whole_path::served_fleet;

/// What a caller saw of one request.
type Seen = std::io::Result<Answer>;

/// A process that is hit.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Ingress,
    Egress,
    Target,
}

/// What hits it.
#[derive(Clone, Copy, Debug)]
enum Blow {
    Kill,
    Freeze,
}

/// Node that takes the callers of a test.
const INGRESS: usize = 0;

/// Node beside the target.
const EGRESS: usize = 2;

/// Returns how often the target ran a request with this path.
fn runs(fleet: &Fleet, path: &str) -> usize {
    let report = call(fleet.target_addr(0), "GET", "/runs", &[])
        .unwrap()
        .body;
    report.matches(path).count()
}

fn hit(fleet: &mut Fleet, victim: Victim, blow: Blow) {
    let process = match victim {
        Victim::Ingress => &mut fleet.nodes[INGRESS],
        Victim::Egress => &mut fleet.nodes[EGRESS],
        Victim::Target => &mut fleet.targets[0],
    };
    let process = process.as_mut().unwrap();
    match blow {
        Blow::Kill => process.kill(),
        Blow::Freeze => process.freeze(),
    }
}

/// Sends an order, hits a process while the target works on it, and returns what the caller saw.
fn order_through(fleet: &mut Fleet, victim: Victim, blow: Blow) -> Seen {
    let addr = fleet.caller_addr(INGRESS);
    let path = "/records/order?delay_ms=1500";
    let caller = std::thread::spawn(move || call_with_key(addr, "POST", path, YARD_KEY));
    eventually("the target works on the order", || {
        runs(fleet, "/records/order") == 1
    });
    hit(fleet, victim, blow);
    caller.join().unwrap()
}

fn check_order(seen: &Seen) {
    match seen {
        Ok(answer) => {
            let outcome = answer.header("laburnum-outcome");
            assert_eq!(outcome, Some("unknown"), "the order ran: {answer:?}");
        }
        Err(e) => println!("the caller saw its connection end: {e}"),
    }
}

/// Guards against a false "not run" and a second run when the egress dies during a request.
#[test]
fn egress_killed() {
    let mut fleet = served_fleet();
    let seen = order_through(&mut fleet, Victim::Egress, Blow::Kill);
    check_order(&seen);
    assert!(seen.is_ok(), "the ingress lives and must answer");
    assert_eq!(runs(&fleet, "/records/order"), 1);
}

/// Guards against a second run when the ingress dies during a request.
#[test]
fn ingress_killed() {
    let mut fleet = served_fleet();
    let seen = order_through(&mut fleet, Victim::Ingress, Blow::Kill);
    check_order(&seen);
    assert_eq!(runs(&fleet, "/records/order"), 1);
}

/// Guards against a false "not run" when a target dies while it works.
#[test]
fn target_killed() {
    let mut fleet = served_fleet();
    let seen = order_through(&mut fleet, Victim::Target, Blow::Kill);
    check_order(&seen);
    assert!(seen.is_ok(), "the nodes live and must answer");
}

/// Guards against callers that wait beyond the deadline, and against a false "not run", when the
/// egress or the target freezes.
#[test]
fn frozen_processes() {
    for victim in [Victim::Egress, Victim::Target] {
        let mut fleet = served_fleet();
        let start = Instant::now();
        let seen = order_through(&mut fleet, victim, Blow::Freeze);
        // The route's deadline is 5 s.
        assert!(start.elapsed() < Duration::from_secs(7), "{victim:?}");
        check_order(&seen);
        assert!(
            seen.is_ok(),
            "the ingress lives and must answer: {victim:?}"
        );
    }
}

/// Guards against requests that are lost or doubled when nothing was sent to a dead process yet.
#[test]
fn killed_before_sending() {
    let mut fleet = served_fleet();
    fleet.start_target(1, "records");
    let second = |fleet: &Fleet| {
        // The target may not listen yet.
        let report = call(fleet.target_addr(1), "GET", "/runs", &[]);
        report.map_or(0, |r| r.body.matches("/records/late").count())
    };
    eventually("the second target takes work", || {
        let path = "/records/late";
        let _ = call_with_key(fleet.caller_addr(INGRESS), "GET", path, YARD_KEY);
        second(&fleet) > 0
    });
    hit(&mut fleet, Victim::Egress, Blow::Kill);
    // Until the loss is known, an order may meet the dead egress; it then did not run, or moved on.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let path = "/records/late";
        let answer = call_with_key(fleet.caller_addr(INGRESS), "POST", path, OFFICE_KEY).unwrap();
        let outcome = answer.header("laburnum-outcome").unwrap().to_owned();
        assert_ne!(outcome, "unknown", "nothing was sent: {answer:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    let answer = call_with_key(
        fleet.caller_addr(INGRESS),
        "POST",
        "/records/late",
        OFFICE_KEY,
    );
    assert_eq!(answer.unwrap().status, 200);
}

/// Sends requests to `node` until `ended` and returns how many were answered.
fn load(addr: std::net::SocketAddr, ended: &AtomicBool, failures: &AtomicUsize) -> usize {
    let mut answered = 0;
    while !ended.load(Ordering::Relaxed) {
        match call_with_key(addr, "GET", "/records/1?delay_ms=50", YARD_KEY) {
            Ok(answer) if answer.status == 200 => answered += 1,
            other => {
                println!("not answered: {other:?}");
                failures.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    answered
}

/// Guards against requests that are cut or refused when a node beside a target shuts down under
/// load and another target is there.
#[test]
fn egress_terminated() {
    let mut fleet = served_fleet();
    fleet.start_target(1, "records");
    let addr = fleet.caller_addr(INGRESS);
    let (ended, failures) = (AtomicBool::new(false), AtomicUsize::new(0));
    let answered = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..2)
            .map(|_| scope.spawn(|| load(addr, &ended, &failures)))
            .collect();
        std::thread::sleep(Duration::from_millis(1_500));
        let node = fleet.nodes[EGRESS].as_mut().unwrap();
        node.signal(Signal::TERM);
        assert_eq!(node.wait(), Some(0));
        std::thread::sleep(Duration::from_millis(500));
        ended.store(true, Ordering::Relaxed);
        let answered = callers.into_iter().map(|c| c.join().unwrap());
        answered.sum::<usize>()
    });
    assert!(answered > 50, "only {answered} requests were answered");
    assert_eq!(failures.load(Ordering::Relaxed), 0);
}

/// Guards against an account that gets more than its rate and burst over several nodes, and
/// against one that loses its share to another that sends far more than its own.
#[test]
fn rate_over_nodes() {
    const RATE: f64 = 20.0;
    const BURST: f64 = 40.0;
    let mut fleet = Fleet::start(3, 3);
    fleet.start_target(2, "records");
    let output = fleet.submit(&sample_note());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    for node in 0..3 {
        eventually("a keyed request is answered", || {
            let answer = call_with_key(fleet.caller_addr(node), "GET", "/records/1", OFFICE_KEY);
            answer.is_ok_and(|a| a.status == 200)
        });
    }
    let time = Duration::from_secs(10);
    let start = Instant::now();
    let (greedy, modest) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let refused = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        // Account office sends about 5 times its rate of 20/s over three nodes.
        for node in 0..3 {
            let addr = fleet.caller_addr(node);
            let greedy = &greedy;
            scope.spawn(move || {
                while start.elapsed() < time {
                    let answer = call_with_key(addr, "GET", "/records/1", OFFICE_KEY).unwrap();
                    match answer.status {
                        200 => _ = greedy.fetch_add(1, Ordering::Relaxed),
                        _ => assert_eq!(answer.reason(), "rate", "{answer:?}"),
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
                    let answer = call_with_key(addr, "GET", "/records/1", YARD_KEY).unwrap();
                    let count = if answer.status == 200 {
                        modest
                    } else {
                        refused
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(120));
                }
            });
        }
    });
    let elapsed = start.elapsed().as_secs_f64();
    let greedy = greedy.load(Ordering::Relaxed) as f64;
    let modest = modest.load(Ordering::Relaxed);
    let refused = refused.load(Ordering::Relaxed);
    println!("greedy={greedy} modest={modest} refused={refused} elapsed={elapsed:.1}s");
    assert!(greedy <= RATE * elapsed + BURST, "{greedy} in {elapsed} s");
    assert!(greedy >= RATE * elapsed * 0.8, "{greedy} in {elapsed} s");
    assert_eq!(
        refused, 0,
        "an account inside its rate was refused; {modest} were answered"
    );
}
