//! Ejection within the floor of a service and slow start, under arbitrary sequences of events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::fleet::{Health, KindHealth, NodeRecord, TargetRecord, TargetState, Window};
use laburnumtide::prelude::*;
use laburnumtide::route::{AttemptEvent, Balancer, EjectionState, Event, PickArgs};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Time = Time::from_millis(3_600_000);

fn service() -> ServiceName {
    "records".parse().unwrap()
}

fn target_id(node: u64) -> TargetId {
    TargetId {
        node: NodeId(node),
        name: "t".parse().unwrap(),
    }
}

/// Health with this number of failures among 100 requests, all in latency band `band`.
fn health(failures: u32, band: usize) -> Health {
    let window = |span_ms| {
        let mut latency = vec![0; band + 1];
        latency[band] = 100 - failures;
        Window {
            span_ms,
            requests: 100,
            failures,
            latency,
            ..Window::default()
        }
    };
    Health {
        recent: window(2_000),
        long: window(10_000),
        worst: None,
    }
}

fn record(node: u64, version: u64, slots: u32, state: TargetState, health: Health) -> NodeRecord {
    NodeRecord {
        node: NodeId(node),
        version,
        health_version: 1,
        zone: format!("zone-{}", node % 3).parse().unwrap(),
        leaving: false,
        targets: vec![TargetRecord {
            name: target_id(node).name,
            service: service(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16)),
            slots: Slots(slots),
            connections: 100,
            state,
            health,
        }],
    }
}

/// Returns a balancer with `count` ready targets of 3 slots and a floor of `floor` percent.
fn balancer(count: u64, floor: u8) -> Balancer {
    let mut balancer = Balancer::new("zone-0".parse().unwrap());
    balancer.set_floor(&service(), floor);
    for node in 1..=count {
        let record = record(node, 1, 3, TargetState::Ready, health(0, 10));
        balancer.update(START, &record);
    }
    balancer
}

#[derive(Clone, Debug)]
enum Change {
    Record(u64, u32, u8, u32, usize, bool),
    Remove(u64),
    Path(u64, u8),
    Wait(u64),
    Floor(u8),
}

fn change() -> impl Strategy<Value = Change> {
    let failures = prop_oneof![Just(0u32), Just(0), Just(20), Just(100)];
    let band = prop_oneof![Just(10usize), Just(10), Just(18)];
    prop_oneof![
        8 => (1..9u64, 1..8u32, 0..6u8, failures, band, proptest::bool::weighted(0.1))
            .prop_map(|(n, s, t, b, l, leaving)| Change::Record(n, s, t, b, l, leaving)),
        1 => (1..9u64).prop_map(Change::Remove),
        4 => (1..9u64, 0..4u8).prop_map(|(n, s)| Change::Path(n, s)),
        3 => (0..20_000u64).prop_map(Change::Wait),
        1 => (0..=100u8).prop_map(Change::Floor),
    ]
}

/// The state that the floor depends on, kept independently of the balancer.
struct Checker {
    balancer: Balancer,
    now: Time,
    version: u64,
    floor: u8,
    known: BTreeMap<u64, NodeRecord>,
    /// Slots of targets that were lost without draining, and when.
    lost: BTreeMap<u64, (u32, Time)>,
}

impl Checker {
    fn apply(&mut self, change: &Change) {
        match *change {
            Change::Record(node, slots, state, failures, band, leaving) => {
                let state = match state {
                    0 => TargetState::Cold,
                    1 => TargetState::Draining,
                    _ => TargetState::Ready,
                };
                self.version += 1;
                let mut record = record(node, self.version, slots, state, health(failures, band));
                record.leaving = leaving;
                self.balancer.update(self.now, &record);
                self.lost.remove(&node);
                self.known.insert(node, record);
            }
            Change::Remove(node) => {
                self.balancer.remove_node(self.now, NodeId(node));
                if let Some(record) = self.known.remove(&node) {
                    let target = &record.targets[0];
                    if !record.leaving && target.state != TargetState::Draining {
                        self.lost.insert(node, (target.slots.0, self.now));
                    }
                }
            }
            Change::Path(node, event) => {
                let events = [
                    AttemptEvent::Sent,
                    AttemptEvent::ConnectFailed,
                    AttemptEvent::LostLink,
                    AttemptEvent::Responded,
                ];
                let id = target_id(node);
                self.balancer.report(self.now, &id, events[event as usize]);
            }
            Change::Wait(ms) => self.now = self.now + Duration::from_millis(ms),
            Change::Floor(floor) => {
                self.floor = floor;
                self.balancer.set_floor(&service(), floor);
            }
        }
        self.balancer.tick(self.now);
    }

