//! Admission control of one target: its slots, its fair queue and its circuit breaker.
//!
//! The egress passes each request to the [`AdmissionQueue`] of its target, which runs it, queues it
//! or refuses it at once. Only the queue records whether a request was dispatched to the target.

mod circuit_breaker;
mod fair;
mod limits;
mod request;

use std::collections::VecDeque;
use std::time::Duration;

pub use self::circuit_breaker::{BreakerDecision, CircuitBreaker};
use self::fair::{Charge, FairQueue, Waiting};
use self::limits::WarmUp;
pub use self::limits::{Limits, WARM_UP};
pub use self::request::SlotRequest;

use crate::fleet::TargetState;
use crate::ids::AttemptId;
use crate::outcome::{Reason, Refusal};
use crate::time::Time;

/// The result of [`AdmissionQueue::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot; dispatch it to the target.
    Run,
    /// The request waits; a later [`Decision`] runs or refuses it.
    Queued,
    /// The request did not run and does not wait.
    Refused(Refusal),
}

/// A decision on a queued attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt has got a slot; dispatch it to the target.
    Run(AttemptId),
    /// The attempt left the queue and did not run.
    Refuse(AttemptId, Refusal),
}

/// The result of [`AdmissionQueue::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The attempt left the queue before it was dispatched and did not run.
    Removed,
    /// The attempt was dispatched and holds its slot until [`AdmissionQueue::finish`].
    Running,
    /// The attempt is unknown or has ended.
    Absent,
}

/// The load of a target, as responses carry it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Slots that are open.
    pub slots: u32,
    /// Moving average of the service time.
    pub service_time: Duration,
}

/// Queue places for each slot.
const QUEUE_PER_SLOT: usize = 16;

/// Minimum number of queue places.
///
/// At a utilization of 90 % the probability of a longer queue falls by a tenth with each place,
/// whatever the number of slots, so 66 places lose one request in a thousand. An account above its
/// rate may hold up to half of the queue beside them. The deadline of each request bounds its wait.
const QUEUE_MIN: usize = 128;

/// Divisor of the queue places, for the part that anonymous requests may fill.
const ANONYMOUS_QUEUE_DIVISOR: usize = 4;

/// Divisor of the slots, for the part that anonymous requests may hold.
const ANONYMOUS_SLOTS_DIVISOR: usize = 2;

/// Weight of the newest service time in the moving average.
const SERVICE_TIME_GAIN: f64 = 0.05;

/// Service time assumed before the first request has ended.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(25);

/// Minimum retry delay of a refusal.
const MIN_RETRY: Duration = Duration::from_millis(5);

/// Divisor of an expected wait, for the time by which it may be longer: calls and requests of other
/// flows that come later may go first.
const WAIT_MARGIN_DIVISOR: u32 = 2;

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct Running {
    attempt: AttemptId,
    since: Time,
    /// The charge to its flow, or `None` for a call or an anonymous request.
    charge: Option<Charge>,
    anonymous: bool,
    kind: String,
}

/// The mean service time of one kind of request.
#[derive(Clone, Debug)]
struct KindMean {
    kind: String,
    mean: Duration,
}

/// Maximum number of kinds with a mean of their own; others use the mean of all.
const KINDS_MAX: usize = 64;

/// The slots and the queue of one target.
///
/// Attempt ids must be unique; the caller must drop duplicates.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use laburnumtide::admission::{AdmissionQueue, Limits, SlotRequest, Admission};
/// use laburnumtide::prelude::*;
///
/// let now = Time::from_millis(1_000);
/// let limits = Limits { slots: Slots(1), connections: 10 };
/// let mut queue = AdmissionQueue::new(now, limits, false);
/// let request = |n| SlotRequest {
///     attempt: AttemptId(n),
///     account: Some("bank".parse().unwrap()),
///     weight: Rate::per_sec(10),
///     kind: String::new(),
///     priority: 0,
///     is_call: false,
///     deadline: Time::from_millis(9_000),
///     objective: None,
///     wait_max: Duration::MAX,
/// };
/// assert_eq!(queue.admit(now, request(1)), Admission::Run);
/// assert_eq!(queue.admit(now, request(2)), Admission::Queued);
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    warm_up: WarmUp,
    draining: bool,
    running: Vec<Running>,
    /// Waiting calls, which go first: a slot elsewhere is in use until its calls end, and the work of
    /// that request is lost with a refused call.
    calls: VecDeque<Waiting>,
    /// Waiting requests of accounts, and the shares of the slots that the accounts have used.
    fair_queue: FairQueue,
    anonymous_queue: VecDeque<Waiting>,
    service_time: Option<Duration>,
    /// Sorted by kind.
    kinds: Vec<KindMean>,
    last_call: Time,
}

