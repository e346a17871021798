//! Local rate limiting with granted tokens, which admits most requests without a message.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ids::{AccountName, NodeId};
use crate::limit::credit::Credit;
use crate::limit::{
    BATCH_PERIOD, CreditRequest, CreditResponse, CreditResult, Grant, LEASE, Placement,
    REQUEST_TIMEOUT, Shard, TOKEN_WAIT_MAX,
};
use crate::outcome::{Reason, Refusal};
use crate::time::Time;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Shortest and longest idle time after which an account's tokens are returned to the owner.
const IDLE_MIN: Duration = Duration::from_millis(300);
const IDLE_MAX: Duration = Duration::from_millis(1_500);

/// Number of refreshes of a credit within its validity, so that it lasts almost as long as the
/// lease.
const REFRESHES: u32 = 3;

/// The same for demand of at least [`BUSY_DEMAND`].
const BUSY_REFRESHES: u32 = 8;

/// Requests per second at which a credit is refreshed more often.
const BUSY_DEMAND: f64 = 4.0;

/// Number of redirects at which a credit request is not redirected again and waits for its timeout;
/// by then it was sent to as many nodes.
const REDIRECTS_MAX: u32 = 3;

/// Number of times that the timeout of a credit request doubles while a lost owner is replaced, so
/// that it is at most 50 ms with [`REQUEST_TIMEOUT`].
const DOUBLINGS: u32 = 1;

/// Number of timeouts in a row, some 1 s, after which the timeout doubles further.
const TIMEOUTS_MANY: u32 = 20;

/// The same for a longer absence of an owner; the timeout is at most 800 ms then.
const DOUBLINGS_MAX: u32 = 5;

/// Number of timeouts in a row after which both candidates count as out of reach, so that another
/// node relays the requests.
const TIMEOUTS_OF_CANDIDATES: u32 = 4;

/// Largest random extension of a retry time, as a share of it, so that callers don't all retry at
/// once.
const JITTER: f64 = 0.25;

/// Shortest retry time of a refusal while the shard has no owner.
const RETRY_MIN: Duration = Duration::from_millis(200);

/// Identifies a request that waits for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitResult {
    /// A token was spent.
    Granted,
    /// The request waits; a [`WaitResult`] with this ticket follows, usually within the wait that the
    /// request allows and at most [`TOKEN_WAIT_MAX`] later.
    Waiting(Ticket),
    /// The request is refused.
    Refused(Refusal),
}

/// The end of a request's wait for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitResult {
    /// The request.
    pub ticket: Ticket,
    /// `Ok` if a token was spent.
    pub result: Result<(), Refusal>,
}

/// The rate limiter of one node, with the tokens of the accounts in use on it.
#[derive(Debug)]
pub struct LocalLimiter {
    accounts: BTreeMap<AccountName, AccountState>,
    /// Accounts with a credit request to send.
    due: BTreeSet<AccountName>,
    /// Accounts with waiting requests or a credit request in flight.
    pending: BTreeSet<AccountName>,
    routes: BTreeMap<Shard, Route>,
    results: Vec<WaitResult>,
    last_credit: u64,
    last_ticket: u64,
    rng: StdRng,
    last_tick: Time,
}

/// Where credit requests for a shard are sent.
#[derive(Clone, Copy, Debug, Default)]
struct Route {
    /// The owner according to another node.
    hint: Option<NodeId>,
    /// The node to try; the next one is tried after a timeout.
    candidate: Candidate,
    /// Number of timeouts of relays, which selects the next relay.
    relay_turn: u32,
    /// Credit requests without a response since the last grant.
    timeouts: u32,
    last_timeout: Time,
}

/// The node to which a credit request is sent while no other node has named the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Candidate {
    /// The probable owner.
    #[default]
    First,
    /// The node that would own the shard in its place, which may know the owner.
    Second,
    /// Any other node, as the paths to both may be cut.
    Relay,
}

impl Route {
    /// Returns the number of timeouts in a row, or zero if the last one is long past.
    fn timeouts(&self, now: Time) -> u32 {
        match now.since(self.last_timeout) < LEASE {
            true => self.timeouts,
            false => 0,
        }
    }

