//! A simulation of rate limits on many nodes in virtual time. Every message is encoded and
//! decoded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::ids::{AccountName, NodeId};
use laburnumtide::limit::{
    Accounts, AdmitResult, Allowance, BATCH_PERIOD, Claim, CreditRequest, LocalLimiter, NodeInfo,
    Owner, Placement, SHARD_COUNT, Shard, TOKEN_WAIT_MAX, Voter,
};
use laburnumtide::time::Time;
use laburnumtide::units::{Burst, Rate};
use laburnumtide::wire::limit::{LimitRequest, LimitResponse};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cost::{percent, resident_kb, timed};

/// Requests per second and node: 150,000 per second over 560 nodes.
const NODE_RATE: f64 = 268.0;

/// Time without requests at the start, until owners hold their leases.
const LEASE_TIME: Duration = Duration::from_secs(5);

/// Time with requests before the measurement.
const WARM_UP: Duration = Duration::from_secs(5);

/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(5);

/// Batch periods between two expiry sweeps of voters and owners.
const SWEEP_PERIODS: u64 = 10;

struct Node {
    limiter: LocalLimiter,
    owner: Owner,
    voter: Voter,
}

/// The distribution of requests over the accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Distribution {
    /// Every account has the same rate.
    Even,
    /// The rate of an account is proportional to the inverse of its rank.
    Zipf,
}

struct AccountTable {
    names: Vec<AccountName>,
    allowances: BTreeMap<AccountName, Allowance>,
    /// The cumulative distribution over the accounts.
    cumulative: Vec<f64>,
}

impl AccountTable {
    fn new(count: usize, distribution: Distribution, total: f64) -> AccountTable {
        let weight = |i: usize| match distribution {
            Distribution::Even => 1.0,
            Distribution::Zipf => 1.0 / (i + 1) as f64,
        };
        let total_weight: f64 = (0..count).map(weight).sum();
        let mut table = AccountTable {
            names: Vec::new(),
            allowances: BTreeMap::new(),
            cumulative: Vec::new(),
        };
        let mut sum = 0.0;
        for i in 0..count {
            let name: AccountName = format!("account-{i:05}")
                .parse()
                .expect("the name is valid");
            sum += weight(i) / total_weight;
            // Every account uses half of its rate, and its burst is two seconds of that rate.
            let rate = (weight(i) / total_weight * total * 2.0).max(1.0);
            let allowance = Allowance {
                rate: Rate::from_millis((rate * 1_000.0) as u64),
                burst: Burst((rate * 2.0).ceil().max(20.0) as u32),
            };
            table.allowances.insert(name.clone(), allowance);
            table.names.push(name);
            table.cumulative.push(sum);
        }
        table
    }

    fn random_account(&self, rng: &mut StdRng) -> usize {
        let point = rng.random_range(0.0..1.0);
        self.cumulative
            .partition_point(|sum| *sum <= point)
            .min(self.names.len() - 1)
    }
}

impl Accounts for AccountTable {
    fn allowance(&self, name: &AccountName) -> Option<Allowance> {
        self.allowances.get(name).copied()
    }
}

/// Bytes, messages and CPU time of one role.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    bytes: u64,
    messages: u64,
    cpu: Duration,
}

/// The cost of each role, and the requests with their results, summed over all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Costs {
    limiter: Cost,
    owner: Cost,
    claims: Cost,
    voter: Cost,
    requests: u64,
    granted: u64,
    refused: u64,
}

struct Sim {
    rng: StdRng,
    nodes: Vec<Node>,
    ids: BTreeMap<NodeId, usize>,
    addrs: BTreeMap<SocketAddr, usize>,
    placement: Placement,
    accounts: AccountTable,
    costs: Costs,
    voter_bytes: Vec<u64>,
}

impl Sim {
    fn new(count: usize, accounts: usize, distribution: Distribution) -> Sim {
        let zones = if count >= 9 { 9 } else { 3 };
        let node_info = |i: usize| NodeInfo {
            id: NodeId(i as u64 + 1),
            addr: format!("10.20.30.40:{}", i + 1)
                .parse()
                .expect("the address is valid"),
            zone: format!("zone-{}", i % zones)
                .parse()
                .expect("the zone is valid"),
        };
        let infos: Vec<NodeInfo> = (0..count).map(node_info).collect();
        let mut placement = Placement::new(infos[0].id);
        placement.set_members(&infos, |_| true);
        let start = Time::from_millis(3_600_000);
        let nodes = infos.iter().map(|info| Node {
            limiter: LocalLimiter::new(info.id.0),
            owner: Owner::new(info.id),
            voter: Voter::new(start),
        });
        Sim {
            rng: StdRng::seed_from_u64(5),
            nodes: nodes.collect(),
            ids: infos
                .iter()
                .enumerate()
                .map(|(i, info)| (info.id, i))
                .collect(),
            addrs: infos
                .iter()
                .enumerate()
                .map(|(i, info)| (info.addr, i))
                .collect(),
            placement,
            accounts: AccountTable::new(accounts, distribution, NODE_RATE * count as f64),
            costs: Costs::default(),
            voter_bytes: vec![0; count],
        }
    }

