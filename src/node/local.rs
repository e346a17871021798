//! The targets on this VM, as announced by themselves.

use std::cmp;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::Limits;
use crate::error::{Error, Result};
use crate::fleet::{
    CONNECTIONS_MAX, NodeRecord, SLOTS_MAX, TARGETS_MAX, TargetRecord, TargetState,
};
use crate::ids::{NodeId, ServiceName, TargetName, ZoneName};
use crate::node::departures::NodeDepartures;
use crate::node::meter::TargetMeter;
use crate::node::pool::Pool;
use crate::node::slots::TargetQueue;
use crate::time::{Clock, Monotonic, Time};
use crate::units::Slots;

/// Time without an announcement after which a target is removed.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after its start during which a target counts as cold.
pub const COLD_TIME: Duration = Duration::from_secs(10);

/// Remaining warm-up time up to which a target gets its full share at once; its queue and load
/// balancing by measured latency handle so short a warm-up.
const COLD_LEFT_MIN: Duration = Duration::from_secs(5);

/// Time for which a run that was replaced or timed out is remembered, so that a delayed announcement
/// doesn't restore it.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Maximum number of remembered runs that were replaced or timed out.
const TOMBSTONES_MAX: usize = 1_024;

/// Difference between announced start times that delays of announcements can cause.
const RESTART_MARGIN: Duration = Duration::from_secs(1);

/// Time for which a draining target still accepts requests that were sent before its state spread.
///
/// It ends before the 2 s after which a leaving target must not receive new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(1_500);

/// Link address in the departures of a node that exchanges none.
pub const NO_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The state that a target announces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name, unique on this VM.
    pub name: TargetName,
    /// Service that it provides.
    pub service: ServiceName,
    /// Address on which it accepts HTTP/1.1 requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: Slots,
    /// Maximum number of connections.
    pub connections: u32,
    /// Time since its start in milliseconds.
    pub started_ms_ago: u64,
    /// True once it drains and must not receive new requests.
    #[serde(default)]
    pub draining: bool,
    /// Its own estimate of its load, from 0 to 1; a hint only.
    #[serde(default)]
    pub load: f64,
    /// Identifies the run of the target and increases with each start, such as the start time.
    ///
    /// If it is `None`, a sequence that goes on shows the same run; without a sequence, only the address
    /// and the time since the start distinguish two runs.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Increases with each announcement of one run, so that a delayed one is detected; `None` if
    /// announcements can't overtake each other.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// Remaining warm-up time in milliseconds; `None` if the target doesn't state it.
    #[serde(default)]
    pub cold_ms: Option<u64>,
}

/// The result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceResult {
    /// It is applied.
    Accepted,
    /// It is older than the known state, or comes from a run that has ended or left.
    Stale,
    /// The VM has [`TARGETS_MAX`] other targets.
    Full,
    /// The target drains, but too few other nodes hold that yet.
    Unreplicated,
}

impl AnnounceResult {
    /// Returns the name in metrics.
    pub fn code(self) -> &'static str {
        match self {
            AnnounceResult::Accepted => "accepted",
            AnnounceResult::Stale => "stale",
            AnnounceResult::Full => "full",
            AnnounceResult::Unreplicated => "unreplicated",
        }
    }

    /// Returns the name of the counter of such results of announced drains.
    pub fn drain_counter(self) -> String {
        format!("leaves.draining.{}", self.code())
    }
}

/// What a deregistration changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveEffect {
    /// The run starts to leave.
    Started,
    /// The run was leaving already.
    Repeated,
    /// The run isn't in use here; its departure is recorded.
    Recorded,
    /// Nothing: the call names no run, and the target isn't known.
    Unidentified,
    /// The run leaves, but too few other nodes hold that yet.
    Unreplicated,
}

impl LeaveEffect {
    /// Returns the name in log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            LeaveEffect::Started => "started",
            LeaveEffect::Repeated => "repeated",
            LeaveEffect::Recorded => "recorded",
            LeaveEffect::Unidentified => "unidentified",
            LeaveEffect::Unreplicated => "unreplicated",
        }
    }

    /// Returns true if the leave may be acknowledged.
    pub fn is_lasting(self) -> bool {
        !matches!(self, LeaveEffect::Unidentified | LeaveEffect::Unreplicated)
    }
}

