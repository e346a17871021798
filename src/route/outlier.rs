//! Outlier detection among the targets of one service.

use std::time::Duration;

use super::stats::{
    PoolRange, Proportion, band_midpoint, count_from, log_likelihood_ratio, median_band,
    odds_ratio, pool_others,
};
use crate::fleet::{Health, Window};

/// Minimum log-likelihood ratio in nats for a target that was ejected a short time ago.
const LLR_RECENTLY_EJECTED: f64 = 5.0;

/// Minimum number of pooled requests of the other targets.
const POOL_MIN: f64 = 50.0;

/// Minimum number of hits (errors or slow requests) of an outlier, since healthy targets have one
/// or two.
const HITS_MIN: f64 = 3.0;

/// Why a target is an outlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It fails more often than the others.
    Errors,
    /// It is slower than the others.
    Slow,
    /// No responses from it reach this ingress.
    Path,
}

/// How one target deviates from the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Deviation {
    /// Why the target is an outlier, if it is one.
    pub cause: Option<Cause>,
    /// Weighted proportion of its requests that are affected.
    pub severity: f64,
}

/// The thresholds of one test for outliers.
struct Test {
    cause: Cause,
    /// Minimum proportion to expect of a healthy target.
    min_expected: f64,
    /// Minimum proportion of an outlier.
    min_effect: f64,
    /// Minimum odds ratio of an outlier to the other targets.
    min_odds: f64,
    /// Minimum log-likelihood ratio of an outlier in nats.
    ///
    /// One ingress makes some 100,000 overlapping comparisons an hour; a chance of e⁻¹¹ for each
    /// makes false ejections rare.
    min_llr: f64,
    /// Weight of a hit in the severity; a slow response does less harm than none.
    weight: f64,
}

const ERRORS: Test = Test {
    cause: Cause::Errors,
    min_expected: 0.002,
    min_effect: 0.02,
    min_odds: 3.0,
    min_llr: 11.0,
    weight: 1.0,
};

/// More than twice the typical service time.
const SLOW: Test = Test {
    cause: Cause::Slow,
    min_expected: 0.02,
    min_effect: 0.3,
    min_odds: 4.5,
    min_llr: 14.0,
    weight: 0.5,
};

/// More than eight times the typical service time.
const VERY_SLOW: Test = Test {
    cause: Cause::Slow,
    min_expected: 0.005,
    min_effect: 0.05,
    min_odds: 4.5,
    // With 11, three of seven requests in the far tail occurred by chance within an hour.
    min_llr: 14.0,
    weight: 0.9,
};

/// Bands above the median for [`SLOW`] and [`VERY_SLOW`].
const SLOW_BANDS: usize = 3;
const VERY_SLOW_BANDS: usize = 7;

/// The health of one target, as far as outlier detection may use it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation<'a> {
    pub health: &'a Health,
    /// False if the long window is too old or holds results from before the last ejection.
    pub use_long: bool,
    /// False if the short window is too old or holds results from before the last ejection.
    pub use_recent: bool,
    /// True if the target was ejected a short time ago.
    pub recently_ejected: bool,
    /// True if this is the health that the target was ejected for.
    ///
    /// The ejection is revoked if most of the others have become as bad.
    pub is_trigger: bool,
}

/// Compares the targets of a service; the result is in the order of `observations`.
pub(super) fn detect_outliers(observations: &[Observation<'_>]) -> Vec<Deviation> {
    let mut deviations = vec![Deviation::default(); observations.len()];
    if observations.len() < 2 {
        return deviations;
    }
    compare(observations, &ERRORS, error_rate, &mut deviations);
    if let Some(typical) = typical_band(observations.iter().map(|o| o.health)) {
        let slow = |w: &Window| slow_rate(w, typical + SLOW_BANDS);
        compare(observations, &SLOW, slow, &mut deviations);
        let very_slow = |w: &Window| slow_rate(w, typical + VERY_SLOW_BANDS);
        compare(observations, &VERY_SLOW, very_slow, &mut deviations);
    }
    deviations
}

/// Returns the typical service time of the targets.
pub(super) fn typical_service_time<'a>(
    healths: impl Iterator<Item = &'a Health>,
) -> Option<Duration> {
    typical_band(healths).map(band_midpoint)
}

/// Returns the median over the targets of their median bands.
fn typical_band<'a>(healths: impl Iterator<Item = &'a Health>) -> Option<usize> {
    let mut medians: Vec<usize> = healths.filter_map(|h| median_band(&h.long)).collect();
    medians.sort_unstable();
    medians.get(medians.len().checked_sub(1)? / 2).copied()
}

fn error_rate(window: &Window) -> Proportion {
    Proportion::new(window.errors(), window.requests)
}

fn slow_rate(window: &Window, band: usize) -> Proportion {
    Proportion::new(count_from(window, band), window.latency.iter().sum())
}

/// Tests each target against the pool of the others.
fn compare(
    observations: &[Observation<'_>],
    test: &Test,
    proportion: impl Fn(&Window) -> Proportion,
    deviations: &mut [Deviation],
) {
    let long: Vec<Proportion> = observations
        .iter()
        .map(|o| proportion(&o.health.long))
        .collect();
    let interquartile = pool_others(&long, PoolRange::Interquartile);
    let medians = pool_others(&long, PoolRange::Median);
    for (at, observation) in observations.iter().enumerate() {
        let pool = if observation.is_trigger {
            medians[at]
        } else {
            interquartile[at]
        };
        if pool.total < POOL_MIN {
            continue;
        }
        let expected = pool.expected(test.min_expected);
        let min_llr = if observation.recently_ejected {
            LLR_RECENTLY_EJECTED
        } else {
            test.min_llr
        };
        let windows = [
            observation
                .use_recent
                .then(|| proportion(&observation.health.recent)),
            observation.use_long.then_some(long[at]),
        ];
        for observed in windows.into_iter().flatten() {
            if is_significant(test, observed, expected, min_llr) {
                record_outlier(&mut deviations[at], test, observed);
            }
        }
    }
}

fn is_significant(test: &Test, observed: Proportion, expected: f64, min_llr: f64) -> bool {
    let value = observed.value();
    observed.hits >= HITS_MIN
        && value >= test.min_effect
        && odds_ratio(value, expected) >= test.min_odds
        && log_likelihood_ratio(observed, expected) >= min_llr
}

fn record_outlier(deviation: &mut Deviation, test: &Test, observed: Proportion) {
    let severity = observed.value() * test.weight;
    if deviation.cause.is_none() || severity > deviation.severity {
        deviation.cause = Some(test.cause);
        deviation.severity = severity;
    }
}