    fn run(&mut self) {
        let start = Time::from_millis(3_600_000);
        let steps = |d: Duration| (d.as_millis() / BATCH_PERIOD.as_millis()) as u64;
        let (lease_steps, warm_up_steps) = (steps(LEASE_TIME), steps(WARM_UP));
        for step in 0..lease_steps + warm_up_steps + steps(MEASURE_TIME) {
            let now = start + BATCH_PERIOD * step as u32;
            if step == lease_steps + warm_up_steps {
                self.costs = Costs::default();
                self.voter_bytes.fill(0);
            }
            if step >= lease_steps {
                self.admit_requests(now);
            }
            self.tick(now + BATCH_PERIOD, step.is_multiple_of(SWEEP_PERIODS));
        }
    }

    /// Admits the requests of one batch period in the order of their times.
    fn admit_requests(&mut self, start: Time) {
        let span = BATCH_PERIOD.as_micros() as u64;
        let mean = NODE_RATE * BATCH_PERIOD.as_secs_f64() * self.nodes.len() as f64;
        let mut events: Vec<(u64, usize, usize)> = (0..mean as usize)
            .map(|_| {
                let node = self.rng.random_range(0..self.nodes.len());
                let at = self.rng.random_range(0..span);
                (at, node, self.accounts.random_account(&mut self.rng))
            })
            .collect();
        events.sort();
        for (at, node, account) in events {
            self.admit(Time(start.0 + at), node, account);
        }
    }

    fn admit(&mut self, now: Time, i: usize, account: usize) {
        self.costs.requests += 1;
        let limiter = &mut self.nodes[i].limiter;
        let name = &self.accounts.names[account];
        let (result, requests) = timed(&mut self.costs.limiter.cpu, || {
            let result = limiter.admit(now, name, TOKEN_WAIT_MAX);
            let requests = match limiter.has_due() {
                true => limiter.take_due(now),
                false => Vec::new(),
            };
            (result, requests)
        });
        match result {
            AdmitResult::Granted => self.costs.granted += 1,
            AdmitResult::Refused(_) => self.costs.refused += 1,
            AdmitResult::Waiting(_) => {}
        }
        self.send_requests(now, i, requests);
    }

    fn send_requests(&mut self, now: Time, from: usize, requests: Vec<CreditRequest>) {
        let mut due = requests;
        // A response may cause further requests; a few rounds cover those at the same instant.
        for _ in 0..4 {
            let mut batches: BTreeMap<NodeId, Vec<CreditRequest>> = BTreeMap::new();
            for request in due {
                let shard = Shard::of(&request.account);
                if let Some(owner) = self.nodes[from].limiter.owner_of(&self.placement, shard) {
                    batches.entry(owner).or_default().push(request);
                }
            }
            for (owner, requests) in batches {
                self.exchange_credit(now, from, owner, requests);
            }
            let limiter = &mut self.nodes[from].limiter;
            due = timed(&mut self.costs.limiter.cpu, || limiter.take_due(now));
            if due.is_empty() {
                return;
            }
        }
    }

    fn exchange_credit(
        &mut self,
        now: Time,
        from: usize,
        owner: NodeId,
        requests: Vec<CreditRequest>,
    ) {
        let to = self.ids[&owner];
        let (is_remote, id) = (to != from, NodeId(from as u64 + 1));
        let mut request = bytes::Bytes::new();
        timed(&mut self.costs.limiter.cpu, || {
            request = LimitRequest::Credit(requests).encode();
        });
        let (node, accounts, placement) = (&mut self.nodes[to], &self.accounts, &self.placement);
        let size = request.len() as u64;
        let response = timed(&mut self.costs.owner.cpu, || {
            let Ok(LimitRequest::Credit(requests)) = LimitRequest::decode(request) else {
                unreachable!("the message was encoded here");
            };
            let response = |request| node.owner.serve(now, placement, id, request, accounts);
            LimitResponse::Credit(requests.iter().map(response).collect()).encode()
        });
        if is_remote {
            self.costs.limiter.bytes += size;
            self.costs.limiter.messages += 1;
            self.costs.owner.bytes += response.len() as u64;
            self.costs.owner.messages += 1;
        }
        let limiter = &mut self.nodes[from].limiter;
        timed(&mut self.costs.limiter.cpu, || {
            let Ok(LimitResponse::Credit(responses)) = LimitResponse::decode(response) else {
                unreachable!("the message was encoded here");
            };
            responses.iter().for_each(|r| limiter.receive(now, r));
        });
        let results = limiter.take_results();
        self.costs.granted += results.iter().filter(|r| r.result.is_ok()).count() as u64;
        self.costs.refused += results.iter().filter(|r| r.result.is_err()).count() as u64;
    }

