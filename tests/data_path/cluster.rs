//! Test cluster on loopback: two nodes, with a stand-in target at one and a caller at the other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use laburnumtide::config::{Account, Config, Note};
use laburnumtide::idempotency::{IdempotencyKey, RETENTION, RunResult};
use laburnumtide::node::{
    self, Components, Freshness, Handle, Idempotency, Limits, RateLimiter, Settings, Unsynced,
};
use laburnumtide::outcome::{FirstRequest, Refusal};
use laburnumtide::prelude::*;
use laburnumtide::wire::Secret;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::standin::client::{call, post};
use crate::standin::{Options, Run, Target};

/// Timeout of conditions, generous for a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The key of the only account.
pub const KEY: &str = "bakery-key-0123456789";

/// A freshness proof that a test can turn on and off.
pub struct FreshnessSwitch(AtomicBool);

impl FreshnessSwitch {
    pub fn set(&self, fresh: bool) {
        self.0.store(fresh, Ordering::SeqCst);
    }
}

impl Freshness for FreshnessSwitch {
    fn is_fresh(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Rate limiter that admits and counts all requests.
#[derive(Default)]
pub struct AdmitAll(std::sync::atomic::AtomicU32);

impl RateLimiter for AdmitAll {
    async fn admit(
        &self,
        _: &Account,
        _: Duration,
        _: Duration,
    ) -> std::result::Result<(), Refusal> {
        self.0.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }
}

/// In-memory idempotency records, shared by both nodes and kept until the test ends.
#[derive(Default)]
pub struct Records {
    known: Mutex<HashMap<(AccountName, IdempotencyKey), FirstRequest>>,
    /// While true, the state of keys is unknown.
    pub unavailable: AtomicBool,
    /// While true, permits are no longer valid.
    pub permits_expired: AtomicBool,
}

impl Idempotency for Records {
    type Permit = (AccountName, IdempotencyKey);

    async fn claim(
        &self,
        account: &AccountName,
        key: &IdempotencyKey,
        request: RequestId,
    ) -> std::result::Result<Self::Permit, Refusal> {
        if self.unavailable.load(Ordering::SeqCst) {
            return Err(Refusal::after(
                Reason::RepeatUnknown,
                Duration::from_secs(1),
            ));
        }
        let entry = (account.clone(), key.clone());
        let mut known = self.known.lock().unwrap();
        match known.get(&entry) {
            Some(first) if first.outcome.is_some() => {
                Err(Refusal::new(Reason::Repeat).with_first(*first))
            }
            Some(first) => Err(Refusal::new(Reason::RepeatRunning).with_first(*first)),
            None => {
                known.insert(
                    entry.clone(),
                    FirstRequest {
                        request,
                        outcome: None,
                    },
                );
                Ok(entry)
            }
        }
    }

    fn is_valid(&self, _: &Self::Permit) -> bool {
        !self.permits_expired.load(Ordering::SeqCst)
    }

    fn report(&self, permit: &Self::Permit, result: RunResult) {
        let mut known = self.known.lock().unwrap();
        match result {
            RunResult::NotRun => {
                known.remove(permit);
            }
            RunResult::Ran(outcome) => known.get_mut(permit).unwrap().outcome = Some(outcome),
        }
    }
}

pub struct Cluster {
    /// The node to which the caller connects.
    pub front: Handle,
    /// The node on the target's VM.
    pub back: Handle,
    pub target: Arc<Target>,
    /// Freshness of the front node.
    pub fresh: Arc<FreshnessSwitch>,
    /// Freshness of the back node.
    pub back_fresh: Arc<FreshnessSwitch>,
    pub limiter: Arc<AdmitAll>,
    pub records: Arc<Records>,
}

impl Cluster {
    pub async fn open() -> Cluster {
        Cluster::with(Limits::default(), 7, Duration::ZERO).await
    }

    pub async fn with(limits: Limits, slots: u32, delay: Duration) -> Cluster {
        let fresh = Arc::new(FreshnessSwitch(AtomicBool::new(true)));
        let limiter = Arc::new(AdmitAll::default());
        let records = Arc::new(Records::default());
        let front = node(&limits, &fresh, &limiter, &records).await;
        let back_fresh = Arc::new(FreshnessSwitch(AtomicBool::new(true)));
        let back = node(&limits, &back_fresh, &limiter, &records).await;
        let target = target(&back, "oven-1", slots, delay).await;
        let cluster = Cluster {
            front,
            back,
            target,
            fresh,
            back_fresh,
            limiter,
            records,
        };
        cluster.connect(1).await;
        cluster
    }

    /// Waits until `targets` targets are announced and passes them to the front node.
    pub async fn connect(&self, targets: usize) {
        let mut records = self.back.records();
        let announced = records.wait_for(|r| r.targets.len() == targets);
        let record = announced.await.unwrap().clone();
        self.front.update_node(self.back.link_addr(), &record);
    }

    /// Announces a target at `address` in place of the stand-in, which drains.
    pub async fn replace_target(&self, address: SocketAddr) {
        let announcement = serde_json::json!({
            "name": "oven-2", "service": "ovens", "address": address, "slots": 4,
            "connections": 10, "started_ms_ago": 60_000,
        });
        let admin = self.back.admin_addr();
        let response = post(admin, "/announce", announcement.to_string()).await;
        assert_eq!(response.unwrap().status(), 200);
        self.target.drain();
        let mut records = self.back.records();
        let record = records.wait_for(|r| {
            use laburnumtide::fleet::TargetState::Draining;
            r.targets.len() == 2 && r.targets.iter().any(|t| t.state == Draining)
        });
        let record = record.await.unwrap().clone();
        self.front.update_node(self.back.link_addr(), &record);
    }

    /// Sends a GET request with the key.
    pub async fn get(&self, path: &str) -> Response<Bytes> {
        self.send(Request::get(path)).await
    }

    pub async fn send(&self, request: http::request::Builder) -> Response<Bytes> {
        let request = request
            .header("host", "front")
            .header("authorization", format!("Bearer {KEY}"));
        let request = request.body(Full::default()).unwrap();
        call(self.front.caller_addr(), request).await.unwrap()
    }

    /// Sends raw bytes and returns everything received until the connection closes.
    pub async fn raw(&self, bytes: &[u8]) -> String {
        raw(self.front.caller_addr(), bytes).await
    }

    /// Returns the runs at the target.
    pub fn runs(&self) -> Vec<Run> {
        self.target.runs()
    }

    pub fn admitted(&self) -> u32 {
        self.limiter.0.load(Ordering::SeqCst)
    }
}

pub async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The node may respond with a refusal and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(TEST_TIMEOUT, read).await.unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

pub fn settings(limits: &Limits) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        caller_listen: any,
        link_listen: any,
        link_public: None,
        admin_listen: any,
        admin_public: false,
        announce: true,
        control: Vec::new(),
        zone: "zone-a".parse().unwrap(),
        secret: Secret::new(b"fleet-secret-0123456789").unwrap(),
        statsd: None,
        retention: RETENTION,
        retries: Default::default(),
        limits: limits.clone(),
    }
}

