//! Remote procedure calls over framed links.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::error::{Error, Result};
use crate::wire::frame::{Channel, Frame, FrameCodec};
use crate::wire::link::{Hello, Link, Secret, connect};
use crate::wire::traffic;

/// Capacity of the send queue in frames; callers wait while it is full.
const SEND_QUEUE_FRAMES: usize = 256;

/// Maximum number of concurrent calls on one link.
const CONCURRENT_CALLS: usize = 256;

/// Time after a failed connection attempt during which calls fail without another attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Consecutive call timeouts after which the link is considered dead and is reopened.
const TIMEOUTS_TO_RECONNECT: u64 = 3;

/// Handles the calls on a link.
pub trait Handler: Send + Sync + 'static {
    /// Handles one call from `peer` and returns the payload of the response.
    ///
    /// # Errors
    ///
    /// The text of the error is sent to the caller.
    fn handle(
        &self,
        peer: Hello,
        channel: Channel,
        payload: Bytes,
    ) -> impl Future<Output = Result<Bytes>> + Send;
}

/// Serves calls on a link until the other side closes it.
///
/// # Errors
///
/// Fails if the link breaks or carries a malformed frame.
pub async fn serve_frames<H: Handler>(link: Link, handler: Arc<H>) -> Result<()> {
    let peer = link.peer;
    let (mut sink, mut stream) = Framed::new(link.stream, FrameCodec::new()).split();
    let (responses, mut queue) = mpsc::channel::<Frame>(SEND_QUEUE_FRAMES);
    let writer = async move {
        while let Some(frame) = queue.recv().await {
            traffic::count_sent(frame.channel, frame.payload.len());
            sink.send(frame).await?;
        }
        Ok::<(), Error>(())
    };
    let permits = Arc::new(Semaphore::new(CONCURRENT_CALLS));
    let reader = async move {
        while let Some(frame) = stream.next().await {
            let frame = frame?;
            traffic::count_received(frame.channel, frame.payload.len());
            let permit = permits
                .clone()
                .acquire_owned()
                .await
                .expect("the semaphore is never closed");
            let (handler, responses) = (handler.clone(), responses.clone());
            tokio::spawn(async move {
                let response = respond(&*handler, peer, frame).await;
                // The link may have closed in the meantime; the caller then sees a lost link.
                let _ = responses.send(response).await;
                drop(permit);
            });
        }
        Ok::<(), Error>(())
    };
    tokio::select! {
        result = reader => result,
        result = writer => result,
    }
}

async fn respond<H: Handler>(handler: &H, peer: Hello, frame: Frame) -> Frame {
    let result = match Channel::try_from(frame.channel) {
        Ok(channel) => handler.handle(peer, channel, frame.payload).await,
        Err(_) => Err(Error::invalid("unknown channel")),
    };
    let (payload, error) = match result {
        Ok(payload) => (payload, String::new()),
        Err(e) => (Bytes::new(), e.to_string()),
    };
    Frame {
        call: frame.call,
        channel: frame.channel,
        reply: true,
        payload,
        error,
    }
}

/// A client for calls to one address; connects on demand and reconnects after a loss.
#[derive(Clone, Debug)]
pub struct Peer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    secret: Secret,
    hello: Hello,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: Option<Arc<Connection>>,
    /// The result of the connection attempt that runs.
    opening: Option<watch::Receiver<Option<OpenResult>>>,
    failed: Option<Instant>,
}

/// The result of a connection attempt, shared by the calls that wait for it.
type OpenResult = std::result::Result<Arc<Connection>, Arc<Error>>;

/// Pending responses on one connection, sorted by call number.
type Pending = Vec<(u64, oneshot::Sender<Frame>)>;

#[derive(Debug)]
struct Connection {
    frames: mpsc::Sender<Frame>,
    pending: Mutex<Pending>,
    next_call: AtomicU64,
    timeouts: AtomicU64,
    closed: AtomicBool,
    peer: Hello,
}

impl Peer {
    /// Creates a client; nothing is sent before the first call.
    pub fn new(addr: SocketAddr, secret: Secret, hello: Hello) -> Peer {
        Peer {
            shared: Arc::new(Shared {
                addr,
                secret,
                hello,
                state: Mutex::default(),
            }),
        }
    }

    /// Returns the address that calls go to.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Calls the other side and returns the payload of its response.
    ///
    /// # Errors
    ///
    /// Fails if the link can't be opened or is lost, the other side returns an error, or no response
    /// arrives within `limit`. A failed call may or may not have been handled.
    pub async fn call(&self, channel: Channel, payload: Bytes, limit: Duration) -> Result<Bytes> {
        let (_, payload) = self.call_identified(channel, payload, limit).await?;
        Ok(payload)
    }

    /// Like [`Peer::call`], and also returns the identity of the other side.
    ///
    /// # Errors
    ///
    /// As [`Peer::call`].
    pub async fn call_identified(
        &self,
        channel: Channel,
        payload: Bytes,
        limit: Duration,
    ) -> Result<(Hello, Bytes)> {
        let timed_out =
            || Error::unavailable(format!("no response from {} in time", self.shared.addr));
        let start = Instant::now();
        let connection = timeout(limit, self.connection())
            .await
            .map_err(|_| timed_out())??;
        let rest = limit.saturating_sub(start.elapsed());
        match timeout(rest, connection.call(channel, payload)).await {
            Ok(response) => response.map(|payload| (connection.peer, payload)),
            Err(_) => {
                connection.count_timeout();
                Err(timed_out())
            }
        }
    }

