//! Local rate limiting with granted tokens, which admits most requests without a message.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ids::{AccountName, NodeId};
use crate::limit::account::{AccountState, Exhausted, Waiter};
use crate::limit::credit::Credit;
use crate::limit::route::Route;
use crate::limit::{
    CreditRequest, CreditResponse, CreditResult, Grant, Placement, Shard, TOKEN_WAIT_MAX,
};
use crate::outcome::Refusal;
use crate::time::Time;

/// Number of redirects at which a credit request is not redirected again and waits for its timeout;
/// by then it was sent to as many nodes.
const REDIRECTS_MAX: u32 = 3;

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
        state.silent_since.get_or_insert(now);
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
        request.relay = route.needs_relay(now);
        request.demand = (demand * 1_000.0) as u64;
        Some(request)
    }

    /// Returns the node to which credit requests for a shard are sent.
    pub fn owner_of(&self, placement: &Placement, shard: Shard) -> Option<NodeId> {
        let route = self.routes.get(&shard).copied().unwrap_or_default();
        route.node(placement, shard)
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
        state.silent_since = None;
        if let Some(route) = self.routes.get_mut(&Shard::of(name)) {
            route.record_grant();
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
        state.admit_waiting(now, &mut self.results);
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
        state.admit_waiting(now, &mut self.results);
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
            let refusal = state.refuse_expired(now, &mut self.rng);
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
        states.filter_map(|state| state.next_event(now)).min()
    }

    /// Updates the demand, schedules reports to owners and returns idle tokens; to be called every
    /// [`BATCH_PERIOD`](crate::limit::BATCH_PERIOD).
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
