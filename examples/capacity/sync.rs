//! Cost of real control processes by the number of nodes that follow them.
//!
//! The nodes here are tasks of this process that hold the node's side of the links: a question
//! every [`SYNC_INTERVAL`] to the leader, a held question to one control process, and an answer to
//! the leader's visits. They are registered like real nodes.

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

use crate::content::{SIZES, growth};
use crate::cost::millis;
use crate::fleet::{FLEET_SECRET, Fleet, Proc};
use crate::processes::{note_times, resident_mb, watch};

/// Nodes of each row; the last is the planned size.
const COUNTS: [usize; 4] = [36, 140, 280, 560];

/// Nodes that share one loopback host, each with a port of its own.
const HOST_NODES: usize = 60;

/// Longest time for one answer.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Time for registration and links to settle before a watch.
const SETTLE: Duration = Duration::from_secs(12);

/// Payload bytes of all stand-in nodes.
#[derive(Debug, Default)]
struct Traffic {
    asked: AtomicU64,
    answered: AtomicU64,
    calls: AtomicU64,
}

struct Standin {
    member: Member,
    peers: Vec<Peer>,
    clock: Monotonic,
    client: Mutex<Client>,
    traffic: Arc<Traffic>,
}

impl Standin {
    fn new(
        addr: SocketAddr,
        zone: usize,
        controls: &[SocketAddr],
        traffic: Arc<Traffic>,
    ) -> Result<Standin> {
        let id = NodeId::random();
        let secret = Secret::new(FLEET_SECRET.as_bytes())?;
        let peers = controls
            .iter()
            .map(|c| Peer::new(*c, secret.clone(), hello(id)));
        Ok(Standin {
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
            .asked
            .fetch_add(payload.len() as u64, Ordering::Relaxed);
        let bytes = self.peers[peer]
            .call(Channel::Sync, payload, wait + ANSWER_TIME)
            .await?;
        self.traffic
            .answered
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let answer = Response::decode(bytes)?;
        let mut client = self.client.lock().expect("no task panics with the lock");
        Ok(client.apply(&answer)?.more)
    }

    async fn ask_often(self: Arc<Self>, leader: usize) {
        let mut ticks = tokio::time::interval(SYNC_INTERVAL);
        loop {
            ticks.tick().await;
            // A failed call is repeated at the next interval.
            let _ = self.exchange(leader, Duration::ZERO).await;
        }
    }

    async fn wait_for_changes(self: Arc<Self>) {
        let peer = self.member.id.0 as usize % self.peers.len();
        loop {
            if self.exchange(peer, WAIT_MAX).await.is_err() {
                tokio::time::sleep(SYNC_INTERVAL).await;
            }
        }
    }

    /// Answers the visits of the leader and holds the links open until it closes them.
    async fn be_visited(self: Arc<Self>) -> Result<()> {
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

fn row(count: usize, salt: u32) -> Result<()> {
    let mut fleet = Fleet::start(0, salt)?;
    while fleet.leader().is_none() {
        std::thread::sleep(Duration::from_millis(100));
    }
    let leader = fleet.leader().context("a leader was seen")?;
    let traffic = Arc::new(Traffic::default());
    let runtime = Runtime::new()?;
    for i in 0..count {
        let addr = fleet.addr(20 + i / HOST_NODES, 7_300 + (i % HOST_NODES) as u16);
        let node = Standin::new(addr, i, &fleet.control_links(), traffic.clone())?;
        let node = Arc::new(node);
        runtime.spawn(node.clone().be_visited());
        runtime.spawn(node.clone().ask_often(leader));
        runtime.spawn(node.wait_for_changes());
    }
    let start = Instant::now();
    fleet.wait_registered(count)?;
    let registered = start.elapsed();
    std::thread::sleep(SETTLE);
    let before = read(&traffic);
    let procs: Vec<&Proc> = fleet.controls.iter().collect();
    let began = Instant::now();
    let shares = watch(&procs);
    let span = began.elapsed().as_secs_f64() * count as f64;
    let after = read(&traffic);
    let rate = |i: usize| (after[i] - before[i]) as f64 / span;
    let others = (0..3).filter(|i| *i != leader).map(|i| shares[i]);
    let memory = fleet.controls.iter().map(resident_mb).fold(0.0, f64::max);
    let times = note_times(&mut fleet)?;
    println!(
        "{count:>6} {:>8.2} {:>8.2} {memory:>8.1} {:>9.0} {:>9.0} {:>8.2} {:>8.0} {:>8.0} {:>8.0}",
        shares[leader],
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

fn read(traffic: &Traffic) -> [u64; 3] {
    [&traffic.asked, &traffic.answered, &traffic.calls].map(|n| n.load(Ordering::Relaxed))
}

/// Loads the whole configuration into starting nodes and prints what it takes.
fn loads() -> Result<()> {
    let mut fleet = Fleet::start(1, 11)?;
    let mut from = (0, 0);
    println!("\nfull load of the configuration into a node that starts, payload bytes");
    println!(
        "{:>8} {:>7} {:>9} {:>7} {:>10} {:>10} {:>10}",
        "accounts", "routes", "bytes", "calls", "wall ms", "at 20 KB/s", "leader ms"
    );
    for size in SIZES {
        for text in growth(from, size) {
            fleet.submit(&text)?;
        }
        from = size;
        let leader = fleet.leader().context("a fleet has a leader")?;
        let runtime = Runtime::new()?;
        let traffic = Arc::new(Traffic::default());
        let addr = fleet.addr(40, 7_400);
        let node = Standin::new(addr, 0, &fleet.control_links(), traffic.clone())?;
        let before = crate::cost::process_cpu(fleet.controls[leader].pid());
        let start = Instant::now();
        runtime.block_on(async {
            while node.exchange(leader, Duration::ZERO).await? {}
            anyhow::Ok(())
        })?;
        let wall = start.elapsed();
        let cpu = crate::cost::process_cpu(fleet.controls[leader].pid()).saturating_sub(before);
        let [_, bytes, calls] = read(&traffic);
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

/// Prints control processes by the number of nodes, and the full load.
pub fn print() -> Result<()> {
    println!("\ncontrol processes that N stand-in nodes follow, bytes and calls a second and node");
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "nodes",
        "leader %",
        "other %",
        "ctl MB",
        "asked B",
        "answer B",
        "calls",
        "reg ms",
        "note ms",
        "max ms"
    );
    for (salt, count) in COUNTS.into_iter().enumerate() {
        row(count, 4 + salt as u32)?;
    }
    loads()
}
