//! Log lines and counters on the sync of a node with control processes.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::error::Result;
use crate::metrics::Metrics;
use crate::units::Position;
use crate::wire::sync::{Response, Update};

/// Shortest time between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Sync calls since the last log line.
#[derive(Debug)]
struct Calls {
    since: Instant,
    /// Since when each response was ahead of the node.
    behind_since: Option<Instant>,
    done: u32,
    failed: u32,
    bytes: u64,
    last_error: String,
}

impl Calls {
    fn new() -> Calls {
        Calls {
            since: Instant::now(),
            behind_since: None,
            done: 0,
            failed: 0,
            bytes: 0,
            last_error: String::new(),
        }
    }
}

/// Counts the sync calls of a node, and logs them once a second while it stays behind or calls fail.
#[derive(Debug)]
pub struct SyncReport {
    metrics: Metrics,
    calls: Mutex<Calls>,
}

impl SyncReport {
    /// Creates a report that counts in `metrics`.
    pub fn new(metrics: Metrics) -> SyncReport {
        SyncReport {
            metrics,
            calls: Mutex::new(Calls::new()),
        }
    }

    /// Records the result of a call that took `time`; `position` is what the node holds after it.
    pub fn record(&self, result: &Result<Response>, time: Duration, position: Position) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let committed = match result {
            Ok(response) => {
                let size = data_size(&response.update);
                self.metrics.add("sync.data_bytes", size);
                self.metrics.time("sync.call", time);
                calls.done += 1;
                calls.bytes += size;
                response.committed
            }
            Err(e) => {
                self.metrics.count("sync.failed");
                calls.failed += 1;
                calls.last_error = e.to_string();
                Position(0)
            }
        };
        let is_behind = position < committed || position == Position(0);
        let behind_since = calls.behind_since.filter(|_| is_behind);
        calls.behind_since = behind_since.or(is_behind.then(Instant::now));
        let stays_behind = behind_since.is_some_and(|at| at.elapsed() >= REPORT_INTERVAL);
        if calls.since.elapsed() < REPORT_INTERVAL || calls.failed == 0 && !stays_behind {
            return;
        }
        log::info!(
            event = "sync-progress", position:% = position, committed:% = committed,
            done = calls.done, failed = calls.failed, bytes = calls.bytes,
            error = calls.last_error.as_str();
            "sync with control processes"
        );
        *calls = Calls {
            behind_since: calls.behind_since,
            ..Calls::new()
        };
    }
}

/// Returns the size of the data in an update in bytes.
fn data_size(update: &Update) -> u64 {
    let size = match update {
        Update::Entries(entries) => entries.iter().map(|e| e.len()).sum(),
        Update::Chunk(chunk) => chunk.bytes.len(),
    };
    size as u64
}
