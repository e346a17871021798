//! The departures that a node knows, and their replication to other nodes.
//!
//! A leave is acknowledged only once other nodes hold it, and a node that starts learns the
//! departures of its VM from them before it uses a target, so that a restart forgets none.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::Result;
use crate::fleet::{Departure, Departures, Member, TargetRun};
use crate::ids::TargetName;
use crate::time::Time;

/// Longest wait for the replication of a leave; a target waits 1 s for the response.
pub const REPLICATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of one exchange with another node.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of other nodes that must hold a leave, so that it survives the loss of this node and of one
/// more.
const HOLDERS_MIN: usize = 2;

/// Number of nodes that a leave is sent to at once.
const HOLDERS: usize = 4;

/// Number of nodes that a starting node asks; more than [`HOLDERS`], because the registry may change
/// between the leave and the restart.
const SOURCES: usize = 8;

/// Delay before departures are sent again after too few nodes have confirmed them.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which a started node that reaches no other node uses no target.
const ISOLATED_MAX: Duration = Duration::from_secs(10);

/// Time between two questions to nodes that have not told a started node its departures.
const RELEARN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of such questions; announcements arrive up to some seconds late.
const RELEARN_MAX: usize = 30;

/// Added to the clock, so that the age of a departure can be subtracted right after the start.
const CLOCK_OFFSET: Time = Time::from_millis(3_600_000);

/// The departures that a node knows.
#[derive(Debug)]
pub struct NodeDepartures {
    vm: SocketAddr,
    /// True if leaves must be replicated before they are acknowledged.
    is_member: bool,
    started: Instant,
    table: Mutex<Departures>,
    changes: watch::Sender<u64>,
}

impl NodeDepartures {
    /// Creates an empty table of a node that isn't a member of a fleet.
    pub fn standalone(vm: SocketAddr) -> NodeDepartures {
        NodeDepartures::new(vm, false)
    }

    /// Creates an empty table of a fleet's node with the link address `vm`.
    pub fn replicated(vm: SocketAddr) -> NodeDepartures {
        NodeDepartures::new(vm, true)
    }

