//! The state of one account in use at a node.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::limit::credit::Credit;
use crate::limit::{BATCH_PERIOD, LEASE, TOKEN_WAIT_MAX, Ticket, WaitResult};
use crate::outcome::{Reason, Refusal};
use crate::time::Time;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Number of refreshes of a credit within its validity, so that it lasts almost as long as the
/// lease.
const REFRESHES: u32 = 3;

/// The same for demand of at least [`BUSY_DEMAND`].
const BUSY_REFRESHES: u32 = 8;

/// Requests per second at which a credit is refreshed more often.
const BUSY_DEMAND: f64 = 4.0;

/// Largest random extension of a retry time, as a share of it, so that callers don't all retry at
/// once.
const JITTER: f64 = 0.25;

/// Shortest retry time of a refusal while the shard has no owner.
const RETRY_MIN: Duration = Duration::from_millis(200);

/// Shortest and longest idle time after which an account's tokens are returned to the owner.
const IDLE_MIN: Duration = Duration::from_millis(300);
const IDLE_MAX: Duration = Duration::from_millis(1_500);

/// State of an account in use.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountState {
    pub credit: Option<Credit>,
    /// Credits that the owner no longer has, usable until they expire.
    pub old_credits: Vec<Credit>,
    pub waiting: VecDeque<Waiter>,
    /// Send time of the credit request in flight.
    pub requested_at: Option<Time>,
    pub redirects: u32,
    /// When the credit request in flight is sent again.
    pub resend_at: Option<Time>,
    /// Send time of the last credit request.
    pub last_requested_at: Time,
    /// Requests per second.
    pub demand: f64,
    pub arrivals: u32,
    pub last_arrival: Time,
    pub target_reserve: u64,
    pub report_promptly: bool,
    pub exhausted: Option<Exhausted>,
    /// When a request first timed out because no owner responded.
    pub no_owner_since: Option<Time>,
    /// When the first credit request since the last grant was sent.
    pub silent_since: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub ticket: Ticket,
    pub until: Time,
    /// The latest time until which the request waits for a token that is granted already.
    pub latest: Time,
}

/// The owner has no token for this node before `until`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exhausted {
    pub until: Time,
    pub pace: Duration,
    pub refused: u32,
}

impl AccountState {
    pub fn spend(&mut self, now: Time) -> bool {
        self.old_credits.iter_mut().any(|c| c.spend(now))
            || self.credit.as_mut().is_some_and(|c| c.spend(now))
    }

    pub fn usable(&self, now: Time) -> u64 {
        let credits = self.old_credits.iter().chain(&self.credit);
        credits.map(|c| c.usable(now)).sum()
    }

    /// Returns the tokens held here, including those that may be spent only later.
    pub fn held(&self, now: Time) -> u64 {
        let credits = self.old_credits.iter().chain(&self.credit);
        credits.map(|c| c.held(now)).sum()
    }

    /// Returns the number of waiting requests for which no token is held.
    pub fn uncovered(&self, now: Time) -> u64 {
        (self.waiting.len() as u64).saturating_sub(self.held(now))
    }

    /// Returns true until the owner has a token for this node again, by its last response.
    pub fn is_exhausted(&self, now: Time) -> bool {
        self.exhausted.is_some_and(|e| e.until > now)
    }

    /// Returns a refusal if no token can come in time for a request that waits for `wait` behind
    /// `queued` others.
    pub fn refusal(
        &mut self,
        now: Time,
        queued: u32,
        wait: Duration,
        rng: &mut StdRng,
    ) -> Option<Refusal> {
        if let Some(exhausted) = self.exhausted.as_mut().filter(|e| e.until > now) {
            let token = exhausted.until.since(now) + exhausted.pace * queued;
            if token <= wait {
                return None;
            }
            let retry = token + exhausted.pace * exhausted.refused;
            exhausted.refused = exhausted.refused.saturating_add(1);
            let delay = jitter(retry, exhausted.pace, rng);
            return Some(Refusal::after(Reason::Rate, delay));
        }
        let no_owner_since = self.no_owner_since?;
        let retry = (LEASE.saturating_sub(now.since(no_owner_since))).max(RETRY_MIN);
        Some(Refusal::after(Reason::Starting, jitter(retry, retry, rng)))
    }

    /// Removes the waiting requests for which no token is held and none comes in time, and returns
    /// them with their refusals.
    pub fn take_hopeless(&mut self, now: Time, rng: &mut StdRng) -> Vec<(Waiter, Refusal)> {
        let covered = (self.held(now) as usize).min(self.waiting.len());
        let mut hopeless = Vec::new();
        let mut queued = 0;
        for waiter in self.waiting.split_off(covered) {
            match self.refusal(now, queued, waiter.until.since(now), rng) {
                Some(refusal) => hopeless.push((waiter, refusal)),
                None => {
                    queued += 1;
                    self.waiting.push_back(waiter);
                }
            }
        }
        hopeless
    }

