//! A request with an idempotency key runs at most once in the retention period, whatever fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::idempotency::{
    Capacity, Claim, ClaimCoordinator, ClaimResponse, ClaimResult, Permit, RETENTION_MIN,
    RecordStore, RetentionPolicy, RunReport, RunResult,
};
use laburnumtide::limit::{NodeInfo, Placement};
use laburnumtide::outcome::FirstOutcome;
use laburnumtide::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const MS: u64 = 1_000;
const SEC: u64 = 1_000_000;
const POLICY: RetentionPolicy = RetentionPolicy {
    retention: RETENTION_MIN,
};
const NODES: usize = 8;
const KEYS: usize = 6;
const TICK: u64 = 250 * MS;
const SPAN: u64 = 240 * SEC;

/// Lifetime of a freshness proof; a node that missed an accepted registry honours no key after it.
const PROOF_LIFETIME: u64 = 3 * SEC;

/// Default seeds; `REPEAT_SEEDS=first..end` selects others.
const SEEDS: std::ops::Range<u64> = 0..60;

enum Event {
    Tick(u64),
    Request(usize),
    Claim(usize, Claim),
    Response(u64, SocketAddr, ClaimResponse),
    ClaimTimeout(u64),
    Dispatch(u64, Permit),
    Report(RunReport),
}

struct Node {
    id: NodeId,
    skew: u64,
    drift: f64,
    paused_until: u64,
    /// Number of the node's registry and the time of its receipt; `None` after a start.
    registry: Option<(usize, u64)>,
    updates_at: u64,
    settled: usize,
    placement: Placement,
    store: RecordStore,
    claims: BTreeMap<u64, ClaimCoordinator>,
}

impl Node {
    fn now(&self, at: u64) -> Time {
        Time(self.skew + (at as f64 * (1.0 + self.drift)) as u64)
    }
}

struct Sim {
    at: u64,
    rng: StdRng,
    nodes: Vec<Node>,
    /// Accepted registries with the time of their acceptance.
    registries: Vec<(u64, Vec<NodeInfo>)>,
    events: BTreeMap<(u64, u64), (usize, NodeId, Event)>,
    count: u64,
    /// Times of dispatch by key.
    runs: BTreeMap<usize, Vec<u64>>,
    /// Numbers of claims that ended with run, running, ended and unknown.
    results: [u32; 4],
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, i as u8 + 1], 7201))
}

fn key(i: usize) -> (AccountName, laburnumtide::idempotency::IdempotencyKey) {
    let account = format!("account-{}", i % 2).parse().unwrap();
    (account, format!("key-{i}").parse().unwrap())
}

impl Sim {
    fn new(seed: u64) -> Sim {
        let mut sim = Sim {
            at: 0,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            registries: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            runs: BTreeMap::new(),
            results: [0; 4],
        };
        for i in 0..NODES {
            let node = sim.new_process();
            sim.nodes.push(node);
            sim.schedule(0, i, Event::Tick(0));
        }
        sim.accept(&(0..NODES).collect::<Vec<_>>());
        sim
    }

    /// Creates a process that has just started.
    fn new_process(&mut self) -> Node {
        let id = NodeId(self.rng.random_range(1..=u64::MAX));
        let skew = self.rng.random_range(3_600 * SEC..7_200 * SEC);
        let drift = self.rng.random_range(-0.01..=0.01);
        let now = Time(skew + (self.at as f64 * (1.0 + drift)) as u64);
        Node {
            id,
            skew,
            drift,
            paused_until: 0,
            registry: None,
            updates_at: self.at + self.rng.random_range(0..3 * SEC),
            settled: 0,
            placement: Placement::new(id),
            store: RecordStore::new(now, POLICY, Capacity::default()),
            claims: BTreeMap::new(),
        }
    }

