//! The ingress's view of all targets and the choice among them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::ejection::EjectionState;
use super::floor::Capacity;
use super::outlier::Cause;
use super::service::Service;
use super::target::Target;
use crate::admission::Load;
use crate::fleet::{Health, NodeRecord};
use crate::ids::{NodeId, ServiceName, TargetId, TargetName, ZoneName};
use crate::time::Time;

/// What an ingress saw of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The attempt was handed to the link.
    Sent,
    /// The egress answered, with an answer of the target or a refusal.
    Responded,
    /// No link to the egress could be made; nothing was sent.
    ConnectFailed,
    /// The link was lost after the attempt was sent.
    LostLink,
    /// No answer came within the deadline.
    NoResponse,
    /// The caller withdrew the attempt; nothing is known of the path.
    Cancelled,
}

/// What a target is picked for.
#[derive(Clone, Copy, Debug)]
pub struct PickArgs<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The kind of request, usually the name of the route; empty if unknown.
    pub kind: &'a str,
    /// True if the request may serve as a probe, since it can be sent again.
    pub idempotent: bool,
    /// Targets that were tried already.
    pub tried: &'a [TargetId],
    /// True if a target without a free slot sends the request away at once, so that it costs little
    /// to ask those of the own zone first.
    pub fast_refusal: bool,
}

/// A decision worth a log line and a counter.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A target was ejected.
    Ejected {
        /// The target.
        target: TargetId,
        /// What it was accused of.
        cause: Cause,
        /// Share of requests that it spoiled.
        severity: f64,
    },
    /// A target is back in full rotation.
    Returned(TargetId),
    /// A bad target is back in full rotation, since the floor needs its slots.
    KeptByFloor(TargetId),
    /// One kind of request is kept away from a target that fails only for it.
    KindAvoided {
        /// The target.
        target: TargetId,
        /// The kind of request.
        kind: String,
    },
}

/// The ingress's view of all targets.
///
/// Callers report each attempt: [`AttemptEvent::Sent`] when it is handed to the link, then how it ended.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: ZoneName,
    versions: BTreeMap<NodeId, u64>,
    services: BTreeMap<ServiceName, Service>,
    /// The targets of each node with their services.
    index: BTreeMap<NodeId, Vec<Entry>>,
    events: Vec<Event>,
}

