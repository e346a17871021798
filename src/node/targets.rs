//! Selection of targets and the addresses of their nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::admission::Load;
use crate::config::Config;
use crate::fleet::NodeRecord;
use crate::ids::{NodeId, ServiceName, TargetId, ZoneName};
use crate::metrics::Metrics;
use crate::outcome::Refusal;
use crate::route::{AttemptEvent, Balancer, Event, PickArgs};
use crate::time::{Clock, Monotonic};

/// A selected target.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The target.
    pub id: TargetId,
    /// Link address of its node.
    pub addr: SocketAddr,
    /// True if the request should wait for a slot there.
    pub queue: bool,
}

/// The targets of the fleet as known to this node.
#[derive(Debug)]
pub struct Targets {
    clock: Monotonic,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    balancer: Balancer,
    addrs: HashMap<NodeId, SocketAddr>,
}

impl Targets {
    /// Creates an empty table for an ingress in `zone`.
    pub fn new(clock: Monotonic, zone: ZoneName) -> Targets {
        let state = State {
            balancer: Balancer::new(zone),
            addrs: HashMap::new(),
        };
        Targets {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Applies the record of the node with the link address `addr`.
    pub fn update_node(&self, addr: SocketAddr, record: &NodeRecord) {
        let mut state = self.lock();
        state.addrs.insert(record.node, addr);
        state.balancer.update(self.clock.now(), record);
    }

    /// Removes a node and its targets.
    pub fn remove_node(&self, node: NodeId) {
        let mut state = self.lock();
        state.addrs.remove(&node);
        state.balancer.remove_node(self.clock.now(), node);
    }

    /// Applies the floors of a configuration.
    pub fn set_floors(&self, config: &Config) {
        let mut state = self.lock();
        for service in config.services() {
            state.balancer.set_floor(&service.name, service.floor);
        }
    }

    /// Selects a target.
    pub fn pick(&self, request: &PickArgs<'_>) -> Option<Pick> {
        let mut state = self.lock();
        let now = self.clock.now();
        let choice = state.balancer.choose(now, request, &mut rand::rng())?;
        let addr = *state.addrs.get(&choice.target.node)?;
        Some(Pick {
            id: choice.target,
            addr,
            queue: choice.queue,
        })
    }

    /// Returns the given busy target with the address of its node, if that is known.
    pub fn locate(&self, id: &TargetId) -> Option<Pick> {
        let addr = *self.lock().addrs.get(&id.node)?;
        Some(Pick {
            id: id.clone(),
            addr,
            queue: true,
        })
    }

    /// Records an event of an attempt.
    pub fn report(&self, id: &TargetId, event: AttemptEvent) {
        let now = self.clock.now();
        self.lock().balancer.report(now, id, event);
    }

    /// Records that the egress of a target refused an attempt.
    pub fn refused(&self, id: &TargetId, refusal: &Refusal) {
        let now = self.clock.now();
        self.lock().balancer.refused(now, id, refusal);
    }

    /// Records that a target responded to an attempt without a server error.
    pub fn served(&self, id: &TargetId) {
        self.lock().balancer.served(id);
    }

    /// Records the load that came with a response.
    pub fn observe(&self, id: &TargetId, load: Load) {
        let now = self.clock.now();
        self.lock().balancer.observe(now, id, load, None);
    }

    /// Updates the ejection state of the targets and reports the events since the last call.
    pub fn tick(&self, metrics: &Metrics) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.balancer.tick(now);
        let events = state.balancer.take_events();
        drop(state);
        events.iter().for_each(|event| report_event(event, metrics));
    }

    /// Returns the time after which a service without targets may have one again.
    pub fn retry_after(&self, service: &ServiceName) -> Duration {
        let now = self.clock.now();
        self.lock().balancer.retry_after(now, service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn report_event(event: &Event, metrics: &Metrics) {
    match event {
        Event::Ejected {
            target,
            cause,
            severity,
        } => {
            metrics.count("ejected");
            log::warn!(
                event = "ejected", target:% = target, cause:? = cause, severity = *severity;
                "target ejected"
            );
        }
        Event::Returned(target) => {
            metrics.count("returned");
            log::info!(event = "returned", target:% = target; "target returned from ejection");
        }
        Event::KeptByFloor(target) => {
            metrics.count("kept_by_floor");
            log::warn!(
                event = "kept-by-floor", target:% = target;
                "outlier restored to rotation to meet the floor"
            );
        }
        Event::KindAvoided { target, kind } => {
            metrics.count("kind_avoided");
            log::warn!(
                event = "kind-avoided", target:% = target, kind:% = kind;
                "target avoided for one kind of request"
            );
        }
    }
}
