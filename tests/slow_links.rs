//! Nodes whose links carry little: what they receive arrives late, and must still be of use.

#[path = "support/slow_link.rs"]
mod slow_link;

use std::fmt::Write;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumtide::control::{Handle, OFFLINE_TIME, Settings, spawn};
use laburnumtide::ctl::{Client, SubmitResponse};
use laburnumtide::fleet::Member;
use laburnumtide::metrics::Metrics;
use laburnumtide::node::components::ActiveConfig;
use laburnumtide::node::sync::ControlClient;
use laburnumtide::node::view::FleetView;
use laburnumtide::prelude::*;
use laburnumtide::wire::{
    Channel, Handler, Hello, Peer, Protocol, Role, Secret, accept, serve_frames,
};
use slow_link::SlowLink;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Bandwidth of a node's link, 2 Mbit/s.
const LINK_BYTES_PER_SEC: u64 = 250_000;

/// Delay of one direction between two availability zones.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// Time after a restart of the whole fleet in which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Time limit of steps that the tests don't measure.
const TIMEOUT: Duration = Duration::from_secs(30);

const CONTROLS: usize = 3;

static NETWORKS: AtomicU32 = AtomicU32::new(0);

fn fleet_secret() -> Secret {
    Secret::new(b"fleet-secret-0123456789").unwrap()
}

fn operator_secret() -> Secret {
    Secret::new(b"operator-secret-0123456789").unwrap()
}

/// Three control processes on addresses of their own.
struct Controls {
    network: u32,
    handles: Vec<Handle>,
    _dir: TempDir,
}

impl Controls {
    async fn start() -> Controls {
        let network = (std::process::id() << 4) | (NETWORKS.fetch_add(1, Ordering::Relaxed) & 15);
        let dir = TempDir::new().unwrap();
        let mut handles = Vec::new();
        for i in 0..CONTROLS {
            let peers = (0..CONTROLS).filter(|j| *j != i);
            let settings = Settings {
                link: addr(network, i, 7100),
                operator: addr(network, i, 7101),
                peers: peers.map(|j| addr(network, j, 7100)).collect(),
                bootstrap: true,
                voters: 0,
                offline: OFFLINE_TIME,
                data_dir: dir.path().join(format!("control{i}")),
                fleet_secret: fleet_secret(),
                operator_secret: operator_secret(),
                statsd: None,
            };
            handles.push(spawn(settings).await.unwrap());
        }
        Controls {
            network,
            handles,
            _dir: dir,
        }
    }

    async fn submit(&self, notes: impl IntoIterator<Item = String>) {
        let addrs = (0..CONTROLS).map(|i| addr(self.network, i, 7101)).collect();
        let mut client = Client::new(addrs, operator_secret());
        for note in notes {
            let response = client.submit(&note, TIMEOUT).await.unwrap();
            assert!(matches!(response, SubmitResponse::Committed(_)));
        }
    }

    fn position(&self) -> Position {
        let positions = self.handles.iter().map(|h| h.view().state().position());
        positions.max().unwrap()
    }

    /// Size of the configuration in bytes.
    fn config_size(&self) -> u64 {
        let state = self.handles[0].view().state();
        state.config().encode().len() as u64
    }
}

fn addr(network: u32, host: usize, port: u16) -> SocketAddr {
    let ip = [
        127,
        208 + (network >> 8 & 31) as u8,
        network as u8,
        host as u8 + 1,
    ];
    SocketAddr::from((ip, port))
}

/// Returns a note that adds or changes accounts, as `kind` says; `names` are their numbers.
fn note(number: u64, kind: &str, names: Range<u64>) -> String {
    let mut text = format!("number = {number}\n");
    for i in names {
        write!(
            text,
            "[[{kind}.accounts]]\nname = \"account-{i:05}\"\nrate = \"{}/s\"\nburst = 20\n",
            number + 1
        )
        .unwrap();
    }
    text
}

/// A node that has just started, behind a slow link.
struct Node {
    view: Arc<FleetView>,
    link: Arc<SlowLink>,
    _tasks: JoinSet<()>,
}

