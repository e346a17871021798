//! The node daemon.

use laburnumtide::Result;
use laburnumtide::node::{self, Settings};
use laburnumtide::settings::{self, Checker, Daemon, NodeArgs, Signals};

fn main() -> anyhow::Result<()> {
    let args: NodeArgs = settings::parse_args("laburnum-node");
    if args.version {
        println!("laburnum-node {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let daemon = Daemon::start()?;
    let settings = settings::unwrap_or_exit(args.check(Checker::from_env()));
    daemon.run(&settings.log, |signals| run(settings.node, signals))?;
    Ok(())
}

async fn run(settings: Settings, mut signals: Signals) -> Result<()> {
    let handle = node::spawn(settings).await?;
    signals.stop.received().await;
    handle.drain().await;
    Ok(())
}
