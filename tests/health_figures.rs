//! Detection times and false ejections of the balancer in virtual time, with fixed seeds.
//!
//! The bounds are those of `docs/design.md`. `examples/health_table` prints the whole table.

#[path = "../examples/health_table/model.rs"]
mod model;

use std::time::Duration;

use model::{Fault, K, Model, Plan, Policy, RunResults, S, Size};

/// Time within which a target that fails at 50 requests/s must be ejected.
const DETECTION_MAX: Duration = Duration::from_secs(2);

fn run(size: Size, fault: Fault, seed: u64, policy: Policy) -> RunResults {
    let plan = Plan {
        size,
        policy,
        fault,
        rate: 50.0,
        quiet: Duration::from_secs(20),
        faulty: Duration::from_secs(8),
        seed,
    };
    Model::new(plan).run()
}

/// Checks that a bad target is ejected in time and that no other is.
fn assert_detected(fault: Fault) {
    for size in [K, S] {
        for seed in [61, 62, 63] {
            let results = run(size, fault, seed, Policy::Balancer);
            let case = format!("{} {fault:?} seed {seed}", size.name);
            let time = results.detection;
            assert!(time.is_some_and(|t| t <= DETECTION_MAX), "{case}: {time:?}");
            assert_eq!(results.false_ejections, 0, "{case}");
        }
    }
}

/// Guards against slow detection of a target whose process has ended.
#[test]
fn stop() {
    assert_detected(Fault::Stop);
}

/// Guards against slow detection of a target whose service times are three times as long.
#[test]
fn threefold_slow() {
    assert_detected(Fault::Slow(3.0));
}

/// Guards against slow detection of a target whose service times are 10 or 100 times as long.
#[test]
fn very_slow() {
    for factor in [10.0, 100.0] {
        assert_detected(Fault::Slow(factor));
    }
}

/// Guards against slow detection of a target that fails a fifth or all of its requests.
#[test]
fn errors() {
    for share in [0.2, 1.0] {
        assert_detected(Fault::Errors(share));
    }
}

/// Guards against slow detection of a target that fails one request in twenty.
#[test]
fn few_errors() {
    assert_detected(Fault::Errors(0.05));
}

/// Guards against slow detection of a target that accepts requests and never responds.
#[test]
fn hang() {
    assert_detected(Fault::Hang);
}

/// Guards against slow detection of a target that alternates between failing and working.
#[test]
fn flap() {
    assert_detected(Fault::Flap(Duration::from_secs(5)));
}

/// Guards against slow detection of a target whose node receives messages but can't send any.
#[test]
fn one_way() {
    assert_detected(Fault::OneWay);
}

fn quiet_hour(size: Size, seed: u64) {
    let plan = Plan {
        size,
        policy: Policy::Balancer,
        fault: Fault::None,
        rate: 5.0,
        quiet: Duration::from_secs(3_600),
        faulty: Duration::ZERO,
        seed,
    };
    let results = Model::new(plan).run();
    assert_eq!(results.false_ejections, 0, "{}", size.name);
}

/// Guards against the ejection of healthy targets during an hour without faults in deployment K.
#[test]
fn quiet_hour_k() {
    quiet_hour(K, 71);
}

/// Guards against the ejection of healthy targets, with a seed with which it has occurred.
#[test]
fn quiet_hour_k_second() {
    quiet_hour(K, 173);
}

/// Guards against the ejection of healthy targets during an hour without faults in deployment S.
#[test]
fn quiet_hour_s() {
    quiet_hour(S, 71);
}

/// Guards against a balancer that loses more requests than simpler policies under the same load.
#[test]
fn beats_baselines() {
    for fault in [Fault::Errors(0.2), Fault::Hang, Fault::OneWay] {
        let lost = |policy| run(K, fault, 81, policy).lost;
        let ours = lost(Policy::Balancer);
        for policy in [Policy::RoundRobin, Policy::Consecutive] {
            let baseline = lost(policy);
            assert!(
                ours < baseline,
                "{fault:?}: {ours} against {baseline} of {policy:?}"
            );
        }
    }
}
