//! The targets on this VM, as they announce themselves.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::admission::Limits;
use crate::fleet::{NodeRecord, TargetRecord, TargetState};
use crate::ids::{NodeId, ServiceName, TargetName, ZoneName};
use crate::node::meter::TargetMeter;
use crate::node::pool::Pool;
use crate::node::slots::TargetQueue;
use crate::time::Monotonic;
use crate::units::Slots;

/// A target that is silent for this long is taken as gone.
pub const SILENCE_MAX: Duration = Duration::from_secs(3);

/// A target counts as cold for this long after its start.
pub const COLD_TIME: Duration = Duration::from_secs(10);

/// A target that is cold for no longer than this gets its full share at once; the queue and the
/// choice of targets by their measured speed take care of so short a time.
const COLD_LEFT_MIN: Duration = Duration::from_secs(5);

/// How long a target that has left is remembered, so that a late announcement does not bring it back.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// How far announced starts may differ by delays of announcements.
const RESTART_MARGIN: Duration = Duration::from_secs(1);

/// A draining target still gets work that was sent before its state spread, for this long.
///
/// It ends before the 2 s after which a leaving target gets no new work.
const LEAVE_GRACE: Duration = Duration::from_millis(1_500);

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name, unique on this VM.
    pub name: TargetName,
    /// Service that it offers.
    pub service: ServiceName,
    /// Where it takes HTTP/1.1 requests.
    pub address: SocketAddr,
    /// Requests that it serves at the same time.
    pub slots: Slots,
    /// Connections that it accepts at the same time.
    pub connections: u32,
    /// Time since its start in milliseconds.
    pub started_ms_ago: u64,
    /// True once it wants no new work.
    #[serde(default)]
    pub draining: bool,
    /// Its own view of its load, from 0 to 1; a hint only.
    #[serde(default)]
    pub load: f64,
    /// Names the run of the target and grows with each start, such as the time of the start; none
    /// if only the address and the time since the start tell two runs apart.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Grows with each announcement of one run, so that a late one is known; none if announcements
    /// can't overtake each other.
    #[serde(default)]
    pub sequence: Option<u64>,
    /// Time until the target is as fast as it will be, in milliseconds; none if it doesn't say.
    #[serde(default)]
    pub cold_ms: Option<u64>,
}

/// What was made of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceResult {
    /// It is taken over.
    Accepted,
    /// It is older than what is known, or comes from a run that has ended or left.
    Stale,
}

/// A target on this VM.
#[derive(Debug)]
pub struct LocalTarget {
    /// Its slots and queue.
    pub queue: Arc<TargetQueue>,
    /// What its requests show.
    pub meter: Arc<TargetMeter>,
    /// Connections to it.
    pub pool: Pool,
    identity: TargetIdentity,
    said: Mutex<LastAnnouncement>,
}

/// What makes a target another one if it changes.
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
    /// True once the target has said that it leaves, which no later announcement takes back.
    left: bool,
    started: Instant,
    limits: Limits,
    draining_since: Option<Instant>,
}

impl LocalTarget {
    fn new(
        said: &Announcement,
        clock: Monotonic,
        connect_timeout: Duration,
        now: Instant,
    ) -> LocalTarget {
        let age = Duration::from_millis(said.started_ms_ago);
        let limits = said.limits();
        LocalTarget {
            queue: TargetQueue::new(clock, limits, said.is_cold(age)),
            meter: TargetMeter::new(clock),
            pool: Pool::new(said.address, said.connections, connect_timeout),
            identity: TargetIdentity::of(said),
            said: Mutex::new(LastAnnouncement {
                received: now,
                sequence: said.sequence,
                left: false,
                started: said.started(now),
                limits,
                draining_since: said.draining.then_some(now),
            }),
        }
    }

    /// Returns true if the announcement comes from the same run of the same target.
    fn is_same(&self, announcement: &Announcement, now: Instant) -> bool {
        let earlier = self.said().started;
        let restarted = announcement.incarnation.is_none()
            && announcement.started(now) > earlier + RESTART_MARGIN;
        self.identity == TargetIdentity::of(announcement) && !restarted
    }

    /// Returns true if the announcement is older than what is known of this address or name.
    fn supersedes(&self, announcement: &Announcement) -> bool {
        match self.identity.incarnation.cmp(&announcement.incarnation) {
            Ordering::Less => false,
            Ordering::Greater => announcement.incarnation.is_some(),
            Ordering::Equal => {
                let said = self.said();
                said.left
                    || announcement
                        .sequence
                        .is_some_and(|s| Some(s) <= said.sequence)
            }
        }
    }

    /// Returns true if a request may be handed over now.
    pub fn accepts_requests(&self) -> bool {
        let since = self.said().draining_since;
        since.is_none_or(|since| since.elapsed() < LEAVE_GRACE)
    }

