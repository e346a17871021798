//! The health of a target, as its egress measures it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::stats::{Proportion, band_of, count_from, log_likelihood_ratio, median_band};
use crate::fleet::{Health, KindHealth, LATENCY_BANDS, Window};
use crate::ids::AttemptId;
use crate::time::Time;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete response without a server error.
    Success,
    /// A server error, a malformed response, or a connection that was refused or lost.
    Failed,
    /// No response by the deadline.
    TimedOut,
    /// A response that ended before it was complete.
    Cut,
    /// The caller gave up, which counts only if the attempt was already slow.
    Cancelled,
}

impl AttemptResult {
    /// Returns true if the target failed, timed out or truncated its response.
    pub fn is_error(self) -> bool {
        matches!(
            self,
            AttemptResult::Failed | AttemptResult::TimedOut | AttemptResult::Cut
        )
    }
}

/// Length of the short window.
const RECENT_SPAN: Duration = Duration::from_secs(2);

/// Maximum length of the long window.
const LONG_SPAN_MAX: Duration = Duration::from_secs(60);

/// Requests that suffice for the long window.
const LONG_REQUESTS_MIN: u32 = 100;

/// Bands above the median from which a request counts as slow: more than twice as long.
const SLOW_BANDS: usize = 3;

/// Length of one generation of the counts by kind.
const KIND_GENERATION: Duration = Duration::from_secs(15);

/// Maximum number of kinds with counts of their own.
const KINDS_MAX: usize = 256;

/// Minimum log-likelihood ratio in nats of a kind that fails beyond the other kinds of its target.
const KIND_LLR_MIN: f64 = 6.0;

/// Minimum number of errors of such a kind.
const KIND_ERRORS_MIN: u32 = 3;

/// Minimum error rate to expect of the other kinds.
const KIND_EXPECTED_MIN: f64 = 0.005;

/// Time after which unchanged health is published again.
const REPUBLISH_AFTER: Duration = Duration::from_secs(120);

/// Minimum time between two publications.
const PUBLISH_INTERVAL_MIN: Duration = Duration::from_millis(250);

/// The sums of one window.
#[derive(Clone, Debug, Default)]
struct Tally {
    requests: u32,
    failures: u32,
    timeouts: u32,
    truncated: u32,
    latency: [u32; LATENCY_BANDS],
}

impl Tally {
    fn add(&mut self, ended: &Ended) {
        self.requests += 1;
        match ended.result {
            AttemptResult::Success | AttemptResult::Cancelled => {}
            AttemptResult::Failed => self.failures += 1,
            AttemptResult::TimedOut => self.timeouts += 1,
            AttemptResult::Cut => self.truncated += 1,
        }
        if ended.has_latency() {
            self.latency[ended.band] += 1;
        }
    }

