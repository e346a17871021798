//! The targets on this VM, as they announce themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::{NodeRecord, TargetRecord, TargetState};
use crate::gate::Limits;
use crate::ids::{NodeId, ServiceName, TargetName, ZoneName};
use crate::node::measure::Measure;
use crate::node::pool::Pool;
use crate::node::slots::TargetGate;
use crate::time::Monotonic;
use crate::units::Slots;

/// A target that is silent for this long is taken as gone.
pub const SILENCE_MAX: Duration = Duration::from_secs(3);

/// A target counts as cold for this long after its start.
pub const COLD_TIME: Duration = Duration::from_secs(10);

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
}

/// A target on this VM.
#[derive(Debug)]
pub struct LocalTarget {
    /// Its slots and queue.
    pub gate: Arc<TargetGate>,
    /// What its requests show.
    pub measure: Arc<Measure>,
    /// Connections to it.
    pub pool: Pool,
    origin: Origin,
    said: Mutex<Said>,
}

/// What makes a target another one if it changes.
#[derive(Clone, Debug, PartialEq)]
struct Origin {
    service: ServiceName,
    address: SocketAddr,
}

/// The latest announcement.
#[derive(Clone, Debug)]
struct Said {
    heard: Instant,
    started: Instant,
    limits: Limits,
    draining_since: Option<Instant>,
}

impl LocalTarget {
    fn new(said: &Announcement, clock: Monotonic, patience: Duration, now: Instant) -> LocalTarget {
        let age = Duration::from_millis(said.started_ms_ago);
        let limits = said.limits();
        LocalTarget {
            gate: TargetGate::new(clock, limits, age < COLD_TIME),
            measure: Measure::new(clock),
            pool: Pool::new(said.address, said.connections, patience),
            origin: Origin::of(said),
            said: Mutex::new(Said {
                heard: now,
                started: said.started(now),
                limits,
                draining_since: said.draining.then_some(now),
            }),
        }
    }

    /// Returns true if the announcement comes from the same run of the same target.
    fn is_same(&self, announcement: &Announcement, now: Instant) -> bool {
        let earlier = self.said().started;
        let restarted = announcement.started(now) > earlier + RESTART_MARGIN;
        self.origin == Origin::of(announcement) && !restarted
    }

    /// Returns true if a request may be handed over now.
    pub fn takes_work(&self) -> bool {
        let since = self.said().draining_since;
        since.is_none_or(|since| since.elapsed() < LEAVE_GRACE)
    }

    fn hear(&self, announcement: &Announcement, now: Instant) {
        let mut said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        said.heard = now;
        if said.limits != announcement.limits() {
            said.limits = announcement.limits();
            self.gate.set_limits(said.limits);
            self.pool.set_limit(announcement.connections);
        }
        said.draining_since = match announcement.draining {
            true => said.draining_since.or(Some(now)),
            false => None,
        };
    }

    fn said(&self) -> Said {
        let said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        said.clone()
    }

    fn record(&self, name: &TargetName) -> TargetRecord {
        let said = self.said();
        let state = match said.draining_since {
            Some(_) => TargetState::Draining,
            None => self.gate.state(),
        };
        TargetRecord {
            name: name.clone(),
            service: self.origin.service.clone(),
            addr: self.origin.address,
            slots: said.limits.slots,
            connections: said.limits.connections,
            state,
            health: self.measure.published(),
        }
    }
}

impl Origin {
    fn of(said: &Announcement) -> Origin {
        Origin {
            service: said.service.clone(),
            address: said.address,
        }
    }
}

impl Announcement {
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
pub struct Local {
    clock: Monotonic,
    patience: Duration,
    targets: RwLock<BTreeMap<TargetName, Arc<LocalTarget>>>,
    record: watch::Sender<NodeRecord>,
}

impl Local {
    /// Creates an empty table for the node `me`; connections open within `patience`.
    pub fn new(me: NodeId, zone: ZoneName, clock: Monotonic, patience: Duration) -> Local {
        let record = NodeRecord {
            node: me,
            version: 1,
            zone,
            leaving: false,
            targets: Vec::new(),
        };
        Local {
            clock,
            patience,
            targets: RwLock::default(),
            record: watch::Sender::new(record),
        }
    }

    /// Takes over an announcement.
    pub fn announce(&self, said: &Announcement) {
        let now = Instant::now();
        match self.get(&said.name) {
            Some(known) if known.is_same(said, now) => known.hear(said, now),
            _ => {
                log::info!(
                    event = "target-announced", target:% = said.name, service:% = said.service,
                    address:% = said.address, slots:% = said.slots; "target announced"
                );
                let target = LocalTarget::new(said, self.clock, self.patience, now);
                self.write().insert(said.name.clone(), Arc::new(target));
            }
        }
        self.publish();
    }

    /// Returns a target.
    pub fn get(&self, name: &TargetName) -> Option<Arc<LocalTarget>> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.get(name).cloned()
    }

    /// Removes silent targets and closes idle connections.
    pub fn tick(&self) {
        self.write().retain(|name, target| {
            let silent = target.said().heard.elapsed() > SILENCE_MAX;
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
