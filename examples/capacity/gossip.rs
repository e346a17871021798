//! A simulation of gossip between many nodes in virtual time. Every message is encoded and decoded.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use laburnumtide::fleet::gossip::GOSSIP_INTERVAL;
use laburnumtide::fleet::{
    Advertisement, Gossip, Health, Member, NodeRecord, Push, RegistryChange, RelayedEntry, Scope,
    TargetRecord, TargetState,
};
use laburnumtide::freshness::ReplicaReport;
use laburnumtide::ids::{AttemptId, NodeId, ReplicaId};
use laburnumtide::replica::Confirmation;
use laburnumtide::route::{AttemptResult, Meter};
use laburnumtide::time::Time;
use laburnumtide::units::{Position, Slots};
use laburnumtide::wire::gossip::GossipMessage;
use laburnumtide::wire::registry::{decode_change, encode_change};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cost::{percent, resident_kb, thread_cpu};

/// Targets on one VM: 7,100 targets on 560 nodes are 12.7 per VM.
const TARGETS: usize = 13;

/// Requests per second to one target: 150,000 per second over 7,100 targets.
const TARGET_RATE: f64 = 21.0;

/// Interval at which a node polls its meters.
const METER_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum number of rounds between two registry changes, as in the control leader.
const CHANGE_ROUNDS: u64 = 13;

/// Number of availability zones at the planned size.
const ZONES: usize = 9;

/// Number of regions at the planned size.
const REGIONS: usize = 3;

/// The event that a run simulates.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Nothing changes.
    Idle,
    /// Nothing changes, and no control process is reachable.
    NoControl,
    /// One node restarts.
    Restart,
    /// Each target publishes its health at this rate per second.
    Load(f64),
    /// A zone fails, and all its nodes start again at once.
    ZoneRestart,
    /// The regions are partitioned from each other, and the partition heals; only the first region
    /// reaches the control processes.
    PartitionHeals,
}

struct Node {
    id: NodeId,
    gossip: Gossip,
    version: u64,
    sent: u64,
    peak: u64,
}

struct Sim {
    now: Time,
    rng: StdRng,
    nodes: Vec<Option<Node>>,
    log: Vec<Bytes>,
    pending_change: RegistryChange,
    round: u64,
    last_commit: u64,
    partitioned: bool,
    has_control: bool,
    targets: Vec<TargetRecord>,
    messages: u64,
    entry_bytes: u64,
    next_id: u64,
}

/// The results of a run; bytes and messages are those sent per second and node.
struct Metrics {
    bytes: f64,
    peak_bytes: u64,
    messages: f64,
    cpu: f64,
    fresh: f64,
    entry_bytes: u64,
    converged: Option<Duration>,
}

impl Sim {
    fn new(count: usize) -> Sim {
        let mut sim = Sim {
            now: Time::from_millis(3_600_000),
            rng: StdRng::seed_from_u64(7),
            nodes: Vec::new(),
            log: Vec::new(),
            pending_change: RegistryChange::default(),
            round: 0,
            last_commit: 0,
            partitioned: false,
            has_control: true,
            targets: targets(&measured_health()),
            messages: 0,
            entry_bytes: 0,
            next_id: 0,
        };
        let ids: Vec<NodeId> = (0..count).map(|_| sim.random_id()).collect();
        let mut joined: Vec<Member> = (0..count).map(|i| member(ids[i], i)).collect();
        joined.sort_by_key(|m| m.id);
        sim.pending_change.joined = joined;
        sim.commit();
        let records = (0..count)
            .map(|i| sim.record(ids[i], i, 1).into())
            .collect();
        let records = Push { records };
        let seeded = sim.now;
        sim.now = seeded + Duration::from_secs(60);
        for (i, id) in ids.iter().enumerate() {
            let mut node = sim.start(*id, i);
            node.gossip.receive_push(&records);
            // Records are sent as updates for some time after they arrive. The first request starts
            // that time for the initial records, and the second one, 60 s later, ends it.
            let peer = member(ids[0], 0);
            node.gossip.request(seeded, &peer);
            node.gossip.request(sim.now, &peer);
            sim.nodes.push(Some(node));
        }
        sim
    }

