//! Idle cost of real processes and the time until a note is in force.

use std::time::{Duration, Instant};

use anyhow::Result;

use crate::content::{SIZES, growth};
use crate::cost::{millis, percent, process_cpu, resident_kb};
use crate::fleet::{Fleet, Proc};

/// Time over which idle processes are watched.
const WATCH: Duration = Duration::from_secs(20);

/// Time for links and leases to settle before the watch.
const SETTLE: Duration = Duration::from_secs(6);

/// Notes whose time is taken.
const NOTES: usize = 7;

/// Longest wait for a node to become ready.
const READY_MAX: Duration = Duration::from_secs(60);

/// Processor time of processes since a reading.
struct Reading {
    pids: Vec<u32>,
    cpu: Vec<Duration>,
    taken: Instant,
}

impl Reading {
    fn new(pids: Vec<u32>) -> Reading {
        Reading {
            cpu: pids.iter().map(|p| process_cpu(*p)).collect(),
            pids,
            taken: Instant::now(),
        }
    }

    /// Returns the part of a core that each process took.
    fn shares(&self) -> Vec<f64> {
        let wall = self.taken.elapsed();
        let pairs = self.pids.iter().zip(&self.cpu);
        pairs
            .map(|(p, before)| percent(process_cpu(*p).saturating_sub(*before), wall))
            .collect()
    }
}

/// Returns the part of a core that each process takes over a watch.
pub fn watch(procs: &[&Proc]) -> Vec<f64> {
    let reading = Reading::new(procs.iter().map(|p| p.pid()).collect());
    std::thread::sleep(WATCH);
    reading.shares()
}

/// Returns the mean and the largest value.
fn mean_max(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let values: Vec<f64> = values.collect();
    let sum: f64 = values.iter().sum();
    (
        sum / values.len().max(1) as f64,
        values.iter().copied().fold(0.0, f64::max),
    )
}

/// Returns resident memory in megabytes.
pub fn resident_mb(proc: &Proc) -> f64 {
    resident_kb(&proc.pid().to_string()) as f64 / 1_024.0
}

/// Submits small notes; returns the median and the longest time until one is in force everywhere.
pub fn note_times(fleet: &mut Fleet) -> Result<(f64, f64)> {
    let mut times = Vec::new();
    for i in 0..NOTES {
        let text = format!("[[added.services]]\nname=\"extra-{}-{i}\"\n", fleet.number);
        times.push(millis(fleet.submit(&text)?));
    }
    times.sort_by(f64::total_cmp);
    Ok((times[times.len() / 2], times[times.len() - 1]))
}

fn idle_row(nodes: usize, salt: u32) -> Result<()> {
    let mut fleet = Fleet::start(nodes, salt)?;
    fleet.submit(&growth((0, 0), (0, 0))[0])?;
    std::thread::sleep(SETTLE);
    let procs: Vec<&Proc> = fleet.nodes.iter().chain(&fleet.controls).collect();
    let shares = watch(&procs);
    let (node_shares, control_shares) = shares.split_at(nodes);
    let cpu = mean_max(node_shares.iter().copied());
    let memory = mean_max(fleet.nodes.iter().map(resident_mb));
    let leader = fleet.leader().unwrap_or(0);
    let control_memory = mean_max(fleet.controls.iter().map(resident_mb));
    let others = (0..3).filter(|i| *i != leader).map(|i| control_shares[i]);
    let follower = mean_max(others);
    let times = note_times(&mut fleet)?;
    println!(
        "{nodes:>6} {:>8.2} {:>8.2} {:>8.1} {:>8.1} {:>8.2} {:>8.2} {:>8.1} {:>8.0} {:>8.0}",
        cpu.0,
        cpu.1,
        memory.0,
        memory.1,
        control_shares[leader],
        follower.1,
        control_memory.1,
        times.0,
        times.1
    );
    Ok(())
}

fn content_rows() -> Result<()> {
    let mut fleet = Fleet::start(4, 9)?;
    let mut from = (0, 0);
    println!("\nnodes of a fleet of 4 by size of the configuration, wall clock on a busy machine");
    println!(
        "{:>8} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "accounts",
        "routes",
        "node MB",
        "fresh MB",
        "ready ms",
        "start ms",
        "note ms",
        "control MB"
    );
    for size in SIZES {
        for text in growth(from, size) {
            fleet.submit(&text)?;
        }
        from = size;
        let times = note_times(&mut fleet)?;
        let kept = mean_max(fleet.nodes.iter().map(resident_mb));
        let (fresh, ready, start) = restart(&mut fleet)?;
        let control = mean_max(fleet.controls.iter().map(resident_mb));
        println!(
            "{:>8} {:>7} {:>9.1} {fresh:>9.1} {ready:>9.0} {start:>9.0} {:>9.0} {:>9.1}",
            size.0, size.1, kept.1, times.0, control.1
        );
    }
    Ok(())
}

/// Restarts one node; returns its memory, the time until it is ready and its processor time.
fn restart(fleet: &mut Fleet) -> Result<(f64, f64, f64)> {
    let last = fleet.nodes.len() - 1;
    drop(fleet.nodes.pop());
    let start = Instant::now();
    let node = fleet.start_node(last)?;
    fleet.nodes.push(node);
    while !fleet.is_ready(last) && start.elapsed() < READY_MAX {
        std::thread::sleep(Duration::from_millis(10));
    }
    let ready = millis(start.elapsed());
    let cpu = millis(process_cpu(fleet.nodes[last].pid()));
    let memory = resident_mb(&fleet.nodes[last]);
    std::thread::sleep(SETTLE);
    fleet.wait_registered(last + 1)?;
    Ok((memory, ready, cpu))
}

/// Prints fleets by the number of nodes and by the size of the configuration.
pub fn print() -> Result<()> {
    println!("\nidle fleets of 3 control processes and N nodes, % of a core over {WATCH:?}");
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "nodes",
        "node %",
        "max %",
        "node MB",
        "max MB",
        "leader %",
        "other %",
        "ctl MB",
        "note ms",
        "max ms"
    );
    for (salt, nodes) in [4, 12, 36].into_iter().enumerate() {
        idle_row(nodes, salt as u32)?;
    }
    content_rows()
}
