//! Structured logging: one logfmt line for each event, on standard output.
//!
//! Events are logged with the `log` macros and their key-value syntax, for example
//! `log::info!(event = "note-accepted", number = 7; "release note accepted")`.
//!
//! Logging never blocks: lines go to a bounded [`Queue`] that a writer thread drains. Above a rate
//! limit, lines are dropped, those of served requests first. Dropped lines are counted, and one line
//! a second reports the counts.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use logforth::bridge::log::LogBridge;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::layout::LogfmtLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Layout};

use crate::error::{Error, Result};

/// Events of served requests, sorted; their lines are dropped before any others.
pub const SERVED_EVENTS: [&str; 5] = [
    "admitted",
    "attempt",
    "dispatched",
    "responded",
    "target-responded",
];

/// Maximum lines of served requests per second: those of 40 requests, as a sample of normal traffic.
const SERVED_LINES_MAX: u32 = 200;

/// Maximum other lines per second; bounds the cost of an overload with thousands of refusals.
const LINES_MAX: u32 = 1_000;

/// Maximum size of the queue in bytes, enough for a reader that pauses for some seconds at the
/// normal rate.
const QUEUE_MAX_BYTES: usize = 512 * 1024;

/// How long the writer collects lines into a batch, so that it wakes up rarely.
const BATCH_TIME: Duration = Duration::from_millis(50);

/// Maximum time that a flush waits for the writer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

static QUEUE: OnceLock<Arc<Queue>> = OnceLock::new();

/// Limits how often an event that bad input causes is logged.
#[derive(Debug)]
pub struct LogInterval {
    interval: Duration,
    last: Mutex<Option<Instant>>,
}

impl LogInterval {
    /// Creates a limit of one line in each `interval`.
    pub const fn new(interval: Duration) -> LogInterval {
        LogInterval {
            interval,
            last: Mutex::new(None),
        }
    }

    /// Returns true if a line is due; it then counts as logged.
    pub fn is_due(&self) -> bool {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|last| last.elapsed() >= self.interval);
        if is_due {
            *last = Some(Instant::now());
        }
        is_due
    }
}

/// Starts logging to standard output with a filter such as `info` or `laburnumtide=debug`.
///
/// # Errors
///
/// Fails if the filter is invalid or logging is already started.
pub fn init(filter: &str) -> Result<()> {
    let filter = RustLogFilterBuilder::try_from_spec(filter)
        .map_err(|e| Error::invalid(format!("log filter: {e}")))?
        .build();
    let queue = QUEUE.get_or_init(Queue::new).clone();
    let appender = QueueAppend {
        queue: queue.clone(),
        layout: LogfmtLayout::default(),
    };
    let logger = logforth::core::builder()
        .dispatch(|d| d.filter(filter).append(appender))
        .build();
    log::set_boxed_logger(Box::new(LogBridge::new(logger)))
        .map_err(|_| Error::invalid("logging was started before"))?;
    log::set_max_level(log::LevelFilter::Trace);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || queue.drain_to(std::io::stdout()))
        .map_err(|e| Error::io("start the log writer", e))?;
    Ok(())
}

/// Flushes the queued lines with a bounded wait, before the process ends.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        queue.wait_empty(FLUSH_TIMEOUT);
    }
}

/// A queue of log lines for the writer, bounded in rate and size.
#[derive(Debug)]
pub struct Queue {
    state: Mutex<State>,
    filled: Condvar,
    emptied: Condvar,
    start: Instant,
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    writing: bool,
    second: u64,
    served: u32,
    others: u32,
    dropped: BTreeMap<String, u64>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new() -> Arc<Queue> {
        Arc::new(Queue {
            state: Mutex::default(),
            filled: Condvar::new(),
            emptied: Condvar::new(),
            start: Instant::now(),
        })
    }

    /// Adds the line of `event`, without the newline, or drops and counts it; never waits for the
    /// writer.
    pub fn push(&self, event: &str, line: &[u8]) {
        let second = self.start.elapsed().as_secs();
        let mut state = self.lock();
        if state.second != second {
            state.second = second;
            (state.served, state.others) = (0, 0);
            state.report_dropped();
        }
        let was_empty = state.bytes.is_empty();
        if state.admits(event) && state.bytes.len() + line.len() < QUEUE_MAX_BYTES {
            state.bytes.extend_from_slice(line);
            state.bytes.push(b'\n');
        } else {
            *state.dropped.entry(event.to_owned()).or_default() += 1;
        }
        if was_empty && !state.bytes.is_empty() {
            self.filled.notify_one();
        }
    }

    /// Writes lines to `out` until a write fails, which means that the reader has closed it.
    pub fn drain_to(&self, mut out: impl Write) {
        loop {
            let mut state = self.lock();
            while state.bytes.is_empty() {
                state = self
                    .filled
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            std::thread::sleep(BATCH_TIME);
            let mut state = self.lock();
            let batch = std::mem::take(&mut state.bytes);
            state.writing = true;
            drop(state);
            let written = out.write_all(&batch).and_then(|()| out.flush());
            self.lock().writing = false;
            self.emptied.notify_all();
            if written.is_err() {
                return;
            }
        }
    }

    fn wait_empty(&self, limit: Duration) {
        let is_busy = |state: &mut State| state.writing || !state.bytes.is_empty();
        // After the timeout the process may end without its last lines.
        let _ = self
            .emptied
            .wait_timeout_while(self.lock(), limit, is_busy)
            .unwrap_or_else(PoisonError::into_inner);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts a line and returns true if its event class is within its rate limit.
    fn admits(&mut self, event: &str) -> bool {
        let (count, max) = match SERVED_EVENTS.binary_search(&event) {
            Ok(_) => (&mut self.served, SERVED_LINES_MAX),
            Err(_) => (&mut self.others, LINES_MAX),
        };
        *count += 1;
        *count <= max
    }

    /// Adds a line with the number of dropped lines by event since the last report.
    fn report_dropped(&mut self) {
        if self.dropped.is_empty() || self.bytes.len() >= QUEUE_MAX_BYTES {
            return;
        }
        self.bytes
            .extend_from_slice(b"level=WARN message=\"log lines dropped\" event=log-dropped");
        for (event, count) in std::mem::take(&mut self.dropped) {
            self.bytes
                .extend_from_slice(format!(" {event}={count}").as_bytes());
        }
        self.bytes.push(b'\n');
    }
}

/// Formats records and passes them to the queue.
#[derive(Debug)]
struct QueueAppend {
    queue: Arc<Queue>,
    layout: LogfmtLayout,
}

/// Extracts the value of the key `event` from a record.
#[derive(Default)]
struct EventName(String);

impl Visitor for EventName {
    fn visit(
        &mut self,
        key: KeyView<'_>,
        value: ValueView<'_>,
    ) -> std::result::Result<(), logforth::Error> {
        if key.to_string() == "event" {
            self.0 = value.to_string();
        }
        Ok(())
    }
}

impl Append for QueueAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> std::result::Result<(), logforth::Error> {
        let mut name = EventName::default();
        record.key_values().visit(&mut name)?;
        let line = self.layout.format(record, diags)?;
        self.queue.push(&name.0, &line);
        Ok(())
    }

    fn flush(&self) -> std::result::Result<(), logforth::Error> {
        self.queue.wait_empty(FLUSH_TIMEOUT);
        Ok(())
    }
}
