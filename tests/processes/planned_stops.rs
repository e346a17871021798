//! Requests around the planned stop of a node.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use laburnumtide::node::Limits;
use rustix::process::Signal;

use crate::caller::{Response, call, call_with_key};
use crate::end_to_end::make_ready;
use crate::fleet::{Fleet, eventually};
use crate::notes::YARD_KEY;

/// Time between the stop signal and the end of a process that is still there.
const GRACE: Duration = Duration::from_secs(6);

/// Latest time after the stop signal at which a request may be sent that is then cut.
const SENT_MAX: Duration = Duration::from_secs(3);

/// Time after the stop signal from which on a request may be cut.
const CUT_MIN: Duration = Duration::from_secs(5);

/// How late the process sees its signal in [`late_signal`].
const SIGNAL_LATE: Duration = Duration::from_millis(400);

/// Longest time in which a request that is not read sees its connection end.
const CROSSING_MAX: Duration = Duration::from_millis(200);

/// Number of targets with 7 slots each, beside the first.
const TARGETS: usize = 5;

/// The node that is stopped.
const INGRESS: usize = 0;

/// A request with the time at which it was sent, its response and when it ended.
struct Call {
    sent: Duration,
    delay: u64,
    result: std::io::Result<Response>,
    ended: Duration,
}

/// Sends a request at `at` after `start`; its target works for `delay` milliseconds.
fn send(addr: SocketAddr, start: Instant, at: Duration, delay: u64) -> JoinHandle<Call> {
    std::thread::spawn(move || {
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        let sent = start.elapsed();
        let path = format!("/records/order?delay_ms={delay}&bytes=3000&gap_ms=2");
        let result = call_with_key(addr, "POST", &path, YARD_KEY);
        Call {
            sent,
            delay,
            result,
            ended: start.elapsed(),
        }
    })
}

/// Returns true if the call was cut, or answered by the node, although its target worked on it.
fn is_cut(call: &Call) -> bool {
    match &call.result {
        Ok(response) => response.header("laburnum-outcome") == Some("unknown"),
        // A request that crosses the close of its connection is not read.
        Err(_) => call.ended - call.sent > CROSSING_MAX,
    }
}

fn check(calls: Vec<Call>) {
    let mut served = 0;
    for call in calls {
        served += usize::from(call.result.as_ref().is_ok_and(|r| r.status == 200));
        let is_excused = call.sent <= SENT_MAX && call.ended >= CUT_MIN;
        assert!(
            !is_cut(&call) || is_excused,
            "sent at {:?}, target works {} ms, ended at {:?}: {:?}",
            call.sent,
            call.delay,
            call.ended,
            call.result
        );
    }
    assert!(served > 10, "only {served} were served");
}

/// Starts a fleet whose nodes drain as the grace time demands.
fn fleet() -> Fleet {
    let limits = Limits::for_grace(GRACE);
    let flag = |time: Duration| format!("{}ms", time.as_millis());
    let options = vec![
        ("drain-grace", flag(limits.drain_grace)),
        ("drain-max", flag(limits.drain_max)),
    ];
    let mut fleet = make_ready(Fleet::start_with(3, 3, options));
    // The slots of one target would be too few.
    for _ in 0..TARGETS {
        fleet.start_target(1, "records");
    }
    eventually("every target serves requests", || {
        let path = "/records/warm";
        let _ = call_with_key(fleet.caller_addr(INGRESS), "GET", path, YARD_KEY);
        let ran = |i| {
            let runs = call(fleet.target_addr(i), "GET", "/runs", &[]);
            runs.is_ok_and(|r| r.body.contains(path))
        };
        (1..=TARGETS).all(ran)
    });
    fleet
}

/// Stops a node, whose process sees the signal `late` after it was sent, while requests arrive.
fn stop_under_load(late: Duration) {
    let mut fleet = fleet();
    let addr = fleet.caller_addr(INGRESS);
    let start = Instant::now() + Duration::from_millis(500);
    let calls: Vec<_> = (0..45)
        .map(|i| {
            send(
                addr,
                start,
                Duration::from_millis(i * 80),
                [100, 1_800, 2_700, 4_000][i as usize % 4],
            )
        })
        .collect();
    std::thread::sleep(start.saturating_duration_since(Instant::now()) + late);
    let node = fleet.nodes[INGRESS].as_mut().unwrap();
    node.signal(Signal::TERM);
    assert_eq!(node.wait(), Some(0));
    let gone = start.elapsed();
    check(calls.into_iter().map(|c| c.join().unwrap()).collect());
    assert!(gone < GRACE, "gone after {gone:?}");
}

/// Guards against requests that are taken late after a planned stop and cut while their target works.
#[test]
fn late_requests_are_whole() {
    stop_under_load(Duration::ZERO);
}

/// Guards against the same where the process sees its stop signal late.
#[test]
fn late_signal() {
    stop_under_load(SIGNAL_LATE);
}
