//! The control daemon: replica driver, operator API and configuration sync for nodes.
//!
//! One thread ([`driver`]) owns the replica and its journal and executes the replica's actions in
//! order. It publishes a [`view`] that serves nodes ([`rpc`]) and operators ([`operator`]), so that
//! readers never wait for the disk. [`transport`] carries the messages between replicas. The leader
//! derives registry changes from the requests of nodes ([`nodes`]) and from its own probes
//! ([`probe`]).

pub mod api;
pub mod driver;
pub mod journal;
pub mod nodes;
pub mod operator;
pub mod probe;
pub mod rpc;
pub mod state;
pub mod transport;
pub mod view;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use log::{debug, error, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::driver::{Command, Dependencies, Driver};
use self::journal::{Journal, StoreJournal};
use self::nodes::Nodes;
use self::operator::OperatorApi;
use self::probe::Prober;
use self::rpc::RpcHandler;
use self::transport::Transport;
use self::view::View;
use crate::error::{Error, Result};
use crate::freshness::PROOF_LIFETIME;
use crate::ids::ReplicaId;
use crate::metrics::Metrics;
use crate::replica::{Member, REPLICAS_MAX, Replica};
use crate::storage::RealDisk;
use crate::time::{Clock, Monotonic};
use crate::wire::{Hello, Peer, Protocol, Role, Secret, accept, serve_frames};

/// Maximum number of open links; 560 nodes hold two each, in addition to probes and replicas.
const LINKS_MAX: usize = 4_096;

/// Configuration of a control process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for links, to listen on and to advertise to other processes.
    pub link: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Link addresses of all other initial replicas, or of some seeds for finding the group.
    pub peers: Vec<SocketAddr>,
    /// True if this process bootstraps the group together with all of its peers at the first start.
    pub bootstrap: bool,
    /// Number of voters that the group grows to; zero if it doesn't grow. No note is accepted from
    /// operators before the group has this size.
    pub voters: usize,
    /// Time for which nodes may confirm one another's configuration after the last contact with the
    /// control group. If most nodes are lost, a note is acknowledged only after it.
    pub offline: Duration,
    /// The data directory.
    pub data_dir: PathBuf,
    /// The fleet secret.
    pub fleet_secret: Secret,
    /// The operator secret.
    pub operator_secret: Secret,
    /// Address of a statsd server; the operator API serves the metrics in any case.
    pub statsd: Option<SocketAddr>,
}

/// Returns how many voters a group needs to preserve acknowledged entries and still elect a leader
/// after the loss of `losses` disks, capped at [`REPLICAS_MAX`].
///
/// A majority holds each acknowledged entry. With `2 * losses + 1` voters, a majority has one member
/// more than are lost, and the remaining voters are still a majority.
pub fn voters_for(losses: usize) -> usize {
    (2 * losses + 1).min(REPLICAS_MAX)
}

/// Default of [`Settings::offline`]: traffic goes on while all control processes are away for hours.
pub const OFFLINE_TIME: Duration = Duration::from_secs(12 * 3_600);

/// Returns the longest [`Settings::offline`] with which a change is acknowledged within `ack` after
/// most nodes were lost.
///
/// A quarter of the time is left for the commit, clock drift and a repeated call.
pub fn offline_for(ack: Duration) -> Duration {
    (ack * 3 / 4).max(PROOF_LIFETIME)
}

impl Settings {
    /// Configures discovery: `seeds` are link addresses of some control processes, which may include
    /// this one, and `first` is true at the first start of the whole fleet.
    ///
    /// The seeds bootstrap the group at the first start; all other processes discover it through
    /// them.
    pub fn with_seeds(mut self, seeds: &[SocketAddr], first: bool) -> Settings {
        self.bootstrap = first && seeds.contains(&self.link);
        self.peers = seeds.to_vec();
        self.peers.sort_unstable();
        self.peers.dedup();
        self.peers.retain(|addr| *addr != self.link);
        self
    }

    /// Returns the validation errors; empty if the settings are valid.
    pub fn check(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.link.ip().is_unspecified() || self.operator.ip().is_unspecified() {
            errors.push("the link and operator addresses must not be unspecified".to_owned());
        }
        if self.voters > REPLICAS_MAX || self.bootstrap && self.peers.len() + 1 > REPLICAS_MAX {
            errors.push(format!("a group has at most {REPLICAS_MAX} replicas"));
        }
        if self.peers.contains(&self.link) {
            errors.push(
                "the peers must not include the link address of the process itself".to_owned(),
            );
        }
        if self.offline < PROOF_LIFETIME {
            errors.push(format!(
                "the time offline must be at least {PROOF_LIFETIME:?}"
            ));
        }
        let mut peers = self.peers.clone();
        peers.sort();
        peers.dedup();
        if peers.len() < self.peers.len() {
            errors.push("a peer is listed twice".to_owned());
        }
        errors
    }
}

