//! The store under crashes, torn writes, full disks and damaged files.

use std::path::Path;

use laburnumtide::control::journal::{Journal, StoreJournal};
use laburnumtide::error::Category;
use laburnumtide::prelude::*;
use laburnumtide::replica::{Entry, LogEntry, Persist};
use laburnumtide::storage::fake::FakeDisk;
use laburnumtide::storage::{Disk, RealDisk, Record, Store};
use proptest::prelude::*;

fn open(disk: &FakeDisk) -> Store<FakeDisk> {
    Store::open(disk.clone(), "data").expect("the directory is intact")
}

fn record(index: u64, size: usize) -> Record {
    let bytes = (0..size).map(|i| (i as u8) ^ (index as u8)).collect();
    Record { index, bytes }
}

/// The content of a store, for comparison.
#[derive(Clone, Debug, Default, PartialEq)]
struct Content {
    records: Vec<Record>,
    snapshot: Option<(u64, Vec<u8>)>,
    hard_state: Vec<u8>,
}

impl Content {
    fn of<D: Disk>(store: &Store<D>) -> Content {
        Content {
            records: store.records(0).to_vec(),
            snapshot: store.snapshot(),
            hard_state: store.hard_state().to_vec(),
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Append(usize, usize),
    Truncate(u64),
    HardState(u8),
    Snapshot(u64),
}

impl Step {
    fn run<D: Disk>(&self, store: &mut Store<D>) -> laburnumtide::error::Result<()> {
        match self {
            Step::Append(count, size) => {
                let next = store.last_index() + 1;
                let records: Vec<_> = (next..).take(*count).map(|i| record(i, *size)).collect();
                store.append(&records)
            }
            Step::Truncate(back) => {
                let index = store
                    .last_index()
                    .saturating_sub(*back)
                    .max(store.first_index());
                store.truncate_from(index)
            }
            Step::HardState(byte) => store.save_hard_state(&[*byte; 40]),
            Step::Snapshot(back) => {
                let index = store
                    .last_index()
                    .saturating_sub(*back)
                    .max(store.first_index() - 1);
                store.save_snapshot(index, &[index as u8; 700])
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1usize..4, 0usize..1_500).prop_map(|(n, size)| Step::Append(n, size)),
        1 => (0u64..4).prop_map(Step::Truncate),
        1 => any::<u8>().prop_map(Step::HardState),
        1 => (0u64..4).prop_map(Step::Snapshot),
    ]
}

/// Returns true if `recovered` results from `before` by none, part or all of a step that leads to
/// `after`.
fn is_between(before: &Content, recovered: &Content, after: &Content) -> bool {
    let hard_state =
        recovered.hard_state == before.hard_state || recovered.hard_state == after.hard_state;
    let snapshot = recovered.snapshot == before.snapshot || recovered.snapshot == after.snapshot;
    let is_prefix = |short: &[Record], long: &[Record]| long.starts_with(short);
    let records = recovered.records == before.records
        || recovered.records == after.records
        || (is_prefix(&before.records, &recovered.records)
            && is_prefix(&recovered.records, &after.records));
    hard_state && snapshot && records
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        ..Default::default()
    })]

    /// Guards against the loss of an acknowledged write, and against a directory that can't be
    /// opened after a crash at any operation.
    #[test]
    fn any_crash_keeps_synced_state(
        steps in prop::collection::vec(step(), 1..12),
        operations in 1u64..80,
        seed in any::<u64>(),
    ) {
        let disk = FakeDisk::new();
        disk.fail_after(operations);
        let mut before = Content::default();
        let mut after = Content::default();
        if let Ok(mut store) = Store::open(disk.clone(), "data") {
            for step in &steps {
                // A second store, on a disk without faults, gives the expected result of the step.
                let model = model_of(&store);
                after = model.after(step);
                if step.run(&mut store).is_err() {
                    break;
                }
                before = Content::of(&store);
                after = before.clone();
            }
        }
        disk.crash_torn(seed);
        let store = open(&disk);
        let recovered = Content::of(&store);
        prop_assert!(is_between(&before, &recovered, &after), "{before:?}\n{recovered:?}\n{after:?}");
        let identity = store.identity();
        drop(store);
        disk.crash();
        let again = open(&disk);
        prop_assert_eq!(Content::of(&again), recovered, "the recovered content must stay");
        prop_assert_eq!(again.identity(), identity);
    }
}

