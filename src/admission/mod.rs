//! The slots and the fair queue of one target.
//!
//! The egress offers each request to the [`AdmissionQueue`] of its target. The gate runs it, queues it or
//! refuses it at once, and is the only place that knows whether a request was handed over.

mod circuit_breaker;
mod fair;
mod limits;

use std::collections::VecDeque;
use std::time::Duration;

pub use self::circuit_breaker::{BreakerDecision, CircuitBreaker};
use self::fair::{Charge, FairQueue, FlowId, Waiting};
use self::limits::Opening;
pub use self::limits::{Limits, WARM_UP};

use crate::fleet::TargetState;
use crate::ids::{AccountName, AttemptId};
use crate::outcome::{Reason, Refusal};
use crate::time::Time;
use crate::units::Rate;

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The client account, or `None` on a route open to all.
    pub account: Option<AccountName>,
    /// The account's rate, or the open rate of the service; it weighs the share of the account.
    pub weight: Rate,
    /// The kind of request, usually the name of its route; kinds differ in service time.
    pub kind: String,
    /// The rank of the request; 0 is the most urgent.
    pub priority: u8,
    /// The time by which the answer must be complete.
    pub deadline: Time,
    /// The time by which an answer has its full worth; a request that waits for a slot is to make
    /// it. None if only the deadline counts.
    pub objective: Option<Time>,
    /// True if the request may wait; otherwise it is refused as busy unless it runs at once.
    pub may_queue: bool,
}

impl SlotRequest {
    fn flow(&self) -> Option<FlowId> {
        let account = self.account.clone()?;
        Some(FlowId {
            account,
            priority: self.priority,
        })
    }

    /// Returns the weight in the queue: that of the account, doubled for each rank of urgency.
    ///
    /// Under load the urgent requests get the larger part and the others are not starved.
    fn queue_weight(&self) -> Rate {
        let rank = self.priority.min(RANK_MAX);
        Rate::from_millis(self.weight.as_millis() << (RANK_MAX - rank))
    }

    /// Returns the time that a wait must leave enough time for.
    fn wait_limit(&self) -> Time {
        self.objective
            .map_or(self.deadline, |objective| objective.min(self.deadline))
    }
}

/// Least urgent rank that is told apart from those above it.
const RANK_MAX: u8 = 8;

/// The answer to an [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot; hand it over to the target.
    Run,
    /// The request waits; a later [`Decision`] names it.
    Queued,
    /// The request did not run and does not wait.
    Refused(Refusal),
}

/// What happens to a queued attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt holds a slot now; hand it over to the target.
    Run(AttemptId),
    /// The attempt left the queue and did not run.
    Refuse(AttemptId, Refusal),
}

/// What became of a cancelled attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It left the queue before hand-over and did not run.
    Removed,
    /// It was handed over and holds its slot until [`AdmissionQueue::finish`].
    Running,
    /// The gate does not know it, or it has ended.
    Absent,
}

/// What a gate tells about itself on answers and in metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Slots open at present.
    pub slots: u32,
    /// Mean service time of late.
    pub service_time: Duration,
}

/// Queue places for each slot.
const QUEUE_PER_SLOT: usize = 16;

/// Least queue places.
///
/// The tail of a queue at 90 % use falls by a tenth with each place, however many slots there are:
/// beside an account that sends too much and holds up to half of the places, 66 others lose one
/// request in a thousand. The deadline of each request bounds its wait.
const QUEUE_MIN: usize = 128;

/// Part of the queue that anonymous requests may fill, as a divisor.
const OPEN_QUEUE_DIVISOR: usize = 4;

/// Part of the slots that anonymous requests may hold, as a divisor.
const OPEN_SLOTS_DIVISOR: usize = 2;

/// Weight of the newest service time in the mean.
const SERVICE_GAIN: f64 = 0.05;

/// Service time that is assumed before the first request has ended.
const ASSUMED_SERVICE: Duration = Duration::from_millis(25);

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(5);

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct Running {
    attempt: AttemptId,
    since: Time,
    /// The charge to its account, or `None` for an anonymous request.
    charge: Option<Charge>,
    kind: String,
}

/// The mean service time of one kind of request.
#[derive(Clone, Debug)]
struct KindTime {
    kind: String,
    mean: Duration,
}

/// Most kinds whose service time is kept apart; further ones count with the mean of all.
const KINDS_MAX: usize = 64;

