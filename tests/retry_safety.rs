//! At-most-once execution and correct "not run" outcomes, checked against the runs at fake targets.
//!
//! The ingresses and egresses are small fakes around [`AdmissionQueue`], [`may_retry`] and
//! [`Delivery`]. They crash, links are reset, and messages are delayed or lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumtide::admission::{
    Admission, AdmissionQueue, Cancelled, Decision, Limits, SlotRequest,
};
use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;
use laburnumtide::route::{Delivery, RetryBudget, RetryContext, may_retry};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const START: Time = Time::from_millis(3_600_000);
const EGRESSES: usize = 3;

#[derive(Clone, Debug)]
enum Message {
    /// An attempt that reaches an egress, which may have restarted after it was sent.
    Forward(usize, u32, u64, Time),
    Cancel(usize, u64),
    /// The target of an egress completes an attempt.
    Done(usize, u32, u64),
    Response(u64, Outcome),
    /// The response to a cancel.
    Cancelled(u64, bool),
    /// The link of an attempt is reset.
    Reset(u64),
    Timeout(u64),
    CallerCancels(u64),
    KillEgress(usize),
    KillIngress,
}

/// The state that an ingress keeps of a request; lost when the ingress crashes.
struct Pending {
    idempotent: bool,
    deadline: Time,
    attempt: u64,
    tried: Vec<usize>,
    delivery: Delivery,
}

struct Simulation {
    rng: SmallRng,
    now: Time,
    order: u64,
    events: BTreeMap<(Time, u64), Message>,
    pending: BTreeMap<u64, Pending>,
    /// The request of each attempt, to count its runs.
    requests: BTreeMap<u64, u64>,
    queues: Vec<(u32, AdmissionQueue)>,
    budget: RetryBudget,
    runs: BTreeMap<u64, u32>,
    outcomes: BTreeMap<u64, Outcome>,
    idempotent: BTreeSet<u64>,
    retries: u32,
}