/// A target on this VM.
#[derive(Debug)]
pub struct LocalTarget {
    /// Its slots and the queue for them.
    pub queue: Arc<TargetQueue>,
    /// Measurements of its requests.
    pub meter: Arc<TargetMeter>,
    /// Connections to it.
    pub pool: Pool,
    clock: Monotonic,
    identity: TargetIdentity,
    last: Mutex<LastAnnouncement>,
}

/// The properties that identify a run of a target.
#[derive(Clone, Debug, PartialEq)]
struct TargetIdentity {
    service: ServiceName,
    address: SocketAddr,
    incarnation: Option<u64>,
}

/// The latest announcement.
#[derive(Clone, Debug)]
struct LastAnnouncement {
    received: Instant,
    sequence: Option<u64>,
    /// True once the target has deregistered; later announcements of the run can't undo this.
    deregistered: bool,
    started: Instant,
    limits: Limits,
    drain: Option<DrainEnd>,
}

/// The time from which a draining target accepts no request any more.
#[derive(Clone, Copy, Debug)]
struct DrainEnd {
    at: Instant,
    /// The same time on a clock that continues while the VM is suspended.
    boot_time: Time,
}

impl DrainEnd {
    fn after(time: Duration, now: Instant, clock: Monotonic) -> DrainEnd {
        DrainEnd {
            at: now + time,
            boot_time: clock.now() + time,
        }
    }

    fn is_over(&self, clock: Monotonic) -> bool {
        Instant::now() >= self.at || clock.now() >= self.boot_time
    }
}

impl LocalTarget {
    fn new(
        announcement: &Announcement,
        clock: Monotonic,
        connect_timeout: Duration,
        now: Instant,
    ) -> LocalTarget {
        let age = Duration::from_millis(announcement.started_ms_ago);
        let limits = announcement.limits();
        // No request was sent here on the strength of an earlier announcement to this process.
        let drain = announcement
            .draining
            .then(|| DrainEnd::after(Duration::ZERO, now, clock));
        LocalTarget {
            queue: TargetQueue::new(clock, limits, announcement.is_cold(age)),
            meter: TargetMeter::new(clock),
            pool: Pool::new(
                announcement.address,
                announcement.connections,
                connect_timeout,
            ),
            clock,
            identity: TargetIdentity::of(announcement),
            last: Mutex::new(LastAnnouncement {
                received: now,
                sequence: announcement.sequence,
                deregistered: false,
                started: announcement.started(now),
                limits,
                drain,
            }),
        }
    }

    /// Returns true if the announcement comes from the same run of the same target.
    fn is_same_run(&self, announcement: &Announcement, now: Instant) -> bool {
        let earlier = self.last().started;
        let restarted = announcement.incarnation.is_none()
            && announcement.sequence.is_none()
            && announcement.started(now) > earlier + RESTART_MARGIN;
        self.identity == TargetIdentity::of(announcement) && !restarted
    }

    /// Returns true if this target's known state is newer than the announcement.
    fn supersedes(&self, announcement: &Announcement) -> bool {
        match self.identity.incarnation.cmp(&announcement.incarnation) {
            cmp::Ordering::Less => false,
            // Without an incarnation it could be of any run, and of another writer.
            cmp::Ordering::Greater => true,
            cmp::Ordering::Equal => {
                let last = self.last();
                last.deregistered
                    || announcement
                        .sequence
                        .is_some_and(|s| Some(s) <= last.sequence)
                    || self.contradicts(announcement)
            }
        }
    }

    /// Returns true if this is the run `incarnation` of the target.
    pub fn is_run(&self, incarnation: u64) -> bool {
        self.identity.incarnation == Some(incarnation)
    }

    /// Returns true if the announcement names another service or address and doesn't show that the
    /// target started anew.
    fn contradicts(&self, announcement: &Announcement) -> bool {
        let tells_run = announcement.incarnation.is_some() || announcement.sequence.is_some();
        tells_run && self.identity != TargetIdentity::of(announcement)
    }

