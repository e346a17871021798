//! Open-loop load: requests start at their intended times, however long earlier ones take.
//!
//! Latency counts from the intended start, so that a stall shows in every request that it delays.

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

/// Longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// What to send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where to send it; requests take turns.
    pub addrs: Vec<SocketAddr>,
    /// Keys; requests take turns. None sends requests without a key.
    pub keys: Vec<String>,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are started.
    pub duration: Duration,
    /// Bytes of each request body.
    pub body_bytes: usize,
}

/// What came of it, in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Requests that were started.
    pub sent: u64,
    /// Requests by status and reason, or by the kind of connection error.
    pub results: BTreeMap<String, u64>,
    /// Median latency of whole answers with a status below 500.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Longest.
    pub max_us: u64,
}

/// Results while requests run.
pub struct Results {
    histogram: Histogram<u64>,
    sent: u64,
    counts: BTreeMap<String, u64>,
}

/// Idle connections by address.
type Idle = Mutex<BTreeMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>;

/// Connections and results that all requests share.
pub struct Generator {
    load: Load,
    idle: Idle,
    results: Mutex<Results>,
}

impl Results {
    /// Creates results of nothing.
    pub fn new() -> Results {
        Results {
            histogram: Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
                .expect("the bounds are in order"),
            sent: 0,
            counts: BTreeMap::new(),
        }
    }

    /// Returns the results as numbers.
    pub fn summary(&self) -> Summary {
        let at = |quantile| self.histogram.value_at_quantile(quantile);
        Summary {
            sent: self.sent,
            results: self.counts.clone(),
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: self.histogram.max(),
        }
    }
}

impl Generator {
    /// Sends the whole load, waits for the last answer and adds to `results`.
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
            tasks.spawn(generator.clone().one(number, next));
            while tasks.try_join_next().is_some() {}
            number += 1;
            let gap: f64 = -(1.0 - rand::random::<f64>()).ln() / generator.load.rate;
            next += Duration::from_secs_f64(gap);
        }
        while tasks.join_next().await.is_some() {}
        let generator = Arc::into_inner(generator).expect("every task has ended");
        let results = generator.results.into_inner();
        results.unwrap_or_else(PoisonError::into_inner)
    }

    async fn one(self: Arc<Self>, number: usize, intended: Instant) {
        let result = self.send(number).await;
        let latency = intended.elapsed().as_micros() as u64;
        let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.sent += 1;
        let (name, is_good) = match result {
            Ok((status, reason)) => (format!("{status} {reason}"), status < 500),
            Err(e) => (format!("error {e}"), false),
        };
        *results.counts.entry(name.trim().to_owned()).or_default() += 1;
        if is_good {
            results.histogram.saturating_record(latency.max(1));
        }
    }

    /// Returns the status and the reason of one request.
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
        let request = request.body(Full::new(body)).map_err(text)?;
        let mut sender = match self.take(addr) {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let response = sender.send_request(request).await.map_err(text)?;
        let status = response.status().as_u16();
        let reason = response.headers().get("laburnum-reason");
        let reason = reason.and_then(|r| r.to_str().ok()).unwrap_or_default();
        let reason = reason.to_owned();
        response.into_body().collect().await.map_err(text)?;
        self.keep(addr, sender);
        Ok((status, reason))
    }

    fn take(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let all = idle.get_mut(&addr)?;
        all.retain(|sender| !sender.is_closed());
        let at = all.iter().rposition(|sender| sender.is_ready())?;
        Some(all.swap_remove(at))
    }

    fn keep(&self, addr: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(addr).or_default().push(sender);
    }
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(addr).await.map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(text)?;
    tokio::spawn(connection);
    Ok(sender)
}
