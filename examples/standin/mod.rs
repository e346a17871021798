//! A stand-in target with fault injection that can be changed while it runs.
//!
//! `GET /runs` reports the requests that ran, `POST /behaviour` sets the fault rates for later
//! requests, and a query such as `?fault=hang` or `?bytes=1000` controls a single request. `/drain`
//! starts the drain. Every other path is served as an ordinary request.

pub mod client;
mod response;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};

use client::post;
use response::{ResponseBody, ResponsePlan};

/// Time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of runs that are kept; the oldest are dropped first.
const RUNS_MAX: usize = 200_000;

/// What the target announces, and its service time.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listen address.
    pub listen: SocketAddr,
    /// Admin address of the node on its VM.
    pub node: Option<SocketAddr>,
    /// Name of the target on this VM.
    pub name: String,
    /// Service of the target.
    pub service: String,
    /// Number of requests served concurrently.
    pub slots: u32,
    /// Announced maximum number of connections.
    pub connections: u32,
    /// Service time of each request.
    pub delay: Duration,
    /// Age announced at the start, so that the target is not treated as cold.
    pub age: Duration,
}

/// Fault rates: the fraction of requests with each fault, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// The request runs, and the response has status 500.
    pub error: f64,
    /// The request runs, and no response is sent.
    pub hang: f64,
    /// The request runs, and the connection is closed without a response.
    pub reset: f64,
    /// The request runs, and the connection is closed in the middle of the response.
    pub cut: f64,
    /// The request runs, and the response declares more bytes than it sends.
    pub wrong_length: f64,
    /// The request runs, and the response has the id of another request.
    pub crossed: f64,
    /// The request runs, and the response is sent after the deadline.
    pub late: f64,
    /// The request is refused before it runs.
    pub shed: f64,
    /// Factor on the service time of each request, if above 0.
    pub slow_factor: f64,
}

/// The fault injected into one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The response has status 500.
    Error,
    /// No response is sent.
    Hang,
    /// The connection is closed without a response.
    Reset,
    /// The connection is closed in the middle of the response.
    Cut,
    /// The response declares more bytes than it sends.
    WrongLength,
    /// The response has the id of another request.
    Crossed,
    /// The response is sent after the deadline.
    Late,
    /// The request is refused before it runs.
    Shed,
}

impl Fault {
    /// Returns the fault with this name in a query.
    pub fn by_name(name: &str) -> Option<Fault> {
        Some(match name {
            "error" => Fault::Error,
            "hang" => Fault::Hang,
            "reset" => Fault::Reset,
            "cut" => Fault::Cut,
            "wrong-length" => Fault::WrongLength,
            "crossed" => Fault::Crossed,
            "late" => Fault::Late,
            "shed" => Fault::Shed,
            _ => return None,
        })
    }
}

impl Behaviour {
    /// Returns a random fault for one request, or none, at the configured rates.
    pub fn random_fault(&self) -> Option<Fault> {
        let rates = [
            (self.error, Fault::Error),
            (self.hang, Fault::Hang),
            (self.reset, Fault::Reset),
            (self.cut, Fault::Cut),
            (self.wrong_length, Fault::WrongLength),
            (self.crossed, Fault::Crossed),
            (self.late, Fault::Late),
            (self.shed, Fault::Shed),
        ];
        let mut point: f64 = rand::random();
        for (rate, fault) in rates {
            if point < rate {
                return Some(fault);
            }
            point -= rate;
        }
        None
    }
}

/// One request that the target ran.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Id of the request, as the node sent it.
    pub request: String,
    /// Id of the attempt.
    pub attempt: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Bytes of the request body that were received.
    pub bytes: u64,
    /// True once the whole response was written to the connection.
    pub finished: bool,
    /// True if the connection was closed before that.
    pub cancelled: bool,
}

#[derive(Serialize)]
struct Report {
    running: u32,
    peak: u32,
    connections: u32,
    runs: Vec<Run>,
}

/// The state of a running target.
pub struct Target {
    options: Options,
    addr: SocketAddr,
    started: Instant,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<VecDeque<Run>>,
    dropped_runs: AtomicU32,
    running: AtomicU32,
    peak: AtomicU32,
    connections: AtomicU32,
    slots: tokio::sync::Semaphore,
    draining: AtomicBool,
    stopped: AtomicBool,
    announce_now: tokio::sync::Notify,
}

impl Target {
    /// Starts a target.
    pub async fn spawn(options: Options) -> std::io::Result<Arc<Target>> {
        let listener = TcpListener::bind(options.listen).await?;
        let target = Arc::new(Target {
            addr: listener.local_addr()?,
            slots: tokio::sync::Semaphore::new(options.slots as usize),
            options,
            started: Instant::now(),
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            dropped_runs: AtomicU32::new(0),
            running: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            announce_now: tokio::sync::Notify::new(),
        });
        tokio::spawn(target.clone().accept(listener));
        tokio::spawn(target.clone().announce());
        Ok(target)
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the requests that ran, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.lock_runs().iter().cloned().collect()
    }

    /// Returns the number of running requests, and its maximum so far.
    pub fn running(&self) -> (u32, u32) {
        let load = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
        (load(&self.running), load(&self.peak))
    }