    /// Returns true if a request may be dispatched now.
    pub fn accepts_requests(&self) -> bool {
        let drain = self.last().drain;
        drain.is_none_or(|drain| !drain.is_over(self.clock))
    }

    fn update(&self, announcement: &Announcement, now: Instant) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.received = now;
        last.sequence = announcement.sequence;
        if last.limits != announcement.limits() {
            last.limits = announcement.limits();
            self.queue.set_limits(last.limits);
            self.pool.set_limit(announcement.connections);
        }
        // Without an incarnation, the target may be another run that is ready.
        if !announcement.draining && announcement.incarnation.is_none() {
            last.drain = None;
        }
        drop(last);
        if announcement.draining {
            self.start_drain(announcement, now);
        }
    }

    /// Starts the drain that the target announces, unless it has started.
    fn start_drain(&self, announcement: &Announcement, now: Instant) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if last.drain.is_none() {
            log::info!(
                event = "target-draining", target:% = announcement.name,
                incarnation:? = announcement.incarnation, sequence:? = announcement.sequence;
                "target started to drain"
            );
            last.drain = Some(DrainEnd::after(DRAIN_GRACE, now, self.clock));
        }
    }

    /// Marks the target as leaving; returns false if it was already.
    fn leave(&self, now: Instant) -> bool {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = !last.deregistered;
        last.deregistered = true;
        let end = DrainEnd::after(DRAIN_GRACE, now, self.clock);
        last.drain.get_or_insert(end);
        is_new
    }

    /// Ends the dispatch of requests at once unless the target drains; returns false if it does.
    fn end_dispatch(&self, now: Instant) -> bool {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = last.drain.is_none();
        let end = DrainEnd::after(Duration::ZERO, now, self.clock);
        last.drain.get_or_insert(end);
        is_new
    }

    fn last(&self) -> LastAnnouncement {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.clone()
    }

    fn record(&self, name: &TargetName) -> TargetRecord {
        let last = self.last();
        let state = match last.drain {
            Some(_) => TargetState::Draining,
            None => self.queue.state(),
        };
        TargetRecord {
            name: name.clone(),
            service: self.identity.service.clone(),
            addr: self.identity.address,
            slots: last.limits.slots,
            connections: last.limits.connections,
            state,
            health: self.meter.published(),
        }
    }
}

impl TargetIdentity {
    fn of(announcement: &Announcement) -> TargetIdentity {
        TargetIdentity {
            service: announcement.service.clone(),
            address: announcement.address,
            incarnation: announcement.incarnation,
        }
    }
}

impl Announcement {
    /// Checks the ranges of the fields.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of range.
    pub fn check(&self) -> Result<()> {
        if !(1..=SLOTS_MAX).contains(&self.slots.0) {
            return Err(Error::invalid(format!("slots must be 1 to {SLOTS_MAX}")));
        }
        if !(1..=CONNECTIONS_MAX).contains(&self.connections) {
            let message = format!("connections must be 1 to {CONNECTIONS_MAX}");
            return Err(Error::invalid(message));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(Error::invalid("the address has no host or no port"));
        }
        Ok(())
    }

    fn is_cold(&self, age: Duration) -> bool {
        match self.cold_ms {
            Some(left) => Duration::from_millis(left) > COLD_LEFT_MIN,
            None => age < COLD_TIME,
        }
    }

    fn limits(&self) -> Limits {
        Limits {
            slots: self.slots,
            connections: self.connections,
        }
    }

    fn started(&self, now: Instant) -> Instant {
        let age = Duration::from_millis(self.started_ms_ago);
        now.checked_sub(age).unwrap_or(now)
    }
}

/// The targets on this VM and the node record built from them.
#[derive(Debug)]
pub struct LocalTargets {
    clock: Monotonic,
    connect_timeout: Duration,
    targets: RwLock<BTreeMap<TargetName, Arc<LocalTarget>>>,
    departures: Arc<NodeDepartures>,
    /// False until the node has learned the departures of this VM; no target is used before.
    is_settled: AtomicBool,
    tombstones: Mutex<Vec<Tombstone>>,
    record: watch::Sender<NodeRecord>,
}