    fn restart(&mut self, i: usize) {
        self.nodes[i] = self.new_process();
        self.schedule(self.at, i, Event::Tick(0));
        let members = self.registries.last().unwrap().1.clone();
        let indices: Vec<usize> = (0..NODES)
            .filter(|j| *j == i || members.iter().any(|info| info.addr == addr(*j)))
            .collect();
        self.accept(&indices);
    }

    /// Accepts a registry of the nodes at `indices`; a minority may receive it late.
    fn accept(&mut self, indices: &[usize]) {
        let info = |&i: &usize| NodeInfo {
            id: self.nodes[i].id,
            addr: addr(i),
            zone: format!("zone-{}", i % 3).parse().unwrap(),
        };
        let infos = indices.iter().map(info).collect();
        self.registries.push((self.at, infos));
        for i in 0..NODES {
            let late = self.rng.random_bool(0.2);
            let max_delay = if late { 80 * SEC } else { SEC };
            self.nodes[i].updates_at = self.at + self.rng.random_range(0..max_delay);
        }
    }

    fn schedule(&mut self, at: u64, node: usize, event: Event) {
        self.count += 1;
        let id = self.nodes[node].id;
        self.events.insert((at, self.count), (node, id, event));
    }

    /// Delivers a message to the address of `to`; it may be late, duplicated or lost.
    fn send(&mut self, from: usize, to: usize, make: impl Fn() -> Event) {
        let lost = from != to && self.rng.random_bool(0.04);
        let copies = if lost {
            0
        } else {
            1 + usize::from(self.rng.random_bool(0.05))
        };
        for _ in 0..copies {
            let late = self.rng.random_bool(0.05);
            let max_delay = if late { 20 * SEC } else { 3 * MS };
            let delay = self.rng.random_range(100..max_delay);
            self.schedule(self.at + delay, to, make());
        }
    }

    fn index_of(voter: SocketAddr) -> usize {
        (0..NODES).find(|i| addr(*i) == voter).unwrap()
    }

    fn is_fresh(&self, i: usize) -> bool {
        let Some((held, _)) = self.nodes[i].registry else {
            return false;
        };
        let missed = self.registries.get(held + 1);
        missed.is_none_or(|(accepted, _)| self.at < accepted + PROOF_LIFETIME)
    }

    fn run_until(&mut self, end: u64) {
        while let Some((key, _)) = self.events.first_key_value()
            && key.0 < end
        {
            let (key, (i, id, event)) = self.events.pop_first().unwrap();
            self.at = key.0;
            let node = &self.nodes[i];
            // Messages are sent to an address; all other events belong to one process.
            let for_address = matches!(
                event,
                Event::Claim(..) | Event::Report(_) | Event::Request(_)
            );
            if !for_address && node.id != id {
                continue;
            }
            if node.paused_until > self.at {
                let until = node.paused_until;
                self.count += 1;
                self.events.insert((until, self.count), (i, id, event));
                continue;
            }
            self.step(i, event);
        }
        self.at = end;
    }

    fn step(&mut self, i: usize, event: Event) {
        let now = self.nodes[i].now(self.at);
        match event {
            Event::Tick(n) => self.tick(i, n, now),
            Event::Request(key) => self.request(i, key, now),
            Event::Claim(from, claim) => {
                let response = self.nodes[i].store.claim(now, &claim);
                if self.nodes[from].id == claim.node {
                    let request = claim.request.0;
                    self.send(i, from, || {
                        Event::Response(request, addr(i), response.clone())
                    });
                }
            }
            Event::Response(request, voter, response) => {
                if let Some(coordinator) = self.nodes[i].claims.get_mut(&request) {
                    coordinator.record_response(voter, Some(response));
                }
                self.finish_claim(i, request, false);
            }
            Event::ClaimTimeout(request) => self.finish_claim(i, request, true),
            Event::Dispatch(key, permit) => self.dispatch(i, key as usize, &permit, now),
            Event::Report(report) => self.nodes[i].store.record_result(now, &report),
        }
    }

