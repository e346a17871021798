//! The rate limits of nodes that exchange messages over loopback links.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumtide::config::{Account, Config, Note};
use laburnumtide::fleet::{Member, Registry, RegistryChange};
use laburnumtide::limit::{NodeInfo, Placement, Shard, TOKEN_WAIT_MAX};
use laburnumtide::metrics::Metrics;
use laburnumtide::node::ActiveConfig;
use laburnumtide::node::limits::RateLimits;
use laburnumtide::prelude::*;
use laburnumtide::wire::{Channel, Handler, Hello, Protocol, Role, Secret, accept, serve_frames};
use tokio::net::TcpListener;

const RATE: u64 = 100;
const BURST: u64 = 40;
const DEADLINE: Duration = Duration::from_secs(1);

/// Generous timeout until the shards of a fleet have owners on a busy machine.
const START_LIMIT: Duration = Duration::from_secs(30);

struct Serve {
    node: NodeId,
    limits: Arc<RateLimits>,
    cut_paths: CutPaths,
}

impl Handler for Serve {
    async fn handle(&self, peer: Hello, _: Channel, payload: Bytes) -> Result<Bytes> {
        let path = (NodeId(peer.id), self.node);
        if self.cut_paths.lock().unwrap().contains(&path) {
            std::future::pending::<()>().await;
        }
        self.limits.serve(peer, payload).await
    }
}

fn config() -> Config {
    let text = format!(
        "number = 1\n[[added.accounts]]\nname = \"bakery\"\nrate = \"{RATE}/s\"\nburst = {BURST}\n"
    );
    let mut config = Config::new();
    config.apply(&Note::parse(&text).unwrap()).unwrap();
    config
}

fn account(config: &Config) -> Account {
    config.account(&"bakery".parse().unwrap()).unwrap().clone()
}

/// A node of a fleet.
struct Node {
    info: NodeInfo,
    limits: Arc<RateLimits>,
    metrics: Metrics,
}

/// Pairs of nodes of which the second does not respond to the first.
type CutPaths = Arc<Mutex<Vec<(NodeId, NodeId)>>>;

async fn spawn_fleet(count: usize) -> Vec<Arc<RateLimits>> {
    let nodes = spawn_nodes(count, CutPaths::default()).await;
    nodes.into_iter().map(|node| node.limits).collect()
}

/// Starts nodes that are members of one registry, each in its own zone.
async fn spawn_nodes(count: usize, cut_paths: CutPaths) -> Vec<Node> {
    let secret = Secret::new(b"0123456789abcdef").unwrap();
    let (mut nodes, mut members) = (Vec::new(), Vec::new());
    for i in 0..count {
        let hello = Hello {
            role: Role::Node,
            id: NodeId::random().0,
            protocol: Protocol::Frames,
        };
        let active_config = Arc::new(ActiveConfig::new());
        active_config.store(config());
        let metrics = Metrics::open(None).unwrap();
        let limits = Arc::new(RateLimits::new(
            active_config,
            secret.clone(),
            hello,
            metrics.clone(),
        ));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        members.push(Member {
            id: NodeId(hello.id),
            addr: listener.local_addr().unwrap(),
            zone: format!("zone-{i}").parse().unwrap(),
        });
        let (served, secret) = (limits.clone(), secret.clone());
        let cut_paths = cut_paths.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (served, secret) = (served.clone(), secret.clone());
                let cut_paths = cut_paths.clone();
                tokio::spawn(async move {
                    let link = accept(stream, &secret, hello).await?;
                    let handler = Serve {
                        node: NodeId(hello.id),
                        limits: served,
                        cut_paths,
                    };
                    serve_frames(link, Arc::new(handler)).await
                });
            }
        });
        let member = members.last().unwrap();
        let info = NodeInfo {
            id: member.id,
            addr: member.addr,
            zone: member.zone.clone(),
        };
        nodes.push(Node {
            info,
            limits,
            metrics,
        });
    }
    members.sort_by_key(|m| m.id);
    let change = RegistryChange {
        joined: members,
        ..RegistryChange::default()
    };
    let registry = Registry::new().with_change(&change).unwrap();
    for node in &nodes {
        node.limits.set_registry(Position(1), true, &registry);
        node.limits.set_live(|_| true);
        node.limits.set_fresh(true);
        tokio::spawn(node.limits.clone().run());
    }
    nodes
}

