//! Load generation and refusal counts in virtual time, also for a static split of each limit.

use super::{Allowances, MS, Net, RequestResult, SEC, STARTUP_TIME, Sim, allowance, name};
use laburnumtide::limit::Allowance;
use laburnumtide::prelude::*;
use rand::RngExt;

/// How requests of an account spread over the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    Even,
    /// Half of the requests arrive at one node, a quarter at the next, and so on.
    Skewed,
    /// All requests arrive in one zone, and in the next zone from the middle of the run on.
    Moving,
}

/// Time from the start of a graceful leave to the end of the process.
const DRAIN: u64 = 2 * SEC;

/// A fault in the middle of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// A VM that owns no account of the load.
    Vm,
    /// The VM that owns the first account.
    Owner,
    Zone,
    /// The VM that owns the first account leaves gracefully and ends after [`DRAIN`].
    Leave,
}

/// The fleet, load and fault of one simulated run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub zones: usize,
    /// Rates in requests per second; the burst is `burst_secs` of the rate.
    pub rates: Vec<u64>,
    pub burst_secs: f64,
    /// Load of each account, in percent of its rate.
    pub percent: Vec<u64>,
    pub spread: Spread,
    pub fault: Fault,
    pub span: u64,
    pub seed: u64,
}

/// Counts of the requests and refusals of one account.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountCounts {
    pub sent: u64,
    pub refused: u64,
    /// Refusals by a single ideal bucket for the same requests.
    pub ideal: u64,
    /// Refusals if each node had a static share of the rate and burst.
    pub static_split: u64,
}

impl AccountCounts {
    /// Returns the refusals per 1,000 requests that an ideal bucket would have admitted.
    pub fn per_mille(&self) -> f64 {
        excess_per_mille(self.refused, self)
    }

    pub fn static_per_mille(&self) -> f64 {
        excess_per_mille(self.static_split, self)
    }
}

fn excess_per_mille(refused: u64, account: &AccountCounts) -> f64 {
    let admissible = (account.sent - account.ideal).max(1) as f64;
    refused.saturating_sub(account.ideal) as f64 * 1_000.0 / admissible
}

pub struct Figures {
    pub accounts: Vec<AccountCounts>,
    /// Messages and bytes sent per node and second.
    pub messages: f64,
    pub bytes: f64,
    /// Waits for a token in µs, sorted; zero where a local token was spent.
    pub waits: Vec<u64>,
}

impl Figures {
    /// Adds the requests of another run of the same plan and averages the messages.
    pub fn add(&mut self, other: &Figures, runs: f64) {
        for (own, more) in self.accounts.iter_mut().zip(&other.accounts) {
            own.sent += more.sent;
            own.refused += more.refused;
            own.ideal += more.ideal;
            own.static_split += more.static_split;
        }
        self.messages += (other.messages - self.messages) / runs;
        self.bytes += (other.bytes - self.bytes) / runs;
        self.waits.extend(&other.waits);
        self.waits.sort();
    }

    pub fn worst(&self) -> f64 {
        self.accounts
            .iter()
            .map(AccountCounts::per_mille)
            .fold(0.0, f64::max)
    }

    /// Returns the highest refusal rate among accounts that stay within their rate.
    pub fn worst_within(&self, plan: &Plan) -> f64 {
        let within = |i: &usize| plan.percent[*i] <= 100;
        let each = (0..self.accounts.len()).filter(within);
        each.map(|i| self.accounts[i].per_mille())
            .fold(0.0, f64::max)
    }

    pub fn static_worst(&self) -> f64 {
        let each = self.accounts.iter().map(AccountCounts::static_per_mille);
        each.fold(0.0, f64::max)
    }

    pub fn wait(&self, percentile: usize) -> u64 {
        let last = self.waits.len().saturating_sub(1);
        self.waits
            .get(last * percentile / 100)
            .copied()
            .unwrap_or(0)
    }
}

/// A token bucket that handles every request of an account or of a node's share.
struct Bucket {
    limit: Allowance,
    tokens: f64,
    at: u64,
}

