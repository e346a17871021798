//! The control daemon: replica driver, operator's interface and distribution to nodes.
//!
//! One thread ([`driver`]) owns the replica and its journal and carries out the replica's actions in
//! their order. It publishes a [`view`] from which nodes ([`rpc`]) and operators
//! ([`operator`]) are answered, so that readers never wait for the disk.

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

use log::{debug, error, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::driver::{Command, Driver, Parts};
use self::journal::{Journal, StoreJournal};
use self::nodes::Nodes;
use self::operator::OperatorApi;
use self::probe::Visitor;
use self::rpc::Distributor;
use self::transport::Group;
use self::view::View;
use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::metrics::Metrics;
use crate::replica::{Member, REPLICAS_MAX, Replica};
use crate::storage::RealDisk;
use crate::time::{Clock, Monotonic};
use crate::wire::{Hello, Peer, Protocol, Role, Secret, accept, serve_frames};

/// Most links at the same time; 560 nodes hold two each, besides visits and replicas.
const LINKS_MAX: usize = 4_096;

/// What a control process needs to start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for links; the other processes reach it there too.
    pub link: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Link addresses of all other initial replicas, or of some at which the group may be found.
    pub peers: Vec<SocketAddr>,
    /// True if this process bootstrap the group with all of its peers at their first start.
    pub bootstrap: bool,
    /// How many voters the group is to have; zero if it never grows. No note is taken before the
    /// group has grown.
    pub voters: usize,
    /// The data folder.
    pub data: PathBuf,
    /// The fleet secret.
    pub fleet_secret: Secret,
    /// The operator secret.
    pub operator_secret: Secret,
    /// Where metrics go besides the operator's interface.
    pub statsd: Option<SocketAddr>,
}

/// Returns how many voters keep and elect what was acknowledged after the loss of `losses` disks,
/// bounded by the largest group.
///
/// A majority holds an acknowledged entry. Of `2 * losses + 1` voters it has one more member than
/// are lost, and the others are still a majority.
pub fn voters_for(losses: usize) -> usize {
    (2 * losses + 1).min(REPLICAS_MAX)
}

impl Settings {
    /// Sets how the group is found: `seeds` are link addresses of some control processes, perhaps
    /// with the own one among them, and `first` is true at the first start of the whole fleet.
    ///
    /// The seeds found the group at the first start; everybody else looks for it there.
    pub fn with_seeds(mut self, seeds: &[SocketAddr], first: bool) -> Settings {
        self.bootstrap = first && seeds.contains(&self.link);
        self.peers = seeds.to_vec();
        self.peers.sort_unstable();
        self.peers.dedup();
        self.peers.retain(|addr| *addr != self.link);
        self
    }

    /// Returns what is wrong with the settings; empty if nothing is.
    pub fn check(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.link.ip().is_unspecified() || self.operator.ip().is_unspecified() {
            errors.push("the addresses must be ones that others can reach".to_owned());
        }
        if self.voters > REPLICAS_MAX || self.bootstrap && self.peers.len() + 1 > REPLICAS_MAX {
            errors.push(format!("a group has at most {REPLICAS_MAX} replicas"));
        }
        if self.peers.contains(&self.link) {
            errors.push("the peers must not contain the own link address".to_owned());
        }
        let mut peers = self.peers.clone();
        peers.sort();
        peers.dedup();
        if peers.len() < self.peers.len() {
            errors.push("a peer is named twice".to_owned());
        }
        errors
    }
}

/// Holds a value once the replica's thread has ended: why, if it failed.
type Ended = watch::Receiver<Option<std::result::Result<(), String>>>;

/// A running control process; dropping it stops everything.
#[derive(Debug)]
pub struct Handle {
    id: ReplicaId,
    link: SocketAddr,
    operator: SocketAddr,
    commands: Sender<Command>,
    view: Arc<View>,
    operator_api: Arc<OperatorApi>,
    ended: Ended,
    _tasks: JoinSet<()>,
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

    /// Returns the answers to operators, for another interface to them.
    pub fn operator_api(&self) -> Arc<OperatorApi> {
        self.operator_api.clone()
    }

    /// Returns what the replica publishes.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Waits until the replica's thread ends.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the replica can't go on.
    pub async fn ended(&mut self) -> Result<()> {
        let ended = self.ended.wait_for(Option::is_some).await;
        match ended.as_deref() {
            Ok(Some(Ok(()))) => Ok(()),
            Ok(Some(Err(text))) => Err(Error::corrupt(text.clone())),
            Ok(None) | Err(_) => Err(Error::unavailable("the replica's thread broke down")),
        }
    }

