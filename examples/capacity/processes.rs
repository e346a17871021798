//! Idle cost of real processes, and the time until a note is in force.

use std::time::{Duration, Instant};

use anyhow::Result;

use crate::content::{SIZES, growth_notes};
use crate::cost::{millis, percent, process_cpu, resident_kb};
use crate::fleet::{Fleet, Proc};

/// Duration of one CPU measurement.
const MEASURE_TIME: Duration = Duration::from_secs(20);

/// Time for links and leases to settle before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Number of notes that are timed.
const NOTES: usize = 7;

/// Timeout for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The CPU times of processes at one point in time.
struct CpuSnapshot {
    pids: Vec<u32>,
    cpu: Vec<Duration>,
    start: Instant,
}

impl CpuSnapshot {
    fn new(pids: Vec<u32>) -> CpuSnapshot {
        CpuSnapshot {
            cpu: pids.iter().map(|p| process_cpu(*p)).collect(),
            pids,
            start: Instant::now(),
        }
    }

    /// Returns the share of a core that each process has used since the snapshot.
    fn usage(&self) -> Vec<f64> {
        let wall = self.start.elapsed();
        let pairs = self.pids.iter().zip(&self.cpu);
        pairs
            .map(|(p, before)| percent(process_cpu(*p).saturating_sub(*before), wall))
            .collect()
    }
}

/// Measures the share of a core that each process uses.
pub fn measure_cpu(procs: &[&Proc]) -> Vec<f64> {
    let snapshot = CpuSnapshot::new(procs.iter().map(|p| p.pid()).collect());
    std::thread::sleep(MEASURE_TIME);
    snapshot.usage()
}

/// Returns the mean and the maximum.
fn mean_max(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let values: Vec<f64> = values.collect();
    let sum: f64 = values.iter().sum();
    (
        sum / values.len().max(1) as f64,
        values.iter().copied().fold(0.0, f64::max),
    )
}

/// Returns the resident memory in megabytes.
pub fn resident_mb(proc: &Proc) -> f64 {
    resident_kb(&proc.pid().to_string()) as f64 / 1_024.0
}

/// Submits small notes; returns the median and the maximum time until one is in force everywhere.
pub fn note_times(fleet: &mut Fleet) -> Result<(f64, f64)> {
    let mut times = Vec::new();
    for i in 0..NOTES {
        let text = format!("[[added.services]]\nname=\"extra-{}-{i}\"\n", fleet.number);
        times.push(millis(fleet.submit(&text)?));
    }
    times.sort_by(f64::total_cmp);
    Ok((times[times.len() / 2], times[times.len() - 1]))
}

fn idle_row(nodes: usize, index: u32) -> Result<()> {
    let mut fleet = Fleet::start(nodes, index)?;
    fleet.submit(&growth_notes((0, 0), (0, 0))[0])?;
    std::thread::sleep(SETTLE_TIME);
    let procs: Vec<&Proc> = fleet.nodes.iter().chain(&fleet.controls).collect();
    let usage = measure_cpu(&procs);
    let (node_usage, control_usage) = usage.split_at(nodes);
    let cpu = mean_max(node_usage.iter().copied());
    let memory = mean_max(fleet.nodes.iter().map(resident_mb));
    let leader = fleet.leader().unwrap_or(0);
    let control_memory = mean_max(fleet.controls.iter().map(resident_mb));
    let others = (0..3).filter(|i| *i != leader).map(|i| control_usage[i]);
    let follower = mean_max(others);
    let times = note_times(&mut fleet)?;
    println!(
        "{nodes:>6} {:>8.2} {:>8.2} {:>8.1} {:>8.1} {:>8.2} {:>8.2} {:>8.1} {:>8.0} {:>8.0}",
        cpu.0,
        cpu.1,
        memory.0,
        memory.1,
        control_usage[leader],
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
        for text in growth_notes(from, size) {
            fleet.submit(&text)?;
        }
        from = size;
        let times = note_times(&mut fleet)?;
        let node_memory = mean_max(fleet.nodes.iter().map(resident_mb));
        let (fresh, ready, start) = restart(&mut fleet)?;
        let control = mean_max(fleet.controls.iter().map(resident_mb));
        println!(
            "{:>8} {:>7} {:>9.1} {fresh:>9.1} {ready:>9.0} {start:>9.0} {:>9.0} {:>9.1}",
            size.0, size.1, node_memory.1, times.0, control.1
        );
    }
    Ok(())
}

/// Restarts one node; returns its memory, the time until it is ready and its CPU time.
fn restart(fleet: &mut Fleet) -> Result<(f64, f64, f64)> {
    let last = fleet.nodes.len() - 1;
    drop(fleet.nodes.pop());
    let start = Instant::now();
    let node = fleet.start_node(last)?;
    fleet.nodes.push(node);
    while !fleet.is_ready(last) && start.elapsed() < READY_TIMEOUT {
        std::thread::sleep(Duration::from_millis(10));
    }
    let ready = millis(start.elapsed());
    let cpu = millis(process_cpu(fleet.nodes[last].pid()));
    let memory = resident_mb(&fleet.nodes[last]);
    std::thread::sleep(SETTLE_TIME);
    fleet.wait_registered(last + 1)?;
    Ok((memory, ready, cpu))
}

/// Prints the cost of fleets by the number of nodes and by the size of the configuration.
pub fn print() -> Result<()> {
    println!("\nidle fleets of 3 control processes and N nodes, % of a core over {MEASURE_TIME:?}");
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
    for (index, nodes) in [4, 12, 36].into_iter().enumerate() {
        idle_row(nodes, index as u32)?;
    }
    content_rows()
}
