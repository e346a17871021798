//! Gossip of many nodes in virtual time, with every message encoded and decoded.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use laburnumtide::fleet::gossip::GOSSIP_INTERVAL;
use laburnumtide::fleet::{
    Advertisement, Gossip, Health, Member, NodeRecord, Push, RegistryChange, RelayedEntry,
    TargetRecord, TargetState,
};
use laburnumtide::freshness::ReplicaReport;
use laburnumtide::ids::{AttemptId, NodeId, ReplicaId};
use laburnumtide::replica::Confirmation;
use laburnumtide::route::{AttemptResult, Meter};
use laburnumtide::time::Time;
use laburnumtide::units::{Position, Slots};
use laburnumtide::wire::fleet::GossipMessage;
use laburnumtide::wire::registry::{decode_change, encode_change};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cost::{percent, resident_kb, thread_cpu};

/// Targets on one VM; 7,100 on 560 nodes are 12.7.
const TARGETS: usize = 13;

/// Requests a second to one target: 150,000 on 7,100.
const TARGET_RATE: f64 = 21.0;

/// Time between two looks of a node at its meters.
const METER_TICK: Duration = Duration::from_millis(250);

/// Least time between two registry changes, as the control leader keeps it.
const CHANGE_ROUNDS: u64 = 13;

/// Zones of the planned size.
const ZONES: usize = 9;

/// Regions of the planned size.
const REGIONS: usize = 3;

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Nothing changes.
    Rest,
    /// Nothing changes and no control process answers.
    ControlAway,
    /// One node restarts.
    Restart,
    /// Each target publishes its health at this rate a second.
    Load(f64),
    /// A zone is away and all its nodes start at once.
    ZoneReturns,
    /// The regions are cut off from each other and meet again; control stays with the first.
    RegionsMeet,
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
    change: RegistryChange,
    round: u64,
    changed: u64,
    cut: bool,
    control: bool,
    targets: Vec<TargetRecord>,
    messages: u64,
    entry_bytes: u64,
    next_id: u64,
}

/// What a run showed; bytes and messages are those sent, a second and node.
struct Figures {
    bytes: f64,
    worst_second: u64,
    messages: f64,
    cpu: f64,
    fresh: f64,
    entries: u64,
    agreed: Option<Duration>,
}

