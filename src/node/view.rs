//! What a node holds of the fleet: configuration, registry, records of other nodes and evidence.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, watch};

use crate::error::Result;
use crate::fleet::gossip::{GOSSIP_INTERVAL, GOSSIP_PEERS};
use crate::fleet::{
    Advertisement, Gossip, GossipRequest, GossipResponse, Member, NodeRecord, Push, Registry,
    RegistryChange, RelayedEntry,
};
use crate::freshness::{AGE_UNIT, ReplicaReport};
use crate::ids::NodeId;
use crate::node::components::{ActiveConfig, Freshness};
use crate::replica::Entry;
use crate::time::{Clock, Monotonic, Time};
use crate::units::{NoteNumber, Position};
use crate::wire::registry::decode_change;
use crate::wire::replica::decode_entry;
use crate::wire::sync::{self, Update};

/// Entries kept for peers that are behind while no control process answers.
const KEPT_ENTRIES: usize = 1_024;

/// How long a node that has just been registered counts as alive before it is heard of.
const JOINED_LIVE: Duration = Duration::from_millis(1_500);

/// Bytes of entries in one answer to a peer.
const RELAYED_MAX_BYTES: usize = 256 * 1024;

/// Gossip rounds without news of a node, beyond those that news takes to spread, before it counts
/// as dead for the choice of owners.
const MISSED_ROUNDS_MAX: u32 = 5;

/// The registries that a node has learned since it looked last.
#[derive(Clone, Debug, Default)]
pub struct Registries {
    /// True if none was left out.
    pub is_gapless: bool,
    /// With the positions of the entries that put them in force, oldest first.
    pub versions: Vec<(Position, Arc<Registry>)>,
    /// Position of the last accepted registry.
    pub accepted: Option<Position>,
}

/// The registered nodes as this node sees them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// True if the entry that put the registry in force is known to be accepted.
    pub accepted: bool,
    /// The registered nodes, sorted by identity.
    pub nodes: Vec<Member>,
    /// The nodes that were heard of lately, sorted.
    pub live: Vec<NodeId>,
    /// The nodes that leave, sorted.
    pub leaving: Vec<NodeId>,
}

/// The node's view of the fleet; every method takes the lock only for a short computation.
#[derive(Debug)]
pub struct FleetView {
    me: Member,
    clock: Monotonic,
    config: Arc<ActiveConfig>,
    /// When the evidence runs out, in microseconds; kept apart so that requests need no lock.
    expires: AtomicU64,
    changes: watch::Sender<u64>,
    /// Notified when this node begins to leave.
    leaves: Notify,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    client: sync::Client,
    gossip: Gossip,
    entries: VecDeque<RelayedEntry>,
    /// Members by identity and when this node learned of them.
    joined: Vec<(NodeId, Time)>,
    /// Number of the note in force; none before the first proof that it is current.
    in_force: Option<NoteNumber>,
}

impl Freshness for FleetView {
    fn is_fresh(&self) -> bool {
        self.clock.now() < Time(self.expires.load(Ordering::Acquire))
    }
}

impl FleetView {
    /// Creates the view of a node that holds nothing.
    pub fn new(me: Member, clock: Monotonic, config: Arc<ActiveConfig>) -> FleetView {
        let gossip = Gossip::new(me.id);
        FleetView {
            me,
            clock,
            config,
            expires: AtomicU64::new(0),
            changes: watch::Sender::new(0),
            leaves: Notify::new(),
            inner: Mutex::new(Inner {
                client: sync::Client::new(),
                gossip,
                entries: VecDeque::new(),
                joined: Vec::new(),
                in_force: None,
            }),
        }
    }

    /// Returns a receiver that is notified when registry or records may have changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the number of the last note that the node holds.
    pub fn number(&self) -> NoteNumber {
        self.lock().client.state().config().number()
    }

    /// Returns the position that the node holds.
    pub fn position(&self) -> Position {
        self.lock().client.state().position()
    }

    /// Returns the link addresses of the control processes that the log names.
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