    fn random_id(&mut self) -> NodeId {
        self.next_id += 1;
        NodeId(self.rng.random_range(1..u64::MAX / 4_096) * 4_096 + self.next_id % 4_096)
    }

    fn record(&self, id: NodeId, index: usize, version: u64) -> Advertisement {
        Advertisement {
            addr: member(id, index).addr,
            started: self.now.as_millis(),
            record: NodeRecord {
                node: id,
                version,
                health_version: 1,
                zone: member(id, index).zone,
                leaving: false,
                targets: self.targets.clone(),
            },
        }
    }

    fn start(&self, id: NodeId, index: usize) -> Node {
        let mut gossip = Gossip::new(id);
        gossip.publish(self.record(id, index, 1));
        apply(&mut gossip, &self.log, Position(0));
        Node {
            id,
            gossip,
            version: 1,
            sent: 0,
            peak: 0,
        }
    }

    /// Commits the pending registry change.
    fn commit(&mut self) {
        self.pending_change.joined.sort_by_key(|m| m.id);
        self.pending_change.left.sort();
        if !self.pending_change.is_empty() {
            self.log.push(encode_change(&self.pending_change).into());
            self.pending_change = RegistryChange::default();
            self.last_commit = self.round;
        }
    }

    fn restart(&mut self, index: usize) {
        if let Some(old) = self.nodes[index].take() {
            self.leave(old.id);
        }
        let id = self.random_id();
        let node = self.start(id, index);
        self.nodes[index] = Some(node);
        self.pending_change.joined.push(member(id, index));
    }

    fn leave(&mut self, id: NodeId) {
        let before = self.pending_change.joined.len();
        self.pending_change.joined.retain(|m| m.id != id);
        if self.pending_change.joined.len() == before {
            self.pending_change.left.push(id);
        }
    }

    fn reaches_control(&self, index: usize) -> bool {
        self.has_control && (!self.partitioned || index.is_multiple_of(REGIONS))
    }

    /// Runs one gossip round: every node starts its exchanges.
    fn step(&mut self, publish: f64) {
        let count = self.nodes.len();
        if self.round >= self.last_commit + CHANGE_ROUNDS {
            self.commit();
        }
        for index in 0..count {
            self.now = self.now + GOSSIP_INTERVAL / count as u32;
            self.sync(index);
            if self.rng.random_bool(publish.min(1.0)) {
                self.publish(index);
            }
            self.gossip(index);
        }
        self.round += 1;
    }

    fn sync(&mut self, index: usize) {
        let reaches_control = self.reaches_control(index);
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        if reaches_control {
            let from = node.gossip.proof().position();
            apply(&mut node.gossip, &self.log, from);
            let report = ReplicaReport {
                sent: self.now,
                replica: ReplicaId(1),
                position: Position(self.log.len() as u64),
                confirmation: Confirmation::Leader,
            };
            node.gossip.proof_mut().record_replica(self.now, report);
        }
    }

    fn publish(&mut self, index: usize) {
        let Some(node) = &self.nodes[index] else {
            return;
        };
        let record = self.record(node.id, index, node.version + 1);
        let node = self.nodes[index].as_mut().expect("the node is running");
        node.version += 1;
        node.gossip.publish(record);
    }