impl AdmissionQueue {
    /// Creates the admission queue of a target that was first seen at `now`.
    ///
    /// A cold target opens part of its slots at first and all of them after [`WARM_UP`].
    pub fn new(now: Time, limits: Limits, cold: bool) -> AdmissionQueue {
        AdmissionQueue {
            warm_up: WarmUp::new(now, limits, cold),
            draining: false,
            running: Vec::new(),
            calls: VecDeque::new(),
            fair_queue: FairQueue::default(),
            anonymous_queue: VecDeque::new(),
            service_time: None,
            kinds: Vec::new(),
            last_call: now,
        }
    }

    /// Runs a request, queues it or refuses it at once.
    pub fn admit(&mut self, now: Time, request: SlotRequest) -> Admission {
        self.last_call = now;
        if self.draining {
            return Admission::Refused(Refusal::new(Reason::Draining));
        }
        if self.is_late(now, request.deadline, &request.kind) {
            return Admission::Refused(self.late_refusal(now, &request, Duration::ZERO));
        }
        if self.has_free_slot(now, request.is_anonymous()) && self.is_next(&request) {
            self.start_request(now, &request);
            return Admission::Run;
        }
        match self.refusal(now, &request) {
            Some(refusal) => Admission::Refused(refusal),
            None => {
                let wait = self.wait_behind(now, self.ahead_of(now, &request));
                if wait > request.wait_max {
                    return Admission::Refused(Refusal::after(Reason::Busy, wait.max(MIN_RETRY)));
                }
                self.enqueue(now, &request);
                Admission::Queued
            }
        }
    }

    /// Frees the slot of an attempt that ran, records its service time and returns the decisions on
    /// queued attempts.
    pub fn finish(&mut self, now: Time, attempt: AttemptId) -> Vec<Decision> {
        if let Some(ended) = self.running.iter().find(|r| r.attempt == attempt) {
            let (kind, real) = (ended.kind.clone(), now.since(ended.since));
            self.record_service_time(&kind, real);
        }
        self.release(now, attempt)
    }

    /// Frees the slot of an attempt whose time shows nothing about the service time, and returns the
    /// decisions on queued attempts.
    pub fn release(&mut self, now: Time, attempt: AttemptId) -> Vec<Decision> {
        if let Some(at) = self.running.iter().position(|r| r.attempt == attempt) {
            let ended = self.running.swap_remove(at);
            if let Some(charge) = &ended.charge {
                self.fair_queue.settle(charge, now.since(ended.since));
            }
        }
        let decisions = self.expire(now);
        if self.is_idle() {
            self.fair_queue.reset();
        }
        decisions
    }

