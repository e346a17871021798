//! A small deployment in virtual time: ingresses, admission queues and a target with a fault.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::admission::{Admission, AdmissionQueue, Decision, Limits, Load, SlotRequest};
use laburnumtide::fleet::{Health, NodeRecord, TargetRecord, TargetState};
use laburnumtide::outcome::Refusal;
use laburnumtide::prelude::*;
use laburnumtide::route::{
    AttemptEvent, AttemptResult, Balancer, Cause, Event, Meter, PickArgs, RetryBudget,
    RetryContext, may_retry,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub name: &'static str,
    pub servers: usize,
    pub slots: u32,
    pub zones: usize,
}

pub const K: Size = Size {
    name: "K",
    servers: 14,
    slots: 7,
    zones: 4,
};

pub const S: Size = Size {
    name: "S",
    servers: 18,
    slots: 3,
    zones: 3,
};

/// The fault of target 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    Stop,
    Slow(f64),
    Errors(f64),
    Hang,
    /// Alternates between failing every request and none, each for this time.
    Flap(Duration),
    /// Messages from the node of target 0 don't reach other nodes.
    OneWay,
}

/// Load-balancing policy of the ingresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Balancer,
    RoundRobin,
    /// Round robin that ejects a target after five consecutive failures, for 30 s times the number
    /// of its ejections.
    Consecutive,
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub size: Size,
    pub policy: Policy,
    pub fault: Fault,
    /// Requests per second for each target.
    pub rate: f64,
    /// Time without the fault, at the start.
    pub quiet: Duration,
    /// Time with the fault, after that.
    pub faulty: Duration,
    pub seed: u64,
}

/// The results of one run.
#[derive(Clone, Debug, Default)]
pub struct RunResults {
    /// Time from the fault until the target receives no more than a fifth of its rate.
    pub detection: Option<Duration>,
    /// Ejections of targets without a fault, each at one ingress.
    pub false_ejections: u32,
    /// Causes of the false ejections.
    pub false_causes: Vec<Cause>,
    /// Requests that arrived during the fault, and those of them without a good response.
    pub requests: u64,
    pub lost: u64,
    /// Requests without a good response before the fault.
    pub lost_before: u64,
    /// Lost requests that arrived more than 5 s after the start of the fault.
    pub lost_late: u64,
}

const DEADLINE: Duration = Duration::from_secs(2);
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
const BACKGROUND_ERROR_RATE: f64 = 0.001;
const IDEMPOTENT_SHARE: f64 = 0.7;
const FAILURES_TO_EJECT: u32 = 5;
const START: Time = Time::from_millis(3_600_000);

#[derive(Clone, Debug)]
enum SimEvent {
    Arrive(usize),
    AtEgress(u64),
    Finish(u64, AttemptResult),
    Response(u64, Outcome, bool, Load),
    Timeout(u64),
    ExpireQueue(usize),
    Publish(usize),
    Gossip(usize, usize, u64, Box<Health>),
}

/// An event, ordered by its time and then by the order in which it was scheduled, earliest first.
struct Scheduled(Time, u64, SimEvent);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

struct Attempt {
    ingress: usize,
    target: usize,
    arrived: Time,
    deadline: Time,
    idempotent: bool,
    tried: Vec<TargetId>,
}

struct Ingress {
    balancer: Balancer,
    budget: RetryBudget,
    cursor: usize,
    /// Consecutive failures, number of ejections and end of the last ejection of each target.
    consecutive: Vec<(u32, u32, Time)>,
}

struct Server {
    queue: AdmissionQueue,
    meter: Meter,
    version: u64,
}

/// The deployment.
pub struct Model {
    plan: Plan,
    rng: SmallRng,
    now: Time,
    queue: BinaryHeap<Scheduled>,
    order: u64,
    attempts: BTreeMap<u64, Attempt>,
    ingresses: Vec<Ingress>,
    servers: Vec<Server>,
    results: RunResults,
    /// When attempts were sent to target 0 during the fault.
    sent_to_faulty: Vec<Time>,
}