/// A run that was replaced on its address or timed out.
#[derive(Debug)]
struct Tombstone {
    name: TargetName,
    incarnation: u64,
    /// The last sequence number of a run that timed out; `None` if the run has ended.
    sequence: Option<u64>,
    since: Instant,
}

impl Tombstone {
    fn covers(&self, announcement: &Announcement) -> bool {
        let is_earlier = match self.sequence {
            Some(last) => announcement.sequence.is_some_and(|s| s <= last),
            None => true,
        };
        self.name == announcement.name
            && Some(self.incarnation) == announcement.incarnation
            && is_earlier
    }
}

impl LocalTargets {
    /// Creates an empty table for the node `me`, which is no member of a fleet; connections open
    /// within `connect_timeout`.
    pub fn new(
        me: NodeId,
        zone: ZoneName,
        clock: Monotonic,
        connect_timeout: Duration,
    ) -> LocalTargets {
        let departures = Arc::new(NodeDepartures::standalone(NO_ADDR));
        LocalTargets::with_departures(me, zone, clock, connect_timeout, departures)
    }

    /// Like [`LocalTargets::new`] with the departures of a node; those of a member of a fleet must be
    /// learned before the targets are used.
    pub fn with_departures(
        me: NodeId,
        zone: ZoneName,
        clock: Monotonic,
        connect_timeout: Duration,
        departures: Arc<NodeDepartures>,
    ) -> LocalTargets {
        let record = NodeRecord {
            node: me,
            version: 1,
            health_version: 1,
            zone,
            leaving: false,
            targets: Vec::new(),
        };
        LocalTargets {
            clock,
            connect_timeout,
            targets: RwLock::default(),
            is_settled: AtomicBool::new(!departures.is_member()),
            departures,
            tombstones: Mutex::default(),
            record: watch::Sender::new(record),
        }
    }

    /// Applies an announcement; an announced drain is complete once other nodes hold it.
    pub async fn announce_durably(&self, announcement: &Announcement) -> AnnounceResult {
        let result = self.announce(announcement);
        match announcement.incarnation.filter(|_| announcement.draining) {
            Some(run) if !self.wait_replicated(&announcement.name, run).await => {
                AnnounceResult::Unreplicated
            }
            _ => result,
        }
    }

    /// Marks a target as leaving, which is complete once other nodes hold it.
    pub async fn deregister_durably(
        &self,
        name: &TargetName,
        incarnation: Option<u64>,
    ) -> LeaveEffect {
        let held = self.find(name).and_then(|t| t.identity.incarnation);
        let effect = self.deregister(name, incarnation);
        match incarnation.or(held) {
            Some(run) if !self.wait_replicated(name, run).await => LeaveEffect::Unreplicated,
            _ => effect,
        }
    }

    async fn wait_replicated(&self, name: &TargetName, incarnation: u64) -> bool {
        let is_replicated = self.departures.wait_replicated(name, incarnation).await;
        if !is_replicated {
            log::warn!(
                event = "leave-unreplicated", target:% = name, incarnation;
                "leave not acknowledged: too few other nodes hold it"
            );
        }
        is_replicated
    }

    /// Puts the targets into use, after the departures of this VM have been learned.
    pub fn settle(&self) {
        self.apply_departures();
        self.is_settled.store(true, Ordering::Release);
        self.publish();
    }

    /// Sends no more requests to targets whose departure another node reported.
    pub fn apply_departures(&self) {
        let now = Instant::now();
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        for (name, target) in targets.iter() {
            let run = target.identity.incarnation;
            if run.is_some_and(|run| self.departures.contains(name, run))
                && target.end_dispatch(now)
            {
                log::info!(
                    event = "target-departed", target:% = name, incarnation:? = run;
                    "another node reported that the target leaves"
                );
            }
        }
        drop(targets);
        self.publish();
    }

