//! A VM's link with a limited bandwidth and a delay, as TCP relays that share one budget.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

/// Size of one read of a relay.
const READ_BYTES: usize = 4 * 1024;

/// The incoming direction of a VM's link.
#[derive(Debug)]
pub struct SlowLink {
    bytes_per_sec: f64,
    delay: Duration,
    /// When the bytes that were taken so far have passed the link.
    busy_until: Mutex<Instant>,
    received: AtomicU64,
}

impl SlowLink {
    /// Creates a link; `delay` is that of one direction.
    pub fn new(bytes_per_sec: u64, delay: Duration) -> Arc<SlowLink> {
        Arc::new(SlowLink {
            bytes_per_sec: bytes_per_sec as f64,
            delay,
            busy_until: Mutex::new(Instant::now()),
            received: AtomicU64::new(0),
        })
    }

    /// Returns the number of bytes that have passed the link towards the VM.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Relays connections to `server` over this link and returns the address to connect to.
    pub async fn relay(self: &Arc<Self>, server: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(link.clone().serve(client, server));
            }
        });
        addr
    }

    async fn serve(self: Arc<Self>, client: TcpStream, server: SocketAddr) {
        tokio::time::sleep(2 * self.delay).await;
        let Ok(server) = TcpStream::connect(server).await else {
            return;
        };
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        // Either end closes the connection in both directions.
        tokio::select! {
            () = self.copy(client_reader, server_writer, false) => {}
            () = self.copy(server_reader, client_writer, true) => {}
        }
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, incoming: bool) {
        let mut buffer = vec![0; READ_BYTES];
        while let Ok(n @ 1..) = from.read(&mut buffer).await {
            let passed = match incoming {
                true => self.pass(n).await,
                false => Instant::now(),
            };
            sleep_until(passed + self.delay).await;
            if to.write_all(&buffer[..n]).await.is_err() {
                return;
            }
        }
    }

    /// Takes the time that `n` bytes need, and returns when they have passed.
    async fn pass(&self, n: usize) -> Instant {
        let mut busy_until = self.busy_until.lock().await;
        let time = Duration::from_secs_f64(n as f64 / self.bytes_per_sec);
        *busy_until = Instant::now().max(*busy_until) + time;
        self.received.fetch_add(n as u64, Ordering::Relaxed);
        *busy_until
    }
}
