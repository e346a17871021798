//! Synchronization of a node's view with control processes and other nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::error::{Error, Result};
use crate::fleet::gossip::GOSSIP_INTERVAL;
use crate::fleet::{Departure, GossipRequest, Member, RelayedEntry};
use crate::ids::NodeId;
use crate::metrics::Metrics;
use crate::node::departures::{DeparturePeers, EXCHANGE_TIMEOUT};
use crate::node::sync_report::SyncReport;
use crate::node::view::FleetView;
use crate::replica::Confirmation;
use crate::units::Position;
use crate::wire::gossip::{DepartureRequest, GossipMessage};
use crate::wire::sync::{DATA_MAX_BYTES, Response, SYNC_INTERVAL, WAIT_MAX};
use crate::wire::{Channel, Hello, Peer, Secret};

/// Timeout of a request, not counting the time that a long poll may wait for changes.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between requests of a node without a configuration, which refuses all requests until it has
/// one.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a failed long poll of a control process, and longest wait for the data that a long
/// poll has announced.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A control process that holds more of the log than this node.
#[derive(Clone, Debug)]
struct Source {
    peer: Peer,
    committed: Position,
}

/// Client of the control processes.
///
/// The addresses in the settings are seeds; the log contains the members of the control group.
#[derive(Debug)]
pub struct ControlClient {
    view: Arc<FleetView>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    secret: Secret,
    hello: Hello,
    /// Links to control processes, sorted by address.
    links: Mutex<Vec<Peer>>,
    /// The last control process that reported a later position than this node's.
    source: watch::Sender<Option<Source>>,
    report: SyncReport,
}

impl ControlClient {
    /// Creates a client of the control processes at `seeds` and of those that the log contains.
    pub fn new(
        view: Arc<FleetView>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        secret: Secret,
        hello: Hello,
        metrics: Metrics,
    ) -> ControlClient {
        ControlClient {
            view,
            seeds,
            secret,
            hello,
            links: Mutex::default(),
            source: watch::Sender::new(None),
            report: SyncReport::new(metrics),
        }
    }

    /// Returns the links to all control processes, sorted by address.
    fn peers(&self) -> Vec<Peer> {
        let mut addrs = self.view.controls();
        addrs.extend(self.seeds.borrow().iter());
        addrs.sort_unstable();
        addrs.dedup();
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.retain(|peer| addrs.binary_search(&peer.addr()).is_ok());
        for addr in addrs {
            if let Err(i) = links.binary_search_by_key(&addr, Peer::addr) {
                let peer = Peer::new(addr, self.secret.clone(), self.hello);
                links.insert(i, peer);
            }
        }
        links.clone()
    }