pub async fn node(
    limits: &Limits,
    fresh: &Arc<FreshnessSwitch>,
    limiter: &Arc<AdmitAll>,
    records: &Arc<Records>,
) -> Handle {
    let components = Components {
        config: Arc::default(),
        freshness: fresh.clone(),
        rate_limiter: limiter.clone(),
        idempotency: records.clone(),
    };
    components.config.store(config());
    let me = NodeId::random();
    node::spawn_with(settings(limits), me, components, Arc::new(Unsynced))
        .await
        .unwrap()
}

pub async fn target(node: &Handle, name: &str, slots: u32, delay: Duration) -> Arc<Target> {
    Target::spawn(Options {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        node: Some(node.admin_addr()),
        name: name.to_owned(),
        service: "ovens".to_owned(),
        slots,
        connections: 360,
        delay,
        age: Duration::from_secs(60),
    })
    .await
    .unwrap()
}

/// The configuration of both nodes: one account with a key, keyed routes and an open one.
pub fn config() -> Config {
    let mut config = Config::new();
    config.apply(&Note::parse(&note()).unwrap()).unwrap();
    config
}

/// The configuration after the withdrawal of the only key.
pub fn config_without_key() -> Config {
    let mut config = config();
    let note = "number = 2\n[withdrawn]\nkeys = [\"bakery-1\"]\n";
    config.apply(&Note::parse(note).unwrap()).unwrap();
    config
}

fn note() -> String {
    format!(
        r#"number = 1
[[added.accounts]]
name = "bakery"
rate = "1000/s"
burst = 1000
[[added.keys]]
name = "bakery-1"
account = "bakery"
digest = "{}"
[[added.services]]
name = "ovens"
floor = 50
open_rate = "1/s"
open_burst = 2
[[added.routes]]
name = "bake"
path = "/bake"
methods = ["GET", "HEAD", "POST", "PUT"]
service = "ovens"
deadline = "3s"
body_max = 100000
idempotent = ["GET", "HEAD"]
[[added.routes]]
name = "bulk"
path = "/bulk"
methods = ["GET", "POST"]
service = "ovens"
deadline = "20s"
body_max = 1073741824
[[added.routes]]
name = "brief"
path = "/brief"
methods = ["GET", "POST"]
service = "ovens"
deadline = "300ms"
[[added.routes]]
name = "menu"
path = "/menu"
methods = ["GET"]
service = "ovens"
open = true
deadline = "3s"
[[added.routes]]
name = "menu-prices"
path = "/menu/prices"
methods = ["GET"]
service = "ovens"
deadline = "3s"
"#,
        KeyDigest::of(KEY.as_bytes())
    )
}

/// Returns a header as text; empty if it is missing.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).map_or("", |v| v.to_str().unwrap())
}

/// Returns the outcome and the reason in the headers of a response.
pub fn outcome(response: &Response<Bytes>) -> (&str, &str) {
    let headers = response.headers();
    (
        header(headers, "laburnum-outcome"),
        header(headers, "laburnum-reason"),
    )
}

/// Parses a response body in which the target echoes the headers that it received.
pub fn echoed(body: &[u8]) -> HashMap<String, String> {
    let text = String::from_utf8(body.to_vec()).unwrap();
    let pair = |line: &str| {
        let (name, value) = line.split_once(": ").unwrap();
        (name.to_owned(), value.to_owned())
    };
    text.lines().map(pair).collect()
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