    fn update(&self, announcement: &Announcement, now: Instant) {
        let mut said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        said.received = now;
        said.sequence = announcement.sequence;
        if said.limits != announcement.limits() {
            said.limits = announcement.limits();
            self.queue.set_limits(said.limits);
            self.pool.set_limit(announcement.connections);
        }
        said.draining_since = match announcement.draining {
            true => {
                if said.draining_since.is_none() {
                    log::info!(event = "target-drains", target:% = announcement.name; "target drains");
                }
                said.draining_since.or(Some(now))
            }
            false => None,
        };
    }

    /// Takes in that the target leaves.
    fn leave(&self, now: Instant) {
        let mut said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        said.left = true;
        said.draining_since = said.draining_since.or(Some(now));
    }

    fn said(&self) -> LastAnnouncement {
        let said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        said.clone()
    }

    fn record(&self, name: &TargetName) -> TargetRecord {
        let said = self.said();
        let state = match said.draining_since {
            Some(_) => TargetState::Draining,
            None => self.queue.state(),
        };
        TargetRecord {
            name: name.clone(),
            service: self.identity.service.clone(),
            addr: self.identity.address,
            slots: said.limits.slots,
            connections: said.limits.connections,
            state,
            health: self.meter.published(),
        }
    }
}

impl TargetIdentity {
    fn of(said: &Announcement) -> TargetIdentity {
        TargetIdentity {
            service: said.service.clone(),
            address: said.address,
            incarnation: said.incarnation,
        }
    }
}

impl Announcement {
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

/// The targets on this VM and the node record made of them.
#[derive(Debug)]
pub struct LocalTargets {
    clock: Monotonic,
    connect_timeout: Duration,
    targets: RwLock<BTreeMap<TargetName, Arc<LocalTarget>>>,
    /// Runs that have left or were replaced on their address, and when.
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

    /// Takes over an announcement.
    pub fn announce(&self, said: &Announcement) -> AnnounceResult {
        let now = Instant::now();
        if self.is_stale(said) {
            log::info!(
                event = "announcement-late", target:% = said.name, sequence:? = said.sequence,
                incarnation:? = said.incarnation; "late announcement of a target"
            );
            return AnnounceResult::Stale;
        }
        self.replace_on_address(said, now);
        match self.get(&said.name) {
            Some(known) if known.is_same(said, now) => known.update(said, now),
            _ => {
                log::info!(
                    event = "target-announced", target:% = said.name, service:% = said.service,
                    address:% = said.address, slots:% = said.slots; "target announced"
                );
                let target = LocalTarget::new(said, self.clock, self.connect_timeout, now);
                self.write().insert(said.name.clone(), Arc::new(target));
            }
        }
        self.publish();
        AnnounceResult::Accepted
    }

    /// Takes in that a target leaves; its work in flight goes on.
    pub fn deregister(&self, name: &TargetName, incarnation: Option<u64>) {
        let now = Instant::now();
        if let Some(target) = self.get(name)
            && (incarnation.is_none() || incarnation == target.identity.incarnation)
        {
            log::info!(event = "target-leaves", target:% = name; "target leaves");
            target.leave(now);
            self.add_tombstone(name, target.identity.incarnation, now);
        }
        self.publish();
    }

    /// Returns true if the announcement comes from a run that has ended or is older than another.
    fn is_stale(&self, said: &Announcement) -> bool {
        let tombstones = self
            .tombstones
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_gone = |d: &(TargetName, Option<u64>, Instant)| {
            d.0 == said.name && d.1 == said.incarnation && said.incarnation.is_some()
        };
        if tombstones.iter().any(is_gone) {
            return true;
        }
        drop(tombstones);
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        let rivals = targets
            .iter()
            .filter(|(name, t)| **name == said.name || t.identity.address == said.address);
        let mut rivals = rivals
            .filter(|(name, t)| **name == said.name || t.identity.incarnation != said.incarnation);
        rivals.any(|(_, t)| t.supersedes(said))
    }

    /// Removes earlier targets on the address of a new one; two can't listen there.
    fn replace_on_address(&self, said: &Announcement, now: Instant) {
        if said.incarnation.is_none() {
            return;
        }
        let mut gone = Vec::new();
        self.write().retain(|name, target| {
            let stays = target.identity.address != said.address || *name == said.name;
            if !stays {
                gone.push((name.clone(), target.identity.incarnation));
            }
            stays
        });
        for (name, incarnation) in gone {
            log::info!(
                event = "target-replaced", target:% = name, by:% = said.name;
                "another target has the address"
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

    /// Returns a target.
    pub fn get(&self, name: &TargetName) -> Option<Arc<LocalTarget>> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.get(name).cloned()
    }

    /// Removes silent targets and closes idle connections.
    pub fn tick(&self) {
        self.write().retain(|name, target| {
            let silent = target.said().received.elapsed() > SILENCE_MAX;
            if silent {
                log::warn!(event = "target-gone", target:% = name; "target stopped announcing");
            }
            !silent
        });
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.values().for_each(|target| target.pool.trim());
        drop(targets);
        self.publish();
    }

    /// Marks the node as shutting down.
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
                record.targets = list;
                record.version += 1;
            }
            changed
        });
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, BTreeMap<TargetName, Arc<LocalTarget>>> {
        self.targets.write().unwrap_or_else(PoisonError::into_inner)
    }
}