/// A copy of a store on a disk without faults.
struct Model(Store<FakeDisk>);

fn model_of(store: &Store<FakeDisk>) -> Model {
    let mut copy = open(&FakeDisk::new());
    if let Some((index, bytes)) = store.snapshot() {
        copy.save_snapshot(index, &bytes).unwrap();
    }
    copy.append(store.records(0)).unwrap();
    copy.save_hard_state(store.hard_state()).unwrap();
    Model(copy)
}

impl Model {
    fn after(mut self, step: &Step) -> Content {
        step.run(&mut self.0).unwrap();
        Content::of(&self.0)
    }
}

fn filled(disk: &FakeDisk) -> Content {
    let mut store = open(disk);
    store.append(&[record(1, 10), record(2, 20)]).unwrap();
    store.save_snapshot(1, b"one").unwrap();
    store.save_hard_state(b"term 3").unwrap();
    store.append(&[record(3, 30)]).unwrap();
    Content::of(&store)
}

/// Guards against damage that is mistaken for a torn tail, also in the last synced record.
#[test]
fn every_flipped_bit_is_detected() {
    let pristine = FakeDisk::new();
    filled(&pristine);
    for name in ["log", "snapshot", "identity"] {
        let length = pristine.read(&Path::new("data").join(name)).unwrap().len();
        let mut detected = 0;
        for offset in 0..length {
            let disk = FakeDisk::new();
            let content = filled(&disk);
            disk.flip_bit(Path::new("data").join(name), offset, (offset % 8) as u8);
            match Store::open(disk, "data") {
                // The padding and the older superblock are not used.
                Ok(store) => assert_eq!(Content::of(&store), content, "{name} {offset}"),
                Err(e) => {
                    assert_eq!(e.category(), Category::Corrupt, "{name} {offset}: {e}");
                    detected += 1;
                }
            }
        }
        assert!(detected > 0, "{name}");
        println!("{name}: {detected} of {length} flips detected");
    }
    let disk = FakeDisk::new();
    filled(&disk);
    let length = disk.read("data/log".as_ref()).unwrap().len();
    disk.flip_bit("data/log", length - 1, 0);
    let error = Store::open(disk, "data").expect_err("the last record is damaged");
    assert_eq!(error.category(), Category::Corrupt);
}

/// Guards against a replica that loses its vote because a file is missing.
#[test]
fn lost_files_are_detected() {
    for name in ["log", "identity"] {
        let disk = FakeDisk::new();
        filled(&disk);
        disk.delete_durably(Path::new("data").join(name));
        let error = Store::open(disk, "data").expect_err("a file is lost");
        assert_eq!(error.category(), Category::Corrupt);
        assert!(error.to_string().contains(name), "{error}");
    }
}

/// Guards against a full disk that damages the log or makes reads fail.
#[test]
fn full_disk_still_serves_reads() {
    let disk = FakeDisk::new();
    let content = filled(&disk);
    let mut store = open(&disk);
    for free_bytes in [0, 1, 16, 17, 500, 1_000] {
        disk.set_free_bytes(Some(free_bytes));
        let error = store
            .append(&[record(4, 2_000)])
            .expect_err("the disk is full");
        assert!(error.is_disk_full(), "{error}");
        assert_eq!(Content::of(&store), content);
        assert!(
            store
                .save_snapshot(3, &[0; 4_000])
                .unwrap_err()
                .is_disk_full()
        );
        assert_eq!(Content::of(&store), content);
    }
    disk.set_free_bytes(None);
    store.append(&[record(4, 2_000)]).unwrap();
    drop(store);
    disk.crash();
    let store = open(&disk);
    assert_eq!(store.records(4), [record(4, 2_000)]);
    assert_eq!(store.records(0).len(), 3);
}