    /// Requests a freshness proof at each interval.
    ///
    /// The response of a leader that holds its lease is sufficient proof. All control processes are
    /// polled only if it is missing, so that there is normally one call per interval.
    pub async fn poll_freshness(&self) {
        let mut ticks = interval(SYNC_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut first = interval(FIRST_INTERVAL);
        first.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leader: Option<SocketAddr> = None;
        loop {
            let tick = match self.view.position() == Position(0) {
                true => first.tick(),
                false => ticks.tick(),
            };
            // The voter roles of this node must move to others before it stops, so the leader is
            // notified at once.
            tokio::select! {
                _ = tick => {}
                () = self.view.leave_started() => {}
            }
            let peers = self.peers();
            let last_leader = peers.iter().find(|p| Some(p.addr()) == leader);
            if let Some(last_leader) = last_leader
                && let Ok(response) = self.poll(last_leader).await
            {
                if response.confirmation == Confirmation::Leader {
                    continue;
                }
                leader = response.leader;
            }
            let polls = peers.iter().map(|p| self.poll(p));
            let responses = join_all(polls).await;
            let is_leader = |response: &Result<Response>| {
                response
                    .as_ref()
                    .is_ok_and(|r| r.confirmation == Confirmation::Leader)
            };
            if let Some(i) = responses.iter().position(is_leader) {
                leader = Some(peers[i].addr());
            }
        }
    }

    async fn poll(&self, peer: &Peer) -> Result<Response> {
        self.exchange(peer, Duration::ZERO, 0).await
    }

    /// Waits for changes and fetches them.
    pub async fn watch_changes(&self) {
        tokio::join!(self.run_long_polls(), self.fetch_data());
    }

    /// Learns of changes by long polls of one control process, moving to the next after a failure.
    async fn run_long_polls(&self) {
        // Nodes start with different control processes, so that each serves a share of the nodes.
        let mut next = rand::random_range(0..usize::MAX / 2);
        loop {
            let peers = self.peers();
            let Some(peer) = peers.get(next % peers.len().max(1)) else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            match self.exchange(peer, WAIT_MAX, 0).await {
                Ok(response) => {
                    let mut changes = self.view.changes();
                    let fetched = changes.wait_for(|_| self.view.position() >= response.committed);
                    let _ = timeout(RETRY_DELAY, fetched).await;
                }
                Err(e) => {
                    log::debug!(
                        event = "sync-failed", error:% = e;
                        "sync with a control process failed"
                    );
                    next += 1;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Fetches the data that this node lacks, one response at a time.
    async fn fetch_data(&self) {
        let mut sources = self.source.subscribe();
        loop {
            let is_ahead = |source: &Option<Source>| {
                let committed = source.as_ref().map(|s| s.committed);
                committed.is_some_and(|committed| committed > self.view.position())
            };
            let Ok(source) = sources.wait_for(is_ahead).await.map(|s| s.clone()) else {
                return;
            };
            let _transfer = self.view.transfer().await;
            let Some(source) = source.filter(|s| s.committed > self.view.position()) else {
                continue;
            };
            let fetched = self
                .exchange(&source.peer, Duration::ZERO, DATA_MAX_BYTES)
                .await;
            if fetched.is_err() {
                // The next response to a poll names another source.
                self.source.send_replace(None);
            }
        }
    }

    async fn exchange(&self, peer: &Peer, wait: Duration, data_max: usize) -> Result<Response> {
        let start = Instant::now();
        let result = self.call(peer, wait, data_max).await;
        let position = self.view.position();
        self.report.record(&result, start.elapsed(), position);
        if let Ok(response) = &result
            && response.committed > position
        {
            self.source.send_replace(Some(Source {
                peer: peer.clone(),
                committed: response.committed,
            }));
        }
        result
    }

    async fn call(&self, peer: &Peer, wait: Duration, data_max: usize) -> Result<Response> {
        let request = self.view.sync_request(wait, data_max);
        let sent = request.sent;
        let limit = wait + RESPONSE_TIMEOUT;
        let bytes = peer.call(Channel::Sync, request.encode(), limit).await?;
        let response = Response::decode(bytes)?;
        // The proof counts from the time of this node's request, so a response to another request
        // is dropped.
        if response.sent != sent {
            return Err(Error::invalid("sync response does not match its request"));
        }
        self.view.apply_sync(&response)?;
        Ok(response)
    }
}

/// Runs the gossip exchanges of a node.
#[derive(Debug)]
pub struct Gossiper {
    view: Arc<FleetView>,
    secret: Secret,
    hello: Hello,
    /// Links to nodes, sorted by id.
    peers: Mutex<Vec<(NodeId, Peer)>>,
    metrics: Metrics,
}

impl Gossiper {
    /// Creates the gossiper of a node.
    pub fn new(view: Arc<FleetView>, secret: Secret, hello: Hello, metrics: Metrics) -> Gossiper {
        Gossiper {
            view,
            secret,
            hello,
            peers: Mutex::default(),
            metrics,
        }
    }

    /// Starts exchanges with random peers at each interval.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(GOSSIP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.close_removed();
            for (member, request) in self.view.gossip_round() {
                let this = self.clone();
                tokio::spawn(async move {
                    if let Err(e) = this.exchange(&member, request).await {
                        log::debug!(
                            event = "gossip-failed", node:% = member.id, error:% = e;
                            "gossip exchange with a node failed"
                        );
                    }
                });
            }
        }
    }

    async fn exchange(&self, member: &Member, request: GossipRequest) -> Result<()> {
        let peer = self.peer(member);
        let bytes = GossipMessage::Request(request).encode();
        let bytes = peer.call(Channel::Gossip, bytes, RESPONSE_TIMEOUT).await?;
        let GossipMessage::Response(response) = GossipMessage::decode(bytes)? else {
            return Err(Error::invalid("unexpected response to a gossip request"));
        };
        self.count_entries(&response.entries);
        if let Some(push) = self.view.apply_gossip(&response)? {
            let bytes = GossipMessage::Push(push).encode();
            peer.call(Channel::Gossip, bytes, RESPONSE_TIMEOUT).await?;
        }
        self.fetch_entries(&peer, response.ages.position).await
    }

    /// Fetches entries from a peer that holds those up to `position`, unless data is on its way.
    async fn fetch_entries(&self, peer: &Peer, position: Position) -> Result<()> {
        if position <= self.view.position() {
            return Ok(());
        }
        let Some(_transfer) = self.view.try_transfer() else {
            return Ok(());
        };
        let bytes = GossipMessage::EntriesRequest(self.view.position()).encode();
        let bytes = peer.call(Channel::Gossip, bytes, RESPONSE_TIMEOUT).await?;
        let GossipMessage::Entries(entries) = GossipMessage::decode(bytes)? else {
            return Err(Error::invalid(
                "unexpected response to a request of entries",
            ));
        };
        self.count_entries(&entries);
        self.view.apply_relayed(&entries)
    }

    fn count_entries(&self, entries: &[RelayedEntry]) {
        let size = entries.iter().map(|e| e.entry.len() as u64).sum();
        self.metrics.add("gossip.entry_bytes", size);
    }

    fn peer(&self, member: &Member) -> Peer {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        match peers.binary_search_by_key(&member.id, |p| p.0) {
            Ok(i) => peers[i].1.clone(),
            Err(i) => {
                let peer = Peer::new(member.addr, self.secret.clone(), self.hello);
                peers.insert(i, (member.id, peer.clone()));
                peer
            }
        }
    }

    fn close_removed(&self) {
        let registry = self.view.registry();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|(id, _)| registry.get(*id).is_some());
    }
}

impl DeparturePeers for Arc<Gossiper> {
    async fn members(&self) -> Vec<Member> {
        self.view.other_members().await
    }

    fn live_count(&self) -> usize {
        let live = self.view.members().live;
        live.iter().filter(|id| id.0 != self.hello.id).count()
    }

    async fn give(
        &self,
        member: &Member,
        departures: &[Departure],
        vm: SocketAddr,
    ) -> Result<Vec<Departure>> {
        let departures = departures.to_vec();
        let request = GossipMessage::DepartureRequest(DepartureRequest { departures, vm });
        let peer = self.peer(member);
        let bytes = peer
            .call(Channel::Gossip, request.encode(), EXCHANGE_TIMEOUT)
            .await?;
        match GossipMessage::decode(bytes)? {
            GossipMessage::Departures(held) => Ok(held),
            _ => Err(Error::invalid("unexpected response to departures")),
        }
    }
}

/// Serves the gossip of another node.
///
/// # Errors
///
/// Fails if the message is malformed or is a response.
pub fn serve_gossip(view: &FleetView, payload: Bytes) -> Result<Bytes> {
    match GossipMessage::decode(payload)? {
        GossipMessage::Request(request) => {
            let response = view.respond_gossip(&request);
            Ok(GossipMessage::Response(response).encode())
        }
        GossipMessage::Push(push) => {
            view.apply_push(&push);
            Ok(Bytes::new())
        }
        GossipMessage::EntriesRequest(position) => {
            let entries = view.relay_entries(position);
            Ok(GossipMessage::Entries(entries).encode())
        }
        GossipMessage::DepartureRequest(request) => {
            view.departures().merge(&request.departures);
            let held = view.departures().known_for(request.vm);
            Ok(GossipMessage::Departures(held).encode())
        }
        GossipMessage::Response(_) | GossipMessage::Entries(_) | GossipMessage::Departures(_) => {
            Err(Error::invalid("an answer without a question"))
        }
    }
}
