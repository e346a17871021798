//! A node's replica of the fleet's state: configuration, registry, node records and freshness
//! proof.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, Semaphore, SemaphorePermit, watch};

use crate::error::Result;
use crate::fleet::gossip::{GOSSIP_FANOUT, GOSSIP_INTERVAL};
use crate::fleet::{
    Advertisement, Gossip, GossipRequest, GossipResponse, Member, NodeRecord, Push, Registry,
    RegistryChange, RelayedEntry,
};
use crate::freshness::{AGE_UNIT, ReplicaReport};
use crate::ids::NodeId;
use crate::node::components::{ActiveConfig, Freshness};
use crate::node::departures::NodeDepartures;
use crate::replica::Entry;
use crate::time::{Clock, Monotonic, Time};
use crate::units::{NoteNumber, Position};
use crate::wire::registry::decode_change;
use crate::wire::replica::decode_entry;
use crate::wire::sync::{self, DATA_MAX_BYTES, Update};

/// Number of log entries kept for peers that lag while no control process is reachable.
const KEPT_ENTRIES: usize = 1_024;

/// Time for which a newly registered node counts as alive before gossip reports its liveness.
const JOIN_GRACE: Duration = Duration::from_millis(1_500);

/// Gossip rounds without an update of a node, beyond those that an update takes to spread, after
/// which the node counts as dead for the choice of owners.
const MISSED_ROUNDS_MAX: u32 = 5;

/// The registries that a node has received since a given one.
#[derive(Clone, Debug, Default)]
pub struct Registries {
    /// True if no registry in between is missing.
    pub is_gapless: bool,
    /// The registries with the positions of the entries that put them in force, oldest first.
    pub versions: Vec<(Position, Arc<Registry>)>,
    /// Position of the last accepted registry.
    pub accepted: Option<Position>,
}

/// The registered nodes as known to this node.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// True if the entry that put the registry in force is known to be accepted.
    pub accepted: bool,
    /// The registered nodes, sorted by id.
    pub nodes: Vec<Member>,
    /// The live nodes, sorted.
    pub live: Vec<NodeId>,
    /// The leaving nodes, sorted.
    pub leaving: Vec<NodeId>,
}

/// The node's view of the fleet; every method holds the lock only for a short computation.
#[derive(Debug)]
pub struct FleetView {
    me: Member,
    clock: Monotonic,
    config: Arc<ActiveConfig>,
    /// Expiry of the freshness proof in microseconds; an atomic so that requests need no lock.
    expires: AtomicU64,
    changes: watch::Sender<u64>,
    /// Limits the transfers of data that this node lacks.
    transfers: Semaphore,
    /// Notified when this node starts to leave.
    leave_started: Notify,
    departures: Arc<NodeDepartures>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    client: sync::Client,
    gossip: Gossip,
    entries: VecDeque<RelayedEntry>,
    /// Newly registered members, sorted by id, with the time when this node received the change.
    joined: Vec<(NodeId, Time)>,
    /// Number of the note in force; `None` before the first freshness proof.
    in_force: Option<NoteNumber>,
}

impl Freshness for FleetView {
    fn is_fresh(&self) -> bool {
        self.clock.now() < Time(self.expires.load(Ordering::Acquire))
    }
}

impl FleetView {
    /// Creates an empty view.
    pub fn new(me: Member, clock: Monotonic, config: Arc<ActiveConfig>) -> FleetView {
        let gossip = Gossip::new(me.id);
        let departures = Arc::new(NodeDepartures::replicated(me.addr));
        FleetView {
            me,
            clock,
            config,
            expires: AtomicU64::new(0),
            changes: watch::Sender::new(0),
            transfers: Semaphore::new(1),
            leave_started: Notify::new(),
            departures,
            inner: Mutex::new(Inner {
                client: sync::Client::new(),
                gossip,
                entries: VecDeque::new(),
                joined: Vec::new(),
                in_force: None,
            }),
        }
    }

    /// Returns a receiver that is notified when the registry or records may have changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the departures of targets that this node knows.
    pub fn departures(&self) -> &Arc<NodeDepartures> {
        &self.departures
    }

