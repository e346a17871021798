//! Detection and false ejections of the balancer in virtual time, with fixed seeds.
//!
//! The bounds are those of the design page. `examples/health_table` prints the whole table.

#[path = "../examples/health_table/model.rs"]
mod model;

use std::time::Duration;

use model::{Fault, Figures, K, Model, Plan, Rule, S, Size};

/// A target that turns bad at 50 requests/s is stopped within this time.
const STOPPED: Duration = Duration::from_secs(2);

fn run(size: Size, fault: Fault, seed: u64, rule: Rule) -> Figures {
    let plan = Plan {
        size,
        rule,
        fault,
        rate: 50.0,
        quiet: Duration::from_secs(20),
        faulty: Duration::from_secs(8),
        seed,
    };
    Model::new(plan).run()
}

/// Checks that a bad target is stopped in time and that no other is ejected.
fn stopped(fault: Fault) {
    for size in [K, S] {
        for seed in [61, 62, 63] {
            let figures = run(size, fault, seed, Rule::Balancer);
            let case = format!("{} {fault:?} seed {seed}", size.name);
            let time = figures.detection;
            assert!(time.is_some_and(|t| t <= STOPPED), "{case}: {time:?}");
            assert_eq!(figures.false_ejections, 0, "{case}");
        }
    }
}

/// Guards against work for a target whose process is gone.
#[test]
fn stop() {
    stopped(Fault::Stop);
}

/// Guards against work for a target that takes three times as long.
#[test]
fn threefold_slow() {
    stopped(Fault::Slow(3.0));
}

/// Guards against work for a target that takes 10 or 100 times as long.
#[test]
fn very_slow() {
    for factor in [10.0, 100.0] {
        stopped(Fault::Slow(factor));
    }
}

/// Guards against work for a target that fails a fifth or all of its requests.
#[test]
fn errors() {
    for share in [0.2, 1.0] {
        stopped(Fault::Errors(share));
    }
}

/// Guards against work for a target that fails one request in twenty.
#[test]
fn few_errors() {
    stopped(Fault::Errors(0.05));
}

/// Guards against work for a target that accepts requests and never answers.
#[test]
fn hang() {
    stopped(Fault::Hang);
}

/// Guards against work for a target that is bad and good by turns.
#[test]
fn flap() {
    stopped(Fault::Flap(Duration::from_secs(5)));
}

/// Guards against work for a target whose node hears the others but is not heard.
#[test]
fn one_way() {
    stopped(Fault::OneWay);
}

fn quiet_hour(size: Size, seed: u64) {
    let plan = Plan {
        size,
        rule: Rule::Balancer,
        fault: Fault::None,
        rate: 5.0,
        quiet: Duration::from_secs(3_600),
        faulty: Duration::ZERO,
        seed,
    };
    let figures = Model::new(plan).run();
    assert_eq!(figures.false_ejections, 0, "{}", size.name);
}

/// Guards against ejection by chance: none in a quiet hour of deployment K.
#[test]
fn quiet_hour_k() {
    quiet_hour(K, 71);
}

/// Guards against ejection by chance with a seed that found one.
#[test]
fn quiet_hour_k_second() {
    quiet_hour(K, 173);
}

/// Guards against ejection by chance: none in a quiet hour of deployment S.
#[test]
fn quiet_hour_s() {
    quiet_hour(S, 71);
}

/// Guards against a balancer that loses more than the simpler rules on the same load.
#[test]
fn beats_baselines() {
    for fault in [Fault::Errors(0.2), Fault::Hang, Fault::OneWay] {
        let lost = |rule| run(K, fault, 81, rule).lost;
        let ours = lost(Rule::Balancer);
        for rule in [Rule::RoundRobin, Rule::Consecutive] {
            let theirs = lost(rule);
            assert!(
                ours < theirs,
                "{fault:?}: {ours} against {theirs} of {rule:?}"
            );
        }
    }
}