    fn tick(&mut self, i: usize, n: u64, now: Time) {
        self.schedule(self.at + TICK, i, Event::Tick(n + 1));
        let newest = self.registries.len() - 1;
        let fresh = self.is_fresh(i);
        let node = &mut self.nodes[i];
        let held = node.registry.map(|(number, _)| number);
        if held != Some(newest) && node.updates_at <= self.at {
            // Registries between two ticks are skipped, as on a real node.
            node.placement
                .set_members(&self.registries[newest].1, |_| true);
            node.store.set_layouts(now, &node.placement);
            node.registry = Some((newest, self.at));
        }
        if fresh {
            node.store.confirm(now);
        }
        if let Some((number, since)) = node.registry
            && node.settled < number + 1
            && self.at - since > settle_time()
        {
            node.placement.settle();
            node.store.set_layouts(now, &node.placement);
            node.settled = number + 1;
        }
        if n.is_multiple_of(20) {
            node.store.expire(now);
        }
    }

    fn request(&mut self, i: usize, number: usize, now: Time) {
        if !self.is_fresh(i) {
            return;
        }
        let (account, name) = key(number);
        let request = self.count * 16 + number as u64;
        let placement = &self.nodes[i].placement;
        let coordinator =
            ClaimCoordinator::new(now, POLICY, placement, &account, &name, RequestId(request));
        let (claim, voters) = (coordinator.claim().clone(), coordinator.voters().to_vec());
        self.nodes[i].claims.insert(request, coordinator);
        for voter in voters {
            self.send(i, Self::index_of(voter), || Event::Claim(i, claim.clone()));
        }
        self.schedule(self.at + 200 * MS, i, Event::ClaimTimeout(request));
    }

    fn finish_claim(&mut self, i: usize, request: u64, timed_out: bool) {
        let Some(coordinator) = self.nodes[i].claims.get(&request) else {
            return;
        };
        let result = match coordinator.result() {
            Some(result) => result,
            None if timed_out => coordinator.result_at_timeout(),
            None => return,
        };
        let coordinator = self.nodes[i].claims.remove(&request).unwrap();
        let index = match &result {
            ClaimResult::Run(_) => 0,
            ClaimResult::Running { .. } => 1,
            ClaimResult::Ended { .. } => 2,
            ClaimResult::Unknown { .. } => 3,
        };
        self.results[index] += 1;
        match result {
            ClaimResult::Run(permit) => {
                let delay = self.rng.random_range(0..500 * MS);
                self.schedule(self.at + delay, i, Event::Dispatch(request % 16, permit));
            }
            _ => self.send_report(i, coordinator.voters(), coordinator.release()),
        }
    }

    fn dispatch(&mut self, i: usize, key: usize, permit: &Permit, now: Time) {
        let refused = self.rng.random_bool(0.3);
        let result = if refused || !permit.is_valid(now) || !self.is_fresh(i) {
            RunResult::NotRun
        } else {
            self.runs.entry(key).or_default().push(self.at);
            RunResult::Ran(FirstOutcome::Response(200))
        };
        let (voters, report) = permit.report(result);
        let voters = voters.to_vec();
        self.send_report(i, &voters, report);
    }

    fn send_report(&mut self, i: usize, voters: &[SocketAddr], report: RunReport) {
        for voter in voters {
            self.send(i, Self::index_of(*voter), || Event::Report(report.clone()));
        }
    }

    /// Schedules requests and runs them with random faults.
    fn run_with_faults(&mut self) {
        let mut at = 0;
        while at < SPAN {
            at += self.rng.random_range(20 * MS..300 * MS);
            let (node, key) = (
                self.rng.random_range(0..NODES),
                self.rng.random_range(0..KEYS),
            );
            self.schedule(at, node, Event::Request(key));
        }
        let mut next = 40 * SEC;
        while next < SPAN {
            self.run_until(next);
            self.fault();
            next += self.rng.random_range(2 * SEC..30 * SEC);
        }
        self.run_until(SPAN);
    }