    /// Applies an announcement.
    pub fn announce(&self, announcement: &Announcement) -> AnnounceResult {
        let now = Instant::now();
        if announcement.draining {
            self.record_drain(announcement, now);
        }
        if self.is_stale(announcement) {
            log::info!(
                event = "announcement-stale", target:% = announcement.name,
                sequence:? = announcement.sequence, incarnation:? = announcement.incarnation,
                draining = announcement.draining; "stale announcement of a target ignored"
            );
            return AnnounceResult::Stale;
        }
        if self.is_full(&announcement.name) {
            return AnnounceResult::Full;
        }
        self.replace_on_address(announcement, now);
        match self.find(&announcement.name) {
            Some(current) if current.is_same_run(announcement, now) => {
                current.update(announcement, now)
            }
            _ => {
                log::info!(
                    event = "target-announced", target:% = announcement.name,
                    service:% = announcement.service, address:% = announcement.address,
                    slots:% = announcement.slots, incarnation:? = announcement.incarnation,
                    sequence:? = announcement.sequence, draining = announcement.draining;
                    "target announced"
                );
                let target = LocalTarget::new(announcement, self.clock, self.connect_timeout, now);
                self.write()
                    .insert(announcement.name.clone(), Arc::new(target));
            }
        }
        self.publish();
        AnnounceResult::Accepted
    }

    /// Records an announced drain, which holds even if a later announcement has overtaken it.
    fn record_drain(&self, announcement: &Announcement, now: Instant) {
        let Some(incarnation) = announcement.incarnation else {
            return;
        };
        if let Some(current) = self.find(&announcement.name)
            && current.is_run(incarnation)
        {
            if current.contradicts(announcement) {
                return;
            }
            current.start_drain(announcement, now);
            self.publish();
        }
        self.departures.record(&announcement.name, incarnation);
    }

    /// Returns true if the announcement comes from a run that leaves, unless the target is in use
    /// and repeats that it drains.
    fn is_departed(&self, announcement: &Announcement) -> bool {
        let is_departed = |incarnation| self.departures.contains(&announcement.name, incarnation);
        let is_held = || {
            let target = self.find(&announcement.name);
            target.is_some_and(|t| t.identity.incarnation == announcement.incarnation)
        };
        let may_be_used = announcement.draining && is_held();
        announcement.incarnation.is_some_and(is_departed) && !may_be_used
    }

    /// Returns true if no target can be added under `name`.
    fn is_full(&self, name: &TargetName) -> bool {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.len() >= TARGETS_MAX && !targets.contains_key(name)
    }

    /// Marks a target as leaving; its requests in flight continue.
    pub fn deregister(&self, name: &TargetName, incarnation: Option<u64>) -> LeaveEffect {
        let now = Instant::now();
        let target = self.find(name);
        let leaving = incarnation.or(target.as_ref().and_then(|t| t.identity.incarnation));
        let effect = match &target {
            // Its earlier runs have ended too.
            Some(target) if target.identity.incarnation <= leaving => {
                let is_new = target.leave(now);
                if let Some(earlier) = target.identity.incarnation {
                    self.departures.record(name, earlier);
                }
                match is_new {
                    true => LeaveEffect::Started,
                    false => LeaveEffect::Repeated,
                }
            }
            _ if leaving.is_some() => LeaveEffect::Recorded,
            _ => LeaveEffect::Unidentified,
        };
        if let Some(incarnation) = leaving {
            self.departures.record(name, incarnation);
        }
        let known = target.as_ref().and_then(|t| t.identity.incarnation);
        let sequence = target.as_ref().and_then(|t| t.last().sequence);
        log::info!(
            event = "target-deregistered", target:% = name, incarnation:? = incarnation,
            known:? = known, sequence:? = sequence, effect = effect.code();
            "deregistration of a target"
        );
        self.publish();
        effect
    }