    /// Waits until a configuration is in force, so that the registry is current, and returns the
    /// other registered nodes.
    pub async fn other_members(&self) -> Vec<Member> {
        let mut changes = self.changes();
        // The sender is part of the view.
        let _ = changes.wait_for(|_| self.lock().in_force.is_some()).await;
        let inner = self.lock();
        let members = inner.gossip.registry().members().iter();
        // An earlier process on this VM may still be registered.
        let others = members.filter(|m| m.id != self.me.id && m.addr != self.me.addr);
        others.cloned().collect()
    }

    /// Returns the number of the last note that this node has received.
    pub fn note_number(&self) -> NoteNumber {
        self.lock().client.state().config().number()
    }

    /// Returns the position of the last log entry that this node has applied.
    pub fn position(&self) -> Position {
        self.lock().client.state().position()
    }

    /// Returns the link addresses of the control processes according to the log.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.lock().client.state().links().to_vec()
    }

    /// Returns the position of the entry that put the registry in force.
    pub fn registry_position(&self) -> Position {
        self.lock().client.state().registry_position()
    }

    /// Returns the registry in force.
    pub fn registry(&self) -> Registry {
        self.lock().gossip.registry().clone()
    }

    /// Returns the registries after the one at position `known`.
    pub fn registries_after(&self, known: Position) -> Registries {
        let inner = self.lock();
        let state = inner.client.state();
        let mut versions: Vec<_> = state.shared_registries().collect();
        let oldest = versions.first().map_or(Position(0), |(p, _)| *p);
        let accepted = state.accepted();
        let accepted = versions.iter().rfind(|(p, _)| *p <= accepted);
        let accepted = accepted.map(|(p, _)| *p);
        versions.retain(|(position, _)| *position > known);
        Registries {
            is_gapless: oldest <= known,
            versions,
            accepted,
        }
    }

    /// Returns the registered nodes and which of them are alive.
    pub fn members(&self) -> Members {
        let inner = self.lock();
        let gossip = &inner.gossip;
        let state = inner.client.state();
        let nodes = gossip.registry().members().to_vec();
        let ages = gossip.proof().ages(self.clock.now());
        let age_max = age_max(nodes.len());
        let now = self.clock.now();
        // The leader was in contact with each new member just before it registered the member.
        let is_new = |id: &NodeId| {
            let joined = inner.joined.binary_search_by_key(id, |(member, _)| *member);
            joined.is_ok_and(|at| now.since(inner.joined[at].1) < JOIN_GRACE)
        };
        let is_live = |(member, age): &(&Member, &u8)| {
            AGE_UNIT * u32::from(**age) <= age_max || is_new(&member.id)
        };
        let is_leaving = |member: &&Member| {
            let record = gossip.records().get(member.id);
            record.is_some_and(|p| p.record.leaving)
        };
        let leaving = nodes.iter().filter(is_leaving).map(|member| member.id);
        let live = nodes.iter().zip(&ages.bytes).filter(is_live);
        Members {
            accepted: state.accepted() >= state.registry_position(),
            live: live.map(|(member, _)| member.id).collect(),
            leaving: leaving.collect(),
            nodes,
        }
    }

    /// Returns the records of all nodes.
    pub fn records(&self) -> Vec<Arc<Advertisement>> {
        self.lock().gossip.records().iter().cloned().collect()
    }

    /// Publishes the node's own record.
    pub fn publish(&self, record: NodeRecord, started: u64) {
        let leaving = record.leaving;
        let advertisement = Advertisement {
            addr: self.me.addr,
            started,
            record,
        };
        let mut inner = self.lock();
        let own = inner.gossip.records().get(self.me.id);
        let starts_leaving = leaving && own.is_none_or(|p| !p.record.leaving);
        inner.gossip.publish(advertisement);
        if starts_leaving {
            // Control counts on this from the next request on, which says that this node leaves.
            inner.gossip.proof_mut().retire();
        }
        self.publish_changes(inner);
        if starts_leaving {
            self.leave_started.notify_one();
        }
    }

    /// Waits until this node starts to leave; completes only once.
    pub async fn leave_started(&self) {
        self.leave_started.notified().await;
    }

    /// Waits until no other data transfer runs, and reserves the next one.
    ///
    /// The data that a node lacks comes in one transfer at a time, so that it comes once.
    pub async fn transfer(&self) -> SemaphorePermit<'_> {
        let permit = self.transfers.acquire().await;
        permit.expect("the semaphore is never closed")
    }

    /// Reserves a data transfer, unless another one runs.
    pub fn try_transfer(&self) -> Option<SemaphorePermit<'_>> {
        self.transfers.try_acquire().ok()
    }

    /// Returns the sync request to a control process; the response carries at most `data_max` bytes
    /// of data.
    pub fn sync_request(&self, wait: Duration, data_max: usize) -> sync::Request {
        let now = self.clock.now();
        let inner = self.lock();
        let own = inner.gossip.records().get(self.me.id);
        sync::Request {
            leaving: own.is_some_and(|p| p.record.leaving),
            data_max,
            ..inner.client.request(now, self.me.clone(), wait)
        }
    }

    /// Applies the sync response of a control process; returns true if there is more to fetch.
    ///
    /// # Errors
    ///
    /// Fails if the response is malformed.
    pub fn apply_sync(&self, response: &sync::Response) -> Result<bool> {
        let mut inner = self.lock();
        match &response.update {
            Update::Entries(entries) => inner.apply_entries(self.clock.now(), entries)?,
            Update::Chunk(_) => {
                let applied = inner.client.apply(response)?;
                if applied.changed {
                    inner.restore(self.clock.now());
                }
            }
        }
        let report = ReplicaReport {
            sent: response.sent,
            replica: response.replica,
            position: response.committed,
            confirmation: response.confirmation,
        };
        let now = self.clock.now();
        inner.gossip.proof_mut().record_replica(now, report);
        let more = inner.client.state().position() < response.committed;
        self.publish_changes(inner);
        Ok(more)
    }

    /// Returns the peers for a gossip round with the request to each.
    pub fn gossip_round(&self) -> Vec<(Member, GossipRequest)> {
        let mut inner = self.lock();
        let peers = inner.gossip.peers(&mut rand::rng());
        let now = self.clock.now();
        let departures = self.departures.recent();
        let with_request = |member: Member| {
            let mut request = inner.gossip.request(now, &member);
            request.departures.clone_from(&departures);
            (member, request)
        };
        peers.into_iter().map(with_request).collect()
    }

    /// Returns the response to a gossip request of a peer.
    pub fn respond_gossip(&self, request: &GossipRequest) -> GossipResponse {
        self.departures.merge(&request.departures);
        let mut inner = self.lock();
        let mut response = inner.gossip.respond(self.clock.now(), request);
        if !request.without_entries {
            response.entries = inner.entries_after(request.position);
        }
        self.publish_changes(inner);
        response
    }

    /// Applies a peer's gossip response and returns the records that the peer requested.
    ///
    /// # Errors
    ///
    /// Fails if an entry in the response is malformed.
    pub fn apply_gossip(&self, response: &GossipResponse) -> Result<Option<Push>> {
        let mut inner = self.lock();
        let entries: Vec<Bytes> = response.entries.iter().map(|e| e.entry.clone()).collect();
        inner.apply_entries(self.clock.now(), &entries)?;
        let push = inner.gossip.receive(self.clock.now(), response);
        self.publish_changes(inner);
        Ok(push)
    }

    /// Returns entries after `position` for a node that lacks them.
    pub fn relay_entries(&self, position: Position) -> Vec<RelayedEntry> {
        self.lock().entries_after(position)
    }

    /// Applies entries that another node relayed.
    ///
    /// # Errors
    ///
    /// Fails if an entry is malformed.
    pub fn apply_relayed(&self, entries: &[RelayedEntry]) -> Result<()> {
        let entries: Vec<Bytes> = entries.iter().map(|e| e.entry.clone()).collect();
        let mut inner = self.lock();
        inner.apply_entries(self.clock.now(), &entries)?;
        self.publish_changes(inner);
        Ok(())
    }

    /// Applies records that this node requested.
    pub fn apply_push(&self, push: &Push) {
        let mut inner = self.lock();
        inner.gossip.receive_push(push);
        self.publish_changes(inner);
    }

    /// Publishes changes of the freshness proof and the configuration, and notifies receivers.
    fn publish_changes(&self, mut inner: MutexGuard<'_, Inner>) {
        let expires = inner.gossip.proof().expires();
        self.expires.store(expires.0, Ordering::Release);
        let number = inner.client.state().config().number();
        // The first configuration takes effect only once it is proven current, so that a node that
        // has just started isn't ready before.
        let may_apply = inner.in_force.is_some() || self.clock.now() < expires;
        let config = (may_apply && inner.in_force != Some(number)).then(|| {
            inner.in_force = Some(number);
            inner.client.state().config().clone()
        });
        drop(inner);
        if let Some(config) = config {
            log::info!(event = "config-in-force", number:% = number; "configuration in force");
            self.config.store(config);
        }
        self.notify();
    }

    fn notify(&self) {
        self.changes.send_modify(|n| *n += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the maximum age of the last update of a live node in a fleet of `nodes` nodes.
///
/// An update reaches all nodes after a number of rounds of about the logarithm of their number.
fn age_max(nodes: usize) -> Duration {
    let spread = nodes.max(1).ilog(GOSSIP_FANOUT.max(2)) + 1;
    GOSSIP_INTERVAL * (MISSED_ROUNDS_MAX + spread)
}

impl Inner {
    fn record_joined(&mut self, now: Time, change: &RegistryChange) {
        self.joined
            .retain(|(_, since)| now.since(*since) < JOIN_GRACE);
        self.joined
            .extend(change.joined.iter().map(|m| (m.id, now)));
        self.joined.sort_unstable();
    }

    fn apply_entries(&mut self, now: Time, entries: &[Bytes]) -> Result<()> {
        for bytes in entries {
            let logged = decode_entry(bytes.clone())?;
            let position = logged.position;
            if position <= self.client.state().position() {
                continue;
            }
            let change = match &logged.entry {
                Entry::Nodes(bytes) => Some(decode_change(bytes)?),
                _ => None,
            };
            self.client.apply_entries(std::slice::from_ref(bytes))?;
            // A change that doesn't apply to the registry is ignored.
            let is_valid = self.client.state().registry_position() == position;
            self.gossip
                .apply(position, change.as_ref().filter(|_| is_valid))?;
            if is_valid && let Some(change) = &change {
                self.record_joined(now, change);
            }
            if matches!(logged.entry, Entry::Replicas(_)) {
                self.set_replicas(position);
            }
            self.keep(position, bytes.clone());
        }
        Ok(())
    }

    fn keep(&mut self, position: Position, bytes: Bytes) {
        if self.entries.len() == KEPT_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(RelayedEntry {
            position,
            entry: bytes,
        });
    }

    fn restore(&mut self, now: Time) {
        let state = self.client.state();
        let (position, changed) = (state.position(), state.registry_position());
        let registry = (*state.registry()).clone();
        // Which members joined recently is unknown.
        let members = registry.members().iter();
        self.joined = members.map(|m| (m.id, now)).collect();
        self.gossip.restore(position, changed, registry);
        self.entries.clear();
        self.set_replicas(position);
    }

    fn set_replicas(&mut self, position: Position) {
        let voters = self.client.state().voters().to_vec();
        self.gossip.proof_mut().set_replicas(position, &voters);
    }

    /// Returns kept entries that follow `position` without a gap, up to a maximum size.
    fn entries_after(&self, position: Position) -> Vec<RelayedEntry> {
        let first = match self.entries.front() {
            Some(first) if first.position <= position.next() => first.position,
            _ => return Vec::new(),
        };
        let skip = (position.0 + 1 - first.0) as usize;
        let mut size = 0;
        // An entry that is larger than the maximum is sent alone.
        let fits = |e: &&RelayedEntry| {
            let is_first = size == 0;
            size += e.entry.len();
            is_first || size <= DATA_MAX_BYTES
        };
        self.entries
            .iter()
            .skip(skip)
            .take_while(fits)
            .cloned()
            .collect()
    }
}