    /// Cancels an attempt unless it was dispatched.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) -> Cancelled {
        self.last_call = now;
        if self.running.iter().any(|r| r.attempt == attempt) {
            return Cancelled::Running;
        }
        let before = self.queued();
        self.calls.retain(|w| w.attempt != attempt);
        self.anonymous_queue.retain(|w| w.attempt != attempt);
        if self.fair_queue.remove(attempt) || self.queued() < before {
            return Cancelled::Removed;
        }
        Cancelled::Absent
    }

    /// Refuses queued requests that can't meet their deadline any more and fills free slots.
    pub fn expire(&mut self, now: Time) -> Vec<Decision> {
        self.last_call = now;
        let mut decisions = self.drop_late(now);
        while let Some(attempt) = self.start_next(now) {
            decisions.push(Decision::Run(attempt));
        }
        decisions
    }

    /// Returns when [`AdmissionQueue::expire`] is due, if any request waits.
    pub fn next_expiry(&self) -> Option<Time> {
        let unordered = self.calls.iter().chain(&self.anonymous_queue);
        let first = unordered
            .map(Waiting::expiry)
            .chain(self.fair_queue.first_expiry())
            .min()?;
        let growth = self.warm_up.next_step(self.last_call);
        Some(growth.map_or(first, |t| t.min(first)))
    }

    /// Changes the limits; running requests keep their slots.
    pub fn set_limits(&mut self, now: Time, limits: Limits) -> Vec<Decision> {
        self.warm_up.limits = limits;
        self.expire(now)
    }

    /// Refuses new requests from now on; running and queued ones continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the state to publish in the node record.
    pub fn state(&self, now: Time) -> TargetState {
        if self.draining {
            TargetState::Draining
        } else if self.warm_up.is_cold(now) {
            TargetState::Cold
        } else {
            TargetState::Ready
        }
    }

    /// Returns true if no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queued() == 0
    }

    /// Returns the load at `now`.
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queued() as u32,
            slots: self.warm_up.slots(now) as u32,
            service_time: self.service_time(now),
        }
    }

    fn queued(&self) -> usize {
        self.calls.len() + self.fair_queue.len() + self.anonymous_queue.len()
    }

    fn has_free_slot(&self, now: Time, anonymous: bool) -> bool {
        let slots = self.warm_up.slots(now);
        let free = self.running.len() < slots;
        free && (!anonymous || self.anonymous_running() < anonymous_slots(slots))
    }

    fn anonymous_running(&self) -> usize {
        self.running.iter().filter(|r| r.anonymous).count()
    }

    /// Returns true if no waiting request goes before `request`.
    fn is_next(&self, request: &SlotRequest) -> bool {
        if !self.calls.is_empty() || request.is_call {
            return self.calls.is_empty();
        }
        let of_account = request.account.is_some();
        self.fair_queue.len() == 0 && (of_account || self.anonymous_queue.is_empty())
    }

    /// Returns the mean service time, or the mean age of the running requests if that is longer, so
    /// that a target that hangs does not look fast.
    fn service_time(&self, now: Time) -> Duration {
        let measured = self.service_time.unwrap_or(ASSUMED_SERVICE_TIME);
        let ages: Duration = self.running.iter().map(|r| now.since(r.since)).sum();
        let mean_age = ages / (self.running.len().max(1) as u32);
        measured.max(mean_age)
    }

    fn record_service_time(&mut self, kind: &str, real: Duration) {
        self.service_time = Some(
            self.service_time
                .map_or(real, |old| moving_average(old, real)),
        );
        match self.kinds.binary_search_by(|k| k.kind.as_str().cmp(kind)) {
            Ok(at) => self.kinds[at].mean = moving_average(self.kinds[at].mean, real),
            Err(at) if self.kinds.len() < KINDS_MAX => {
                let kind = kind.to_owned();
                self.kinds.insert(at, KindMean { kind, mean: real });
            }
            Err(_) => {}
        }
    }

    /// Returns the mean service time of a kind of request, or that of all.
    fn service_time_of(&self, kind: &str) -> Duration {
        let at = self.kinds.binary_search_by(|k| k.kind.as_str().cmp(kind));
        let own = at.ok().map(|at| self.kinds[at].mean);
        own.or(self.service_time).unwrap_or_default()
    }

    /// Returns the expected time until a slot is free for a request behind `ahead` others.
    fn wait_behind(&self, now: Time, ahead: usize) -> Duration {
        let slots = self.warm_up.slots(now).max(1) as u32;
        self.service_time(now) * (ahead as u32 + 1) / slots
    }

    /// Returns true if a request that started now would most likely miss its deadline.
    ///
    /// It must have half the mean service time of its kind left, as many requests take less than
    /// the mean.
    fn is_late(&self, now: Time, deadline: Time, kind: &str) -> bool {
        now + self.service_time_of(kind) / 2 > deadline
    }

    /// Returns the refusal of `request` if it may not wait.
    fn refusal(&self, now: Time, request: &SlotRequest) -> Option<Refusal> {
        let places = (self.warm_up.slots(now) * QUEUE_PER_SLOT).max(QUEUE_MIN);
        let free = places.saturating_sub(self.queued());
        if free == 0 {
            let wait = self.wait_behind(now, self.queued());
            return Some(Refusal::after(Reason::QueueFull, wait.max(MIN_RETRY)));
        }
        let ahead = self.ahead_of(now, request);
        let wait = self.wait_behind(now, ahead).max(MIN_RETRY);
        match &request.account {
            // An account may fill as much of the queue as it leaves free, so that one above its
            // rate always leaves places for the others.
            Some(account) if !request.is_call && self.fair_queue.account_len(account) >= free => {
                return Some(Refusal::after(Reason::AccountShare, wait));
            }
            None if self.anonymous_queue.len() >= (places / ANONYMOUS_QUEUE_DIVISOR).max(1) => {
                return Some(Refusal::after(Reason::OpenLimit, wait));
            }
            _ => {}
        }
        let expected = self.wait_behind(now, ahead);
        let start = now + expected;
        let end = start + expected / WAIT_MARGIN_DIVISOR + self.service_time_of(&request.kind);
        let misses_objective = request.objective.is_some_and(|objective| end > objective);
        let late = misses_objective || self.is_late(start, request.deadline, &request.kind);
        late.then(|| self.late_refusal(now, request, wait))
    }

    /// Returns the number of waiting requests that go before `request`.
    fn ahead_of(&self, now: Time, request: &SlotRequest) -> usize {
        let calls = self.calls.len();
        match &request.flow() {
            _ if request.is_call => calls,
            Some(flow) => {
                let cost = self.service_time(now);
                calls + self.fair_queue.ahead_of(flow, request.queue_weight(), cost)
            }
            None => self.queued(),
        }
    }

    /// Returns the refusal of a request that can't meet its deadline after `wait`.
    ///
    /// It may be retried when the wait has shrunk to what its deadline allows.
    fn late_refusal(&self, now: Time, request: &SlotRequest, wait: Duration) -> Refusal {
        let allowed = request
            .wait_limit()
            .since(now + self.service_time_of(&request.kind) / 2);
        let delay = wait.saturating_sub(allowed);
        // The wait shrinks only when a request ends, so the delay is a whole number of such steps.
        let step = self.wait_behind(now, 0).max(MIN_RETRY);
        let steps = delay.as_micros().div_ceil(step.as_micros()).max(1);
        Refusal::after(Reason::Deadline, step * steps as u32)
    }

    fn enqueue(&mut self, now: Time, request: &SlotRequest) {
        let waiting = Waiting {
            attempt: request.attempt,
            deadline: request.deadline,
            leaves: request.leaves(now),
            kind: request.kind.clone(),
        };
        match &request.flow() {
            _ if request.is_call => self.calls.push_back(waiting),
            Some(flow) => self.fair_queue.push(flow, request.queue_weight(), waiting),
            None => self.anonymous_queue.push_back(waiting),
        }
    }

    fn start_request(&mut self, now: Time, request: &SlotRequest) {
        let cost = self.service_time(now);
        let flow = request.flow().filter(|_| !request.is_call);
        let charge = flow.map(|flow| self.fair_queue.charge(&flow, request.queue_weight(), cost));
        let anonymous = request.is_anonymous();
        self.start(
            now,
            request.attempt,
            request.kind.clone(),
            charge,
            anonymous,
        );
    }

    /// Starts the next waiting request: calls first, then those of accounts before anonymous ones.
    fn start_next(&mut self, now: Time) -> Option<AttemptId> {
        if !self.has_free_slot(now, false) {
            return None;
        }
        if let Some(waiting) = self.calls.pop_front() {
            let attempt = waiting.attempt;
            self.start(now, attempt, waiting.kind, None, false);
            return Some(attempt);
        }
        let cost = self.service_time(now);
        if let Some((waiting, charge)) = self.fair_queue.pop(cost) {
            let attempt = waiting.attempt;
            self.start(now, attempt, waiting.kind, Some(charge), false);
            return Some(attempt);
        }
        if !self.has_free_slot(now, true) {
            return None;
        }
        let waiting = self.anonymous_queue.pop_front()?;
        let attempt = waiting.attempt;
        self.start(now, attempt, waiting.kind, None, true);
        Some(attempt)
    }

    fn start(
        &mut self,
        now: Time,
        attempt: AttemptId,
        kind: String,
        charge: Option<Charge>,
        anonymous: bool,
    ) {
        self.running.push(Running {
            attempt,
            since: now,
            charge,
            anonymous,
            kind,
        });
    }

    fn drop_late(&mut self, now: Time) -> Vec<Decision> {
        let kinds = std::mem::take(&mut self.kinds);
        let all = self.service_time.unwrap_or_default();
        let need = |kind: &str| {
            let at = kinds.binary_search_by(|k| k.kind.as_str().cmp(kind));
            at.map_or(all, |at| kinds[at].mean) / 2
        };
        let retry = self.wait_behind(now, self.queued()).max(MIN_RETRY);
        let mut late = Vec::new();
        let mut keep = |w: &Waiting| {
            let reason = match (now + need(&w.kind) > w.deadline, now >= w.leaves) {
                (true, _) => Reason::Deadline,
                (false, true) => Reason::Busy,
                (false, false) => return true,
            };
            let refusal = Refusal::after(reason, retry);
            late.push(Decision::Refuse(w.attempt, refusal));
            false
        };
        self.calls.retain(&mut keep);
        self.anonymous_queue.retain(&mut keep);
        self.fair_queue.retain(&mut keep);
        self.kinds = kinds;
        late
    }
}

fn moving_average(old: Duration, new: Duration) -> Duration {
    old.mul_f64(1.0 - SERVICE_TIME_GAIN) + new.mul_f64(SERVICE_TIME_GAIN)
}

/// Returns the number of `slots` that anonymous requests may hold.
fn anonymous_slots(slots: usize) -> usize {
    (slots / ANONYMOUS_SLOTS_DIVISOR).max(1)
}
