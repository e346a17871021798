//! Joins a node to its fleet: configuration, gossip, limits and records of idempotency keys.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::error::{Error, Result};
use crate::fleet::{Member, NodeRecord};
use crate::freshness::EVIDENCE_LIFETIME;
use crate::ids::NodeId;
use crate::limit::{LEASE, SURELY_SMALL_FLEET};
use crate::metrics::Metrics;
use crate::node::edge::{Edge, OwnEdge};
use crate::node::forward::Forwarder;
use crate::node::limits::RateLimits;
use crate::node::links::Links;
use crate::node::plug::{Freshness, Parts, Policy};
use crate::node::repeats::RepeatRecords;
use crate::node::settings::Settings;
use crate::node::sync::{Controls, Gossiper, serve_gossip};
use crate::node::targets::Targets;
use crate::node::view::View;
use crate::node::{Handle, spawn_measured};
use crate::repeat::Terms;
use crate::time::Monotonic;
use crate::units::Position;
use crate::wire::{Channel, Handler, Hello, Protocol, Role};

/// Shortest time between two updates of the request path from the view.
///
/// Gossip changes the view many times a second; the request path needs a change only this often.
const SPREAD_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two looks at which nodes are alive.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which no node honours keys or leases by an earlier registry than an accepted one.
const SETTLE_TIME: Duration = EVIDENCE_LIFETIME.saturating_add(LEASE).saturating_mul(2);

/// Answers frames of other nodes.
#[derive(Debug)]
struct Frames {
    view: Arc<View>,
    limits: Arc<RateLimits>,
    repeats: Arc<RepeatRecords>,
}

impl Handler for Frames {
    async fn handle(&self, peer: Hello, channel: Channel, payload: Bytes) -> Result<Bytes> {
        match channel {
            Channel::Gossip => serve_gossip(&self.view, payload),
            Channel::Limit => self.limits.serve(peer, payload),
            Channel::Repeat => self.repeats.serve(peer, payload),
            _ => Err(Error::unavailable(format!("{channel:?} is not served"))),
        }
    }
}

/// Starts a node that follows its control processes and gossips with the other nodes.
///
/// # Errors
///
/// Fails if a setting breaks a rule or an address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle> {
    spawn_at(settings, OwnEdge).await
}

/// Like [`spawn`], with another interface to callers and targets.
///
/// # Errors
///
/// As [`spawn`].
pub async fn spawn_at<E: Edge>(settings: Settings, edge: E) -> Result<Handle> {
    let me = NodeId::random();
    let hello = Hello {
        role: Role::Node,
        id: me.0,
        protocol: Protocol::Frames,
    };
    let member = Member {
        id: me,
        addr: settings.link_public.unwrap_or(settings.link_listen),
        zone: settings.zone.clone(),
    };
    let policy = Arc::new(Policy::new());
    let view = Arc::new(View::new(member, Monotonic::new(), policy.clone()));
    let secret = settings.secret.clone();
    let metrics = Metrics::open(settings.statsd)?;
    let limits = RateLimits::new(policy.clone(), secret.clone(), hello, metrics.clone());
    let limits = Arc::new(limits);
    let terms = Terms {
        retention: settings.retention,
    };
    let repeats = RepeatRecords::new(terms, secret.clone(), hello, metrics.clone());
    let repeats = Arc::new(repeats);
    let parts = Parts {
        policy,
        freshness: view.clone(),
        admission: Arc::new(limits.clone()),
        repeats: Arc::new(repeats.clone()),
    };
    let frames = Arc::new(Frames {
        view: view.clone(),
        limits: limits.clone(),
        repeats: repeats.clone(),
    });
    let handle = spawn_measured(settings, edge, me, parts, frames, metrics).await?;
    handle.watch(limits.clone().run());
    handle.watch(repeats.clone().run());
    handle.watch(keep_members(
        view.clone(),
        limits,
        repeats,
        handle.forwarder.clone(),
        handle.metrics.clone(),
    ));
    let controls = Arc::new(Controls::new(
        view.clone(),
        handle.seeds.subscribe(),
        secret.clone(),
        hello,
    ));
    let waiting = controls.clone();
    handle.watch(async move { controls.prove().await });
    handle.watch(async move { waiting.wait_for_changes().await });
    let gossiper = Arc::new(Gossiper::new(view.clone(), secret, hello));
    handle.watch(gossiper.run());
    handle.watch(publish_own(view.clone(), handle.records()));
    let (targets, links) = (handle.targets.clone(), handle.links.clone());
    handle.watch(spread(view, targets, links));
    Ok(handle)
}