    fn fault(&mut self) {
        let i = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..10) {
            0..3 => self.restart(i),
            3..6 => {
                let length = self.rng.random_range(SEC..50 * SEC);
                self.nodes[i].paused_until = self.at + length;
            }
            _ => {
                let size = self.rng.random_range(4..=NODES);
                let first = self.rng.random_range(0..NODES);
                let mut indices: Vec<_> = (first..first + size).map(|j| j % NODES).collect();
                indices.sort();
                self.accept(&indices);
            }
        }
    }

    /// Returns a key that was dispatched twice within the retention period, with both times.
    fn duplicate_run(&self) -> Option<(usize, u64, u64)> {
        let retention = POLICY.retention.as_micros() as u64;
        self.runs.iter().find_map(|(key, times)| {
            let pair = times.windows(2).find(|w| w[1] - w[0] < retention)?;
            Some((*key, pair[0], pair[1]))
        })
    }
}

fn settle_time() -> u64 {
    let lifetime = POLICY.record_lifetime().as_micros() as u64;
    2 * PROOF_LIFETIME + lifetime * 1_021 / 1_000
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("REPEAT_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("first..end");
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against a second run of a key after restarts, pauses, lost, late, duplicated and
/// reordered messages and changes of the voters.
#[test]
fn runs_once_under_random_faults() {
    let mut results = [0; 4];
    let mut runs = 0;
    for seed in seeds() {
        let mut sim = Sim::new(seed);
        sim.run_with_faults();
        assert_eq!(sim.duplicate_run(), None, "seed {seed}");
        runs += sim.runs.values().map(Vec::len).sum::<usize>();
        (0..4).for_each(|i| results[i] += sim.results[i]);
    }
    println!(
        "seeds={:?} runs={runs} run,running,ended,unknown={results:?}",
        seeds()
    );
    assert!(results.iter().all(|count| *count > 0), "{results:?}");
    assert!(runs > 0, "no request was dispatched");
}

/// Returns the store of the only voter, which no longer abstains, and the placement of its node.
fn lone_voter(capacity: Capacity) -> (Time, RecordStore, Placement) {
    let start = Time::from_millis(3_600_000);
    let info = NodeInfo {
        id: NodeId(1),
        addr: addr(0),
        zone: "zone-0".parse().unwrap(),
    };
    let mut placement = Placement::new(info.id);
    placement.set_members(&[info], |_| true);
    let mut store = RecordStore::new(start, POLICY, capacity);
    store.set_layouts(start, &placement);
    let mut now = start;
    for _ in 0..40 {
        now = now + Duration::from_secs(1);
        store.confirm(now);
    }
    (now, store, placement)
}

fn claim_at(
    now: Time,
    store: &mut RecordStore,
    placement: &Placement,
    number: usize,
    request: u64,
) -> (ClaimResponse, ClaimCoordinator) {
    let (account, name) = key(number);
    let request = RequestId(request);
    let mut coordinator = ClaimCoordinator::new(now, POLICY, placement, &account, &name, request);
    let response = store.claim(now, coordinator.claim());
    coordinator.record_response(addr(0), Some(response.clone()));
    (response, coordinator)
}

/// Guards against a voter at its capacity that drops a record, or lets one account use up the
/// capacity of the others.
#[test]
fn full_voter_refuses() {
    let capacity = Capacity {
        records: 3,
        records_per_account: 2,
    };
    let (now, mut store, placement) = lone_voter(capacity);
    let unable = ClaimResponse::Abstains { wait: None };
    // Even and odd numbers are keys of different accounts.
    let expected = [
        (0, ClaimResponse::New),
        (2, ClaimResponse::New),
        (4, unable.clone()),
        (1, ClaimResponse::New),
        (3, unable),
    ];
    for (request, (number, response)) in (1..).zip(expected) {
        let got = claim_at(now, &mut store, &placement, number, request).0;
        assert_eq!(got, response, "{number}");
    }
    let second = claim_at(now, &mut store, &placement, 0, 9).1;
    let result = second.result();
    assert!(
        matches!(result, Some(ClaimResult::Running { .. })),
        "{result:?}"
    );
    let later = now + POLICY.record_lifetime() * 2;
    store.expire(later);
    assert_eq!(store.record_count(), 0);
}

/// Guards against a duplicate of a claim that counts as another request, and against one that
/// claims a key again after its request was refused.
#[test]
fn duplicate_claims() {
    let (now, mut store, placement) = lone_voter(Capacity::default());
    let (first, coordinator) = claim_at(now, &mut store, &placement, 0, 1);
    assert_eq!(first, ClaimResponse::New);
    assert_eq!(store.claim(now, coordinator.claim()), ClaimResponse::New);
    store.record_result(now, &coordinator.release());
    let duplicate = store.claim(now, coordinator.claim());
    assert_eq!(duplicate, ClaimResponse::Abstains { wait: None });
    let (second, _) = claim_at(now, &mut store, &placement, 0, 2);
    assert_eq!(second, ClaimResponse::New);
    // A late release of the first request does not release the claim of the second.
    store.record_result(now, &coordinator.release());
    let (third, _) = claim_at(now, &mut store, &placement, 0, 3);
    assert!(matches!(third, ClaimResponse::Held(held) if held.request == RequestId(2)));
}

/// Guards against a voter that accepts a new key although it may lack records: after its start, and
/// after a long time without proof that its registry is current.
#[test]
fn voter_without_records_abstains() {
    let (now, mut store, placement) = lone_voter(Capacity::default());
    let abstains =
        |response: &ClaimResponse| matches!(response, ClaimResponse::Abstains { wait: Some(_) });
    let after_gap = now + POLICY.max_gap() + Duration::from_millis(1);
    let (response, _) = claim_at(after_gap, &mut store, &placement, 0, 1);
    assert!(abstains(&response), "{response:?}");
    let mut restarted = RecordStore::new(now, POLICY, Capacity::default());
    restarted.set_layouts(now, &placement);
    let (response, _) = claim_at(now + POLICY.retention, &mut restarted, &placement, 0, 1);
    assert!(abstains(&response), "{response:?}");
}

/// Guards against a dispatch after the records of its claim may have expired, and against claims
/// whose voter layouts differ from those of the voter.
#[test]
fn permits_expire_and_layouts_must_match() {
    let (now, mut store, mut placement) = lone_voter(Capacity::default());
    let (_, coordinator) = claim_at(now, &mut store, &placement, 0, 1);
    let Some(ClaimResult::Run(permit)) = coordinator.result() else {
        panic!("{:?}", coordinator.result());
    };
    let end = now + POLICY.permit_lifetime();
    assert!(permit.is_valid(end - Duration::from_micros(1)));
    assert!(!permit.is_valid(end));
    let info = |i: u8| NodeInfo {
        id: NodeId(u64::from(i) + 1),
        addr: addr(usize::from(i)),
        zone: "zone-0".parse().unwrap(),
    };
    placement.set_members(&[info(0), info(1)], |_| true);
    let (newer, _) = claim_at(now, &mut store, &placement, 2, 2);
    assert_eq!(newer, ClaimResponse::Abstains { wait: None });
    let mut lacking = Placement::new(NodeId(2));
    lacking.set_members(&[info(0), info(1)], |_| true);
    store.set_layouts(now, &placement);
    let (lacks_earlier, _) = claim_at(now, &mut store, &lacking, 2, 3);
    assert_eq!(lacks_earlier, ClaimResponse::Abstains { wait: None });
    let (matching, _) = claim_at(now, &mut store, &placement, 2, 4);
    assert_eq!(matching, ClaimResponse::New);
}
