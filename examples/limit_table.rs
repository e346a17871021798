//! Prints refusals, waits and traffic of the rate limits in virtual time as a table.

#[allow(dead_code, reason = "each program uses a part of the simulated fleet")]
#[path = "../tests/limit_sim/mod.rs"]
mod limit_sim;

use limit_sim::load::{Fault, Figures, Plan, Spread, deployment, run_seeds};
use limit_sim::{MS, SEC};

/// Seeds of each run, whose counts are added up.
const SEEDS: u64 = 8;

fn row(label: &str, plan: &Plan, from: u64, length: u64) -> Figures {
    let seeds = if plan.nodes > 100 { 1 } else { SEEDS };
    let figures = run_seeds(plan, seeds, from, length);
    if std::env::var_os("ACCOUNTS").is_some() {
        for (i, account) in figures.accounts.iter().enumerate() {
            println!(
                "    {} {account:?} {:.2}",
                plan.rates[i],
                account.per_mille()
            );
        }
    }
    let sum =
        |f: fn(&limit_sim::load::AccountCounts) -> u64| figures.accounts.iter().map(f).sum::<u64>();
    println!(
        "{label:<42} {:>8} {:>8.2} {:>8.2} {:>6} {:>8.2} {:>7.1} {:>7.1} {:>6.1} {:>8.0}",
        sum(|a| a.sent),
        figures.worst_within(plan),
        figures.static_worst(),
        sum(|a| a.ideal),
        sum(|a| a.refused) as f64 * 1_000.0 / sum(|a| a.sent).max(1) as f64,
        figures.wait(99) as f64 / MS as f64,
        figures.wait(100) as f64 / MS as f64,
        figures.messages,
        figures.bytes,
    );
    figures
}

fn main() {
    let selected = std::env::args().nth(1).unwrap_or_default();
    println!(
        "{:<42} {:>8} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7} {:>6} {:>8}",
        "run (per 1,000: in-rate refusals, worst)",
        "sent",
        "worst",
        "static",
        "ideal",
        "all",
        "p99ms",
        "maxms",
        "msg/s",
        "byte/s"
    );
    let run_all = |tag: &str, nodes: usize, zones: usize| {
        for percent in [50, 90, 100] {
            for spread in [Spread::Even, Spread::Skewed, Spread::Moving] {
                let plan = Plan {
                    spread,
                    ..deployment(nodes, zones, percent)
                };
                let label = format!("{tag} {nodes} nodes {percent} % {spread:?}");
                row(&label, &plan, 0, plan.span);
            }
        }
        for fault in [Fault::Vm, Fault::Owner, Fault::Zone] {
            for burst_secs in [1.0, 2.0, 5.0] {
                let plan = Plan {
                    fault,
                    burst_secs,
                    span: 62 * SEC,
                    ..deployment(nodes, zones, 90)
                };
                let label = format!("{tag} {nodes} nodes 90 % {fault:?} burst {burst_secs} s");
                row(&label, &plan, 31 * SEC, 30 * SEC);
            }
        }
        for overloaded in [1, 3] {
            let mut plan = deployment(nodes, zones, 90);
            plan.percent[..overloaded].fill(500);
            row(
                &format!("{tag} {nodes} nodes {overloaded} at 5x"),
                &plan,
                0,
                plan.span,
            );
        }
        let slow = Plan {
            rates: vec![2],
            burst_secs: 5.0,
            percent: vec![90],
            span: 600 * SEC,
            ..deployment(nodes, zones, 90)
        };
        row(
            &format!("{tag} {nodes} nodes 2/s burst 10"),
            &slow,
            0,
            slow.span,
        );
    };
    if selected.is_empty() || selected == "k" {
        for nodes in [14, 18, 22] {
            run_all("K", nodes, 4);
        }
    }
    if selected.is_empty() || selected == "s" {
        run_all("S", 30, 3);
    }
    if selected.is_empty() || selected == "large" {
        // A sample of 33,000 accounts: 300 with rates inversely proportional to their rank.
        let rates: Vec<u64> = (1..=300).map(|i| (4_000 / i).max(2)).collect();
        let plan = Plan {
            percent: vec![90; rates.len()],
            rates,
            span: 10 * SEC,
            ..deployment(560, 9, 90)
        };
        row("L 560 nodes 300 accounts 90 % Even", &plan, 0, plan.span);
    }
}
