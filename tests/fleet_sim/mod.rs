//! A simulation of nodes and one control leader in virtual time, over a network that delays, loses
//! and duplicates messages and has partitions.

mod parts;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use laburnumtide::fleet::{AckTracker, Gossip, Heartbeat, ProbeAck, RegistryChange, RelayedEntry};
use laburnumtide::freshness::{PROOF_LIFETIME, ReplicaReport};
use laburnumtide::ids::{NodeId, ReplicaId};
use laburnumtide::replica::Confirmation;
use laburnumtide::units::Position;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub use self::parts::Plan;
use self::parts::{Clock, Control, Entry, Event, Message, Process, entries_after, member};

/// Real time for which a node may still be fresh after a newer entry is accepted: the lifetime of a
/// freshness proof on a clock that is 1 % slow.
pub const STALE_MAX: Duration =
    Duration::from_micros(PROOF_LIFETIME.as_micros() as u64 * 100 / 99 + 1);

const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
const CONTROL_INTERVAL: Duration = Duration::from_millis(200);
const CONTROL: usize = usize::MAX;

pub struct Sim {
    pub seed: u64,
    plan: Plan,
    rng: StdRng,
    pub now: u64,
    /// Number of scheduled events; orders those of one time.
    order: u64,
    events: BTreeMap<(u64, u64), Event>,
    pub vms: Vec<Option<Process>>,
    starts: u64,
    control: Control,
    log: Vec<Entry>,
    /// Real times of acceptance; that of position `n` is at index `n - 1`.
    pub accepted_at: Vec<u64>,
    /// One-way partitions by sender and receiver; the control leader has the last index.
    partitions: Vec<Vec<bool>>,
    /// Number of checks of a fresh node whose next entry is already accepted.
    pub checked: u64,
    pub requests: u64,
}

impl Sim {
    pub fn new(seed: u64, plan: Plan) -> Sim {
        let mut rng = StdRng::seed_from_u64(seed);
        let control = Control::new(&mut rng);
        let mut sim = Sim {
            seed,
            plan,
            rng,
            now: 0,
            order: 0,
            events: BTreeMap::new(),
            vms: (0..plan.nodes).map(|_| None).collect(),
            starts: 0,
            control,
            log: vec![Entry::Note],
            accepted_at: Vec::new(),
            partitions: vec![vec![false; plan.nodes + 1]; plan.nodes + 1],
            checked: 0,
            requests: 0,
        };
        for vm in 0..plan.nodes {
            sim.start(vm);
        }
        sim.schedule(Duration::ZERO, Event::Control);
        if let Some(every) = plan.note_every {
            sim.schedule(every, Event::Note);
        }
        if let Some(every) = plan.fault_every {
            sim.schedule(every, Event::Fault);
        }
        sim
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        let at = self.now + delay.as_micros() as u64;
        self.events.insert((at, self.order), event);
    }