fn new_queue(now: Time) -> AdmissionQueue {
    let limits = Limits {
        slots: Slots(2),
        connections: 10,
    };
    AdmissionQueue::new(now, limits, false)
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            order: 0,
            events: BTreeMap::new(),
            pending: BTreeMap::new(),
            requests: BTreeMap::new(),
            queues: (0..EGRESSES).map(|_| (0, new_queue(START))).collect(),
            budget: RetryBudget::new(),
            runs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            idempotent: BTreeSet::new(),
            retries: 0,
        }
    }

    fn schedule(&mut self, delay_ms: u64, message: Message) {
        self.order += 1;
        let at = self.now + Duration::from_millis(delay_ms);
        self.events.insert((at, self.order), message);
    }

    /// Sends a message that is usually fast, sometimes much delayed and sometimes lost.
    fn send(&mut self, message: Message) {
        let delay = match self.rng.random_range(0..20) {
            0 => return,
            1 | 2 => self.rng.random_range(50..400),
            _ => self.rng.random_range(1..5),
        };
        self.schedule(delay, message);
    }

    fn arrive(&mut self, request: u64) {
        let idempotent = self.rng.random_bool(0.5);
        if idempotent {
            self.idempotent.insert(request);
        }
        let timeout = Duration::from_millis(self.rng.random_range(20..300));
        let pending = Pending {
            idempotent,
            deadline: self.now + timeout,
            attempt: 0,
            tried: Vec::new(),
            delivery: Delivery::default(),
        };
        self.pending.insert(request, pending);
        self.budget.deposit();
        self.forward(request);
    }

    fn forward(&mut self, request: u64) {
        let untried = |at: &usize| !self.pending[&request].tried.contains(at);
        let left: Vec<usize> = (0..EGRESSES).filter(untried).collect();
        if left.is_empty() {
            let refusal = Refusal::new(Reason::NoTarget);
            self.conclude(request, Outcome::NotRun(refusal));
            return;
        }
        let egress = left[self.rng.random_range(0..left.len())];
        self.order += 1;
        let attempt = self.order;
        self.requests.insert(attempt, request);
        let pending = self.pending.get_mut(&request).expect("pending");
        pending.attempt = attempt;
        pending.tried.push(egress);
        let deadline = pending.deadline;
        let incarnation = self.queues[egress].0;
        self.send(Message::Forward(egress, incarnation, attempt, deadline));
        let timeout = deadline.since(self.now).as_millis() as u64;
        self.schedule(timeout, Message::Timeout(attempt));
        if self.rng.random_bool(0.05) {
            let delay = self.rng.random_range(1..100);
            self.schedule(delay, Message::Reset(attempt));
        }
        if self.rng.random_bool(0.05) {
            let delay = self.rng.random_range(1..100);
            self.schedule(delay, Message::CallerCancels(attempt));
        }
    }

    /// Returns the request whose current attempt this is; responses to others are dropped.
    fn current(&self, attempt: u64) -> Option<u64> {
        let request = *self.requests.get(&attempt)?;
        let pending = self.pending.get(&request)?;
        (pending.attempt == attempt).then_some(request)
    }

    fn ended(&mut self, attempt: u64, outcome: Outcome) {
        let Some(request) = self.current(attempt) else {
            return;
        };
        let pending = &self.pending[&request];
        let context = RetryContext {
            outcome: &outcome,
            idempotent: pending.idempotent,
            replayable: true,
            deadline: pending.deadline,
        };
        if may_retry(self.now, &context) && self.budget.withdraw() {
            self.retries += 1;
            let pending = self.pending.get_mut(&request).expect("pending");
            if matches!(outcome, Outcome::Unknown(_)) {
                pending.delivery.mark_sent();
            }
            self.forward(request);
        } else {
            self.conclude(request, outcome);
        }
    }

    fn conclude(&mut self, request: u64, last: Outcome) {
        let pending = self.pending.remove(&request).expect("pending");
        let outcome = match last {
            Outcome::NotRun(refusal) => pending.delivery.final_outcome(refusal),
            other => other,
        };
        self.outcomes.insert(request, outcome);
    }

    fn step(&mut self, message: Message) {
        match message {
            Message::Forward(egress, incarnation, attempt, deadline) => {
                self.at_egress(egress, incarnation, attempt, deadline);
            }
            Message::Cancel(egress, attempt) => {
                let queue = &mut self.queues[egress].1;
                let removed = queue.cancel(self.now, AttemptId(attempt)) == Cancelled::Removed;
                self.send(Message::Cancelled(attempt, removed));
            }
            Message::Cancelled(attempt, true) => {
                let refusal = Refusal::new(Reason::Deadline);
                self.ended(attempt, Outcome::NotRun(refusal));
            }
            Message::Cancelled(attempt, false) => {
                self.ended(attempt, Outcome::Unknown(Reason::Timeout));
            }
            Message::Done(egress, incarnation, attempt) => self.done(egress, incarnation, attempt),
            Message::Response(attempt, outcome) => self.ended(attempt, outcome),
            Message::Reset(attempt) => {
                self.ended(attempt, Outcome::Unknown(Reason::LostLink));
            }
            Message::Timeout(attempt) => {
                self.ended(attempt, Outcome::Unknown(Reason::Timeout));
            }
            Message::CallerCancels(attempt) => {
                if let Some(request) = self.current(attempt) {
                    let tried = &self.pending[&request].tried;
                    let egress = *tried.last().expect("tried");
                    self.send(Message::Cancel(egress, attempt));
                }
            }
            Message::KillEgress(egress) => {
                let incarnation = self.queues[egress].0 + 1;
                self.queues[egress] = (incarnation, new_queue(self.now));
            }
            Message::KillIngress => self.pending.clear(),
        }
    }

    /// Handles an attempt at an egress; one sent to an earlier incarnation is lost with its link.
    fn at_egress(&mut self, egress: usize, incarnation: u32, attempt: u64, deadline: Time) {
        if self.queues[egress].0 != incarnation {
            return;
        }
        let request = SlotRequest {
            priority: 0,
            is_call: false,
            kind: String::new(),
            objective: None,
            wait_max: Duration::MAX,
            attempt: AttemptId(attempt),
            account: Some("bank".parse().unwrap()),
            weight: Rate::per_sec(10),
            deadline,
        };
        match self.queues[egress].1.admit(self.now, request) {
            Admission::Run => self.run(egress, attempt),
            Admission::Queued => {}
            Admission::Refused(refusal) => {
                self.send(Message::Response(attempt, Outcome::NotRun(refusal)));
            }
        }
    }

    /// Runs the request at the target and counts the run, whatever happens to the response.
    fn run(&mut self, egress: usize, attempt: u64) {
        let request = self.requests[&attempt];
        *self.runs.entry(request).or_default() += 1;
        let time = self.rng.random_range(1..60);
        let incarnation = self.queues[egress].0;
        self.schedule(time, Message::Done(egress, incarnation, attempt));
    }

    fn done(&mut self, egress: usize, incarnation: u32, attempt: u64) {
        if self.queues[egress].0 != incarnation {
            return;
        }
        let decisions = self.queues[egress].1.finish(self.now, AttemptId(attempt));
        self.send(Message::Response(attempt, Outcome::Response));
        for decision in decisions {
            match decision {
                Decision::Run(next) => self.run(egress, next.0),
                Decision::Refuse(next, refusal) => {
                    self.send(Message::Response(next.0, Outcome::NotRun(refusal)));
                }
            }
        }
    }

    fn simulate(&mut self, requests: u64) {
        for request in 0..requests {
            let gap = self.rng.random_range(0..10);
            let next = self.now + Duration::from_millis(gap);
            self.simulate_until(next);
            self.now = next;
            if self.rng.random_bool(0.01) {
                let egress = self.rng.random_range(0..EGRESSES);
                self.schedule(1, Message::KillEgress(egress));
            }
            if self.rng.random_bool(0.002) {
                self.schedule(1, Message::KillIngress);
            }
            self.arrive(request);
        }
        self.simulate_until(self.now + Duration::from_secs(3_600));
    }

    fn simulate_until(&mut self, end: Time) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), message) = entry.remove_entry();
            self.now = at;
            self.step(message);
        }
    }
}

