//! Measures the latency that two nodes add to a direct call of a target.
//!
//! Direct load, load through a minimal proxy and load through two nodes alternate within one run,
//! at the same rate. The target serves as many requests concurrently as it has slots, each with the
//! same service time.
//!
//! Example: `cargo run --release --example added_latency`.

mod loadgen;
mod passthrough;
mod standin;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use laburnumtide::config::{Account, Config, Note};
use laburnumtide::node::{
    self, Components, Freshness, Handle, Limits, RateLimiter, Settings, Unsynced,
};
use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;
use laburnumtide::wire::Secret;

use loadgen::{Generator, Load, Results, Summary};
use standin::{Options, Target};

/// The key of the only account.
const KEY: &str = "latency-key-0123456789";

/// Duration of the load that opens the first link and the first connections before the measurement.
const WARM_UP: Duration = Duration::from_secs(1);

/// Length of one tick of the CPU times that the kernel reports, in microseconds.
const TICK_US: u64 = 10_000;

/// Returns the CPU time that this process has used, in ticks.
fn cpu_ticks() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.map(|t| Ok(t.parse::<u64>()?)).sum()
}

/// Added latency of two nodes at a fraction of the target's capacity.
#[derive(FromArgs)]
struct Args {
    /// slots of the target (default 7)
    #[argh(option, default = "7")]
    slots: u32,
    /// service time of each request in milliseconds (default 5)
    #[argh(option, default = "5")]
    delay_ms: u64,
    /// fraction of the capacity (default 0.5)
    #[argh(option, default = "0.5")]
    share: f64,
    /// requests per second, in place of a fraction of the capacity
    #[argh(option)]
    rate: Option<f64>,
    /// targets, all on the VM of the second node (default 1)
    #[argh(option, default = "1")]
    targets: usize,
    /// rounds, each with one leg per path (default 5)
    #[argh(option, default = "5")]
    rounds: u32,
    /// seconds of each leg of a round (default 4)
    #[argh(option, default = "4")]
    secs: u64,
}

/// A configuration that is always fresh, and a rate limiter that admits every request.
struct AdmitAll;

impl Freshness for AdmitAll {
    fn is_fresh(&self) -> bool {
        true
    }
}

impl RateLimiter for AdmitAll {
    async fn admit(
        &self,
        _: &Account,
        _: Duration,
        _: Duration,
    ) -> std::result::Result<(), Refusal> {
        Ok(())
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let ingress = node().await?;
    let egress = node().await?;
    let mut targets = Vec::new();
    for i in 0..args.targets {
        targets.push(target(&args, i, &egress).await?);
    }
    let mut records = egress.records();
    let record = records
        .wait_for(|r| r.targets.len() == args.targets)
        .await?;
    let record = record.clone();
    ingress.update_node(egress.link_addr(), &record);
    let delay = Duration::from_millis(args.delay_ms);
    let capacity = f64::from(args.slots) * args.targets as f64 / delay.as_secs_f64();
    let rate = args.rate.unwrap_or(capacity * args.share);
    let load = |addrs: Vec<SocketAddr>, duration: Duration| Load {
        addrs,
        keys: vec![KEY.to_owned()],
        method: "GET".to_owned(),
        path: "/work?bytes=1000".to_owned(),
        rate,
        duration,
        body_bytes: 0,
    };
    let direct: Vec<SocketAddr> = targets.iter().map(|t| t.addr()).collect();
    let proxied = vec![ingress.caller_addr()];
    let secs = Duration::from_secs(args.secs);
    Generator::run(load(direct.clone(), WARM_UP), Results::new()).await;
    Generator::run(load(proxied.clone(), WARM_UP), Results::new()).await;
    let baseline = passthrough::spawn(direct[0]).await?;
    let mut legs = [
        Leg::new("direct", direct),
        Leg::new("minimal proxy", vec![baseline]),
        Leg::new("two nodes", proxied),
    ];
    for _ in 0..args.rounds {
        for leg in &mut legs {
            let start = cpu_ticks()?;
            let results = std::mem::replace(&mut leg.results, Results::new());
            leg.results = Generator::run(load(leg.addrs.clone(), secs), results).await;
            leg.ticks += cpu_ticks()? - start;
        }
    }
    targets.iter().for_each(|target| target.stop());
    report(rate, &legs)
}

/// One path to the target and its measurements.
struct Leg {
    name: &'static str,
    addrs: Vec<SocketAddr>,
    results: Results,
    ticks: u64,
}

impl Leg {
    fn new(name: &'static str, addrs: Vec<SocketAddr>) -> Leg {
        Leg {
            name,
            addrs,
            results: Results::new(),
            ticks: 0,
        }
    }

