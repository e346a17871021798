//! Keeps requests from a target that has just failed, until it is known to work again.
//!
//! A target with a gray failure answers its errors fast and looks idle, so that it attracts requests,
//! and its failures come in spells of seconds. The egress is the only way to a target and sees each
//! of its failures, so it can hold back the next request before it is lost. A request that is held
//! back did not run and may go to another target.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::time::Time;

/// Time without requests after the first failure.
const HOLD_FIRST: Duration = Duration::from_millis(500);

/// Time without requests after a failed probe; with [`PROBE_WAIT`] and the time for a request to come
/// it stays below the 2 s after which a target that worked again would be missed.
const HOLD_NEXT: Duration = Duration::from_millis(1_000);

/// Time after the hold in which only requests that may run twice serve as probes.
const PROBE_WAIT: Duration = Duration::from_millis(800);

/// Time after which a probe that has not failed counts as passed; errors come faster than answers.
const PROBE_TIME: Duration = Duration::from_millis(100);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// It goes to the target.
    Pass,
    /// It is held back; the target may take requests again after this time.
    Held(Duration),
}

/// The recent failures of one target.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    /// Since when requests are held back; none while the target works.
    tripped: Option<Time>,
    hold: Duration,
    probe: Option<(AttemptId, Time)>,
}

impl Breaker {
    /// Decides on a request that is about to be handed over.
    ///
    /// `repeatable` says that it may run twice, and `forced` that there is no other target.
    pub fn admit(
        &mut self,
        now: Time,
        attempt: AttemptId,
        repeatable: bool,
        forced: bool,
    ) -> Passage {
        let Some(tripped) = self.tripped else {
            return Passage::Pass;
        };
        if let Some((_, since)) = self.probe
            && now.since(since) >= PROBE_TIME
        {
            self.close();
            return Passage::Pass;
        }
        let open = tripped + self.hold;
        let is_due = now >= open && (repeatable || now >= open + PROBE_WAIT);
        if forced || is_due && self.probe.is_none() {
            self.probe = Some((attempt, now));
            return Passage::Pass;
        }
        Passage::Held(open.since(now).max(PROBE_TIME))
    }

    /// Takes in that the target answered an attempt.
    pub fn succeed(&mut self, attempt: AttemptId) {
        if self.probe.is_some_and(|(probe, _)| probe == attempt) {
            self.close();
        }
    }

    /// Takes in that an attempt, handed over at `started`, failed at the target.
    ///
    /// Returns true if requests are held back from now on that were not before.
    pub fn fail(&mut self, now: Time, attempt: AttemptId, started: Time) -> bool {
        match self.tripped {
            None => {
                self.tripped = Some(now);
                self.hold = HOLD_FIRST;
                self.probe = None;
                true
            }
            // What began before the failure that is known tells nothing new.
            Some(tripped) if started < tripped => false,
            Some(_) => {
                if self.probe.is_none_or(|(probe, _)| probe == attempt) {
                    self.tripped = Some(now);
                    self.hold = HOLD_NEXT;
                    self.probe = None;
                }
                false
            }
        }
    }

    /// Takes in that an attempt ended without telling anything about the target.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.probe.take_if(|(probe, _)| *probe == attempt);
    }

    /// Returns true while requests are held back.
    pub fn is_tripped(&self) -> bool {
        self.tripped.is_some()
    }

    fn close(&mut self) {
        self.tripped = None;
        self.probe = None;
    }
}
