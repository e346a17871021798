//! The targets on this VM, as announced by themselves.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
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
use crate::node::meter::TargetMeter;
use crate::node::pool::Pool;
use crate::node::slots::TargetQueue;
use crate::time::Monotonic;
use crate::units::Slots;

/// Time without an announcement after which a target is removed.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after its start during which a target counts as cold.
pub const COLD_TIME: Duration = Duration::from_secs(10);

/// Remaining warm-up time up to which a target gets its full share at once; its queue and load
/// balancing by measured latency handle so short a warm-up.
const COLD_LEFT_MIN: Duration = Duration::from_secs(5);

/// Time for which the run of a departed target is remembered, so that a delayed announcement
/// doesn't restore it.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Difference between announced start times that delays of announcements can cause.
const RESTART_MARGIN: Duration = Duration::from_secs(1);

/// Time for which a draining target still accepts requests that were sent before its state spread.
///
/// It ends before the 2 s after which a leaving target must not receive new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(1_500);

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
    draining_since: Option<Instant>,
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
        LocalTarget {
            queue: TargetQueue::new(clock, limits, announcement.is_cold(age)),
            meter: TargetMeter::new(clock),
            pool: Pool::new(
                announcement.address,
                announcement.connections,
                connect_timeout,
            ),
            identity: TargetIdentity::of(announcement),
            last: Mutex::new(LastAnnouncement {
                received: now,
                sequence: announcement.sequence,
                deregistered: false,
                started: announcement.started(now),
                limits,
                draining_since: announcement.draining.then_some(now),
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
            Ordering::Less => false,
            // Without an incarnation it could be of any run, and of another writer.
            Ordering::Greater => true,
            Ordering::Equal => {
                let last = self.last();
                last.deregistered
                    || announcement
                        .sequence
                        .is_some_and(|s| Some(s) <= last.sequence)
                    || self.contradicts(announcement)
            }
        }
    }

    /// Returns true if the announcement names another service or address and doesn't show that the
    /// target started anew.
    fn contradicts(&self, announcement: &Announcement) -> bool {
        let tells_run = announcement.incarnation.is_some() || announcement.sequence.is_some();
        tells_run && self.identity != TargetIdentity::of(announcement)
    }

    /// Returns true if a request may be dispatched now.
    pub fn accepts_requests(&self) -> bool {
        let since = self.last().draining_since;
        since.is_none_or(|since| since.elapsed() < DRAIN_GRACE)
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
        last.draining_since = match announcement.draining {
            true => {
                if last.draining_since.is_none() {
                    log::info!(
                        event = "target-draining", target:% = announcement.name;
                        "target started to drain"
                    );
                }
                last.draining_since.or(Some(now))
            }
            false => None,
        };
    }

    /// Marks the target as leaving.
    fn leave(&self, now: Instant) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.deregistered = true;
        last.draining_since = last.draining_since.or(Some(now));
    }

    fn last(&self) -> LastAnnouncement {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.clone()
    }

    fn record(&self, name: &TargetName) -> TargetRecord {
        let last = self.last();
        let state = match last.draining_since {
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
    /// Runs that have left or were replaced on their address, with the time when this happened.
    tombstones: Mutex<Vec<(TargetName, Option<u64>, Instant)>>,
    record: watch::Sender<NodeRecord>,
}

impl LocalTargets {
    /// Creates an empty table for the node `me`; connections open within `connect_timeout`.
    pub fn new(
        me: NodeId,
        zone: ZoneName,
        clock: Monotonic,
        connect_timeout: Duration,
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
            tombstones: Mutex::default(),
            record: watch::Sender::new(record),
        }
    }

    /// Applies an announcement.
    pub fn announce(&self, announcement: &Announcement) -> AnnounceResult {
        let now = Instant::now();
        if self.is_stale(announcement) {
            log::info!(
                event = "announcement-stale", target:% = announcement.name,
                sequence:? = announcement.sequence, incarnation:? = announcement.incarnation;
                "stale announcement of a target ignored"
            );
            return AnnounceResult::Stale;
        }
        if self.is_full(&announcement.name) {
            return AnnounceResult::Full;
        }
        self.replace_on_address(announcement, now);
        match self.get(&announcement.name) {
            Some(current) if current.is_same_run(announcement, now) => {
                current.update(announcement, now)
            }
            _ => {
                log::info!(
                    event = "target-announced", target:% = announcement.name,
                    service:% = announcement.service, address:% = announcement.address,
                    slots:% = announcement.slots; "target announced"
                );
                let target = LocalTarget::new(announcement, self.clock, self.connect_timeout, now);
                self.write()
                    .insert(announcement.name.clone(), Arc::new(target));
            }
        }
        self.publish();
        AnnounceResult::Accepted
    }

    /// Returns true if no target can be added under `name`.
    fn is_full(&self, name: &TargetName) -> bool {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.len() >= TARGETS_MAX && !targets.contains_key(name)
    }

    /// Marks a target as leaving; its requests in flight continue.
    pub fn deregister(&self, name: &TargetName, incarnation: Option<u64>) {
        let now = Instant::now();
        if let Some(target) = self.get(name)
            && (incarnation.is_none() || incarnation == target.identity.incarnation)
        {
            log::info!(event = "target-deregistered", target:% = name; "target deregistered");
            target.leave(now);
            self.add_tombstone(name, target.identity.incarnation, now);
        }
        self.publish();
    }

    /// Returns true if the announcement comes from a run that has ended or left, or is older than
    /// the known state of its name or address.
    fn is_stale(&self, announcement: &Announcement) -> bool {
        let tombstones = self
            .tombstones
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let has_ended = |t: &(TargetName, Option<u64>, Instant)| {
            t.0 == announcement.name
                && t.1 == announcement.incarnation
                && announcement.incarnation.is_some()
        };
        if tombstones.iter().any(has_ended) {
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
            self.add_tombstone(&name, incarnation, now);
        }
    }

    fn add_tombstone(&self, name: &TargetName, incarnation: Option<u64>, now: Instant) {
        let mut tombstones = self
            .tombstones
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        tombstones.retain(|(_, _, since)| now.duration_since(*since) < TOMBSTONE_TTL);
        tombstones.push((name.clone(), incarnation, now));
    }

    /// Returns the target with the given name.
    pub fn get(&self, name: &TargetName) -> Option<Arc<LocalTarget>> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.get(name).cloned()
    }

    /// Removes targets that stopped announcing and closes idle connections.
    pub fn tick(&self) {
        self.write().retain(|name, target| {
            let is_expired = target.last().received.elapsed() > ANNOUNCE_TIMEOUT;
            if is_expired {
                log::warn!(
                    event = "target-timed-out", target:% = name;
                    "target removed: no announcement in time"
                );
            }
            !is_expired
        });
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
