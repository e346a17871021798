//! The gate of one target with the tasks that wait at it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::fleet::TargetState;
use crate::gate::{Breaker, Cancelled, Decision, Gate, Limits, Load, Offer, Offered, Passage};
use crate::ids::AttemptId;
use crate::outcome::{Reason, Refusal};
use crate::route::Verdict;
use crate::time::{Clock, Monotonic, Time};

/// Longest wait before a waiting task asks its gate again.
const RECHECK: Duration = Duration::from_secs(1);

/// The gate of one target, shared by the tasks of its requests.
#[derive(Debug)]
pub struct TargetGate {
    clock: Monotonic,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    breaker: Breaker,
    waiting: HashMap<AttemptId, oneshot::Sender<Result<(), Refusal>>>,
}

/// A slot in use; it is free again when this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    gate: Arc<TargetGate>,
    attempt: AttemptId,
}

/// A guard in the queue; it is left when this is dropped.
struct QueueGuard {
    gate: Arc<TargetGate>,
    attempt: AttemptId,
    left: bool,
}

impl TargetGate {
    /// Creates the gate of a target; a cold one opens its slots step by step.
    pub fn new(clock: Monotonic, limits: Limits, cold: bool) -> Arc<TargetGate> {
        let state = State {
            gate: Gate::new(clock.now(), limits, cold),
            breaker: Breaker::default(),
            waiting: HashMap::new(),
        };
        Arc::new(TargetGate {
            clock,
            state: Mutex::new(state),
        })
    }

    /// Waits for a slot; dropping the future leaves the queue.
    ///
    /// # Errors
    ///
    /// Returns the gate's refusal; the request did not run then.
    pub async fn enter(self: &Arc<Self>, offer: Offer) -> Result<SlotGuard, Refusal> {
        let attempt = offer.attempt;
        let (sender, receiver) = oneshot::channel();
        match self.offer(offer, sender) {
            Offered::Run => Ok(self.slot(attempt)),
            Offered::Refused(refusal) => Err(refusal),
            Offered::Queued => {
                let guard = QueueGuard {
                    gate: self.clone(),
                    attempt,
                    left: false,
                };
                guard.wait(receiver).await
            }
        }
    }

    /// Asks whether the target has just failed.
    ///
    /// # Errors
    ///
    /// Refuses a request that is kept from the target.
    pub fn check_breaker(
        &self,
        attempt: AttemptId,
        repeatable: bool,
        forced: bool,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        match self.lock().breaker.admit(now, attempt, repeatable, forced) {
            Passage::Pass => Ok(()),
            Passage::Held(delay) => Err(Refusal::after(Reason::Suspect, delay)),
        }
    }

    /// Returns the refusal of a request that would be kept from the target now.
    pub fn is_tripped(&self) -> bool {
        self.lock().breaker.is_tripped()
    }

    /// Takes in how an attempt that was handed over at `started` ended at the target; returns true
    /// if requests are kept from it from now on.
    pub fn record_result(&self, attempt: AttemptId, started: Time, verdict: Verdict) -> bool {
        let now = self.clock.now();
        let breaker = &mut self.lock().breaker;
        match verdict {
            Verdict::Whole => {
                breaker.succeed(attempt);
                false
            }
            Verdict::Withdrawn => {
                breaker.cancel(attempt);
                false
            }
            Verdict::Failed | Verdict::TimedOut | Verdict::Cut => {
                breaker.fail(now, attempt, started)
            }
        }
    }

    fn slot(self: &Arc<Self>, attempt: AttemptId) -> SlotGuard {
        SlotGuard {
            gate: self.clone(),
            attempt,
        }
    }

    /// Takes over changed limits.
    pub fn set_limits(&self, limits: Limits) {
        let mut state = self.lock();
        let decisions = state.gate.set_limits(self.clock.now(), limits);
        state.carry_out(decisions);
    }

    /// Returns the state to publish.
    pub fn state(&self) -> TargetState {
        self.lock().gate.state(self.clock.now())
    }

    /// Returns the present load.
    pub fn load(&self) -> Load {
        self.lock().gate.load(self.clock.now())
    }

    fn offer(&self, offer: Offer, sender: oneshot::Sender<Result<(), Refusal>>) -> Offered {
        let mut state = self.lock();
        let attempt = offer.attempt;
        let offered = state.gate.offer(self.clock.now(), offer);
        if offered == Offered::Queued {
            state.waiting.insert(attempt, sender);
        }
        offered
    }

    fn finish(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let decisions = state.gate.finish(self.clock.now(), attempt);
        state.carry_out(decisions);
    }

    /// Withdraws an attempt that waits or has just been given a slot.
    fn leave(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.waiting.remove(&attempt);
        if state.gate.cancel(now, attempt) == Cancelled::Running {
            let decisions = state.gate.finish(now, attempt);
            state.carry_out(decisions);
        }
    }

    fn expire(&self) {
        let mut state = self.lock();
        let decisions = state.gate.expire(self.clock.now());
        state.carry_out(decisions);
    }

    /// Returns the time until the gate wants to be asked again.
    fn until_expiry(&self) -> Duration {
        let next = self.lock().gate.next_expiry();
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
                // A task that has just gone gives its slot back when its guard is dropped.
                let _ = sender.send(result);
            }
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.gate.finish(self.attempt);
    }
}

impl QueueGuard {
    async fn wait(
        mut self,
        mut receiver: oneshot::Receiver<Result<(), Refusal>>,
    ) -> Result<SlotGuard, Refusal> {
        loop {
            let expiry = tokio::time::sleep(self.gate.until_expiry());
            let decided = tokio::select! {
                decided = &mut receiver => decided,
                () = expiry => {
                    self.gate.expire();
                    continue;
                }
            };
            decided.unwrap_or(Err(Refusal::new(Reason::Deadline)))?;
            self.left = true;
            return Ok(self.gate.slot(self.attempt));
        }
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if !self.left {
            self.gate.leave(self.attempt);
        }
    }
}