fn service_name() -> ServiceName {
    "records".parse().expect("the name is valid")
}

fn target_id(server: usize) -> TargetId {
    TargetId {
        node: NodeId(server as u64 + 1),
        name: "t".parse().expect("the name is valid"),
    }
}

impl Model {
    pub fn new(plan: Plan) -> Model {
        let size = plan.size;
        let limits = Limits {
            slots: Slots(size.slots),
            connections: 360,
        };
        let server = |_| Server {
            queue: AdmissionQueue::new(START, limits, false),
            meter: Meter::new(START),
            version: 1,
        };
        let ingress = |at: usize| Ingress {
            balancer: Balancer::new(zone_of(size, at)),
            budget: RetryBudget::new(),
            cursor: at,
            consecutive: vec![(0, 0, Time::ZERO); size.servers],
        };
        let mut model = Model {
            plan,
            rng: SmallRng::seed_from_u64(plan.seed),
            now: START,
            queue: BinaryHeap::new(),
            order: 0,
            attempts: BTreeMap::new(),
            ingresses: (0..size.servers).map(ingress).collect(),
            servers: (0..size.servers).map(server).collect(),
            results: RunResults::default(),
            sent_to_faulty: Vec::new(),
        };
        for at in 0..size.servers {
            for to in 0..size.servers {
                let record = model.record(at, 1, Health::default());
                model.ingresses[to].balancer.update(START, &record);
            }
            model.schedule(
                PUBLISH_INTERVAL * (at as u32 + 1) / 20,
                SimEvent::Publish(at),
            );
            model.schedule_arrival(at);
        }
        model
    }

