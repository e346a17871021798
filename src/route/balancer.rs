//! The load balancer of an ingress.

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
use crate::outcome::Refusal;
use crate::time::Time;

/// An event of one attempt, as its ingress observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The attempt was passed to the link.
    Sent,
    /// The egress responded, with the target's response or a refusal.
    Responded,
    /// No link to the egress could be opened; nothing was sent.
    ConnectFailed,
    /// The link was lost after the attempt was sent.
    LostLink,
    /// No response came within the deadline.
    NoResponse,
    /// The caller cancelled the attempt, which shows nothing about the path.
    Cancelled,
}

/// Arguments of the choice of a target.
#[derive(Clone, Copy, Debug)]
pub struct PickArgs<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The kind of request, usually the name of the route; empty if unknown.
    pub kind: &'a str,
    /// True if the request may probe an ejected target, since it can be sent again.
    pub idempotent: bool,
    /// Targets that were tried already.
    pub tried: &'a [TargetId],
    /// True if a target without a free slot refuses the request at once instead of queueing it.
    ///
    /// Trying the targets of the local zone first costs little then.
    pub fast_refusal: bool,
}

/// The target that is chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// True if every target is known to be busy, so that the request should wait at this one.
    pub queue: bool,
}

/// A change of rotation, to be logged and counted.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A target was ejected.
    Ejected {
        /// The target.
        target: TargetId,
        /// Why it was ejected.
        cause: Cause,
        /// Weighted share of its requests that were affected.
        severity: f64,
    },
    /// A target is back in full rotation.
    Returned(TargetId),
    /// An outlier is back in full rotation, since the floor requires its slots.
    KeptByFloor(TargetId),
    /// One kind of request avoids a target that fails only for this kind.
    KindAvoided {
        /// The target.
        target: TargetId,
        /// The kind of request.
        kind: String,
    },
}

/// The load balancer of an ingress: the known targets, their ejection states and load.
///
/// Each attempt must be reported with [`Balancer::report`]: [`AttemptEvent::Sent`] when it is
/// passed to the link, then the event that ends it.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: ZoneName,
    /// Version and health version of each node's record.
    versions: BTreeMap<NodeId, (u64, u64)>,
    services: BTreeMap<ServiceName, Service>,
    /// The targets of each node with their services.
    index: BTreeMap<NodeId, Vec<Entry>>,
    events: Vec<Event>,
}

impl Balancer {
    /// Creates the balancer of an ingress in `zone`.
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

    /// Applies a node record; a version older than the known one is ignored.
    pub fn update(&mut self, now: Time, record: &NodeRecord) {
        let known = self.versions.entry(record.node).or_default();
        let version = (record.version, record.health_version);
        if version < *known {
            return;
        }
        *known = version;
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
        self.review_services(now, old.iter().chain(&new));
        self.index.insert(record.node, new);
    }

    /// Removes a node; the slots of its lost targets count as announced for some time.
    pub fn remove_node(&mut self, now: Time, node: NodeId) {
        let old = self.index.remove(&node).unwrap_or_default();
        for (id, name) in &old {
            self.service(name).remove(now, id);
        }
        self.review_services(now, old.iter());
    }

    /// Picks a target, or returns `None` if the service has none left to try.
    pub fn pick(
        &mut self,
        now: Time,
        service: &ServiceName,
        tried: &[TargetId],
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let args = PickArgs {
            service,
            kind: "",
            idempotent: false,
            tried,
            fast_refusal: false,
        };
        self.pick_for(now, &args, rng)
    }

    /// Picks a target for the request that `args` describes.
    pub fn pick_for(
        &mut self,
        now: Time,
        args: &PickArgs<'_>,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        Some(self.choose(now, args, rng)?.target)
    }

    /// Picks a target for the request that `args` describes, and whether the request should wait
    /// there.
    pub fn choose(&mut self, now: Time, args: &PickArgs<'_>, rng: &mut impl Rng) -> Option<Choice> {
        let service = self.services.get_mut(args.service)?;
        if service.is_due(now) {
            service.review(now, &self.zone, &mut self.events);
        }
        service.pick(now, args, rng)
    }

    /// Records an event of an attempt at target `id`.
    pub fn report(&mut self, now: Time, id: &TargetId, event: AttemptEvent) {
        if let Some(service) = self.service_of(id) {
            service.report(now, id, event);
        }
    }

    /// Records the load, and possibly the health, that came with a response.
    pub fn observe(&mut self, now: Time, id: &TargetId, load: Load, health: Option<&Health>) {
        if let Some(service) = self.service_of(id) {
            service.observe(now, id, load, health);
        }
    }

    /// Records that the egress of a target refused an attempt.
    pub fn refused(&mut self, now: Time, id: &TargetId, refusal: &Refusal) {
        if let Some(service) = self.service_of(id) {
            service.refused(now, id, refusal);
        }
    }

    /// Records that a target responded to an attempt without a server error.
    pub fn served(&mut self, id: &TargetId) {
        if let Some(service) = self.service_of(id) {
            service.served(id);
        }
    }

    /// Reviews every service that is due, so that reviews don't depend on traffic.
    pub fn tick(&mut self, now: Time) {
        for service in self.services.values_mut().filter(|s| s.is_due(now)) {
            service.review(now, &self.zone, &mut self.events);
        }
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the capacity of a service.
    pub fn capacity(&mut self, now: Time, service: &ServiceName) -> Capacity {
        self.services
            .get_mut(service)
            .map_or_else(Capacity::default, |s| s.capacity(now))
    }

    /// Returns the ejection state of a target.
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

    /// Returns the retry delay of a service without targets: its typical service time, but no less
    /// than a second.
    pub fn retry_after(&self, _now: Time, service: &ServiceName) -> Duration {
        let typical = self.services.get(service).map(Service::typical_time);
        typical.unwrap_or_default().max(NO_TARGET_RETRY)
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

    /// Reviews the services of `entries` immediately, so that the floor holds after a change.
    fn review_services<'a>(&mut self, now: Time, entries: impl Iterator<Item = &'a Entry>) {
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

/// Minimum retry delay of a service without targets, since targets announce themselves every
/// second.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);
