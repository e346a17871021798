//! A simulation of replicas in virtual time, with random network and disk faults.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use laburnumtide::prelude::*;
use laburnumtide::replica::{
    Action, Entry, HardState, Limits, LogEntry, Member, Message, Persist, Replica, Replicas, Role,
    Snapshot, Stored,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of VMs by default.
pub const VMS: usize = 3;
const STEP: Duration = Duration::from_millis(5);
const SNAPSHOT_ENTRIES: u64 = 20;

/// A simulated disk that keeps synced data and may tear an interrupted write.
#[derive(Clone)]
struct Disk {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<LogEntry>,
}

impl Disk {
    fn new(id: ReplicaId) -> Disk {
        let (snapshot, entries) = (None, Vec::new());
        let hard_state = HardState::new(id);
        Disk {
            hard_state,
            snapshot,
            entries,
        }
    }

    /// Writes and syncs; with `torn`, the process crashes before the sync and a random part is
    /// kept.
    fn write(&mut self, persist: Persist, torn: Option<&mut StdRng>) {
        let done = match torn {
            None => 1.0,
            Some(rng) => rng.random::<f64>(),
        };
        match persist {
            Persist::Append(entries) => {
                let kept = (entries.len() as f64 * done) as usize;
                self.entries.extend(entries.into_iter().take(kept));
            }
            _ if done < 0.5 => {}
            Persist::HardState(hard_state) => self.hard_state = hard_state,
            Persist::Truncate(first) => self.entries.retain(|e| e.position < first),
            Persist::Snapshot(snapshot) => {
                self.entries.retain(|e| e.position > snapshot.position);
                self.snapshot = Some(snapshot);
            }
        }
    }
}

/// A VM with its process.
pub struct Vm {
    disk: Disk,
    pub replica: Option<Replica>,
    pending: VecDeque<Action>,
    paused_until: Time,
    down_until: Time,
    next_tick: Time,
    clock_rate: f64,
    applied: Position,
    hash: u64,
    /// Discovered peers by VM: the identity, and whether the peer is in a bootstrapped group.
    known: Vec<Option<(ReplicaId, bool)>>,
    /// While its disk refuses every write.
    full_until: Time,
    /// True if the replica was restored after a failed write since the process started, so that it
    /// applies entries again.
    reloaded: bool,
    /// From such a restore until the replica has committed again what was applied.
    is_behind: bool,
}

/// The whole group.
pub struct Sim {
    pub rng: StdRng,
    pub now: Time,
    pub vms: Vec<Vm>,
    net: BTreeMap<(Time, u64), (usize, ReplicaId, ReplicaId, Message)>,
    sent: u64,
    /// One-way partitions from one VM to another, and when they end.
    pub partitions: BTreeMap<(usize, usize), Time>,
    /// Committed entries; the entry at position `n` is at index `n - 1`.
    pub committed: Vec<LogEntry>,
    hashes: Vec<u64>,
    leaders: BTreeMap<Term, ReplicaId>,
    pub group: Replicas,
    wipes: usize,
    /// Probability that a process crashes between two actions, and that it pauses there.
    crash_rate: f64,
    loss_rate: f64,
    /// Largest number of entries in one message.
    entries_max: usize,
    /// Probability that a replica proposes in a step.
    pub proposal_rate: f64,
    /// Share of messages that are delayed by up to 2 s.
    slow_rate: f64,
    /// Probability of a fault in each step.
    fault_rate: f64,
}

fn address(vm: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, vm as u8 + 1], port))
}