/// Waits until each node has admitted a request; all earlier refusals must have reason `starting`.
async fn wait_admitted(nodes: &[Arc<RateLimits>], account: &Account) {
    let start = Instant::now();
    for node in nodes {
        while let Err(refusal) = node.admit(account, TOKEN_WAIT_MAX, DEADLINE).await {
            assert!(start.elapsed() < START_LIMIT, "last refusal {refusal:?}");
            assert_eq!(refusal.reason, Reason::Starting);
            assert!(refusal.retry_after.is_some());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let lease = laburnumtide::limit::LEASE;
    assert!(
        start.elapsed() >= lease,
        "admitted before the voters may vote"
    );
}

/// Floods all nodes for a time and returns the admissions and the time that they took.
async fn flood(nodes: &[Arc<RateLimits>], account: &Account) -> (u64, Duration) {
    let start = Instant::now();
    let callers = (0..8 * nodes.len()).map(|i| {
        let (node, account) = (nodes[i % nodes.len()].clone(), account.clone());
        tokio::spawn(async move {
            let mut admitted = 0;
            while start.elapsed() < Duration::from_secs(2) {
                match node.admit(&account, TOKEN_WAIT_MAX, DEADLINE).await {
                    Ok(()) => admitted += 1,
                    Err(refusal) => {
                        assert_eq!(refusal.reason, Reason::Rate);
                        assert!(refusal.retry_after.is_some());
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
            }
            admitted
        })
    });
    let counts = futures::future::join_all(callers.collect::<Vec<_>>()).await;
    let total = counts.into_iter().map(|c| c.unwrap()).sum();
    (total, start.elapsed())
}

async fn check_fleet(count: usize) {
    let nodes = spawn_fleet(count).await;
    let account = account(&config());
    wait_admitted(&nodes, &account).await;
    let (admitted, time) = flood(&nodes, &account).await;
    let max = BURST as f64 + RATE as f64 * time.as_secs_f64();
    assert!(admitted as f64 <= max, "{admitted} admitted in {time:?}");
    // Far below the rate, the fleet would refuse requests that it should admit.
    assert!(admitted as f64 >= max / 2.0, "{admitted} in {time:?}");
}

/// Guards against admissions beyond the rate and burst, and against unnecessary refusals, over real
/// links, locks and threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn three_nodes_share_a_rate() {
    check_fleet(3).await;
}

/// Guards against the same in a fleet of one node, which is its own only voter.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_node_keeps_a_rate() {
    check_fleet(1).await;
}

/// Waits until one node owns a shard and returns it.
async fn wait_owner(nodes: &[Node]) -> NodeId {
    let start = Instant::now();
    let owns = |node: &&Node| node.metrics.render().contains("limit.shards 1\n");
    loop {
        if let Some(node) = nodes.iter().find(owns) {
            return node.info.id;
        }
        assert!(start.elapsed() < START_LIMIT, "no node owns a shard");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Time within which a node finds a way to an owner round cut paths.
const DETOUR_MAX: Duration = Duration::from_secs(2);

/// Guards against an account without service on a node that can't reach the account's owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cut_path_is_relayed() {
    let took = check_cut_paths(4, false).await;
    assert!(took < START_LIMIT, "{took:?}");
}

/// Guards against the same on a node that can't reach the other candidate either.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cut_candidates_are_relayed() {
    let took = check_cut_paths(6, true).await;
    assert!(took < DETOUR_MAX, "{took:?}");
}

/// Cuts the path from one of `count` nodes to the owner of the account, or to both candidates, and
/// returns how long its first request takes to be admitted.
async fn check_cut_paths(count: usize, both: bool) -> Duration {
    let cut_paths = CutPaths::default();
    let nodes = spawn_nodes(count, cut_paths.clone()).await;
    let account = account(&config());
    let infos: Vec<NodeInfo> = nodes.iter().map(|node| node.info.clone()).collect();
    let mut placement = Placement::new(NodeId(0));
    placement.set_members(&infos, |_| true);
    let owners = placement.candidates(Shard::of(&account.name));
    let is_other = |node: &&Node| !owners.contains(&Some(node.info.id));
    let cut = nodes.iter().find(is_other).unwrap();
    let limits = |node: &Node| node.limits.clone();
    let others: Vec<_> = nodes
        .iter()
        .filter(|node| node.info.id != cut.info.id)
        .map(limits)
        .collect();
    wait_admitted(&others, &account).await;
    let owner = wait_owner(&nodes).await;
    match both {
        true => {
            let cut_from = |id: &NodeId| (cut.info.id, *id);
            let paths = owners.iter().flatten().map(cut_from);
            cut_paths.lock().unwrap().extend(paths);
        }
        false => cut_paths.lock().unwrap().push((cut.info.id, owner)),
    }
    let start = Instant::now();
    while let Err(refusal) = cut.limits.admit(&account, TOKEN_WAIT_MAX, DEADLINE).await {
        assert!(start.elapsed() < START_LIMIT, "last refusal {refusal:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    start.elapsed()
}