    /// Sets the fault rates for later requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour() = behaviour;
    }

    /// Announces that the target is draining and takes no new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.announce_now.notify_one();
    }

    /// Stops announcing and accepting.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.announce_now.notify_one();
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            // Without TCP_NODELAY the connection still works, only slower.
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let target = self.clone();
        let service = service_fn(move |request| target.clone().handle(request));
        // Injected faults make connections fail, so errors are expected here.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/runs") => Ok(json(&self.report())),
            (&Method::GET, "/behaviour") => Ok(json(&*self.behaviour())),
            (&Method::POST, "/behaviour") => Ok(self.change_behaviour(request).await),
            (&Method::POST, "/drain") => {
                self.drain();
                Ok(json(&true))
            }
            _ => self.serve(request).await,
        }
    }

    async fn change_behaviour(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = request.into_body().collect().await.map(|b| b.to_bytes());
        let parsed = body.ok().and_then(|b| serde_json::from_slice(&b).ok());
        match parsed {
            Some(behaviour) => {
                self.set_behaviour(behaviour);
                json(&behaviour)
            }
            None => plain(StatusCode::BAD_REQUEST, "behaviour is malformed\n"),
        }
    }

    async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        let plan = ResponsePlan::read(&request, &self.behaviour());
        if plan.fault == Some(Fault::Shed) {
            return Ok(response::shed(request.headers()));
        }
        let (head, mut body) = request.into_parts();
        let mut run = RunGuard::start(self.clone(), &head);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(std::io::Error::other)?;
            run.add_received(frame.data_ref().map_or(0, Bytes::len));
        }
        let _slot = self.slots.acquire().await.map_err(std::io::Error::other)?;
        let factor = self.behaviour().slow_factor;
        let delay = plan.delay.unwrap_or(self.options.delay);
        let delay = delay.mul_f64(if factor > 0.0 { factor } else { 1.0 });
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let response = plan.execute(&head).await?;
        Ok(response.map(|body| body.with_run(run)))
    }

    fn report(&self) -> Report {
        let (running, peak) = self.running();
        Report {
            running,
            peak,
            connections: self.connections.load(Ordering::SeqCst),
            runs: self.runs(),
        }
    }

    async fn announce(self: Arc<Self>) {
        let Some(node) = self.options.node else {
            return;
        };
        while !self.stopped.load(Ordering::SeqCst) {
            // The node may be starting or stopped, so errors are ignored and the next interval retries.
            let _ = post(node, "/announce", self.announcement()).await;
            tokio::select! {
                () = tokio::time::sleep(ANNOUNCE_INTERVAL) => {}
                () = self.announce_now.notified() => {}
            }
        }
    }

    fn announcement(&self) -> String {
        let age = self.options.age + self.started.elapsed();
        let (running, _) = self.running();
        serde_json::json!({
            "name": self.options.name,
            "service": self.options.service,
            "address": self.addr,
            "slots": self.options.slots,
            "connections": self.options.connections,
            "started_ms_ago": age.as_millis() as u64,
            "draining": self.draining.load(Ordering::SeqCst),
            "load": f64::from(running) / f64::from(self.options.slots.max(1)),
        })
        .to_string()
    }

    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_runs(&self) -> MutexGuard<'_, VecDeque<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records one run from its start until it is dropped.
struct RunGuard {
    target: Arc<Target>,
    index: u32,
    finished: bool,
}

impl RunGuard {
    fn start(target: Arc<Target>, head: &http::request::Parts) -> RunGuard {
        let text = |name: &str| {
            let value = head.headers.get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let run = Run {
            request: text("laburnum-request-id"),
            attempt: text("laburnum-attempt"),
            method: head.method.to_string(),
            path: head.uri.to_string(),
            bytes: 0,
            finished: false,
            cancelled: false,
        };
        let running = target.running.fetch_add(1, Ordering::SeqCst) + 1;
        target.peak.fetch_max(running, Ordering::SeqCst);
        let mut runs = target.lock_runs();
        if runs.len() == RUNS_MAX {
            runs.pop_front();
            target.dropped_runs.fetch_add(1, Ordering::SeqCst);
        }
        runs.push_back(run);
        let index = target.dropped_runs.load(Ordering::SeqCst) + runs.len() as u32 - 1;
        drop(runs);
        RunGuard {
            target,
            index,
            finished: false,
        }
    }

    fn add_received(&mut self, bytes: usize) {
        self.update(|run| run.bytes += bytes as u64);
    }

    fn update(&self, update: impl FnOnce(&mut Run)) {
        let mut runs = self.target.lock_runs();
        let dropped = self.target.dropped_runs.load(Ordering::SeqCst);
        let offset = self.index.checked_sub(dropped);
        if let Some(run) = offset.and_then(|i| runs.get_mut(i as usize)) {
            update(run);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.target.running.fetch_sub(1, Ordering::SeqCst);
        let finished = self.finished;
        self.update(|run| {
            run.finished = finished;
            run.cancelled = !finished;
        });
    }
}

fn json(value: &impl Serialize) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).expect("reports have text keys only");
    Response::new(ResponseBody::full(text))
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text));
    *response.status_mut() = status;
    response
}