    fn check(&mut self) {
        let retention = Duration::from_secs(600);
        let now = self.now;
        self.lost.retain(|_, (_, at)| now.since(*at) < retention);
        let present: u32 = self.known.values().map(|r| r.targets[0].slots.0).sum();
        let announced = present + self.lost.values().map(|l| l.0).sum::<u32>();
        let floor = (announced * u32::from(self.floor)).div_ceil(100);
        let ready = |r: &&NodeRecord| !r.leaving && r.targets[0].state == TargetState::Ready;
        let (mut healthy, mut out) = (0, 0);
        for (node, record) in self.known.iter().filter(|(_, r)| ready(r)) {
            match self.balancer.ejection_state(&target_id(*node)) {
                Some(EjectionState::Active) => healthy += record.targets[0].slots.0,
                state => {
                    assert!(state.is_some());
                    out += 1;
                }
            }
        }
        assert!(
            healthy >= floor || out == 0,
            "{healthy} of {announced}, {out} out"
        );
        let capacity = self.balancer.capacity(now, &service());
        assert_eq!((capacity.announced, capacity.healthy), (announced, healthy));
    }
}

proptest! {
    /// Guards against ejection below the floor, where draining, leaving, cold and lost targets
    /// don't count as healthy, after any sequence of events.
    #[test]
    fn any_events(
        floor in 0..=100u8,
        changes in proptest::collection::vec(change(), 1..120),
    ) {
        let mut checker = Checker {
            balancer: balancer(0, floor),
            now: START,
            version: 0,
            floor,
            known: BTreeMap::new(),
            lost: BTreeMap::new(),
        };
        for change in &changes {
            checker.apply(change);
            checker.check();
        }
    }
}

fn out_of_rotation(balancer: &Balancer, count: u64) -> Vec<u64> {
    let active = |n: &u64| balancer.ejection_state(&target_id(*n)) == Some(EjectionState::Active);
    (1..=count).filter(|n| !active(n)).collect()
}

fn report_health(balancer: &mut Balancer, now: Time, node: u64, version: u64, health: Health) {
    balancer.update(now, &record(node, version, 3, TargetState::Ready, health));
}

/// Guards against ejection from a service that fails or is slow as a whole, and against ejection
/// because of a handful of requests.
#[test]
fn failing_service() {
    for failing in [health(40, 10), health(0, 20)] {
        let mut balancer = balancer(8, 0);
        for node in 1..=8 {
            report_health(&mut balancer, START, node, 2, failing.clone());
        }
        balancer.tick(START + Duration::from_secs(1));
        assert_eq!(out_of_rotation(&balancer, 8), [0; 0]);
    }
    let mut balancer = balancer(8, 0);
    let mut few_requests = health(0, 10);
    for window in [&mut few_requests.recent, &mut few_requests.long] {
        (window.requests, window.failures) = (4, 2);
    }
    report_health(&mut balancer, START, 1, 2, few_requests);
    assert_eq!(out_of_rotation(&balancer, 8), [0; 0]);
}

/// Guards against a floor that keeps the worst outliers in rotation while less severe ones are
/// ejected: when a healthy target is lost, the least severe of three outliers returns.
#[test]
fn least_severe_returns() {
    let mut balancer = balancer(8, 60);
    for (node, failures) in [(1, 30), (2, 60), (3, 100)] {
        report_health(&mut balancer, START, node, 2, health(failures, 10));
    }
    assert_eq!(out_of_rotation(&balancer, 8), [1, 2, 3]);
    balancer.remove_node(START, NodeId(8));
    assert_eq!(out_of_rotation(&balancer, 7), [2, 3]);
    let events = balancer.take_events();
    assert!(events.contains(&Event::KeptByFloor(target_id(1))));
}

