//! The token bucket of one account at its owner, and the credits granted from it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AccountName, NodeId};
use crate::limit::{
    Allowance, BATCH_PERIOD, BucketState, CreditRequest, Grant, TOKEN_WAIT_MAX, stretch,
};
use crate::time::Time;

/// Level units of one token: a rate in thousandths of a token per second times microseconds.
const TOKEN: i128 = 1_000_000_000;

/// Percentage of the rate that is minted, so that a clock that is 1 % fast doesn't exceed the rate.
const MINT_PERCENT: i128 = 99;

/// Percentage of the existing tokens that nodes may hold as reserves. The rest stays with the owner
/// for nodes whose demand rises.
const RESERVE_PERCENT: f64 = 90.0;

/// While tokens are scarce, a node can accumulate at most its fair share of this time.
const FAIR_WINDOW: Duration = Duration::from_millis(500);

/// Validity of a grant without a reserve, which serves waiting requests only.
///
/// It expires soon after its use, so that accounts with little demand need no reports.
const BRIEF_GRANT: Duration = Duration::from_millis(150);

/// Minimum demand that is assumed for a node, in requests per second.
const DEMAND_MIN: f64 = 0.01;

/// Longest time between tokens that a response states.
const PACE_MAX: Duration = Duration::from_secs(3_600);

/// The owner's state of a credit: the tokens granted to one node.
#[derive(Clone, Debug)]
struct Credit {
    node: NodeId,
    number: u64,
    /// Distinguishes this credit from an expired one to which the node gave the same number.
    serial: u64,
    granted: u64,
    spent: u64,
    returned: u64,
    until: Time,
    /// Tokens up to this total may be spent now, the rest from `ready` on.
    spendable: u64,
    ready: Time,
    /// Requests per second.
    demand: f64,
    /// Tokens of the node's fair share that have not been granted yet.
    fair_tokens: f64,
    fair_updated: Time,
}

impl Credit {
    fn outstanding(&self) -> u64 {
        self.granted - self.spent - self.returned
    }

    /// Makes tokens that were granted in advance spendable once they are minted.
    fn unlock_minted(&mut self, now: Time) {
        if self.ready <= now {
            self.spendable = self.granted;
        }
    }
}

/// Outstanding tokens of a credit that was replaced; they count until they expire.
#[derive(Clone, Copy, Debug)]
struct ReplacedCredit {
    tokens: u64,
    until: Time,
}

/// Tokens of one account: the level, and the credits whose outstanding tokens count against the
/// burst.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    allowance: Allowance,
    /// Negative if tokens were granted before they are minted.
    level: i128,
    updated: Time,
    credits: Vec<Credit>,
    replaced: Vec<ReplacedCredit>,
    /// Upper bound of a node's fair share, in tokens per second; `f64::MAX` if the total
    /// demand is below the rate.
    fair_cap: f64,
    fair_cap_at: Time,
}

impl Bucket {
    /// Creates a bucket that was empty at `since` and has minted tokens since then.
    pub(super) fn new(allowance: Allowance, since: Time, now: Time) -> Bucket {
        let mut bucket = Bucket {
            allowance,
            level: 0,
            updated: since,
            credits: Vec::new(),
            replaced: Vec::new(),
            fair_cap: f64::MAX,
            fair_cap_at: Time::ZERO,
        };
        bucket.advance(now);
        bucket
    }

    /// Creates a bucket that a leaving owner has handed over; it mints from `at` on.
    pub(super) fn from_state(state: &BucketState, at: Time) -> Bucket {
        let mut bucket = Bucket::new(state.allowance, at, at);
        bucket.replaced.push(ReplacedCredit {
            tokens: state.outstanding,
            until: at + stretch(state.expires_in),
        });
        bucket.level = i128::from(state.level).min(bucket.max_level());
        bucket
    }

