//! Listeners of a node and the connections they accept.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::error::{Error, Result};
use crate::http::GuardedStream;
use crate::ids::NodeId;
use crate::node::admin::Admin;
use crate::node::components::{Freshness, Idempotency, RateLimiter};
use crate::node::dialect::Dialect;
use crate::node::egress::Egress;
use crate::node::in_flight::InFlight;
use crate::node::ingress::Ingress;
use crate::node::links::{
    HEADER_LIST_BYTES, LINK_WINDOW_BYTES, SEND_BUFFER_BYTES, STREAM_WINDOW_BYTES,
};
use crate::node::settings::Limits;
use crate::wire::{Handler, Hello, Protocol, Role, Secret, accept, serve_frames};

/// Backlog of connections waiting to be accepted; a caller retries only after a second when it
/// overflows.
const BACKLOG: u32 = 4_096;

/// Delay after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for a caller to receive the end of a response before the socket is closed.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Maximum number of bytes read from a closing connection.
const LINGER_MAX_BYTES: usize = 256 * 1024;

/// Maximum number of concurrent requests on one link; the queues of the targets limit the work.
const STREAMS_MAX: u32 = 100_000;

/// Time between keep-alive pings on an accepted link.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for the response to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections to the admin listener.
const ADMIN_CONNECTIONS: usize = 256;

/// Maximum number of accepted links.
const LINK_CONNECTIONS: usize = 10_000;

/// Shutdown signal and count of accepted connections.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled to close connections once the requests on them have finished.
    pub closing: CancellationToken,
    /// Cancelled to close connections at once, also those that carry a response.
    pub aborting: CancellationToken,
    /// Counts open connections.
    pub connections: InFlight,
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(name: &str, addr: SocketAddr) -> Result<TcpListener> {
    listen(addr).map_err(|e| Error::io(format!("{name} address {addr}"), e))
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted node binds its address again while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the shutdown and serves each with `serve`.
async fn accept_all<S, U>(listener: TcpListener, limit: usize, shutdown: Shutdown, serve: S)
where
    S: Fn(TcpStream) -> U,
    U: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let next = async {
            let permit = permits.clone().acquire_owned().await;
            (listener.accept().await, permit)
        };
        let (accepted, permit) = tokio::select! {
            () = shutdown.closing.cancelled() => return,
            next = next => next,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A connection without TCP_NODELAY still works, only slower.
        let _ = stream.set_nodelay(true);
        let in_flight = shutdown.connections.enter();
        let served = serve(stream);
        tokio::spawn(async move {
            served.await;
            drop((permit, in_flight));
        });
    }
}

/// Serves callers.
pub async fn serve_callers<F: Freshness, L: RateLimiter, I: Idempotency, D: Dialect>(
    listener: TcpListener,
    ingress: Arc<Ingress<F, L, I, D>>,
    limits: Limits,
    shutdown: Shutdown,
) {
    let limit = limits.connections;
    let stop = shutdown.clone();
    accept_all(listener, limit, shutdown, move |stream| {
        serve_caller(stream, ingress.clone(), limits.clone(), stop.clone())
    })
    .await;
}

async fn serve_caller<F: Freshness, L: RateLimiter, I: Idempotency, D: Dialect>(
    stream: TcpStream,
    ingress: Arc<Ingress<F, L, I, D>>,
    limits: Limits,
    shutdown: Shutdown,
) {
    let service = service_fn(move |request| Box::pin(ingress.clone().serve(request)));
    let guarded = GuardedStream::new(stream, limits.guard_limits());
    // The guard limits the time for a request head, so the server's timer only limits idle time.
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_headers(limits.header_count)
        .serve_connection(TokioIo::new(guarded), service);
    let mut closing = pin!(shutdown.closing.cancelled());
    let mut aborting = pin!(shutdown.aborting.cancelled());
    let mut is_closing = false;
    let ended = poll_fn(|cx| {
        if is_closing && aborting.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        if !is_closing && closing.as_mut().poll(cx).is_ready() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        connection.poll_without_shutdown(cx)
    });
    if let Err(e) = ended.await {
        log::debug!(event = "caller-connection", error:% = e; "connection of a caller ended");
    }
    let guarded = connection.into_parts().io.into_inner();
    linger(guarded.into_inner()).await;
}

