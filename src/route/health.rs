//! What the egress measures of a target.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::stats::{Share, band_of, count_from, evidence, median_band};
use crate::fleet::{Health, KindHealth, LATENCY_BANDS, Window};
use crate::ids::AttemptId;
use crate::time::Time;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole answer that is not a server error.
    Success,
    /// A server error, a broken answer, or a connection that was refused or lost.
    Failed,
    /// No answer by the deadline.
    TimedOut,
    /// An answer that ended before it was complete.
    Cut,
    /// The caller gave up; this says nothing unless the attempt was already slow.
    Cancelled,
}

impl AttemptResult {
    /// Returns true if the caller did not get a whole answer because of the target.
    pub fn is_bad(self) -> bool {
        matches!(
            self,
            AttemptResult::Failed | AttemptResult::TimedOut | AttemptResult::Cut
        )
    }
}

/// Length of the short window.
const RECENT: Duration = Duration::from_secs(2);

/// Longest window.
const LONGEST: Duration = Duration::from_secs(60);

/// Requests that make a window long enough.
const ENOUGH: u32 = 100;

/// Bands above the median from which a running request counts as slow: more than twice as long.
const SLOW_BANDS: usize = 3;

/// Length of one generation of counts by kind.
const KIND_GENERATION: Duration = Duration::from_secs(15);

/// Most kinds that are counted apart.
const KINDS_MAX: usize = 256;

/// Evidence in nats from which a kind stands out from the other kinds of the same target.
const KIND_EVIDENCE: f64 = 6.0;

/// Least bad requests of a kind that stands out.
const KIND_BAD: u32 = 3;

/// Share of bad requests that is expected of the other kinds at least.
const KIND_LEAST: f64 = 0.005;

/// Health that did not change is published again after this time.
const REFRESH: Duration = Duration::from_secs(120);

/// Changed health is published no more often than this.
const PUBLISH_GAP: Duration = Duration::from_millis(250);

/// Sums of one window.
#[derive(Clone, Debug, Default)]
struct Tally {
    requests: u32,
    failures: u32,
    timeouts: u32,
    cuts: u32,
    latency: [u32; LATENCY_BANDS],
}