/// Guards against complete frames after a torn one that become readable again once a later record
/// of the same size takes the place of the torn frame.
#[test]
fn torn_batch_never_returns() {
    for seed in 0..200 {
        let disk = FakeDisk::new();
        let mut store = open(&disk);
        disk.fail_after(2);
        let batch: Vec<_> = (1..5).map(|i| record(i, 1_007)).collect();
        store
            .append(&batch)
            .expect_err("the disk fails at the sync");
        drop(store);
        disk.crash_torn(seed);
        let mut store = open(&disk);
        let next = store.last_index() + 1;
        store.append(&[record(next, 1_007)]).unwrap();
        drop(store);
        disk.crash();
        assert_eq!(open(&disk).last_index(), next, "seed {seed}");
    }
}

/// Guards against complete frames of a failed batch that become readable again once a later record
/// of the same size takes the place of the first one.
#[test]
fn failed_batch_never_returns() {
    let disk = FakeDisk::new();
    let mut store = open(&disk);
    disk.set_free_bytes(Some(350));
    let batch: Vec<_> = (1..5).map(|i| record(i, 100)).collect();
    assert!(store.append(&batch).unwrap_err().is_disk_full());
    store.append(&[record(1, 100)]).unwrap();
    drop(store);
    assert_eq!(open(&disk).last_index(), 1);
}

/// Guards against an acknowledgement after a failed sync, since a second sync may report success
/// without writing the data.
#[test]
fn failed_sync_stops_writes() {
    let disk = FakeDisk::new();
    let content = filled(&disk);
    let mut store = open(&disk);
    disk.set_sync_fails(true);
    assert!(store.append(&[record(4, 10)]).is_err());
    disk.set_sync_fails(false);
    let error = store
        .append(&[record(4, 10)])
        .expect_err("the store rejects writes");
    assert_eq!(error.category(), Category::Unavailable);
    assert_eq!(Content::of(&store), content);
    drop(store);
    disk.crash();
    let mut store = open(&disk);
    assert_eq!(Content::of(&store), content);
    store.append(&[record(4, 10)]).unwrap();
}

/// Guards against a log that grows without bound.
#[test]
fn snapshot_compacts_log() {
    let disk = FakeDisk::new();
    let mut store = open(&disk);
    for index in 1..=100 {
        store.append(&[record(index, 1_000)]).unwrap();
    }
    let long = disk.read("data/log".as_ref()).unwrap().len();
    store.save_snapshot(98, b"state").unwrap();
    let short = disk.read("data/log".as_ref()).unwrap().len();
    assert!(long > 100_000 && short < 5_000, "{long} {short}");
    assert_eq!(store.records(0), [record(99, 1_000), record(100, 1_000)]);
    assert!(store.truncate_from(98).is_err());
    assert!(store.save_snapshot(97, b"old").is_err());
    store.save_snapshot(300, b"from the leader").unwrap();
    assert_eq!((store.first_index(), store.last_index()), (301, 300));
    assert!(store.append(&[record(300, 1)]).is_err());
    store.append(&[record(301, 1)]).unwrap();
    drop(store);
    disk.crash();
    let store = open(&disk);
    assert_eq!(store.records(0), [record(301, 1)]);
    assert_eq!(store.snapshot(), Some((300, b"from the leader".to_vec())));
}

/// Guards against two processes that use one directory.
#[test]
fn directory_is_locked() {
    let disk = FakeDisk::new();
    let store = open(&disk);
    let error = Store::open(disk.clone(), "data").expect_err("the directory is in use");
    assert_eq!(error.category(), Category::Conflict);
    drop(store);
    open(&disk);
}

