//! The control daemon.

use laburnumtide::Result;
use laburnumtide::control::{self, Settings};
use laburnumtide::settings::{self, Checker, ControlArgs, Daemon, Signals};

fn main() -> anyhow::Result<()> {
    let args: ControlArgs = settings::parse_args("laburnum-control");
    if args.version {
        println!("laburnum-control {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let daemon = Daemon::start()?;
    let settings = settings::unwrap_or_exit(args.check(Checker::from_env()));
    daemon.run(&settings.log, |signals| run(settings.control, signals))?;
    Ok(())
}

async fn run(settings: Settings, mut signals: Signals) -> Result<()> {
    let mut handle = control::spawn(settings).await?;
    tokio::select! {
        ended = handle.ended() => return ended,
        () = signals.stop.received() => {}
    }
    handle.stop().await
}
