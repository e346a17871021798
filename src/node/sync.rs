//! Keeps a node's view in step with control processes and other nodes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::error::{Error, Result};
use crate::fleet::gossip::GOSSIP_INTERVAL;
use crate::fleet::{GossipRequest, Member};
use crate::ids::NodeId;
use crate::node::view::FleetView;
use crate::replica::Confirmation;
use crate::units::Position;
use crate::wire::fleet::GossipMessage;
use crate::wire::sync::{Response, SYNC_INTERVAL, WAIT_MAX};
use crate::wire::{Channel, Hello, Peer, Secret};

/// Longest time for an answer that is not held back.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between questions of a node that holds nothing yet, and refuses every request until it does.
const FIRST_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a control process did not answer a question that may be held back.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Calls to the control processes.
///
/// The addresses in the settings serve to find the group; its members are known from the log.
#[derive(Debug)]
pub struct ControlClient {
    view: Arc<FleetView>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    secret: Secret,
    hello: Hello,
    /// Links to control processes, sorted by address.
    links: Mutex<Vec<Peer>>,
}

impl ControlClient {
    /// Creates the calls to the control processes at `seeds` and to those that the log names.
    pub fn new(
        view: Arc<FleetView>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        secret: Secret,
        hello: Hello,
    ) -> ControlClient {
        ControlClient {
            view,
            seeds,
            secret,
            hello,
            links: Mutex::default(),
        }
    }

    /// Returns the ways to all control processes, sorted by address.
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

    /// Asks regularly how current the node is.
    ///
    /// One answer of a leader with its lease is proof enough; only without it are the others asked,
    /// which keeps the usual cost at one call an interval.
    pub async fn prove(&self) {
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
            // Seats of this node must move before it ends, so the leader is told at once.
            tokio::select! {
                _ = tick => {}
                () = self.view.leaves() => {}
            }
            let peers = self.peers();
            let known = peers.iter().find(|p| Some(p.addr()) == leader);
            if let Some(known) = known
                && let Ok(answer) = self.ask(known).await
            {
                if answer.confirmation == Confirmation::Leader {
                    continue;
                }
                leader = answer.leader;
            }
            let others = peers.iter().map(|p| self.ask(p));
            let answers = join_all(others).await;
            let speaks = |a: &Result<Response>| {
                a.as_ref()
                    .is_ok_and(|a| a.confirmation == Confirmation::Leader)
            };
            if let Some(i) = answers.iter().position(speaks) {
                leader = Some(peers[i].addr());
            }
        }
    }

    async fn ask(&self, peer: &Peer) -> Result<Response> {
        self.exchange(peer, Duration::ZERO).await
    }

    /// Waits for changes at one control process after the other.
    pub async fn wait_for_changes(&self) {
        // Nodes begin with different control processes, so that each feeds a share of them.
        let mut next = rand::random_range(0..usize::MAX / 2);
        loop {
            let peers = self.peers();
            let peer = &peers[next % peers.len()];
            if let Err(e) = self.exchange(peer, WAIT_MAX).await {
                log::debug!(event = "sync-failed", error:% = e; "control process did not answer");
                next += 1;
                sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn exchange(&self, peer: &Peer, wait: Duration) -> Result<Response> {
        let request = self.view.sync_request(wait);
        let sent = request.sent;
        let limit = wait + ANSWER_TIMEOUT;
        let bytes = peer.call(Channel::Sync, request.encode(), limit).await?;
        let answer = Response::decode(bytes)?;
        // The date of the evidence is this node's own; an answer that repeats another is dropped.
        if answer.sent != sent {
            return Err(Error::invalid("a sync answer names another question"));
        }
        self.view.apply_sync(&answer)?;
        Ok(answer)
    }
}

/// Exchanges gossip with other nodes.
#[derive(Debug)]
pub struct Gossiper {
    view: Arc<FleetView>,
    secret: Secret,
    hello: Hello,
    /// Links to nodes, sorted by identity.
    peers: Mutex<Vec<(NodeId, Peer)>>,
}

impl Gossiper {
    /// Creates the gossip of a node.
    pub fn new(view: Arc<FleetView>, secret: Secret, hello: Hello) -> Gossiper {
        Gossiper {
            view,
            secret,
            hello,
            peers: Mutex::default(),
        }
    }

    /// Begins exchanges with random peers at each interval.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = interval(GOSSIP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.forget_removed();
            for (member, ask) in self.view.gossip_round() {
                let this = self.clone();
                tokio::spawn(async move {
                    if let Err(e) = this.exchange(&member, ask).await {
                        log::debug!(
                            event = "gossip-failed", node:% = member.id, error:% = e;
                            "no gossip with a node"
                        );
                    }
                });
            }
        }
    }

    async fn exchange(&self, member: &Member, ask: GossipRequest) -> Result<()> {
        let peer = self.peer(member);
        let bytes = GossipMessage::Request(ask).encode();
        let bytes = peer.call(Channel::Gossip, bytes, ANSWER_TIMEOUT).await?;
        let GossipMessage::Response(answer) = GossipMessage::decode(bytes)? else {
            return Err(Error::invalid("a peer answered gossip with something else"));
        };
        if let Some(push) = self.view.apply_gossip(&answer)? {
            let bytes = GossipMessage::Push(push).encode();
            peer.call(Channel::Gossip, bytes, ANSWER_TIMEOUT).await?;
        }
        Ok(())
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

    fn forget_removed(&self) {
        let registry = self.view.registry();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|(id, _)| registry.get(*id).is_some());
    }
}

/// Answers the gossip of another node.
///
/// # Errors
///
/// Fails if the message is malformed or is not one that begins an exchange.
pub fn serve_gossip(view: &FleetView, payload: Bytes) -> Result<Bytes> {
    match GossipMessage::decode(payload)? {
        GossipMessage::Request(ask) => {
            let answer = view.respond_gossip(&ask);
            Ok(GossipMessage::Response(answer).encode())
        }
        GossipMessage::Push(push) => {
            view.apply_push(&push);
            Ok(Bytes::new())
        }
        GossipMessage::Response(_) => Err(Error::invalid("an answer without a question")),
    }
}
