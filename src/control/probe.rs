//! Visits of the leader to the nodes.
//!
//! A question that a node sends proves little, since it can arrive after the node's end. So the
//! leader opens a link to the address that the node named. Two processes can't listen on one
//! address, and the handshake tells which of them does.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use log::debug;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use crate::control::driver::Command;
use crate::control::nodes::Nodes;
use crate::fleet::{Member, Sighting};
use crate::ids::NodeId;
use crate::time::{Clock, Monotonic};
use crate::wire::{Hello, Role, Secret, connect};

/// Visits that run at the same time.
const VISITS_MAX: usize = 32;

/// Opens links to nodes.
pub struct Visitor {
    /// The fleet secret.
    pub secret: Secret,
    /// What this process says of itself.
    pub hello: Hello,
    /// What the nodes said of themselves.
    pub nodes: Arc<Nodes>,
    /// The process's clock.
    pub clock: Monotonic,
    /// Runs the visits.
    pub runtime: Handle,
    /// The way back to the replica's thread.
    pub commands: Sender<Command>,
    /// Bounds the visits that run at the same time.
    pub permits: Arc<Semaphore>,
}

impl Visitor {
    /// Returns the bound of visits that run at the same time.
    pub fn permits() -> Arc<Semaphore> {
        Arc::new(Semaphore::new(VISITS_MAX))
    }

    /// Visits a node; a sighting comes back as a command.
    pub fn visit(&self, member: Member) {
        let (secret, hello) = (self.secret.clone(), self.hello);
        let (nodes, clock) = (self.nodes.clone(), self.clock);
        let (commands, permits) = (self.commands.clone(), self.permits.clone());
        self.runtime.spawn(async move {
            let permit = permits.acquire_owned().await;
            let asked = clock.now();
            let found = match connect(member.addr, &secret, hello).await {
                Ok(link) if link.peer.role == Role::Node => NodeId(link.peer.id),
                Ok(_) => return,
                Err(e) => {
                    debug!(event = "visit-failed", node:% = member.id, error:% = e; "no link");
                    return;
                }
            };
            drop(permit);
            let member = nodes.member(found).filter(|m| m.addr == member.addr);
            if let Some(member) = member {
                let sighting = Sighting { asked, member };
                // The thread is gone only when the process ends.
                let _ = commands.send(Command::Sighted(sighting));
            }
        });
    }
}
