//! Startup of a node as a fleet member: configuration sync, gossip, rate limits and idempotency
//! records.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::error::{Error, Result};
use crate::fleet::{Member, NodeRecord, RecordVersion};
use crate::freshness::PROOF_LIFETIME_MAX;
use crate::idempotency::RetentionPolicy;
use crate::ids::NodeId;
use crate::limit::{SURELY_SMALL_FLEET, stretch};
use crate::metrics::Metrics;
use crate::node::components::{ActiveConfig, Components, Freshness};
use crate::node::departures::{NodeDepartures, keep_learning, learn, replicate};
use crate::node::dialect::{Dialect, NativeDialect};
use crate::node::forward::Forwarder;
use crate::node::idempotency_records::IdempotencyRecords;
use crate::node::limits::RateLimits;
use crate::node::links::Links;
use crate::node::local::LocalTargets;
use crate::node::settings::Settings;
use crate::node::sync::{ControlClient, Gossiper, serve_gossip};
use crate::node::targets::Targets;
use crate::node::traffic_report;
use crate::node::view::FleetView;
use crate::node::{Handle, spawn_with_metrics};
use crate::time::Monotonic;
use crate::units::Position;
use crate::wire::{Channel, Handler, Hello, Protocol, Role};

/// Shortest time between two updates of the request path from the view.
///
/// Gossip changes the view many times a second, more often than the request path needs.
const PROPAGATE_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks of the liveness of nodes.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(250);

/// Time allowed for the periodic checks of a node's freshness proof; see [`settle_time`].
const CHECK_TIME: Duration = Duration::from_secs(1);

/// Returns the time after which no node uses a registry older than an accepted one any more, for
/// keys or leases: its freshness proof and then its last lease have expired.
fn settle_time(limits: &RateLimits) -> Duration {
    PROOF_LIFETIME_MAX + stretch(limits.longest_vote()) + CHECK_TIME
}

/// Serves the frames of other nodes.
#[derive(Debug)]
struct FrameHandler {
    view: Arc<FleetView>,
    limits: Arc<RateLimits>,
    idempotency: Arc<IdempotencyRecords>,
}

impl Handler for FrameHandler {
    async fn handle(&self, peer: Hello, channel: Channel, payload: Bytes) -> Result<Bytes> {
        match channel {
            Channel::Gossip => serve_gossip(&self.view, payload),
            Channel::Limit => self.limits.serve(peer, payload).await,
            Channel::Idempotency => self.idempotency.serve(peer, payload),
            _ => Err(Error::unavailable(format!("{channel:?} is not served"))),
        }
    }
}

/// Starts a node that syncs with its control processes and gossips with the other nodes.
///
/// # Errors
///
/// Fails if a setting breaks a rule or an address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle> {
    spawn_with_dialect(settings, NativeDialect).await
}

/// Like [`spawn`], with another dialect for callers and targets.
///
/// # Errors
///
/// As [`spawn`].
pub async fn spawn_with_dialect<D: Dialect>(settings: Settings, dialect: D) -> Result<Handle> {
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
    let config = Arc::new(ActiveConfig::new());
    let view = Arc::new(FleetView::new(member, Monotonic::new(), config.clone()));
    let secret = settings.secret.clone();
    let metrics = Metrics::open(settings.statsd)?;
    let limits = RateLimits::new(config.clone(), secret.clone(), hello, metrics.clone());
    let limits = Arc::new(limits);
    let policy = RetentionPolicy {
        retention: settings.retention,
    };
    let idempotency = IdempotencyRecords::new(policy, secret.clone(), hello, metrics.clone());
    let idempotency = Arc::new(idempotency);
    let components = Components {
        config,
        freshness: view.clone(),
        rate_limiter: Arc::new(limits.clone()),
        idempotency: Arc::new(idempotency.clone()),
    };
    let frames = Arc::new(FrameHandler {
        view: view.clone(),
        limits: limits.clone(),
        idempotency: idempotency.clone(),
    });
    let departures = view.departures().clone();
    let identity = (me, departures.clone());
    let handle =
        spawn_with_metrics(settings, dialect, identity, components, frames, metrics).await?;
    handle.spawn_task(limits.clone().run());
    handle.spawn_task(idempotency.clone().run());
    handle.spawn_task(track_members(
        view.clone(),
        limits,
        idempotency,
        handle.forwarder.clone(),
        handle.metrics.clone(),
    ));
    let controls = Arc::new(ControlClient::new(
        view.clone(),
        handle.seeds.subscribe(),
        secret.clone(),
        hello,
        handle.metrics.clone(),
    ));
    let watcher = controls.clone();
    handle.spawn_task(async move { controls.poll_freshness().await });
    handle.spawn_task(async move { watcher.watch_changes().await });
    let gossiper = Arc::new(Gossiper::new(
        view.clone(),
        secret,
        hello,
        handle.metrics.clone(),
    ));
    handle.spawn_task(track_departures(
        departures,
        gossiper.clone(),
        handle.local.clone(),
    ));
    handle.spawn_task(gossiper.run());
    handle.spawn_task(publish_record(view.clone(), handle.records()));
    handle.spawn_task(traffic_report::run(handle.metrics.clone()));
    let (targets, links) = (handle.targets.clone(), handle.links.clone());
    handle.spawn_task(propagate_records(view, targets, links));
    Ok(handle)
}

