//! The node daemon.

use laburnumtide::Result;
use laburnumtide::node::{self, Settings};
use laburnumtide::settings::{self, Checker, NodeArgs};

fn main() -> anyhow::Result<()> {
    let args: NodeArgs = settings::parse_args("laburnum-node");
    if args.version {
        println!("laburnum-node {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = settings::unwrap_or_exit(args.check(Checker::from_env()));
    settings::run_daemon(&settings.log, run(settings.node))?;
    Ok(())
}

async fn run(settings: Settings) -> Result<()> {
    let handle = node::spawn(settings).await?;
    settings::shutdown_signal().await?;
    handle.drain().await;
    Ok(())
}
