//! Messages to the other replicas, and greetings by which they learn of each other.
//!
//! At the first start every founder is told the link addresses of all initial peers. It greets
//! them; an answer names the identity behind the address and tells whether it knows a group. Once a
//! founder without a group knows all peers and none of them knows a group, it names them as the
//! founders to the state machine, which bootstrap the group by a unanimous vote. Everybody else uses
//! the list only to find the group: answers name the addresses of the group that the sender knows,
//! and a replica with a new identity greets these too until the leader lets it in.

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

/// Time between two greetings of a peer.
const GREETING_INTERVAL: Duration = Duration::from_millis(250);

/// Most addresses that are greeted; twice a full group, since old members may be named too.
const GREETED_MAX: usize = 16;

/// Time for one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls to one peer that run at the same time; further messages are dropped, since the state
/// machine sends again what matters.
const CALLS_MAX: usize = 16;

/// The way to one address.
#[derive(Clone, Debug)]
struct Way {
    peer: Peer,
    calls: Arc<Semaphore>,
}

/// The other replicas as the replica's thread reaches them.
pub struct Group {
    own: Member,
    peers: Vec<SocketAddr>,
    bootstrap: bool,
    secret: Secret,
    hello: Hello,
    runtime: Handle,
    commands: Sender<Command>,
    ways: BTreeMap<SocketAddr, Way>,
    /// The latest greeting of each address.
    known: BTreeMap<SocketAddr, (Member, bool)>,
}

impl Group {
    /// Creates the group of the process that `own` describes; `peers` are all initial others if it
    /// `bootstrap` the group with them, else some addresses at which the group may be found.
    pub fn new(
        own: Member,
        peers: Vec<SocketAddr>,
        bootstrap: bool,
        secret: Secret,
        hello: Hello,
        runtime: Handle,
        commands: Sender<Command>,
    ) -> Group {
        Group {
            own,
            peers,
            bootstrap,
            secret,
            hello,
            runtime,
            commands,
            ways: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// Notes what an envelope tells of its sender.
    pub fn greeted(&mut self, envelope: &Envelope) {
        let from = &envelope.from;
        let news = (from.clone(), envelope.founded);
        self.known.insert(from.link, news);
    }

    /// Returns all initial members once each peer is known and none knows a group.
    pub fn founders(&self) -> Option<Vec<Member>> {
        if !self.bootstrap {
            return None;
        }
        let mut members = vec![self.own.clone()];
        for peer in &self.peers {
            let (member, founded) = self.known.get(peer)?;
            if *founded {
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
        let mut known = self.known.values();
        known.find(|(m, _)| m.id == id).map(|(m, _)| m.link)
    }

    /// Sends messages, one call for each receiver.
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
                founded: !replica.replicas().is_empty(),
                to: Some(to),
                messages,
                links: Vec::new(),
            };
            self.call(link, &envelope);
        }
    }

    fn call(&mut self, link: SocketAddr, envelope: &Envelope) {
        let way = self.ways.entry(link).or_insert_with(|| Way {
            peer: Peer::new(link, self.secret.clone(), self.hello),
            calls: Arc::new(Semaphore::new(CALLS_MAX)),
        });
        let Ok(permit) = way.calls.clone().try_acquire_owned() else {
            return;
        };
        let (peer, payload) = (way.peer.clone(), envelope.encode());
        let commands = self.commands.clone();
        self.runtime.spawn(async move {
            exchange(&peer, payload, &commands).await;
            drop(permit);
        });
    }
}

/// Sends an envelope and passes the answer on.
///
/// Returns the link addresses that the answer names.
async fn exchange(
    peer: &Peer,
    payload: bytes::Bytes,
    commands: &Sender<Command>,
) -> Vec<SocketAddr> {
    let answer = peer.call(Channel::Replica, payload, CALL_TIMEOUT).await;
    match answer.and_then(Envelope::decode) {
        Ok(envelope) => {
            let links = envelope.links.clone();
            // The thread is gone only when the process ends.
            let _ = commands.send(Command::Envelope(envelope));
            links
        }
        Err(e) => {
            debug!(event = "peer-call-failed", peer:% = peer.addr(), error:% = e; "no answer");
            Vec::new()
        }
    }
}

/// Returns the envelope that introduces the process.
pub fn greeting(own: &Member, view: &View) -> Envelope {
    let meta = view.meta();
    let members = meta.replicas.members();
    Envelope {
        from: own.clone(),
        founded: !members.is_empty(),
        to: None,
        messages: Vec::new(),
        links: members.iter().map(|m| m.link).collect(),
    }
}

/// Greets the peers, and the group that they name, while this process knows no leader.
///
/// A process that has a leader exchanges messages with it anyway. One that was taken out of the
/// group hears of no leader and finds the way back by greeting.
pub async fn greet(
    peers: Vec<SocketAddr>,
    new_peer: impl Fn(SocketAddr) -> Peer,
    own: Member,
    view: Arc<View>,
    commands: Sender<Command>,
) {
    let mut known: BTreeMap<SocketAddr, Peer> = BTreeMap::new();
    let mut addrs = peers;
    let mut interval = tokio::time::interval(GREETING_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if view.meta().leader.is_some() {
            continue;
        }
        let members = view.meta().replicas.clone();
        addrs.extend(members.members().iter().map(|m| m.link));
        addrs.sort_unstable();
        addrs.dedup();
        addrs.retain(|addr| *addr != own.link);
        addrs.truncate(GREETED_MAX);
        for addr in &addrs {
            known.entry(*addr).or_insert_with(|| new_peer(*addr));
        }
        let calls = addrs.iter().map(|addr| {
            let payload = greeting(&own, &view).encode();
            exchange(&known[addr], payload, &commands)
        });
        let heard = futures::future::join_all(calls).await;
        addrs.extend(heard.into_iter().flatten());
    }
}