/// Guards against a real disk that loses state which the fake disk keeps.
#[test]
fn real_disk_keeps_state() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("deep").join("data");
    let mut store = Store::open(RealDisk, &path).unwrap();
    let error = Store::open(RealDisk, &path).expect_err("the directory is in use");
    assert_eq!(error.category(), Category::Conflict);
    let steps = [
        Step::Append(3, 100),
        Step::HardState(7),
        Step::Truncate(0),
        Step::Snapshot(1),
        Step::Append(2, 5_000),
    ];
    for step in steps {
        step.run(&mut store).unwrap();
    }
    let (content, identity) = (Content::of(&store), store.identity());
    drop(store);
    let store = Store::open(RealDisk, &path).unwrap();
    assert_eq!(Content::of(&store), content);
    assert_eq!(store.identity(), identity);
}

/// Guards against content that is taken as synced after a failed sync and is lost in a later crash.
#[test]
fn failed_sync_counts_as_lost() {
    let disk = FakeDisk::new();
    let mut journal = StoreJournal::open(disk.clone(), "data").unwrap();
    let entry = |n: u64| LogEntry {
        position: Position(n),
        term: Term(1),
        entry: Entry::Note(vec![n as u8; 40].into()),
    };
    journal.write(&Persist::Append(vec![entry(1)])).unwrap();
    disk.set_sync_fails(true);
    assert!(journal.write(&Persist::Append(vec![entry(2)])).is_err());
    disk.set_sync_fails(false);
    let held = journal.load().unwrap().entries;
    drop(journal);
    disk.crash();
    let mut journal = StoreJournal::open(disk, "data").unwrap();
    assert_eq!(journal.load().unwrap().entries, held);
    assert_eq!(held, [entry(1)]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        ..Default::default()
    })]

    /// Guards against acknowledged writes that are lost in a crash after the process was killed at
    /// any operation and started again.
    #[test]
    fn any_kill_keeps_synced_state(
        steps in prop::collection::vec(step(), 1..12),
        operations in 1u64..80,
        later in prop::collection::vec(step(), 1..4),
        seed in any::<u64>(),
    ) {
        let disk = FakeDisk::new();
        drop(Store::open(disk.clone(), "data"));
        disk.kill_after(operations);
        if let Ok(mut store) = Store::open(disk.clone(), "data") {
            for step in &steps {
                if step.run(&mut store).is_err() {
                    break;
                }
            }
        }
        disk.stop_failing();
        let mut store = open(&disk);
        for step in &later {
            step.run(&mut store).unwrap();
        }
        let content = Content::of(&store);
        drop(store);
        disk.crash_torn(seed);
        prop_assert_eq!(Content::of(&open(&disk)), content);
    }

    /// Guards against a store that stays unusable, or loses acknowledged writes, after its disk
    /// refused writes or syncs for a while.
    #[test]
    fn any_failure_keeps_synced_state(
        steps in prop::collection::vec(step(), 1..12),
        operations in 1u64..80,
        retries in 0u64..6,
        later in prop::collection::vec(step(), 1..4),
        seed in any::<u64>(),
    ) {
        let disk = FakeDisk::new();
        let mut store = open(&disk);
        disk.fail_after(operations);
        for step in &steps {
            if step.run(&mut store).is_err() {
                break;
            }
        }
        let before = Content::of(&store);
        for _ in 0..retries {
            // Some attempts fail at a later operation.
            disk.fail_after(retries);
            let _ = store.repair();
        }
        disk.stop_failing();
        store.repair().unwrap();
        prop_assert_eq!(Content::of(&store), before);
        for step in &later {
            step.run(&mut store).unwrap();
        }
        let content = Content::of(&store);
        drop(store);
        disk.crash_torn(seed);
        prop_assert_eq!(Content::of(&open(&disk)), content);
    }
}