impl Sim {
    fn new(count: usize) -> Sim {
        let mut sim = Sim {
            now: Time::from_millis(3_600_000),
            rng: StdRng::seed_from_u64(7),
            nodes: Vec::new(),
            log: Vec::new(),
            change: RegistryChange::default(),
            round: 0,
            changed: 0,
            cut: false,
            control: true,
            targets: targets(&measured_health()),
            messages: 0,
            entry_bytes: 0,
            next_id: 0,
        };
        let ids: Vec<NodeId> = (0..count).map(|_| sim.draw_id()).collect();
        let mut joined: Vec<Member> = (0..count).map(|i| member(ids[i], i)).collect();
        joined.sort_by_key(|m| m.id);
        sim.change.joined = joined;
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
            // The seeding is no news any more once it was dated and has aged.
            node.gossip.request(seeded);
            node.gossip.request(sim.now);
            sim.nodes.push(Some(node));
        }
        sim
    }

    fn draw_id(&mut self) -> NodeId {
        self.next_id += 1;
        NodeId(self.rng.random_range(1..u64::MAX / 4_096) * 4_096 + self.next_id % 4_096)
    }

    fn record(&self, id: NodeId, place: usize, version: u64) -> Advertisement {
        Advertisement {
            addr: member(id, place).addr,
            started: self.now.as_millis(),
            record: NodeRecord {
                node: id,
                version,
                zone: member(id, place).zone,
                leaving: false,
                targets: self.targets.clone(),
            },
        }
    }

    fn start(&self, id: NodeId, place: usize) -> Node {
        let mut gossip = Gossip::new(id);
        gossip.publish(self.record(id, place, 1));
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
        self.change.joined.sort_by_key(|m| m.id);
        self.change.left.sort();
        if !self.change.is_empty() {
            self.log.push(encode_change(&self.change).into());
            self.change = RegistryChange::default();
            self.changed = self.round;
        }
    }

    fn restart(&mut self, place: usize) {
        if let Some(old) = self.nodes[place].take() {
            self.leave(old.id);
        }
        let id = self.draw_id();
        let node = self.start(id, place);
        self.nodes[place] = Some(node);
        self.change.joined.push(member(id, place));
    }

    fn leave(&mut self, id: NodeId) {
        let before = self.change.joined.len();
        self.change.joined.retain(|m| m.id != id);
        if self.change.joined.len() == before {
            self.change.left.push(id);
        }
    }

    fn hears_control(&self, place: usize) -> bool {
        self.control && (!self.cut || place.is_multiple_of(REGIONS))
    }

    /// Lets every node begin its exchanges of one round.
    fn step(&mut self, publish: f64) {
        let count = self.nodes.len();
        if self.round >= self.changed + CHANGE_ROUNDS {
            self.commit();
        }
        for place in 0..count {
            self.now = self.now + GOSSIP_INTERVAL / count as u32;
            self.sync(place);
            if self.rng.random_bool(publish.min(1.0)) {
                self.publish(place);
            }
            self.gossip(place);
        }
        self.round += 1;
    }

    fn sync(&mut self, place: usize) {
        let hears = self.hears_control(place);
        let Some(node) = &mut self.nodes[place] else {
            return;
        };
        if hears {
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

    fn publish(&mut self, place: usize) {
        let Some(node) = &self.nodes[place] else {
            return;
        };
        let record = self.record(node.id, place, node.version + 1);
        let node = self.nodes[place].as_mut().expect("checked above");
        node.version += 1;
        node.gossip.publish(record);
    }

    fn gossip(&mut self, place: usize) {
        let Some(node) = &mut self.nodes[place] else {
            return;
        };
        let peers = node.gossip.peers(&mut self.rng);
        for peer in peers {
            let to = usize::from(peer.addr.port()) - 1;
            let is_cut = self.cut && place % REGIONS != to % REGIONS;
            let is_there = self.nodes[to].as_ref().is_some_and(|n| n.id == peer.id);
            if !is_cut && is_there {
                self.exchange(place, to);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let now = self.now;
        let ask = self.node(from).gossip.request(now);
        let GossipMessage::Request(ask) = self.send(from, GossipMessage::Request(ask)) else {
            return;
        };
        let held = self.node(to).gossip.proof().position();
        let mut answer = self.node(to).gossip.respond(now, &ask);
        let missing = self.log.iter().zip(1..).skip(ask.position.0 as usize);
        answer.entries = missing
            .take_while(|(_, position)| *position <= held.0)
            .map(|(entry, position)| RelayedEntry {
                position: Position(position),
                entry: entry.clone(),
            })
            .collect();
        self.entry_bytes += answer
            .entries
            .iter()
            .map(|e| e.entry.len() as u64)
            .sum::<u64>();
        let GossipMessage::Response(answer) = self.send(to, GossipMessage::Response(answer)) else {
            return;
        };
        let gossip = &mut self.node(from).gossip;
        for relayed in &answer.entries {
            if relayed.position == gossip.proof().position().next() {
                let change = decode_change(&relayed.entry).expect("it was encoded here");
                gossip
                    .apply(relayed.position, Some(&change))
                    .expect("it follows");
            }
        }
        if let Some(push) = gossip.receive(now, &answer)
            && let GossipMessage::Push(push) = self.send(from, GossipMessage::Push(push))
        {
            self.node(to).gossip.receive_push(&push);
        }
    }

    fn node(&mut self, place: usize) -> &mut Node {
        self.nodes[place].as_mut().expect("both ends were checked")
    }

    fn send(&mut self, from: usize, message: GossipMessage) -> GossipMessage {
        let bytes = message.encode();
        self.messages += 1;
        self.node(from).sent += bytes.len() as u64;
        GossipMessage::decode(bytes).expect("it was encoded here")
    }

    fn agrees(&self) -> bool {
        let mut hashes = self
            .nodes
            .iter()
            .flatten()
            .map(|n| n.gossip.records().hash());
        let first = hashes.next();
        hashes.all(|h| Some(h) == first) && self.change.is_empty()
    }

    fn run(&mut self, event: Event, secs: u64) -> Figures {
        let count = self.nodes.len();
        let rounds = secs * 1_000 / GOSSIP_INTERVAL.as_millis() as u64;
        let second = 1_000_u64.div_ceil(GOSSIP_INTERVAL.as_millis() as u64);
        let (mut total, mut fresh, mut agreed) = (0, 0.0, None);
        let (messages, entries) = (self.messages, self.entry_bytes);
        let start = thread_cpu();
        for round in 0..rounds {
            self.disturb(event, round);
            let publish = match event {
                Event::Load(rate) => rate * TARGETS as f64 * GOSSIP_INTERVAL.as_secs_f64(),
                _ => 0.0,
            };
            self.step(publish);
            if round % second == second - 1 {
                for node in self.nodes.iter_mut().flatten() {
                    total += node.sent;
                    node.peak = node.peak.max(node.sent);
                    node.sent = 0;
                }
            }
            agreed = match self.agrees() {
                true => agreed.or(Some(round)),
                false => None,
            };
            let now = self.now;
            let is_fresh = |n: &&Node| n.gossip.proof().is_fresh(now);
            fresh += self.nodes.iter().flatten().filter(is_fresh).count() as f64;
        }
        let cpu = thread_cpu() - start;
        let seconds = (rounds / second * second) as f64 * GOSSIP_INTERVAL.as_secs_f64();
        let span = second as f64 * GOSSIP_INTERVAL.as_secs_f64();
        let peak = self
            .nodes
            .iter()
            .flatten()
            .map(|n| n.peak)
            .max()
            .unwrap_or(0);
        Figures {
            bytes: total as f64 / seconds / count as f64,
            worst_second: (peak as f64 / span) as u64,
            messages: (self.messages - messages) as f64 / seconds / count as f64,
            cpu: percent(cpu, Duration::from_secs(secs)) / count as f64,
            fresh: fresh / (rounds as f64 * count as f64),
            entries: self.entry_bytes - entries,
            agreed: agreed.map(|r| GOSSIP_INTERVAL * r as u32),
        }
    }

    fn disturb(&mut self, event: Event, round: u64) {
        let count = self.nodes.len();
        match event {
            Event::ControlAway => self.control = false,
            Event::Restart if round == CHANGE_ROUNDS => self.restart(count / 2),
            Event::ZoneReturns if round == 0 => {
                for place in (0..count).filter(|p| p.is_multiple_of(ZONES)) {
                    let old = self.nodes[place].take().expect("every node runs");
                    self.leave(old.id);
                }
                self.commit();
                self.changed = 0;
            }
            Event::ZoneReturns if round == CHANGE_ROUNDS => {
                for place in (0..count).filter(|p| p.is_multiple_of(ZONES)) {
                    self.restart(place);
                }
            }
            Event::RegionsMeet if round == 0 => self.cut = true,
            Event::RegionsMeet if round == CHANGE_ROUNDS => {
                let away: Vec<NodeId> = self.far().map(|m| m.id).collect();
                self.change.left.extend(away);
            }
            Event::RegionsMeet if round == 3 * CHANGE_ROUNDS => {
                self.cut = false;
                let far: Vec<Member> = self.far().collect();
                self.change.joined.extend(far);
            }
            _ => {}
        }
    }

    /// Lists the nodes of the regions without control.
    fn far(&self) -> impl Iterator<Item = Member> {
        let nodes = self.nodes.iter().enumerate();
        let far = nodes.filter(|(place, _)| !place.is_multiple_of(REGIONS));
        far.flat_map(|(place, node)| Some(member(node.as_ref()?.id, place)))
    }
}

fn apply(gossip: &mut Gossip, log: &[Bytes], from: Position) {
    for (entry, position) in log.iter().zip(1..).skip(from.0 as usize) {
        let change = decode_change(entry).expect("it was encoded here");
        gossip
            .apply(Position(position), Some(&change))
            .expect("it follows");
    }
}

fn member(id: NodeId, place: usize) -> Member {
    Member {
        id,
        addr: format!("10.20.30.40:{}", place + 1)
            .parse()
            .expect("an address"),
        zone: format!("zone-{}", place % ZONES).parse().expect("a zone"),
    }
}

fn targets(health: &Health) -> Vec<TargetRecord> {
    let target = |i: usize| TargetRecord {
        name: format!("server-{i}").parse().expect("a name"),
        service: format!("service-{i:03}").parse().expect("a name"),
        addr: format!("10.20.30.40:{}", 9_000 + i)
            .parse()
            .expect("an address"),
        slots: Slots(7),
        connections: 360,
        state: TargetState::Ready,
        health: health.clone(),
    };
    (0..TARGETS).map(target).collect()
}

/// Runs a meter at the planned rate; returns its last health.
fn measured_health() -> Health {
    let plan = Service {
        mean_ms: 20.0,
        spread: 1.0,
        bad: 0.0,
    };
    meter_run(Duration::from_secs(60), plan).1
}

/// How a target serves.
#[derive(Clone, Copy)]
struct Service {
    /// Mean service time in milliseconds.
    mean_ms: f64,
    /// Part of the service time that is exponentially distributed; the rest is constant.
    spread: f64,
    /// Share of requests that fail.
    bad: f64,
}

/// Returns how often the meter of one target publishes, and the last health.
fn meter_run(length: Duration, service: Service) -> (u64, Health) {
    let mut rng = StdRng::seed_from_u64(11);
    let start = Time::from_millis(3_600_000);
    let mut meter = Meter::new(start);
    let mut running: BTreeMap<(Time, u64), AttemptResult> = BTreeMap::new();
    let (mut published, mut last) = (0, Health::default());
    let (mut now, mut attempt) = (start, 0);
    let mut tick = start + METER_TICK;
    while now < start + length {
        attempt += 1;
        let gap = -rng.random_range(f64::EPSILON..1.0).ln() / TARGET_RATE;
        now = now + Duration::from_secs_f64(gap);
        loop {
            let ended = running.first_key_value().map(|((at, _), _)| *at);
            if ended.is_some_and(|at| at <= now && at <= tick) {
                let ((at, id), result) = running.pop_first().expect("one is there");
                meter.end(at, AttemptId(id), "route", result);
            } else if tick <= now {
                if let Some(health) = meter.publish(tick) {
                    published += 1;
                    last = health;
                }
                tick = tick + METER_TICK;
            } else {
                break;
            }
        }
        let random = -rng.random_range(f64::EPSILON..1.0).ln();
        let factor = 1.0 - service.spread + service.spread * random;
        let took = Duration::from_secs_f64(service.mean_ms / 1_000.0 * factor);
        let result = match rng.random_bool(service.bad) {
            true => AttemptResult::Failed,
            false => AttemptResult::Success,
        };
        meter.start(now, AttemptId(attempt));
        running.insert((now + took, attempt), result);
    }
    (published, last)
}

/// Prints how often meters publish; returns the mean over healthy targets.
fn publications() -> f64 {
    println!("\npublications of the meter of one target at {TARGET_RATE} requests/s, an hour each");
    println!(
        "{:>8} {:>7} {:>7} {:>9}",
        "mean ms", "spread", "bad", "a second"
    );
    let hour = Duration::from_secs(3_600);
    let (mut sum, mut count) = (0.0, 0.0);
    for bad in [0.0, 0.01] {
        for spread in [0.2, 1.0] {
            for mean_ms in [10.0, 12.0, 14.0, 17.0, 20.0, 24.0, 28.0, 34.0] {
                let service = Service {
                    mean_ms,
                    spread,
                    bad,
                };
                let rate = meter_run(hour, service).0 as f64 / hour.as_secs_f64();
                println!("{mean_ms:>8} {spread:>7} {bad:>7} {rate:>9.4}");
                if bad == 0.0 {
                    sum += rate;
                    count += 1.0;
                }
            }
        }
    }
    println!("mean of healthy targets: {:.4}", sum / count);
    sum / count
}

fn row(count: usize, event: Event, secs: u64) -> Figures {
    let mut sim = Sim::new(count);
    let figures = sim.run(event, secs);
    let agreed = figures
        .agreed
        .map_or("-".to_owned(), |d| format!("{:.1}", d.as_secs_f64()));
    println!(
        "{count:>6} {:<22} {secs:>5} {:>9.0} {:>10} {:>7.1} {:>8.4} {:>7.4} {:>9} {agreed:>7}",
        format!("{event:?}"),
        figures.bytes,
        figures.worst_second,
        figures.messages,
        figures.cpu,
        figures.fresh,
        figures.entries,
    );
    figures
}

/// Prints gossip by the number of nodes and by what happens.
pub fn print() -> anyhow::Result<()> {
    let quiet = publications();
    println!("\ngossip of N nodes with {TARGETS} targets each, bytes sent a second and node");
    println!(
        "{:>6} {:<22} {:>5} {:>9} {:>10} {:>7} {:>8} {:>7} {:>9} {:>7}",
        "nodes",
        "event",
        "secs",
        "bytes/s",
        "worst B/s",
        "msg/s",
        "% core",
        "fresh",
        "entries B",
        "same s"
    );
    let only: Option<usize> = std::env::args().nth(2).and_then(|n| n.parse().ok());
    for count in [8, 64, 192, 560] {
        if only.is_some_and(|n| n != count) {
            continue;
        }
        // The work under load grows with the square of the nodes.
        let load_secs = if count > 64 { 1_600 / count as u64 } else { 20 };
        let before = resident_kb("self");
        let sim = Sim::new(count);
        let grown = resident_kb("self").saturating_sub(before);
        drop(sim);
        println!("{count:>6} memory: {} kB a node", grown / count as u64);
        row(count, Event::Rest, 20);
        row(count, Event::ControlAway, 20);
        row(count, Event::Restart, 36);
        if count >= 64 {
            row(count, Event::ZoneReturns, 36);
            row(count, Event::RegionsMeet, 50);
        }
        row(count, Event::Load(1.0 / 120.0), load_secs);
        if count <= 64 {
            row(count, Event::Load(quiet), 8);
        }
    }
    Ok(())
}