    /// Returns true if the announcement comes from a run that has ended or left, or is older than
    /// the known state of its name or address.
    fn is_stale(&self, announcement: &Announcement) -> bool {
        if self.is_departed(announcement) {
            return true;
        }
        let tombstones = self.lock_tombstones();
        if tombstones.iter().any(|t| t.covers(announcement)) {
            return true;
        }
        drop(tombstones);
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        let others = targets.iter().filter(|(name, t)| {
            **name == announcement.name || t.identity.address == announcement.address
        });
        let mut others = others.filter(|(name, t)| {
            **name == announcement.name || t.identity.incarnation != announcement.incarnation
        });
        others.any(|(_, t)| t.supersedes(announcement))
    }

    /// Removes earlier targets on the address of a new one, since only one can listen there.
    fn replace_on_address(&self, announcement: &Announcement, now: Instant) {
        if announcement.incarnation.is_none() {
            return;
        }
        let mut replaced = Vec::new();
        self.write().retain(|name, target| {
            let keep =
                target.identity.address != announcement.address || *name == announcement.name;
            if !keep {
                replaced.push((name.clone(), target.identity.incarnation));
            }
            keep
        });
        for (name, incarnation) in replaced {
            log::info!(
                event = "target-replaced", target:% = name, by:% = announcement.name;
                "target replaced by another on its address"
            );
            if let Some(incarnation) = incarnation {
                self.add_tombstone(Tombstone {
                    name,
                    incarnation,
                    sequence: None,
                    since: now,
                });
            }
        }
    }

    fn add_tombstone(&self, tombstone: Tombstone) {
        let mut tombstones = self.lock_tombstones();
        tombstones.retain(|t| t.since.elapsed() < TOMBSTONE_TTL);
        if tombstones.len() == TOMBSTONES_MAX {
            tombstones.remove(0);
        }
        tombstones.push(tombstone);
    }

    fn lock_tombstones(&self) -> MutexGuard<'_, Vec<Tombstone>> {
        self.tombstones
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the target with the given name, if targets are in use.
    pub fn get(&self, name: &TargetName) -> Option<Arc<LocalTarget>> {
        let is_settled = self.is_settled.load(Ordering::Acquire);
        is_settled.then(|| self.find(name)).flatten()
    }

    fn find(&self, name: &TargetName) -> Option<Arc<LocalTarget>> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.get(name).cloned()
    }

    /// Removes targets that stopped announcing and closes idle connections.
    pub fn tick(&self) {
        let now = Instant::now();
        let mut expired = Vec::new();
        self.write().retain(|name, target| {
            let last = target.last();
            let is_expired = now - last.received > ANNOUNCE_TIMEOUT;
            if is_expired {
                expired.push((name.clone(), target.identity.incarnation, last));
            }
            !is_expired
        });
        for (name, incarnation, last) in expired {
            log::warn!(
                event = "target-timed-out", target:% = name, incarnation:? = incarnation,
                sequence:? = last.sequence, draining = last.drain.is_some();
                "target removed: no announcement in time"
            );
            if let (Some(incarnation), Some(sequence)) = (incarnation, last.sequence) {
                self.add_tombstone(Tombstone {
                    name,
                    incarnation,
                    sequence: Some(sequence),
                    since: now,
                });
            }
        }
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.values().for_each(|target| target.pool.trim());
        drop(targets);
        self.publish();
    }

    /// Marks the node as leaving.
    pub fn leave(&self) {
        self.record.send_modify(|record| {
            record.leaving = true;
            record.version += 1;
        });
    }

    /// Returns a receiver of this node's own record.
    pub fn records(&self) -> watch::Receiver<NodeRecord> {
        self.record.subscribe()
    }

    fn publish(&self) {
        if !self.is_settled.load(Ordering::Acquire) {
            return;
        }
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        let list: Vec<TargetRecord> = targets.iter().map(|(n, t)| t.record(n)).collect();
        self.record.send_if_modified(|record| {
            let changed = record.targets != list;
            if changed {
                record.version += u64::from(record.differs_beyond_health(&list));
                record.health_version += 1;
                record.targets = list;
            }
            changed
        });
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, BTreeMap<TargetName, Arc<LocalTarget>>> {
        self.targets.write().unwrap_or_else(PoisonError::into_inner)
    }
}