    fn start(&mut self, vm: usize) {
        self.starts += 1;
        let id = NodeId(self.rng.random_range(1..u64::MAX));
        self.vms[vm] = Some(Process {
            gossip: Gossip::new(id),
            id,
            clock: Clock::new(&mut self.rng),
            log: Vec::new(),
            paused: false,
            inbox: VecDeque::new(),
        });
        let first = self.rng.random_range(0..400);
        self.schedule(Duration::from_millis(first), Event::Gossip(vm, id.0));
        self.schedule(Duration::from_millis(first / 2), Event::Sync(vm, id.0));
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let copies = if self.rng.random_bool(self.plan.loss_rate) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let index = |at: usize| at.min(self.plan.nodes);
            let is_partitioned = self.partitions[index(from)][index(to)];
            if is_partitioned || self.rng.random_bool(self.plan.loss_rate) {
                continue;
            }
            let slow = self.rng.random_bool(self.plan.slow_rate);
            let max_micros = if slow {
                self.plan.delay_max.as_micros() as u64
            } else {
                5_000
            };
            let delay = Duration::from_micros(self.rng.random_range(200..=max_micros));
            self.schedule(delay, Event::Deliver(to, message.clone()));
        }
    }

    /// Runs for `length` and checks the freshness of every node after each event.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length.as_micros() as u64;
        while let Some(first) = self.events.first_entry() {
            let (at, _) = *first.key();
            if at > end {
                break;
            }
            let event = first.remove();
            self.now = at;
            self.step(event);
            self.check_freshness();
        }
        self.now = end;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Deliver(CONTROL, message) if self.control.paused => {
                self.control.inbox.push_back(message);
            }
            Event::Deliver(CONTROL, message) => self.deliver_to_control(message),
            Event::Deliver(vm, message) => match &mut self.vms[vm] {
                Some(process) if process.paused => process.inbox.push_back(message),
                Some(_) => self.deliver_to_node(vm, message),
                None => {}
            },
            Event::Gossip(vm, id) if self.is_running(vm, id) => self.gossip(vm, id),
            Event::Sync(vm, id) if self.is_running(vm, id) => self.sync(vm, id),
            Event::Gossip(..) | Event::Sync(..) => {}
            Event::Control => self.control_tick(),
            Event::Commit(number) if number == self.control.proposals => self.commit(),
            Event::Commit(_) => {}
            Event::Note => self.note(),
            Event::Fault => self.fault(),
            Event::Leave(every) => self.random_leave(every),
            Event::Resume(vm, id) => self.resume(vm, id),
        }
    }

    fn is_running(&self, vm: usize, id: u64) -> bool {
        self.vms[vm]
            .as_ref()
            .is_some_and(|p| p.id.0 == id && !p.paused)
    }

    fn gossip(&mut self, vm: usize, id: u64) {
        self.schedule(GOSSIP_INTERVAL, Event::Gossip(vm, id));
        let now = self.now;
        let Some(process) = &mut self.vms[vm] else {
            return;
        };
        let peers = process.gossip.peers(&mut self.rng);
        let local = process.clock.read(now);
        let requests: Vec<_> = peers
            .iter()
            .map(|p| (p.addr.port(), process.gossip.request(local, p)))
            .collect();
        for (port, request) in requests {
            self.requests += 1;
            self.send(vm, usize::from(port) - 1, Message::Request(vm, request));
        }
    }

    fn sync(&mut self, vm: usize, id: u64) {
        self.schedule(SYNC_INTERVAL, Event::Sync(vm, id));
        let now = self.now;
        let Some(process) = &self.vms[vm] else { return };
        let position = process.gossip.proof().position();
        let heartbeat = Heartbeat {
            received: process.clock.read(now),
            id: process.id,
            addr: member(process.id, vm).addr,
            leaving: process.gossip.proof().is_retired(),
        };
        let message = Message::Sync(heartbeat, process.clock.read(now), position);
        self.send(vm, CONTROL, message);
    }

    fn deliver_to_node(&mut self, vm: usize, message: Message) {
        let now = self.now;
        let Some(process) = &mut self.vms[vm] else {
            return;
        };
        let local = process.clock.read(now);
        match message {
            Message::Request(from, request) => {
                let mut response = process.gossip.respond(local, &request);
                let mut entries = entries_after(&process.log, request.position);
                if !self.rng.random_bool(self.plan.relay_rate) {
                    entries.clear();
                }
                response.entries = vec![RelayedEntry {
                    position: request.position,
                    entry: Default::default(),
                }];
                self.send(vm, from, Message::Response(response, entries));
            }
            Message::Response(response, entries) => {
                process.apply(response.entries[0].position, entries);
                if let Some(push) = process.gossip.receive(local, &response) {
                    let to = self.vm_of(response.node);
                    if let Some(to) = to {
                        self.send(vm, to, Message::Push(push));
                    }
                }
            }
            Message::Push(push) => {
                process.gossip.receive_push(&push);
            }
            Message::Synced(id, sent, position, entries) if id == process.id => {
                let from = Position(position.0 - entries.len() as u64);
                process.apply(from, entries);
                let report = ReplicaReport {
                    sent,
                    replica: ReplicaId(1),
                    position,
                    confirmation: Confirmation::Leader,
                };
                process.gossip.proof_mut().record_replica(local, report);
            }
            Message::Probe(started) => {
                let member = member(process.id, vm);
                self.send(vm, CONTROL, Message::Probed(started, member));
            }
            _ => {}
        }
    }

    fn vm_of(&self, id: NodeId) -> Option<usize> {
        self.vms
            .iter()
            .position(|p| p.as_ref().is_some_and(|p| p.id == id))
    }

    fn deliver_to_control(&mut self, message: Message) {
        let local = self.control.clock.read(self.now);
        match message {
            Message::Sync(heartbeat, sent, position) => {
                let (id, vm) = (heartbeat.id, usize::from(heartbeat.addr.port()) - 1);
                self.control.membership.record_heartbeat(&Heartbeat {
                    received: local,
                    ..heartbeat
                });
                self.control.acks.ack(id, position);
                let entries = entries_after(&self.log, position);
                let last = Position(self.log.len() as u64);
                self.send(CONTROL, vm, Message::Synced(id, sent, last, entries));
                self.accept();
            }
            Message::Probed(started, member) => {
                let ack = ProbeAck { started, member };
                if let Some(dead) = self.control.membership.record_probe(local, ack) {
                    self.control.acks.mark_dead(local, dead);
                }
            }
            _ => {}
        }
    }

    fn control_tick(&mut self) {
        self.schedule(CONTROL_INTERVAL, Event::Control);
        if self.control.paused {
            return;
        }
        let local = self.control.clock.read(self.now);
        for vm in 0..self.plan.nodes {
            self.send(CONTROL, vm, Message::Probe(local));
        }
        let registry = self.control.registry.latest();
        if self.control.pending.is_none() {
            let offline = self.control.offline;
            let offline = offline.filter(|_| registry.offline() != offline);
            let change = self.control.membership.propose(local, registry);
            self.control.pending = change.map(|c| RegistryChange { offline, ..c });
            if self.control.pending.is_some() {
                self.control.proposals += 1;
                let delay = Duration::from_millis(self.rng.random_range(1..3_000));
                self.schedule(delay, Event::Commit(self.control.proposals));
            }
        }
        self.accept();
    }

    /// Commits the proposed registry change.
    fn commit(&mut self) {
        let Some(change) = self.control.pending.take() else {
            return;
        };
        let local = self.control.clock.read(self.now);
        self.log.push(Entry::Nodes(change.clone()));
        let position = Position(self.log.len() as u64);
        let control = &mut self.control;
        control
            .registry
            .apply(position, &change)
            .expect("the change fits");
        for dead in control
            .membership
            .apply_registry(local, control.registry.latest())
        {
            control.acks.mark_dead(local, dead);
        }
    }

    fn accept(&mut self) {
        let local = self.control.clock.read(self.now);
        let last = Position(self.log.len() as u64);
        let control = &mut self.control;
        let accepted = control.acks.advance(local, &control.registry, last);
        control.acks.prune(&mut control.registry);
        while self.accepted_at.len() < accepted.0 as usize {
            self.accepted_at.push(self.now);
        }
    }

    fn note(&mut self) {
        let every = self.plan.note_every.expect("notes are planned");
        let delay = every.mul_f64(self.rng.random_range(0.1..2.0));
        self.schedule(delay, Event::Note);
        if !self.control.paused {
            self.log.push(Entry::Note);
        }
    }

    /// Ends the faults, heals the network and starts every node that is down.
    pub fn recover(&mut self) {
        self.plan.fault_every = None;
        self.heal();
        self.resume_control();
        for vm in 0..self.plan.nodes {
            if self.vms[vm].is_none() {
                self.start(vm);
            }
        }
    }

    fn fault(&mut self) {
        let Some(every) = self.plan.fault_every else {
            return;
        };
        let delay = every.mul_f64(self.rng.random_range(0.1..2.0));
        self.schedule(delay, Event::Fault);
        let vm = self.rng.random_range(0..self.plan.nodes);
        match self.rng.random_range(0..14) {
            0 => self.vms[vm] = None,
            1..=3 if self.vms[vm].is_none() => self.start(vm),
            // A fast restart; the control leader may miss the end of the old process.
            1 | 2 => self.start(vm),
            3 | 4 => self.pause(vm),
            5 => {
                let from = self.rng.random_range(0..=self.plan.nodes);
                let to = self.rng.random_range(0..=self.plan.nodes);
                self.partitions[from][to] = true;
            }
            6 => self.partition(),
            7 | 8 => self.partition_control(),
            9 => self.heal(),
            10 => self.pause_control(),
            _ => self.resume_control(),
        }
    }

    /// Partitions the leader from some nodes that can still reach each other.
    fn partition_control(&mut self) {
        self.heal();
        let leader = self.plan.nodes;
        for vm in 0..leader {
            if self.rng.random_bool(0.5) {
                self.partitions[vm][leader] = self.rng.random_bool(0.8);
                self.partitions[leader][vm] = self.rng.random_bool(0.8);
            }
        }
    }

    fn pause(&mut self, vm: usize) {
        let pause = Duration::from_millis(self.rng.random_range(50..8_000));
        let Some(process) = &mut self.vms[vm] else {
            return;
        };
        process.paused = true;
        let id = process.id.0;
        self.schedule(pause, Event::Resume(vm, id));
    }

    fn resume(&mut self, vm: usize, id: u64) {
        let Some(process) = &mut self.vms[vm] else {
            return;
        };
        if process.id.0 != id || !process.paused {
            return;
        }
        process.paused = false;
        let inbox = std::mem::take(&mut process.inbox);
        // Freshness after the pause is checked before any message is read.
        self.check_freshness();
        for message in inbox {
            self.deliver_to_node(vm, message);
        }
        self.schedule(Duration::ZERO, Event::Gossip(vm, id));
        self.schedule(Duration::ZERO, Event::Sync(vm, id));
    }

    /// Partitions the nodes and the leader into two sides, in both directions or only one.
    fn partition(&mut self) {
        let count = self.plan.nodes + 1;
        let side: Vec<bool> = (0..count).map(|_| self.rng.random_bool(0.5)).collect();
        let both = self.rng.random_bool(0.7);
        for from in 0..count {
            for to in 0..count {
                let is_partitioned = side[from] != side[to] && (both || side[from]);
                self.partitions[from][to] |= is_partitioned;
            }
        }
    }

    pub fn heal(&mut self) {
        self.partitions.iter_mut().for_each(|row| row.fill(false));
    }

    pub fn pause_control(&mut self) {
        self.control.paused = true;
    }

    /// Resumes the leader, or starts a new one that has only the log.
    pub fn resume_control(&mut self) {
        let was_paused = std::mem::replace(&mut self.control.paused, false);
        let inbox = std::mem::take(&mut self.control.inbox);
        if was_paused && self.rng.random_bool(0.5) {
            inbox.into_iter().for_each(|m| self.deliver_to_control(m));
            return;
        }
        let uncommitted = self.control.pending.take();
        let known = self.rng.random_range(0..=self.accepted_at.len());
        let mut control = Control {
            acks: AckTracker::new(Position(known as u64)),
            proposals: self.control.proposals,
            offline: self.control.offline,
            ..Control::new(&mut self.rng)
        };
        for (entry, position) in self.log.iter().zip(1..) {
            if let Entry::Nodes(change) = entry {
                let applied = control.registry.apply(Position(position), change);
                applied.expect("the log is valid");
            }
        }
        let local = control.clock.read(self.now);
        control.registry.prune_before(Position(known as u64));
        for registry in control.registry.versions() {
            for dead in control.membership.apply_registry(local, registry) {
                control.acks.mark_dead(local, dead);
            }
        }
        self.control = control;
        // An entry of the old leader can survive and commit with the first entry of the new leader.
        self.control.pending = uncommitted.filter(|_| self.rng.random_bool(0.5));
        let delay = Duration::from_millis(self.rng.random_range(1..1_000));
        self.schedule(delay, Event::Commit(self.control.proposals));
    }

    /// Kills a node permanently.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm] = None;
    }

    /// Makes a node start to leave.
    pub fn leave(&mut self, vm: usize) {
        if let Some(process) = &mut self.vms[vm] {
            process.gossip.proof_mut().retire();
        }
    }

    /// Makes a random node start to leave from time to time.
    pub fn leave_every(&mut self, every: Duration) {
        self.schedule(every, Event::Leave(every));
    }

    fn random_leave(&mut self, every: Duration) {
        let vm = self.rng.random_range(0..self.plan.nodes);
        self.leave(vm);
        self.leave_every(every);
    }

    /// Limits the time for which nodes confirm one another without the control leader.
    pub fn set_offline(&mut self, limit: Duration) {
        self.control.offline = Some(limit);
    }

    /// Commits a note and returns its position, counted from zero.
    pub fn submit(&mut self) -> usize {
        self.log.push(Entry::Note);
        self.log.len() - 1
    }

    /// Returns the time for which each running process is still fresh.
    pub fn remaining_freshness(&self) -> impl Iterator<Item = Duration> {
        let now = self.now;
        let running = self.vms.iter().flatten().filter(|p| !p.paused);
        running.map(move |p| p.gossip.proof().expires().since(p.clock.read(now)))
    }

    /// Checks that no node stays fresh for too long after its next entry was accepted.
    fn check_freshness(&mut self) {
        for process in self.vms.iter().flatten().filter(|p| !p.paused) {
            let proof = process.gossip.proof();
            let next = proof.position().0 as usize;
            let Some(accepted) = self.accepted_at.get(next) else {
                continue;
            };
            if !proof.is_fresh(process.clock.read(self.now)) {
                continue;
            }
            self.checked += 1;
            let late = Duration::from_micros(self.now - accepted);
            assert!(
                late <= STALE_MAX,
                "at {} us node {} is fresh at position {next} although {} was accepted {late:?} ago",
                self.now,
                process.id,
                next + 1
            );
        }
    }
}
