//! The node daemon: ingress, egress, admin listener, sync and gossip.
//!
//! A caller's request enters at the ingress of any node ([`ingress`]), which authenticates and
//! admits it, picks a target ([`targets`]) and forwards it ([`forward`]) over a link ([`links`]) to
//! the egress ([`egress`]) on the target's VM. The egress waits for a slot ([`slots`]) and
//! dispatches the request on a connection of its pool ([`pool`]).
//!
//! [`join`] starts a node as a member of the fleet: [`sync`] keeps its [`view`] of the fleet
//! current, and [`limits`] and [`idempotency_records`] exchange messages with other nodes about rate
//! limits and idempotency keys. Targets announce themselves at the admin listener ([`admin`]) and
//! are kept in [`local`].

pub mod active_requests;
pub mod admin;
pub mod calls;
pub mod components;
pub mod context;
pub mod departures;
pub mod dialect;
pub mod drain;
pub mod egress;
pub mod forward;
pub mod idempotency_records;
pub mod in_flight;
pub mod ingress;
pub mod join;
pub mod key_check;
pub mod limits;
pub mod links;
pub mod listen;
pub mod local;
pub mod meter;
pub mod open_limit;
pub mod pool;
mod request_log;
pub mod response_body;
pub mod settings;
pub mod slots;
pub mod sync;
mod sync_report;
pub mod target_body;
pub mod targets;
mod traffic_report;
pub mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

pub use components::{ActiveConfig, Components, Freshness, Idempotency, RateLimiter};
pub use departures::REPLICATION_TIMEOUT;
pub use dialect::{Dialect, Dispatch, NativeDialect, RequestInfo};
pub use join::{spawn, spawn_with_dialect};
pub use local::{AnnounceResult, Announcement, LeaveEffect};
pub use settings::{Limits, Settings};

use crate::config::Account;
use crate::error::{Error, Result};
use crate::fleet::NodeRecord;
use crate::idempotency::{IdempotencyKey, RunResult};
use crate::ids::{AccountName, NodeId, RequestId, TargetName};
use crate::metrics::Metrics;
use crate::outcome::{Reason, Refusal};
use crate::time::Monotonic;
use crate::wire::{Channel, Handler, Hello};
use admin::Admin;
use departures::NodeDepartures;
use egress::Egress;
use forward::Forwarder;
use in_flight::{DrainStage, InFlight};
use ingress::Ingress;
use key_check::KeyCheck;
use links::Links;
use listen::{LinkService, Shutdown};
use local::{LocalTargets, NO_ADDR};
use targets::Targets;

/// Time between checks for targets that stopped announcing and for an expired freshness proof.
const TICK: Duration = Duration::from_millis(250);

/// A running node.
pub struct Handle {
    id: NodeId,
    link_addr: SocketAddr,
    caller_addr: SocketAddr,
    admin_addr: SocketAddr,
    config: Arc<ActiveConfig>,
    targets: Arc<Targets>,
    links: Arc<Links>,
    local: Arc<LocalTargets>,
    metrics: Metrics,
    in_flight: InFlight,
    shutdown: Shutdown,
    forwarder: Arc<Forwarder>,
    stop: CancellationToken,
    limits: Limits,
    seeds: watch::Sender<Vec<SocketAddr>>,
}

/// The components of a node without config sync: never fresh, refusing every keyed request.
#[derive(Debug, Default)]
pub struct Unsynced;

impl Freshness for Unsynced {
    fn is_fresh(&self) -> bool {
        false
    }
}

impl RateLimiter for Unsynced {
    async fn admit(
        &self,
        _: &Account,
        _: Duration,
        _: Duration,
    ) -> std::result::Result<(), Refusal> {
        Err(Refusal::after(Reason::Starting, Duration::from_secs(1)))
    }
}

impl Idempotency for Unsynced {
    type Permit = ();

    async fn claim(
        &self,
        _: &AccountName,
        _: &IdempotencyKey,
        _: RequestId,
    ) -> std::result::Result<(), Refusal> {
        Err(Refusal::after(Reason::Starting, Duration::from_secs(1)))
    }

    fn is_valid(&self, (): &()) -> bool {
        false
    }

    fn report(&self, (): &(), _: RunResult) {}
}

impl Handler for Unsynced {
    async fn handle(&self, _: Hello, channel: Channel, _: Bytes) -> Result<Bytes> {
        Err(Error::unavailable(format!("{channel:?} is not served")))
    }
}

