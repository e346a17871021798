//! Choice of a target and the way to its node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::config::Config;
use crate::fleet::NodeRecord;
use crate::gate::Load;
use crate::ids::{NodeId, TargetId, ZoneName};
use crate::route::{Balancer, Request, Sample};
use crate::time::{Clock, Monotonic};

/// A chosen target.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The target.
    pub id: TargetId,
    /// Link address of its node.
    pub addr: SocketAddr,
}

/// The targets of the fleet as this node knows them.
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
    /// Creates an empty view for an ingress in `zone`.
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

    /// Takes over what is known of the node with the link address `addr`.
    pub fn learn(&self, addr: SocketAddr, record: &NodeRecord) {
        let mut state = self.lock();
        state.addrs.insert(record.node, addr);
        state.balancer.update(self.clock.now(), record);
    }

    /// Forgets a node that is gone.
    pub fn forget(&self, node: NodeId) {
        let mut state = self.lock();
        state.addrs.remove(&node);
        state.balancer.lose(self.clock.now(), node);
    }

    /// Takes over the floors of a configuration.
    pub fn set_floors(&self, config: &Config) {
        let mut state = self.lock();
        for service in config.services() {
            state.balancer.set_floor(&service.name, service.floor);
        }
    }

    /// Chooses a target.
    pub fn pick(&self, request: &Request<'_>) -> Option<Pick> {
        let mut state = self.lock();
        let now = self.clock.now();
        let id = state.balancer.pick_for(now, request, &mut rand::rng())?;
        let addr = *state.addrs.get(&id.node)?;
        Some(Pick { id, addr })
    }

    /// Takes in what became of an attempt.
    pub fn report(&self, id: &TargetId, sample: Sample) {
        let now = self.clock.now();
        self.lock().balancer.report(now, id, sample);
    }

    /// Takes in the load that came with an answer.
    pub fn observe(&self, id: &TargetId, load: Load) {
        let now = self.clock.now();
        self.lock().balancer.observe(now, id, load, None);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