    /// Runs the plan to its end.
    pub fn run(mut self) -> RunResults {
        let end = START + self.plan.quiet + self.plan.faulty;
        while let Some(Scheduled(at, _, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.results.detection = self.detection(end);
        self.results
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(ingress) => self.arrive(ingress),
            SimEvent::AtEgress(id) => self.at_egress(id),
            SimEvent::Finish(id, result) => self.finish(id, result),
            SimEvent::Response(id, outcome, success, load) => {
                self.receive_response(id, outcome, success, load)
            }
            SimEvent::Timeout(id) => self.time_out(id),
            SimEvent::ExpireQueue(server) => {
                let decisions = self.servers[server].queue.expire(self.now);
                self.apply(server, decisions);
            }
            SimEvent::Publish(server) => self.publish(server),
            SimEvent::Gossip(to, from, version, health) => {
                let record = self.record(from, version, *health);
                if self.plan.policy == Policy::Balancer {
                    self.ingresses[to].balancer.update(self.now, &record);
                    self.record_events(to);
                }
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.order += 1;
        self.queue
            .push(Scheduled(self.now + delay, self.order, event));
    }

    fn schedule_arrival(&mut self, ingress: usize) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.plan.rate;
        self.schedule(Duration::from_secs_f64(gap), SimEvent::Arrive(ingress));
    }

    fn fault_start(&self) -> Time {
        START + self.plan.quiet
    }

    /// Returns the fault of `server` that is active now.
    fn fault(&self, server: usize) -> Fault {
        let active = server == 0 && self.now >= self.fault_start();
        match self.plan.fault {
            _ if !active => Fault::None,
            Fault::Flap(time) => {
                let phases = self.now.since(self.fault_start()).as_micros() / time.as_micros();
                if phases.is_multiple_of(2) {
                    Fault::Errors(1.0)
                } else {
                    Fault::None
                }
            }
            fault => fault,
        }
    }

    fn arrive(&mut self, ingress: usize) {
        self.schedule_arrival(ingress);
        let attempt = Attempt {
            ingress,
            target: 0,
            arrived: self.now,
            deadline: self.now + DEADLINE,
            idempotent: self.rng.random_bool(IDEMPOTENT_SHARE),
            tried: Vec::new(),
        };
        if self.now >= self.fault_start() {
            self.results.requests += 1;
        }
        self.ingresses[ingress].budget.deposit();
        self.send(attempt);
    }

    fn send(&mut self, mut attempt: Attempt) {
        let Some(target) = self.pick(&attempt) else {
            self.record_loss(&attempt);
            return;
        };
        attempt.target = target;
        attempt.tried.push(target_id(target));
        let ingress = attempt.ingress;
        let id = self.order + 1;
        let timeout = attempt.deadline.since(self.now);
        self.attempts.insert(id, attempt);
        let balancer = &mut self.ingresses[ingress].balancer;
        balancer.report(self.now, &target_id(target), AttemptEvent::Sent);
        let is_local = self.plan.fault == Fault::OneWay && ingress == target;
        if target == 0 && self.now >= self.fault_start() && !is_local {
            self.sent_to_faulty.push(self.now);
        }
        let latency = self.latency(ingress, target);
        self.schedule(latency, SimEvent::AtEgress(id));
        self.schedule(timeout, SimEvent::Timeout(id));
    }

    fn pick(&mut self, attempt: &Attempt) -> Option<usize> {
        let ingress = &mut self.ingresses[attempt.ingress];
        if self.plan.policy == Policy::Balancer {
            let service = service_name();
            let args = PickArgs {
                service: &service,
                kind: "read",
                idempotent: attempt.idempotent,
                tried: &attempt.tried,
                fast_refusal: false,
            };
            let picked = ingress.balancer.pick_for(self.now, &args, &mut self.rng)?;
            self.record_events(attempt.ingress);
            return Some(picked.node.0 as usize - 1);
        }
        for _ in 0..2 * self.servers.len() {
            ingress.cursor = (ingress.cursor + 1) % self.servers.len();
            let at = ingress.cursor;
            let is_ejected = self.now < ingress.consecutive[at].2;
            if !is_ejected && !attempt.tried.contains(&target_id(at)) {
                return Some(at);
            }
        }
        None
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let size = self.plan.size;
        if zone_of(size, from) == zone_of(size, to) {
            Duration::from_micros(250)
        } else {
            Duration::from_millis(1)
        }
    }

    fn at_egress(&mut self, id: u64) {
        let attempt = &self.attempts[&id];
        let server = attempt.target;
        let account = attempt.ingress % 8;
        let slot = SlotRequest {
            priority: 0,
            is_call: false,
            kind: String::new(),
            objective: None,
            wait_max: Duration::MAX,
            attempt: AttemptId(id),
            account: Some(
                format!("account-{account}")
                    .parse()
                    .expect("the name is valid"),
            ),
            weight: Rate::per_sec(if account < 2 { 300 } else { 50 }),
            deadline: attempt.deadline,
        };
        let deadline = attempt.deadline;
        match self.servers[server].queue.admit(self.now, slot) {
            Admission::Run => self.run_attempt(server, id),
            Admission::Queued => {
                let wait = deadline.since(self.now);
                self.schedule(wait, SimEvent::ExpireQueue(server));
            }
            Admission::Refused(refusal) => self.respond(id, Outcome::NotRun(refusal), false),
        }
    }

    fn run_attempt(&mut self, server: usize, id: u64) {
        self.servers[server].meter.start(self.now, AttemptId(id));
        let fault = self.fault(server);
        let mean = service_mean(&self.plan);
        let slow = if let Fault::Slow(factor) = fault {
            factor
        } else {
            1.0
        };
        let time = mean.mul_f64(lognormal(&mut self.rng) * slow);
        let errors = if let Fault::Errors(share) = fault {
            share
        } else {
            BACKGROUND_ERROR_RATE
        };
        let result = if self.rng.random_bool(errors) {
            AttemptResult::Failed
        } else {
            AttemptResult::Success
        };
        // The egress gives up slightly before the ingress, so that its response arrives in time.
        let left = self.attempts[&id].deadline - Duration::from_millis(5);
        let left = left.since(self.now);
        let (time, result) = match fault {
            Fault::Stop => (Duration::from_micros(100), AttemptResult::Failed),
            Fault::Hang => (left, AttemptResult::TimedOut),
            _ if time > left => (left, AttemptResult::TimedOut),
            _ => (time, result),
        };
        self.schedule(time, SimEvent::Finish(id, result));
    }

    fn finish(&mut self, id: u64, result: AttemptResult) {
        let server = self.attempts[&id].target;
        let stopped = self.fault(server) == Fault::Stop;
        let state = &mut self.servers[server];
        state.meter.end(self.now, AttemptId(id), "read", result);
        let decisions = state.queue.finish(self.now, AttemptId(id));
        let outcome = match result {
            AttemptResult::Failed if stopped => Outcome::NotRun(Refusal::new(Reason::Connect)),
            AttemptResult::TimedOut => Outcome::Unknown(Reason::Timeout),
            _ => Outcome::Response,
        };
        self.respond(id, outcome, result == AttemptResult::Success);
        self.apply(server, decisions);
    }

    fn apply(&mut self, server: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Run(id) => self.run_attempt(server, id.0),
                Decision::Refuse(id, refusal) => {
                    self.respond(id.0, Outcome::NotRun(refusal), false);
                }
            }
        }
    }