impl Bucket {
    fn new(rate: f64, burst: f64) -> Bucket {
        let limit = Allowance {
            rate: Rate::from_millis((rate * 1_000.0) as u64),
            burst: Burst(burst as u32),
        };
        Bucket {
            limit,
            tokens: burst,
            at: 0,
        }
    }

    fn admit(&mut self, at: u64) -> bool {
        let burst = f64::from(self.limit.burst.0.max(1));
        let minted = (at - self.at) as f64 / 1e6 * self.limit.rate.as_f64();
        self.tokens = (self.tokens + minted).min(burst);
        self.at = at;
        let admitted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(admitted));
        admitted
    }
}

fn limits(plan: &Plan) -> Vec<Allowance> {
    let of = |rate: &u64| allowance(*rate, (*rate as f64 * plan.burst_secs).max(1.0) as u32);
    plan.rates.iter().map(of).collect()
}

/// Time of the fault, after half of the span.
pub fn fault_time(plan: &Plan) -> u64 {
    start(plan) + plan.span / 2
}

/// Start of the counted load; by then buckets are full and demands are estimated.
fn start(plan: &Plan) -> u64 {
    STARTUP_TIME + 5 * SEC + (plan.burst_secs * 1e6) as u64
}

fn node_for(sim: &mut Sim, plan: &Plan, at: u64) -> usize {
    let n = plan.nodes;
    let node = match plan.spread {
        Spread::Even => sim.rng.random_range(0..n),
        Spread::Skewed => {
            let mut node = 0;
            while node + 1 < n && sim.rng.random_bool(0.5) {
                node += 1;
            }
            node
        }
        Spread::Moving => {
            let zone = usize::from(at >= fault_time(plan));
            let rows = n / plan.zones;
            sim.rng.random_range(0..rows) * plan.zones + zone
        }
    };
    // Callers of a lost node go to the next one that is up.
    (node..node + n)
        .map(|i| i % n)
        .find(|i| sim.nodes[*i].up && !sim.nodes[*i].leaving)
        .unwrap_or(node)
}

/// Runs a plan with several seeds and adds up the counts.
pub fn run_seeds(plan: &Plan, seeds: u64, from: u64, length: u64) -> Figures {
    let mut total = run(plan, from, length);
    for k in 1..seeds {
        let plan = Plan {
            seed: plan.seed + k,
            ..plan.clone()
        };
        total.add(&run(&plan, from, length), (k + 1) as f64);
    }
    total
}

/// Runs a plan and counts for `length` from `from` on, relative to the start of the load.
pub fn run(plan: &Plan, from: u64, length: u64) -> Figures {
    let limits = limits(plan);
    let mut allowances = Allowances::default();
    for (i, limit) in limits.iter().enumerate() {
        allowances.0.insert(name(i), *limit);
    }
    let mut sim = Sim::new(plan.seed, plan.nodes, plan.zones, Net::CLEAN, allowances);
    let begin = start(plan);
    let mut arrivals: Vec<(u64, usize, usize)> = Vec::new();
    // The load starts before the counted time, so that nodes hold reserves as in steady state.
    let end = begin + plan.span;
    let mut at = STARTUP_TIME;
    while at < end {
        let next = (at + 100 * MS).min(end);
        sim.run_until(at);
        if at <= fault_time(plan) && fault_time(plan) < next {
            inject_fault(&mut sim, plan);
        }
        if at <= fault_time(plan) + SEC && fault_time(plan) + SEC < next {
            sim.sync_all();
        }
        if at <= fault_time(plan) + DRAIN && fault_time(plan) + DRAIN < next {
            for node in &mut sim.nodes {
                node.up &= !node.leaving;
            }
        }
        if at <= fault_time(plan) + DRAIN + SEC && fault_time(plan) + DRAIN + SEC < next {
            sim.sync_all();
        }
        if at == STARTUP_TIME + 100 * MS * 20 || (at <= begin + from && begin + from < next) {
            (sim.messages, sim.bytes) = (0, 0);
        }
        for account in 0..limits.len() {
            send(&mut sim, plan, account, at, next, &mut arrivals);
        }
        at = next;
    }
    let counted = length.min(end - begin - from) as f64 / 1e6;
    let (messages, bytes) = (sim.messages as f64, sim.bytes as f64);
    sim.run_until(end + SEC);
    arrivals.sort();
    let window = begin + from..begin + from + length;
    let mut accounts = vec![AccountCounts::default(); limits.len()];
    count_ideal(plan, &limits, &arrivals, &window, &mut accounts);
    let mut waits = Vec::new();
    for result in &sim.results {
        count(result, &window, &mut accounts, &mut waits);
    }
    waits.sort();
    Figures {
        accounts,
        messages: messages / counted / plan.nodes as f64,
        bytes: bytes / counted / plan.nodes as f64,
        waits,
    }
}

