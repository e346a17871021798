//! An open-loop load generator: requests start at their scheduled times, regardless of how long
//! earlier ones take.
//!
//! Latency is measured from the scheduled start, so that a stall counts in every request that it
//! delays (no coordinated omission).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Upper bound of the latency histogram in microseconds; longer latencies are recorded as this.
const LATENCY_MAX_US: u64 = 600_000_000;

/// The requests to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses, used in round robin.
    pub addrs: Vec<SocketAddr>,
    /// Keys, used in round robin; requests have no key if this is empty.
    pub keys: Vec<String>,
    /// Request method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Mean requests per second; arrivals are a Poisson process.
    pub rate: f64,
    /// Time during which requests are started.
    pub duration: Duration,
    /// Size of each request body.
    pub body_bytes: usize,
}

/// The results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of requests.
    pub sent: u64,
    /// Requests by status and reason, or by the text of the connection error.
    pub results: BTreeMap<String, u64>,
    /// Median latency of complete responses with a status below 500, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the same latency.
    pub p99_us: u64,
    /// 99.9th percentile of the same latency.
    pub p999_us: u64,
    /// Maximum of the same latency.
    pub max_us: u64,
}

/// Results collected while requests run.
pub struct Results {
    histogram: Histogram<u64>,
    sent: u64,
    counts: BTreeMap<String, u64>,
}

/// Idle connections by address.
type IdlePool = Mutex<BTreeMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>;

/// The state shared by all requests.
pub struct Generator {
    load: Load,
    idle: IdlePool,
    results: Mutex<Results>,
}

impl Results {
    /// Creates empty results.
    pub fn new() -> Results {
        Results {
            histogram: Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
                .expect("the bounds are in order"),
            sent: 0,
            counts: BTreeMap::new(),
        }
    }

    /// Returns the counts and the latency percentiles.
    pub fn summary(&self) -> Summary {
        let quantile = |q| self.histogram.value_at_quantile(q);
        Summary {
            sent: self.sent,
            results: self.counts.clone(),
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
            p999_us: quantile(0.999),
            max_us: self.histogram.max(),
        }
    }
}

impl Generator {
    /// Sends all requests, waits for the last response and adds the outcomes to `results`.
    pub async fn run(load: Load, results: Results) -> Results {
        let generator = Arc::new(Generator {
            load,
            idle: Mutex::default(),
            results: Mutex::new(results),
        });
        let start = Instant::now();
        let mut next = start;
        let mut tasks = tokio::task::JoinSet::new();
        let mut number = 0;
        while next.duration_since(start) < generator.load.duration {
            sleep_until(next).await;
            tasks.spawn(generator.clone().run_request(number, next));
            while tasks.try_join_next().is_some() {}
            number += 1;
            let interval: f64 = -(1.0 - rand::random::<f64>()).ln() / generator.load.rate;
            next += Duration::from_secs_f64(interval);
        }
        while tasks.join_next().await.is_some() {}
        let generator = Arc::into_inner(generator).expect("every task has ended");
        let results = generator.results.into_inner();
        results.unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_request(self: Arc<Self>, number: usize, scheduled: Instant) {
        let result = self.send(number).await;
        let latency = scheduled.elapsed().as_micros() as u64;
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.sent += 1;
        let (name, is_success) = match result {
            Ok((status, reason)) => (format!("{status} {reason}"), status < 500),
            Err(e) => (format!("error {e}"), false),
        };
        *results.counts.entry(name.trim().to_owned()).or_default() += 1;
        if is_success {
            results.histogram.saturating_record(latency.max(1));
        }
    }

    /// Sends one request and returns the status and the refusal reason of its response.
    async fn send(&self, number: usize) -> Result<(u16, String), String> {
        let load = &self.load;
        let addr = load.addrs[number % load.addrs.len()];
        let mut request = Request::builder()
            .method(load.method.as_str())
            .uri(&load.path)
            .header("host", addr.to_string());
        if !load.keys.is_empty() {
            let key = &load.keys[number % load.keys.len()];
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let body = Bytes::from(vec![b'x'; load.body_bytes]);
        let request = request.body(Full::new(body)).map_err(to_text)?;
        let mut sender = match self.take_idle(addr) {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let response = sender.send_request(request).await.map_err(to_text)?;
        let status = response.status().as_u16();
        let reason = response.headers().get("laburnum-reason");
        let reason = reason.and_then(|r| r.to_str().ok()).unwrap_or_default();
        let reason = reason.to_owned();
        response.into_body().collect().await.map_err(to_text)?;
        self.put_idle(addr, sender);
        Ok((status, reason))
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&addr)?;
        senders.retain(|sender| !sender.is_closed());
        let i = senders.iter().rposition(|sender| sender.is_ready())?;
        Some(senders.swap_remove(i))
    }

    fn put_idle(&self, addr: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(addr).or_default().push(sender);
    }
}

fn to_text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(addr).await.map_err(to_text)?;
    stream.set_nodelay(true).map_err(to_text)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(to_text)?;
    tokio::spawn(connection);
    Ok(sender)
}