    /// Returns the open connection, or waits until it is open.
    ///
    /// A connection attempt goes on when a call gives up. Otherwise calls with a short limit would
    /// never connect over a slow link.
    async fn connection(&self) -> Result<Arc<Connection>> {
        let mut opening = {
            let mut state = self.shared.lock();
            if let Some(open) = &state.open
                && !open.closed.load(Ordering::Relaxed)
            {
                return Ok(open.clone());
            }
            state.open = None;
            if state.failed.is_some_and(|t| t.elapsed() < RECONNECT_DELAY) {
                return Err(self.shared.no_link());
            }
            let start = || self.shared.clone().start_opening();
            state.opening.get_or_insert_with(start).clone()
        };
        let result = opening.wait_for(Option::is_some).await;
        let result = result.ok().and_then(|result| result.clone());
        let failure = |e: Arc<Error>| Error::new(e.category(), e.to_string());
        result.map_or_else(|| Err(self.shared.no_link()), |r| r.map_err(failure))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn no_link(&self) -> Error {
        Error::unavailable(format!("no link to {}", self.addr))
    }

    /// Starts a connection attempt; the receiver gets its result.
    fn start_opening(self: Arc<Self>) -> watch::Receiver<Option<OpenResult>> {
        let (sender, receiver) = watch::channel(None);
        tokio::spawn(async move {
            let link = connect(self.addr, &self.secret, self.hello).await;
            let result = link.map(Connection::spawn).map_err(Arc::new);
            let mut state = self.lock();
            state.opening = None;
            state.open = result.as_ref().ok().cloned();
            state.failed = result.is_err().then(Instant::now);
            drop(state);
            sender.send_replace(Some(result));
        });
        receiver
    }
}

impl Connection {
    fn spawn(link: Link) -> Arc<Connection> {
        let (frames, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
        let connection = Arc::new(Connection {
            frames,
            pending: Mutex::default(),
            next_call: AtomicU64::new(0),
            timeouts: AtomicU64::new(0),
            closed: AtomicBool::new(false),
            peer: link.peer,
        });
        tokio::spawn(run_connection(
            link.stream,
            queue,
            Arc::downgrade(&connection),
        ));
        connection
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call(&self, channel: Channel, payload: Bytes) -> Result<Bytes> {
        let lost = || Error::unavailable("the link was lost");
        let (sender, receiver) = oneshot::channel();
        let call = {
            let mut pending = self.pending();
            let call = self.next_call.fetch_add(1, Ordering::Relaxed);
            pending.push((call, sender));
            call
        };
        // The guard removes the entry also if the caller drops this future.
        let _guard = PendingGuard {
            connection: self,
            call,
        };
        let frame = Frame {
            call,
            channel: channel as i32,
            reply: false,
            payload,
            error: String::new(),
        };
        self.frames.send(frame).await.map_err(|_| lost())?;
        let response = receiver.await.map_err(|_| lost())?;
        if response.error.is_empty() {
            Ok(response.payload)
        } else {
            Err(Error::unavailable(response.error))
        }
    }

    fn take(&self, call: u64) -> Option<oneshot::Sender<Frame>> {
        let mut pending = self.pending();
        let index = pending.binary_search_by_key(&call, |p| p.0).ok()?;
        Some(pending.remove(index).1)
    }

    fn deliver(&self, frame: Frame) {
        self.timeouts.store(0, Ordering::Relaxed);
        if let Some(sender) = self.take(frame.call) {
            // The caller may have timed out in the meantime.
            let _ = sender.send(frame);
        }
    }

    fn count_timeout(&self) {
        let count = self.timeouts.fetch_add(1, Ordering::Relaxed) + 1;
        if count >= TIMEOUTS_TO_RECONNECT {
            self.close();
        }
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.pending().clear();
    }
}

struct PendingGuard<'a> {
    connection: &'a Connection,
    call: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.connection.take(self.call);
    }
}

// Holds only a weak reference, so that the socket closes when the last caller drops the connection.
async fn run_connection(
    stream: TcpStream,
    mut queue: mpsc::Receiver<Frame>,
    connection: std::sync::Weak<Connection>,
) {
    let (mut sink, mut stream) = Framed::new(stream, FrameCodec::new()).split();
    let writer = async {
        while let Some(frame) = queue.recv().await {
            traffic::count_sent(frame.channel, frame.payload.len());
            if sink.send(frame).await.is_err() {
                break;
            }
        }
    };
    let reader = async {
        while let Some(Ok(frame)) = stream.next().await {
            traffic::count_received(frame.channel, frame.payload.len());
            match connection.upgrade() {
                Some(connection) => connection.deliver(frame),
                None => break,
            }
        }
    };
    tokio::select! {
        () = writer => {}
        () = reader => {}
    }
    if let Some(connection) = connection.upgrade() {
        connection.close();
    }
}