    fn tick(&mut self, now: Time, sweep: bool) {
        for i in 0..self.nodes.len() {
            let limiter = &mut self.nodes[i].limiter;
            let requests = timed(&mut self.costs.limiter.cpu, || {
                limiter.poll(now);
                let mut requests = limiter.tick(now);
                requests.extend(limiter.take_due(now));
                requests
            });
            let results = limiter.take_results();
            self.costs.refused += results.iter().filter(|r| r.result.is_err()).count() as u64;
            self.send_requests(now, i, requests);
            self.claim(now, i);
            let node = &mut self.nodes[i];
            if sweep {
                timed(&mut self.costs.owner.cpu, || node.owner.expire(now));
                timed(&mut self.costs.voter.cpu, || node.voter.expire(now));
            }
        }
    }

    fn claim(&mut self, now: Time, i: usize) {
        let (node, placement) = (&mut self.nodes[i], &self.placement);
        let shards = (0..SHARD_COUNT).map(Shard);
        let claims = timed(&mut self.costs.claims.cpu, || {
            node.owner.claims(now, placement, shards)
        });
        for (voter, claim) in claims {
            self.exchange_vote(now, i, voter, claim);
        }
    }

    fn exchange_vote(&mut self, now: Time, from: usize, voter: SocketAddr, claim: Claim) {
        let to = self.addrs[&voter];
        let mut request = bytes::Bytes::new();
        timed(&mut self.costs.claims.cpu, || {
            request = LimitRequest::Claim(claim).encode();
        });
        let size = request.len() as u64;
        let layouts = self.placement.layouts();
        let node = &mut self.nodes[to];
        let response = timed(&mut self.costs.voter.cpu, || {
            let Ok(LimitRequest::Claim(claim)) = LimitRequest::decode(request) else {
                unreachable!("the message was encoded here");
            };
            let vote = node.voter.vote(now, &layouts, &claim);
            vote.map(|v| LimitResponse::Vote(v).encode())
        });
        let Some(response) = response else { return };
        if to != from {
            self.costs.claims.bytes += size;
            self.costs.claims.messages += 1;
            self.costs.voter.bytes += response.len() as u64;
            self.costs.voter.messages += 1;
            self.voter_bytes[to] += response.len() as u64;
        }
        let (node, placement) = (&mut self.nodes[from], &self.placement);
        timed(&mut self.costs.claims.cpu, || {
            let Ok(LimitResponse::Vote(vote)) = LimitResponse::decode(response) else {
                unreachable!("the message was encoded here");
            };
            node.owner.record_vote(now, placement, voter, &vote);
        });
    }
}

fn row(count: usize, accounts: usize, distribution: Distribution) {
    let before = resident_kb("self");
    let mut sim = Sim::new(count, accounts, distribution);
    sim.run();
    let grown = resident_kb("self").saturating_sub(before);
    let rate = |n: u64| n as f64 / MEASURE_TIME.as_secs_f64() / count as f64;
    let cpu = |c: Cost| percent(c.cpu, MEASURE_TIME) / count as f64;
    let costs = sim.costs;
    let busiest = sim.voter_bytes.iter().max().copied().unwrap_or(0);
    let limiter_accounts: usize = sim.nodes.iter().map(|n| n.limiter.account_count()).sum();
    let buckets: usize = sim.nodes.iter().map(|n| n.owner.bucket_count()).sum();
    let shards: usize = sim.nodes.iter().map(|n| n.owner.shard_count()).sum();
    println!(
        "{count:>5} {accounts:>8} {:<5} {:>6.0} {:>7.2} {:>8.0} {:>8.0} {:>7.0} {:>7.0} {:>8.0} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>6} {:>6} {:>5} {:>6}",
        format!("{distribution:?}"),
        rate(costs.requests),
        costs.refused as f64 * 1_000.0 / costs.requests as f64,
        rate(costs.limiter.bytes),
        rate(costs.owner.bytes),
        rate(costs.limiter.messages + costs.claims.messages),
        rate(costs.claims.bytes),
        busiest as f64 / MEASURE_TIME.as_secs_f64(),
        cpu(costs.limiter),
        cpu(costs.owner),
        cpu(costs.claims),
        cpu(costs.voter),
        limiter_accounts / count,
        buckets / count,
        shards / count,
        grown / count as u64,
    );
}

/// Prints the cost of rate limits by the number of nodes and of accounts in use.
pub fn print() -> anyhow::Result<()> {
    println!(
        "\nlimits of N nodes at {NODE_RATE} requests/s each; bytes, messages and % of a core per node"
    );
    println!(
        "{:>5} {:>8} {:<5} {:>6} {:>7} {:>8} {:>8} {:>7} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>5} {:>6}",
        "nodes",
        "accounts",
        "use",
        "req/s",
        "ref/1k",
        "req B/s",
        "grant B",
        "calls/s",
        "claim B",
        "top vote",
        "limiter",
        "owner",
        "claims",
        "voter",
        "accts",
        "bucket",
        "shard",
        "kB"
    );
    let only: Option<usize> = std::env::args().nth(2).and_then(|n| n.parse().ok());
    for count in [8, 64, 192, 560] {
        if only.is_some_and(|n| n != count) {
            continue;
        }
        row(count, 33_000 * count / 560, Distribution::Even);
        row(count, 33_000 * count / 560, Distribution::Zipf);
        if count == 560 {
            row(count, 1_000, Distribution::Even);
            row(count, 10_000, Distribution::Even);
        }
    }
    Ok(())
}