    /// Returns the time after which a credit request is sent again.
    fn request_timeout(&self, now: Time) -> Duration {
        let timeouts = self.timeouts(now);
        let doublings = match timeouts < TIMEOUTS_MANY {
            true => timeouts.min(DOUBLINGS),
            false => (DOUBLINGS + 1 + timeouts - TIMEOUTS_MANY).min(DOUBLINGS_MAX),
        };
        REQUEST_TIMEOUT * 2u32.pow(doublings)
    }

    /// Returns to the probable owner some time after the last timeout.
    fn expire_detour(&mut self, now: Time) {
        if now.since(self.last_timeout) >= LEASE {
            self.candidate = Candidate::First;
        }
    }

    /// Records a credit request without a response and selects the next node to try.
    fn record_timeout(&mut self, now: Time) {
        self.timeouts = self.timeouts(now).saturating_add(1);
        self.last_timeout = now;
        self.candidate = match (self.hint.take(), self.candidate) {
            (Some(_), Candidate::Relay) => Candidate::Relay,
            (Some(_), _) => Candidate::First,
            (None, Candidate::First) => Candidate::Second,
            (None, Candidate::Second) if self.timeouts >= TIMEOUTS_OF_CANDIDATES => {
                Candidate::Relay
            }
            (None, Candidate::Second | Candidate::Relay) => Candidate::First,
        };
        if self.candidate == Candidate::Relay {
            self.relay_turn = self.relay_turn.wrapping_add(1);
        }
    }
}

/// State of an account in use.
#[derive(Clone, Debug, Default)]
struct AccountState {
    credit: Option<Credit>,
    /// Credits that the owner no longer has, usable until they expire.
    old_credits: Vec<Credit>,
    waiting: VecDeque<Waiter>,
    /// Send time of the credit request in flight.
    requested_at: Option<Time>,
    redirects: u32,
    /// When the credit request in flight is sent again.
    resend_at: Option<Time>,
    /// Send time of the last credit request.
    last_requested_at: Time,
    /// Requests per second.
    demand: f64,
    arrivals: u32,
    last_arrival: Time,
    target_reserve: u64,
    report_promptly: bool,
    exhausted: Option<Exhausted>,
    /// When a request first timed out because no owner responded.
    no_owner_since: Option<Time>,
    /// The last response of an owner.
    granted_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    since: Time,
    until: Time,
    /// The latest time until which the request waits for a token that is granted already.
    latest: Time,
}

/// The owner has no token for this node before `until`.
#[derive(Clone, Copy, Debug)]
struct Exhausted {
    until: Time,
    pace: Duration,
    refused: u32,
}

impl AccountState {
    fn spend(&mut self, now: Time) -> bool {
        self.old_credits.iter_mut().any(|c| c.spend(now))
            || self.credit.as_mut().is_some_and(|c| c.spend(now))
    }

    fn usable(&self, now: Time) -> u64 {
        let credits = self.old_credits.iter().chain(&self.credit);
        credits.map(|c| c.usable(now)).sum()
    }

    /// Returns the tokens held here, including those that may be spent only later.
    fn held(&self, now: Time) -> u64 {
        let credits = self.old_credits.iter().chain(&self.credit);
        credits.map(|c| c.held(now)).sum()
    }

    /// Returns the number of waiting requests for which no token is held.
    fn uncovered(&self, now: Time) -> u64 {
        (self.waiting.len() as u64).saturating_sub(self.held(now))
    }

    /// Returns true until the owner has a token for this node again, by its last response.
    fn is_exhausted(&self, now: Time) -> bool {
        self.exhausted.is_some_and(|e| e.until > now)
    }