    /// Returns the refusal of a request whose wait has ended without a token.
    pub fn refuse_expired(&mut self, now: Time, rng: &mut StdRng) -> Refusal {
        let silent_for = self.silent_since.map_or(Duration::ZERO, |at| now.since(at));
        let is_silent = self.held(now) == 0 && silent_for >= TOKEN_WAIT_MAX;
        if is_silent {
            self.no_owner_since.get_or_insert(now);
        }
        let other = match is_silent {
            true => Refusal::after(Reason::Starting, RETRY_MIN),
            false => Refusal::after(Reason::Rate, BATCH_PERIOD),
        };
        self.refusal(now, 0, Duration::ZERO, rng).unwrap_or(other)
    }

    /// Removes and returns the waiting requests whose time has passed.
    ///
    /// An owner grants a token before it is minted, so a request for which one is held waits until
    /// it can be spent.
    pub fn take_expired(&mut self, now: Time) -> Vec<Waiter> {
        let held = self.held(now) as usize;
        let ready = self.credit.as_ref().and_then(|c| c.ready_at(now));
        let mut expired = Vec::new();
        let mut index = 0;
        self.waiting.retain_mut(|waiter| {
            let is_covered = index < held;
            index += 1;
            if waiter.until > now {
                return true;
            }
            let ready = ready.filter(|ready| is_covered && *ready <= waiter.latest);
            match ready {
                Some(ready) => waiter.until = ready,
                None => expired.push(*waiter),
            }
            ready.is_some()
        });
        expired
    }

    /// Returns true if the owner requested prompt reports and enough tokens are unreported.
    pub fn must_report(&self) -> bool {
        let unreported = self.credit.as_ref().map_or(0, Credit::unreported);
        self.report_promptly && unreported > 0 && unreported * 4 >= self.target_reserve
    }

    pub fn is_low(&self, now: Time) -> bool {
        self.usable(now) * 2 < self.target_reserve
    }

    pub fn idle_time(&self) -> Duration {
        let seconds = 4.0 / self.demand.max(0.1);
        Duration::from_secs_f64(seconds).clamp(IDLE_MIN, IDLE_MAX)
    }

    pub fn is_idle(&self, now: Time) -> bool {
        self.waiting.is_empty()
            && self.requested_at.is_none()
            && now.since(self.last_arrival) >= self.idle_time()
    }

    /// Returns true if a tick should send a credit request.
    pub fn needs_refresh(&self, now: Time) -> bool {
        let Some(credit) = &self.credit else {
            return self.no_owner_since.is_some();
        };
        let refreshes = match self.demand >= BUSY_DEMAND {
            true => BUSY_REFRESHES,
            false => REFRESHES,
        };
        let period = credit.validity_after(self.last_requested_at) / refreshes;
        let unreported = credit.unreported();
        self.no_owner_since.is_some()
            || self.is_low(now)
            || (self.target_reserve > 0 && unreported > 0 && unreported * 4 >= self.target_reserve)
            || (credit.held(now) > 0 && now.since(self.last_requested_at) >= period)
    }

    pub fn update_demand(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds > 0.0 {
            let weight = 1.0 - (-seconds / DEMAND_WINDOW.as_secs_f64()).exp();
            self.demand += (f64::from(self.arrivals) / seconds - self.demand) * weight;
            self.arrivals = 0;
        }
    }

    /// Admits waiting requests while tokens can be spent, the longest wait first.
    pub fn admit_waiting(&mut self, now: Time, results: &mut Vec<WaitResult>) {
        while !self.waiting.is_empty() && self.spend(now) {
            if let Some(waiter) = self.waiting.pop_front() {
                results.push(WaitResult {
                    ticket: waiter.ticket,
                    result: Ok(()),
                });
            }
        }
    }

    /// Returns the time of the next change that a poll must see.
    pub fn next_event(&self, now: Time) -> Option<Time> {
        let timeout = self.resend_at.filter(|_| self.requested_at.is_some());
        let wait = self.waiting.iter().map(|w| w.until).min();
        let ready = match self.waiting.is_empty() {
            true => None,
            false => self.credit.as_ref().and_then(|c| c.ready_at(now)),
        };
        let exhausted = self.exhausted.map(|e| e.until).filter(|at| *at > now);
        let refill = exhausted.filter(|_| self.uncovered(now) > 0);
        [timeout, wait, ready, refill].into_iter().flatten().min()
    }
}

fn jitter(wait: Duration, pace: Duration, rng: &mut StdRng) -> Duration {
    wait + wait.max(pace).mul_f64(rng.random_range(0.0..JITTER))
}
