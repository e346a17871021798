//! HTTP/2 links to the egress of other nodes, a few for each node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::time::timeout;

use crate::error::{Error, Result};
use crate::http::Upload;
use crate::ids::NodeId;
use crate::wire::{Hello, Protocol, Role, Secret};

/// Bytes that one stream may have in flight without being read.
pub const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes that one link may have in flight without being read; large enough that a few streams
/// with slow readers don't stop the others.
pub const LINK_WINDOW_BYTES: u32 = 64 * 1024 * 1024;

/// Bytes that one stream buffers before it waits for the link.
pub const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Most bytes of the headers of a request or an answer as HTTP/2 counts them, which adds 32 bytes
/// to each; above what callers and targets may send.
pub const HEADER_LIST_BYTES: u32 = 128 * 1024;

/// Time between probes on a link; a silent cut is found after this and the timeout.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to one egress.
pub type Sender = SendRequest<Upload>;

/// The links of an ingress.
#[derive(Debug)]
pub struct Links {
    me: NodeId,
    secret: Secret,
    patience: Duration,
    links: Mutex<HashMap<NodeId, Arc<Bundle>>>,
}

/// Most links to one node; requests take one at random, so that a slow link delays few of them.
const LINKS_PER_NODE: usize = 4;

/// Requests in flight for which one more link is used.
///
/// A fleet of hundreds of nodes has few requests between two of them and needs one link only.
const FLIGHT_PER_LINK: usize = 4;

/// One link to a node; `open` is held while it is being opened, so that one is opened only.
#[derive(Debug, Default)]
struct Entry {
    sender: Mutex<Option<Sender>>,
    open: tokio::sync::Mutex<()>,
}

/// The links to one node.
#[derive(Debug, Default)]
struct Bundle {
    links: [Entry; LINKS_PER_NODE],
    flight: AtomicUsize,
}

/// A sender for one request; the request counts as in flight until this is dropped.
#[derive(Debug)]
pub struct Loan {
    /// Sends the request.
    pub sender: Sender,
    bundle: Arc<Bundle>,
}

impl Bundle {
    /// Returns one of the links that the requests in flight call for.
    fn draw(&self) -> &Entry {
        let needed = 1 + self.flight.load(Ordering::Relaxed) / FLIGHT_PER_LINK;
        &self.links[rand::random_range(0..needed.min(LINKS_PER_NODE))]
    }

    fn lend(self: &Arc<Self>, sender: Sender) -> Loan {
        self.flight.fetch_add(1, Ordering::Relaxed);
        Loan {
            sender,
            bundle: self.clone(),
        }
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        self.bundle.flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Entry {
    fn usable(&self) -> Option<Sender> {
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        sender.as_ref().filter(|s| !s.is_closed()).cloned()
    }

    fn keep(&self, sender: Sender) {
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
    }
}

impl Links {
    /// Creates links that open when needed, within `patience` each.
    pub fn new(me: NodeId, secret: Secret, patience: Duration) -> Links {
        Links {
            me,
            secret,
            patience,
            links: Mutex::default(),
        }
    }

    /// Returns a sender to `node`, which listens on `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the link can't be opened; nothing has been sent then.
    pub async fn sender(&self, node: NodeId, addr: SocketAddr) -> Result<Loan> {
        let bundle = self.bundle(node);
        let entry = bundle.draw();
        if let Some(sender) = entry.usable() {
            return Ok(bundle.lend(sender));
        }
        let _opening = entry.open.lock().await;
        if let Some(sender) = entry.usable() {
            return Ok(bundle.lend(sender));
        }
        let sender = timeout(self.patience, self.open(node, addr))
            .await
            .map_err(|_| Error::unavailable(format!("link to {addr} timed out")))??;
        entry.keep(sender.clone());
        Ok(bundle.lend(sender))
    }

    /// Closes the link to a node that is gone.
    pub fn forget(&self, node: NodeId) {
        self.lock().remove(&node);
    }

    fn bundle(&self, node: NodeId) -> Arc<Bundle> {
        self.lock().entry(node).or_default().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<NodeId, Arc<Bundle>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn open(&self, node: NodeId, addr: SocketAddr) -> Result<Sender> {
        let hello = Hello {
            role: Role::Node,
            id: self.me.0,
            protocol: Protocol::Http2,
        };
        let link = crate::wire::connect(addr, &self.secret, hello).await?;
        if link.peer.id != node.0 {
            // A restarted node has a new identity and knows nothing of its predecessor's targets.
            return Err(Error::unavailable(format!("{addr} is not node {node}")));
        }
        let (sender, connection) = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(LINK_WINDOW_BYTES)
            .max_send_buf_size(SEND_BUFFER_BYTES)
            .max_header_list_size(HEADER_LIST_BYTES)
            .keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(PROBE_TIMEOUT)
            .handshake(TokioIo::new(link.stream))
            .await
            .map_err(|e| Error::unavailable(format!("HTTP/2 link to {addr}: {e}")))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::info!(event = "link-lost", node:% = node, error:% = e; "link lost");
            }
        });
        Ok(sender)
    }
}