    /// Returns the state from which a successor continues this bucket.
    pub(super) fn export_state(&mut self, now: Time, account: AccountName) -> BucketState {
        self.advance(now);
        let credits = self.credits.iter().map(|c| c.until);
        let expiries = credits.chain(self.replaced.iter().map(|r| r.until));
        BucketState {
            account,
            allowance: self.allowance,
            level: self.level.clamp(i64::MIN.into(), i64::MAX.into()) as i64,
            outstanding: self.outstanding(),
            expires_in: expiries.max().unwrap_or(now).since(now),
        }
    }

    /// Applies a changed rate and burst; the level is capped by the new burst.
    pub(super) fn set_allowance(&mut self, now: Time, allowance: Allowance) {
        if self.allowance != allowance {
            self.advance(now);
            self.allowance = allowance;
            self.level = self.level.min(self.max_level());
            self.fair_cap_at = Time::ZERO;
        }
    }

    /// Returns true if the bucket is full and has no credits, so that it can be dropped.
    pub(super) fn is_idle(&mut self, now: Time) -> bool {
        self.advance(now);
        self.credits.is_empty() && self.replaced.is_empty() && self.level >= self.max_level()
    }

    /// Applies a node's usage report and grants tokens, which expire `valid_for` from now.
    ///
    /// Reserves cover the demand of the `horizon`, which is the time until a shard has a new owner.
    pub(super) fn serve(
        &mut self,
        now: Time,
        node: NodeId,
        request: &CreditRequest,
        lease: u64,
        valid_for: Duration,
        horizon: Duration,
    ) -> Grant {
        self.advance(now);
        let Some(index) = self.apply_report(now, node, request, lease) else {
            return self.empty_grant();
        };
        if now.since(self.fair_cap_at) >= BATCH_PERIOD {
            self.update_fair_cap(now);
        }
        self.refill_fair(now, index);
        let target_reserve = self.target_reserve(index, horizon);
        let denied = self.grant_waiting(now, index, request.waiting);
        if denied == 0 {
            self.grant_reserve(index, target_reserve);
        }
        let pace = interval(self.fair_rate(index));
        let valid_for = match target_reserve == 0 && !self.is_scarce() {
            true => valid_for.min(BRIEF_GRANT),
            false => valid_for,
        };
        let report_promptly = self.needs_prompt_reports();
        let credit = &mut self.credits[index];
        credit.until = credit.until.max(now + valid_for);
        Grant {
            serial: credit.serial,
            total: credit.granted,
            valid_for,
            spendable: credit.spendable,
            ready_in: credit.ready.since(now),
            target_reserve,
            retry: (denied > 0).then(|| self.next_token(index)),
            pace,
            report_promptly,
        }
    }