    /// Returns the registries after the one at `known`.
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
        // The leader met each new member a moment before it was registered.
        let is_new = |id: &NodeId| {
            let joined = inner.joined.binary_search_by_key(id, |(member, _)| *member);
            joined.is_ok_and(|at| now.since(inner.joined[at].1) < JOINED_LIVE)
        };
        let is_live = |(member, age): &(&Member, &u8)| {
            AGE_UNIT * u32::from(**age) <= age_max || is_new(&member.id)
        };
        let leaves = |member: &&Member| {
            let record = gossip.records().get(member.id);
            record.is_some_and(|p| p.record.leaving)
        };
        let leaving = nodes.iter().filter(leaves).map(|member| member.id);
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
        let leaves = record.leaving;
        let published = Advertisement {
            addr: self.me.addr,
            started,
            record,
        };
        let mut inner = self.lock();
        let own = inner.gossip.records().get(self.me.id);
        let is_news = leaves && own.is_none_or(|p| !p.record.leaving);
        inner.gossip.publish(published);
        drop(inner);
        self.notify();
        if is_news {
            self.leaves.notify_one();
        }
    }

    /// Waits until this node has begun to leave, once.
    pub async fn leaves(&self) {
        self.leaves.notified().await;
    }

    /// Returns the question to a control process.
    pub fn sync_request(&self, wait: Duration) -> sync::Request {
        let now = self.clock.now();
        let inner = self.lock();
        let own = inner.gossip.records().get(self.me.id);
        sync::Request {
            leaving: own.is_some_and(|p| p.record.leaving),
            ..inner.client.request(now, self.me.clone(), wait)
        }
    }

    /// Takes in the answer of a control process; returns true if there is more to fetch.
    ///
    /// # Errors
    ///
    /// Fails if the answer is malformed.
    pub fn apply_sync(&self, answer: &sync::Response) -> Result<bool> {
        let mut inner = self.lock();
        match &answer.update {
            Update::Entries(entries) => inner.apply_entries(self.clock.now(), entries)?,
            Update::Chunk(_) => {
                let applied = inner.client.apply(answer)?;
                if applied.changed {
                    inner.restore();
                }
            }
        }
        let heard = ReplicaReport {
            sent: answer.sent,
            replica: answer.replica,
            position: answer.committed,
            confirmation: answer.confirmation,
        };
        let now = self.clock.now();
        inner.gossip.proof_mut().record_replica(now, heard);
        let more = inner.client.state().position() < answer.committed;
        self.settle(inner);
        Ok(more)
    }

    /// Returns peers to exchange gossip with, and the question to each.
    pub fn gossip_round(&self) -> Vec<(Member, GossipRequest)> {
        let mut inner = self.lock();
        let peers = inner.gossip.peers(&mut rand::rng());
        let now = self.clock.now();
        let ask = |member: Member| (member, inner.gossip.request(now));
        peers.into_iter().map(ask).collect()
    }

    /// Answers the gossip of a peer.
    pub fn respond_gossip(&self, ask: &GossipRequest) -> GossipResponse {
        let mut inner = self.lock();
        let mut answer = inner.gossip.respond(self.clock.now(), ask);
        answer.entries = inner.entries_after(ask.position);
        self.settle(inner);
        answer
    }

    /// Takes in a peer's answer and returns the records that it wants.
    ///
    /// # Errors
    ///
    /// Fails if an entry in the answer is malformed.
    pub fn apply_gossip(&self, answer: &GossipResponse) -> Result<Option<Push>> {
        let mut inner = self.lock();
        let entries: Vec<Bytes> = answer.entries.iter().map(|e| e.entry.clone()).collect();
        inner.apply_entries(self.clock.now(), &entries)?;
        let push = inner.gossip.receive(self.clock.now(), answer);
        self.settle(inner);
        Ok(push)
    }

    /// Takes in records that this node asked for.
    pub fn apply_push(&self, push: &Push) {
        let mut inner = self.lock();
        inner.gossip.receive_push(push);
        self.settle(inner);
    }

    /// Updates what others read after a change.
    fn settle(&self, mut inner: MutexGuard<'_, Inner>) {
        let expires = inner.gossip.proof().expires();
        self.expires.store(expires.0, Ordering::Release);
        let number = inner.client.state().config().number();
        // The first configuration goes into force only once it is proved current, so that a node
        // that has just started is not ready before.
        let is_due = inner.in_force.is_some() || self.clock.now() < expires;
        let config = (is_due && inner.in_force != Some(number)).then(|| {
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

/// Returns how old news of a live node may be among `nodes` nodes.
///
/// News reaches all nodes after about as many rounds as the logarithm of their number.
fn age_max(nodes: usize) -> Duration {
    let spread = nodes.max(1).ilog(GOSSIP_PEERS.max(2)) + 1;
    GOSSIP_INTERVAL * (MISSED_ROUNDS_MAX + spread)
}

impl Inner {
    fn note_joined(&mut self, now: Time, change: &RegistryChange) {
        self.joined
            .retain(|(_, since)| now.since(*since) < JOINED_LIVE);
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
            // A change that did not fit the registry is void.
            let is_valid = self.client.state().registry_position() == position;
            self.gossip
                .apply(position, change.as_ref().filter(|_| is_valid))?;
            if is_valid && let Some(change) = &change {
                self.note_joined(now, change);
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

    fn restore(&mut self) {
        let state = self.client.state();
        let (position, changed) = (state.position(), state.registry_position());
        let registry = (*state.registry()).clone();
        self.gossip.restore(position, changed, registry);
        self.entries.clear();
        self.set_replicas(position);
    }

    fn set_replicas(&mut self, position: Position) {
        let voters = self.client.state().voters().to_vec();
        self.gossip.proof_mut().set_replicas(position, &voters);
    }

    /// Returns kept entries that follow `position` without a gap, up to a size.
    fn entries_after(&self, position: Position) -> Vec<RelayedEntry> {
        let first = match self.entries.front() {
            Some(first) if first.position <= position.next() => first.position,
            _ => return Vec::new(),
        };
        let skip = (position.0 + 1 - first.0) as usize;
        let mut size = 0;
        let fits = |e: &&RelayedEntry| {
            size += e.entry.len();
            size <= RELAYED_MAX_BYTES
        };
        self.entries
            .iter()
            .skip(skip)
            .take_while(fits)
            .cloned()
            .collect()
    }
}
