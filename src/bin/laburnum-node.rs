//! The node daemon.

use anyhow::Context;
use laburnumtide::settings::{self, Checker, NodeArgs, NodeSettings};
use laburnumtide::{logging, node};

fn main() -> anyhow::Result<()> {
    let args: NodeArgs = settings::parse_args("laburnum-node");
    if args.version {
        println!("laburnum-node {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = settings::unwrap_or_exit(args.check(Checker::from_env()));
    logging::init(&settings.log)?;
    tokio::runtime::Runtime::new()
        .context("start the runtime")?
        .block_on(run(settings))
}

async fn run(settings: NodeSettings) -> anyhow::Result<()> {
    let handle = node::spawn(settings.node).await?;
    settings::ended().await?;
    handle.drain().await;
    Ok(())
}
