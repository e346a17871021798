//! A minimal HTTP/1.1 proxy with hyper, as the baseline for the overhead of a proxy.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Forwards requests to one address without checks or limits.
struct Passthrough {
    upstream: SocketAddr,
    idle: Mutex<Vec<client::SendRequest<Incoming>>>,
}

/// Starts a proxy to `upstream` and returns its listen address.
pub async fn spawn(upstream: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let addr = listener.local_addr()?;
    let proxy = Arc::new(Passthrough {
        upstream,
        idle: Mutex::default(),
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let proxy = proxy.clone();
            let service = service_fn(move |request| proxy.clone().forward(request));
            tokio::spawn(async move {
                stream.set_nodelay(true)?;
                let connection =
                    server::Builder::new().serve_connection(TokioIo::new(stream), service);
                connection.await.map_err(std::io::Error::other)
            });
        }
    });
    Ok(addr)
}

impl Passthrough {
    async fn forward(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Incoming>, std::io::Error> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let sent = sender.send_request(request).await;
        let response = sent.map_err(std::io::Error::other)?;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(sender);
        Ok(response)
    }

    fn take_idle(&self) -> Option<client::SendRequest<Incoming>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let i = idle.iter().rposition(|sender| sender.is_ready())?;
        Some(idle.swap_remove(i))
    }

    async fn connect(&self) -> Result<client::SendRequest<Incoming>, std::io::Error> {
        let stream = TcpStream::connect(self.upstream).await?;
        stream.set_nodelay(true)?;
        let opened = client::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = opened.map_err(std::io::Error::other)?;
        tokio::spawn(connection);
        Ok(sender)
    }
}
