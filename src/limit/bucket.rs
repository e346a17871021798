//! The bucket of one account at its owner, and the credits drawn from it.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AccountName, NodeId};
use crate::limit::{Allowance, BATCH_PERIOD, BucketState, CreditRequest, Grant, WAIT_MAX, stretch};
use crate::time::Time;

/// Level units of one token. Thousandths of a token per second times microseconds give these.
const TOKEN: i128 = 1_000_000_000;

/// Share of the rate that is minted: a clock that is 1 % fast still mints no more than the rate.
const MINT_PERCENT: i128 = 99;

/// Share of the existing tokens that may lie at holders beyond their waiting requests. The rest stays with
/// the owner for nodes whose demand rises.
const RESERVE_PERCENT: f64 = 90.0;

/// Time of a holder's fair share that it may take at once while tokens are scarce.
const FAIR_WINDOW: Duration = Duration::from_millis(500);

/// Validity of a grant without a reserve, which serves waiting requests only.
///
/// It ends by itself soon after its use, so that accounts with little demand need no reports.
const BRIEF_GRANT: Duration = Duration::from_millis(150);

/// Demand lower than this still gets a share, in requests per second.
const DEMAND_MIN: f64 = 0.01;

/// Longest time between tokens that an answer states.
const PACE_MAX: Duration = Duration::from_secs(3_600);

/// One holder's line of credit.
#[derive(Clone, Debug)]
struct Credit {
    node: NodeId,
    number: u64,
    /// Tells this credit from an expired one that the holder numbered alike.
    serial: u64,
    granted: u64,
    spent: u64,
    returned: u64,
    until: Time,
    /// Tokens up to this total may be spent; the rest from `ready` on.
    settled: u64,
    ready: Time,
    /// Requests per second.
    demand: f64,
    /// Tokens of its fair share that it has not taken.
    fair: f64,
    fair_at: Time,
}

impl Credit {
    fn outstanding(&self) -> u64 {
        self.granted - self.spent - self.returned
    }

    /// Counts tokens granted in advance as settled once they are minted.
    fn mature(&mut self, now: Time) {
        if self.ready <= now {
            self.settled = self.granted;
        }
    }
}

/// Tokens of a credit that was replaced; they count until they expire.
#[derive(Clone, Copy, Debug)]
struct ReplacedCredit {
    tokens: u64,
    until: Time,
}

/// Tokens of one account: the level, and the credits that count against the burst.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    allowance: Allowance,
    /// May be negative by the tokens that were granted in advance of minting.
    level: i128,
    at: Time,
    credits: Vec<Credit>,
    remnants: Vec<ReplacedCredit>,
    /// Most that one holder gets while tokens are scarce, in tokens per second.
    water: f64,
    water_at: Time,
}

impl Bucket {
    /// Creates the bucket of an account that used nothing since `since`, when it was empty.
    pub(super) fn new(allowance: Allowance, since: Time, now: Time) -> Bucket {
        let mut bucket = Bucket {
            allowance,
            level: 0,
            at: since,
            credits: Vec::new(),
            remnants: Vec::new(),
            water: f64::MAX,
            water_at: Time::ZERO,
        };
        bucket.settle(now);
        bucket
    }

    /// Creates the bucket that a leaving owner has handed over; it mints from `at` on.
    pub(super) fn resume(handed: &BucketState, at: Time) -> Bucket {
        let mut bucket = Bucket::new(handed.allowance, at, at);
        bucket.remnants.push(ReplacedCredit {
            tokens: handed.outstanding,
            until: at + stretch(handed.expires_in),
        });
        bucket.level = i128::from(handed.level).min(bucket.room());
        bucket
    }

    /// Returns what a successor needs to go on with this bucket.
    pub(super) fn hand(&mut self, now: Time, account: AccountName) -> BucketState {
        self.settle(now);
        let credits = self.credits.iter().map(|c| c.until);
        let expiries = credits.chain(self.remnants.iter().map(|r| r.until));
        BucketState {
            account,
            allowance: self.allowance,
            level: self.level.clamp(i64::MIN.into(), i64::MAX.into()) as i64,
            outstanding: self.outstanding(),
            expires_in: expiries.max().unwrap_or(now).since(now),
        }
    }

    /// Takes over a changed rate and burst; tokens minted so far stay as far as the burst allows.
    pub(super) fn set_allowance(&mut self, now: Time, allowance: Allowance) {
        if self.allowance != allowance {
            self.settle(now);
            self.allowance = allowance;
            self.level = self.level.min(self.room());
            self.water_at = Time::ZERO;
        }
    }