    fn window(&self, span: Duration) -> Window {
        let used = self.latency.iter().rposition(|n| *n > 0);
        Window {
            span_ms: span.as_millis() as u32,
            requests: self.requests,
            failures: self.failures,
            timeouts: self.timeouts,
            truncated: self.truncated,
            latency: self.latency[..used.map_or(0, |at| at + 1)].to_vec(),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    errors: u32,
}

impl Count {
    fn plus(self, other: Count) -> Count {
        Count {
            requests: self.requests + other.requests,
            errors: self.errors + other.errors,
        }
    }

    fn proportion(self) -> Proportion {
        Proportion::new(self.errors, self.requests)
    }
}

/// Counts by kind of request, in two generations so that old counts expire.
#[derive(Clone, Debug, Default)]
struct KindCounts {
    since: Time,
    current: BTreeMap<String, Count>,
    previous: BTreeMap<String, Count>,
}

impl KindCounts {
    fn add(&mut self, now: Time, kind: &str, is_error: bool) {
        self.rotate(now);
        if !self.current.contains_key(kind) && self.current.len() >= KINDS_MAX {
            return;
        }
        let count = self.current.entry(kind.to_owned()).or_default();
        count.requests += 1;
        count.errors += u32::from(is_error);
    }

    fn rotate(&mut self, now: Time) {
        let age = now.since(self.since);
        if age >= KIND_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        if age >= KIND_GENERATION * 2 {
            self.previous.clear();
        }
    }

    /// Returns the kind that fails most significantly beyond the other kinds.
    fn worst(&self) -> Option<KindHealth> {
        let mut all = self.previous.clone();
        for (kind, count) in &self.current {
            let sum = all.entry(kind.clone()).or_default();
            *sum = sum.plus(*count);
        }
        let total = all.values().fold(Count::default(), |a, b| a.plus(*b));
        let llr_of = |count: &Count| {
            let rest =
                Proportion::new(total.errors - count.errors, total.requests - count.requests);
            log_likelihood_ratio(count.proportion(), rest.expected(KIND_EXPECTED_MIN))
        };
        let (kind, count, llr) = all
            .iter()
            .filter(|(_, c)| c.errors >= KIND_ERRORS_MIN)
            .map(|(k, c)| (k, c, llr_of(c)))
            .max_by(|a, b| a.2.total_cmp(&b.2))?;
        (llr >= KIND_LLR_MIN).then(|| KindHealth {
            kind: kind.clone(),
            requests: count.requests,
            errors: count.errors,
        })
    }
}

/// An attempt that ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    since: Time,
    at: Time,
    band: usize,
    result: AttemptResult,
}

impl Ended {
    /// Returns true if the attempt shows a service time, which a failure or truncation does not.
    fn has_latency(&self) -> bool {
        !matches!(self.result, AttemptResult::Failed | AttemptResult::Cut)
    }
}

/// Maximum number of ended attempts to keep; a target with 2,000 requests/s fills the short window.
const ENDED_MAX: usize = 4_096;

/// Measures the requests to one target at its egress.
#[derive(Clone, Debug)]
pub struct Meter {
    running: Vec<(AttemptId, Time)>,
    /// Attempts that ended, the oldest first.
    ended: VecDeque<Ended>,
    /// Latency histogram of all attempts in `ended`.
    latency: [u32; LATENCY_BANDS],
    kinds: KindCounts,
    published: Option<(Time, Summary)>,
}

impl Meter {
    /// Creates a meter without measurements.
    pub fn new(now: Time) -> Meter {
        Meter {
            running: Vec::new(),
            ended: VecDeque::new(),
            latency: [0; LATENCY_BANDS],
            kinds: KindCounts {
                since: now,
                ..KindCounts::default()
            },
            published: None,
        }
    }

    /// Records that an attempt is dispatched to the target.
    pub fn start(&mut self, now: Time, attempt: AttemptId) {
        self.running.push((attempt, now));
    }

    /// Records the end of an attempt; one that was not started is ignored.
    pub fn end(&mut self, now: Time, attempt: AttemptId, kind: &str, result: AttemptResult) {
        let Some(at) = self.running.iter().position(|(a, _)| *a == attempt) else {
            return;
        };
        let (_, since) = self.running.swap_remove(at);
        let band = band_of(now.since(since));
        if result == AttemptResult::Cancelled && band < self.slow_band() {
            return;
        }
        let ended = Ended {
            since,
            at: now,
            band,
            result,
        };
        self.kinds.add(now, kind, result.is_error());
        if ended.has_latency() {
            self.latency[band] += 1;
        }
        self.ended.push_back(ended);
        self.drop_old(now);
    }

    /// Returns the health measured up to `now`.
    pub fn health(&self, now: Time) -> Health {
        Health {
            recent: self
                .stall_window(now)
                .unwrap_or_else(|| self.window(now, RECENT_SPAN)),
            long: self.window(now, self.long_span(now)),
            worst: self.kinds.worst(),
        }
    }

    /// Returns the health if it has changed enough to be sent to the fleet.
    ///
    /// With 7,100 targets the gossip has no capacity for every change, so only a step in the number
    /// of errors or slow requests counts, and unchanged health is sent again every two minutes.
    pub fn publish(&mut self, now: Time) -> Option<Health> {
        if let Some((last, _)) = self.published
            && now.since(last) < PUBLISH_INTERVAL_MIN
        {
            return None;
        }
        let health = self.health(now);
        let summary = Summary::of(&health, self.typical_band());
        let due = match &self.published {
            Some((last, old)) => old.differs(&summary) || now.since(*last) >= REPUBLISH_AFTER,
            None => true,
        };
        if !due {
            return None;
        }
        self.published = Some((now, summary));
        Some(health)
    }

    /// Drops the attempts that neither window needs any more.
    fn drop_old(&mut self, now: Time) {
        while let Some(first) = self.ended.front() {
            let age = now.since(first.at);
            let is_spare = self.ended.len() > LONG_REQUESTS_MIN as usize && age > RECENT_SPAN;
            if !is_spare && age <= LONG_SPAN_MAX && self.ended.len() <= ENDED_MAX {
                break;
            }
            if first.has_latency() {
                self.latency[first.band] -= 1;
            }
            self.ended.pop_front();
        }
    }