/// Passes the registered and live nodes to the rate limits and the idempotency records.
async fn track_members(
    view: Arc<FleetView>,
    limits: Arc<RateLimits>,
    idempotency: Arc<IdempotencyRecords>,
    forwarder: Arc<Forwarder>,
    metrics: Metrics,
) {
    let mut changes = view.changes();
    let mut was_small = false;
    let mut known = Position(0);
    let mut accepted = AcceptedRegistries::default();
    loop {
        let registries = view.registries_after(known);
        let mut is_next = registries.is_gapless;
        for (position, registry) in &registries.versions {
            limits.set_registry(*position, is_next, registry);
            idempotency.set_registry(*position, is_next, registry);
            (known, is_next) = (*position, true);
        }
        let members = view.members();
        metrics.gauge("config.number", view.note_number().0);
        metrics.gauge("config.fresh", view.is_fresh().into());
        metrics.gauge("fleet.nodes", members.nodes.len() as u64);
        metrics.gauge("fleet.live", members.live.len() as u64);
        let is_live = |id| members.live.binary_search(&id).is_ok();
        forwarder.set_nodes(members.nodes.len());
        let is_small = (1..=SURELY_SMALL_FLEET).contains(&members.nodes.len());
        if members.accepted && is_small && !was_small {
            was_small = true;
            limits.assume_short_leases();
        }
        limits.set_live(is_live);
        limits.set_leaving(&members.leaving);
        idempotency.set_live(is_live);
        let is_fresh = view.is_fresh();
        limits.set_fresh(is_fresh);
        if is_fresh {
            idempotency.confirm();
        }
        if let Some(position) = registries.accepted {
            accepted.record(position);
            limits.set_accepted(position);
            let (limit_time, idempotency_time) = (settle_time(&limits), idempotency.settle_time());
            limits.settle(accepted.older_than(limit_time));
            idempotency.settle(accepted.older_than(idempotency_time));
            accepted.prune(limit_time.max(idempotency_time));
        }
        // A changed registry takes effect at once, since it determines the owners of the limits.
        let changed = changes.wait_for(|_| view.registry_position() != known);
        let _ = timeout(LIVENESS_INTERVAL, changed).await;
    }
}

/// The accepted registries, oldest first, with the times at which this node received their
/// acceptance.
#[derive(Debug, Default)]
struct AcceptedRegistries {
    received: VecDeque<(Position, Instant)>,
}

impl AcceptedRegistries {
    fn record(&mut self, position: Position) {
        if self
            .received
            .back()
            .is_none_or(|(last, _)| *last < position)
        {
            self.received.push_back((position, Instant::now()));
        }
    }

    /// Returns the last registry that has been accepted for longer than `time`, or zero.
    fn older_than(&self, time: Duration) -> Position {
        let mut old = self.received.iter().rev();
        let found = old.find(|(_, since)| since.elapsed() > time);
        found.map_or(Position(0), |(position, _)| *position)
    }

    /// Drops the registries before the last one that has been accepted for longer than `time`.
    fn prune(&mut self, time: Duration) {
        while self
            .received
            .get(1)
            .is_some_and(|(_, since)| since.elapsed() > time)
        {
            self.received.pop_front();
        }
    }
}

/// Learns the departures of this VM, puts its targets into use, and replicates later departures.
async fn track_departures(
    departures: Arc<NodeDepartures>,
    gossiper: Arc<Gossiper>,
    local: Arc<LocalTargets>,
) {
    let mut changes = departures.changes();
    let replication = replicate(departures.clone(), gossiper.clone());
    let application = async {
        let missing = learn(&departures, &gossiper).await;
        local.settle();
        tokio::join!(keep_learning(&departures, &gossiper, missing), async {
            while changes.changed().await.is_ok() {
                local.apply_departures();
            }
        });
    };
    tokio::join!(replication, application);
}

/// Publishes each change of the node's own record.
async fn publish_record(view: Arc<FleetView>, mut records: watch::Receiver<NodeRecord>) {
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

/// Passes changed records of other nodes, their health included, to the request path.
pub async fn propagate_records(view: Arc<FleetView>, targets: Arc<Targets>, links: Arc<Links>) {
    let mut changes = view.changes();
    let mut known: Vec<RecordVersion> = Vec::new();
    loop {
        let records = view.records();
        let mut present = Vec::with_capacity(records.len());
        for advertisement in records {
            let version = advertisement.record.full_version();
            let at = known.binary_search_by_key(&version.node, |k| k.node);
            if at.is_err() || at.is_ok_and(|at| known[at] != version) {
                targets.update_node(advertisement.addr, &advertisement.record);
            }
            present.push(version);
        }
        for RecordVersion { node, .. } in known {
            if present.binary_search_by_key(&node, |p| p.node).is_err() {
                targets.remove_node(node);
                links.remove_node(node);
            }
        }
        known = present;
        if changes.changed().await.is_err() {
            return;
        }
        sleep(PROPAGATE_INTERVAL).await;
        changes.mark_unchanged();
    }
}