    /// Returns a refusal if no token can come in time for a request that waits for `wait` behind
    /// `queued` others.
    fn refusal(
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
    fn take_hopeless(&mut self, now: Time, rng: &mut StdRng) -> Vec<(Waiter, Refusal)> {
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
    fn refuse_expired(&mut self, now: Time, waiter: Waiter, rng: &mut StdRng) -> Refusal {
        let is_answered = self.held(now) > 0 || self.granted_at >= waiter.since;
        if !is_answered {
            self.no_owner_since.get_or_insert(now);
        }
        let other = match is_answered {
            true => Refusal::after(Reason::Rate, BATCH_PERIOD),
            false => Refusal::after(Reason::Starting, RETRY_MIN),
        };
        self.refusal(now, 0, Duration::ZERO, rng).unwrap_or(other)
    }

    /// Removes and returns the waiting requests whose time has passed.
    ///
    /// An owner grants a token before it is minted, so a request for which one is held waits until
    /// it can be spent.
    fn take_expired(&mut self, now: Time) -> Vec<Waiter> {
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
    fn must_report(&self) -> bool {
        let unreported = self.credit.as_ref().map_or(0, Credit::unreported);
        self.report_promptly && unreported > 0 && unreported * 4 >= self.target_reserve
    }

    fn is_low(&self, now: Time) -> bool {
        self.usable(now) * 2 < self.target_reserve
    }

    fn idle_time(&self) -> Duration {
        let seconds = 4.0 / self.demand.max(0.1);
        Duration::from_secs_f64(seconds).clamp(IDLE_MIN, IDLE_MAX)
    }

    fn is_idle(&self, now: Time) -> bool {
        self.waiting.is_empty()
            && self.requested_at.is_none()
            && now.since(self.last_arrival) >= self.idle_time()
    }

    /// Returns true if a tick should send a credit request.
    fn needs_refresh(&self, now: Time) -> bool {
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

    fn update_demand(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds > 0.0 {
            let weight = 1.0 - (-seconds / DEMAND_WINDOW.as_secs_f64()).exp();
            self.demand += (f64::from(self.arrivals) / seconds - self.demand) * weight;
            self.arrivals = 0;
        }
    }
}

impl LocalLimiter {
    /// Creates a limiter without tokens; `seed` feeds the jitter of retry times.
    ///
    /// Credits are numbered from a random start, so that a response to an earlier process on the
    /// same address matches none of them.
    pub fn new(seed: u64) -> LocalLimiter {
        let mut rng = StdRng::seed_from_u64(seed);
        LocalLimiter {
            accounts: BTreeMap::new(),
            due: BTreeSet::new(),
            pending: BTreeSet::new(),
            routes: BTreeMap::new(),
            results: Vec::new(),
            last_credit: rng.random_range(0..u64::MAX / 2),
            last_ticket: 0,
            rng,
            last_tick: Time::ZERO,
        }
    }

    /// Admits, delays or refuses a request of `account` that may wait for a token for `wait`.
    ///
    /// A request is refused at once if its token is known to come later. `now` must be read after the
    /// limiter's lock is taken.
    pub fn admit(&mut self, now: Time, account: &AccountName, wait: Duration) -> AdmitResult {
        let state = match self.accounts.get_mut(account) {
            Some(state) => state,
            None => self.accounts.entry(account.clone()).or_default(),
        };
        state.arrivals += 1;
        state.last_arrival = now;
        if state.waiting.is_empty() && state.spend(now) {
            if state.requested_at.is_none() && (state.is_low(now) || state.must_report()) {
                self.due.insert(account.clone());
            }
            return AdmitResult::Granted;
        }
        let queued = state.uncovered(now) as u32;
        if let Some(refusal) = state.refusal(now, queued, wait, &mut self.rng) {
            return AdmitResult::Refused(refusal);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let until = now + wait;
        state.waiting.push_back(Waiter {
            ticket,
            since: now,
            until,
            latest: until + TOKEN_WAIT_MAX,
        });
        self.pending.insert(account.clone());
        if state.requested_at.is_none() && !state.is_exhausted(now) {
            self.due.insert(account.clone());
        }
        AdmitResult::Waiting(ticket)
    }

    /// Returns true if credit requests are due before the next tick.
    pub fn has_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Returns the credit requests that are due, to be sent at once to the owner of each account's
    /// shard.
    pub fn take_due(&mut self, now: Time) -> Vec<CreditRequest> {
        let due = std::mem::take(&mut self.due);
        due.iter()
            .filter_map(|name| self.build_request(now, name))
            .collect()
    }

    fn build_request(&mut self, now: Time, name: &AccountName) -> Option<CreditRequest> {
        let state = self.accounts.get_mut(name)?;
        if state.requested_at.is_some() {
            return None;
        }
        let route = self.routes.get_mut(&Shard::of(name)).map(|route| {
            route.expire_detour(now);
            *route
        });
        let route = route.unwrap_or_default();
        state.requested_at = Some(now);
        state.resend_at = Some(now + route.request_timeout(now));
        state.last_requested_at = now;
        self.pending.insert(name.clone());
        let missing = state.uncovered(now);
        let demand = state.demand;
        let target_reserve = state.target_reserve;
        let last_credit = &mut self.last_credit;
        let credit = state.credit.get_or_insert_with(|| {
            *last_credit += 1;
            Credit::new(*last_credit)
        });
        if missing == 0 && state.waiting.is_empty() {
            credit.return_above(now, target_reserve + target_reserve / 4);
        }
        let mut request = credit.request(now, name);
        request.waiting = missing as u32;
        request.relay = route.timeouts(now) > 0 || route.candidate != Candidate::First;
        request.demand = (demand * 1_000.0) as u64;
        Some(request)
    }

    /// Returns the node to which credit requests for a shard are sent.
    pub fn owner_of(&self, placement: &Placement, shard: Shard) -> Option<NodeId> {
        let route = self.routes.get(&shard).copied().unwrap_or_default();
        let [first, second] = placement.probable_owners(shard);
        let candidate = match route.candidate {
            Candidate::First => first,
            Candidate::Second => second,
            Candidate::Relay => placement.relay(shard, route.relay_turn),
        };
        route
            .hint
            .filter(|node| placement.is_live(*node))
            .or(candidate)
            .or(first)
    }

    /// Applies an owner's response.
    pub fn receive(&mut self, now: Time, response: &CreditResponse) {
        let Some(state) = self.accounts.get_mut(&response.account) else {
            return;
        };
        let current = state
            .credit
            .as_ref()
            .is_some_and(|c| c.number() == response.credit);
        if !current {
            return;
        }
        let is_latest = state.requested_at == Some(response.sent);
        match &response.result {
            CreditResult::Grant(grant) => {
                if is_latest {
                    state.requested_at = None;
                    state.redirects = 0;
                }
                self.apply_grant(now, &response.account, response.sent, grant, is_latest);
            }
            CreditResult::NotOwner(hint) if is_latest => {
                self.redirect(&response.account, *hint);
            }
            CreditResult::NotOwner(_) => {}
        }
    }

    fn redirect(&mut self, name: &AccountName, hint: Option<NodeId>) {
        let shard = Shard::of(name);
        let Some(state) = self.accounts.get_mut(name) else {
            return;
        };
        state.redirects += 1;
        match hint {
            Some(node) if state.redirects < REDIRECTS_MAX => {
                self.routes.entry(shard).or_default().hint = Some(node);
                state.requested_at = None;
                self.due.insert(name.clone());
            }
            _ => self.routes.entry(shard).or_default().hint = None,
        }
    }

    fn apply_grant(
        &mut self,
        now: Time,
        name: &AccountName,
        sent: Time,
        grant: &Grant,
        is_latest: bool,
    ) {
        let Some(state) = self.accounts.get_mut(name) else {
            return;
        };
        state.no_owner_since = None;
        state.granted_at = now;
        if let Some(route) = self.routes.get_mut(&Shard::of(name)) {
            route.timeouts = 0;
        }
        let Some(credit) = &mut state.credit else {
            return;
        };
        if !credit.apply(now, sent, grant) {
            state
                .old_credits
                .extend(state.credit.take().filter(|c| c.held(now) > 0));
            self.due.insert(name.clone());
            return;
        }
        state.target_reserve = grant.target_reserve;
        state.report_promptly = grant.report_promptly;
        admit_waiting(state, now, &mut self.results);
        match grant.retry {
            Some(retry) if is_latest => {
                state.exhausted = Some(Exhausted {
                    until: now + retry,
                    pace: grant.pace,
                    refused: 0,
                });
                self.refuse_hopeless(now, name);
            }
            _ => state.exhausted = None,
        }
        self.follow_up(now, name);
    }

    /// Refuses the waiting requests for which no token can come in time.
    fn refuse_hopeless(&mut self, now: Time, name: &AccountName) {
        let Some(state) = self.accounts.get_mut(name) else {
            return;
        };
        let hopeless = state.take_hopeless(now, &mut self.rng);
        self.results
            .extend(hopeless.into_iter().map(|(waiter, refusal)| WaitResult {
                ticket: waiter.ticket,
                result: Err(refusal),
            }));
    }

    /// Schedules another credit request if requests wait without a token, and removes the account
    /// from the pending ones if it has neither waiting requests nor a request in flight.
    fn follow_up(&mut self, now: Time, name: &AccountName) {
        let Some(state) = self.accounts.get(name) else {
            return;
        };
        let needs_token = state.uncovered(now) > 0 && !state.is_exhausted(now);
        if state.requested_at.is_none() && (needs_token || state.must_report()) {
            self.due.insert(name.clone());
        }
        if state.requested_at.is_none() && state.waiting.is_empty() {
            self.pending.remove(name);
        }
    }

    /// Admits waiting requests with tokens that have become usable, resends credit requests that
    /// timed out, and refuses requests that have waited too long.
    pub fn poll(&mut self, now: Time) {
        let pending: Vec<AccountName> = self.pending.iter().cloned().collect();
        for name in &pending {
            self.poll_account(now, name);
        }
    }

    fn poll_account(&mut self, now: Time, name: &AccountName) {
        let Some(state) = self.accounts.get_mut(name) else {
            self.pending.remove(name);
            return;
        };
        admit_waiting(state, now, &mut self.results);
        let is_late = state.resend_at.is_some_and(|at| at <= now);
        if state.requested_at.is_some() && is_late {
            state.requested_at = None;
            state.redirects = 0;
            self.routes
                .entry(Shard::of(name))
                .or_default()
                .record_timeout(now);
            self.due.insert(name.clone());
        }
        for waiter in state.take_expired(now) {
            let refusal = state.refuse_expired(now, waiter, &mut self.rng);
            self.results.push(WaitResult {
                ticket: waiter.ticket,
                result: Err(refusal),
            });
        }
        self.follow_up(now, name);
    }

    /// Returns the results of the waits that have ended since the last call.
    pub fn take_results(&mut self) -> Vec<WaitResult> {
        std::mem::take(&mut self.results)
    }

    /// Returns the time at which [`LocalLimiter::poll`] must be called next.
    pub fn next_poll(&self, now: Time) -> Option<Time> {
        let states = self
            .pending
            .iter()
            .filter_map(|name| self.accounts.get(name));
        states.filter_map(|state| next_event(state, now)).min()
    }

    /// Updates the demand, schedules reports to owners and returns idle tokens; to be called every
    /// [`BATCH_PERIOD`].
    ///
    /// The returned requests close the credits of accounts that are no longer in use. All other
    /// requests are due afterwards.
    pub fn tick(&mut self, now: Time) -> Vec<CreditRequest> {
        let elapsed = now.since(self.last_tick);
        self.last_tick = now;
        let mut closed = Vec::new();
        let due = &mut self.due;
        let pending = &self.pending;
        self.accounts.retain(|name, state| {
            state.update_demand(elapsed);
            state.old_credits.retain(|c| c.held(now) > 0);
            if state.credit.as_ref().is_some_and(|c| c.is_expired(now)) {
                state.credit = None;
            }
            if state.is_idle(now) && !pending.contains(name) {
                closed.extend(state.credit.take().map(|c| c.close(now, name)));
                due.remove(name);
                return false;
            }
            if state.requested_at.is_none() && state.needs_refresh(now) {
                due.insert(name.clone());
            }
            true
        });
        closed
    }

    /// Returns for how long no owner has responded to the requests of an account.
    pub fn no_owner_for(&self, now: Time, account: &AccountName) -> Duration {
        let state = self.accounts.get(account);
        let since = state.and_then(|state| state.no_owner_since);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the number of accounts in use.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}

/// Admits waiting requests while tokens can be spent, the longest wait first.
fn admit_waiting(state: &mut AccountState, now: Time, results: &mut Vec<WaitResult>) {
    while !state.waiting.is_empty() && state.spend(now) {
        if let Some(waiter) = state.waiting.pop_front() {
            results.push(WaitResult {
                ticket: waiter.ticket,
                result: Ok(()),
            });
        }
    }
}

fn jitter(wait: Duration, pace: Duration, rng: &mut StdRng) -> Duration {
    wait + wait.max(pace).mul_f64(rng.random_range(0.0..JITTER))
}

fn next_event(state: &AccountState, now: Time) -> Option<Time> {
    let timeout = state.resend_at.filter(|_| state.requested_at.is_some());
    let wait = state.waiting.iter().map(|w| w.until).min();
    let ready = match state.waiting.is_empty() {
        true => None,
        false => state.credit.as_ref().and_then(|c| c.ready_at(now)),
    };
    let exhausted = state.exhausted.map(|e| e.until).filter(|at| *at > now);
    let refill = exhausted.filter(|_| state.uncovered(now) > 0);
    [timeout, wait, ready, refill].into_iter().flatten().min()
}
