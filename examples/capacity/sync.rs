//! Cost of real control processes by the number of nodes that synchronize with them.
//!
//! The nodes are simulated by tasks of this process that implement the node's side of the links: a
//! sync request to the leader every [`SYNC_INTERVAL`], a long poll to one control process, and a
//! listener for the leader's probes. They are registered like real nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use laburnumtide::fleet::Member;
use laburnumtide::ids::NodeId;
use laburnumtide::time::{Clock, Monotonic};
use laburnumtide::wire::sync::{Client, Response, SYNC_INTERVAL, WAIT_MAX};
use laburnumtide::wire::{Channel, Hello, Peer, Protocol, Role, Secret, accept};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::content::{SIZES, growth_notes};
use crate::cost::millis;
use crate::fleet::{FLEET_SECRET, Fleet, Proc};
use crate::processes::{measure_cpu, note_times, resident_mb};

/// Number of nodes in each row; the last row is the planned size.
const COUNTS: [usize; 4] = [36, 140, 280, 560];

/// Number of nodes that share one loopback address, each with its own port.
const NODES_PER_HOST: usize = 60;

/// Timeout for a response, in addition to the time of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for registration and links to settle before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Payload bytes and calls of all simulated nodes.
#[derive(Debug, Default)]
struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    calls: AtomicU64,
}

struct SimulatedNode {
    member: Member,
    peers: Vec<Peer>,
    clock: Monotonic,
    client: Mutex<Client>,
    traffic: Arc<Traffic>,
}

impl SimulatedNode {
    fn new(
        addr: SocketAddr,
        zone: usize,
        controls: &[SocketAddr],
        traffic: Arc<Traffic>,
    ) -> Result<SimulatedNode> {
        let id = NodeId::random();
        let secret = Secret::new(FLEET_SECRET.as_bytes())?;
        let peers = controls
            .iter()
            .map(|c| Peer::new(*c, secret.clone(), hello(id)));
        Ok(SimulatedNode {
            member: Member {
                id,
                addr,
                zone: format!("zone-{}", zone % 9).parse()?,
            },
            peers: peers.collect(),
            clock: Monotonic::new(),
            client: Mutex::new(Client::new()),
            traffic,
        })
    }

    async fn exchange(&self, peer: usize, wait: Duration) -> Result<bool> {
        let request = {
            let client = self.client.lock().expect("no task panics with the lock");
            client.request(self.clock.now(), self.member.clone(), wait)
        };
        let payload = request.encode();
        self.traffic.calls.fetch_add(1, Ordering::Relaxed);
        self.traffic
            .sent
            .fetch_add(payload.len() as u64, Ordering::Relaxed);
        let bytes = self.peers[peer]
            .call(Channel::Sync, payload, wait + RESPONSE_TIMEOUT)
            .await?;
        self.traffic
            .received
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let response = Response::decode(bytes)?;
        let mut client = self.client.lock().expect("no task panics with the lock");
        Ok(client.apply(&response)?.more)
    }

    async fn poll_leader(self: Arc<Self>, leader: usize) {
        let mut ticks = tokio::time::interval(SYNC_INTERVAL);
        loop {
            ticks.tick().await;
            // A failed call is retried at the next interval.
            let _ = self.exchange(leader, Duration::ZERO).await;
        }
    }

    async fn long_poll(self: Arc<Self>) {
        let peer = self.member.id.0 as usize % self.peers.len();
        loop {
            if self.exchange(peer, WAIT_MAX).await.is_err() {
                tokio::time::sleep(SYNC_INTERVAL).await;
            }
        }
    }

    /// Accepts the probes of the leader and keeps each link open until the leader closes it.
    async fn accept_probes(self: Arc<Self>) -> Result<()> {
        let listener = TcpListener::bind(self.member.addr).await?;
        let secret = Secret::new(FLEET_SECRET.as_bytes())?;
        loop {
            let (stream, _) = listener.accept().await?;
            let (secret, hello) = (secret.clone(), hello(self.member.id));
            tokio::spawn(async move {
                if let Ok(link) = accept(stream, &secret, hello).await {
                    let _ = link.stream.readable().await;
                }
            });
        }
    }
}

fn hello(id: NodeId) -> Hello {
    Hello {
        role: Role::Node,
        id: id.0,
        protocol: Protocol::Frames,
    }
}

