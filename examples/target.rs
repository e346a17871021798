//! Runs a stand-in target that announces itself to the node on its VM.

mod standin;

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;

use standin::{Options, Target};

/// Time between looks at what still runs.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A stand-in target: slots, delay, gray failures and drain.
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
    /// service that it offers
    #[argh(option)]
    service: String,
    /// requests at the same time
    #[argh(option, default = "7")]
    slots: u32,
    /// connections at the same time
    #[argh(option, default = "360")]
    connections: u32,
    /// time of each request in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
    /// age in milliseconds that it claims at its start
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
        tokio::time::sleep(DRAIN_POLL).await;
    }
    target.stop();
    Ok(())
}