    /// Returns true if nothing would be lost by forgetting the bucket.
    pub(super) fn is_idle(&mut self, now: Time) -> bool {
        self.settle(now);
        self.credits.is_empty() && self.remnants.is_empty() && self.level >= self.room()
    }

    /// Books a holder's report and answers its request; grants end `valid_for` from now.
    ///
    /// Reserves cover the demand of the `horizon`, which is the time that a shard takes to move.
    pub(super) fn serve(
        &mut self,
        now: Time,
        node: NodeId,
        request: &CreditRequest,
        lease: u64,
        valid_for: Duration,
        horizon: Duration,
    ) -> Grant {
        self.settle(now);
        let Some(index) = self.report(now, node, request, lease) else {
            return self.empty_grant();
        };
        if now.since(self.water_at) >= BATCH_PERIOD {
            self.share(now);
        }
        self.refill_fair(now, index);
        let target = self.target(index, horizon);
        let denied = self.serve_waiting(now, index, request.waiting);
        if denied == 0 {
            self.serve_reserve(index, target);
        }
        let pace = pause(self.fair_rate(index));
        let valid_for = match target == 0 && !self.is_scarce() {
            true => valid_for.min(BRIEF_GRANT),
            false => valid_for,
        };
        let prompt = self.is_tight();
        let credit = &mut self.credits[index];
        credit.until = credit.until.max(now + valid_for);
        Grant {
            serial: credit.serial,
            total: credit.granted,
            valid_for,
            settled: credit.settled,
            ready_in: credit.ready.since(now),
            target,
            retry: (denied > 0).then(|| self.next_token(index)),
            pace,
            prompt,
        }
    }

    /// Mints up to `now`, then drops what has expired.
    ///
    /// Expired tokens count as spent at their expiry. They occupy the burst for the minting before
    /// it, which is at most one period too long.
    fn settle(&mut self, now: Time) {
        let elapsed = now.since(self.at).as_micros() as i128;
        let minted = i128::from(self.allowance.rate.as_millis()) * elapsed * MINT_PERCENT / 100;
        self.level = (self.level + minted).min(self.room());
        self.at = self.at.max(now);
        self.credits.retain(|credit| credit.until > now);
        self.remnants.retain(|remnant| remnant.until > now);
    }

    /// Returns the highest level that keeps level and outstanding tokens within the burst.
    fn room(&self) -> i128 {
        (i128::from(self.allowance.burst.0) - i128::from(self.outstanding())) * TOKEN
    }

    fn outstanding(&self) -> u64 {
        let credits: u64 = self.credits.iter().map(Credit::outstanding).sum();
        let remnants: u64 = self.remnants.iter().map(|r| r.tokens).sum();
        credits + remnants
    }

    /// Returns the whole tokens in `units` that can be granted.
    ///
    /// Outstanding tokens stay within the burst, also those granted in advance: a debt is repaid
    /// only as long as the room for the level is not negative.
    fn grantable(&self, units: i128) -> u64 {
        let tokens = (units / TOKEN).max(0) as u64;
        let burst = u64::from(self.allowance.burst.0);
        tokens.min(burst.saturating_sub(self.outstanding()))
    }

    /// Returns true if holders should report spent tokens without delay, since these fill the burst.
    fn is_tight(&self) -> bool {
        self.outstanding() * 2 >= u64::from(self.allowance.burst.0)
    }