/// Closes a connection so that the peer can read everything that was written.
///
/// Closing a socket with unread data resets the connection, and written data could be lost.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let read = async {
        let mut buffer = [0; 4_096];
        let mut total = 0;
        while total < LINGER_MAX_BYTES {
            match stream.read(&mut buffer).await {
                Ok(n) if n > 0 => total += n,
                _ => return,
            }
        }
    };
    // After the timeout the socket is closed although the peer may not have read everything.
    let _ = timeout(LINGER_TIME, read).await;
}

/// Serves the admin interface.
pub async fn serve_admin<F: Freshness>(
    listener: TcpListener,
    admin: Arc<Admin<F>>,
    shutdown: Shutdown,
) {
    let closing = shutdown.closing.clone();
    accept_all(listener, ADMIN_CONNECTIONS, shutdown, move |stream| {
        let admin = admin.clone();
        let service = service_fn(move |request| admin.clone().serve(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let closing = closing.clone();
        async move {
            let mut connection = pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = closing.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(e) = ended {
                log::debug!(event = "admin-connection", error:% = e; "admin connection ended");
            }
        }
    })
    .await;
}

/// The components that serve accepted links.
pub struct LinkService<F, D, H> {
    /// Id of this node.
    pub me: NodeId,
    /// Secret of the fleet.
    pub secret: Secret,
    /// Serves requests of ingresses.
    pub egress: Arc<Egress<F, D>>,
    /// Serves frames.
    pub handler: Arc<H>,
}

/// Serves links of other nodes and control processes.
pub async fn serve_links<F: Freshness, D: Dialect, H: Handler + Send + Sync + 'static>(
    listener: TcpListener,
    service: LinkService<F, D, H>,
    shutdown: Shutdown,
) {
    let service = Arc::new(service);
    let stop = shutdown.clone();
    accept_all(listener, LINK_CONNECTIONS, shutdown, move |stream| {
        let (service, stop) = (service.clone(), stop.clone());
        async move {
            let ended = tokio::select! {
                ended = serve_link(stream, &service, stop.closing) => ended,
                () = stop.aborting.cancelled() => return,
            };
            if let Err(e) = ended {
                log::info!(event = "link-ended", error:% = e; "accepted link ended");
            }
        }
    })
    .await;
}

async fn serve_link<F: Freshness, D: Dialect, H: Handler + Send + Sync + 'static>(
    stream: TcpStream,
    service: &LinkService<F, D, H>,
    closing: CancellationToken,
) -> Result<()> {
    let hello = Hello {
        role: Role::Node,
        id: service.me.0,
        protocol: Protocol::Frames,
    };
    let link = accept(stream, &service.secret, hello).await?;
    match link.peer.protocol {
        Protocol::Http2 => serve_requests(link.stream, service.egress.clone(), closing).await,
        Protocol::Frames => tokio::select! {
            ended = serve_frames(link, service.handler.clone()) => ended,
            () = closing.cancelled() => Ok(()),
        },
    }
}

async fn serve_requests<F: Freshness, D: Dialect>(
    stream: TcpStream,
    egress: Arc<Egress<F, D>>,
    closing: CancellationToken,
) -> Result<()> {
    let service = service_fn(move |request| egress.clone().serve(request));
    // Cancelled requests are common between nodes, and the peer is authenticated, so the limits
    // against rapid resets of streams are not needed.
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(LINK_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .max_header_list_size(HEADER_LIST_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .max_pending_accept_reset_streams(STREAMS_MAX as usize)
        .max_local_error_reset_streams(None)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    ended.map_err(|e| Error::unavailable(format!("HTTP/2 link: {e}")))
}