fn send(
    sim: &mut Sim,
    plan: &Plan,
    account: usize,
    from: u64,
    to: u64,
    arrivals: &mut Vec<(u64, usize, usize)>,
) {
    let rate = plan.rates[account] as f64 * plan.percent[account] as f64 / 100.0;
    let mut at = from as f64;
    loop {
        let u: f64 = sim.rng.random_range(f64::MIN_POSITIVE..1.0);
        at += -u.ln() / rate * 1e6;
        if at >= to as f64 {
            return;
        }
        let node = node_for(sim, plan, at as u64);
        sim.request(at as u64, node, &name(account));
        arrivals.push((at as u64, node, account));
    }
}

fn inject_fault(sim: &mut Sim, plan: &Plan) {
    let owner = sim.owner_of(&name(0)).expect("an owner before the fault");
    match plan.fault {
        Fault::None => {}
        Fault::Owner => sim.nodes[owner].up = false,
        Fault::Leave => sim.nodes[owner].leaving = true,
        Fault::Vm => {
            let owners: Vec<_> = (0..plan.rates.len())
                .map(|i| sim.owner_of(&name(i)))
                .collect();
            let vm = (0..plan.nodes).find(|i| !owners.contains(&Some(*i)));
            sim.nodes[vm.expect("a VM that owns no account")].up = false;
        }
        Fault::Zone => {
            let zone = sim.nodes[owner].info.zone.clone();
            let lost = sim.nodes.iter_mut().filter(|n| n.info.zone == zone);
            lost.for_each(|n| n.up = false);
        }
    }
}

fn count_ideal(
    plan: &Plan,
    limits: &[Allowance],
    arrivals: &[(u64, usize, usize)],
    window: &std::ops::Range<u64>,
    accounts: &mut [AccountCounts],
) {
    let n = plan.nodes as f64;
    let bucket = |l: &Allowance| Bucket::new(l.rate.as_f64(), f64::from(l.burst.0));
    let part = |l: &Allowance| Bucket::new(l.rate.as_f64() / n, (f64::from(l.burst.0) / n).floor());
    let mut ideal: Vec<Bucket> = limits.iter().map(bucket).collect();
    let mut static_split: Vec<Vec<Bucket>> = (0..plan.nodes)
        .map(|_| limits.iter().map(part).collect())
        .collect();
    for (at, node, account) in arrivals {
        let refused = !ideal[*account].admit(*at);
        let static_refused = !static_split[*node][*account].admit(*at);
        if window.contains(at) {
            accounts[*account].ideal += u64::from(refused);
            accounts[*account].static_split += u64::from(static_refused);
        }
    }
}

fn count(
    result: &RequestResult,
    window: &std::ops::Range<u64>,
    accounts: &mut [AccountCounts],
    waits: &mut Vec<u64>,
) {
    if !window.contains(&(result.at - result.waited)) {
        return;
    }
    let index = result.account.as_str().rsplit('-').next();
    let index: usize = index.and_then(|i| i.parse().ok()).unwrap_or(0);
    accounts[index].sent += 1;
    accounts[index].refused += u64::from(result.refused.is_some());
    if result.refused.is_none() {
        waits.push(result.waited);
    }
}

/// A fleet with eight accounts, a few of them large.
pub fn deployment(nodes: usize, zones: usize, percent: u64) -> Plan {
    Plan {
        nodes,
        zones,
        rates: vec![400, 200, 100, 40, 20, 20, 10, 10],
        burst_secs: 2.0,
        percent: vec![percent; 8],
        spread: Spread::Even,
        fault: Fault::None,
        span: 60 * SEC,
        seed: 1,
    }
}
