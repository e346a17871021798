//! Handler for calls from other processes: replication between replicas and sync with nodes.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use bytes::Bytes;
use tokio::time::timeout;

use crate::control::driver::Command;
use crate::control::nodes::Nodes;
use crate::control::transport::introduction;
use crate::control::view::View;
use crate::error::{Category, Error, Result};
use crate::metrics::Metrics;
use crate::replica::Member;
use crate::time::{Clock, Monotonic};
use crate::units::Position;
use crate::wire::replica::Envelope;
use crate::wire::sync::{Chunk, Request, Response, Update};
use crate::wire::{Channel, Handler, Hello, Role};

/// Maximum number of entries in one response.
const RESPONSE_ENTRIES: usize = 256;

/// How many times smaller than the missing entries a snapshot must be for a running node, which
/// learns from entries which registries came in between.
const SNAPSHOT_GAIN: usize = 4;

/// Handles the calls on links.
#[derive(Debug)]
pub struct RpcHandler {
    /// This replica.
    pub own: Member,
    /// The state that the replica thread publishes.
    pub view: Arc<View>,
    /// The nodes that contacted this replica.
    pub nodes: Arc<Nodes>,
    /// The process's clock.
    pub clock: Monotonic,
    /// Commands to the replica thread.
    pub commands: Sender<Command>,
    /// The process's metrics.
    pub metrics: Metrics,
}

impl Handler for RpcHandler {
    async fn handle(&self, peer: Hello, channel: Channel, payload: Bytes) -> Result<Bytes> {
        match (channel, peer.role) {
            (Channel::Replica, Role::Control) => self.replicate(peer, payload),
            (Channel::Sync, Role::Node) => self.sync(peer, payload).await,
            _ => Err(Error::invalid("control processes don't serve this channel")),
        }
    }
}

impl RpcHandler {
    fn replicate(&self, peer: Hello, payload: Bytes) -> Result<Bytes> {
        let envelope = Envelope::decode(payload)?;
        check_identity(peer.id, envelope.from.id.0)?;
        self.send(Command::Envelope(envelope))?;
        Ok(introduction(&self.own, &self.view).encode())
    }

    fn send(&self, command: Command) -> Result<()> {
        let ended = |_| Error::unavailable("the replica has ended");
        self.commands.send(command).map_err(ended)
    }

    async fn sync(&self, peer: Hello, payload: Bytes) -> Result<Bytes> {
        let request = Request::decode(payload)?;
        check_identity(peer.id, request.node.id.0)?;
        let now = self.clock.now();
        if self.nodes.record_request(now, &request) {
            self.send(Command::NodeAdvanced)?;
        }
        if !request.wait.is_zero() {
            let mut changes = self.view.changes();
            let newer = changes.wait_for(|state| state.position() > request.position);
            // After the timeout the response is sent without newer entries.
            let _ = timeout(request.wait, newer).await;
        }
        let bytes = self.response(&request).encode();
        self.metrics.count("control.sync_calls");
        self.metrics.add("control.sync_bytes", bytes.len() as u64);
        Ok(bytes)
    }

    fn response(&self, request: &Request) -> Response {
        // The order matters: a confirmation by the metadata that is read first also holds for the
        // later state.
        let meta = self.view.meta();
        let now = self.clock.now();
        let committed = self.view.state().position();
        Response {
            replica: meta.id,
            sent: request.sent,
            committed,
            confirmation: meta.confirmation(now, committed),
            leader: meta.leader_link(),
            update: self.update(request),
        }
    }

    /// Returns the data that the node lacks, or the next part of it: entries, or a snapshot if that
    /// is smaller or an entry doesn't fit into a response.
    fn update(&self, request: &Request) -> Update {
        let max = request.data_max;
        if max == 0 {
            return Update::Entries(Vec::new());
        }
        let partial = request.partial.map(|p| p.position);
        let entries = self
            .view
            .entries_after(request.position, RESPONSE_ENTRIES, max);
        match entries {
            Some(entries) if !self.prefers_snapshot(request, &entries) => Update::Entries(entries),
            _ => Update::Chunk(self.chunk(request, self.view.snapshot(partial))),
        }
    }

    /// Returns true if a snapshot is the better way to send what follows the node's position;
    /// `entries` are the first entries.
    fn prefers_snapshot(&self, request: &Request, entries: &[Bytes]) -> bool {
        let max = request.data_max;
        let missing = self.view.bytes_after(request.position);
        if missing.is_some_and(|bytes| bytes <= max) {
            return false;
        }
        let is_too_large = entries.first().is_some_and(|e| e.len() > max);
        let (position, data) = self.view.snapshot(request.partial.map(|p| p.position));
        let gain = match request.position {
            Position(0) => 1,
            _ => SNAPSHOT_GAIN,
        };
        let is_smaller = missing.is_none_or(|bytes| data.len() * gain < bytes);
        position > request.position && (is_too_large || is_smaller)
    }

    fn chunk(&self, request: &Request, (position, data): (Position, Bytes)) -> Chunk {
        let received = match request.partial {
            Some(partial) if partial.position == position => partial.received,
            _ => 0,
        };
        let start = (received as usize).min(data.len());
        let end = (start + request.data_max).min(data.len());
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