    fn new(vm: SocketAddr, is_member: bool) -> NodeDepartures {
        NodeDepartures {
            vm,
            is_member,
            started: Instant::now(),
            table: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns true if the node is a member of a fleet.
    pub fn is_member(&self) -> bool {
        self.is_member
    }

    /// Records that a run of a target on this VM leaves; returns true if that is new.
    pub fn record(&self, name: &TargetName, incarnation: u64) -> bool {
        let run = self.run(name, incarnation);
        let is_new = self.lock().record(self.now(), &run);
        if is_new {
            self.notify();
        }
        is_new
    }

    /// Returns true if a run of a target on this VM is known to leave or to have left.
    pub fn contains(&self, name: &TargetName, incarnation: u64) -> bool {
        self.lock()
            .contains(self.now(), &self.run(name, incarnation))
    }

    /// Waits until other nodes hold the departure of a run on this VM; returns false if they don't
    /// within [`REPLICATION_TIMEOUT`].
    pub async fn wait_replicated(&self, name: &TargetName, incarnation: u64) -> bool {
        if !self.is_member {
            return true;
        }
        let run = self.run(name, incarnation);
        let mut changes = self.changes();
        let replicated = changes.wait_for(|_| self.lock().is_replicated(&run));
        timeout(REPLICATION_TIMEOUT, replicated).await.is_ok()
    }

    /// Merges what another node holds.
    pub fn merge(&self, departures: &[Departure]) {
        if !departures.is_empty() && self.lock().merge(self.now(), departures) {
            self.notify();
        }
    }

    /// Returns the departures that gossip announces now.
    pub fn recent(&self) -> Vec<Departure> {
        self.lock().recent(self.now())
    }

    /// Returns the departures for a node that starts on `vm`, as [`Departures::known_for`].
    pub fn known_for(&self, vm: SocketAddr) -> Vec<Departure> {
        self.lock().known_for(self.now(), vm)
    }

    /// Returns a receiver that is notified of new departures and of their replication.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn unreplicated(&self) -> Vec<Departure> {
        self.lock().unreplicated(self.now())
    }

    fn set_replicated(&self, departures: &[Departure]) {
        let mut table = self.lock();
        departures.iter().for_each(|d| table.set_replicated(&d.run));
        drop(table);
        self.notify();
    }

    fn run(&self, name: &TargetName, incarnation: u64) -> TargetRun {
        TargetRun {
            vm: self.vm,
            name: name.clone(),
            incarnation,
        }
    }

    fn notify(&self) {
        self.changes.send_modify(|n| *n += 1);
    }

    fn now(&self) -> Time {
        CLOCK_OFFSET + self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Departures> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The other nodes, as the replication of departures uses them.
pub trait DeparturePeers: Send + Sync {
    /// Waits until the registered nodes are known, and returns the others.
    fn members(&self) -> impl Future<Output = Vec<Member>> + Send;

    /// Returns the number of other nodes that are live.
    fn live_count(&self) -> usize;

    /// Gives a node departures and returns those that it holds of the VM `vm`.
    fn give(
        &self,
        member: &Member,
        departures: &[Departure],
        vm: SocketAddr,
    ) -> impl Future<Output = Result<Vec<Departure>>> + Send;
}

/// Learns the departures of this VM from other nodes and returns those that have not answered.
///
/// It takes at most [`EXCHANGE_TIMEOUT`] after the registered nodes are known if any other node answers,
/// and [`ISOLATED_MAX`] more if none does.
pub async fn learn<P: DeparturePeers>(departures: &NodeDepartures, peers: &P) -> Vec<Member> {
    let start = Instant::now();
    loop {
        let mut missing = peers.members().await;
        sort_holders(&mut missing, departures.vm);
        missing.truncate(SOURCES);
        let asked = missing.len();
        let _ = timeout(EXCHANGE_TIMEOUT, ask_twice(departures, peers, &mut missing)).await;
        let is_answered = missing.len() < asked || asked == 0;
        if is_answered || start.elapsed() >= ISOLATED_MAX {
            log::info!(
                event = "departures-learned", asked, answered = asked - missing.len(),
                known = departures.known_for(departures.vm).len();
                "departures of the targets on this VM learned from other nodes"
            );
            return missing;
        }
        log::info!(
            event = "departures-unknown", asked;
            "targets not in use: no other node has told the departures of this VM"
        );
        sleep(RETRY_DELAY).await;
    }
}

/// Asks nodes, and those that fail once more.
async fn ask_twice<P: DeparturePeers>(
    departures: &NodeDepartures,
    peers: &P,
    missing: &mut Vec<Member>,
) {
    ask(departures, peers, missing).await;
    if !missing.is_empty() {
        sleep(RETRY_DELAY).await;
        ask(departures, peers, missing).await;
    }
}

/// Asks the nodes that have not answered [`learn`] again, as long as an announcement may be late.
pub async fn keep_learning<P: DeparturePeers>(
    departures: &NodeDepartures,
    peers: &P,
    mut missing: Vec<Member>,
) {
    for _ in 0..RELEARN_MAX {
        if missing.is_empty() {
            return;
        }
        sleep(RELEARN_INTERVAL).await;
        ask(departures, peers, &mut missing).await;
    }
}

/// Asks nodes for the departures of this VM and removes those that answer from the list.
async fn ask<P: DeparturePeers>(departures: &NodeDepartures, peers: &P, missing: &mut Vec<Member>) {
    let ask_one = |member: Member| async move {
        let answer = peers.give(&member, &[], departures.vm).await;
        (member, answer)
    };
    let mut answers: FuturesUnordered<_> = missing.iter().cloned().map(ask_one).collect();
    while let Some((member, answer)) = answers.next().await {
        if let Ok(known) = answer {
            departures.merge(&known);
            missing.retain(|m| m.id != member.id);
        }
    }
}

/// Gives new departures of this VM to other nodes.
pub async fn replicate<P: DeparturePeers>(departures: Arc<NodeDepartures>, peers: P) {
    let mut changes = departures.changes();
    loop {
        let missing = departures.unreplicated();
        if missing.is_empty() {
            if changes.changed().await.is_err() {
                return;
            }
        } else if !send(&departures, &peers, &missing).await {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Sends departures to other nodes until enough of them hold them; returns false if too few do.
///
/// A node without others has none to wait for.
async fn send<P: DeparturePeers>(
    departures: &NodeDepartures,
    peers: &P,
    missing: &[Departure],
) -> bool {
    let mut members = peers.members().await;
    let needed = members.len().min(peers.live_count().clamp(1, HOLDERS_MIN));
    sort_holders(&mut members, departures.vm);
    let send_to = |member: Member| async move {
        peers
            .give(&member, missing, departures.vm)
            .await
            .inspect_err(|e| {
                log::info!(
                    event = "departure-not-held", node:% = member.id, error:% = e;
                    "a node did not confirm departures"
                );
            })
    };
    let mut rest = members.into_iter();
    let mut answers: FuturesUnordered<_> = rest.by_ref().take(HOLDERS).map(send_to).collect();
    let mut holders = 0;
    while holders < needed {
        match answers.next().await {
            Some(Ok(_)) => holders += 1,
            Some(Err(_)) => answers.extend(rest.next().map(send_to)),
            None => return false,
        }
    }
    departures.set_replicated(missing);
    true
}

/// Sorts nodes by a hash of their VM and `vm`, so that a restarted node asks those that were given its
/// departures.
fn sort_holders(members: &mut [Member], vm: SocketAddr) {
    members.sort_by_cached_key(|m| xxh3_64(format!("{} {vm}", m.addr).as_bytes()));
}
