//! Slots, queueing and fairness of an admission queue under arbitrary sequences of calls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumtide::admission::{
    Admission, AdmissionQueue, Cancelled, Decision, Limits, SlotRequest, WARM_UP,
};
use laburnumtide::fleet::TargetState;
use laburnumtide::prelude::*;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const START: Time = Time::from_millis(3_600_000);

fn limits(slots: u32) -> Limits {
    Limits {
        slots: Slots(slots),
        connections: 360,
    }
}

fn request(attempt: u64, account: Option<u8>, weight: u64, deadline: Time) -> SlotRequest {
    SlotRequest {
        priority: 0,
        is_call: false,
        kind: String::new(),
        objective: None,
        wait_max: Duration::MAX,
        attempt: AttemptId(attempt),
        account: account.map(|a| format!("account-{a}").parse().unwrap()),
        weight: Rate::per_sec(weight),
        deadline,
    }
}

#[derive(Clone, Debug)]
enum Call {
    Admit(Option<u8>, u64, u64),
    Finish(usize),
    Cancel(usize),
    Wait(u64),
    Resize(u32),
}

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        8 => (proptest::option::of(0..4u8), 1..1_000u64, 1..500u64)
            .prop_map(|(a, w, d)| Call::Admit(a, w, d)),
        5 => any::<usize>().prop_map(Call::Finish),
        2 => any::<usize>().prop_map(Call::Cancel),
        3 => (0..200u64).prop_map(Call::Wait),
        1 => (1..9u32).prop_map(Call::Resize),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Waiting,
    Running,
    Ended,
}

/// The state of each attempt as the egress observes it, kept independently of the queue.
struct Checker {
    queue: AdmissionQueue,
    now: Time,
    slots: usize,
    draining: bool,
    /// Phase of each attempt, and whether it is anonymous.
    phases: BTreeMap<u64, (Phase, bool)>,
}

impl Checker {
    fn count(&self, phase: Phase, anonymous: Option<bool>) -> usize {
        let same = |f: &&(Phase, bool)| f.0 == phase && anonymous.is_none_or(|a| a == f.1);
        self.phases.values().filter(same).count()
    }

    fn nth(&self, n: usize) -> Option<u64> {
        let at = n.checked_rem(self.phases.len())?;
        self.phases.keys().nth(at).copied()
    }

    fn set(&mut self, attempt: u64, phase: Phase) {
        self.phases.get_mut(&attempt).expect("known attempt").0 = phase;
    }

    fn run(&mut self, attempt: u64) {
        let phase = self.phases[&attempt].0;
        assert_eq!(phase, Phase::Waiting, "a removed attempt ran");
        self.set(attempt, Phase::Running);
        let running = self.count(Phase::Running, None);
        assert!(running <= self.slots, "above the slots");
        let count = self.count(Phase::Running, Some(true));
        let anonymous = self.phases[&attempt].1;
        let max = (self.slots / 2).max(1);
        assert!(!anonymous || count <= max, "above the anonymous slots");
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Run(attempt) => self.run(attempt.0),
                Decision::Refuse(attempt, refusal) => {
                    assert!(refusal.retry_after.is_some());
                    let phase = self.phases[&attempt.0].0;
                    assert_eq!(phase, Phase::Waiting, "a refused attempt was dispatched");
                    self.set(attempt.0, Phase::Ended);
                }
            }
        }
    }

    fn admit(&mut self, id: u64, request: SlotRequest) {
        self.phases
            .insert(id, (Phase::Waiting, request.account.is_none()));
        match self.queue.admit(self.now, request) {
            Admission::Run => self.run(id),
            Admission::Queued => {}
            Admission::Refused(refusal) => {
                assert!(refusal.retry_after.is_some() || self.draining);
                self.set(id, Phase::Ended);
            }
        }
        let refused = self.phases[&id].0 == Phase::Ended;
        assert!(
            refused || !self.draining,
            "a draining target accepted a request"
        );
    }

    fn finish(&mut self, attempt: u64) {
        if self.phases[&attempt].0 == Phase::Running {
            self.set(attempt, Phase::Ended);
            let decisions = self.queue.finish(self.now, AttemptId(attempt));
            self.apply(decisions);
        }
    }

    fn cancel(&mut self, attempt: u64) {
        let expected = match self.phases[&attempt].0 {
            Phase::Waiting => Cancelled::Removed,
            Phase::Running => Cancelled::Running,
            Phase::Ended => Cancelled::Absent,
        };
        let cancelled = self.queue.cancel(self.now, AttemptId(attempt));
        assert_eq!(cancelled, expected);
        if expected == Cancelled::Removed {
            self.set(attempt, Phase::Ended);
        }
    }

    fn call(&mut self, id: u64, call: &Call) {
        match *call {
            Call::Admit(account, weight, timeout) => {
                let deadline = self.now + Duration::from_millis(timeout);
                self.admit(id, request(id, account, weight, deadline));
            }
            Call::Finish(n) => {
                if let Some(attempt) = self.nth(n) {
                    self.finish(attempt);
                }
            }
            Call::Cancel(n) => {
                if let Some(attempt) = self.nth(n) {
                    self.cancel(attempt);
                }
            }
            Call::Wait(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                let decisions = self.queue.expire(self.now);
                self.apply(decisions);
            }
            Call::Resize(slots) => {
                self.slots = slots as usize;
                let decisions = self.queue.set_limits(self.now, limits(slots));
                self.apply(decisions);
            }
        }
    }

    fn check(&self) {
        let load = self.queue.load(self.now);
        assert_eq!(load.running as usize, self.count(Phase::Running, None));
        assert_eq!(load.queued as usize, self.count(Phase::Waiting, None));
        let waits = self.count(Phase::Waiting, Some(false));
        let free = self.count(Phase::Running, None) < self.slots;
        assert!(waits == 0 || !free, "an account waits beside a free slot");
    }
}

