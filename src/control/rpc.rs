//! Calls of other processes: replication among replicas and sync with nodes.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use bytes::Bytes;
use tokio::time::timeout;

use crate::control::driver::Command;
use crate::control::nodes::Nodes;
use crate::control::transport::greeting;
use crate::control::view::View;
use crate::error::{Category, Error, Result};
use crate::replica::Member;
use crate::time::{Clock, Monotonic};
use crate::wire::replica::Envelope;
use crate::wire::sync::{Chunk, Request, Response, Update};
use crate::wire::{Channel, Handler, Hello, Role};

/// Most entries in one answer.
const ANSWER_ENTRIES: usize = 256;

/// Size in bytes after which an answer takes no further entry.
const ANSWER_BYTES: usize = 512 * 1024;

/// Size in bytes of one chunk of a snapshot.
const CHUNK_BYTES: usize = 256 * 1024;

/// Answers the calls on links.
#[derive(Debug)]
pub struct Distributor {
    /// This replica.
    pub own: Member,
    /// What the replica's thread publishes.
    pub view: Arc<View>,
    /// What is known about the nodes.
    pub nodes: Arc<Nodes>,
    /// The process's clock.
    pub clock: Monotonic,
    /// The way to the replica's thread.
    pub commands: Sender<Command>,
}

impl Handler for Distributor {
    async fn handle(&self, peer: Hello, channel: Channel, payload: Bytes) -> Result<Bytes> {
        match (channel, peer.role) {
            (Channel::Replica, Role::Control) => self.replicate(peer, payload),
            (Channel::Sync, Role::Node) => self.sync(peer, payload).await,
            _ => Err(Error::invalid("control processes don't serve this channel")),
        }
    }
}

impl Distributor {
    fn replicate(&self, peer: Hello, payload: Bytes) -> Result<Bytes> {
        let envelope = Envelope::decode(payload)?;
        check_identity(peer.id, envelope.from.id.0)?;
        self.command(Command::Envelope(envelope))?;
        Ok(greeting(&self.own, &self.view).encode())
    }

    fn command(&self, command: Command) -> Result<()> {
        let ended = |_| Error::unavailable("the replica has ended");
        self.commands.send(command).map_err(ended)
    }

    async fn sync(&self, peer: Hello, payload: Bytes) -> Result<Bytes> {
        let request = Request::decode(payload)?;
        check_identity(peer.id, request.node.id.0)?;
        let now = self.clock.now();
        if self.nodes.touch(now, &request) {
            self.command(Command::NodeMoved)?;
        }
        if !request.wait.is_zero() {
            let mut changes = self.view.changes();
            let newer = changes.wait_for(|state| state.position() > request.position);
            // After the wait the answer goes out in any case.
            let _ = timeout(request.wait, newer).await;
        }
        Ok(self.answer(&request).encode())
    }

    fn answer(&self, request: &Request) -> Response {
        // The order matters: what is read of the replica first holds for the later state too.
        let meta = self.view.meta();
        let vouch_time = self.clock.now();
        let committed = self.view.state().position();
        Response {
            replica: meta.id,
            sent: request.sent,
            committed,
            vouch: meta.vouch(vouch_time, committed),
            leader: meta.leader_link(),
            update: self.update(request),
        }
    }

    fn update(&self, request: &Request) -> Update {
        let entries = self
            .view
            .entries_after(request.position, ANSWER_ENTRIES, ANSWER_BYTES);
        match entries {
            Some(entries) => Update::Entries(entries),
            None => Update::Chunk(self.chunk(request)),
        }
    }

    fn chunk(&self, request: &Request) -> Chunk {
        let (position, data) = self.view.snapshot(request.partial.map(|p| p.position));
        let received = match request.partial {
            Some(partial) if partial.position == position => partial.received,
            _ => 0,
        };
        let start = (received as usize).min(data.len());
        let end = (start + CHUNK_BYTES).min(data.len());
        Chunk {
            position,
            size: data.len() as u64,
            offset: start as u64,
            bytes: data.slice(start..end),
        }
    }
}

fn check_identity(link: u64, message: u64) -> Result<()> {
    if link == message {
        return Ok(());
    }
    let text = "the message names another sender than the link";
    Err(Error::new(Category::Denied, text))
}
