//! A circuit breaker that rejects requests to a target that fails.
//!
//! A target with a gray failure returns its errors fast and looks idle, so it attracts requests,
//! and its failures come in bursts that last seconds. All requests to a target pass through one
//! egress, which sees each failure and can reject the next request before it is lost. A rejected
//! request did not run and may go to another target.
//!
//! Sound targets fail some requests too. The breaker sums the evidence of each result, the logarithm
//! of how much more probable it is at a failing target than at a sound one, and opens at
//! [`OPEN_EVIDENCE`]: after two failures in a row, or after more with successes between them.
//!
//! An open breaker becomes half-open after some time and allows one request as a probe. The breaker
//! closes when the probe succeeds and opens again when it fails.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::time::Time;

/// Time from the opening until the breaker is half-open.
const FIRST_OPEN_TIME: Duration = Duration::from_millis(500);

/// Time from a failed probe until the breaker is half-open.
///
/// Together with [`IDEMPOTENT_ONLY_TIME`] and the wait for a request it stays below 2 s, beyond
/// which a recovered target would be missed.
const NEXT_OPEN_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a half-open breaker accepts only idempotent requests as probes.
const IDEMPOTENT_ONLY_TIME: Duration = Duration::from_millis(800);

/// Time after which a probe without a failure counts as a success, since errors arrive sooner than
/// successful responses.
const PROBE_TIME: Duration = Duration::from_millis(100);

/// Consecutive failures after which forced requests are sent one at a time.
///
/// A target that fails half of its requests reaches this number once in 32 times, so a service
/// whose targets all fail that often still serves the other half.
const FAILURES_MAX: u32 = 5;

/// Evidence of a failure: a failing target fails half of its requests, a sound one 5 %.
const FAILURE_EVIDENCE: f64 = 2.3;

/// Evidence of a success, with the same shares.
const SUCCESS_EVIDENCE: f64 = -0.64;

/// Evidence at which the breaker opens, that of two failures in a row.
const OPEN_EVIDENCE: f64 = 2.0 * FAILURE_EVIDENCE;

/// Evidence when the breaker closes; one probe is weak evidence, so the next failure opens it again.
const CLOSED_EVIDENCE: f64 = OPEN_EVIDENCE - FAILURE_EVIDENCE;

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerDecision {
    /// The request goes to the target.
    Allow,
    /// The request is rejected; the target may accept requests again after this time.
    Reject(Duration),
}

/// The circuit breaker of one target.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    /// When the breaker opened; `None` while it is closed.
    opened: Option<Time>,
    /// Time from `opened` until the breaker is half-open.
    open_time: Duration,
    probe: Option<(AttemptId, Time)>,
    /// Consecutive failures.
    failures: u32,
    /// Sum of the evidence while closed, never negative.
    evidence: f64,
}

impl CircuitBreaker {
    /// Decides on a request that is about to be dispatched.
    ///
    /// An idempotent request may run twice; a forced one has no other target.
    pub fn admit(
        &mut self,
        now: Time,
        attempt: AttemptId,
        idempotent: bool,
        forced: bool,
    ) -> BreakerDecision {
        let Some(opened) = self.opened else {
            return BreakerDecision::Allow;
        };
        if let Some((_, since)) = self.probe
            && now.since(since) >= PROBE_TIME
        {
            self.close();
            return BreakerDecision::Allow;
        }
        let half_open = opened + self.open_time;
        let is_due = now >= half_open && (idempotent || now >= half_open + IDEMPOTENT_ONLY_TIME);
        let is_probing = self.probe.is_some();
        // On three days of high load in the users' benchmark, targets that had just failed served
        // 77 to 86 in 100 forced requests. After several consecutive failures these become probes
        // too, one at a time, or a target that returns its errors at once would fail all of them.
        let is_failing = self.failures >= FAILURES_MAX;
        let may_force = !is_failing || !is_probing && now >= opened + FIRST_OPEN_TIME;
        if is_due && !is_probing || forced && may_force {
            self.probe = Some((attempt, now));
            return BreakerDecision::Allow;
        }
        BreakerDecision::Reject(half_open.since(now).max(PROBE_TIME))
    }

    /// Records that the target responded to an attempt.
    pub fn record_success(&mut self, attempt: AttemptId) {
        self.failures = 0;
        self.evidence = (self.evidence + SUCCESS_EVIDENCE).max(0.0);
        if self.probe.is_some_and(|(probe, _)| probe == attempt) {
            self.close();
        }
    }

    /// Records that an attempt, dispatched at `started`, failed at the target.
    ///
    /// Returns true if that opens a closed breaker.
    pub fn record_failure(&mut self, now: Time, attempt: AttemptId, started: Time) -> bool {
        let opened = self.opened;
        if opened.is_none_or(|opened| started >= opened) {
            self.failures += 1;
        }
        match opened {
            None => {
                self.evidence += FAILURE_EVIDENCE;
                if self.evidence < OPEN_EVIDENCE {
                    return false;
                }
                self.opened = Some(now);
                self.open_time = FIRST_OPEN_TIME;
                self.probe = None;
                true
            }
            // An attempt that was dispatched before the breaker opened shows nothing new.
            Some(opened) if started < opened => false,
            Some(_) => {
                if self.probe.is_none_or(|(probe, _)| probe == attempt) {
                    self.opened = Some(now);
                    self.open_time = NEXT_OPEN_TIME;
                    self.probe = None;
                }
                false
            }
        }
    }

    /// Records that an attempt ended without showing whether the target works.
    pub fn record_cancel(&mut self, attempt: AttemptId) {
        self.probe.take_if(|(probe, _)| *probe == attempt);
    }

    /// Returns true unless the breaker is closed.
    pub fn is_open(&self) -> bool {
        self.opened.is_some()
    }

    fn close(&mut self) {
        self.failures = 0;
        self.evidence = CLOSED_EVIDENCE;
        self.opened = None;
        self.probe = None;
    }
}