/// Holds the replica thread's result once it has ended, with the error text if it failed.
type Ended = watch::Receiver<Option<std::result::Result<(), String>>>;

/// A running control process; dropping the handle stops it.
#[derive(Debug)]
pub struct Handle {
    id: ReplicaId,
    link: SocketAddr,
    operator: SocketAddr,
    commands: Sender<Command>,
    view: Arc<View>,
    operator_api: Arc<OperatorApi>,
    ended: Ended,
    tasks: JoinSet<()>,
}

impl Handle {
    /// Returns the replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the link address.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Returns the operator address.
    pub fn operator(&self) -> SocketAddr {
        self.operator
    }

    /// Returns the operator API, for use by another server.
    pub fn operator_api(&self) -> Arc<OperatorApi> {
        self.operator_api.clone()
    }

    /// Returns the state that the replica thread publishes.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Waits until the replica thread ends.
    ///
    /// # Errors
    ///
    /// Fails with the cause if the replica thread failed.
    pub async fn ended(&mut self) -> Result<()> {
        let ended = self.ended.wait_for(Option::is_some).await;
        match ended.as_deref() {
            Ok(Some(Ok(()))) => Ok(()),
            Ok(Some(Err(text))) => Err(Error::corrupt(text.clone())),
            Ok(None) | Err(_) => Err(Error::unavailable("the replica thread panicked")),
        }
    }

    /// Stops the replica thread and the listeners and waits for them, so that the journal's lock and
    /// the addresses are released.
    ///
    /// # Errors
    ///
    /// As [`Handle::ended`].
    pub async fn stop(mut self) -> Result<()> {
        let _ = self.commands.send(Command::Stop);
        let ended = self.ended().await;
        self.tasks.shutdown().await;
        ended
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.commands.send(Command::Stop);
    }
}

/// Starts a control process on its data directory; must be called within a `tokio` runtime.
///
/// # Errors
///
/// Fails if the settings are invalid, an address can't be bound, or the data directory is in use,
/// corrupt or not writable.
pub async fn spawn(settings: Settings) -> Result<Handle> {
    let journal = StoreJournal::open(RealDisk, settings.data_dir.clone())?;
    spawn_with(settings, journal).await
}

/// Starts a control process with a journal; must be called within a `tokio` runtime.
///
/// # Errors
///
/// Fails if the settings are invalid, an address can't be bound or the journal is corrupt.
pub async fn spawn_with<J: Journal>(settings: Settings, mut journal: J) -> Result<Handle> {
    if let Some(first) = settings.check().into_iter().next() {
        return Err(Error::invalid(first));
    }
    let link_listener = bind(settings.link).await?;
    let operator_listener = bind(settings.operator).await?;
    let metrics = Metrics::open(settings.statsd)?;
    let clock = Monotonic::new();
    let mut replica = Replica::restore(clock.now(), journal.load()?)?;
    replica.set_voter_count(settings.voters);
    let (commands, queue) = channel();
    let process = Process::new(settings, &replica, clock, metrics, commands)?;
    let driver = Driver::new(process.dependencies(replica, journal));
    let ended = start_thread(driver, queue)?;
    let (operator_api, tasks) = process.start_tasks(link_listener, operator_listener);
    info!(
        event = "control-started", replica:% = process.own.id,
        link:% = process.own.link, operator:% = process.own.operator;
        "control process started"
    );
    Ok(Handle {
        id: process.own.id,
        link: process.own.link,
        operator: process.own.operator,
        commands: process.commands,
        view: process.view,
        operator_api,
        ended,
        tasks,
    })
}

/// Runs the driver in its own thread; the receiver gets the result when the thread ends.
fn start_thread<J: Journal>(driver: Driver<J>, queue: Receiver<Command>) -> Result<Ended> {
    let (ending, ended) = watch::channel(None);
    std::thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || {
            let result = driver.run(&queue).map_err(|e| e.to_string());
            if let Err(text) = &result {
                error!(event = "replica-failed", error:% = text; "the replica thread failed");
            }
            ending.send_replace(Some(result));
        })
        .map_err(|e| Error::io("start the replica thread", e))?;
    Ok(ended)
}