/// Guards against an ejection that the floor undoes at once, as it would still lengthen the next
/// one.
#[test]
fn no_ejection_at_floor() {
    let mut balancer = balancer(8, 100);
    report_health(&mut balancer, START, 1, 2, health(100, 10));
    balancer.tick(START + Duration::from_secs(1));
    assert_eq!(balancer.take_events(), []);
}

/// Ejects target 1 and returns the length of the ejection.
fn ejection(balancer: &mut Balancer, now: Time, version: u64) -> Duration {
    report_health(balancer, now, 1, version, health(100, 10));
    let Some(EjectionState::Ejected { until, .. }) = balancer.ejection_state(&target_id(1)) else {
        panic!("target 1 is in rotation at {now}");
    };
    report_health(balancer, now, 1, version + 1, health(0, 10));
    until.since(now)
}

/// Guards against ejections that stay short for a flapping target, or that never get shorter again.
#[test]
fn doubling_and_decay() {
    let mut balancer = balancer(8, 0);
    let first = ejection(&mut balancer, START, 2);
    let mut now = START + first + Duration::from_secs(25);
    balancer.tick(now - Duration::from_secs(20));
    balancer.tick(now);
    let second = ejection(&mut balancer, now, 4);
    assert_eq!(second, first * 2);
    now = now + second;
    balancer.tick(now);
    now = now + Duration::from_secs(300);
    balancer.tick(now);
    assert_eq!(ejection(&mut balancer, now, 6), first);
}

/// Returns the share of 2,000 picks that go to target 1.
fn share_of_picks(balancer: &mut Balancer, now: Time, kind: &str, rng: &mut SmallRng) -> f64 {
    let service = service();
    let args = PickArgs {
        service: &service,
        kind,
        idempotent: false,
        tried: &[],
        fast_refusal: false,
    };
    let picks = (0..2_000).filter_map(|_| balancer.pick_for(now, &args, rng));
    picks.filter(|id| *id == target_id(1)).count() as f64 / 2_000.0
}

/// Guards against a target that receives its full load at once after an ejection.
#[test]
fn slow_start() {
    let mut rng = SmallRng::seed_from_u64(51);
    let mut balancer = Balancer::new("zone-1".parse().unwrap());
    for node in [1, 4, 7, 10] {
        report_health(&mut balancer, START, node, 1, health(0, 10));
    }
    let full = share_of_picks(&mut balancer, START, "", &mut rng);
    let length = ejection(&mut balancer, START, 2);
    assert_eq!(share_of_picks(&mut balancer, START, "", &mut rng), 0.0);
    let back = START + length;
    balancer.tick(back);
    let early = share_of_picks(&mut balancer, back + Duration::from_secs(1), "", &mut rng);
    let later = share_of_picks(&mut balancer, back + Duration::from_secs(7), "", &mut rng);
    assert!(early > 0.0 && early < 0.5 * full, "{early} of {full}");
    assert!(later > early && later < full, "{later} of {full}");
}

/// Guards against a target whose failures on one route are not detected because it serves the
/// others well, and against a ban of a route that fails at every target.
#[test]
fn failing_kind() {
    let mut rng = SmallRng::seed_from_u64(52);
    let failing = |count| {
        let mut health = health(1, 10);
        health.worst = Some(KindHealth {
            kind: "export".to_owned(),
            requests: count,
            errors: count,
        });
        health
    };
    let mut balancer = Balancer::new("zone-1".parse().unwrap());
    for node in [1, 4, 7, 10] {
        report_health(&mut balancer, START, node, 1, health(0, 10));
    }
    report_health(&mut balancer, START, 1, 2, failing(8));
    assert_eq!(
        share_of_picks(&mut balancer, START, "export", &mut rng),
        0.0
    );
    assert!(share_of_picks(&mut balancer, START, "read", &mut rng) > 0.1);
    let mut balancer = Balancer::new("zone-1".parse().unwrap());
    for node in [1, 4, 7, 10] {
        report_health(&mut balancer, START, node, 1, failing(8));
    }
    assert!(share_of_picks(&mut balancer, START, "export", &mut rng) > 0.1);
}
