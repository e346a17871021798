//! Local tokens of a node: most requests are admitted without a message.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::ids::{AccountName, NodeId};
use crate::limit::credit::Credit;
use crate::limit::{
    BATCH_PERIOD, CreditRequest, CreditResponse, CreditResult, Grant, LEASE, Placement,
    REQUEST_TIMEOUT, Shard, WAIT_MAX,
};
use crate::outcome::{Reason, Refusal};
use crate::time::Time;

/// Time constant of the moving average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Shortest and longest quiet time after which an account's tokens go back to the owner.
const IDLE_MIN: Duration = Duration::from_millis(300);
const IDLE_MAX: Duration = Duration::from_millis(1_500);

/// Contacts in the validity of a credit, so that it lasts almost as long as the lease.
const CONTACTS: u32 = 3;

/// The same for demand of at least [`BUSY_DEMAND`].
const BUSY_CONTACTS: u32 = 8;

/// Requests per second at which a credit is refreshed more often.
const BUSY_DEMAND: f64 = 4.0;

/// Nodes that one ask may be sent to in a row before it waits for its timeout.
const HOPS_MAX: u32 = 3;

/// Retry times grow by up to this share at random, so that callers do not return together.
const JITTER: f64 = 0.25;

/// Shortest retry time of a refusal for want of an owner.
const RETRY_MIN: Duration = Duration::from_millis(200);

/// A request that waits for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// The answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitResult {
    /// A token was spent.
    Granted,
    /// The request waits; a [`WaitResult`] with this ticket follows within [`WAIT_MAX`].
    Waiting(Ticket),
    /// The request is refused.
    Refused(Refusal),
}

/// The end of a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitResult {
    /// The request.
    pub ticket: Ticket,
    /// `Ok` if a token was spent.
    pub result: Result<(), Refusal>,
}

/// A node's tokens for the accounts in use on it.
#[derive(Debug)]
pub struct LocalLimiter {
    accounts: BTreeMap<AccountName, AccountState>,
    /// Accounts with an ask to send.
    due: BTreeSet<AccountName>,
    /// Accounts with waiting requests or an ask in flight.
    busy: BTreeSet<AccountName>,
    routes: BTreeMap<Shard, Route>,
    done: Vec<WaitResult>,
    credits: u64,
    tickets: u64,
    rng: StdRng,
    ticked: Time,
}

/// Where asks about a shard go.
#[derive(Clone, Copy, Debug, Default)]
struct Route {
    /// The owner, as another node has told.
    hint: Option<NodeId>,
    /// Which of the two candidates to ask; changes when one does not help.
    turn: usize,
}

/// What the holder knows about an account in use.
#[derive(Clone, Debug, Default)]
struct AccountState {
    credit: Option<Credit>,
    /// Credits of ended leases, valid until they expire.
    old: Vec<Credit>,
    waiting: VecDeque<Waiter>,
    requested_at: Option<Time>,
    hops: u32,
    contact: Time,
    /// Requests per second.
    demand: f64,
    arrivals: u32,
    last_arrival: Time,
    target: u64,
    prompt: bool,
    scarce: Option<Exhausted>,
    /// Start of the time without an owner.
    lost: Option<Time>,
    /// An owner has answered before.
    known: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    until: Time,
}

/// The owner has no token before `until`.
#[derive(Clone, Copy, Debug)]
struct Exhausted {
    until: Time,
    pace: Duration,
    refused: u32,
}

impl AccountState {
    fn spend(&mut self, now: Time) -> bool {
        self.old.iter_mut().any(|c| c.spend(now))
            || self.credit.as_mut().is_some_and(|c| c.spend(now))
    }

    fn usable(&self, now: Time) -> u64 {
        let credits = self.old.iter().chain(&self.credit);
        credits.map(|c| c.usable(now)).sum()
    }

    /// Returns the tokens that exist here, also those that may be spent only later.
    fn held(&self, now: Time) -> u64 {
        let credits = self.old.iter().chain(&self.credit);
        credits.map(|c| c.held(now)).sum()
    }

    /// Returns true if the owner waits for a report of spent tokens.
    fn owes_report(&self) -> bool {
        let unreported = self.credit.as_ref().map_or(0, Credit::unreported);
        self.prompt && unreported > 0 && unreported * 4 >= self.target
    }

