//! A stand-in target with gray failures that can be switched while it runs.
//!
//! `GET /runs` shows what ran, `POST /behaviour` switches failures for later requests, and a query
//! such as `?fault=hang` or `?bytes=1000` steers one request. Every other path is work.

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
use response::{Plan, ResponseBody};

/// Time between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Most runs that are remembered; the oldest go first.
const RUNS_MAX: usize = 200_000;

/// What the target announces and how fast it works.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Admin address of the node on its VM.
    pub node: Option<SocketAddr>,
    /// Its name on this VM.
    pub name: String,
    /// The service that it offers.
    pub service: String,
    /// Requests that it serves at the same time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time that each request takes.
    pub delay: Duration,
    /// Age that it claims at its start, so that it does not count as cold.
    pub age: Duration,
}

/// Failures by share of the requests, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Runs and answers 500.
    pub error: f64,
    /// Runs and never answers.
    pub hang: f64,
    /// Runs and closes the connection without an answer.
    pub reset: f64,
    /// Runs and closes the connection in the middle of the answer.
    pub cut: f64,
    /// Runs and declares more bytes than it sends.
    pub wrong_length: f64,
    /// Runs and answers with the identity of another request.
    pub crossed: f64,
    /// Runs and answers after the deadline.
    pub late: f64,
    /// Refuses before it runs.
    pub shed: f64,
    /// Multiplies the time of each request, if above 0.
    pub slow_factor: f64,
}

/// One failure of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Answers 500.
    Error,
    /// Never answers.
    Hang,
    /// Closes the connection without an answer.
    Reset,
    /// Closes the connection in the middle of the answer.
    Cut,
    /// Declares more bytes than it sends.
    WrongLength,
    /// Answers with the identity of another request.
    Crossed,
    /// Answers after the deadline.
    Late,
    /// Refuses before it runs.
    Shed,
}

impl Fault {
    /// Returns the fault with the name that queries use.
    pub fn named(name: &str) -> Option<Fault> {
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
    /// Draws the fault of one request.
    pub fn draw(&self) -> Option<Fault> {
        let shares = [
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
        for (share, fault) in shares {
            if point < share {
                return Some(fault);
            }
            point -= share;
        }
        None
    }
}

/// One request that the target ran.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Identity of the request, as the node passed it on.
    pub request: String,
    /// Identity of the attempt.
    pub attempt: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Bytes of the request body that arrived.
    pub bytes: u64,
    /// True once the answer was handed to the connection.
    pub finished: bool,
    /// True if the other side went away before that.
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
    first: AtomicU32,
    running: AtomicU32,
    peak: AtomicU32,
    connections: AtomicU32,
    slots: tokio::sync::Semaphore,
    draining: AtomicBool,
    stopped: AtomicBool,
    changed: tokio::sync::Notify,
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
            first: AtomicU32::new(0),
            running: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            changed: tokio::sync::Notify::new(),
        });
        tokio::spawn(target.clone().accept(listener));
        tokio::spawn(target.clone().announce());
        Ok(target)
    }

    /// Returns where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns what ran, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.lock_runs().iter().cloned().collect()
    }

    /// Returns how many requests run now, and the most at any time.
    pub fn running(&self) -> (u32, u32) {
        let load = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
        (load(&self.running), load(&self.peak))
    }

    /// Switches failures on or off.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour() = behaviour;
    }

    /// Announces that it wants no new work.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.changed.notify_one();
    }

    /// Stops announcing and accepting.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.changed.notify_one();
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            // A connection without it still works, only slower.
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let target = self.clone();
        let service = service_fn(move |request| target.clone().answer(request));
        // A failed connection is one of the failures that this target stands for.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/runs") => Ok(json(&self.report())),
            (&Method::GET, "/behaviour") => Ok(json(&*self.behaviour())),
            (&Method::POST, "/behaviour") => Ok(self.switch(request).await),
            (&Method::POST, "/drain") => {
                self.drain();
                Ok(json(&true))
            }
            _ => self.work(request).await,
        }
    }

    async fn switch(&self, request: Request<Incoming>) -> Response<ResponseBody> {
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

    async fn work(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        let plan = Plan::read(&request, &self.behaviour());
        if plan.fault == Some(Fault::Shed) {
            return Ok(response::shed());
        }
        let (head, mut body) = request.into_parts();
        let mut run = RunGuard::start(self.clone(), &head);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(std::io::Error::other)?;
            run.add(frame.data_ref().map_or(0, Bytes::len));
        }
        let _slot = self.slots.acquire().await.map_err(std::io::Error::other)?;
        let factor = self.behaviour().slow_factor;
        let delay = plan.delay.unwrap_or(self.options.delay);
        let delay = delay.mul_f64(if factor > 0.0 { factor } else { 1.0 });
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let response = plan.carry_out(&head).await?;
        Ok(response.map(|answer| answer.holding(run)))
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
            // The node may be starting or gone; the next announcement finds out.
            let _ = post(node, "/announce", self.announcement()).await;
            tokio::select! {
                () = tokio::time::sleep(ANNOUNCE_INTERVAL) => {}
                () = self.changed.notified() => {}
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

/// Records one run from its start to its end.
struct RunGuard {
    target: Arc<Target>,
    number: u32,
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
            target.first.fetch_add(1, Ordering::SeqCst);
        }
        runs.push_back(run);
        let number = target.first.load(Ordering::SeqCst) + runs.len() as u32 - 1;
        drop(runs);
        RunGuard {
            target,
            number,
            finished: false,
        }
    }

    fn add(&mut self, bytes: usize) {
        self.change(|run| run.bytes += bytes as u64);
    }

    fn change(&self, change: impl FnOnce(&mut Run)) {
        let mut runs = self.target.lock_runs();
        let first = self.target.first.load(Ordering::SeqCst);
        let place = self.number.checked_sub(first);
        if let Some(run) = place.and_then(|p| runs.get_mut(p as usize)) {
            change(run);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.target.running.fetch_sub(1, Ordering::SeqCst);
        let finished = self.finished;
        self.change(|run| {
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
