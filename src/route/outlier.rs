//! Comparison of the targets of one service with each other.

use std::time::Duration;

use super::stats::{
    Middle, Share, count_from, evidence, median_band, middle_of, odds_ratio, pool_of_others,
};
use crate::fleet::{Health, Window};

/// Evidence in nats against a target that was ejected a short time ago.
const EVIDENCE_AGAIN: f64 = 5.0;

/// Least number of requests of the other targets for a comparison.
const POOL_MIN: f64 = 50.0;

/// Least number of bad requests; one or two happen to healthy targets.
const BAD_MIN: f64 = 3.0;

/// What a target is accused of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It fails more often than the others.
    Errors,
    /// It is slower than the others.
    Slow,
    /// This ingress gets no answers from it.
    Path,
}

/// The result of the comparison for one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Finding {
    /// What stands against the target, if it is bad.
    pub cause: Option<Cause>,
    /// How bad it is: the share of requests that it spoils.
    pub severity: f64,
}

/// How a hit is counted and how much it takes to stand out.
struct Test {
    cause: Cause,
    /// Share that is expected of a healthy target at least.
    least: f64,
    /// Smallest share that is worth an ejection.
    effect: f64,
    /// Smallest ratio of odds against the other targets.
    odds: f64,
    /// Evidence in nats that makes a target bad.
    ///
    /// In an hour one ingress makes some 100,000 comparisons that overlap; e⁻¹¹ keeps chance out.
    evidence: f64,
    /// Weight of a hit in the severity; a slow answer spoils less than none.
    weight: f64,
}

const ERRORS: Test = Test {
    cause: Cause::Errors,
    least: 0.002,
    effect: 0.02,
    odds: 3.0,
    evidence: 11.0,
    weight: 1.0,
};

/// More than twice the usual service time.
const SLOW: Test = Test {
    cause: Cause::Slow,
    least: 0.02,
    effect: 0.3,
    odds: 4.5,
    evidence: 14.0,
    weight: 0.5,
};

/// More than eight times the usual service time.
const VERY_SLOW: Test = Test {
    cause: Cause::Slow,
    least: 0.005,
    effect: 0.05,
    odds: 4.5,
    // Three of seven requests in the far tail happened by chance within an hour at 11.
    evidence: 14.0,
    weight: 0.9,
};

/// Bands above the median for [`SLOW`] and [`VERY_SLOW`].
const SLOW_BANDS: usize = 3;
const VERY_SLOW_BANDS: usize = 7;

/// The evidence about one target that may be used.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exhibit<'a> {
    pub health: &'a Health,
    /// False if the long window holds results from before the last ejection.
    pub use_long: bool,
    /// False if the short window does.
    pub use_recent: bool,
    /// True if the target was ejected a short time ago.
    pub suspect: bool,
    /// True if this is what the target was ejected for; it is acquitted if most others do the same.
    pub is_charge: bool,
}

/// Compares the targets of a service; the findings are in the order of `exhibits`.
pub(super) fn judge(exhibits: &[Exhibit<'_>]) -> Vec<Finding> {
    let mut findings = vec![Finding::default(); exhibits.len()];
    if exhibits.len() < 2 {
        return findings;
    }
    compare(exhibits, &ERRORS, error_share, &mut findings);
    if let Some(usual) = usual_band(exhibits.iter().map(|e| e.health)) {
        let slow = |w: &Window| slow_share(w, usual + SLOW_BANDS);
        compare(exhibits, &SLOW, slow, &mut findings);
        let very_slow = |w: &Window| slow_share(w, usual + VERY_SLOW_BANDS);
        compare(exhibits, &VERY_SLOW, very_slow, &mut findings);
    }
    findings
}

/// Returns the usual service time of a service.
pub(super) fn usual_service<'a>(healths: impl Iterator<Item = &'a Health>) -> Option<Duration> {
    usual_band(healths).map(middle_of)
}

/// Returns the median over the targets of their median bands.
fn usual_band<'a>(healths: impl Iterator<Item = &'a Health>) -> Option<usize> {
    let mut medians: Vec<usize> = healths.filter_map(|h| median_band(&h.long)).collect();
    medians.sort_unstable();
    medians.get(medians.len().checked_sub(1)? / 2).copied()
}

fn error_share(window: &Window) -> Share {
    Share::new(window.bad(), window.requests)
}

fn slow_share(window: &Window, band: usize) -> Share {
    Share::new(count_from(window, band), window.latency.iter().sum())
}

/// Runs one test for each target against the pool of the others.
fn compare(
    exhibits: &[Exhibit<'_>],
    test: &Test,
    share: impl Fn(&Window) -> Share,
    findings: &mut [Finding],
) {
    let long: Vec<Share> = exhibits.iter().map(|e| share(&e.health.long)).collect();
    let halves = pool_of_others(&long, Middle::Half);
    let medians = pool_of_others(&long, Middle::Median);
    for (at, exhibit) in exhibits.iter().enumerate() {
        let pool = if exhibit.is_charge {
            medians[at]
        } else {
            halves[at]
        };
        if pool.total < POOL_MIN {
            continue;
        }
        let expected = pool.expected(test.least);
        let need = if exhibit.suspect {
            EVIDENCE_AGAIN
        } else {
            test.evidence
        };
        let windows = [
            exhibit.use_recent.then(|| share(&exhibit.health.recent)),
            exhibit.use_long.then_some(long[at]),
        ];
        for observed in windows.into_iter().flatten() {
            if stands_out(test, observed, expected, need) {
                accuse(&mut findings[at], test, observed);
            }
        }
    }
}

fn stands_out(test: &Test, observed: Share, expected: f64, need: f64) -> bool {
    let value = observed.value();
    observed.hits >= BAD_MIN
        && value >= test.effect
        && odds_ratio(value, expected) >= test.odds
        && evidence(observed, expected) >= need
}

fn accuse(finding: &mut Finding, test: &Test, observed: Share) {
    let severity = observed.value() * test.weight;
    if finding.cause.is_none() || severity > finding.severity {
        finding.cause = Some(test.cause);
        finding.severity = severity;
    }
}
