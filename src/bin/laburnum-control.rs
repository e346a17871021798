//! The control daemon.

use anyhow::Context;
use laburnumtide::settings::{self, Checker, ControlArgs, ControlSettings};
use laburnumtide::{control, logging};

fn main() -> anyhow::Result<()> {
    let args: ControlArgs = settings::parse_args("laburnum-control");
    if args.version {
        println!("laburnum-control {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = settings::unwrap_or_exit(args.check(Checker::from_env()));
    logging::init(&settings.log)?;
    tokio::runtime::Runtime::new()
        .context("start the runtime")?
        .block_on(run(settings))
}

async fn run(settings: ControlSettings) -> anyhow::Result<()> {
    let mut handle = control::spawn(settings.control).await?;
    tokio::select! {
        ended = handle.ended() => return Ok(ended?),
        signal = settings::ended() => signal?,
    }
    handle.stop().await?;
    Ok(())
}