/// Values shared by the components of one process.
struct Process {
    settings: Settings,
    own: Member,
    hello: Hello,
    view: Arc<View>,
    nodes: Arc<Nodes>,
    clock: Monotonic,
    metrics: Metrics,
    commands: Sender<Command>,
}

impl Process {
    fn new(
        settings: Settings,
        replica: &Replica,
        clock: Monotonic,
        metrics: Metrics,
        commands: Sender<Command>,
    ) -> Result<Process> {
        let id = replica.id();
        let state = self::driver::restore_state(replica)?;
        Ok(Process {
            own: Member {
                id,
                link: settings.link,
                operator: settings.operator,
                voter: false,
                replaces: None,
            },
            hello: Hello {
                role: Role::Control,
                id: id.0,
                protocol: Protocol::Frames,
            },
            view: Arc::new(View::new(replica, state, clock.now())),
            nodes: Arc::new(Nodes::new()),
            settings,
            clock,
            metrics,
            commands,
        })
    }

    /// Returns the dependencies of the replica thread.
    fn dependencies<J>(&self, replica: Replica, journal: J) -> Dependencies<J> {
        let runtime = tokio::runtime::Handle::current();
        let secret = self.settings.fleet_secret.clone();
        Dependencies {
            replica,
            journal,
            view: self.view.clone(),
            transport: Transport::new(
                self.own.clone(),
                self.settings.peers.clone(),
                self.settings.bootstrap,
                secret.clone(),
                self.hello,
                runtime.clone(),
                self.commands.clone(),
            ),
            nodes: self.nodes.clone(),
            prober: Prober {
                secret,
                hello: self.hello,
                nodes: self.nodes.clone(),
                clock: self.clock,
                runtime,
                commands: self.commands.clone(),
                permits: Prober::permits(),
            },
            clock: self.clock,
            metrics: self.metrics.clone(),
            voters: self.settings.voters,
            offline: self.settings.offline,
        }
    }

    /// Starts the tasks that run beside the replica thread.
    fn start_tasks(
        &self,
        links: TcpListener,
        operators: TcpListener,
    ) -> (Arc<OperatorApi>, JoinSet<()>) {
        let secret = &self.settings.fleet_secret;
        let handler = Arc::new(RpcHandler {
            own: self.own.clone(),
            view: self.view.clone(),
            nodes: self.nodes.clone(),
            clock: self.clock,
            commands: self.commands.clone(),
            metrics: self.metrics.clone(),
        });
        let operator = Arc::new(OperatorApi {
            secret: self.settings.operator_secret.clone(),
            view: self.view.clone(),
            nodes: self.nodes.clone(),
            clock: self.clock,
            commands: self.commands.clone(),
            metrics: self.metrics.clone(),
        });
        let mut tasks = JoinSet::new();
        let (own, view) = (self.own.clone(), self.view.clone());
        let (peer_secret, hello) = (secret.clone(), self.hello);
        let new_peer = move |addr| Peer::new(addr, peer_secret.clone(), hello);
        let peers = self.settings.peers.clone();
        let commands = self.commands.clone();
        tasks.spawn(transport::discover_peers(
            peers, new_peer, own, view, commands,
        ));
        tasks.spawn(serve_links(links, secret.clone(), self.hello, handler));
        tasks.spawn(operator.clone().serve(operators));
        (operator, tasks)
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|e| Error::io(format!("bind {addr}"), e))
}

/// Accepts links until this task is dropped, which closes them.
async fn serve_links(
    listener: TcpListener,
    secret: Secret,
    hello: Hello,
    handler: Arc<RpcHandler>,
) {
    let mut links = JoinSet::new();
    loop {
        if links.len() >= LINKS_MAX {
            links.join_next().await;
        }
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    debug!(event = "accept-failed", error:% = e; "accept on the link listener failed");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                }
            },
            Some(_) = links.join_next() => continue,
        };
        let (secret, handler) = (secret.clone(), handler.clone());
        links.spawn(async move {
            let served = match accept(stream, &secret, hello).await {
                Ok(link) => serve_frames(link, handler).await,
                Err(e) => Err(e),
            };
            if let Err(e) = served {
                debug!(event = "link-ended", error:% = e; "incoming link closed");
            }
        });
    }
}
