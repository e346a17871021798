//! Tracking of requests in flight and of the stages of a drain.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::drain::{DrainTimes, RequestEnd, RequestTimes};
use crate::ids::RequestId;
use crate::outcome::Refusal;

/// Stage of a node's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// The node is not draining.
    Serving,
    /// The node announces that it leaves but still accepts requests.
    Leaving,
    /// The node refuses new requests.
    Refusing,
}

/// The part of a node that handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// The node that the caller is connected to.
    Ingress,
    /// The node on the target's VM.
    Egress,
}

impl Hop {
    /// Returns the name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Hop::Ingress => "ingress",
            Hop::Egress => "egress",
        }
    }
}

/// How many requests a drain took, refused and ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainCounts {
    /// Requests taken after the stop signal.
    pub taken: usize,
    /// Requests refused because of the drain.
    pub refused: usize,
    /// Requests that were ended without a response of a target.
    pub ended: usize,
    /// Responses that were broken off.
    pub cut: usize,
}

/// A counter of requests in flight, shared with the drain stage of the node.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: AtomicUsize,
    idle: Notify,
    drain: OnceLock<Drain>,
    times: Mutex<RequestTimes>,
    ended: CancellationToken,
    aborted: CancellationToken,
    taken: AtomicUsize,
    refused: AtomicUsize,
    ended_count: AtomicUsize,
    cut: AtomicUsize,
}

/// The drain of a node.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Time of the stop signal.
    pub signal: Instant,
    /// The times after it.
    pub times: DrainTimes,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    inner: Arc<Inner>,
    entered: Instant,
    /// The request whose response is being passed on.
    response: Option<PendingResponse>,
}

/// A response that is being passed on.
#[derive(Debug)]
struct PendingResponse {
    hop: Hop,
    request: RequestId,
    kind: String,
}

impl InFlight {
    /// Counts one more request in flight.
    pub fn enter(&self) -> InFlightGuard {
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            inner: self.inner.clone(),
            entered: Instant::now(),
            response: None,
        }
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Returns the stage of the drain.
    ///
    /// A request must enter before it checks the stage. Otherwise a drain that found no request in
    /// flight could miss one that is still accepted.
    pub fn stage(&self) -> DrainStage {
        match self.drain() {
            None => DrainStage::Serving,
            Some(drain) if drain.signal.elapsed() < drain.times.take => DrainStage::Leaving,
            Some(_) => DrainStage::Refusing,
        }
    }

    /// Starts a drain; returns false if it has started before.
    pub fn begin_drain(&self, times: DrainTimes) -> bool {
        let signal = Instant::now();
        self.inner.drain.set(Drain { signal, times }).is_ok()
    }

    /// Returns the drain, if it has started.
    pub fn drain(&self) -> Option<Drain> {
        self.inner.drain.get().copied()
    }

    /// Checks whether a request of this kind, whose caller waits for `left`, can end before the end
    /// of the drain.
    ///
    /// # Errors
    ///
    /// As [`DrainTimes::check`].
    pub fn check(&self, hop: Hop, kind: &str, left: Option<Duration>) -> Result<(), Refusal> {
        let Some(drain) = self.drain() else {
            return Ok(());
        };
        let estimate = match hop {
            Hop::Ingress => self.times().likely(kind),
            Hop::Egress => self.times().usual(kind),
        };
        let request = RequestEnd { left, estimate };
        let checked = drain.times.check(drain.signal.elapsed(), request);
        checked.inspect_err(|_| self.count_refused())
    }

    /// Returns the refusal of a new request if the drain takes no more.
    pub fn check_stage(&self) -> Result<(), Refusal> {
        match self.drain() {
            Some(drain) if drain.signal.elapsed() >= drain.times.take => {
                self.count_refused();
                Err(drain.times.refusal(drain.signal.elapsed()))
            }
            _ => Ok(()),
        }
    }

    fn times(&self) -> MutexGuard<'_, RequestTimes> {
        self.inner.lock_times()
    }

    /// Counts a request that is taken although the node drains.
    pub fn count_taken(&self) {
        if self.drain().is_some() {
            self.inner.taken.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a request that is refused because the node drains.
    fn count_refused(&self) {
        self.inner.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns what the drain did so far.
    pub fn counts(&self) -> DrainCounts {
        let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        DrainCounts {
            taken: load(&self.inner.taken),
            refused: load(&self.inner.refused),
            ended: load(&self.inner.ended_count),
            cut: load(&self.inner.cut),
        }
    }

    /// Ends the requests that are still in flight at the limit of a drain.
    pub fn end_requests(&self) {
        self.inner.ended.cancel();
    }

    /// Waits until [`InFlight::end_requests`] is called.
    pub async fn ended(&self) {
        self.inner.ended.cancelled().await;
    }

    /// Marks the responses that aren't complete from now on as cut by the drain.
    pub fn abort_responses(&self) {
        self.inner.aborted.cancel();
    }

    /// Waits until [`InFlight::abort_responses`] is called.
    pub async fn aborted(&self) {
        self.inner.aborted.cancelled().await;
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        loop {
            let notified = self.inner.idle.notified();
            if self.running() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Inner {
    fn lock_times(&self) -> MutexGuard<'_, RequestTimes> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlightGuard {
    /// Logs and counts a request that the drain ends without a response of its target.
    pub fn log_ended(&self, hop: Hop, request: RequestId) {
        self.inner.ended_count.fetch_add(1, Ordering::Relaxed);
        self.log_cut(hop, request, "waiting");
    }

    /// Starts to pass on the response to `request`, whose route is `kind`; it counts as cut unless it
    /// is completed.
    pub fn begin_response(&mut self, hop: Hop, request: RequestId, kind: &str) {
        let kind = kind.to_owned();
        self.response = Some(PendingResponse { hop, request, kind });
    }

    /// Completes the response and records how long the request took.
    pub fn complete(&mut self) {
        if let Some(response) = self.response.take() {
            let time = self.entered.elapsed();
            self.inner.lock_times().record(&response.kind, time);
        }
    }

    fn log_cut(&self, hop: Hop, request: RequestId, stage: &str) {
        let drain = self.inner.drain.get();
        let taken = drain.map(|d| signed_ms(d.signal, self.entered));
        let since = drain.map(|d| d.signal.elapsed().as_millis() as u64);
        log::warn!(
            event = "drain-cut", request:% = request, hop = hop.name(), stage,
            age_ms = self.entered.elapsed().as_millis() as u64, taken_ms = taken, ms = since;
            "request ended by the drain"
        );
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(response) = &self.response
            && self.inner.aborted.is_cancelled()
        {
            self.inner.cut.fetch_add(1, Ordering::Relaxed);
            self.log_cut(response.hop, response.request, "response");
        }
        if self.inner.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.inner.idle.notify_waiters();
        }
    }
}

/// Returns the milliseconds from `start` to `at`, which may come first.
fn signed_ms(start: Instant, at: Instant) -> i64 {
    match at.checked_duration_since(start) {
        Some(time) => time.as_millis() as i64,
        None => -(start.duration_since(at).as_millis() as i64),
    }
}