proptest! {
    /// Guards against more running attempts than slots, a wrong "removed" or "not run", a lost
    /// attempt, requests to a draining target, and a free slot while a request of an account waits.
    #[test]
    fn any_order(
        slots in 1..9u32,
        calls in proptest::collection::vec(call(), 1..200),
        drain_at in 50..400usize,
    ) {
        let mut checker = Checker {
            queue: AdmissionQueue::new(START, limits(slots), false),
            now: START,
            slots: slots as usize,
            draining: false,
            phases: BTreeMap::new(),
        };
        for (id, call) in calls.iter().enumerate() {
            if id == drain_at {
                checker.draining = true;
                checker.queue.drain();
            }
            checker.call(id as u64, call);
            checker.check();
        }
    }
}

/// The requests of each account at one queue, and those that completed.
struct Shares {
    sent: Vec<u32>,
    completed: Vec<u32>,
}

impl Shares {
    fn success_rate(&self, account: usize) -> f64 {
        f64::from(self.completed[account]) / f64::from(self.sent[account])
    }
}

const MEAN_SECONDS: f64 = 0.025;

fn exponential(rng: &mut SmallRng, mean: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() * mean)
}

/// Draws an account in proportion to its rate.
fn draw_account(rng: &mut SmallRng, rates: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * rates.iter().sum::<f64>();
    let drawn = rates.iter().position(|r| {
        left -= r;
        left < 0.0
    });
    drawn.unwrap_or(0)
}

/// Sends Poisson traffic to one queue for ten virtual minutes; rates are in requests per second.
fn load_queue(slots: u32, rates: &[f64], weights: &[u64], seed: u64) -> Shares {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = AdmissionQueue::new(START, limits(slots), false);
    let mut shares = Shares {
        sent: vec![0; rates.len()],
        completed: vec![0; rates.len()],
    };
    // Ends of the running attempts in order of time.
    let mut ends: BTreeSet<(Time, u64)> = BTreeSet::new();
    let mut now = START;
    let gap = 1.0 / rates.iter().sum::<f64>();
    let accounts = rates.len() as u64;
    for id in 0.. {
        now = now + exponential(&mut rng, gap);
        if now.since(START) > Duration::from_secs(600) {
            break;
        }
        while let Some((at, attempt)) = ends.first().copied().filter(|e| e.0 <= now) {
            ends.remove(&(at, attempt));
            shares.completed[(attempt % accounts) as usize] += 1;
            for decision in queue.finish(at, AttemptId(attempt)) {
                if let Decision::Run(AttemptId(run)) = decision {
                    ends.insert((at + exponential(&mut rng, MEAN_SECONDS), run));
                }
            }
        }
        let account = draw_account(&mut rng, rates);
        let attempt = id * accounts + account as u64;
        shares.sent[account] += 1;
        let deadline = now + Duration::from_secs(2);
        let request = request(attempt, Some(account as u8), weights[account], deadline);
        if queue.admit(now, request) == Admission::Run {
            ends.insert((now + exponential(&mut rng, MEAN_SECONDS), attempt));
        }
    }
    shares
}