    /// Returns the shortest span in which [`LONG_REQUESTS_MIN`] requests ended, within the limits.
    fn long_span(&self, now: Time) -> Duration {
        let first = self.ended.iter().rev().nth(LONG_REQUESTS_MIN as usize - 1);
        first.map_or(LONG_SPAN_MAX, |e| {
            now.since(e.at).clamp(RECENT_SPAN, LONG_SPAN_MAX)
        })
    }

    /// Returns the window of the last `span`, including running requests that are already slow.
    fn window(&self, now: Time, span: Duration) -> Window {
        let mut sum = Tally::default();
        let within = |e: &&Ended| e.at + span >= now;
        for ended in self.ended.iter().rev().take_while(within) {
            sum.add(ended);
        }
        for (_, band) in self.overdue(now) {
            sum.latency[band] += 1;
        }
        sum.window(span)
    }

    /// Returns the window since the oldest overdue request started, if most requests in it are
    /// overdue.
    ///
    /// When a target hangs, earlier responses still dominate the short window for its whole length,
    /// while the requests that started since show the hang at once.
    fn stall_window(&self, now: Time) -> Option<Window> {
        let oldest = self.overdue(now).map(|(since, _)| since).min()?;
        let mut sum = Tally::default();
        for ended in self.ended.iter().filter(|e| e.since >= oldest) {
            sum.add(ended);
        }
        let completed = sum.requests;
        let mut overdue = 0;
        for (_, band) in self.overdue(now) {
            sum.latency[band] += 1;
            overdue += 1;
        }
        let span = now.since(oldest);
        (overdue > completed && span < RECENT_SPAN).then(|| sum.window(span))
    }

    /// Returns the start and the band of each running request that is already slow.
    fn overdue(&self, now: Time) -> impl Iterator<Item = (Time, usize)> {
        let slow = self.slow_band();
        let running = self.running.iter();
        running
            .map(move |(_, since)| (*since, band_of(now.since(*since))))
            .filter(move |(_, band)| *band >= slow)
    }

    /// Returns the band of the median over all attempts in `ended`.
    fn typical_band(&self) -> Option<usize> {
        let all = Window {
            latency: self.latency.to_vec(),
            ..Window::default()
        };
        median_band(&all)
    }

    /// Returns the band from which a running request counts as slow.
    fn slow_band(&self) -> usize {
        let typical = self.typical_band().unwrap_or(band_of(ASSUMED_MEDIAN));
        (typical + SLOW_BANDS).min(LATENCY_BANDS - 1)
    }
}

/// Median service time assumed before any request has ended.
const ASSUMED_MEDIAN: Duration = Duration::from_millis(25);

/// Health in coarse steps; it is published when one of them changes.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Summary {
    recent_errors: u32,
    long_errors: u32,
    recent_slow: u32,
    long_slow: u32,
    median: usize,
    /// Sample size in steps; health is published again as it grows, so that other nodes don't compare
    /// targets by their first requests only.
    sample: u32,
    worst: Option<String>,
}

impl Summary {
    fn of(health: &Health, typical: Option<usize>) -> Summary {
        let slow = typical.map_or(LATENCY_BANDS, |b| b + SLOW_BANDS);
        let slow_step = |w: &Window| {
            let proportion = Proportion::new(count_from(w, slow), w.latency.iter().sum());
            // Steps of an eighth from a quarter on, as targets with irregular service times often
            // have less.
            ((proportion.value() * 8.0) as u32).saturating_sub(1)
        };
        Summary {
            recent_errors: count_step(health.recent.errors()),
            long_errors: count_step(health.long.errors()),
            recent_slow: slow_step(&health.recent),
            long_slow: slow_step(&health.long),
            median: median_band(&health.long).unwrap_or(0),
            sample: health.long.requests.min(LONG_REQUESTS_MIN) / SAMPLE_STEP,
            worst: health.worst.as_ref().map(|w| w.kind.clone()),
        }
    }

    /// Returns true if `next` must be published after this summary.
    ///
    /// A median near the edge of two bands moves between them by chance, so it must move by
    /// [`MEDIAN_STEP`] bands from the published one.
    fn differs(&self, next: &Summary) -> bool {
        let moved = self.median.abs_diff(next.median) >= MEDIAN_STEP;
        let others = Summary {
            median: self.median,
            ..next.clone()
        };
        moved || *self != others
    }
}

/// Bands by which the median must move to be published: a doubling.
const MEDIAN_STEP: usize = 2;

/// Requests in one step of the sample size.
const SAMPLE_STEP: u32 = 50;

/// Returns the step of a number of errors; up to two occur by chance.
fn count_step(errors: u32) -> u32 {
    match errors {
        0..=2 => 0,
        3..=15 => errors,
        _ => 16 + errors.ilog2(),
    }
}