    fn gossip(&mut self, index: usize) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let peers = node.gossip.peers(&mut self.rng);
        for peer in peers {
            let to = usize::from(peer.addr.port()) - 1;
            let is_unreachable = self.partitioned && index % REGIONS != to % REGIONS;
            let is_running = self.nodes[to].as_ref().is_some_and(|n| n.id == peer.id);
            if !is_unreachable && is_running {
                self.exchange(index, to);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let now = self.now;
        let Some(peer) = self.nodes[to].as_ref().map(|node| member(node.id, to)) else {
            return;
        };
        let request = self.node(from).gossip.request(now, &peer);
        let GossipMessage::Request(request) = self.send(from, GossipMessage::Request(request))
        else {
            return;
        };
        let last = self.node(to).gossip.proof().position();
        let mut response = self.node(to).gossip.respond(now, &request);
        let missing = self.log.iter().zip(1..).skip(request.position.0 as usize);
        response.entries = missing
            .take_while(|(_, position)| *position <= last.0)
            .map(|(entry, position)| RelayedEntry {
                position: Position(position),
                entry: entry.clone(),
            })
            .collect();
        self.entry_bytes += response
            .entries
            .iter()
            .map(|e| e.entry.len() as u64)
            .sum::<u64>();
        let GossipMessage::Response(response) = self.send(to, GossipMessage::Response(response))
        else {
            return;
        };
        let gossip = &mut self.node(from).gossip;
        for relayed in &response.entries {
            if relayed.position == gossip.proof().position().next() {
                let change = decode_change(&relayed.entry).expect("the message was encoded here");
                gossip
                    .apply(relayed.position, Some(&change))
                    .expect("the position follows the last one");
            }
        }
        if let Some(push) = gossip.receive(now, &response)
            && let GossipMessage::Push(push) = self.send(from, GossipMessage::Push(push))
        {
            self.node(to).gossip.receive_push(&push);
        }
    }

    fn node(&mut self, index: usize) -> &mut Node {
        self.nodes[index].as_mut().expect("the node is running")
    }

    fn send(&mut self, from: usize, message: GossipMessage) -> GossipMessage {
        let bytes = message.encode();
        self.messages += 1;
        self.node(from).sent += bytes.len() as u64;
        GossipMessage::decode(bytes).expect("the message was encoded here")
    }

    fn has_converged(&self) -> bool {
        let mut hashes = self
            .nodes
            .iter()
            .flatten()
            .map(|n| n.gossip.records().hash(Scope::WithoutHealth));
        let first = hashes.next();
        hashes.all(|h| Some(h) == first) && self.pending_change.is_empty()
    }

    fn run(&mut self, event: Event, secs: u64) -> Metrics {
        let count = self.nodes.len();
        let rounds = secs * 1_000 / GOSSIP_INTERVAL.as_millis() as u64;
        let rounds_per_sec = 1_000_u64.div_ceil(GOSSIP_INTERVAL.as_millis() as u64);
        let (mut total, mut fresh, mut converged) = (0, 0.0, None);
        let (messages, entry_bytes) = (self.messages, self.entry_bytes);
        let start = thread_cpu();
        for round in 0..rounds {
            self.inject_event(event, round);
            let publish = match event {
                Event::Load(rate) => rate * TARGETS as f64 * GOSSIP_INTERVAL.as_secs_f64(),
                _ => 0.0,
            };
            self.step(publish);
            if round % rounds_per_sec == rounds_per_sec - 1 {
                for node in self.nodes.iter_mut().flatten() {
                    total += node.sent;
                    node.peak = node.peak.max(node.sent);
                    node.sent = 0;
                }
            }
            converged = match self.has_converged() {
                true => converged.or(Some(round)),
                false => None,
            };
            let now = self.now;
            let is_fresh = |n: &&Node| n.gossip.proof().is_fresh(now);
            fresh += self.nodes.iter().flatten().filter(is_fresh).count() as f64;
        }
        let cpu = thread_cpu() - start;
        let seconds =
            (rounds / rounds_per_sec * rounds_per_sec) as f64 * GOSSIP_INTERVAL.as_secs_f64();
        let span = rounds_per_sec as f64 * GOSSIP_INTERVAL.as_secs_f64();
        let peak = self
            .nodes
            .iter()
            .flatten()
            .map(|n| n.peak)
            .max()
            .unwrap_or(0);
        Metrics {
            bytes: total as f64 / seconds / count as f64,
            peak_bytes: (peak as f64 / span) as u64,
            messages: (self.messages - messages) as f64 / seconds / count as f64,
            cpu: percent(cpu, Duration::from_secs(secs)) / count as f64,
            fresh: fresh / (rounds as f64 * count as f64),
            entry_bytes: self.entry_bytes - entry_bytes,
            converged: converged.map(|r| GOSSIP_INTERVAL * r as u32),
        }
    }

    fn inject_event(&mut self, event: Event, round: u64) {
        let count = self.nodes.len();
        match event {
            Event::NoControl => self.has_control = false,
            Event::Restart if round == CHANGE_ROUNDS => self.restart(count / 2),
            Event::ZoneRestart if round == 0 => {
                for index in (0..count).filter(|p| p.is_multiple_of(ZONES)) {
                    let old = self.nodes[index].take().expect("every node runs");
                    self.leave(old.id);
                }
                self.commit();
                self.last_commit = 0;
            }
            Event::ZoneRestart if round == CHANGE_ROUNDS => {
                for index in (0..count).filter(|p| p.is_multiple_of(ZONES)) {
                    self.restart(index);
                }
            }
            Event::PartitionHeals if round == 0 => self.partitioned = true,
            Event::PartitionHeals if round == CHANGE_ROUNDS => {
                let lost: Vec<NodeId> = self.unreachable_members().map(|m| m.id).collect();
                self.pending_change.left.extend(lost);
            }
            Event::PartitionHeals if round == 3 * CHANGE_ROUNDS => {
                self.partitioned = false;
                let returned: Vec<Member> = self.unreachable_members().collect();
                self.pending_change.joined.extend(returned);
            }
            _ => {}
        }
    }

    /// Returns the nodes of the regions that don't reach the control processes.
    fn unreachable_members(&self) -> impl Iterator<Item = Member> {
        let nodes = self.nodes.iter().enumerate();
        let unreachable = nodes.filter(|(index, _)| !index.is_multiple_of(REGIONS));
        unreachable.flat_map(|(index, node)| Some(member(node.as_ref()?.id, index)))
    }
}

fn apply(gossip: &mut Gossip, log: &[Bytes], from: Position) {
    for (entry, position) in log.iter().zip(1..).skip(from.0 as usize) {
        let change = decode_change(entry).expect("the message was encoded here");
        gossip
            .apply(Position(position), Some(&change))
            .expect("the position follows the last one");
    }
}

fn member(id: NodeId, index: usize) -> Member {
    Member {
        id,
        addr: format!("10.20.30.40:{}", index + 1)
            .parse()
            .expect("the address is valid"),
        zone: format!("zone-{}", index % ZONES)
            .parse()
            .expect("the zone is valid"),
    }
}

fn targets(health: &Health) -> Vec<TargetRecord> {
    let target = |i: usize| TargetRecord {
        name: format!("server-{i}").parse().expect("the name is valid"),
        service: format!("service-{i:03}")
            .parse()
            .expect("the name is valid"),
        addr: format!("10.20.30.40:{}", 9_000 + i)
            .parse()
            .expect("the address is valid"),
        slots: Slots(7),
        connections: 360,
        state: TargetState::Ready,
        health: health.clone(),
    };
    (0..TARGETS).map(target).collect()
}

/// Runs a meter at the planned rate; returns the last health that it publishes.
fn measured_health() -> Health {
    let profile = ServiceProfile {
        mean_ms: 20.0,
        variable: 1.0,
        failures: 0.0,
    };
    run_meter(Duration::from_secs(60), profile).1
}

/// The service times and failures of a target.
#[derive(Clone, Copy)]
struct ServiceProfile {
    /// Mean service time in milliseconds.
    mean_ms: f64,
    /// Fraction of the service time that is exponentially distributed; the rest is constant.
    variable: f64,
    /// Fraction of requests that fail.
    failures: f64,
}

/// Runs the meter of one target; returns how often it publishes, and the last health.
fn run_meter(length: Duration, profile: ServiceProfile) -> (u64, Health) {
    let mut rng = StdRng::seed_from_u64(11);
    let start = Time::from_millis(3_600_000);
    let mut meter = Meter::new(start);
    let mut running: BTreeMap<(Time, u64), AttemptResult> = BTreeMap::new();
    let (mut published, mut last) = (0, Health::default());
    let (mut now, mut attempt) = (start, 0);
    let mut tick = start + METER_INTERVAL;
    while now < start + length {
        attempt += 1;
        let interval = -rng.random_range(f64::EPSILON..1.0).ln() / TARGET_RATE;
        now = now + Duration::from_secs_f64(interval);
        loop {
            let ended = running.first_key_value().map(|((at, _), _)| *at);
            if ended.is_some_and(|at| at <= now && at <= tick) {
                let ((at, id), result) = running.pop_first().expect("the map is not empty");
                meter.end(at, AttemptId(id), "route", result);
            } else if tick <= now {
                if let Some(health) = meter.publish(tick) {
                    published += 1;
                    last = health;
                }
                tick = tick + METER_INTERVAL;
            } else {
                break;
            }
        }
        let random = -rng.random_range(f64::EPSILON..1.0).ln();
        let factor = 1.0 - profile.variable + profile.variable * random;
        let service_time = Duration::from_secs_f64(profile.mean_ms / 1_000.0 * factor);
        let result = match rng.random_bool(profile.failures) {
            true => AttemptResult::Failed,
            false => AttemptResult::Success,
        };
        meter.start(now, AttemptId(attempt));
        running.insert((now + service_time, attempt), result);
    }
    (published, last)
}

/// Prints how often meters publish; returns the mean rate of healthy targets.
fn print_publish_rates() -> f64 {
    println!(
        "\npublish rate of the meter of one target at {TARGET_RATE} requests/s, one hour each"
    );
    println!(
        "{:>8} {:>7} {:>7} {:>9}",
        "mean ms", "var", "failed", "per s"
    );
    let hour = Duration::from_secs(3_600);
    let (mut sum, mut count) = (0.0, 0.0);
    for failures in [0.0, 0.01] {
        for variable in [0.2, 1.0] {
            for mean_ms in [10.0, 12.0, 14.0, 17.0, 20.0, 24.0, 28.0, 34.0] {
                let profile = ServiceProfile {
                    mean_ms,
                    variable,
                    failures,
                };
                let rate = run_meter(hour, profile).0 as f64 / hour.as_secs_f64();
                println!("{mean_ms:>8} {variable:>7} {failures:>7} {rate:>9.4}");
                if failures == 0.0 {
                    sum += rate;
                    count += 1.0;
                }
            }
        }
    }
    println!("mean rate of healthy targets: {:.4}", sum / count);
    sum / count
}

fn row(count: usize, event: Event, secs: u64) -> Metrics {
    let mut sim = Sim::new(count);
    let metrics = sim.run(event, secs);
    let converged = metrics
        .converged
        .map_or("-".to_owned(), |d| format!("{:.1}", d.as_secs_f64()));
    println!(
        "{count:>6} {:<22} {secs:>5} {:>9.0} {:>10} {:>7.1} {:>8.4} {:>7.4} {:>9} {converged:>7}",
        format!("{event:?}"),
        metrics.bytes,
        metrics.peak_bytes,
        metrics.messages,
        metrics.cpu,
        metrics.fresh,
        metrics.entry_bytes,
    );
    metrics
}

/// Prints the cost of gossip by the number of nodes and by event.
pub fn print() -> anyhow::Result<()> {
    let healthy_rate = print_publish_rates();
    println!("\ngossip of N nodes with {TARGETS} targets each, bytes sent per second and node");
    println!(
        "{:>6} {:<22} {:>5} {:>9} {:>10} {:>7} {:>8} {:>7} {:>9} {:>7}",
        "nodes",
        "event",
        "secs",
        "bytes/s",
        "peak B/s",
        "msg/s",
        "% core",
        "fresh",
        "entries B",
        "conv s"
    );
    let only: Option<usize> = std::env::args().nth(2).and_then(|n| n.parse().ok());
    for count in [8, 64, 192, 560] {
        if only.is_some_and(|n| n != count) {
            continue;
        }
        // The work of a simulation under load grows with the square of the number of nodes.
        let load_secs = if count > 64 { 1_600 / count as u64 } else { 20 };
        let before = resident_kb("self");
        let sim = Sim::new(count);
        let grown = resident_kb("self").saturating_sub(before);
        drop(sim);
        println!("{count:>6} memory: {} kB per node", grown / count as u64);
        row(count, Event::Idle, 20);
        row(count, Event::NoControl, 20);
        row(count, Event::Restart, 36);
        if count >= 64 {
            row(count, Event::ZoneRestart, 36);
            row(count, Event::PartitionHeals, 50);
        }
        row(count, Event::Load(1.0 / 120.0), load_secs);
        if count <= 64 {
            row(count, Event::Load(healthy_rate), 8);
        }
    }
    Ok(())
}