    fn cpu_us(&self, s: &Summary) -> i64 {
        (self.ticks * TICK_US / s.sent.max(1)) as i64
    }
}

fn report(rate: f64, legs: &[Leg; 3]) -> anyhow::Result<()> {
    println!("{rate:.0} requests/s; latency from the scheduled send time, CPU time per request");
    let direct = legs[0].results.summary();
    for leg in legs {
        let s = leg.results.summary();
        let added = |a: u64, b: u64| b as i64 - a as i64;
        println!(
            "{:>18}: p50 {} us (+{}) p99 {} us (+{}) cpu {} us (+{}) {:?}",
            leg.name,
            s.p50_us,
            added(direct.p50_us, s.p50_us),
            s.p99_us,
            added(direct.p99_us, s.p99_us),
            leg.cpu_us(&s),
            leg.cpu_us(&s) - legs[0].cpu_us(&direct),
            s.results
        );
    }
    let all: Vec<Summary> = legs.iter().map(|leg| leg.results.summary()).collect();
    println!("{}", serde_json::to_string(&all)?);
    Ok(())
}

async fn node() -> anyhow::Result<Handle> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let components = Components {
        config: Arc::default(),
        freshness: Arc::new(AdmitAll),
        rate_limiter: Arc::new(AdmitAll),
        idempotency: Arc::new(Unsynced),
    };
    components.config.store(config()?);
    let settings = Settings {
        caller_listen: any,
        link_listen: any,
        link_public: None,
        admin_listen: any,
        admin_public: false,
        announce: true,
        control: Vec::new(),
        zone: "zone-a".parse()?,
        secret: Secret::new(b"fleet-secret-0123456789")?,
        statsd: None,
        retention: laburnumtide::idempotency::RETENTION,
        retries: Default::default(),
        limits: Limits::default(),
    };
    Ok(node::spawn_with(settings, NodeId::random(), components, Arc::new(Unsynced)).await?)
}

async fn target(args: &Args, i: usize, node: &Handle) -> anyhow::Result<Arc<Target>> {
    let target = Target::spawn(Options {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        node: Some(node.admin_addr()),
        name: format!("target-{i}"),
        service: "work".to_owned(),
        slots: args.slots,
        connections: 360,
        delay: Duration::from_millis(args.delay_ms),
        age: Duration::from_secs(60),
    });
    Ok(target.await?)
}

fn config() -> anyhow::Result<Config> {
    let text = format!(
        r#"number = 1
[[added.accounts]]
name = "load"
rate = "1000000/s"
burst = 100000
[[added.keys]]
name = "load-1"
account = "load"
digest = "{}"
[[added.services]]
name = "work"
floor = 50
[[added.routes]]
name = "work"
path = "/work"
methods = ["GET"]
service = "work"
deadline = "5s"
"#,
        KeyDigest::of(KEY.as_bytes())
    );
    let failed = |errors: Vec<_>| anyhow::anyhow!("{errors:?}");
    let note = Note::parse(&text).map_err(failed)?;
    let mut config = Config::new();
    config.apply(&note).map_err(failed)?;
    Ok(config)
}