    /// Books the counters of an ask and returns the index of its credit, unless it is outdated.
    fn report(
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
            self.remnants.push(ReplacedCredit {
                tokens: old.outstanding(),
                until: old.until,
            });
        }
        let (fair, fair_at) = (old.fair, old.fair_at);
        self.credits[index] = Credit {
            fair,
            fair_at,
            ..new_credit(now, old.node, request, lease)
        };
    }

    /// Finds the level `water` at which the sum of `min(demand, water)` meets the rate.
    fn share(&mut self, now: Time) {
        self.water_at = now;
        let mut demands: Vec<f64> = self.credits.iter().map(demand_of).collect();
        demands.sort_by(f64::total_cmp);
        let mut left = self.allowance.rate.as_f64();
        self.water = f64::MAX;
        for (i, demand) in demands.iter().enumerate() {
            let equal = left / (demands.len() - i) as f64;
            if *demand >= equal {
                self.water = equal;
                break;
            }
            left -= demand;
        }
    }

    /// Returns what a holder may take while tokens are scarce, in tokens per second.
    fn fair_rate(&self, index: usize) -> f64 {
        let rate = self.allowance.rate.as_f64();
        let equal = rate / self.credits.len() as f64;
        let demand = demand_of(&self.credits[index]);
        demand.max(equal).min(self.water).min(rate)
    }

    fn refill_fair(&mut self, now: Time, index: usize) {
        let rate = self.fair_rate(index);
        let most = (rate * FAIR_WINDOW.as_secs_f64()).max(1.0);
        let credit = &mut self.credits[index];
        let gained = rate * now.since(credit.fair_at).as_secs_f64();
        credit.fair = (credit.fair + gained).min(most);
        credit.fair_at = now;
    }

    /// Returns the tokens that a holder should keep for its demand.
    fn target(&self, index: usize, horizon: Duration) -> u64 {
        let total: f64 = self.credits.iter().map(demand_of).sum();
        let demand = demand_of(&self.credits[index]);
        let need = demand * horizon.as_secs_f64();
        let level = (self.level / TOKEN).max(0) as f64;
        let pool = (level + self.outstanding() as f64) * RESERVE_PERCENT / 100.0;
        if need < 1.0 {
            return 0;
        }
        (need + 2.0 * need.sqrt()).min(pool * demand / total) as u64
    }

    /// Grants tokens to waiting requests, also in advance of minting, and returns how many got none.
    fn serve_waiting(&mut self, now: Time, index: usize, waiting: u32) -> u64 {
        let waiting = u64::from(waiting);
        let advance = self.minted_in(WAIT_MAX);
        let mut most = self.grantable(self.level + advance);
        if self.is_scarce() {
            most = most.min(self.credits[index].fair.max(0.0) as u64);
        }
        let given = waiting.min(most);
        self.credits[index].mature(now);
        self.give(index, given);
        let ready = now + self.time_to_mint(-self.level);
        let credit = &mut self.credits[index];
        if given > 0 && ready > now {
            credit.ready = credit.ready.max(ready);
        }
        credit.mature(now);
        waiting - given
    }

    /// Grants up to the target, from tokens that the owner need not keep for others.
    fn serve_reserve(&mut self, index: usize, target: u64) {
        let kept = self.kept();
        let spare = self.grantable(self.level - kept);
        let credit = &self.credits[index];
        if credit.settled < credit.granted {
            return;
        }
        let missing = target.saturating_sub(credit.outstanding());
        self.give(index, missing.min(spare));
        self.credits[index].settled = self.credits[index].granted;
    }

    fn give(&mut self, index: usize, tokens: u64) {
        self.level -= i128::from(tokens) * TOKEN;
        let credit = &mut self.credits[index];
        credit.granted += tokens;
        credit.fair -= tokens as f64;
        credit.fair = credit.fair.max(0.0);
    }

    /// Level below which tokens go to waiting requests only.
    fn kept(&self) -> i128 {
        i128::from(self.allowance.burst.0) * TOKEN / 8
    }

    fn is_scarce(&self) -> bool {
        self.level * 4 < self.kept() && self.water < f64::MAX
    }

    fn minted_in(&self, d: Duration) -> i128 {
        i128::from(self.allowance.rate.as_millis()) * d.as_micros() as i128 * MINT_PERCENT / 100
    }

    fn time_to_mint(&self, units: i128) -> Duration {
        let per_micro = i128::from(self.allowance.rate.as_millis()) * MINT_PERCENT;
        let micros = (units * 100 + per_micro - 1) / per_micro.max(1);
        Duration::from_micros(micros.clamp(0, PACE_MAX.as_micros() as i128) as u64)
    }

    /// Returns the time until a token exists for a holder.
    fn next_token(&self, index: usize) -> Duration {
        let minted = self.time_to_mint((TOKEN - self.level).max(0));
        if !self.is_scarce() {
            return minted;
        }
        let missing = (1.0 - self.credits[index].fair).max(0.0);
        minted.max(pause(self.fair_rate(index)).mul_f64(missing))
    }

    fn empty_grant(&self) -> Grant {
        Grant {
            serial: 0,
            total: 0,
            valid_for: Duration::ZERO,
            settled: 0,
            ready_in: Duration::ZERO,
            target: 0,
            retry: None,
            pace: pause(self.allowance.rate.as_f64()),
            prompt: false,
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
        settled: 0,
        ready: now,
        demand: request.demand as f64 / 1_000.0,
        fair: 1.0,
        fair_at: now,
    }
}

fn demand_of(credit: &Credit) -> f64 {
    credit.demand.max(DEMAND_MIN)
}

/// Returns the time between events at `rate` a second.
fn pause(rate: f64) -> Duration {
    if rate * PACE_MAX.as_secs_f64() <= 1.0 {
        return PACE_MAX;
    }
    Duration::from_secs_f64(1.0 / rate)
}
