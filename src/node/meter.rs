//! Measurement of the attempts at one target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::fleet::Health;
use crate::ids::AttemptId;
use crate::node::slots::TargetGate;
use crate::outcome::{Outcome, Reason};
use crate::route::{Meter, Verdict};
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

/// An attempt that was handed over; its end is measured when this is dropped.
#[derive(Debug)]
pub struct MeasuredAttempt {
    meter: Arc<TargetMeter>,
    attempt: AttemptId,
    kind: String,
    verdict: Verdict,
    gate: Arc<TargetGate>,
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

    /// Counts an attempt of the given kind that is handed over now, and tells `gate` how it ends.
    ///
    /// Until it is told otherwise, it counts as withdrawn by the caller.
    pub fn start(
        self: &Arc<Self>,
        gate: &Arc<TargetGate>,
        attempt: AttemptId,
        kind: &str,
    ) -> MeasuredAttempt {
        let started = self.clock.now();
        self.lock().meter.start(started, attempt);
        MeasuredAttempt {
            meter: self.clone(),
            attempt,
            kind: kind.to_owned(),
            verdict: Verdict::Withdrawn,
            gate: gate.clone(),
            started,
        }
    }

    /// Returns the health to publish; it changes only in steps that are worth telling.
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
    /// Sets how the attempt ends.
    pub fn set(&mut self, verdict: Verdict) {
        self.verdict = verdict;
    }

    /// Sets the end of an attempt without an answer.
    pub fn set_outcome(&mut self, outcome: &Outcome) {
        self.verdict = match outcome {
            Outcome::Answer => Verdict::Whole,
            Outcome::NotRun(refusal) if refusal.reason == Reason::Connect => Verdict::Failed,
            Outcome::NotRun(_) => Verdict::Withdrawn,
            Outcome::Unknown(Reason::Timeout) => Verdict::TimedOut,
            // The caller's own body broke.
            Outcome::Unknown(Reason::BadRequest) => Verdict::Withdrawn,
            Outcome::Unknown(_) => Verdict::Failed,
        };
    }
}

impl Drop for MeasuredAttempt {
    fn drop(&mut self) {
        if self
            .gate
            .record_result(self.attempt, self.started, self.verdict)
        {
            log::info!(
                event = "target-suspect", attempt:% = self.attempt, verdict:? = self.verdict;
                "target has failed; requests are held back"
            );
        }
        let now = self.meter.clock.now();
        let mut state = self.meter.lock();
        state.meter.end(now, self.attempt, &self.kind, self.verdict);
    }
}
