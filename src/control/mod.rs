//! The control daemon: replica driver, operator's interface and distribution to nodes.
//!
//! One thread ([`core`]) owns the replica and its journal and carries out the replica's actions in
//! their order. It publishes a [`view`] from which nodes ([`distribute`]) and operators
//! ([`operator`]) are answered, so that readers never wait for the disk.

pub mod api;
pub mod core;
pub mod distribute;
pub mod group;
pub mod journal;
pub mod nodes;
pub mod operator;
pub mod state;
pub mod view;
pub mod visit;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};

use log::{debug, error, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use self::core::{Command, Core, Parts};
use self::distribute::Distributor;
use self::group::Group;
use self::journal::{Journal, StoreJournal};
use self::nodes::Nodes;
use self::operator::Operator;
use self::view::View;
use self::visit::Visitor;
use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::metrics::Metrics;
use crate::replica::{Member, REPLICAS_MAX, Replica};
use crate::storage::RealDisk;
use crate::time::{Clock, Monotonic};
use crate::wire::{Hello, Peer, Protocol, Role, Secret, accept, serve_frames};

/// What a control process needs to start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for links; the other processes reach it there too.
    pub link: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Link addresses of all other initial replicas.
    pub peers: Vec<SocketAddr>,
    /// The data folder.
    pub data: PathBuf,
    /// The fleet secret.
    pub fleet_secret: Secret,
    /// The operator secret.
    pub operator_secret: Secret,
    /// Where metrics go besides the operator's interface.
    pub statsd: Option<SocketAddr>,
}

impl Settings {
    /// Returns what is wrong with the settings; empty if nothing is.
    pub fn check(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.link.ip().is_unspecified() || self.operator.ip().is_unspecified() {
            errors.push("the addresses must be ones that others can reach".to_owned());
        }
        if self.peers.len() + 1 > REPLICAS_MAX {
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

/// A running control process; dropping it stops everything.
#[derive(Debug)]
pub struct Handle {
    id: ReplicaId,
    link: SocketAddr,
    operator: SocketAddr,
    commands: Sender<Command>,
    view: Arc<View>,
    /// True once the replica's thread has ended; holds why, if it failed.
    ended: watch::Receiver<Option<std::result::Result<(), String>>>,
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
    let now = clock.now();
    let replica = Replica::restore(now, journal.load()?)?;
    let id = replica.id();
    let own = Member {
        id,
        link: settings.link,
        operator: settings.operator,
        voter: false,
        replaces: None,
    };
    let hello = Hello {
        role: Role::Control,
        id: id.0,
        protocol: Protocol::Frames,
    };
    let state = self::core::restore_state(&replica)?;
    let view = Arc::new(View::new(&replica, state, now));
    let nodes = Arc::new(Nodes::new());
    let (commands, queue) = channel();
    let secret = settings.fleet_secret.clone();
    let group = Group::new(
        own.clone(),
        settings.peers.clone(),
        secret.clone(),
        hello,
        tokio::runtime::Handle::current(),
        commands.clone(),
    );
    let visitor = Visitor {
        secret: secret.clone(),
        hello,
        nodes: nodes.clone(),
        clock,
        runtime: tokio::runtime::Handle::current(),
        commands: commands.clone(),
        permits: Visitor::permits(),
    };
    let core = Core::new(Parts {
        replica,
        journal,
        view: view.clone(),
        group,
        nodes: nodes.clone(),
        visitor,
        clock,
        metrics: metrics.clone(),
    });
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
    let distributor = Arc::new(Distributor {
        own: own.clone(),
        view: view.clone(),
        nodes: nodes.clone(),
        clock,
        commands: commands.clone(),
    });
    let operator = Arc::new(Operator {
        secret: settings.operator_secret.clone(),
        view: view.clone(),
        nodes,
        clock,
        commands: commands.clone(),
        metrics,
    });
    let mut tasks = JoinSet::new();
    for addr in &settings.peers {
        let peer = Peer::new(*addr, secret.clone(), hello);
        tasks.spawn(group::greet(
            peer,
            own.clone(),
            view.clone(),
            commands.clone(),
        ));
    }
    tasks.spawn(serve_links(link_listener, secret, hello, distributor));
    tasks.spawn(operator.serve(operator_listener));
    info!(event = "control-started", replica:% = id, link:% = settings.link, operator:% = settings.operator; "control process started");
    Ok(Handle {
        id,
        link: settings.link,
        operator: settings.operator,
        commands,
        view,
        ended,
        _tasks: tasks,
    })
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