fn row(count: usize, index: u32) -> Result<()> {
    let mut fleet = Fleet::start(0, index)?;
    while fleet.leader().is_none() {
        std::thread::sleep(Duration::from_millis(100));
    }
    let leader = fleet.leader().context("the leader was lost")?;
    let traffic = Arc::new(Traffic::default());
    let runtime = Runtime::new()?;
    for i in 0..count {
        let addr = fleet.addr(20 + i / NODES_PER_HOST, 7_300 + (i % NODES_PER_HOST) as u16);
        let node = SimulatedNode::new(addr, i, &fleet.control_links(), traffic.clone())?;
        let node = Arc::new(node);
        runtime.spawn(node.clone().accept_probes());
        runtime.spawn(node.clone().poll_leader(leader));
        runtime.spawn(node.long_poll());
    }
    let start = Instant::now();
    fleet.wait_registered(count)?;
    let registered = start.elapsed();
    std::thread::sleep(SETTLE_TIME);
    let before = totals(&traffic);
    let procs: Vec<&Proc> = fleet.controls.iter().collect();
    let measure_start = Instant::now();
    let usage = measure_cpu(&procs);
    let span = measure_start.elapsed().as_secs_f64() * count as f64;
    let after = totals(&traffic);
    let rate = |i: usize| (after[i] - before[i]) as f64 / span;
    let others = (0..3).filter(|i| *i != leader).map(|i| usage[i]);
    let memory = fleet.controls.iter().map(resident_mb).fold(0.0, f64::max);
    let times = note_times(&mut fleet)?;
    println!(
        "{count:>6} {:>8.2} {:>8.2} {memory:>8.1} {:>9.0} {:>9.0} {:>8.2} {:>8.0} {:>8.0} {:>8.0}",
        usage[leader],
        others.fold(0.0, f64::max),
        rate(0),
        rate(1),
        rate(2),
        millis(registered),
        times.0,
        times.1,
    );
    Ok(())
}

fn totals(traffic: &Traffic) -> [u64; 3] {
    [&traffic.sent, &traffic.received, &traffic.calls].map(|n| n.load(Ordering::Relaxed))
}

/// Prints the cost of the initial load of the whole configuration into a new node.
fn initial_loads() -> Result<()> {
    let mut fleet = Fleet::start(1, 11)?;
    let mut from = (0, 0);
    println!("\ninitial load of the configuration into a new node, payload bytes");
    println!(
        "{:>8} {:>7} {:>9} {:>7} {:>10} {:>10} {:>10}",
        "accounts", "routes", "bytes", "calls", "wall ms", "at 20 KB/s", "leader ms"
    );
    for size in SIZES {
        for text in growth_notes(from, size) {
            fleet.submit(&text)?;
        }
        from = size;
        let leader = fleet.leader().context("the fleet has no leader")?;
        let runtime = Runtime::new()?;
        let traffic = Arc::new(Traffic::default());
        let addr = fleet.addr(40, 7_400);
        let node = SimulatedNode::new(addr, 0, &fleet.control_links(), traffic.clone())?;
        let before = crate::cost::process_cpu(fleet.controls[leader].pid());
        let start = Instant::now();
        runtime.block_on(async {
            while node.exchange(leader, Duration::ZERO).await? {}
            anyhow::Ok(())
        })?;
        let wall = start.elapsed();
        let cpu = crate::cost::process_cpu(fleet.controls[leader].pid()).saturating_sub(before);
        let [_, bytes, calls] = totals(&traffic);
        println!(
            "{:>8} {:>7} {bytes:>9} {calls:>7} {:>10.0} {:>9.0}s {:>10.0}",
            size.0,
            size.1,
            millis(wall),
            bytes as f64 / 20_000.0,
            millis(cpu),
        );
    }
    Ok(())
}

/// Prints the cost of control processes by the number of nodes, and the cost of the initial load.
pub fn print() -> Result<()> {
    println!("\ncontrol processes with N simulated nodes, bytes and calls per second and node");
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "nodes",
        "leader %",
        "other %",
        "ctl MB",
        "sent B",
        "recv B",
        "calls",
        "reg ms",
        "note ms",
        "max ms"
    );
    for (index, count) in COUNTS.into_iter().enumerate() {
        row(count, 4 + index as u32)?;
    }
    initial_loads()
}
