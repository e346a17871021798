//! Message transport between replicas, and peer discovery.
//!
//! At the first start, every initial member is configured with the link addresses of all initial
//! peers. It sends them introductions; a response carries the peer's identity and whether the peer
//! knows a group. Once an initial member without a group knows all peers and none of them knows a
//! group, it passes them to the state machine as the initial members, which bootstraps the group by
//! a unanimous vote. All other processes use the configured addresses only to find the group:
//! responses list the link addresses of the group that the sender knows, and a replica with a new
//! identity introduces itself to these too until the leader adds it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use log::debug;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use crate::control::driver::Command;
use crate::control::view::View;
use crate::ids::ReplicaId;
use crate::replica::{Member, Message, Replica};
use crate::wire::replica::Envelope;
use crate::wire::{Channel, Hello, Peer, Secret};

/// Time between two introductions to a peer.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of discovered addresses; twice a full group, since responses may list former
/// members too.
const DISCOVERED_MAX: usize = 16;

/// Timeout of one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum concurrent calls to one peer; further messages are dropped, since the state machine
/// resends those that are still needed.
const CALLS_MAX: usize = 16;

/// A client for one address, with the limit on its concurrent calls.
#[derive(Clone, Debug)]
struct PeerClient {
    peer: Peer,
    calls: Arc<Semaphore>,
}

/// Sends the replica thread's messages to the other replicas.
pub struct Transport {
    own: Member,
    peers: Vec<SocketAddr>,
    bootstrap: bool,
    secret: Secret,
    hello: Hello,
    runtime: Handle,
    commands: Sender<Command>,
    clients: BTreeMap<SocketAddr, PeerClient>,
    /// The member at each address and whether it knows a group, from its latest envelope.
    introductions: BTreeMap<SocketAddr, (Member, bool)>,
}

impl Transport {
    /// Creates the transport of the process that `own` describes.
    ///
    /// With `bootstrap`, `peers` are all other initial members; otherwise they are seed addresses
    /// for finding the group.
    pub fn new(
        own: Member,
        peers: Vec<SocketAddr>,
        bootstrap: bool,
        secret: Secret,
        hello: Hello,
        runtime: Handle,
        commands: Sender<Command>,
    ) -> Transport {
        Transport {
            own,
            peers,
            bootstrap,
            secret,
            hello,
            runtime,
            commands,
            clients: BTreeMap::new(),
            introductions: BTreeMap::new(),
        }
    }

    /// Records an envelope's sender and whether it knows a group.
    pub fn record_peer(&mut self, envelope: &Envelope) {
        let from = &envelope.from;
        let introduction = (from.clone(), envelope.has_group);
        self.introductions.insert(from.link, introduction);
    }

    /// Returns all initial members once every peer is known and none of them knows a group.
    pub fn initial_members(&self) -> Option<Vec<Member>> {
        if !self.bootstrap {
            return None;
        }
        let mut members = vec![self.own.clone()];
        for peer in &self.peers {
            let (member, has_group) = self.introductions.get(peer)?;
            if *has_group {
                return None;
            }
            members.push(member.clone());
        }
        Some(members)
    }

    fn link_of(&self, replica: &Replica, id: ReplicaId) -> Option<SocketAddr> {
        if let Some(member) = replica.replicas().get(id) {
            return Some(member.link);
        }
        let mut introduced = self.introductions.values();
        introduced.find(|(m, _)| m.id == id).map(|(m, _)| m.link)
    }

    /// Sends messages, batched into one call per receiver.
    pub fn send(&mut self, replica: &Replica, messages: Vec<(ReplicaId, Message)>) {
        let mut batches: BTreeMap<ReplicaId, Vec<Message>> = BTreeMap::new();
        for (to, message) in messages {
            batches.entry(to).or_default().push(message);
        }
        for (to, messages) in batches {
            let Some(link) = self.link_of(replica, to) else {
                continue;
            };
            let envelope = Envelope {
                from: self.own.clone(),
                has_group: !replica.replicas().is_empty(),
                to: Some(to),
                messages,
                links: Vec::new(),
            };
            self.call(link, &envelope);
        }
    }

    fn call(&mut self, link: SocketAddr, envelope: &Envelope) {
        let client = self.clients.entry(link).or_insert_with(|| PeerClient {
            peer: Peer::new(link, self.secret.clone(), self.hello),
            calls: Arc::new(Semaphore::new(CALLS_MAX)),
        });
        let Ok(permit) = client.calls.clone().try_acquire_owned() else {
            return;
        };
        let (peer, payload) = (client.peer.clone(), envelope.encode());
        let commands = self.commands.clone();
        self.runtime.spawn(async move {
            exchange(&peer, payload, &commands).await;
            drop(permit);
        });
    }
}

/// Sends an envelope, passes the response to the replica thread and returns the link addresses that
/// the response lists.
async fn exchange(
    peer: &Peer,
    payload: bytes::Bytes,
    commands: &Sender<Command>,
) -> Vec<SocketAddr> {
    let response = peer.call(Channel::Replica, payload, CALL_TIMEOUT).await;
    match response.and_then(Envelope::decode) {
        Ok(envelope) => {
            let links = envelope.links.clone();
            // The receiver is dropped only when the process ends.
            let _ = commands.send(Command::Envelope(envelope));
            links
        }
        Err(e) => {
            debug!(event = "peer-call-failed", peer:% = peer.addr(), error:% = e; "call to a peer failed");
            Vec::new()
        }
    }
}

/// Returns an envelope without messages that introduces the process.
pub fn introduction(own: &Member, view: &View) -> Envelope {
    let meta = view.meta();
    let members = meta.replicas.members();
    Envelope {
        from: own.clone(),
        has_group: !members.is_empty(),
        to: None,
        messages: Vec::new(),
        links: members.iter().map(|m| m.link).collect(),
    }
}

/// Introduces this process to the peers, and to the group members that they list, while it knows no
/// leader.
///
/// A process that knows a leader exchanges messages with it anyway. One that was removed from the
/// group knows no leader and rejoins through discovery.
pub async fn discover_peers(
    peers: Vec<SocketAddr>,
    new_peer: impl Fn(SocketAddr) -> Peer,
    own: Member,
    view: Arc<View>,
    commands: Sender<Command>,
) {
    let mut clients: BTreeMap<SocketAddr, Peer> = BTreeMap::new();
    // Listed by a process in the last round. Addresses of lost members must not pile up.
    let mut listed: Vec<SocketAddr> = Vec::new();
    let mut interval = tokio::time::interval(DISCOVERY_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if view.meta().leader.is_some() {
            continue;
        }
        let members = view.meta().replicas.clone();
        let mut addrs = peers.clone();
        addrs.append(&mut listed);
        addrs.extend(members.members().iter().map(|m| m.link));
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|addr| *addr != own.link);
        addrs.truncate(DISCOVERED_MAX);
        clients.retain(|addr, _| addrs.binary_search(addr).is_ok());
        for addr in &addrs {
            clients.entry(*addr).or_insert_with(|| new_peer(*addr));
        }
        let calls = addrs.iter().map(|addr| {
            let payload = introduction(&own, &view).encode();
            exchange(&clients[addr], payload, &commands)
        });
        let links = futures::future::join_all(calls).await;
        listed.extend(links.into_iter().flatten());
    }
}
