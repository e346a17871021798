//! The course of a node's drain.

use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout_at};

use crate::metrics::Metrics;
use crate::node::in_flight::{Drain, DrainCounts, InFlight};
use crate::node::listen::Shutdown;

/// How a drain ended.
#[derive(Clone, Copy, Debug)]
pub struct DrainEnd {
    /// True if every request finished by itself.
    pub finished: bool,
    /// True if every connection was closed.
    pub closed: bool,
    /// What became of the requests.
    pub counts: DrainCounts,
    /// Requests that are still in flight.
    pub running: usize,
    /// Connections that are still open.
    pub open: usize,
    /// Time from the signal until no request was in flight, or until the rest was ended.
    pub idle: Duration,
    /// Time from the signal until the end of the drain.
    pub total: Duration,
}

/// Waits until the requests in flight have finished, ends those that are left at the limits of the
/// drain, and closes the connections.
///
/// The drain must have started.
pub async fn run(in_flight: &InFlight, shutdown: &Shutdown) -> DrainEnd {
    let drain = in_flight.drain().expect("the drain has started");
    let Drain { signal, times } = drain;
    sleep_until(signal + times.take).await;
    let finished = timeout_at(signal + times.end, in_flight.idle()).await;
    let idle = signal.elapsed();
    if finished.is_err() {
        in_flight.end_requests();
    }
    shutdown.closing.cancel();
    close(in_flight, shutdown, signal + times.flush).await;
    let closed = timeout_at(signal + times.close, shutdown.connections.idle()).await;
    DrainEnd {
        finished: finished.is_ok(),
        closed: closed.is_ok(),
        counts: in_flight.counts(),
        running: in_flight.running(),
        open: shutdown.connections.running(),
        idle,
        total: signal.elapsed(),
    }
}

/// Closes the connections; at `limit`, those that still carry a response are broken off.
async fn close(in_flight: &InFlight, shutdown: &Shutdown, limit: Instant) {
    let all_closed = timeout_at(limit, shutdown.connections.idle()).await;
    if all_closed.is_err() {
        in_flight.abort_responses();
        shutdown.aborting.cancel();
    }
}

impl DrainEnd {
    /// Logs and counts the end of a drain.
    pub fn report(&self, metrics: &Metrics) {
        let counts = self.counts;
        metrics.add("drain.taken", counts.taken as u64);
        metrics.add("drain.refused", counts.refused as u64);
        metrics.add("drain.ended", counts.ended as u64);
        metrics.add("drain.cut", counts.cut as u64);
        log::info!(
            event = "drain-ended", finished = self.finished, closed = self.closed,
            taken = counts.taken, refused = counts.refused, ended = counts.ended, cut = counts.cut,
            running = self.running, open = self.open, idle_ms = self.idle.as_millis() as u64,
            ms = self.total.as_millis() as u64; "drain ended"
        );
    }
}
