//! Compares the balancer with two simpler policies: how fast each stops requests to bad targets.
//!
//! The runs take place in virtual time.
//!
//! `cargo run --release --example health_table [-- FILTER | -- quiet]`. The filter is a substring
//! of `SIZE RATE POLICY`, as in `K 50 Balancer`; `quiet` runs an hour without faults instead.

mod model;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use model::{Fault, K, Model, Plan, Policy, RunResults, S};

const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

/// Number of concurrent runs.
const THREADS: usize = 3;

/// Requests per second to each target.
const RATES: [f64; 3] = [5.0, 50.0, 500.0];

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("quiet") => quiet_hour(),
        _ => faults(),
    }
}

fn faults() {
    println!("size rate fault rule detection_ms(median max) missed false lost late of");
    let flap = Duration::from_secs(5);
    let faults = [
        Fault::Stop,
        Fault::Slow(3.0),
        Fault::Slow(10.0),
        Fault::Slow(100.0),
        Fault::Errors(0.05),
        Fault::Errors(0.2),
        Fault::Errors(1.0),
        Fault::Hang,
        Fault::Flap(flap),
        Fault::OneWay,
    ];
    let mut plans = Vec::new();
    for size in [K, S] {
        for rate in RATES {
            for fault in faults {
                for policy in [Policy::Balancer, Policy::RoundRobin, Policy::Consecutive] {
                    // At the highest rate a shorter time holds enough requests.
                    let seconds = if rate > 100.0 { 15 } else { 60 };
                    plans.push(Plan {
                        size,
                        policy,
                        fault,
                        rate,
                        quiet: Duration::from_secs(seconds),
                        faulty: Duration::from_secs(seconds),
                        seed: 0,
                    });
                }
            }
        }
    }
    let filter = std::env::args().nth(1).unwrap_or_default();
    plans.retain(|p| format!("{} {} {:?}", p.size.name, p.rate, p.policy).contains(&filter));
    run_plans(&plans);
}

/// Runs the plans with every seed, several at a time, and prints one row for each plan.
fn run_plans(plans: &[Plan]) {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let runs = SEEDS.map(|seed| Model::new(Plan { seed, ..*plan }).run());
                    let Plan {
                        size, rate, fault, ..
                    } = plan;
                    let row = summary(&runs);
                    println!("{} {rate} {fault:?} {:?} {row}", size.name, plan.policy);
                }
            });
        }
    });
}

fn quiet_hour() {
    println!("size rate seed false lost");
    for size in [K, S] {
        for rate in RATES {
            let seconds = if rate > 100.0 { 600 } else { 3_600 };
            let plan = Plan {
                size,
                policy: Policy::Balancer,
                fault: Fault::None,
                rate,
                quiet: Duration::from_secs(seconds),
                faulty: Duration::ZERO,
                seed: 21,
            };
            let run = Model::new(plan).run();
            println!(
                "{} {rate} {} {} {} in {seconds} s {:?}",
                size.name, plan.seed, run.false_ejections, run.lost_before, run.false_causes
            );
        }
    }
}

fn summary(runs: &[RunResults]) -> String {
    let mut detected: Vec<u128> = runs
        .iter()
        .filter_map(|r| r.detection)
        .map(|d| d.as_millis())
        .collect();
    detected.sort_unstable();
    let median = detected
        .get(detected.len() / 2)
        .map_or("-".to_owned(), u128::to_string);
    let max = detected.last().map_or("-".to_owned(), u128::to_string);
    let missed = runs.len() - detected.len();
    let sum = |f: fn(&RunResults) -> u64| runs.iter().map(f).sum::<u64>();
    let false_ejections = sum(|r| r.false_ejections.into());
    let causes: std::collections::BTreeSet<_> = runs.iter().flat_map(|r| &r.false_causes).collect();
    format!(
        "{median} {max} {missed} {false_ejections} {} {} {} {causes:?}",
        sum(|r| r.lost),
        sum(|r| r.lost_late),
        sum(|r| r.requests)
    )
}
