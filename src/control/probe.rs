//! Liveness probes from the leader to the nodes.
//!
//! A node's sync request isn't proof of liveness, since it can arrive after the node has ended. The
//! leader therefore opens a link to the address that the node announced. Two processes can't listen
//! on one address, and the handshake identifies the one that does.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use log::debug;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use crate::control::driver::Command;
use crate::control::nodes::Nodes;
use crate::fleet::{Member, ProbeAck};
use crate::ids::NodeId;
use crate::time::{Clock, Monotonic};
use crate::wire::{Hello, Role, Secret, connect};

/// Maximum number of concurrent probes.
const PROBES_MAX: usize = 32;

/// Opens links to nodes.
pub struct Prober {
    /// The fleet secret.
    pub secret: Secret,
    /// This process's identity in the handshake.
    pub hello: Hello,
    /// The nodes that contacted this replica.
    pub nodes: Arc<Nodes>,
    /// The process's clock.
    pub clock: Monotonic,
    /// Runs the probes.
    pub runtime: Handle,
    /// Commands to the replica thread.
    pub commands: Sender<Command>,
    /// Limits the concurrent probes.
    pub permits: Arc<Semaphore>,
}

impl Prober {
    /// Returns the limiter for concurrent probes.
    pub fn permits() -> Arc<Semaphore> {
        Arc::new(Semaphore::new(PROBES_MAX))
    }

    /// Probes a node in the background; a success is reported with [`Command::Probed`].
    pub fn probe(&self, member: Member) {
        let (secret, hello) = (self.secret.clone(), self.hello);
        let (nodes, clock) = (self.nodes.clone(), self.clock);
        let (commands, permits) = (self.commands.clone(), self.permits.clone());
        self.runtime.spawn(async move {
            let permit = permits.acquire_owned().await;
            let started = clock.now();
            let id = match connect(member.addr, &secret, hello).await {
                Ok(link) if link.peer.role == Role::Node => NodeId(link.peer.id),
                Ok(_) => return,
                Err(e) => {
                    debug!(event = "probe-failed", node:% = member.id, error:% = e; "probe failed");
                    return;
                }
            };
            drop(permit);
            let member = nodes.member(id).filter(|m| m.addr == member.addr);
            if let Some(member) = member {
                let ack = ProbeAck { started, member };
                // The receiver is dropped only when the process ends.
                let _ = commands.send(Command::Probed(ack));
            }
        });
    }
}