/// The slots and the queue of one target.
///
/// Attempt ids must be unique; the edge drops repeated ones before it offers them.
///
/// # Examples
///
/// ```
/// use laburnumtide::admission::{AdmissionQueue, Limits, SlotRequest, Admission};
/// use laburnumtide::prelude::*;
///
/// let now = Time::from_millis(1_000);
/// let limits = Limits { slots: Slots(1), connections: 10 };
/// let mut gate = AdmissionQueue::new(now, limits, false);
/// let offer = |n| SlotRequest {
///     attempt: AttemptId(n),
///     account: Some("bank".parse().unwrap()),
///     weight: Rate::per_sec(10),
///     kind: String::new(),
///     priority: 0,
///     deadline: Time::from_millis(9_000),
///     objective: None,
///     may_queue: true,
/// };
/// assert_eq!(gate.admit(now, offer(1)), Admission::Run);
/// assert_eq!(gate.admit(now, offer(2)), Admission::Queued);
/// ```
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    opening: Opening,
    draining: bool,
    running: Vec<Running>,
    accounts: FairQueue,
    open: VecDeque<Waiting>,
    service: Option<Duration>,
    /// Sorted by kind.
    kinds: Vec<KindTime>,
    latest: Time,
}

impl AdmissionQueue {
    /// Creates the gate of a target that was first seen at `now`.
    ///
    /// A cold target opens a part of its slots at first and all of them after [`WARM_UP`].
    pub fn new(now: Time, limits: Limits, cold: bool) -> AdmissionQueue {
        AdmissionQueue {
            opening: Opening::new(now, limits, cold),
            draining: false,
            running: Vec::new(),
            accounts: FairQueue::default(),
            open: VecDeque::new(),
            service: None,
            kinds: Vec::new(),
            latest: now,
        }
    }

    /// Offers a request, which runs, waits or is refused at once.
    pub fn admit(&mut self, now: Time, offer: SlotRequest) -> Admission {
        self.latest = now;
        if self.draining {
            return Admission::Refused(Refusal::new(Reason::Draining));
        }
        if self.is_late(now, offer.deadline, &offer.kind) {
            return Admission::Refused(self.too_late(now, &offer, Duration::ZERO));
        }
        if self.has_room(now, offer.account.is_none()) && self.is_next(&offer) {
            self.start_offer(now, &offer);
            return Admission::Run;
        }
        match self.refusal(now, &offer) {
            Some(refusal) => Admission::Refused(refusal),
            None if !offer.may_queue => {
                let wait = self.wait_behind(now, self.ahead_of(now, &offer));
                Admission::Refused(Refusal::after(Reason::Busy, wait.max(LEAST_RETRY)))
            }
            None => {
                self.enqueue(&offer);
                Admission::Queued
            }
        }
    }

    /// Gives back the slot of an attempt that ended, and decides who takes it.
    pub fn finish(&mut self, now: Time, attempt: AttemptId) -> Vec<Decision> {
        if let Some(at) = self.running.iter().position(|r| r.attempt == attempt) {
            let ended = self.running.swap_remove(at);
            let real = now.since(ended.since);
            self.measure(&ended.kind, real);
            if let Some(charge) = &ended.charge {
                self.accounts.settle(charge, real);
            }
        }
        let decisions = self.expire(now);
        if self.is_idle() {
            self.accounts.reset();
        }
        decisions
    }

    /// Withdraws an attempt.
    pub fn cancel(&mut self, now: Time, attempt: AttemptId) -> Cancelled {
        self.latest = now;
        if self.running.iter().any(|r| r.attempt == attempt) {
            return Cancelled::Running;
        }
        let before = self.queued();
        self.open.retain(|w| w.attempt != attempt);
        if self.accounts.remove(attempt) || self.queued() < before {
            return Cancelled::Removed;
        }
        Cancelled::Absent
    }

    /// Drops queued requests that can no longer meet their deadline and fills free slots.
    pub fn expire(&mut self, now: Time) -> Vec<Decision> {
        self.latest = now;
        let mut decisions = self.drop_late(now);
        while let Some(attempt) = self.start_next(now) {
            decisions.push(Decision::Run(attempt));
        }
        decisions
    }

