//! Leaves of targets whose node is killed after it has acknowledged them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::caller::call_with_key;
use crate::fleet::{Fleet, eventually};
use crate::notes::{YARD_KEY, sample_note};

/// Time after an acknowledged leave from which on the target gets no request.
const DRAIN_MAX: Duration = Duration::from_secs(2);

/// Time in which the restarted node gets late announcements.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// A target that notes when requests arrive.
struct Target {
    addr: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Target {
    fn open() -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let noted = arrivals.clone();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut head = [0; 4_096];
                if stream.read(&mut head).is_ok_and(|n| n > 0) {
                    noted.lock().unwrap().push(Instant::now());
                }
                let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
                let _ = stream.write_all(answer);
            }
        });
        Target { addr, arrivals }
    }

    fn arrivals_after(&self, time: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at > time).count()
    }
}

/// Announces a run of the target and returns the status.
fn announce(fleet: &Fleet, target: &Target, run: (u64, u64), draining: bool) -> Option<u16> {
    let (incarnation, sequence) = run;
    let body = serde_json::json!({
        "name": "leaver", "service": "records", "address": target.addr, "slots": 4,
        "connections": 8, "started_ms_ago": 60_000, "draining": draining,
        "incarnation": incarnation, "sequence": sequence,
    });
    let body = body.to_string();
    let admin = fleet.admin_addr(2);
    let mut stream = TcpStream::connect(admin).ok()?;
    let head = format!(
        "POST /announce HTTP/1.1\r\nhost: {admin}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

fn is_served(fleet: &Fleet, node: usize) -> bool {
    let response = call_with_key(fleet.caller_addr(node), "GET", "/records/1", YARD_KEY);
    response.is_ok_and(|r| r.status == 200)
}

/// Starts a fleet whose node 2 has the target in use, and returns the last sequence number.
fn fleet_with(target: &Target) -> (Fleet, u64) {
    let fleet = Fleet::start(3, 3);
    let output = fleet.submit(&sample_note());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let mut sequence = 100;
    for node in 0..3 {
        eventually("the target is in use", || {
            sequence += 1;
            announce(&fleet, target, (7, sequence), false);
            is_served(&fleet, node)
        });
    }
    (fleet, sequence)
}

/// Guards against a leave that is forgotten when the node that acknowledged it is killed: a late
/// announcement puts the target into use again.
#[test]
fn node_killed_after_leave() {
    let target = Target::open();
    let (mut fleet, mut sequence) = fleet_with(&target);
    eventually("the leave is acknowledged", || {
        sequence += 1;
        announce(&fleet, &target, (7, sequence), true) == Some(200)
    });
    let left = Instant::now();
    sleep(Duration::from_millis(200));
    fleet.nodes[2].as_mut().unwrap().kill();
    fleet.start_node(2);
    while left.elapsed() < WATCH_TIME {
        announce(&fleet, &target, (7, 100), false);
        (0..3).for_each(|node| _ = is_served(&fleet, node));
        sleep(Duration::from_millis(20));
    }
    assert_eq!(target.arrivals_after(left + DRAIN_MAX), 0);
    eventually("the next run of the target is in use", || {
        announce(&fleet, &target, (8, 1), false);
        is_served(&fleet, 0)
    });
}
