//! A control group whose disks refuse writes for a while, one after another.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use laburnumtide::config::{Note, Replacement};
use laburnumtide::control::driver::SubmitResult;
use laburnumtide::control::journal::{Journal, StoreJournal};
use laburnumtide::control::{Handle, OFFLINE_TIME, Settings, spawn_with};
use laburnumtide::error::{Error, Result};
use laburnumtide::prelude::*;
use laburnumtide::replica::{Persist, Stored};
use laburnumtide::storage::fake::FakeDisk;
use laburnumtide::wire::Secret;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time within which a change must be acknowledged.
const ACK_MAX: Duration = Duration::from_secs(4);

/// Timeout for a condition on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

const SIZE: usize = 5;

static NETWORKS: AtomicU32 = AtomicU32::new(0);

struct Group {
    network: u32,
    disks: Vec<FakeDisk>,
    handles: Vec<Option<Handle>>,
    /// The process whose first snapshot is stored but reported as failed.
    doubtful: Option<usize>,
    /// The number of the last change, acknowledged or not.
    number: u64,
    acknowledged: u64,
}

impl Group {
    async fn start(size: usize) -> Group {
        let count = NETWORKS.fetch_add(1, Ordering::Relaxed);
        let network = (std::process::id() << 4) | (count & 15);
        let mut group = Group {
            network,
            disks: (0..size).map(|_| FakeDisk::new()).collect(),
            handles: (0..size).map(|_| None).collect(),
            doubtful: None,
            number: 0,
            acknowledged: 0,
        };
        for i in 0..size {
            group.spawn(i).await;
        }
        group
    }

    fn addr(&self, i: usize, port: u16) -> SocketAddr {
        let n = self.network;
        let ip = [127, 176 + (n >> 8 & 31) as u8, n as u8, i as u8 + 1];
        SocketAddr::from((ip, port))
    }

    async fn spawn(&mut self, i: usize) {
        let size = self.disks.len();
        let seeds: Vec<SocketAddr> = (0..size.min(3)).map(|s| self.addr(s, 7100)).collect();
        let settings = Settings {
            link: self.addr(i, 7100),
            operator: self.addr(i, 7101),
            peers: Vec::new(),
            bootstrap: false,
            voters: size.min(SIZE),
            offline: OFFLINE_TIME,
            data_dir: "unused".into(),
            fleet_secret: Secret::new(b"fleet-secret-0123456789").unwrap(),
            operator_secret: Secret::new(b"operator-secret-0123456789").unwrap(),
            statsd: None,
        };
        let settings = settings.with_seeds(&seeds, true);
        let inner = StoreJournal::open(self.disks[i].clone(), "data").unwrap();
        let journal = DoubtfulJournal {
            inner,
            is_doubtful: self.doubtful == Some(i),
        };
        self.handles[i] = Some(spawn_with(settings, journal).await.unwrap());
    }

    fn handle(&self, i: usize) -> &Handle {
        self.handles[i].as_ref().expect("it runs")
    }

    fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| self.handle(*i).operator_api().newest_state().is_some();
        (0..self.disks.len()).find(leads)
    }

    fn voters(&self) -> Vec<ReplicaId> {
        self.handle(0).view().meta().replicas.voters().collect()
    }

    async fn grown(&self) {
        let start = Instant::now();
        let is_voter = |i: usize| {
            let meta = self.handle(i).view().meta();
            meta.replicas.voters().count() == self.disks.len().min(SIZE)
                && meta.replicas.members().len() == self.disks.len()
        };
        while !(0..self.disks.len()).all(is_voter) || self.leader().is_none() {
            assert!(start.elapsed() < TIMEOUT, "the group does not grow");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Submits the next change to one process after another, as a caller does that follows the
    /// redirects; returns the time until it is acknowledged, if it is within `limit`.
    async fn change(&mut self, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        self.number += 1;
        let mut i = self.number as usize;
        while start.elapsed() < limit {
            i = (i + 1) % self.disks.len();
            let api = self.handle(i).operator_api();
            let note = replacement(self.number, self.acknowledged);
            let result = tokio::time::timeout(limit, api.submit_note(note)).await;
            match result {
                Ok(SubmitResult::Committed(_)) => {
                    self.acknowledged = self.number;
                    return Some(start.elapsed());
                }
                Ok(SubmitResult::Conflict(_)) => {
                    self.resync().await;
                }
                Ok(SubmitResult::Invalid(errors)) => panic!("{errors:?}"),
                Ok(SubmitResult::NotLeader | SubmitResult::Unavailable(_)) | Err(_) => {}
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Continues from an earlier change whose result was unknown but that was committed.
    async fn resync(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let state = self.handle(leader).operator_api().newest_state();
        let held = state.map_or(0, |s| s.config().number().0);
        assert!(held == 0 || held >= self.acknowledged, "change lost");
        if held > 0 {
            self.acknowledged = held;
            self.number = self.number.max(held + 1);
        }
    }
}

/// A journal whose first snapshot may be stored although its write fails, as where the log can't be
/// shortened after it.
struct DoubtfulJournal {
    inner: StoreJournal<FakeDisk>,
    is_doubtful: bool,
}

impl Journal for DoubtfulJournal {
    fn load(&mut self) -> Result<Stored> {
        self.inner.load()
    }

    fn write(&mut self, persist: &Persist) -> Result<()> {
        self.inner.write(persist)?;
        let is_snapshot = matches!(persist, Persist::Snapshot(_));
        match is_snapshot && std::mem::take(&mut self.is_doubtful) {
            true => Err(Error::unavailable("the disk is full")),
            false => Ok(()),
        }
    }
}

fn replacement(number: u64, base: u64) -> Note {
    Note::replace(Replacement {
        number: NoteNumber(number),
        base: NoteNumber(base),
        document: Bytes::from(format!("document {number}")),
        ..Replacement::default()
    })
    .unwrap()
}

/// Fills the disks one after another while changes go on; returns the longest time of a change while
/// a disk was full, and the time of the first one after it.
async fn full_in_turn(group: &mut Group, rng: &mut StdRng) -> (Duration, Duration) {
    let mut longest = Duration::ZERO;
    for i in 0..group.disks.len() {
        let full = Duration::from_millis(rng.random_range(1_500..4_000));
        group.disks[i].fail_after(rng.random_range(1..8));
        let start = Instant::now();
        while start.elapsed() < full {
            let time = group.change(TIMEOUT).await;
            longest = longest.max(time.expect("four of five disks have room"));
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..100))).await;
        }
        group.disks[i].stop_failing();
    }
    let first = group.change(TIMEOUT).await.expect("all disks have room");
    (longest, first)
}

/// Guards against changes that are refused for good after each disk was full for a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_after_full_disks() {
    let seeds = std::env::var("FULL_DISKS_SEEDS").ok();
    let seeds = seeds.map_or(1, |s| s.parse::<u64>().unwrap());
    for seed in 1..=seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut group = Group::start(SIZE).await;
        group.grown().await;
        let (longest, first) = full_in_turn(&mut group, &mut rng).await;
        println!(
            "seed={seed} changes={} longest_ms={} first_ms={}",
            group.acknowledged,
            longest.as_millis(),
            first.as_millis()
        );
        assert!(first <= ACK_MAX, "seed {seed}: {first:?}");
        assert!(longest <= ACK_MAX, "seed {seed}: {longest:?}");
    }
}

