//! The runtime of a daemon and the signals that it obeys.

use std::future::Future;

use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::{Error, Result};
use crate::logging;

/// A daemon that has started but doesn't run yet.
///
/// It catches its signals from here on, so that none that arrives while the settings are read ends
/// the process. Create it first in `main`: a signal that arrives earlier has its default effect.
#[derive(Debug)]
pub struct Daemon {
    runtime: Runtime,
    cores: usize,
    signals: Signals,
}

/// The signals that a daemon has received since its start.
#[derive(Debug)]
pub struct Signals {
    /// The signals to stop.
    pub stop: StopSignal,
    /// The signal to read the settings again; it has no effect on a daemon that doesn't.
    pub reload: ReloadSignal,
}

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

/// SIGHUP.
#[derive(Debug)]
pub struct ReloadSignal(Signal);

impl Daemon {
    /// Starts the runtime on all cores and catches the signals.
    ///
    /// On a VM with one core it uses the single-threaded runtime, since further threads would only
    /// compete for the core.
    ///
    /// # Errors
    ///
    /// Fails if the runtime can't be started or the signals can't be caught.
    pub fn start() -> Result<Daemon> {
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        let signals = Signals::catch_early()?;
        let runtime = match cores {
            1 => start(Builder::new_current_thread()),
            _ => start(Builder::new_multi_thread()),
        }?;
        Ok(Daemon {
            runtime,
            cores,
            signals,
        })
    }

    /// Starts logging with `filter` and runs `daemon` to completion.
    ///
    /// # Errors
    ///
    /// Fails if logging can't be started, or with the daemon's error.
    pub fn run<F, D>(self, filter: &str, daemon: F) -> Result<()>
    where
        F: FnOnce(Signals) -> D,
        D: Future<Output = Result<()>>,
    {
        logging::init(filter)?;
        log::info!(
            event = "process-started", version = env!("CARGO_PKG_VERSION"), cores = self.cores;
            "process started"
        );
        let ended = self.runtime.block_on(daemon(self.signals));
        match &ended {
            Ok(()) => log::info!(event = "process-ended"; "process ended"),
            Err(e) => log::error!(event = "process-failed", error:% = e; "process failed"),
        }
        logging::flush();
        // Tasks that still run must not delay the end of the process.
        self.runtime.shutdown_background();
        ended
    }
}

fn start(mut builder: Builder) -> Result<Runtime> {
    let runtime = builder.enable_all().build();
    runtime.map_err(|e| Error::io("start the runtime", e))
}

impl Signals {
    /// Catches the signals in a runtime without threads, which starts sooner; they are kept for the
    /// process.
    fn catch_early() -> Result<Signals> {
        let runtime = start(Builder::new_current_thread())?;
        let _context = runtime.enter();
        Signals::catch()
    }

    fn catch() -> Result<Signals> {
        Ok(Signals {
            stop: StopSignal {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            reload: ReloadSignal(signal(SignalKind::hangup())?),
        })
    }
}

impl StopSignal {
    /// Waits for SIGTERM or SIGINT.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

impl ReloadSignal {
    /// Waits for SIGHUP.
    pub async fn received(&mut self) {
        self.0.recv().await;
    }
}
