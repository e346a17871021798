//! Statistics of outlier detection.
//!
//! Errors and slow requests are both counted as proportions, because a proportion needs no
//! assumption about the distribution of service times: one very slow request counts as one.

use std::time::Duration;

use crate::fleet::{LATENCY_BANDS, Window};

/// Lower edge of the second latency band in microseconds.
const FIRST_EDGE_MICROS: f64 = 250.0;

/// Bands for each doubling of the service time.
const BANDS_PER_OCTAVE: f64 = 2.0;

/// Returns the latency band of a service time.
pub(super) fn band_of(service_time: Duration) -> usize {
    let octaves = (service_time.as_micros() as f64 / FIRST_EDGE_MICROS)
        .max(1.0)
        .log2();
    ((octaves * BANDS_PER_OCTAVE) as usize).min(LATENCY_BANDS - 1)
}

/// Returns the service time at the geometric middle of a band.
pub(super) fn band_midpoint(band: usize) -> Duration {
    let octaves = (band as f64 + 0.5) / BANDS_PER_OCTAVE;
    Duration::from_micros((FIRST_EDGE_MICROS * octaves.exp2()) as u64)
}

/// Returns the band of the median service time, if the window holds any.
pub(super) fn median_band(window: &Window) -> Option<usize> {
    let total: u32 = window.latency.iter().sum();
    let mut seen = 0;
    window.latency.iter().position(|n| {
        seen += n;
        total > 0 && seen * 2 >= total
    })
}

/// Returns how many requests fall into `band` or a higher one.
pub(super) fn count_from(window: &Window, band: usize) -> u32 {
    window.latency.iter().skip(band).sum()
}

/// A proportion of requests: hits out of a total.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Proportion {
    pub hits: f64,
    pub total: f64,
}

impl Proportion {
    pub fn new(hits: u32, total: u32) -> Proportion {
        Proportion {
            hits: hits.into(),
            total: total.into(),
        }
    }

    /// Returns the proportion, or zero without requests.
    pub fn value(self) -> f64 {
        if self.total > 0.0 {
            self.hits / self.total
        } else {
            0.0
        }
    }

    /// Returns the smoothed proportion to expect of a comparable target, at least `min`.
    pub fn expected(self, min: f64) -> f64 {
        ((self.hits + 0.5) / (self.total + 1.0)).clamp(min, 0.999)
    }

    fn plus(self, other: Proportion) -> Proportion {
        Proportion {
            hits: self.hits + other.hits,
            total: self.total + other.total,
        }
    }
}

/// Returns the log-likelihood ratio in nats of the observed proportion against the expected one.
///
/// It grows with the number of requests, so that a small sample is never significant.
pub(super) fn log_likelihood_ratio(observed: Proportion, expected: f64) -> f64 {
    let p = observed.value();
    if p <= expected {
        return 0.0;
    }
    let misses = observed.total - observed.hits;
    let from_hits = observed.hits * (p / expected).ln();
    let from_misses = if misses > 0.0 {
        misses * ((1.0 - p) / (1.0 - expected)).ln()
    } else {
        0.0
    };
    from_hits + from_misses
}

/// Returns the odds of `observed` divided by those of `expected`.
pub(super) fn odds_ratio(observed: f64, expected: f64) -> f64 {
    let odds = |p: f64| p / (1.0 - p).max(1e-9);
    odds(observed) / odds(expected).max(1e-9)
}

/// The part of the other targets that a target is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PoolRange {
    /// The middle half, which excludes a minority of bad targets and still holds many requests.
    Interquartile,
    /// The median, which shows whether most of the others are bad.
    Median,
}

impl PoolRange {
    /// Returns how many of `others` are trimmed at each end.
    fn trim(self, others: usize) -> usize {
        match self {
            PoolRange::Interquartile => others / 4,
            PoolRange::Median => others.saturating_sub(1) / 2,
        }
    }
}

/// Returns for each proportion the pool of the others within `range`.
pub(super) fn pool_others(proportions: &[Proportion], range: PoolRange) -> Vec<Proportion> {
    let mut order: Vec<usize> = (0..proportions.len()).collect();
    order.sort_by(|a, b| proportions[*a].value().total_cmp(&proportions[*b].value()));
    let mut sums = vec![Proportion::default()];
    for at in &order {
        let last = sums[sums.len() - 1];
        sums.push(last.plus(proportions[*at]));
    }
    let mut pools = vec![Proportion::default(); proportions.len()];
    for (rank, at) in order.iter().enumerate() {
        pools[*at] = pool_without(&sums, rank, proportions[*at], range);
    }
    pools
}

/// Returns the pool over the prefix sums of a sorted list, without the entry at `rank`.
fn pool_without(sums: &[Proportion], rank: usize, own: Proportion, range: PoolRange) -> Proportion {
    let others = sums.len() - 2;
    let trim = range.trim(others);
    let (mut from, mut to) = (trim, others - trim);
    let inside = (from..to).contains(&rank);
    if rank < from {
        from += 1;
    }
    if rank < to {
        to += 1;
    }
    let (low, high) = (sums[from], sums[to]);
    let skip = if inside { own } else { Proportion::default() };
    Proportion {
        hits: high.hits - low.hits - skip.hits,
        total: high.total - low.total - skip.total,
    }
}
