//! Pool of HTTP/1.1 connections to a target.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

use crate::http::body::TimeoutBody;
use crate::outcome::{Outcome, Reason, Refusal};

/// Longest idle time after which a connection is reused.
///
/// Targets close idle connections after a few seconds. The outcome of a request that races with
/// such a close may be unknown, and a new connection costs only about 1 ms.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// Time for a connection to become ready again after its response was read completely.
const READY_TIME: Duration = Duration::from_millis(2);

/// Maximum number of headers of a target's response.
const RESPONSE_HEADERS_MAX: usize = 256;

/// Read buffer for a target's response, which also limits the size of its headers.
const RESPONSE_BUFFER_BYTES: usize = 64 * 1024;

/// Sends one request at a time to a target.
pub type Sender = SendRequest<TimeoutBody>;

/// The connections to a target.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    connect_timeout: Duration,
    idle: Mutex<Vec<Idle>>,
    permits: Arc<Semaphore>,
    limit: AtomicU32,
    /// Number of open connections above a lowered limit, whose permits are not returned.
    excess: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < IDLE_MAX && !self.sender.is_closed()
    }
}

/// A response and the connection on which it arrives.
pub struct TargetResponse {
    /// Head and body of the response.
    pub response: Response<Incoming>,
    /// The connection, to be returned to the pool once the response has been read completely.
    pub sender: Sender,
    /// True if the connection carried an earlier response.
    pub is_reused: bool,
}

impl Pool {
    /// Creates a pool of at most `connections` connections to `addr`.
    pub fn new(addr: SocketAddr, connections: u32, connect_timeout: Duration) -> Pool {
        Pool {
            addr,
            connect_timeout,
            idle: Mutex::default(),
            permits: Arc::new(Semaphore::new(connections as usize)),
            limit: AtomicU32::new(connections),
            excess: Arc::default(),
        }
    }

    /// Changes the maximum number of connections; excess ones are not replaced when they close.
    pub fn set_limit(&self, connections: u32) {
        let before = self.limit.swap(connections, Ordering::SeqCst);
        if connections > before {
            self.permits.add_permits((connections - before) as usize);
        } else {
            let excess = (before - connections) as usize;
            let removed = self.permits.forget_permits(excess);
            self.excess.fetch_add(excess - removed, Ordering::SeqCst);
        }
    }

    /// Sends a request on an idle connection or a new one.
    ///
    /// If an idle connection fails before it has sent any of the request, another one is used.
    ///
    /// # Errors
    ///
    /// Returns [`Outcome::NotRun`] only if no byte of the request was sent.
    pub async fn send(&self, mut request: Request<TimeoutBody>) -> Result<TargetResponse, Outcome> {
        while let Some(mut sender) = self.take().await {
            match sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(TargetResponse {
                        response,
                        sender,
                        is_reused: true,
                    });
                }
                Err(mut e) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(unknown(e.error())),
                },
            }
        }
        let mut sender = self.connect().await.map_err(not_run)?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(TargetResponse {
                response,
                sender,
                is_reused: false,
            }),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => not_run(Reason::Connect),
                None => unknown(e.error()),
            }),
        }
    }

    /// Returns a connection whose last response was read completely to the pool.
    pub fn put(&self, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let since = Instant::now();
        self.lock().push(Idle { sender, since });
    }

    /// Closes connections that have been idle for too long.
    pub fn trim(&self) {
        self.lock().retain(Idle::is_usable);
    }

    /// Takes the most recently used connection, so that the others can time out.
    async fn take(&self) -> Option<Sender> {
        loop {
            let mut idle = self.pop()?;
            if idle.sender.is_ready() {
                return Some(idle.sender);
            }
            if let Ok(Ok(())) = timeout(READY_TIME, idle.sender.ready()).await {
                return Some(idle.sender);
            }
        }
    }

    fn pop(&self) -> Option<Idle> {
        let mut all = self.lock();
        while let Some(idle) = all.pop() {
            if idle.is_usable() {
                return Some(idle);
            }
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<Sender, Reason> {
        timeout(self.connect_timeout, self.open())
            .await
            .unwrap_or(Err(Reason::Connect))
    }

    async fn open(&self) -> Result<Sender, Reason> {
        let permit = self.permits.clone().acquire_owned().await;
        let permit = permit.map_err(|_| Reason::Connect)?;
        let stream = TcpStream::connect(self.addr).await;
        let stream = stream.map_err(|_| Reason::Connect)?;
        stream.set_nodelay(true).map_err(|_| Reason::Connect)?;
        let (sender, connection) = Builder::new()
            .max_headers(RESPONSE_HEADERS_MAX)
            .max_buf_size(RESPONSE_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Reason::Connect)?;
        tokio::spawn(drive(connection, permit, self.excess.clone()));
        Ok(sender)
    }
}

/// Drives a connection; its permit is released only when the socket is closed.
async fn drive(
    connection: hyper::client::conn::http1::Connection<TokioIo<TcpStream>, TimeoutBody>,
    permit: OwnedSemaphorePermit,
    excess: Arc<AtomicUsize>,
) {
    if let Err(e) = connection.await {
        log::debug!(event = "target-connection", error:% = e; "connection to target ended");
    }
    let less = |n: usize| n.checked_sub(1);
    let order = Ordering::SeqCst;
    if excess.fetch_update(order, order, less).is_ok() {
        permit.forget();
    }
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::NotRun(Refusal::new(reason))
}

fn unknown(error: &hyper::Error) -> Outcome {
    Outcome::Unknown(if error.is_user() {
        // The caller's body failed during sending.
        Reason::BadRequest
    } else if error.is_parse() {
        Reason::TargetError
    } else {
        Reason::LostLink
    })
}
