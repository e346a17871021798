//! The replicated log under random crashes, pauses, disk losses, torn writes and partitions.

mod replica_sim;

use std::time::Duration;

use rand::RngExt;
use replica_sim::{Sim, VMS};

/// Default seeds; `REPLICA_SEEDS=first..end` overrides them.
const SEEDS: std::ops::Range<u64> = 0..300;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("REPLICA_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("first..end");
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against two leaders in a term, lost or changed committed entries, leases that overlap a
/// newer leader, and groups that don't recover.
#[test]
fn random_faults() {
    let mut committed = 0;
    let mut failed = Vec::new();
    for seed in seeds() {
        let run = std::panic::catch_unwind(|| {
            let mut sim = Sim::new(seed);
            sim.run(Duration::from_secs(20));
            sim.heal();
            sim.run(Duration::from_secs(10));
            sim.check_recovered();
            sim.committed.len()
        });
        match run {
            Ok(entries) => committed += entries,
            Err(_) => failed.push(seed),
        }
    }
    println!("seeds={:?} committed={committed}", seeds());
    assert!(failed.is_empty(), "failing seeds: {failed:?}");
    assert!(committed > 0, "the runs commit something");
}

fn healthy_group(seed: u64) -> (Sim, usize) {
    let mut sim = Sim::new(seed);
    sim.heal();
    sim.run(Duration::from_secs(5));
    let leader = sim.leader().expect("a healthy group has a leader");
    (sim, leader)
}

/// Guards against a working leader being deposed by a replica that can send but not receive.
#[test]
fn follower_without_receive() {
    for seed in 0..20 {
        let (mut sim, leader) = healthy_group(seed);
        let term = sim.vms[leader].replica.as_ref().unwrap().term();
        let isolated = (leader + 1) % VMS;
        let end = sim.now + Duration::from_secs(5);
        for other in 0..VMS {
            sim.partitions.insert((other, isolated), end);
        }
        sim.run(Duration::from_secs(10));
        assert_eq!(sim.leader(), Some(leader), "seed {seed}");
        let replica = sim.vms[leader].replica.as_ref().unwrap();
        assert_eq!(replica.term(), term, "seed {seed}");
    }
}

/// Guards against a voter that grants a vote right after a restart, while a leader still holds a
/// lease that the voter acknowledged before it.
#[test]
fn restarted_voter() {
    for seed in 0..40 {
        let (mut sim, leader) = healthy_group(seed);
        let (voter, isolated) = ((leader + 1) % VMS, (leader + 2) % VMS);
        // Without new entries the isolated replica's log stays up to date, so it can be elected.
        sim.proposal_rate = 0.0;
        sim.run(Duration::from_secs(1));
        let end = sim.now + Duration::from_secs(60);
        sim.partitions.insert((leader, isolated), end);
        while sim.now < end {
            sim.restart(voter, Duration::from_millis(10));
            sim.run(Duration::from_millis(400));
        }
    }
}

/// Guards against a leader that keeps its lease although it receives nothing from the followers.
#[test]
fn leader_without_receive() {
    for seed in 0..20 {
        let (mut sim, leader) = healthy_group(seed);
        let end = sim.now + Duration::from_secs(60);
        for other in (0..VMS).filter(|o| *o != leader) {
            sim.partitions.insert((other, leader), end);
        }
        sim.run(Duration::from_secs(3));
        let new = sim
            .leader()
            .expect("the majority elects a leader within 3 s");
        assert_ne!(new, leader, "seed {seed}");
    }
}

/// Guards against losing entries when a second disk is lost right after a repair.
#[test]
fn repeated_disk_loss() {
    for seed in 0..20 {
        let (mut sim, _) = healthy_group(seed);
        for round in 0..9 {
            let before = sim.committed.len();
            sim.wipe(round % VMS);
            while !(0..VMS).all(|i| sim.group.is_voter(sim.id(i))) {
                assert!(sim.now.as_millis() < 3_700_000, "seed {seed}: no repair");
                sim.run(Duration::from_millis(5));
            }
            assert!(sim.committed.len() > before);
        }
        sim.run(Duration::from_secs(3));
        sim.check_recovered();
    }
}

/// Time within which a change must be acknowledged.
const ACK_MAX: Duration = Duration::from_secs(4);

/// Runs until another entry is committed; returns the time.
fn time_to_commit(sim: &mut Sim) -> Duration {
    let (start, count) = (sim.now, sim.committed.len());
    while sim.committed.len() == count && sim.now < start + 2 * ACK_MAX {
        sim.run(Duration::from_millis(5));
    }
    sim.now.since(start)
}

/// Guards against a group that stops committing entries after each disk was full for a while.
#[test]
fn full_disks_in_turn() {
    const SIZE: usize = 5;
    let (mut longest, mut last) = (Duration::ZERO, Duration::ZERO);
    for seed in seeds() {
        let mut sim = Sim::with_size(seed, SIZE);
        sim.heal();
        sim.run(Duration::from_secs(5));
        let shift = sim.rng.random_range(0..SIZE);
        for i in 0..SIZE {
            let next = (i + shift) % SIZE;
            let length = Duration::from_millis(sim.rng.random_range(1_000..6_000));
            sim.fill(next, length);
            let end = sim.now + length;
            while sim.now < end {
                longest = longest.max(time_to_commit(&mut sim));
            }
        }
        let time = time_to_commit(&mut sim);
        last = last.max(time);
        assert!(time <= ACK_MAX, "seed {seed}: {time:?}");
        assert!(longest <= ACK_MAX, "seed {seed}: {longest:?}");
        sim.run(Duration::from_secs(3));
        sim.check_recovered();
    }
    println!(
        "longest_ms={} last_ms={}",
        longest.as_millis(),
        last.as_millis()
    );
}