impl Node {
    async fn start(controls: &Controls) -> Node {
        let id = NodeId::random();
        let hello = Hello {
            role: Role::Node,
            id: id.0,
            protocol: Protocol::Frames,
        };
        let member = Member {
            id,
            addr: addr(controls.network, 50, 7201),
            zone: "zone-1".parse().unwrap(),
        };
        let config = Arc::new(ActiveConfig::new());
        let view = Arc::new(FleetView::new(member, Monotonic::new(), config));
        let link = SlowLink::new(LINK_BYTES_PER_SEC, LINK_DELAY);
        let mut seeds = Vec::new();
        for i in 0..CONTROLS {
            seeds.push(link.relay(addr(controls.network, i, 7100)).await);
        }
        let (sender, seeds) = watch::channel(seeds);
        let metrics = Metrics::open(None).unwrap();
        let client = ControlClient::new(view.clone(), seeds, fleet_secret(), hello, metrics);
        let (poller, watcher) = (Arc::new(client), sender);
        let mut tasks = JoinSet::new();
        let client = poller.clone();
        tasks.spawn(async move { poller.poll_freshness().await });
        tasks.spawn(async move {
            client.watch_changes().await;
            drop(watcher);
        });
        Node {
            view,
            link,
            _tasks: tasks,
        }
    }

    /// Waits until the node holds `position`, and returns the time since `start`.
    async fn reached(&self, position: Position, start: Instant, limit: Duration) -> Duration {
        while self.view.position() < position {
            assert!(
                start.elapsed() < limit,
                "at position {} of {position} after {limit:?}, {} kB received",
                self.view.position(),
                self.link.received() / 1_000
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        start.elapsed()
    }
}

/// Guards against nodes that never get a configuration after a restart of the whole fleet, since a
/// long log doesn't fit into the timeout of a call (incident inc1).
#[tokio::test(flavor = "multi_thread")]
async fn restart_never_ends() {
    let controls = Controls::start().await;
    controls.submit([note(1, "added", 0..600)]).await;
    let changes = (2..=40).map(|n| note(n, "changed", 0..600));
    controls.submit(changes).await;
    let start = Instant::now();
    let node = Node::start(&controls).await;
    let time = node
        .reached(controls.position(), start, RECOVERY_TIME)
        .await;
    println!(
        "reached_ms={} received={}",
        time.as_millis(),
        node.link.received()
    );
}

/// Guards against a configuration that takes longer than the timeout of a call and is therefore
/// requested again and again.
#[tokio::test(flavor = "multi_thread")]
async fn large_state_repeats() {
    let controls = Controls::start().await;
    let additions = (0..4).map(|n| note(n + 1, "added", n * 5_000..(n + 1) * 5_000));
    controls.submit(additions).await;
    let start = Instant::now();
    let node = Node::start(&controls).await;
    let time = node
        .reached(controls.position(), start, RECOVERY_TIME)
        .await;
    let (size, received) = (controls.config_size(), node.link.received());
    println!(
        "reached_ms={} size={size} received={received}",
        time.as_millis()
    );
    assert!(size > LINK_BYTES_PER_SEC, "the state fits into one call");
    assert!(
        received < 2 * size,
        "{received} bytes for a state of {size}"
    );
}

/// Returns the payload of each call.
struct Echo;

impl Handler for Echo {
    async fn handle(&self, _: Hello, _: Channel, payload: Bytes) -> Result<Bytes> {
        Ok(payload)
    }
}

/// Guards against calls that never get a connection, since each opens one anew and gives up before
/// the handshake has ended.
#[tokio::test(flavor = "multi_thread")]
async fn short_calls_reconnect() {
    let hello = Hello {
        role: Role::Node,
        id: 1,
        protocol: Protocol::Frames,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicU32::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let link = accept(stream, &fleet_secret(), hello).await?;
                serve_frames(link, Arc::new(Echo)).await
            });
        }
    });
    let link = SlowLink::new(LINK_BYTES_PER_SEC, Duration::from_millis(60));
    let peer = Peer::new(link.relay(server).await, fleet_secret(), hello);
    // Opening the connection takes two round trips, and a call one more.
    let limit = Duration::from_millis(200);
    let mut results = Vec::new();
    for _ in 0..10 {
        let call = peer.call(Channel::Limit, Bytes::from_static(b"x"), limit);
        results.push(call.await.is_ok());
    }
    let accepted = accepted.load(Ordering::Relaxed);
    assert!(
        results[3..].iter().all(|ok| *ok),
        "{results:?}, {accepted} connections"
    );
    assert_eq!(accepted, 1);
}
