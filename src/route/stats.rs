//! Statistics that tell a bad target from an unlucky one.
//!
//! Both errors and slowness are counted as shares of requests, because a share needs no assumption
//! about how service times are distributed: one very slow request is one request.

use std::time::Duration;

use crate::fleet::{LATENCY_BANDS, Window};

/// Lower edge of the second latency band in microseconds.
const FIRST_EDGE_MICROS: f64 = 250.0;

/// Bands for each doubling of the service time.
const BANDS_PER_OCTAVE: f64 = 2.0;

/// Returns the latency band of a service time.
pub(super) fn band_of(service: Duration) -> usize {
    let octaves = (service.as_micros() as f64 / FIRST_EDGE_MICROS)
        .max(1.0)
        .log2();
    ((octaves * BANDS_PER_OCTAVE) as usize).min(LATENCY_BANDS - 1)
}

/// Returns the service time in the middle of a band.
pub(super) fn middle_of(band: usize) -> Duration {
    let octaves = (band as f64 + 0.5) / BANDS_PER_OCTAVE;
    Duration::from_micros((FIRST_EDGE_MICROS * octaves.exp2()) as u64)
}

/// Returns the band of the median, if the window holds any request.
pub(super) fn median_band(window: &Window) -> Option<usize> {
    let total: u32 = window.latency.iter().sum();
    let mut seen = 0;
    window.latency.iter().position(|n| {
        seen += n;
        total > 0 && seen * 2 >= total
    })
}

/// Returns how many requests lie in `band` or above.
pub(super) fn count_from(window: &Window, band: usize) -> u32 {
    window.latency.iter().skip(band).sum()
}

/// A number of hits among a number of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Share {
    pub hits: f64,
    pub total: f64,
}

impl Share {
    pub fn new(hits: u32, total: u32) -> Share {
        Share {
            hits: hits.into(),
            total: total.into(),
        }
    }

    /// Returns the share, zero if there are no requests.
    pub fn value(self) -> f64 {
        if self.total > 0.0 {
            self.hits / self.total
        } else {
            0.0
        }
    }

    /// Returns the share that is assumed for targets like these, never below `least`.
    pub fn expected(self, least: f64) -> f64 {
        ((self.hits + 0.5) / (self.total + 1.0)).clamp(least, 0.999)
    }

    fn plus(self, other: Share) -> Share {
        Share {
            hits: self.hits + other.hits,
            total: self.total + other.total,
        }
    }
}

/// Returns the log likelihood ratio in nats of the observed share against the expected one.
///
/// It grows with the number of requests, so that a small sample never decides.
pub(super) fn evidence(observed: Share, expected: f64) -> f64 {
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

/// Returns by how much the odds of `observed` exceed those of `expected`.
pub(super) fn odds_ratio(observed: f64, expected: f64) -> f64 {
    let odds = |p: f64| p / (1.0 - p).max(1e-9);
    odds(observed) / odds(expected).max(1e-9)
}

/// Which of the other targets a target is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Middle {
    /// The middle half, which leaves out a minority of bad targets and still holds many requests.
    Half,
    /// The median, which tells whether most of the others are bad.
    Median,
}

impl Middle {
    /// Returns how many of `others` are left out at each end.
    fn cut(self, others: usize) -> usize {
        match self {
            Middle::Half => others / 4,
            Middle::Median => others.saturating_sub(1) / 2,
        }
    }
}

/// Returns for each share the pooled middle of the others.
pub(super) fn pool_of_others(shares: &[Share], middle: Middle) -> Vec<Share> {
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by(|a, b| shares[*a].value().total_cmp(&shares[*b].value()));
    let mut sums = vec![Share::default()];
    for at in &order {
        let last = sums[sums.len() - 1];
        sums.push(last.plus(shares[*at]));
    }
    let mut pools = vec![Share::default(); shares.len()];
    for (rank, at) in order.iter().enumerate() {
        pools[*at] = middle_without(&sums, rank, shares[*at], middle);
    }
    pools
}

/// Returns the middle of a sorted list without the entry at `rank`.
fn middle_without(sums: &[Share], rank: usize, own: Share, middle: Middle) -> Share {
    let others = sums.len() - 2;
    let cut = middle.cut(others);
    let (mut from, mut to) = (cut, others - cut);
    let inside = (from..to).contains(&rank);
    if rank < from {
        from += 1;
    }
    if rank < to {
        to += 1;
    }
    let (low, high) = (sums[from], sums[to]);
    let skip = if inside { own } else { Share::default() };
    Share {
        hits: high.hits - low.hits - skip.hits,
        total: high.total - low.total - skip.total,
    }
}