    /// Mints up to `now`, then drops expired credits.
    ///
    /// Expired tokens count as spent at their expiry. Since minting comes first, they count against
    /// the burst for at most one period too long.
    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_micros() as i128;
        let minted = i128::from(self.allowance.rate.as_millis()) * elapsed * MINT_PERCENT / 100;
        self.level = (self.level + minted).min(self.max_level());
        self.updated = self.updated.max(now);
        self.credits.retain(|credit| credit.until > now);
        self.replaced.retain(|credit| credit.until > now);
    }

    /// Returns the highest level at which level and outstanding tokens stay within the burst.
    fn max_level(&self) -> i128 {
        (i128::from(self.allowance.burst.0) - i128::from(self.outstanding())) * TOKEN
    }

    fn outstanding(&self) -> u64 {
        let credits: u64 = self.credits.iter().map(Credit::outstanding).sum();
        let replaced: u64 = self.replaced.iter().map(|r| r.tokens).sum();
        credits + replaced
    }

    /// Returns how many whole tokens of `units` can be granted.
    ///
    /// Outstanding tokens stay within the burst, including those granted in advance: a negative
    /// level recovers only while its upper bound is not negative.
    fn grantable(&self, units: i128) -> u64 {
        let tokens = (units / TOKEN).max(0) as u64;
        let burst = u64::from(self.allowance.burst.0);
        tokens.min(burst.saturating_sub(self.outstanding()))
    }

    /// Returns true if nodes should report spent tokens without delay, because outstanding tokens
    /// take up half of the burst or more.
    fn needs_prompt_reports(&self) -> bool {
        self.outstanding() * 2 >= u64::from(self.allowance.burst.0)
    }

    /// Applies the counters of a request and returns the index of its credit, unless the request is
    /// outdated.
    fn apply_report(
        &mut self,
        now: Time,
        node: NodeId,
        request: &CreditRequest,
        lease: u64,
    ) -> Option<usize> {
        let index = match self.credits.binary_search_by_key(&node, |c| c.node) {
            Ok(index) => index,
            Err(_) if request.close || request.serial != 0 => return None,
            Err(index) => {
                self.credits
                    .insert(index, new_credit(now, node, request, lease));
                index
            }
        };
        if request.credit < self.credits[index].number {
            return None;
        }
        if request.credit > self.credits[index].number {
            self.replace(now, index, request, lease);
        }
        if request.serial != 0 && request.serial != self.credits[index].serial {
            return None;
        }
        let credit = &mut self.credits[index];
        credit.demand = request.demand as f64 / 1_000.0;
        credit.spent = credit
            .spent
            .max(request.spent)
            .min(credit.granted - credit.returned);
        let returned = credit
            .returned
            .max(request.returned)
            .min(credit.granted - credit.spent);
        self.level += i128::from(returned - credit.returned) * TOKEN;
        credit.returned = returned;
        if request.close && credit.outstanding() == 0 {
            self.credits.remove(index);
            return None;
        }
        Some(index)
    }

    fn replace(&mut self, now: Time, index: usize, request: &CreditRequest, lease: u64) {
        let old = &self.credits[index];
        if old.outstanding() > 0 {
            self.replaced.push(ReplacedCredit {
                tokens: old.outstanding(),
                until: old.until,
            });
        }
        let (fair_tokens, fair_updated) = (old.fair_tokens, old.fair_updated);
        self.credits[index] = Credit {
            fair_tokens,
            fair_updated,
            ..new_credit(now, old.node, request, lease)
        };
    }

    /// Computes the max-min fair cap: the sum of `min(demand, fair_cap)` over the credits equals
    /// the rate.
    fn update_fair_cap(&mut self, now: Time) {
        self.fair_cap_at = now;
        let mut demands: Vec<f64> = self.credits.iter().map(effective_demand).collect();
        demands.sort_by(f64::total_cmp);
        let mut remaining = self.allowance.rate.as_f64();
        self.fair_cap = f64::MAX;
        for (i, demand) in demands.iter().enumerate() {
            let equal = remaining / (demands.len() - i) as f64;
            if *demand >= equal {
                self.fair_cap = equal;
                break;
            }
            remaining -= demand;
        }
    }

    /// Returns a node's fair share while tokens are scarce, in tokens per second.
    fn fair_rate(&self, index: usize) -> f64 {
        let rate = self.allowance.rate.as_f64();
        let equal = rate / self.credits.len() as f64;
        let demand = effective_demand(&self.credits[index]);
        demand.max(equal).min(self.fair_cap).min(rate)
    }

    fn refill_fair(&mut self, now: Time, index: usize) {
        let rate = self.fair_rate(index);
        let cap = (rate * FAIR_WINDOW.as_secs_f64()).max(1.0);
        let credit = &mut self.credits[index];
        let gained = rate * now.since(credit.fair_updated).as_secs_f64();
        credit.fair_tokens = (credit.fair_tokens + gained).min(cap);
        credit.fair_updated = now;
    }

    /// Returns the number of tokens that a node should hold for its demand.
    fn target_reserve(&self, index: usize, horizon: Duration) -> u64 {
        let total: f64 = self.credits.iter().map(effective_demand).sum();
        let demand = effective_demand(&self.credits[index]);
        let need = demand * horizon.as_secs_f64();
        let level = (self.level / TOKEN).max(0) as f64;
        let pool = (level + self.outstanding() as f64) * RESERVE_PERCENT / 100.0;
        if need < 1.0 {
            return 0;
        }
        (need + 2.0 * need.sqrt()).min(pool * demand / total) as u64
    }

    /// Grants tokens to waiting requests, also before they are minted, and returns how many
    /// requests got none.
    fn grant_waiting(&mut self, now: Time, index: usize, waiting: u32) -> u64 {
        let waiting = u64::from(waiting);
        let advance = self.minted_in(TOKEN_WAIT_MAX);
        let mut available = self.grantable(self.level + advance);
        if self.is_scarce() {
            available = available.min(self.credits[index].fair_tokens.max(0.0) as u64);
        }
        let granted = waiting.min(available);
        self.credits[index].unlock_minted(now);
        self.grant(index, granted);
        let ready = now + self.time_to_mint(-self.level);
        let credit = &mut self.credits[index];
        if granted > 0 && ready > now {
            credit.ready = credit.ready.max(ready);
        }
        credit.unlock_minted(now);
        waiting - granted
    }

    /// Grants tokens up to `target_reserve` from those above the reserve that the owner keeps.
    fn grant_reserve(&mut self, index: usize, target_reserve: u64) {
        let reserve_level = self.reserve_level();
        let spare = self.grantable(self.level - reserve_level);
        let credit = &self.credits[index];
        if credit.spendable < credit.granted {
            return;
        }
        let missing = target_reserve.saturating_sub(credit.outstanding());
        self.grant(index, missing.min(spare));
        self.credits[index].spendable = self.credits[index].granted;
    }

    fn grant(&mut self, index: usize, tokens: u64) {
        self.level -= i128::from(tokens) * TOKEN;
        let credit = &mut self.credits[index];
        credit.granted += tokens;
        credit.fair_tokens -= tokens as f64;
        credit.fair_tokens = credit.fair_tokens.max(0.0);
    }

    /// Returns the level that the owner keeps in reserve: below it, tokens are granted to waiting
    /// requests only.
    fn reserve_level(&self) -> i128 {
        i128::from(self.allowance.burst.0) * TOKEN / 8
    }

    fn is_scarce(&self) -> bool {
        self.level * 4 < self.reserve_level() && self.fair_cap < f64::MAX
    }

    fn minted_in(&self, d: Duration) -> i128 {
        i128::from(self.allowance.rate.as_millis()) * d.as_micros() as i128 * MINT_PERCENT / 100
    }

    fn time_to_mint(&self, units: i128) -> Duration {
        let per_micro = i128::from(self.allowance.rate.as_millis()) * MINT_PERCENT;
        let micros = (units * 100 + per_micro - 1) / per_micro.max(1);
        Duration::from_micros(micros.clamp(0, PACE_MAX.as_micros() as i128) as u64)
    }

    /// Returns the time until the next token for a node.
    fn next_token(&self, index: usize) -> Duration {
        let minted = self.time_to_mint((TOKEN - self.level).max(0));
        if !self.is_scarce() {
            return minted;
        }
        let missing = (1.0 - self.credits[index].fair_tokens).max(0.0);
        minted.max(interval(self.fair_rate(index)).mul_f64(missing))
    }

    fn empty_grant(&self) -> Grant {
        Grant {
            serial: 0,
            total: 0,
            valid_for: Duration::ZERO,
            spendable: 0,
            ready_in: Duration::ZERO,
            target_reserve: 0,
            retry: None,
            pace: interval(self.allowance.rate.as_f64()),
            report_promptly: false,
        }
    }
}

fn new_credit(now: Time, node: NodeId, request: &CreditRequest, lease: u64) -> Credit {
    let source = [lease, node.0, request.credit]
        .map(u64::to_le_bytes)
        .concat();
    Credit {
        node,
        number: request.credit,
        serial: xxh3_64_with_seed(&source, now.0).max(1),
        granted: 0,
        spent: 0,
        returned: 0,
        until: now,
        spendable: 0,
        ready: now,
        demand: request.demand as f64 / 1_000.0,
        fair_tokens: 1.0,
        fair_updated: now,
    }
}

fn effective_demand(credit: &Credit) -> f64 {
    credit.demand.max(DEMAND_MIN)
}

/// Returns the time between events at `rate` a second.
fn interval(rate: f64) -> Duration {
    if rate * PACE_MAX.as_secs_f64() <= 1.0 {
        return PACE_MAX;
    }
    Duration::from_secs_f64(1.0 / rate)
}
