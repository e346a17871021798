//! The departures that a node knows, shared by its targets and its gossip.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use crate::fleet::{Departures, TargetRun};
use crate::ids::TargetName;
use crate::time::Time;

/// Added to the clock, so that the age of a departure can be subtracted right after the start.
const CLOCK_OFFSET: Time = Time::from_millis(3_600_000);

/// The departures that a node knows.
#[derive(Debug)]
pub struct NodeDepartures {
    vm: SocketAddr,
    started: Instant,
    table: Mutex<Departures>,
}

impl NodeDepartures {
    /// Creates an empty table of the node with the link address `vm`.
    pub fn new(vm: SocketAddr) -> NodeDepartures {
        NodeDepartures {
            vm,
            started: Instant::now(),
            table: Mutex::default(),
        }
    }

    /// Records that a run of a target on this VM leaves; returns true if that is new.
    pub fn record(&self, name: &TargetName, incarnation: u64) -> bool {
        let run = self.run(name, incarnation);
        self.lock().record(self.now(), &run)
    }

    /// Returns true if a run of a target on this VM is known to leave or to have left.
    pub fn contains(&self, name: &TargetName, incarnation: u64) -> bool {
        self.lock().contains(&self.run(name, incarnation))
    }

    fn run(&self, name: &TargetName, incarnation: u64) -> TargetRun {
        TargetRun {
            vm: self.vm,
            name: name.clone(),
            incarnation,
        }
    }

    fn now(&self) -> Time {
        CLOCK_OFFSET + self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Departures> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
