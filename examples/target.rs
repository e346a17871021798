//! Runs a stand-in target that announces itself to the node on its VM.

mod standin;

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use standin::{Options, Target};

/// Interval at which the number of running requests is polled during the drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A stand-in target with slots, service time, fault injection and drain.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// admin address of the node on this VM
    #[argh(option)]
    node: Option<SocketAddr>,
    /// name of the target on this VM
    #[argh(option)]
    name: String,
    /// service of the target
    #[argh(option)]
    service: String,
    /// number of concurrent requests
    #[argh(option, default = "7")]
    slots: u32,
    /// number of concurrent connections
    #[argh(option, default = "360")]
    connections: u32,
    /// service time of each request in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
    /// age in milliseconds that is announced at the start
    #[argh(option, default = "60000")]
    age_ms: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let target = Target::spawn(Options {
        listen: args.listen,
        node: args.node,
        name: args.name,
        service: args.service,
        slots: args.slots,
        connections: args.connections,
        delay: Duration::from_millis(args.delay_ms),
        age: Duration::from_millis(args.age_ms),
    })
    .await?;
    println!("listening on {}", target.addr());
    tokio::signal::ctrl_c().await?;
    target.drain();
    while target.running().0 > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    target.stop();
    Ok(())
}
