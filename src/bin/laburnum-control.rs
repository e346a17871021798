//! The control daemon.

use laburnumtide::Result;
use laburnumtide::control::{self, Settings};
use laburnumtide::settings::{self, Checker, ControlArgs};

fn main() -> anyhow::Result<()> {
    let args: ControlArgs = settings::parse_args("laburnum-control");
    if args.version {
        println!("laburnum-control {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let settings = settings::unwrap_or_exit(args.check(Checker::from_env()));
    settings::run_daemon(&settings.log, run(settings.control))?;
    Ok(())
}

async fn run(settings: Settings) -> Result<()> {
    let mut handle = control::spawn(settings).await?;
    tokio::select! {
        ended = handle.ended() => return ended,
        signal = settings::shutdown_signal() => signal?,
    }
    handle.stop().await
}
