//! The slots and queue of a target, with the tasks that wait for a slot.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::admission::{
    Admission, AdmissionQueue, BreakerDecision, Cancelled, CircuitBreaker, Decision, Limits, Load,
    SlotRequest,
};
use crate::fleet::TargetState;
use crate::ids::AttemptId;
use crate::outcome::{Reason, Refusal};
use crate::route::AttemptResult;
use crate::time::{Clock, Monotonic, Time};

/// Longest wait before a waiting task checks its queue again.
const RECHECK: Duration = Duration::from_secs(1);

/// The admission queue and circuit breaker of a target, shared by the tasks of its requests.
#[derive(Debug)]
pub struct TargetQueue {
    clock: Monotonic,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: AdmissionQueue,
    breaker: CircuitBreaker,
    waiting: HashMap<AttemptId, oneshot::Sender<Result<(), Refusal>>>,
}

/// A slot in use; it is released when this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    queue: Arc<TargetQueue>,
    attempt: AttemptId,
    /// True if the time for which the slot is held shows the service time of the target.
    ran: bool,
}

/// A place in the queue; the attempt leaves the queue when this is dropped without a slot.
struct QueueGuard {
    queue: Arc<TargetQueue>,
    attempt: AttemptId,
    granted: bool,
}

impl TargetQueue {
    /// Creates the queue of a target; a cold one opens its slots gradually (slow start).
    pub fn new(clock: Monotonic, limits: Limits, cold: bool) -> Arc<TargetQueue> {
        let state = State {
            queue: AdmissionQueue::new(clock.now(), limits, cold),
            breaker: CircuitBreaker::default(),
            waiting: HashMap::new(),
        };
        Arc::new(TargetQueue {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Waits for a slot; dropping the future leaves the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the queue; the request did not run.
    pub async fn enter(self: &Arc<Self>, request: SlotRequest) -> Result<SlotGuard, Refusal> {
        let attempt = request.attempt;
        let (sender, receiver) = oneshot::channel();
        match self.admit(request, sender) {
            Admission::Run => Ok(self.slot(attempt)),
            Admission::Refused(refusal) => Err(refusal),
            Admission::Queued => {
                let guard = QueueGuard {
                    queue: self.clone(),
                    attempt,
                    granted: false,
                };
                guard.wait(receiver).await
            }
        }
    }

    /// Checks the circuit breaker of the target.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the breaker rejects the request.
    pub fn check_breaker(
        &self,
        attempt: AttemptId,
        idempotent: bool,
        forced: bool,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        match self.lock().breaker.admit(now, attempt, idempotent, forced) {
            BreakerDecision::Allow => Ok(()),
            BreakerDecision::Reject(delay) => Err(Refusal::after(Reason::Suspect, delay)),
        }
    }

    /// Returns true if the circuit breaker is open.
    pub fn is_breaker_open(&self) -> bool {
        self.lock().breaker.is_open()
    }

    /// Records the result of an attempt that was dispatched at `started`; returns true if it opened
    /// the circuit breaker.
    pub fn record_result(&self, attempt: AttemptId, started: Time, result: AttemptResult) -> bool {
        let now = self.clock.now();
        let breaker = &mut self.lock().breaker;
        match result {
            AttemptResult::Success => {
                breaker.record_success(attempt);
                false
            }
            AttemptResult::Cancelled => {
                breaker.record_cancel(attempt);
                false
            }
            AttemptResult::Failed | AttemptResult::TimedOut | AttemptResult::Cut => {
                breaker.record_failure(now, attempt, started)
            }
        }
    }

    fn slot(self: &Arc<Self>, attempt: AttemptId) -> SlotGuard {
        SlotGuard {
            queue: self.clone(),
            attempt,
            ran: false,
        }
    }

    /// Applies changed limits.
    pub fn set_limits(&self, limits: Limits) {
        let mut state = self.lock();
        let decisions = state.queue.set_limits(self.clock.now(), limits);
        state.carry_out(decisions);
    }

    /// Returns the state to publish.
    pub fn state(&self) -> TargetState {
        self.lock().queue.state(self.clock.now())
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        self.lock().queue.load(self.clock.now())
    }

    fn admit(
        &self,
        request: SlotRequest,
        sender: oneshot::Sender<Result<(), Refusal>>,
    ) -> Admission {
        let mut state = self.lock();
        let attempt = request.attempt;
        let admission = state.queue.admit(self.clock.now(), request);
        if admission == Admission::Queued {
            state.waiting.insert(attempt, sender);
        }
        admission
    }

    fn finish(&self, attempt: AttemptId, ran: bool) {
        let mut state = self.lock();
        let now = self.clock.now();
        let decisions = match ran {
            true => state.queue.finish(now, attempt),
            false => state.queue.release(now, attempt),
        };
        state.carry_out(decisions);
    }

    /// Cancels an attempt that is queued or has just been granted a slot.
    fn cancel(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.waiting.remove(&attempt);
        if state.queue.cancel(now, attempt) == Cancelled::Running {
            let decisions = state.queue.release(now, attempt);
            state.carry_out(decisions);
        }
    }

    fn expire(&self) {
        let mut state = self.lock();
        let decisions = state.queue.expire(self.clock.now());
        state.carry_out(decisions);
    }

    /// Returns the time until the queue must be checked again.
    fn until_expiry(&self) -> Duration {
        let next = self.lock().queue.next_expiry();
        next.map_or(RECHECK, |at| at.since(self.clock.now()).min(RECHECK))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn carry_out(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (attempt, result) = match decision {
                Decision::Run(attempt) => (attempt, Ok(())),
                Decision::Refuse(attempt, refusal) => (attempt, Err(refusal)),
            };
            if let Some(sender) = self.waiting.remove(&attempt) {
                // A task that has just been cancelled releases its slot when its guard is dropped.
                let _ = sender.send(result);
            }
        }
    }
}

impl SlotGuard {
    /// Records that the target served the attempt, or took too long to.
    ///
    /// The times of refused attempts and of errors say nothing about the service time; both come
    /// at once.
    pub fn mark_ran(&mut self) {
        self.ran = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.finish(self.attempt, self.ran);
    }
}

impl QueueGuard {
    async fn wait(
        mut self,
        mut receiver: oneshot::Receiver<Result<(), Refusal>>,
    ) -> Result<SlotGuard, Refusal> {
        loop {
            let expiry = tokio::time::sleep(self.queue.until_expiry());
            let decided = tokio::select! {
                decided = &mut receiver => decided,
                () = expiry => {
                    self.queue.expire();
                    continue;
                }
            };
            decided.unwrap_or(Err(Refusal::new(Reason::Deadline)))?;
            self.granted = true;
            return Ok(self.queue.slot(self.attempt));
        }
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if !self.granted {
            self.queue.cancel(self.attempt);
        }
    }
}