impl Tally {
    fn add(&mut self, ended: &Ended) {
        self.requests += 1;
        match ended.result {
            AttemptResult::Success | AttemptResult::Cancelled => {}
            AttemptResult::Failed => self.failures += 1,
            AttemptResult::TimedOut => self.timeouts += 1,
            AttemptResult::Cut => self.cuts += 1,
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
            cuts: self.cuts,
            latency: self.latency[..used.map_or(0, |at| at + 1)].to_vec(),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    bad: u32,
}

impl Count {
    fn plus(self, other: Count) -> Count {
        Count {
            requests: self.requests + other.requests,
            bad: self.bad + other.bad,
        }
    }

    fn share(self) -> Share {
        Share::new(self.bad, self.requests)
    }
}

/// Counts by kind of request, in two generations so that old ones fade.
#[derive(Clone, Debug, Default)]
struct Kinds {
    since: Time,
    now: BTreeMap<String, Count>,
    before: BTreeMap<String, Count>,
}

impl Kinds {
    fn add(&mut self, now: Time, kind: &str, bad: bool) {
        self.turn(now);
        if !self.now.contains_key(kind) && self.now.len() >= KINDS_MAX {
            return;
        }
        let count = self.now.entry(kind.to_owned()).or_default();
        count.requests += 1;
        count.bad += u32::from(bad);
    }

    fn turn(&mut self, now: Time) {
        let age = now.since(self.since);
        if age >= KIND_GENERATION {
            self.before = std::mem::take(&mut self.now);
            self.since = now;
        }
        if age >= KIND_GENERATION * 2 {
            self.before.clear();
        }
    }

    /// Returns the kind that fails most beyond the other kinds.
    fn worst(&self) -> Option<KindHealth> {
        let mut all = self.before.clone();
        for (kind, count) in &self.now {
            let sum = all.entry(kind.clone()).or_default();
            *sum = sum.plus(*count);
        }
        let total = all.values().fold(Count::default(), |a, b| a.plus(*b));
        let stands_out = |count: &Count| {
            let rest = Share::new(total.bad - count.bad, total.requests - count.requests);
            evidence(count.share(), rest.expected(KIND_LEAST))
        };
        let (kind, count, weight) = all
            .iter()
            .filter(|(_, c)| c.bad >= KIND_BAD)
            .map(|(k, c)| (k, c, stands_out(c)))
            .max_by(|a, b| a.2.total_cmp(&b.2))?;
        (weight >= KIND_EVIDENCE).then(|| KindHealth {
            kind: kind.clone(),
            requests: count.requests,
            bad: count.bad,
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
    /// Returns true if the attempt tells a service time; a failed or cut answer does not.
    fn has_latency(&self) -> bool {
        !matches!(self.result, AttemptResult::Failed | AttemptResult::Cut)
    }
}

/// Most ended attempts that are kept; a target of 2,000 requests/s fills the short window.
const ENDED_MAX: usize = 4_096;

/// Measures the requests to one target at its egress.
#[derive(Clone, Debug)]
pub struct Meter {
    running: Vec<(AttemptId, Time)>,
    /// Attempts that ended, the oldest first.
    ended: VecDeque<Ended>,
    /// Sum of the latency of all kept attempts.
    latency: [u32; LATENCY_BANDS],
    kinds: Kinds,
    published: Option<(Time, Level)>,
}

impl Meter {
    /// Creates a meter without samples.
    pub fn new(now: Time) -> Meter {
        Meter {
            running: Vec::new(),
            ended: VecDeque::new(),
            latency: [0; LATENCY_BANDS],
            kinds: Kinds {
                since: now,
                ..Kinds::default()
            },
            published: None,
        }
    }

    /// Counts an attempt that is handed over to the target.
    pub fn start(&mut self, now: Time, attempt: AttemptId) {
        self.running.push((attempt, now));
    }

    /// Counts the end of an attempt; an attempt that was never started is ignored.
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
        self.kinds.add(now, kind, result.is_bad());
        if ended.has_latency() {
            self.latency[band] += 1;
        }
        self.ended.push_back(ended);
        self.drop_old(now);
    }

    /// Returns what was measured up to `now`.
    pub fn health(&self, now: Time) -> Health {
        Health {
            recent: self
                .stall_window(now)
                .unwrap_or_else(|| self.window(now, RECENT)),
            long: self.window(now, self.long_span(now)),
            worst: self.kinds.worst(),
        }
    }

    /// Returns the health if it has changed enough to be told to the fleet.
    ///
    /// At 7,100 targets the gossip has no room for every change, so only a step in the number of
    /// bad or slow requests counts, and an unchanged health is repeated every two minutes.
    pub fn publish(&mut self, now: Time) -> Option<Health> {
        if let Some((last, _)) = self.published
            && now.since(last) < PUBLISH_GAP
        {
            return None;
        }
        let health = self.health(now);
        let level = Level::of(&health, self.usual_band());
        let due = match &self.published {
            Some((last, old)) => old.differs(&level) || now.since(*last) >= REFRESH,
            None => true,
        };
        if !due {
            return None;
        }
        self.published = Some((now, level));
        Some(health)
    }

    /// Drops attempts that neither window needs any more.
    fn drop_old(&mut self, now: Time) {
        while let Some(first) = self.ended.front() {
            let age = now.since(first.at);
            let is_spare = self.ended.len() > ENOUGH as usize && age > RECENT;
            if !is_spare && age <= LONGEST && self.ended.len() <= ENDED_MAX {
                break;
            }
            if first.has_latency() {
                self.latency[first.band] -= 1;
            }
            self.ended.pop_front();
        }
    }

    /// Returns the span back to which at least [`ENOUGH`] requests ended.
    fn long_span(&self, now: Time) -> Duration {
        let first = self.ended.iter().rev().nth(ENOUGH as usize - 1);
        first.map_or(LONGEST, |e| now.since(e.at).clamp(RECENT, LONGEST))
    }

    /// Returns the window of the last `span`, with the running requests that are already slow.
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

    /// Returns the window since the oldest overdue request started, if most of it is overdue.
    ///
    /// When a target hangs, the answers from before still fill the short window for its length.
    /// What was started since the hang tells at once.
    fn stall_window(&self, now: Time) -> Option<Window> {
        let oldest = self.overdue(now).map(|(since, _)| since).min()?;
        let mut sum = Tally::default();
        for ended in self.ended.iter().filter(|e| e.since >= oldest) {
            sum.add(ended);
        }
        let answered = sum.requests;
        let mut overdue = 0;
        for (_, band) in self.overdue(now) {
            sum.latency[band] += 1;
            overdue += 1;
        }
        let span = now.since(oldest);
        (overdue > answered && span < RECENT).then(|| sum.window(span))
    }

    /// Returns the start and the band of the running requests that are already slow.
    fn overdue(&self, now: Time) -> impl Iterator<Item = (Time, usize)> {
        let slow = self.slow_band();
        let running = self.running.iter();
        running
            .map(move |(_, since)| (*since, band_of(now.since(*since))))
            .filter(move |(_, band)| *band >= slow)
    }

    /// Returns the band of the median over everything that is kept.
    fn usual_band(&self) -> Option<usize> {
        let all = Window {
            latency: self.latency.to_vec(),
            ..Window::default()
        };
        median_band(&all)
    }

    /// Returns the band from which a request counts as slow before it has ended.
    fn slow_band(&self) -> usize {
        let usual = self.usual_band().unwrap_or(band_of(ASSUMED_MEDIAN));
        (usual + SLOW_BANDS).min(LATENCY_BANDS - 1)
    }
}

/// Median that is assumed before any request has ended.
const ASSUMED_MEDIAN: Duration = Duration::from_millis(25);

/// Coarse steps of a health; a change of any of them is worth telling.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Level {
    recent_bad: u32,
    long_bad: u32,
    recent_slow: u32,
    long_slow: u32,
    median: usize,
    /// Steps up to a full sample, so that others compare with more than the first requests.
    sample: u32,
    worst: Option<String>,
}

impl Level {
    fn of(health: &Health, usual: Option<usize>) -> Level {
        let slow = usual.map_or(LATENCY_BANDS, |b| b + SLOW_BANDS);
        let slow_step = |w: &Window| {
            let share = Share::new(count_from(w, slow), w.latency.iter().sum());
            // Steps of an eighth, from a quarter on: less is common at an irregular target.
            ((share.value() * 8.0) as u32).saturating_sub(1)
        };
        Level {
            recent_bad: count_step(health.recent.bad()),
            long_bad: count_step(health.long.bad()),
            recent_slow: slow_step(&health.recent),
            long_slow: slow_step(&health.long),
            median: median_band(&health.long).unwrap_or(0),
            sample: health.long.requests.min(ENOUGH) / SAMPLE_STEP,
            worst: health.worst.as_ref().map(|w| w.kind.clone()),
        }
    }

    /// Returns true if `next` is worth telling after this level.
    ///
    /// A median near the edge of two bands moves between them by chance, so that it must move by
    /// [`MEDIAN_STEP`] bands from what was told.
    fn differs(&self, next: &Level) -> bool {
        let moved = self.median.abs_diff(next.median) >= MEDIAN_STEP;
        let others = Level {
            median: self.median,
            ..next.clone()
        };
        moved || *self != others
    }
}

/// Bands by which a median moves before it is told: a doubling.
const MEDIAN_STEP: usize = 2;

/// Requests that make one step of the sample size.
const SAMPLE_STEP: u32 = 50;

/// Returns the step of a number of bad requests; up to two are common by chance.
fn count_step(bad: u32) -> u32 {
    match bad {
        0..=2 => 0,
        3..=15 => bad,
        _ => 16 + bad.ilog2(),
    }
}