fn extend_hash(hash: u64, entry: &LogEntry) -> u64 {
    let text = format!("{hash} {entry:?}");
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

impl Sim {
    pub fn new(seed: u64) -> Sim {
        Sim::with_size(seed, VMS)
    }

    pub fn with_size(seed: u64, size: usize) -> Sim {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Time::from_millis(3_600_000);
        let vms = (0..size).map(|i| Vm {
            disk: Disk::new(ReplicaId(i as u64 + 1)),
            replica: None,
            pending: VecDeque::new(),
            paused_until: now,
            down_until: now,
            next_tick: now,
            clock_rate: rng.random_range(0.99..1.01),
            applied: Position(0),
            hash: 0,
            known: vec![None; size],
            full_until: now,
            reloaded: false,
            is_behind: false,
        });
        let vms = vms.collect();
        // The cube keeps the rate low for most seeds, so that some groups run long between crashes.
        let crash_rate = 0.05 * rng.random::<f64>().powi(3);
        let (loss_rate, slow_rate) = (rng.random_range(0.0..0.05), rng.random_range(0.0..0.1));
        let fault_rate = rng.random_range(0.002..0.02);
        let entries_max = rng.random_range(1..6);
        Sim {
            rng,
            now,
            vms,
            net: BTreeMap::new(),
            sent: 0,
            partitions: BTreeMap::new(),
            committed: Vec::new(),
            hashes: vec![0],
            leaders: BTreeMap::new(),
            group: Replicas::default(),
            wipes: 0,
            crash_rate,
            loss_rate,
            entries_max,
            proposal_rate: 0.1,
            slow_rate,
            fault_rate,
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        (
            self.crash_rate,
            self.loss_rate,
            self.slow_rate,
            self.fault_rate,
        ) = (0.0, 0.0, 0.0, 0.0);
        self.partitions.clear();
        for vm in &mut self.vms {
            vm.down_until = self.now;
            vm.paused_until = self.now;
        }
    }

    fn clock(&self, i: usize) -> Time {
        Time((self.now.0 as f64 * self.vms[i].clock_rate) as u64)
    }

    pub fn id(&self, i: usize) -> ReplicaId {
        self.vms[i].disk.hard_state.id
    }

    fn is_running(&self, i: usize) -> bool {
        self.vms[i].replica.is_some() && self.vms[i].paused_until <= self.now
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.partitions.retain(|_, end| *end > now);
        if self.rng.random_bool(self.fault_rate) {
            self.inject_fault();
        }
        for i in 0..self.vms.len() {
            self.start_due(i);
            self.execute_actions(i);
        }
        while let Some(entry) = self.net.first_entry().filter(|e| e.key().0 <= now) {
            let (vm, from, to, message) = entry.remove();
            self.deliver(vm, from, to, message);
        }
        for i in 0..self.vms.len() {
            self.tick(i);
            self.drive(i);
            self.check(i);
        }
    }

    fn start_due(&mut self, i: usize) {
        let clock = self.clock(i);
        let vm = &mut self.vms[i];
        if vm.replica.is_some() || vm.down_until > self.now {
            return;
        }
        let stored = Stored {
            hard_state: vm.disk.hard_state,
            snapshot: vm.disk.snapshot.clone(),
            entries: vm.disk.entries.clone(),
        };
        let mut replica = Replica::restore(clock, stored).expect("the disk content is valid");
        replica.set_limits(Limits {
            append_entries: self.entries_max,
            append_bytes: 400,
            chunk_bytes: 7,
            kept_entries: 10,
        });
        vm.replica = Some(replica);
        if vm.reloaded {
            return;
        }
        (vm.applied, vm.hash) = (Position(0), 0);
        if let Some(snapshot) = vm.disk.snapshot.clone() {
            self.install(i, &snapshot);
        }
    }

    /// Lets the disk of a VM refuse every write for `length`.
    pub fn fill(&mut self, i: usize, length: Duration) {
        self.vms[i].full_until = self.now + length;
    }

    /// Restores a replica after a failed write, at once or, if its disk must be written first, once
    /// it has room again. The applied state is kept.
    fn reload(&mut self, i: usize) {
        let waits = self.rng.random_bool(0.5);
        let vm = &mut self.vms[i];
        vm.replica = None;
        vm.pending.clear();
        vm.reloaded = true;
        vm.is_behind = true;
        vm.down_until = match waits {
            true => vm.full_until + Duration::from_millis(500),
            false => self.now,
        };
    }

    fn kill(&mut self, i: usize) {
        let downtime = Duration::from_millis(self.rng.random_range(50..2_000));
        self.restart(i, downtime);
    }

    /// Stops a process and restarts it after `downtime`.
    pub fn restart(&mut self, i: usize, downtime: Duration) {
        let vm = &mut self.vms[i];
        vm.replica = None;
        vm.reloaded = false;
        vm.is_behind = false;
        vm.pending.clear();
        vm.paused_until = self.now;
        vm.down_until = self.now + downtime;
    }

    fn inject_fault(&mut self) {
        let any = self.rng.random_range(0..self.vms.len());
        let at_leader = self.rng.random_bool(0.5);
        let i = self.leader().filter(|_| at_leader).unwrap_or(any);
        let length = Duration::from_millis(self.rng.random_range(20..3_000));
        match self.rng.random_range(0..10) {
            0 | 1 => self.kill(i),
            2 | 3 => self.vms[i].paused_until = self.now + length,
            4..=6 => {
                let j = self.rng.random_range(0..self.vms.len());
                self.partitions.insert((i, j), self.now + length);
            }
            7 => {
                for j in 0..self.vms.len() {
                    self.partitions.insert((i, j), self.now + length);
                    self.partitions.insert((j, i), self.now + length);
                }
            }
            _ => self.wipe(i),
        }
    }

    /// Replaces a disk by an empty one, unless an earlier loss is not repaired yet.
    pub fn wipe(&mut self, i: usize) {
        let has_disk = |v: ReplicaId| self.vms.iter().any(|vm| vm.disk.hard_state.id == v);
        let repaired =
            self.group.voters().count() == self.vms.len() && self.group.voters().all(has_disk);
        let first = self.committed.is_empty() && self.wipes == 0;
        if !repaired && !first {
            return;
        }
        self.wipes += 1;
        self.kill(i);
        let id = ReplicaId(self.rng.random_range(100..u64::MAX));
        self.vms[i].disk = Disk::new(id);
        self.vms[i].known = vec![None; self.vms.len()];
    }

    fn deliver(&mut self, i: usize, from: ReplicaId, to: ReplicaId, message: Message) {
        let clock = self.clock(i);
        if self.id(i) != to || self.vms[i].replica.is_none() {
            return;
        }
        if !self.is_running(i) {
            let later = self.vms[i].paused_until;
            self.sent += 1;
            self.net.insert((later, self.sent), (i, from, to, message));
            return;
        }
        let replica = self.vms[i].replica.as_mut().expect("checked above");
        replica.receive(clock, from, message);
        self.execute_actions(i);
    }

    fn tick(&mut self, i: usize) {
        let clock = self.clock(i);
        if !self.is_running(i) || self.vms[i].next_tick > self.now {
            return;
        }
        self.vms[i].next_tick = self.now + Duration::from_millis(20);
        let vm = &mut self.vms[i];
        let replica = vm.replica.as_mut().expect("it runs");
        replica.tick(clock, &mut self.rng);
        self.execute_actions(i);
    }

    /// Discovers peers, bootstraps, proposes, adds learners and takes snapshots.
    fn drive(&mut self, i: usize) {
        if !self.is_running(i) {
            return;
        }
        self.discover(i);
        let clock = self.clock(i);
        let proposes = self.rng.random_bool(self.proposal_rate);
        let size = self.rng.random_range(0..100);
        let joining = self.rng.random_range(0..self.vms.len());
        let joiner = self.member(joining);
        let note = Bytes::from(vec![b'x'; size]);
        let vm = &mut self.vms[i];
        let replica = vm.replica.as_mut().expect("it runs");
        if proposes {
            // Fails on all replicas but the leader.
            let _ = replica.propose(clock, Entry::Note(note));
            if replica.role() == Role::Leader {
                let _ = replica.join(clock, joiner);
            }
        }
        let saved = replica.snapshot().map_or(0, |s| s.position.0);
        if vm.applied.0 >= saved + SNAPSHOT_ENTRIES && vm.pending.is_empty() {
            replica.compact(vm.applied, Bytes::from(format!("{:020}", vm.hash)));
        }
        self.execute_actions(i);
    }

    fn member(&self, i: usize) -> Member {
        Member {
            id: self.id(i),
            link: address(i, 1),
            operator: address(i, 2),
            voter: true,
            replaces: None,
        }
    }

    fn discover(&mut self, i: usize) {
        let j = self.rng.random_range(0..self.vms.len());
        if self.is_running(j) && !self.partitions.contains_key(&(i, j)) {
            let replica = self.vms[j].replica.as_ref().expect("it runs");
            self.vms[i].known[j] = Some((self.id(j), !replica.replicas().is_empty()));
        }
        let known: Vec<(ReplicaId, bool)> = self.vms[i].known.iter().flatten().copied().collect();
        if known.len() < self.vms.len() || known.iter().any(|(_, has_group)| *has_group) {
            return;
        }
        let member = |j: usize| Member {
            id: known[j].0,
            ..self.member(j)
        };
        let members = (0..self.vms.len()).map(member).collect();
        let replica = self.vms[i].replica.as_mut().expect("it runs");
        replica.bootstrap(members);
    }

    /// Executes actions in order; the process may crash or pause between two of them.
    fn execute_actions(&mut self, i: usize) {
        if let Some(replica) = &mut self.vms[i].replica {
            let new = replica.actions();
            self.vms[i].pending.extend(new);
        }
        while self.is_running(i) {
            let Some(action) = self.vms[i].pending.pop_front() else {
                return;
            };
            let crashes = self.rng.random_bool(self.crash_rate);
            if crashes {
                if let Action::Persist(persist) = action {
                    self.vms[i].disk.write(persist, Some(&mut self.rng));
                }
                return self.kill(i);
            }
            if self.rng.random_bool(self.crash_rate) {
                let length = Duration::from_millis(self.rng.random_range(5..2_000));
                self.vms[i].paused_until = self.now + length;
            }
            match action {
                Action::Persist(_) if self.vms[i].full_until > self.now => return self.reload(i),
                Action::Persist(persist) => self.vms[i].disk.write(persist, None),
                Action::Send { to, message } => self.send(i, to, message),
                Action::Apply(entry) => self.apply(i, entry),
                Action::Install(snapshot) => self.install(i, &snapshot),
            }
        }
    }

    fn send(&mut self, i: usize, to: ReplicaId, message: Message) {
        let Some(j) = (0..self.vms.len()).find(|j| self.id(*j) == to) else {
            return;
        };
        if self.partitions.contains_key(&(i, j)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let copies = if self.rng.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.rng.random_bool(self.slow_rate);
            let max_micros = if slow { 2_000_000 } else { 3_000 };
            let delay = Duration::from_micros(self.rng.random_range(500..max_micros));
            self.sent += 1;
            let key = (self.now + delay, self.sent);
            self.net.insert(key, (j, self.id(i), to, message.clone()));
        }
    }

    fn apply(&mut self, i: usize, entry: LogEntry) {
        let vm = &mut self.vms[i];
        if vm.reloaded && entry.position <= vm.applied {
            let known = &self.committed[entry.position.0 as usize - 1];
            assert_eq!(known, &entry, "a committed entry changed");
            return;
        }
        assert_eq!(
            entry.position,
            vm.applied.next(),
            "positions are consecutive"
        );
        let index = entry.position.0 as usize - 1;
        match self.committed.get(index) {
            Some(known) => assert_eq!(known, &entry, "a committed entry changed"),
            None => {
                assert_eq!(
                    index,
                    self.committed.len(),
                    "committed entries are consecutive"
                );
                if let Entry::Replicas(group) = &entry.entry {
                    self.group = group.clone();
                }
                self.hashes.push(extend_hash(self.hashes[index], &entry));
                self.committed.push(entry.clone());
            }
        }
        vm.hash = extend_hash(vm.hash, &entry);
        vm.applied = entry.position;
    }

    fn install(&mut self, i: usize, snapshot: &Snapshot) {
        let vm = &mut self.vms[i];
        if vm.reloaded && snapshot.position <= vm.applied {
            return;
        }
        assert!(
            snapshot.position >= vm.applied,
            "applied positions never decrease"
        );
        let hash: u64 = std::str::from_utf8(&snapshot.data)
            .unwrap()
            .parse()
            .unwrap();
        let index = snapshot.position.0 as usize;
        assert_eq!(
            Some(&hash),
            self.hashes.get(index),
            "a snapshot differs from the log"
        );
        (vm.hash, vm.applied) = (hash, snapshot.position);
    }

    fn check(&mut self, i: usize) {
        if !self.is_running(i) {
            return;
        }
        let clock = self.clock(i);
        let replica = self.vms[i].replica.as_ref().expect("it runs");
        if replica.role() == Role::Leader {
            let id = replica.id();
            let elected = *self.leaders.entry(replica.term()).or_insert(id);
            assert_eq!(elected, id, "two leaders in {}", replica.term());
            let newest = *self.leaders.keys().next_back().expect("just added");
            if replica.term() == newest {
                assert!(
                    replica.last_position().0 >= self.committed.len() as u64,
                    "a leader lacks entries"
                );
            }
            if replica.holds_lease(clock) {
                assert_eq!(replica.term(), newest, "an old leader still holds a lease");
            }
        }
        let is_current = replica.committed() >= self.vms[i].applied;
        assert!(
            is_current || self.vms[i].is_behind,
            "applied before committed"
        );
        self.vms[i].is_behind &= !is_current;
    }

    /// Returns the VM whose replica leads with a lease.
    pub fn leader(&self) -> Option<usize> {
        (0..self.vms.len()).find(|i| {
            let replica = self.vms[*i].replica.as_ref();
            self.is_running(*i) && replica.is_some_and(|r| r.holds_lease(self.clock(*i)))
        })
    }

    /// Asserts that the healed group has a leader, commits entries and has all its voters.
    pub fn check_recovered(&mut self) {
        let leader = self.leader().expect("a healed group has a leader");
        let clock = self.clock(leader);
        let replica = self.vms[leader].replica.as_mut().unwrap();
        let position = replica.propose(clock, Entry::Empty).expect("it leads");
        self.run(Duration::from_secs(2));
        for i in 0..self.vms.len() {
            assert!(self.vms[i].applied >= position, "replica {i} lags");
            assert!(
                self.group.is_voter(self.id(i)),
                "replica {i} is not a voter"
            );
        }
    }
}