/// Starts a node without config sync, which refuses every keyed request.
///
/// # Errors
///
/// Fails if a setting breaks a rule or an address can't be bound.
pub async fn spawn_unsynced(settings: Settings) -> Result<Handle> {
    let components = Components {
        config: Arc::default(),
        freshness: Arc::new(Unsynced),
        rate_limiter: Arc::new(Unsynced),
        idempotency: Arc::new(Unsynced),
    };
    spawn_with(settings, NodeId::random(), components, Arc::new(Unsynced)).await
}

/// Starts the node `me` with given components; `handler` serves the frames of other processes.
///
/// # Errors
///
/// Fails if a setting breaks a rule or an address can't be bound.
pub async fn spawn_with<F, L, I, H>(
    settings: Settings,
    me: NodeId,
    components: Components<F, L, I>,
    handler: Arc<H>,
) -> Result<Handle>
where
    F: Freshness,
    L: RateLimiter,
    I: Idempotency,
    H: Handler + Send + Sync + 'static,
{
    let metrics = Metrics::open(settings.statsd)?;
    let departures = Arc::new(NodeDepartures::standalone(NO_ADDR));
    let identity = (me, departures);
    spawn_with_metrics(
        settings,
        NativeDialect,
        identity,
        components,
        handler,
        metrics,
    )
    .await
}

/// Starts the node `me` with given components and metrics.
async fn spawn_with_metrics<F, L, I, H, D>(
    settings: Settings,
    dialect: D,
    (me, departures): (NodeId, Arc<NodeDepartures>),
    components: Components<F, L, I>,
    handler: Arc<H>,
    metrics: Metrics,
) -> Result<Handle>
where
    F: Freshness,
    L: RateLimiter,
    I: Idempotency,
    H: Handler + Send + Sync + 'static,
    D: Dialect,
{
    settings.check()?;
    let limits = settings.limits.clone();
    let callers = listen::bind("caller", settings.caller_listen)?;
    let link = listen::bind("link", settings.link_listen)?;
    let admins = listen::bind("admin", settings.admin_listen)?;
    let link_addr = settings.link_public.unwrap_or(link.local_addr()?);
    let clock = Monotonic::new();
    let in_flight = InFlight::default();
    let shutdown = Shutdown::default();
    let config = components.config.clone();
    let freshness = components.freshness.clone();
    let targets = Arc::new(Targets::new(clock, settings.zone.clone()));
    let links = Arc::new(Links::new(me, settings.secret.clone(), limits.connect_time));
    let zone = settings.zone;
    let local = LocalTargets::with_departures(me, zone, clock, limits.connect_time, departures);
    let local = Arc::new(local);
    let forwarder = Forwarder::new(
        targets.clone(),
        links.clone(),
        clock,
        metrics.clone(),
        settings.retries,
    );
    let forwarder = Arc::new(forwarder);
    let ingress = Ingress::new(
        components,
        dialect.clone(),
        forwarder.clone(),
        clock,
        in_flight.clone(),
        metrics.clone(),
        &limits,
    );
    let ingress = Arc::new(ingress);
    let egress = Arc::new(Egress::new(
        dialect,
        local.clone(),
        ingress.calls().clone(),
        KeyCheck::new(config.clone(), freshness.clone()),
        clock,
        in_flight.clone(),
        &limits,
    ));
    let admin = Admin::new(
        settings.announce,
        local.clone(),
        config.clone(),
        freshness,
        metrics.clone(),
        in_flight.clone(),
    );
    let admin = Arc::new(admin);

    let handle = Handle {
        caller_addr: callers.local_addr()?,
        admin_addr: admins.local_addr()?,
        id: me,
        link_addr,
        config: config.clone(),
        targets: targets.clone(),
        links,
        local: local.clone(),
        metrics: metrics.clone(),
        in_flight,
        shutdown: shutdown.clone(),
        forwarder,
        stop: CancellationToken::new(),
        limits: limits.clone(),
        seeds: watch::Sender::new(settings.control),
    };
    let service = LinkService {
        me,
        secret: settings.secret,
        egress: egress.clone(),
        handler,
    };
    tokio::spawn(listen::serve_links(link, service, shutdown.clone()));
    tokio::spawn(listen::serve_admin(admins, admin.clone(), shutdown.clone()));
    tokio::spawn(listen::serve_callers(
        callers,
        ingress.clone(),
        limits,
        shutdown,
    ));
    let checks = run_checks(ingress.clone(), targets.clone(), config, metrics);
    handle.spawn_task(checks);
    handle.spawn_task(track_local(local, targets, link_addr));
    log::info!(
        event = "node-started", node:% = me, caller:% = handle.caller_addr,
        link:% = link_addr, admin:% = handle.admin_addr; "node started"
    );
    Ok(handle)
}