/// Guards against a group of one that never elects a leader because its disk was full at its first
/// election.
#[tokio::test]
async fn full_at_bootstrap() {
    for operations in 1..8 {
        let mut group = Group::start(0).await;
        group.disks.push(FakeDisk::new());
        group.handles.push(None);
        drop(StoreJournal::open(group.disks[0].clone(), "data").unwrap());
        group.disks[0].fail_after(2 + operations);
        group.spawn(0).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        group.disks[0].stop_failing();
        let time = group.change(ACK_MAX).await;
        assert!(time.is_some(), "{operations} operations");
    }
}

/// Guards against a group that does not recover its voters and learners when voters are replaced by
/// learners while their disks are full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_while_full() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut group = Group::start(SIZE + 2).await;
    group.grown().await;
    let voters = group.voters();
    let (longest, first) = full_in_turn(&mut group, &mut rng).await;
    let replaced = group
        .voters()
        .iter()
        .filter(|v| !voters.contains(v))
        .count();
    println!("longest={longest:?} first={first:?} replaced={replaced}");
    assert!(longest <= ACK_MAX && first <= ACK_MAX);
    group.grown().await;
    assert!(group.change(ACK_MAX).await.is_some());
}

/// Guards against a queued change that stays unanswered while the disk is full.
#[tokio::test]
async fn queued_changes_answered() {
    let mut group = Group::start(1).await;
    group.change(ACK_MAX).await.expect("the disk has room");
    group.disks[0].fail_after(1);
    let api = group.handle(0).operator_api();
    let submits = (2..6).map(|number| api.submit_note(replacement(number, 1)));
    let start = Instant::now();
    let results = futures::future::join_all(submits).await;
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    let is_unavailable = |r: &SubmitResult| matches!(r, SubmitResult::Unavailable(_));
    assert!(results.iter().all(is_unavailable), "{results:?}");
    group.disks[0].stop_failing();
    group.number = 1;
    assert!(group.change(ACK_MAX).await.is_some());
}

/// Guards against a group that never grows, or refuses its first change, after its disks were full
/// one after another from the first start on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_while_growing() {
    let mut group = Group::start(SIZE).await;
    for (i, disk) in group.disks.iter().enumerate() {
        disk.fail_after(1 + i as u64);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        disk.stop_failing();
    }
    let time = group.change(ACK_MAX).await;
    assert!(time.is_some(), "no change within {ACK_MAX:?}");
}

/// Guards against a process that ends because it holds a received snapshot but not its state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stored_snapshot_is_installed() {
    let mut group = Group::start(3).await;
    group.grown().await;
    // More entries than are kept in memory.
    let leader = group.leader().expect("a leader is known");
    for number in 1..=1_200 {
        let note = replacement(number, number - 1);
        let result = group.handle(leader).operator_api().submit_note(note).await;
        assert!(matches!(result, SubmitResult::Committed(_)));
    }
    (group.number, group.acknowledged) = (1_200, 1_200);
    let late = group.disks.len();
    group.disks.push(FakeDisk::new());
    group.handles.push(None);
    group.doubtful = Some(late);
    group.spawn(late).await;
    let start = Instant::now();
    let is_current = |group: &Group| {
        let view = group.handle(late).view();
        view.state().config().number() == NoteNumber(group.number)
    };
    while !is_current(&group) {
        assert!(start.elapsed() < TIMEOUT, "the process does not catch up");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    group.change(TIMEOUT).await.expect("all disks have room");
    let start = Instant::now();
    while !is_current(&group) {
        assert!(start.elapsed() < ACK_MAX, "the process does not follow");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