    /// Returns when [`AdmissionQueue::expire`] is due, if anything waits.
    pub fn next_expiry(&self) -> Option<Time> {
        let open = self.open.iter().map(|w| w.deadline).min();
        let first = open
            .into_iter()
            .chain(self.accounts.first_deadline())
            .min()?;
        let growth = self.opening.next_step(self.latest);
        Some(growth.map_or(first, |t| t.min(first)))
    }

    /// Takes over changed limits; running requests keep their slots.
    pub fn set_limits(&mut self, now: Time, limits: Limits) -> Vec<Decision> {
        self.opening.limits = limits;
        self.expire(now)
    }

    /// Refuses new work from now on; what runs or waits goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the state to publish in the node record.
    pub fn state(&self, now: Time) -> TargetState {
        if self.draining {
            TargetState::Draining
        } else if self.opening.is_cold(now) {
            TargetState::Cold
        } else {
            TargetState::Ready
        }
    }

    /// Returns true if nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queued() == 0
    }

    /// Returns the present load.
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queued() as u32,
            slots: self.opening.slots(now) as u32,
            service_time: self.service(now),
        }
    }

    fn queued(&self) -> usize {
        self.accounts.len() + self.open.len()
    }

    fn has_room(&self, now: Time, open: bool) -> bool {
        let slots = self.opening.slots(now);
        let free = self.running.len() < slots;
        free && (!open || self.open_running() < open_slots(slots))
    }

    fn open_running(&self) -> usize {
        self.running.iter().filter(|r| r.charge.is_none()).count()
    }

    /// Returns true if no waiting request has to go first.
    fn is_next(&self, offer: &SlotRequest) -> bool {
        let of_account = offer.account.is_some();
        self.accounts.len() == 0 && (of_account || self.open.is_empty())
    }

    /// Returns the mean service time; the age of running requests counts, so that a target that
    /// hangs is not taken for a fast one.
    fn service(&self, now: Time) -> Duration {
        let measured = self.service.unwrap_or(ASSUMED_SERVICE);
        let ages: Duration = self.running.iter().map(|r| now.since(r.since)).sum();
        let mean_age = ages / (self.running.len().max(1) as u32);
        measured.max(mean_age)
    }

    fn measure(&mut self, kind: &str, real: Duration) {
        self.service = Some(self.service.map_or(real, |old| blend(old, real)));
        match self.kinds.binary_search_by(|k| k.kind.as_str().cmp(kind)) {
            Ok(at) => self.kinds[at].mean = blend(self.kinds[at].mean, real),
            Err(at) if self.kinds.len() < KINDS_MAX => {
                let kind = kind.to_owned();
                self.kinds.insert(at, KindTime { kind, mean: real });
            }
            Err(_) => {}
        }
    }

    /// Returns the measured service time of a kind of request, or that of all.
    fn service_of(&self, kind: &str) -> Duration {
        let at = self.kinds.binary_search_by(|k| k.kind.as_str().cmp(kind));
        let own = at.ok().map(|at| self.kinds[at].mean);
        own.or(self.service).unwrap_or_default()
    }

    /// Returns the expected time until a slot is free for a request behind `ahead` others.
    fn wait_behind(&self, now: Time, ahead: usize) -> Duration {
        let slots = self.opening.slots(now).max(1) as u32;
        self.service(now) * (ahead as u32 + 1) / slots
    }

    /// Returns true if a request that started now would most likely miss its deadline.
    ///
    /// Half the mean service time of its kind is asked for, since many requests take less.
    fn is_late(&self, now: Time, deadline: Time, kind: &str) -> bool {
        now + self.service_of(kind) / 2 > deadline
    }

    /// Returns why `offer` may not wait, if so.
    fn refusal(&self, now: Time, offer: &SlotRequest) -> Option<Refusal> {
        let most = (self.opening.slots(now) * QUEUE_PER_SLOT).max(QUEUE_MIN);
        let free = most.saturating_sub(self.queued());
        if free == 0 {
            let wait = self.wait_behind(now, self.queued());
            return Some(Refusal::after(Reason::QueueFull, wait.max(LEAST_RETRY)));
        }
        let ahead = self.ahead_of(now, offer);
        let wait = self.wait_behind(now, ahead).max(LEAST_RETRY);
        match &offer.account {
            // An account may fill as much of the queue as it leaves free, so that one that sends
            // too much always leaves room for the others.
            Some(account) if self.accounts.len_of(account) >= free => {
                return Some(Refusal::after(Reason::AccountShare, wait));
            }
            None if self.open.len() >= (most / OPEN_QUEUE_DIVISOR).max(1) => {
                return Some(Refusal::after(Reason::OpenLimit, wait));
            }
            _ => {}
        }
        let start = now + self.wait_behind(now, ahead);
        let late = self.is_late(start, offer.wait_limit(), &offer.kind);
        late.then(|| self.too_late(now, offer, wait))
    }

    /// Returns how many waiting requests go before `offer`.
    fn ahead_of(&self, now: Time, offer: &SlotRequest) -> usize {
        match &offer.flow() {
            Some(flow) => {
                let cost = self.service(now);
                self.accounts.ahead_of(flow, offer.queue_weight(), cost)
            }
            None => self.queued(),
        }
    }

    /// Returns the refusal of a request that can't meet its deadline after `wait`.
    ///
    /// It may come back when the wait has shrunk to what its deadline allows.
    fn too_late(&self, now: Time, offer: &SlotRequest, wait: Duration) -> Refusal {
        let allowed = offer
            .wait_limit()
            .since(now + self.service_of(&offer.kind) / 2);
        let delay = wait.saturating_sub(allowed);
        // The wait shrinks only when a request ends, so the delay is a whole number of such steps.
        let step = self.wait_behind(now, 0).max(LEAST_RETRY);
        let steps = delay.as_micros().div_ceil(step.as_micros()).max(1);
        Refusal::after(Reason::Deadline, step * steps as u32)
    }

    fn enqueue(&mut self, offer: &SlotRequest) {
        let waiting = Waiting {
            attempt: offer.attempt,
            deadline: offer.deadline,
            kind: offer.kind.clone(),
        };
        match &offer.flow() {
            Some(flow) => self.accounts.push(flow, offer.queue_weight(), waiting),
            None => self.open.push_back(waiting),
        }
    }

    fn start_offer(&mut self, now: Time, offer: &SlotRequest) {
        let cost = self.service(now);
        let flow = offer.flow();
        let charge = flow.map(|flow| self.accounts.charge(&flow, offer.queue_weight(), cost));
        self.start(now, offer.attempt, offer.kind.clone(), charge);
    }

    /// Starts the next waiting request, accounts before anonymous requests.
    fn start_next(&mut self, now: Time) -> Option<AttemptId> {
        if !self.has_room(now, false) {
            return None;
        }
        let cost = self.service(now);
        if let Some((waiting, charge)) = self.accounts.pop(cost) {
            let attempt = waiting.attempt;
            self.start(now, attempt, waiting.kind, Some(charge));
            return Some(attempt);
        }
        if !self.has_room(now, true) {
            return None;
        }
        let waiting = self.open.pop_front()?;
        let attempt = waiting.attempt;
        self.start(now, attempt, waiting.kind, None);
        Some(attempt)
    }

    fn start(&mut self, now: Time, attempt: AttemptId, kind: String, charge: Option<Charge>) {
        self.running.push(Running {
            attempt,
            since: now,
            charge,
            kind,
        });
    }

    fn drop_late(&mut self, now: Time) -> Vec<Decision> {
        let kinds = std::mem::take(&mut self.kinds);
        let all = self.service.unwrap_or_default();
        let need = |kind: &str| {
            let at = kinds.binary_search_by(|k| k.kind.as_str().cmp(kind));
            at.map_or(all, |at| kinds[at].mean) / 2
        };
        let retry = self.wait_behind(now, self.queued()).max(LEAST_RETRY);
        let mut late = Vec::new();
        let mut keep = |w: &Waiting| {
            let in_time = now + need(&w.kind) <= w.deadline;
            if !in_time {
                let refusal = Refusal::after(Reason::Deadline, retry);
                late.push(Decision::Refuse(w.attempt, refusal));
            }
            in_time
        };
        self.open.retain(&mut keep);
        self.accounts.retain(&mut keep);
        self.kinds = kinds;
        late
    }
}

fn blend(old: Duration, new: Duration) -> Duration {
    old.mul_f64(1.0 - SERVICE_GAIN) + new.mul_f64(SERVICE_GAIN)
}

/// Returns how many of `slots` anonymous requests may hold.
fn open_slots(slots: usize) -> usize {
    (slots / OPEN_SLOTS_DIVISOR).max(1)
}
