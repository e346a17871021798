//! The ingress's view of all targets and the choice among them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::fleet::{Health, NodeRecord, TargetRecord, TargetState};
use crate::gate::Load;
use crate::ids::{NodeId, ServiceName, TargetId, ZoneName};
use crate::time::Time;

/// What an ingress saw of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// The attempt was handed to the link.
    Sent,
    /// The egress answered, with an answer of the target or a refusal.
    Answered,
    /// No link to the egress could be made; nothing was sent.
    ConnectFailed,
    /// The link was lost after the attempt was sent.
    LostLink,
    /// No answer came within the deadline.
    NoAnswer,
    /// The caller withdrew the attempt; nothing is known of the path.
    Cancelled,
}

/// What a target is picked for.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The kind of request, usually the name of the route; empty if unknown.
    pub kind: &'a str,
    /// True if the request may serve as a probe, since it can be sent again.
    pub idempotent: bool,
    /// Targets that were tried already.
    pub tried: &'a [TargetId],
}

#[derive(Clone, Debug)]
struct Target {
    id: TargetId,
    zone: ZoneName,
    record: TargetRecord,
    leaving: bool,
    sent: u32,
}

/// The ingress's view of all targets.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: ZoneName,
    versions: BTreeMap<NodeId, u64>,
    services: BTreeMap<ServiceName, Vec<Target>>,
}

impl Balancer {
    /// Creates the view of an ingress in `zone`.
    pub fn new(zone: ZoneName) -> Balancer {
        Balancer {
            zone,
            versions: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Sets the floor of a service in percent of its announced slots.
    pub fn set_floor(&mut self, _service: &ServiceName, _percent: u8) {}

    /// Takes over a node record; an older version than the known one is ignored.
    pub fn update(&mut self, _now: Time, record: &NodeRecord) {
        let known = self.versions.entry(record.node).or_default();
        if record.version < *known {
            return;
        }
        *known = record.version;
        for targets in self.services.values_mut() {
            targets.retain(|t| t.id.node != record.node);
        }
        for target in &record.targets {
            let targets = self.services.entry(target.service.clone()).or_default();
            targets.push(Target {
                id: TargetId {
                    node: record.node,
                    name: target.name.clone(),
                },
                zone: record.zone.clone(),
                record: target.clone(),
                leaving: record.leaving,
                sent: 0,
            });
        }
    }

    /// Forgets a node that is gone.
    pub fn lose(&mut self, _now: Time, node: NodeId) {
        for targets in self.services.values_mut() {
            targets.retain(|t| t.id.node != node);
        }
    }

    /// Picks a target, or returns `None` if the service has none left to try.
    pub fn pick(
        &mut self,
        now: Time,
        service: &ServiceName,
        tried: &[TargetId],
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let request = Request {
            service,
            kind: "",
            idempotent: false,
            tried,
        };
        self.pick_for(now, &request, rng)
    }

    /// Picks a target for a request of a known kind.
    pub fn pick_for(
        &mut self,
        _now: Time,
        request: &Request<'_>,
        rng: &mut impl Rng,
    ) -> Option<TargetId> {
        let targets = self.services.get(request.service)?;
        let usable = |t: &&Target| {
            !t.leaving && t.record.state != TargetState::Draining && !request.tried.contains(&t.id)
        };
        let all: Vec<&Target> = targets.iter().filter(usable).collect();
        let near: Vec<&Target> = all
            .iter()
            .copied()
            .filter(|t| t.zone == self.zone)
            .collect();
        let has_room = near.iter().any(|t| t.sent < t.record.slots.0);
        let from = if has_room { &near } else { &all };
        if from.is_empty() {
            return None;
        }
        let a = from[rng.random_range(0..from.len())];
        let b = from[rng.random_range(0..from.len())];
        let score = |t: &Target| (t.sent + 1) as f64 / t.record.slots.0.max(1) as f64;
        let best = if score(a) <= score(b) { a } else { b };
        Some(best.id.clone())
    }

    /// Takes in what this ingress saw of an attempt.
    pub fn report(&mut self, _now: Time, id: &TargetId, sample: Sample) {
        for targets in self.services.values_mut() {
            for target in targets.iter_mut().filter(|t| t.id == *id) {
                match sample {
                    Sample::Sent => target.sent += 1,
                    Sample::ConnectFailed => {}
                    _ => target.sent = target.sent.saturating_sub(1),
                }
            }
        }
    }

    /// Takes in the load that came with an answer.
    pub fn observe(&mut self, _now: Time, _id: &TargetId, _load: Load, _health: Option<&Health>) {}

    /// Returns when the service may have a target again, for refusals.
    pub fn retry_after(&self, _now: Time, _service: &ServiceName) -> Duration {
        Duration::from_secs(1)
    }
}