/// Guards against an account that starves the others: account 0 sends five times its share to a
/// queue that is at 90 % utilization without the excess, and every other account completes 99.9 %.
#[test]
fn overloading_account() {
    for (slots, seed) in [(7, 31), (3, 32), (7, 33), (3, 34)] {
        let share = 0.9 * f64::from(slots) / MEAN_SECONDS / 8.0;
        let mut rates = vec![share; 8];
        rates[0] *= 5.0;
        let shares = load_queue(slots, &rates, &[share as u64; 8], seed);
        let worst = (1..8).map(|a| shares.success_rate(a)).fold(1.0, f64::min);
        let overloading = shares.success_rate(0);
        println!("slots {slots} seed {seed}: worst {worst:.5}, overloading {overloading:.3}");
        assert!(worst >= 0.999, "slots {slots} seed {seed}: worst {worst}");
    }
}

/// Guards against shares that ignore the weights: under an equal demand of twice the capacity, an
/// account with four times the rate gets about four times the slots.
#[test]
fn weighted_shares() {
    let shares = load_queue(7, &[280.0, 280.0], &[40, 10], 41);
    let ratio = f64::from(shares.completed[0]) / f64::from(shares.completed[1]);
    assert!((3.2..=4.8).contains(&ratio), "ratio {ratio}");
}

/// Guards against anonymous requests that go before those of accounts or fill the queue.
#[test]
fn anonymous_last() {
    let mut queue = AdmissionQueue::new(START, limits(2), false);
    let deadline = START + Duration::from_secs(60);
    for id in 0..2 {
        let admission = queue.admit(START, request(id, Some(1), 10, deadline));
        assert_eq!(admission, Admission::Run);
    }
    let anonymous = |id| request(id, None, 1_000, deadline);
    assert_eq!(queue.admit(START, anonymous(2)), Admission::Queued);
    let account = request(3, Some(2), 10, deadline);
    assert_eq!(queue.admit(START, account), Admission::Queued);
    let decisions = queue.finish(START + Duration::from_millis(20), AttemptId(0));
    assert_eq!(decisions, [Decision::Run(AttemptId(3))]);
    let refused = (4..40).find_map(|id| match queue.admit(START, anonymous(id)) {
        Admission::Refused(refusal) => Some(refusal.reason),
        _ => None,
    });
    assert_eq!(refused, Some(Reason::OpenLimit));
}

/// Guards against a cold target that receives its full load at once, or never does.
#[test]
fn warm_up() {
    let queue = AdmissionQueue::new(START, limits(8), true);
    let at = |tenth: u32| queue.load(START + WARM_UP * tenth / 10).slots;
    let seen: Vec<u32> = (0..=10).map(at).collect();
    assert!(seen[0] <= 2 && seen[10] == 8, "{seen:?}");
    assert!(seen.is_sorted(), "{seen:?}");
    assert_eq!(queue.state(START), TargetState::Cold);
    assert_eq!(queue.state(START + WARM_UP), TargetState::Ready);
}

/// Guards against queueing requests that can't meet their deadline, and against a retry delay that
/// is too short: a request after the delay with the same timeout is admitted.
#[test]
fn retry_delay() {
    const SERVICE: Duration = Duration::from_millis(100);
    let mut queue = AdmissionQueue::new(START, limits(1), false);
    let mut now = START;
    for id in 0..50 {
        queue.admit(now, request(id, Some(1), 10, now + SERVICE * 90));
        now = now + SERVICE;
        queue.finish(now, AttemptId(id));
    }
    let timeout = SERVICE * 3;
    let refusal =
        (100..120).find_map(
            |id| match queue.admit(now, request(id, Some(1), 10, now + timeout)) {
                Admission::Refused(refusal) => Some(refusal),
                _ => None,
            },
        );
    let refusal = refusal.expect("a refusal");
    assert_eq!(refusal.reason, Reason::Deadline);
    let delay = refusal.retry_after.expect("a retry delay");
    assert!(delay <= SERVICE * 4, "{delay:?}");
    // The target continues at the measured pace until the caller retries.
    let back = now + delay;
    let mut running = 100;
    let mut free_at = now + SERVICE;
    while free_at <= back {
        for decision in queue.finish(free_at, AttemptId(running)) {
            if let Decision::Run(next) = decision {
                running = next.0;
            }
        }
        free_at = free_at + SERVICE;
    }
    let again = queue.admit(back, request(200, Some(1), 10, back + timeout));
    assert!(
        !matches!(again, Admission::Refused(_)),
        "{again:?} after {delay:?}"
    );
}