    fn respond(&mut self, id: u64, outcome: Outcome, success: bool) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (from, to) = (attempt.target, attempt.ingress);
        if self.fault(from) == Fault::OneWay && from != to {
            return;
        }
        let load = self.servers[from].queue.load(self.now);
        let latency = self.latency(from, to);
        self.schedule(latency, SimEvent::Response(id, outcome, success, load));
    }

    fn receive_response(&mut self, id: u64, outcome: Outcome, success: bool, load: Load) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let target = target_id(attempt.target);
        let ingress = &mut self.ingresses[attempt.ingress];
        ingress
            .balancer
            .report(self.now, &target, AttemptEvent::Responded);
        ingress.balancer.observe(self.now, &target, load, None);
        // A refusal because of load is no failure of the target.
        let refused = matches!(&outcome, Outcome::NotRun(r) if r.reason != Reason::Connect);
        if !refused {
            self.count_failure(attempt.ingress, attempt.target, success);
        }
        let context = RetryContext {
            outcome: &outcome,
            idempotent: attempt.idempotent,
            replayable: true,
            deadline: attempt.deadline,
        };
        let retry = may_retry(self.now, &context);
        if success {
            return;
        }
        if retry && self.ingresses[attempt.ingress].budget.withdraw() {
            self.send(attempt);
        } else {
            self.record_loss(&attempt);
        }
    }

    fn time_out(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (ingress, target) = (attempt.ingress, attempt.target);
        let lost = Attempt {
            tried: Vec::new(),
            ..*attempt
        };
        let balancer = &mut self.ingresses[ingress].balancer;
        balancer.report(self.now, &target_id(target), AttemptEvent::NoResponse);
        self.count_failure(ingress, target, false);
        self.record_loss(&lost);
        // The egress still ends the attempt; its late response is dropped.
        if self.fault(target) != Fault::OneWay {
            self.attempts.remove(&id);
        }
    }

    fn count_failure(&mut self, ingress: usize, target: usize, success: bool) {
        if self.plan.policy != Policy::Consecutive {
            return;
        }
        let now = self.now;
        let state = &mut self.ingresses[ingress];
        let ejected = state.consecutive.iter().filter(|n| now < n.2).count();
        let entry = &mut state.consecutive[target];
        entry.0 = if success { 0 } else { entry.0 + 1 };
        if entry.0 >= FAILURES_TO_EJECT && now >= entry.2 && ejected * 2 < self.plan.size.servers {
            entry.0 = 0;
            entry.1 += 1;
            entry.2 = now + Duration::from_secs(30) * entry.1;
            self.record_ejection(target, Cause::Errors);
        }
    }

    fn record_loss(&mut self, attempt: &Attempt) {
        let start = self.fault_start();
        if attempt.arrived < start {
            self.results.lost_before += 1;
            return;
        }
        self.results.lost += 1;
        if attempt.arrived.since(start) > Duration::from_secs(5) {
            self.results.lost_late += 1;
        }
    }

    fn publish(&mut self, server: usize) {
        self.schedule(PUBLISH_INTERVAL, SimEvent::Publish(server));
        let state = &mut self.servers[server];
        let Some(health) = state.meter.publish(self.now) else {
            return;
        };
        state.version += 1;
        let version = state.version;
        for to in 0..self.servers.len() {
            if to != server && self.fault(server) == Fault::OneWay {
                continue;
            }
            // One or two rounds of gossip; a node's own record needs none.
            let delay = if to == server {
                0
            } else {
                self.rng.random_range(5..800)
            };
            let health = Box::new(health.clone());
            let event = SimEvent::Gossip(to, server, version, health);
            self.schedule(Duration::from_millis(delay), event);
        }
    }

    fn record(&self, server: usize, version: u64, health: Health) -> NodeRecord {
        let size = self.plan.size;
        let addr = SocketAddr::from(([127, 0, 0, 1], 1_000 + server as u16));
        let target = TargetRecord {
            name: target_id(server).name,
            service: service_name(),
            addr,
            slots: Slots(size.slots),
            connections: 360,
            state: TargetState::Ready,
            health,
        };
        NodeRecord {
            node: NodeId(server as u64 + 1),
            version,
            health_version: 1,
            zone: zone_of(size, server),
            leaving: false,
            targets: vec![target],
        }
    }

    fn record_events(&mut self, ingress: usize) {
        for event in self.ingresses[ingress].balancer.take_events() {
            if let Event::Ejected { target, cause, .. } = event {
                self.record_ejection(target.node.0 as usize - 1, cause);
            }
        }
    }

    fn record_ejection(&mut self, target: usize, cause: Cause) {
        let has_begun = self.now >= self.fault_start();
        let is_faulty = target == 0 && self.plan.fault != Fault::None && has_begun;
        if !is_faulty {
            self.results.false_ejections += 1;
            self.results.false_causes.push(cause);
        }
    }

    /// Returns the time from the fault to the first span with at most a fifth of the full rate.
    ///
    /// The span is long enough for 20 requests at the full rate, so at most 4 are sent in it.
    fn detection(&self, end: Time) -> Option<Duration> {
        let start = self.fault_start();
        let span = Duration::from_secs_f64((20.0 / self.plan.rate).max(1.0));
        let max_sent = (self.plan.rate * span.as_secs_f64() / 5.0) as usize;
        let mut from = start;
        while from + span <= end {
            let low = self.sent_to_faulty.partition_point(|t| *t < from);
            let high = self.sent_to_faulty.partition_point(|t| *t < from + span);
            if high - low <= max_sent {
                return Some(from.since(start));
            }
            from = from + Duration::from_millis(10);
        }
        None
    }
}

fn zone_of(size: Size, server: usize) -> ZoneName {
    format!("zone-{}", server % size.zones)
        .parse()
        .expect("the name is valid")
}

/// Returns the mean service time: 25 ms, or less if that would use more than half of the slots.
fn service_mean(plan: &Plan) -> Duration {
    let half = 0.5 * f64::from(plan.size.slots) / plan.rate;
    Duration::from_secs_f64(half.min(0.025))
}

/// Returns a factor with mean 1 and standard deviation 1.
fn lognormal(rng: &mut SmallRng) -> f64 {
    let sigma = 2f64.ln().sqrt();
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