/// Cancels active requests whose key is withdrawn or not proven valid, and updates the targets'
/// ejection state.
async fn run_checks<F: Freshness, L: RateLimiter, I: Idempotency, D: Dialect>(
    ingress: Arc<Ingress<F, L, I, D>>,
    targets: Arc<Targets>,
    config: Arc<ActiveConfig>,
    metrics: Metrics,
) {
    let mut changes = config.changes();
    changes.mark_changed();
    let mut fresh = false;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
                ingress.mark_withdrawn();
                if let Some(config) = config.load() {
                    targets.set_floors(&config);
                }
            }
            _ = ticks.tick() => {
                let is_fresh = ingress.is_fresh();
                if is_fresh != fresh {
                    fresh = is_fresh;
                    let state = if fresh { "fresh" } else { "stale" };
                    log::info!(
                        event = "freshness", state;
                        "freshness of the configuration changed"
                    );
                }
                ingress.expire_requests();
                targets.tick(&metrics);
            }
        }
    }
}

/// Removes targets that stopped announcing and passes the others on this VM to the ingress.
async fn track_local(local: Arc<LocalTargets>, targets: Arc<Targets>, addr: SocketAddr) {
    let mut records = local.records();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            changed = records.changed() => if changed.is_err() { return },
            _ = ticks.tick() => local.tick(),
        }
        let record = records.borrow_and_update().clone();
        targets.update_node(addr, &record);
    }
}

impl Handle {
    /// Returns the id of this run of the node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the address of the link listener.
    pub fn link_addr(&self) -> SocketAddr {
        self.link_addr
    }

    /// Returns the address of the caller listener.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the address of the admin listener.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Returns the configuration in force.
    pub fn active_config(&self) -> &Arc<ActiveConfig> {
        &self.config
    }

    /// Returns the metrics of the node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns a receiver of the node's own record, for gossip.
    pub fn records(&self) -> watch::Receiver<NodeRecord> {
        self.local.records()
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.in_flight.running()
    }

    /// Applies the record of the node with the link address `addr`.
    pub fn update_node(&self, addr: SocketAddr, record: &NodeRecord) {
        self.targets.update_node(addr, record);
    }

    /// Applies the announcement of a target on this VM; completes within [`REPLICATION_TIMEOUT`].
    pub async fn announce(&self, announcement: &Announcement) -> AnnounceResult {
        let result = self.local.announce_durably(announcement).await;
        if announcement.draining {
            self.metrics.count(&result.drain_counter());
        }
        result
    }

    /// Marks a target on this VM as leaving, without an announced drain; completes within
    /// [`REPLICATION_TIMEOUT`].
    pub async fn deregister(&self, name: &TargetName, incarnation: Option<u64>) -> LeaveEffect {
        let effect = self.local.deregister_durably(name, incarnation).await;
        let counter = format!("leaves.deregister.{}", effect.code());
        self.metrics.count(&counter);
        effect
    }

    /// Replaces the seed addresses of the control processes.
    pub fn set_controls(&self, addrs: Vec<SocketAddr>) {
        self.seeds.send_replace(addrs);
    }

    /// Returns the stage of this node's drain.
    pub fn drain_stage(&self) -> DrainStage {
        self.in_flight.stage()
    }

    /// Removes the targets of a node and closes the links to it.
    pub fn remove_node(&self, node: NodeId) {
        self.targets.remove_node(node);
        self.links.remove_node(node);
    }

    /// Reports the node as not ready at once and starts the grace period of [`Handle::drain`].
    ///
    /// New requests are refused once the grace period is over.
    pub fn begin_drain(&self) {
        if !self.in_flight.begin_drain(self.limits.drain_times()) {
            return;
        }
        log::info!(event = "drain-started", running = self.in_flight.running(); "drain started");
        self.local.leave();
    }

    /// Leaves the fleet: refuses new requests after a grace period, finishes those in flight, then
    /// stops.
    ///
    /// Requests that are not finished in time get a refusal or an unknown outcome as their response.
    pub async fn drain(&self) {
        self.begin_drain();
        let end = drain::run(&self.in_flight, &self.shutdown).await;
        self.stop.cancel();
        end.report(&self.metrics);
    }

    fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }
}
