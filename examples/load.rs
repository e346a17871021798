//! Sends open-loop load and prints the latency and the results as a table and as JSON.
//!
//! Example: `cargo run --release --example load -- --addr 127.0.0.1:7200 --key K --path /records
//! --rate 500 --secs 10`.

mod loadgen;

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use loadgen::{Generator, Load, Results};

/// Maximum duration of a run in seconds.
const SECS_MAX: u64 = 3_600;

/// Open-loop load with latency measured from the scheduled send time.
#[derive(FromArgs)]
struct Args {
    /// address to send to; may be repeated
    #[argh(option)]
    addr: Vec<SocketAddr>,
    /// key of an account; may be repeated
    #[argh(option)]
    key: Vec<String>,
    /// method (default GET)
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// path and query (default /)
    #[argh(option, default = "String::from(\"/\")")]
    path: String,
    /// requests per second
    #[argh(option)]
    rate: f64,
    /// seconds during which requests are started
    #[argh(option)]
    secs: u64,
    /// size of each request body in bytes (default 0)
    #[argh(option, default = "0")]
    body_bytes: usize,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    anyhow::ensure!(!args.addr.is_empty(), "--addr is missing");
    anyhow::ensure!(args.rate > 0.0, "--rate must be above 0");
    anyhow::ensure!(args.secs <= SECS_MAX, "--secs must be at most {SECS_MAX}");
    let load = Load {
        addrs: args.addr,
        keys: args.key,
        method: args.method,
        path: args.path,
        rate: args.rate,
        duration: Duration::from_secs(args.secs),
        body_bytes: args.body_bytes,
    };
    let results = Generator::run(load, Results::new()).await;
    let summary = results.summary();
    println!(
        "{:>10} {:>10} {:>10} {:>10} {:>10}",
        "sent", "p50 us", "p99 us", "p99.9 us", "max us"
    );
    println!(
        "{:>10} {:>10} {:>10} {:>10} {:>10}",
        summary.sent, summary.p50_us, summary.p99_us, summary.p999_us, summary.max_us
    );
    for (result, count) in &summary.results {
        println!("{count:>10} {result}");
    }
    println!("{}", serde_json::to_string(&summary)?);
    Ok(())
}