/// Tells limits and records which nodes are registered and alive.
async fn keep_members(
    view: Arc<View>,
    limits: Arc<RateLimits>,
    repeats: Arc<RepeatRecords>,
    forwarder: Arc<Forwarder>,
    metrics: Metrics,
) {
    let mut changes = view.changes();
    let mut was_small = false;
    let mut accepted: Option<(Position, Instant)> = None;
    let (mut limits_settled, mut repeats_settled) = (None, None);
    loop {
        let members = view.members();
        metrics.gauge("config.number", view.number().0);
        metrics.gauge("config.fresh", view.is_fresh().into());
        metrics.gauge("fleet.nodes", members.nodes.len() as u64);
        metrics.gauge("fleet.live", members.live.len() as u64);
        let is_live = |id| members.live.binary_search(&id).is_ok();
        forwarder.set_nodes(members.nodes.len());
        let is_small = (1..=SURELY_SMALL_FLEET).contains(&members.nodes.len());
        if members.accepted && is_small && !was_small {
            was_small = true;
            limits.was_small();
        }
        limits.set_members(&members.nodes, is_live);
        limits.set_leaving(&members.leaving);
        repeats.set_members(&members.nodes, is_live);
        if view.is_fresh() {
            repeats.confirm();
        }
        accepted = match accepted {
            _ if !members.accepted => None,
            Some((position, since)) if position == members.registry => Some((position, since)),
            _ => Some((members.registry, Instant::now())),
        };
        if let Some((position, since)) = accepted {
            if limits_settled != Some(position) && since.elapsed() > SETTLE_TIME {
                limits.settle_members();
                limits_settled = Some(position);
            }
            if repeats_settled != Some(position) && since.elapsed() > repeats.settle_time() {
                repeats.settle_members();
                repeats_settled = Some(position);
            }
        }
        // A changed registry decides at once who owns the limits.
        let registry = members.registry;
        let changed = changes.wait_for(|_| view.registry_position() != registry);
        let _ = timeout(LIVENESS_INTERVAL, changed).await;
    }
}

/// Publishes each change of the node's own record.
async fn publish_own(view: Arc<View>, mut records: watch::Receiver<NodeRecord>) {
    let started = SystemTime::now().duration_since(UNIX_EPOCH);
    let started = started.map_or(0, |t| t.as_millis() as u64);
    loop {
        let record = records.borrow_and_update().clone();
        view.publish(record, started);
        if records.changed().await.is_err() {
            return;
        }
    }
}

/// Passes changed records of other nodes to the request path.
async fn spread(view: Arc<View>, targets: Arc<Targets>, links: Arc<Links>) {
    let mut changes = view.changes();
    let mut known: Vec<(NodeId, u64)> = Vec::new();
    loop {
        let records = view.records();
        let mut present = Vec::with_capacity(records.len());
        for published in records {
            let entry = (published.record.node, published.record.version);
            if known.binary_search(&entry).is_err() {
                targets.learn(published.addr, &published.record);
            }
            present.push(entry);
        }
        for (node, _) in known {
            if present.binary_search_by_key(&node, |p| p.0).is_err() {
                targets.forget(node);
                links.forget(node);
            }
        }
        known = present;
        if changes.changed().await.is_err() {
            return;
        }
        sleep(SPREAD_INTERVAL).await;
        changes.mark_unchanged();
    }
}
