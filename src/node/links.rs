//! Pool of HTTP/2 links to the egresses of other nodes, a few for each node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Uri, Version};
use hyper::client::conn::http2::{Builder, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::time::{Instant, timeout};

use crate::error::{Error, Result};
use crate::http::Upload;
use crate::ids::NodeId;
use crate::wire::{Hello, Protocol, Role, Secret};

/// Flow-control window of one stream.
pub const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of one link; large enough that a few streams with slow readers don't block
/// the others.
pub const LINK_WINDOW_BYTES: u32 = 64 * 1024 * 1024;

/// Send buffer of one stream.
pub const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum size of the header list of a request or response; above what callers and targets may
/// send.
///
/// HTTP/2 counts 32 bytes more than the text of each header.
pub const HEADER_LIST_BYTES: u32 = 128 * 1024;

/// Time between keep-alive pings on a link; a partition is detected after this and the timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the response to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Age of the last response on a link up to which a request is sent without probing the link.
///
/// The outcome of a request sent to a failed, partitioned or paused node would be unknown. Links
/// with much traffic always have a recent response and need no probes.
const RESPONSE_AGE_MAX: Duration = Duration::from_millis(100);

/// Shortest timeout of a probe; more than a node with a tenth of a core needs.
const PROBE_TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// Timeout of a probe as a multiple of the time that opening the link took, which is at least two
/// round trips.
const PROBE_OPEN_FACTOR: u32 = 4;

/// Time after a failure during which a link is not opened again, so that the requests waiting for
/// it don't each wait as long as the first.
const REOPEN_DELAY: Duration = Duration::from_millis(250);

/// URI of liveness probes.
pub(super) const PROBE_URI: &str = "http://egress/";

/// Sends requests to one egress.
pub type Sender = SendRequest<Upload>;

/// The links of an ingress to other nodes.
#[derive(Debug)]
pub struct Links {
    me: NodeId,
    secret: Secret,
    connect_timeout: Duration,
    links: Mutex<HashMap<NodeId, Arc<NodeLinks>>>,
}

/// Maximum number of links to one node; requests choose one at random, so that a slow link delays
/// few of them.
const LINKS_PER_NODE: usize = 4;

/// Number of requests in flight to a node for each additional link in use.
///
/// In a fleet of hundreds of nodes there are few requests between any two, and one link is enough.
const REQUESTS_PER_LINK: usize = 4;

/// One link to a node.
///
/// `open` is held while the link is being opened or probed, so that concurrent requests do this
/// only once.
#[derive(Debug, Default)]
struct Link {
    state: Mutex<State>,
    open: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    open_link: Option<OpenLink>,
    failed: Option<Instant>,
}

#[derive(Clone, Debug)]
struct OpenLink {
    sender: Sender,
    /// Time of the last response on this link.
    last_response: Instant,
    /// Timeout of a probe.
    probe_timeout: Duration,
}

/// The links to one node.
#[derive(Debug, Default)]
struct NodeLinks {
    links: [Link; LINKS_PER_NODE],
    in_flight: AtomicUsize,
}

/// A sender for one request, which counts as in flight until this is dropped.
#[derive(Debug)]
pub struct LinkGuard {
    /// Sends the request.
    pub sender: Sender,
    node_links: Arc<NodeLinks>,
    index: usize,
}

impl LinkGuard {
    /// Records a response of the egress.
    pub fn mark_alive(&self) {
        self.node_links.links[self.index].mark_alive();
    }
}

impl NodeLinks {
    /// Chooses a random link among the number that the requests in flight require.
    fn choose_link(&self) -> usize {
        let needed = 1 + self.in_flight.load(Ordering::Relaxed) / REQUESTS_PER_LINK;
        rand::random_range(0..needed.min(LINKS_PER_NODE))
    }

    fn checkout(self: &Arc<Self>, index: usize, sender: Sender) -> LinkGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        LinkGuard {
            sender,
            node_links: self.clone(),
            index,
        }
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.node_links.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    fn usable(&self) -> Option<OpenLink> {
        let state = self.lock();
        let open_link = state.open_link.as_ref();
        open_link
            .filter(|open_link| !open_link.sender.is_closed())
            .cloned()
    }

    /// Returns the sender if the egress has responded recently.
    fn alive_sender(&self) -> Option<Sender> {
        let open_link = self.usable()?;
        (open_link.last_response.elapsed() <= RESPONSE_AGE_MAX).then_some(open_link.sender)
    }

    fn mark_alive(&self) {
        if let Some(open_link) = &mut self.lock().open_link {
            open_link.last_response = Instant::now();
        }
    }

    fn keep(&self, sender: Sender, open_time: Duration) {
        let open_link = OpenLink {
            sender,
            last_response: Instant::now(),
            probe_timeout: PROBE_TIMEOUT_MIN.max(open_time * PROBE_OPEN_FACTOR),
        };
        *self.lock() = State {
            open_link: Some(open_link),
            failed: None,
        };
    }

    fn fail(&self) {
        *self.lock() = State {
            open_link: None,
            failed: Some(Instant::now()),
        };
    }

    fn has_just_failed(&self) -> bool {
        let failed = self.lock().failed;
        failed.is_some_and(|at| at.elapsed() < REOPEN_DELAY)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks that the egress at the other end of a link responds.
///
/// # Errors
///
/// Fails if the link has ended.
async fn probe(mut sender: Sender) -> Result<()> {
    let mut request = Request::new(Upload::empty());
    *request.method_mut() = Method::HEAD;
    *request.version_mut() = Version::HTTP_2;
    *request.uri_mut() = Uri::from_static(PROBE_URI);
    let response = sender.send_request(request).await;
    response.map_err(|e| Error::unavailable(format!("link: {e}")))?;
    Ok(())
}

impl Links {
    /// Creates an empty pool; each link is opened on demand within `connect_timeout`.
    pub fn new(me: NodeId, secret: Secret, connect_timeout: Duration) -> Links {
        Links {
            me,
            secret,
            connect_timeout,
            links: Mutex::default(),
        }
    }

    /// Returns a sender to `node`, which listens on `addr`.
    ///
    /// # Errors
    ///
    /// Fails if the link can't be opened or doesn't respond; no request has been sent then.
    pub async fn sender(&self, node: NodeId, addr: SocketAddr) -> Result<LinkGuard> {
        let node_links = self.node_links(node);
        let index = node_links.choose_link();
        let link = &node_links.links[index];
        if let Some(sender) = link.alive_sender() {
            return Ok(node_links.checkout(index, sender));
        }
        let _opening = link.open.lock().await;
        if let Some(sender) = link.alive_sender() {
            return Ok(node_links.checkout(index, sender));
        }
        if link.has_just_failed() {
            return Err(Error::unavailable(format!(
                "link to {addr} has just failed"
            )));
        }
        if let Some(open_link) = link.usable() {
            match timeout(open_link.probe_timeout, probe(open_link.sender.clone())).await {
                Ok(Ok(())) => {
                    link.mark_alive();
                    return Ok(node_links.checkout(index, open_link.sender));
                }
                // The link has closed, as when the node restarts; a new one may succeed.
                Ok(Err(_)) => {}
                Err(_) => {
                    link.fail();
                    return Err(Error::unavailable(format!(
                        "no response to a probe on the link to {addr}"
                    )));
                }
            }
        }
        let started = Instant::now();
        let opened = timeout(self.connect_timeout, self.open(node, addr)).await;
        let timed_out = |_| Error::unavailable(format!("link to {addr} timed out"));
        match opened.map_err(timed_out).flatten() {
            Ok(sender) => {
                link.keep(sender.clone(), started.elapsed());
                Ok(node_links.checkout(index, sender))
            }
            Err(e) => {
                link.fail();
                Err(e)
            }
        }
    }

    /// Closes the links to a removed node.
    pub fn remove_node(&self, node: NodeId) {
        self.lock().remove(&node);
    }

    fn node_links(&self, node: NodeId) -> Arc<NodeLinks> {
        self.lock().entry(node).or_default().clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Arc<NodeLinks>>> {
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
            // A restarted node has a new id and doesn't know the targets of its former process.
            return Err(Error::unavailable(format!("{addr} is not node {node}")));
        }
        let (sender, connection) = Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(LINK_WINDOW_BYTES)
            .max_send_buf_size(SEND_BUFFER_BYTES)
            .max_header_list_size(HEADER_LIST_BYTES)
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
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