    /// Stops the replica's thread and waits for it, so that the journal is free afterwards.
    ///
    /// # Errors
    ///
    /// As [`Handle::ended`].
    pub async fn stop(mut self) -> Result<()> {
        let _ = self.commands.send(Command::Stop);
        self.ended().await
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.commands.send(Command::Stop);
    }
}

/// Starts a control process on its data folder; must be called within a `tokio` runtime.
///
/// # Errors
///
/// Fails if the settings are wrong, an address can't be bound, or the data folder is in use,
/// damaged or not writable.
pub async fn spawn(settings: Settings) -> Result<Handle> {
    let journal = StoreJournal::open(RealDisk, settings.data.clone())?;
    spawn_with(settings, journal).await
}

/// Starts a control process with a journal; must be called within a `tokio` runtime.
///
/// # Errors
///
/// Fails if the settings are wrong, an address can't be bound or the journal is damaged.
pub async fn spawn_with<J: Journal>(settings: Settings, mut journal: J) -> Result<Handle> {
    if let Some(first) = settings.check().into_iter().next() {
        return Err(Error::invalid(first));
    }
    let link_listener = bind(settings.link).await?;
    let operator_listener = bind(settings.operator).await?;
    let metrics = Metrics::open(settings.statsd)?;
    let clock = Monotonic::new();
    let mut replica = Replica::restore(clock.now(), journal.load()?)?;
    replica.set_voters_wanted(settings.voters);
    let (commands, queue) = channel();
    let process = Process::new(settings, &replica, clock, metrics, commands)?;
    let core = Driver::new(process.parts(replica, journal));
    let ended = start_thread(core, queue)?;
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
        _tasks: tasks,
    })
}

/// Runs the replica in a thread of its own; the receiver tells when and why it ends.
fn start_thread<J: Journal>(core: Driver<J>, queue: Receiver<Command>) -> Result<Ended> {
    let (ending, ended) = watch::channel(None);
    std::thread::Builder::new()
        .name("replica".to_owned())
        .spawn(move || {
            let result = core.run(&queue).map_err(|e| e.to_string());
            if let Err(text) = &result {
                error!(event = "replica-failed", error:% = text; "the replica can't go on");
            }
            ending.send_replace(Some(result));
        })
        .map_err(|e| Error::io("start the replica's thread", e))?;
    Ok(ended)
}

/// What the parts of one process share.
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

    /// Returns what the replica's thread works with.
    fn parts<J>(&self, replica: Replica, journal: J) -> Parts<J> {
        let runtime = tokio::runtime::Handle::current();
        let secret = self.settings.fleet_secret.clone();
        Parts {
            replica,
            journal,
            view: self.view.clone(),
            group: Group::new(
                self.own.clone(),
                self.settings.peers.clone(),
                self.settings.bootstrap,
                secret.clone(),
                self.hello,
                runtime.clone(),
                self.commands.clone(),
            ),
            nodes: self.nodes.clone(),
            visitor: Visitor {
                secret,
                hello: self.hello,
                nodes: self.nodes.clone(),
                clock: self.clock,
                runtime,
                commands: self.commands.clone(),
                permits: Visitor::permits(),
            },
            clock: self.clock,
            metrics: self.metrics.clone(),
            voters: self.settings.voters,
        }
    }

    /// Starts everything that runs beside the replica's thread.
    fn start_tasks(
        &self,
        links: TcpListener,
        operators: TcpListener,
    ) -> (Arc<OperatorApi>, JoinSet<()>) {
        let secret = &self.settings.fleet_secret;
        let distributor = Arc::new(Distributor {
            own: self.own.clone(),
            view: self.view.clone(),
            nodes: self.nodes.clone(),
            clock: self.clock,
            commands: self.commands.clone(),
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
        let (greeter, hello) = (secret.clone(), self.hello);
        let new_peer = move |addr| Peer::new(addr, greeter.clone(), hello);
        let peers = self.settings.peers.clone();
        let commands = self.commands.clone();
        tasks.spawn(transport::greet(peers, new_peer, own, view, commands));
        tasks.spawn(serve_links(links, secret.clone(), self.hello, distributor));
        tasks.spawn(operator.clone().serve(operators));
        (operator, tasks)
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|e| Error::io(format!("bind {addr}"), e))
}

/// Accepts links for ever; they end with this task.
async fn serve_links(
    listener: TcpListener,
    secret: Secret,
    hello: Hello,
    handler: Arc<Distributor>,
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
                    debug!(event = "accept-failed", error:% = e; "link listener");
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
                debug!(event = "link-ended", error:% = e; "link of another process");
            }
        });
    }
}