/// Guards against a second run of a request that is not idempotent, and against "not run" for one
/// that ran, under crashes, resets, timeouts, cancels, lost and delayed messages, and retries.
#[test]
fn at_most_once() {
    let (mut retries, mut not_run, mut unknown) = (0, 0, 0);
    for seed in 600..640 {
        let mut simulation = Simulation::new(seed);
        simulation.simulate(2_000);
        for (request, runs) in &simulation.runs {
            let once = *runs <= 1 || simulation.idempotent.contains(request);
            assert!(once, "seed {seed}: request {request} ran {runs} times");
        }
        for (request, outcome) in &simulation.outcomes {
            let runs = simulation.runs.get(request).copied().unwrap_or(0);
            match outcome {
                Outcome::NotRun(refusal) => {
                    let reason = refusal.reason;
                    assert_eq!(
                        runs, 0,
                        "seed {seed}: request {request} ran, but was refused for {reason}"
                    );
                    not_run += 1;
                }
                Outcome::Unknown(_) => unknown += 1,
                Outcome::Response => assert!(runs > 0, "seed {seed}: response without a run"),
            }
        }
        retries += simulation.retries;
    }
    println!("{retries} retries, {not_run} not run, {unknown} unknown");
    assert!(retries > 500 && not_run > 500 && unknown > 500);
}

/// Guards against retries that multiply the load: beyond the initial budget, at most a tenth.
#[test]
fn budget_share() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        while budget.withdraw() {
            retries += 1;
        }
    }
    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

/// Guards against retries past the deadline, and after refusals that depend on the request itself.
#[test]
fn retry_rules() {
    let retries_after = |outcome: &Outcome, idempotent, replayable, left_ms| {
        let context = RetryContext {
            outcome,
            idempotent,
            replayable,
            deadline: START + Duration::from_millis(left_ms),
        };
        may_retry(START, &context)
    };
    let not_run = |reason| Outcome::NotRun(Refusal::new(reason));
    let lost = Outcome::Unknown(Reason::LostLink);
    assert!(retries_after(&not_run(Reason::Shed), false, true, 100));
    assert!(retries_after(&lost, true, true, 100));
    assert!(!retries_after(&lost, false, true, 100));
    assert!(!retries_after(&not_run(Reason::Shed), false, true, 1));
    assert!(!retries_after(&not_run(Reason::Shed), false, false, 100));
    assert!(!retries_after(
        &not_run(Reason::BodyTooLarge),
        true,
        true,
        100
    ));
    assert!(!retries_after(&Outcome::Response, true, true, 100));
}