    fn is_low(&self, now: Time) -> bool {
        self.usable(now) * 2 < self.target
    }

    fn idle_time(&self) -> Duration {
        let gaps = 4.0 / self.demand.max(0.1);
        Duration::from_secs_f64(gaps).clamp(IDLE_MIN, IDLE_MAX)
    }

    fn is_idle(&self, now: Time) -> bool {
        self.waiting.is_empty()
            && self.requested_at.is_none()
            && now.since(self.last_arrival) >= self.idle_time()
    }

    /// Returns true if the owner should hear of this account at a tick.
    fn needs_contact(&self, now: Time) -> bool {
        let Some(credit) = &self.credit else {
            return self.lost.is_some();
        };
        let contacts = match self.demand >= BUSY_DEMAND {
            true => BUSY_CONTACTS,
            false => CONTACTS,
        };
        let period = credit.valid_from(self.contact) / contacts;
        let unreported = credit.unreported();
        self.lost.is_some()
            || self.is_low(now)
            || (self.target > 0 && unreported > 0 && unreported * 4 >= self.target)
            || (credit.held(now) > 0 && now.since(self.contact) >= period)
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
    /// Creates a holder without tokens; `seed` feeds the jitter of retry times.
    ///
    /// Credits are numbered from a random start, so that an answer to an earlier process on the
    /// same address fits none of them.
    pub fn new(seed: u64) -> LocalLimiter {
        let mut rng = StdRng::seed_from_u64(seed);
        LocalLimiter {
            accounts: BTreeMap::new(),
            due: BTreeSet::new(),
            busy: BTreeSet::new(),
            routes: BTreeMap::new(),
            done: Vec::new(),
            credits: rng.random_range(0..u64::MAX / 2),
            tickets: 0,
            rng,
            ticked: Time::ZERO,
        }
    }

    /// Decides about a request of `account`; `now` is read after the holder's lock is taken.
    pub fn admit(&mut self, now: Time, account: &AccountName) -> AdmitResult {
        let usage = match self.accounts.get_mut(account) {
            Some(usage) => usage,
            None => self.accounts.entry(account.clone()).or_default(),
        };
        usage.arrivals += 1;
        usage.last_arrival = now;
        if usage.waiting.is_empty() && usage.spend(now) {
            if usage.requested_at.is_none() && (usage.is_low(now) || usage.owes_report()) {
                self.due.insert(account.clone());
            }
            return AdmitResult::Granted;
        }
        if let Some(refusal) = refuse_now(usage, now, &mut self.rng) {
            return AdmitResult::Refused(refusal);
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let until = now + WAIT_MAX;
        usage.waiting.push_back(Waiter { ticket, until });
        self.busy.insert(account.clone());
        if usage.requested_at.is_none() {
            self.due.insert(account.clone());
        }
        AdmitResult::Waiting(ticket)
    }

    /// Returns true if asks are due before the next tick.
    pub fn has_due(&self) -> bool {
        !self.due.is_empty()
    }

    /// Returns the asks that are due, to be sent at once to the owner of each account's shard.
    pub fn take_due(&mut self, now: Time) -> Vec<CreditRequest> {
        let due = std::mem::take(&mut self.due);
        due.iter()
            .filter_map(|name| self.build_request(now, name))
            .collect()
    }

    fn build_request(&mut self, now: Time, name: &AccountName) -> Option<CreditRequest> {
        let usage = self.accounts.get_mut(name)?;
        if usage.requested_at.is_some() {
            return None;
        }
        usage.requested_at = Some(now);
        usage.contact = now;
        self.busy.insert(name.clone());
        let wanted = (usage.waiting.len() as u64).saturating_sub(usage.held(now));
        let demand = usage.demand;
        let target = usage.target;
        let credits = &mut self.credits;
        let credit = usage.credit.get_or_insert_with(|| {
            *credits += 1;
            Credit::new(*credits)
        });
        if wanted == 0 && usage.waiting.is_empty() {
            credit.give_back(now, target + target / 4);
        }
        let mut request = credit.request(now, name);
        request.waiting = wanted as u32;
        request.demand = (demand * 1_000.0) as u64;
        Some(request)
    }

    /// Returns the node to ask about a shard.
    pub fn owner_of(&self, placement: &Placement, shard: Shard) -> Option<NodeId> {
        let route = self.routes.get(&shard).copied().unwrap_or_default();
        let owners = placement.probable_owners(shard);
        route
            .hint
            .filter(|node| placement.is_live(*node))
            .or(owners[route.turn])
            .or(owners[0])
    }

    /// Books an owner's answer.
    pub fn receive(&mut self, now: Time, response: &CreditResponse) {
        let Some(usage) = self.accounts.get_mut(&response.account) else {
            return;
        };
        let current = usage
            .credit
            .as_ref()
            .is_some_and(|c| c.number() == response.credit);
        if !current {
            return;
        }
        let answers_ask = usage.requested_at == Some(response.sent);
        match &response.result {
            CreditResult::Grant(grant) => {
                if answers_ask {
                    usage.requested_at = None;
                    usage.hops = 0;
                }
                self.book_grant(now, &response.account, response.sent, grant, answers_ask);
            }
            CreditResult::NotOwner(hint) if answers_ask => {
                self.redirect(&response.account, *hint);
            }
            CreditResult::NotOwner(_) => {}
        }
    }

    fn redirect(&mut self, name: &AccountName, hint: Option<NodeId>) {
        let shard = Shard::of(name);
        let Some(usage) = self.accounts.get_mut(name) else {
            return;
        };
        usage.hops += 1;
        match hint {
            Some(node) if usage.hops < HOPS_MAX => {
                self.routes.entry(shard).or_default().hint = Some(node);
                usage.requested_at = None;
                self.due.insert(name.clone());
            }
            _ => self.routes.entry(shard).or_default().hint = None,
        }
    }

    fn book_grant(
        &mut self,
        now: Time,
        name: &AccountName,
        sent: Time,
        grant: &Grant,
        answers_ask: bool,
    ) {
        let Some(usage) = self.accounts.get_mut(name) else {
            return;
        };
        usage.lost = None;
        usage.known = true;
        let Some(credit) = &mut usage.credit else {
            return;
        };
        if !credit.book(now, sent, grant) {
            usage
                .old
                .extend(usage.credit.take().filter(|c| c.held(now) > 0));
            self.due.insert(name.clone());
            return;
        }
        usage.target = grant.target;
        usage.prompt = grant.prompt;
        deliver(usage, now, &mut self.done);
        match grant.retry {
            Some(retry) if answers_ask => {
                usage.scarce = Some(Exhausted {
                    until: now + retry,
                    pace: grant.pace,
                    refused: 0,
                });
                self.refuse_uncovered(now, name);
            }
            _ => usage.scarce = None,
        }
        self.follow_up(now, name);
    }

    /// Refuses the waiting requests for which no token has been granted.
    fn refuse_uncovered(&mut self, now: Time, name: &AccountName) {
        let Some(usage) = self.accounts.get_mut(name) else {
            return;
        };
        let covered = usage.held(now) as usize;
        while usage.waiting.len() > covered {
            let Some(waiter) = usage.waiting.pop_back() else {
                break;
            };
            let refusal = refuse_now(usage, now, &mut self.rng)
                .unwrap_or_else(|| Refusal::after(Reason::Rate, BATCH_PERIOD));
            self.done.push(WaitResult {
                ticket: waiter.ticket,
                result: Err(refusal),
            });
        }
    }

    /// Asks again if requests wait without a token, and drops the account from the busy ones if not.
    fn follow_up(&mut self, now: Time, name: &AccountName) {
        let Some(usage) = self.accounts.get(name) else {
            return;
        };
        let uncovered = usage.waiting.len() as u64 > usage.held(now);
        if usage.requested_at.is_none() && (uncovered || usage.owes_report()) {
            self.due.insert(name.clone());
        }
        if usage.requested_at.is_none() && usage.waiting.is_empty() {
            self.busy.remove(name);
        }
    }

    /// Delivers tokens that have become usable, sends lost asks again and ends waits.
    pub fn poll(&mut self, now: Time) {
        let busy: Vec<AccountName> = self.busy.iter().cloned().collect();
        for name in &busy {
            self.poll_account(now, name);
        }
    }

    fn poll_account(&mut self, now: Time, name: &AccountName) {
        let Some(usage) = self.accounts.get_mut(name) else {
            self.busy.remove(name);
            return;
        };
        deliver(usage, now, &mut self.done);
        if usage
            .requested_at
            .is_some_and(|sent| now.since(sent) >= REQUEST_TIMEOUT)
        {
            usage.requested_at = None;
            usage.hops = 0;
            let route = self.routes.entry(Shard::of(name)).or_default();
            route.turn = match route.hint.take() {
                Some(_) => 0,
                None => 1 - route.turn,
            };
            self.due.insert(name.clone());
        }
        while usage.waiting.front().is_some_and(|w| w.until <= now) {
            let Some(waiter) = usage.waiting.pop_front() else {
                break;
            };
            usage.lost.get_or_insert(now);
            let refusal = refuse_now(usage, now, &mut self.rng)
                .unwrap_or_else(|| Refusal::after(Reason::Starting, RETRY_MIN));
            self.done.push(WaitResult {
                ticket: waiter.ticket,
                result: Err(refusal),
            });
        }
        self.follow_up(now, name);
    }

    /// Returns the waits that have ended since the last call.
    pub fn take_results(&mut self) -> Vec<WaitResult> {
        std::mem::take(&mut self.done)
    }

    /// Returns when [`LocalLimiter::poll`] has something to do.
    pub fn next_poll(&self, now: Time) -> Option<Time> {
        let usages = self.busy.iter().filter_map(|name| self.accounts.get(name));
        usages.filter_map(|usage| next_event(usage, now)).min()
    }

    /// Updates demand, reports to owners, gives back idle tokens; to be called every
    /// [`BATCH_PERIOD`]. The asks are due afterwards, except those returned.
    ///
    /// The returned asks close credits of accounts that are no longer in use.
    pub fn tick(&mut self, now: Time) -> Vec<CreditRequest> {
        let elapsed = now.since(self.ticked);
        self.ticked = now;
        let mut closed = Vec::new();
        let due = &mut self.due;
        let busy = &self.busy;
        self.accounts.retain(|name, usage| {
            usage.update_demand(elapsed);
            usage.old.retain(|c| c.held(now) > 0);
            if usage.credit.as_ref().is_some_and(|c| c.is_expired(now)) {
                usage.credit = None;
            }
            if usage.is_idle(now) && !busy.contains(name) {
                closed.extend(usage.credit.take().map(|c| c.close(now, name)));
                due.remove(name);
                return false;
            }
            if usage.requested_at.is_none() && usage.needs_contact(now) {
                due.insert(name.clone());
            }
            true
        });
        closed
    }

    /// Returns the number of accounts in use.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}

/// Spends tokens for waiting requests, the longest wait first.
fn deliver(usage: &mut AccountState, now: Time, done: &mut Vec<WaitResult>) {
    while !usage.waiting.is_empty() && usage.spend(now) {
        if let Some(waiter) = usage.waiting.pop_front() {
            done.push(WaitResult {
                ticket: waiter.ticket,
                result: Ok(()),
            });
        }
    }
}

/// Returns the refusal of a request for which no token can exist now.
fn refuse_now(usage: &mut AccountState, now: Time, rng: &mut StdRng) -> Option<Refusal> {
    if let Some(scarce) = usage.scarce.as_mut().filter(|s| s.until > now) {
        let wait = scarce.until.since(now) + scarce.pace * scarce.refused;
        scarce.refused = scarce.refused.saturating_add(1);
        return Some(Refusal::after(Reason::Rate, jitter(wait, scarce.pace, rng)));
    }
    let lost = usage.lost?;
    let wait = (LEASE.saturating_sub(now.since(lost))).max(RETRY_MIN);
    let reason = match usage.known {
        true => Reason::Rate,
        false => Reason::Starting,
    };
    Some(Refusal::after(reason, jitter(wait, wait, rng)))
}

fn jitter(wait: Duration, pace: Duration, rng: &mut StdRng) -> Duration {
    wait + wait.max(pace).mul_f64(rng.random_range(0.0..JITTER))
}

fn next_event(usage: &AccountState, now: Time) -> Option<Time> {
    let timeout = usage.requested_at.map(|sent| sent + REQUEST_TIMEOUT);
    let wait = usage.waiting.front().map(|w| w.until);
    let ready = match usage.waiting.is_empty() {
        true => None,
        false => usage.credit.as_ref().and_then(|c| c.ready_at(now)),
    };
    [timeout, wait, ready].into_iter().flatten().min()
}
