//! Measurement of the attempts at a target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::fleet::Health;
use crate::ids::AttemptId;
use crate::node::slots::TargetQueue;
use crate::outcome::{Outcome, Reason};
use crate::route::{AttemptResult, Meter};
use crate::time::{Clock, Monotonic, Time};

/// The meter of one target, shared by the tasks of its requests.
#[derive(Debug)]
pub struct TargetMeter {
    clock: Monotonic,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    meter: Meter,
    published: Health,
}

/// A dispatched attempt; its end is measured when this is dropped.
#[derive(Debug)]
pub struct MeasuredAttempt {
    meter: Arc<TargetMeter>,
    attempt: AttemptId,
    kind: String,
    result: AttemptResult,
    queue: Arc<TargetQueue>,
    started: Time,
}

impl TargetMeter {
    /// Creates a meter without samples.
    pub fn new(clock: Monotonic) -> Arc<TargetMeter> {
        let state = State {
            meter: Meter::new(clock.now()),
            published: Health::default(),
        };
        Arc::new(TargetMeter {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Counts an attempt of the given kind that is dispatched now; its result is also reported to
    /// `queue`.
    ///
    /// It counts as cancelled by the caller until a result is set.
    pub fn start(
        self: &Arc<Self>,
        queue: &Arc<TargetQueue>,
        attempt: AttemptId,
        kind: &str,
    ) -> MeasuredAttempt {
        let started = self.clock.now();
        self.lock().meter.start(started, attempt);
        MeasuredAttempt {
            meter: self.clone(),
            attempt,
            kind: kind.to_owned(),
            result: AttemptResult::Cancelled,
            queue: queue.clone(),
            started,
        }
    }

    /// Returns the health to publish; it changes only in steps large enough to matter.
    pub fn published(&self) -> Health {
        let mut state = self.lock();
        if let Some(health) = state.meter.publish(self.clock.now()) {
            state.published = health;
        }
        state.published.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MeasuredAttempt {
    /// Sets the result of the attempt.
    pub fn set(&mut self, result: AttemptResult) {
        self.result = result;
    }

    /// Sets the result of an attempt that ended without a response.
    pub fn set_outcome(&mut self, outcome: &Outcome) {
        self.result = match outcome {
            Outcome::Response => AttemptResult::Success,
            Outcome::NotRun(refusal) if refusal.reason == Reason::Connect => AttemptResult::Failed,
            Outcome::NotRun(_) => AttemptResult::Cancelled,
            Outcome::Unknown(Reason::Timeout) => AttemptResult::TimedOut,
            // The caller's body failed.
            Outcome::Unknown(Reason::BadRequest) => AttemptResult::Cancelled,
            Outcome::Unknown(_) => AttemptResult::Failed,
        };
    }
}

impl Drop for MeasuredAttempt {
    fn drop(&mut self) {
        if self
            .queue
            .record_result(self.attempt, self.started, self.result)
        {
            log::info!(
                event = "breaker-opened", attempt:% = self.attempt, result:? = self.result;
                "circuit breaker opened; requests are refused"
            );
        }
        let now = self.meter.clock.now();
        let mut state = self.meter.lock();
        state.meter.end(now, self.attempt, &self.kind, self.result);
    }
}