impl Balancer {
    /// Creates the view of an ingress in `zone`.
    pub fn new(zone: ZoneName) -> Balancer {
        Balancer {
            zone,
            versions: BTreeMap::new(),
            services: BTreeMap::new(),
            index: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Sets the floor of a service in percent of its announced slots.
    pub fn set_floor(&mut self, service: &ServiceName, percent: u8) {
        self.service(service).set_floor(percent);
    }

    /// Takes over a node record; an older version than the known one is ignored.
    pub fn update(&mut self, now: Time, record: &NodeRecord) {
        let known = self.versions.entry(record.node).or_default();
        if record.version < *known {
            return;
        }
        *known = record.version;
        let old = self.index.remove(&record.node).unwrap_or_default();
        let new = entries_of(record);
        for (id, name) in old.iter().filter(|e| !new.contains(e)) {
            self.service(name).remove(now, id);
        }
        for ((id, name), target) in new.iter().zip(&record.targets) {
            let zone = record.zone.clone();
            let target = Target::new(now, id.clone(), zone, target.clone(), record.leaving);
            self.service(name).put(now, target);
        }
        self.review_of(now, old.iter().chain(&new));
        self.index.insert(record.node, new);
    }

    /// Forgets a node that is gone; its slots stay announced for a while.
    pub fn remove_node(&mut self, now: Time, node: NodeId) {
        let old = self.index.remove(&node).unwrap_or_default();
        for (id, name) in &old {
            self.service(name).remove(now, id);
        }
        self.review_of(now, old.iter());
    }

    /// Picks a target, or returns `None` if the service has none left to try.
    pub fn pick(
        &mut self,
        now: Time,
        service: &ServiceName,
        tried: &[TargetId],
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let request = PickArgs {
            service,
            kind: "",
            idempotent: false,
            tried,
            fast_refusal: false,
        };
        self.pick_for(now, &request, rng)
    }

    /// Picks a target for a request of a known kind.
    pub fn pick_for(
        &mut self,
        now: Time,
        request: &PickArgs<'_>,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let service = self.services.get_mut(request.service)?;
        if service.is_due(now) {
            service.review(now, &self.zone, &mut self.events);
        }
        service.pick(now, request, rng)
    }

    /// Takes in what this ingress saw of an attempt.
    pub fn report(&mut self, now: Time, id: &TargetId, event: AttemptEvent) {
        if let Some(service) = self.service_of(id) {
            service.report(now, id, event);
        }
    }

    /// Takes in the load, and perhaps the health, that came with an answer.
    pub fn observe(&mut self, now: Time, id: &TargetId, load: Load, health: Option<&Health>) {
        if let Some(service) = self.service_of(id) {
            service.observe(now, id, load, health);
        }
    }

    /// Reviews every service that is due, for times without traffic.
    pub fn tick(&mut self, now: Time) {
        for service in self.services.values_mut().filter(|s| s.is_due(now)) {
            service.review(now, &self.zone, &mut self.events);
        }
    }

    /// Takes the decisions since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the capacity of a service.
    pub fn capacity(&mut self, now: Time, service: &ServiceName) -> Capacity {
        self.services
            .get_mut(service)
            .map_or_else(Capacity::default, |s| s.capacity(now))
    }

    /// Returns the standing of a target.
    pub fn ejection_state(&self, id: &TargetId) -> Option<EjectionState> {
        self.services
            .get(self.service_name(id)?)?
            .ejection_state(id)
    }

    /// Returns the targets of a service, sorted.
    pub fn targets(&self, service: &ServiceName) -> Vec<TargetId> {
        let targets = self.services.get(service).map_or(&[][..], |s| s.targets());
        targets.iter().map(|t| t.id.clone()).collect()
    }

    /// Returns when to come back to a service that has no target: a few usual service times.
    pub fn retry_after(&self, _now: Time, service: &ServiceName) -> Duration {
        let usual = self.services.get(service).map(Service::usual);
        usual.unwrap_or_default().max(NO_TARGET_RETRY)
    }

    fn service(&mut self, name: &ServiceName) -> &mut Service {
        self.services
            .entry(name.clone())
            .or_insert_with(Service::new)
    }

    fn service_name(&self, id: &TargetId) -> Option<&ServiceName> {
        let entries = self.index.get(&id.node)?;
        entries.iter().find(|(i, _)| i == id).map(|(_, name)| name)
    }

    fn service_of(&mut self, id: &TargetId) -> Option<&mut Service> {
        let entries = self.index.get(&id.node)?;
        let (_, name) = entries.iter().find(|(i, _)| i == id)?;
        self.services.get_mut(name)
    }

    /// Reviews the services of `entries`, so that the floor is kept at once.
    fn review_of<'a>(&mut self, now: Time, entries: impl Iterator<Item = &'a Entry>) {
        let mut names: Vec<&ServiceName> = entries.map(|(_, name)| name).collect();
        names.sort_unstable();
        names.dedup();
        for name in names {
            if let Some(service) = self.services.get_mut(name) {
                service.review(now, &self.zone, &mut self.events);
            }
        }
    }
}

type Entry = (TargetId, ServiceName);

fn entries_of(record: &NodeRecord) -> Vec<Entry> {
    let id = |name: &TargetName| TargetId {
        node: record.node,
        name: name.clone(),
    };
    let targets = record.targets.iter();
    targets.map(|t| (id(&t.name), t.service.clone())).collect()
}

/// Shortest time after which a caller may find a target again: targets announce every second.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
