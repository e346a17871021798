//! A fleet of limiters, owners and voters in virtual time, with a fake transport.
//!
//! Times given as numbers are in microseconds.

pub mod load;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use laburnumtide::limit::{
    Accounts, AdmitResult, Allowance, Claim, CreditRequest, CreditResponse, HandoverRequest, LEASE,
    LeaseVote, LocalLimiter, NodeInfo, Owner, Placement, Shard, ShardHandover, TOKEN_WAIT_MAX,
    Ticket, Voter,
};
use laburnumtide::prelude::*;
use laburnumtide::wire::{LimitRequest, LimitResponse};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const MS: u64 = 1_000;
pub const SEC: u64 = 1_000_000;

/// A protection that is disabled, to show that the check of the bound detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// Limiters report granted tokens as spent at once, so that they don't count against the burst.
    UncountedGrants,
    /// Voters forget their votes, so that an owner takes over before the old lease has expired.
    EarlyTakeover,
    /// Restarted voters vote at once.
    VoterNotAbstaining,
    /// After a pause, requests are checked with the time that was read before it.
    CheckBeforePause,
    /// Tokens outstanding at a leaving owner do not count at its successor.
    UncountedHandover,
}

/// Bytes added to a payload: frame, TCP and IP headers.
const FRAME_BYTES: usize = 70;

/// Behaviour of the fake transport and the clocks.
#[derive(Clone, Debug)]
pub struct Net {
    pub loss: f64,
    pub duplicate: f64,
    pub late: f64,
    /// Longest extra delay of a late message.
    pub late_max: u64,
    pub drift: f64,
}

impl Net {
    pub const CLEAN: Net = Net {
        loss: 0.0,
        duplicate: 0.0,
        late: 0.0,
        late_max: 0,
        drift: 0.0,
    };
}

#[derive(Clone, Default)]
pub struct Allowances(pub BTreeMap<AccountName, Allowance>);

impl Accounts for Allowances {
    fn allowance(&self, name: &AccountName) -> Option<Allowance> {
        self.0.get(name).copied()
    }
}

#[derive(Clone, Debug)]
enum Message {
    Claim(Claim),
    /// The candidate, the voter and its vote.
    Vote(NodeId, SocketAddr, LeaseVote),
    CreditRequests(NodeId, Vec<CreditRequest>),
    CreditResponses(Vec<CreditResponse>),
    HandoverRequest(NodeId, HandoverRequest),
    Handovers(NodeId, Time, Vec<ShardHandover>),
}

enum Event {
    Deliver(usize, Message),
    Tick(usize, NodeId),
    Poll(usize, NodeId),
    Request(usize, AccountName),
}

pub struct Node {
    pub info: NodeInfo,
    pub up: bool,
    pub leaving: bool,
    pub paused_until: u64,
    time_before_pause: Option<Time>,
    poll_at: u64,
    skew: u64,
    drift: f64,
    limiter: LocalLimiter,
    pub owner: Owner,
    voter: Voter,
    pub placement: Placement,
    waiting: BTreeMap<Ticket, (AccountName, u64)>,
}

impl Node {
    fn now(&self, at: u64) -> Time {
        Time(self.skew + (at as f64 * (1.0 + self.drift)) as u64)
    }
}

/// The result of one request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// When the request was admitted or refused.
    pub at: u64,
    pub account: AccountName,
    /// Retry time of the refusal; `None` if the request was admitted.
    pub refused: Option<Duration>,
    pub waited: u64,
}

pub struct Sim {
    pub at: u64,
    pub nodes: Vec<Node>,
    pub allowances: Allowances,
    pub results: Vec<RequestResult>,
    /// Links that lose every message, as pairs of sender and receiver.
    pub blocked: Vec<(usize, usize)>,
    pub messages: u64,
    /// Shards handed over by leaving owners.
    pub handovers: usize,
    pub bytes: u64,
    pub mutant: Mutant,
    pub rng: StdRng,
    shards: Vec<Shard>,
    net: Net,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
}

pub fn name(i: usize) -> AccountName {
    format!("account-{i}").parse().unwrap()
}

pub fn allowance(rate: u64, burst: u32) -> Allowance {
    Allowance {
        rate: Rate::per_sec(rate),
        burst: Burst(burst),
    }
}

impl Sim {
    /// Starts `count` nodes spread evenly over `zones`, all of them members.
    pub fn new(seed: u64, count: usize, zones: usize, net: Net, allowances: Allowances) -> Sim {
        let shards = allowances.0.keys().map(Shard::of).collect();
        let mut sim = Sim {
            shards,
            at: 0,
            nodes: Vec::new(),
            allowances,
            results: Vec::new(),
            blocked: Vec::new(),
            messages: 0,
            handovers: 0,
            bytes: 0,
            mutant: Mutant::None,
            rng: StdRng::seed_from_u64(seed),
            net,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
        };
        for i in 0..count {
            let addr = format!("127.{}.{}.1:7000", i / 200, i % 200);
            let zone = format!("zone-{}", i % zones);
            sim.add_node(i, addr.parse().unwrap(), zone.parse().unwrap());
        }
        sim.sync_all();
        sim
    }

    fn add_node(&mut self, i: usize, addr: SocketAddr, zone: ZoneName) {
        let id = NodeId(self.rng.random_range(1..=u64::MAX));
        let drift = self.rng.random_range(-1.0..=1.0) * self.net.drift;
        let skew = self.rng.random_range(3_600 * SEC..7_200 * SEC);
        let now = Time(skew + (self.at as f64 * (1.0 + drift)) as u64);
        let node = Node {
            info: NodeInfo { id, addr, zone },
            up: true,
            leaving: false,
            paused_until: 0,
            time_before_pause: None,
            poll_at: u64::MAX,
            skew,
            drift,
            limiter: LocalLimiter::new(self.rng.random()),
            owner: Owner::new(id),
            voter: Voter::new(now),
            placement: Placement::new(id),
            waiting: BTreeMap::new(),
        };
        if i < self.nodes.len() {
            self.nodes[i] = node;
        } else {
            self.nodes.push(node);
        }
        let offset = self.rng.random_range(0..100 * MS);
        self.schedule(self.at + offset, Event::Tick(i, id));
    }

    /// Restarts the process at the address of node `i`.
    pub fn restart(&mut self, i: usize) {
        let info = self.nodes[i].info.clone();
        self.add_node(i, info.addr, info.zone);
        if self.mutant == Mutant::VoterNotAbstaining {
            self.nodes[i].voter = Voter::new(Time::ZERO);
        }
    }

    pub fn pause(&mut self, i: usize, length: u64) {
        if self.mutant == Mutant::CheckBeforePause {
            self.nodes[i].time_before_pause = Some(self.nodes[i].now(self.at));
        }
        self.nodes[i].paused_until = self.at + length;
    }

    /// Updates the members and their liveness on every node.
    pub fn sync_all(&mut self) {
        for i in 0..self.nodes.len() {
            let up: Vec<NodeId> = self.live_ids();
            self.sync(i, |id| up.contains(&id));
        }
    }

    pub fn live_ids(&self) -> Vec<NodeId> {
        let up = self.nodes.iter().filter(|n| n.up);
        up.map(|n| n.info.id).collect()
    }

    /// Updates the members on node `i`, with those alive for which `live` returns true.
    pub fn sync(&mut self, i: usize, live: impl Fn(NodeId) -> bool) {
        let members: Vec<usize> = (0..self.nodes.len()).collect();
        self.sync_members(i, &members, live);
    }

    /// Sets a registry of some of the nodes on node `i`.
    pub fn sync_members(&mut self, i: usize, members: &[usize], live: impl Fn(NodeId) -> bool) {
        let infos = members.iter().map(|m| self.nodes[*m].info.clone());
        let infos: Vec<NodeInfo> = infos.collect();
        let leaving = self.nodes.iter().filter(|n| n.up && n.leaving);
        let leaving = leaving.map(|n| n.info.id).collect();
        self.nodes[i].placement.set_members(&infos, live);
        self.nodes[i].placement.set_leaving(leaving);
    }

    /// Resets the placement of node `i`.
    pub fn reset_members(&mut self, i: usize) {
        self.nodes[i].placement = Placement::new(self.nodes[i].info.id);
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count)));
        self.events.insert((at, self.count), event);
    }

    pub fn request(&mut self, at: u64, node: usize, account: &AccountName) {
        self.schedule(at, Event::Request(node, account.clone()));
    }

    /// Schedules a Poisson flow of requests.
    pub fn flow(&mut self, from: u64, to: u64, node: usize, account: &AccountName, rate: f64) {
        let mut at = from as f64;
        loop {
            let u: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            at += -u.ln() / rate * 1e6;
            if at >= to as f64 {
                return;
            }
            self.request(at as u64, node, account);
        }
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse(key)) = self.queue.peek().copied() {
            if key.0 > end {
                break;
            }
            self.queue.pop();
            let event = self.events.remove(&key).unwrap();
            self.at = key.0;
            self.step(event);
        }
        self.at = end;
    }

    fn step(&mut self, event: Event) {
        let (i, id) = match &event {
            Event::Deliver(i, _) | Event::Request(i, _) => (*i, None),
            Event::Tick(i, id) | Event::Poll(i, id) => (*i, Some(*id)),
        };
        let node = &self.nodes[i];
        if !node.up || id.is_some_and(|id| id != node.info.id) {
            return;
        }
        if node.paused_until > self.at {
            return self.schedule(self.nodes[i].paused_until, event);
        }
        let now = node.now(self.at);
        match event {
            Event::Deliver(_, message) => self.deliver(i, now, message),
            Event::Tick(_, id) => self.tick(i, id, now),
            // An earlier poll was scheduled in place of this one.
            Event::Poll(..) if self.nodes[i].poll_at > self.at => return,
            Event::Poll(..) => {
                self.nodes[i].poll_at = u64::MAX;
                self.nodes[i].limiter.poll(now);
            }
            Event::Request(_, account) => self.admit(i, now, account),
        }
        self.flush(i, now);
    }

    fn admit(&mut self, i: usize, now: Time, account: AccountName) {
        let node = &mut self.nodes[i];
        let checked = node.time_before_pause.unwrap_or(now);
        match node.limiter.admit(checked, &account, TOKEN_WAIT_MAX) {
            AdmitResult::Granted => self.record_result(account, None, 0),
            AdmitResult::Refused(refusal) => self.record_result(account, refusal.retry_after, 0),
            AdmitResult::Waiting(ticket) => {
                node.waiting.insert(ticket, (account, self.at));
            }
        }
    }

    fn record_result(&mut self, account: AccountName, refused: Option<Duration>, waited: u64) {
        self.results.push(RequestResult {
            at: self.at,
            account,
            refused,
            waited,
        });
    }

    fn tick(&mut self, i: usize, id: NodeId, now: Time) {
        self.schedule(self.at + 100 * MS, Event::Tick(i, id));
        let node = &mut self.nodes[i];
        node.time_before_pause = None;
        node.limiter.poll(now);
        node.voter.expire(now);
        node.owner.expire(now);
        let claims = node
            .owner
            .claims(now, &node.placement, self.shards.iter().copied());
        let requests = node.owner.handover_requests(now, &node.placement);
        let closed = node.limiter.tick(now);
        self.send_requests(i, closed);
        self.send_claims(i, claims);
        for (owner, request) in requests {
            if let Some(to) = self.nodes.iter().position(|n| n.info.id == owner) {
                let bytes = LimitRequest::Handover(request.clone()).encode();
                let size = bytes.len();
                assert_eq!(
                    LimitRequest::decode(bytes).unwrap(),
                    LimitRequest::Handover(request.clone())
                );
                self.send(i, to, Message::HandoverRequest(id, request), size);
            }
        }
    }

    fn send_claims(&mut self, i: usize, claims: BTreeMap<SocketAddr, Claim>) {
        for (voter, claim) in claims {
            if let Some(to) = self.index_of(voter) {
                let bytes = LimitRequest::Claim(claim.clone()).encode();
                let size = bytes.len();
                assert_eq!(
                    LimitRequest::decode(bytes).unwrap(),
                    LimitRequest::Claim(claim.clone())
                );
                self.send(i, to, Message::Claim(claim), size);
            }
        }
    }

    fn index_of(&self, addr: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|n| n.info.addr == addr)
    }

    /// Sends the limiter's due requests, collects ended waits and schedules the next poll.
    fn flush(&mut self, i: usize, now: Time) {
        let requests = self.nodes[i].limiter.take_due(now);
        self.send_requests(i, requests);
        for done in self.nodes[i].limiter.take_results() {
            let (account, since) = self.nodes[i].waiting.remove(&done.ticket).unwrap();
            let refused = done.result.err().and_then(|r| r.retry_after);
            self.record_result(account, refused, self.at - since);
        }
        if let Some(next) = self.nodes[i].limiter.next_poll(now) {
            let wait = next.since(now).as_micros() as u64 * 102 / 100 + 100;
            let at = self.at + wait;
            if at < self.nodes[i].poll_at {
                self.nodes[i].poll_at = at;
                self.schedule(at, Event::Poll(i, self.nodes[i].info.id));
            }
        }
    }

    fn send_requests(&mut self, i: usize, requests: Vec<CreditRequest>) {
        let mut batches: BTreeMap<NodeId, Vec<CreditRequest>> = BTreeMap::new();
        for mut request in requests {
            if self.mutant == Mutant::UncountedGrants {
                request.spent = u64::MAX / 2;
            }
            let node = &self.nodes[i];
            let owner = node
                .limiter
                .owner_of(&node.placement, Shard::of(&request.account));
            batches
                .entry(owner.unwrap_or_default())
                .or_default()
                .push(request);
        }
        let from = self.nodes[i].info.id;
        for (owner, requests) in batches {
            let Some(to) = self.nodes.iter().position(|n| n.info.id == owner) else {
                continue;
            };
            let size = LimitRequest::Credit(requests.clone()).encode().len();
            self.send(i, to, Message::CreditRequests(from, requests), size);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, size: usize) {
        if from != to {
            self.messages += 1;
            self.bytes += (size + FRAME_BYTES) as u64;
        }
        if self.blocked.contains(&(from, to)) || self.rng.random_bool(self.net.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplicate));
        for _ in 0..copies {
            let mut delay = self.delay(from, to);
            if self.rng.random_bool(self.net.late) {
                delay += self.rng.random_range(0..=self.net.late_max);
            }
            self.schedule(self.at + delay, Event::Deliver(to, message.clone()));
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        if from == to {
            return 10;
        }
        let same = self.nodes[from].info.zone == self.nodes[to].info.zone;
        let base = if same { 300 } else { 1_000 };
        base + self.rng.random_range(0..200)
    }

    fn deliver(&mut self, i: usize, now: Time, message: Message) {
        match message {
            Message::Claim(claim) => self.vote(i, now, claim),
            // A response belongs to the connection of its call, which ends with the process.
            Message::Vote(to, ..) if to != self.nodes[i].info.id => {}
            Message::Vote(_, voter, vote) => {
                let node = &mut self.nodes[i];
                node.owner.record_vote(now, &node.placement, voter, &vote);
            }
            Message::CreditRequests(from, requests) => self.respond(i, now, from, requests),
            Message::HandoverRequest(from, request) => self.hand_over(i, now, from, request),
            Message::Handovers(from, sent, mut handovers) => {
                if self.mutant == Mutant::UncountedHandover {
                    let buckets = handovers.iter_mut().flat_map(|h| &mut h.buckets);
                    buckets.for_each(|b| b.outstanding = 0);
                }
                let node = &mut self.nodes[i];
                node.owner.receive_handovers(now, sent, from, &handovers);
                let shards = handovers.iter().map(|h| h.shard);
                let claims = node.owner.claims(now, &node.placement, shards);
                self.send_claims(i, claims);
            }
            Message::CreditResponses(responses) => {
                for response in &responses {
                    self.nodes[i].limiter.receive(now, response);
                }
            }
        }
    }

    fn vote(&mut self, i: usize, now: Time, claim: Claim) {
        let node = &mut self.nodes[i];
        if self.mutant == Mutant::EarlyTakeover {
            node.voter = Voter::new(Time::ZERO);
        }
        let Some(vote) = node.voter.vote(now, &node.placement.layouts(), &claim) else {
            return;
        };
        let addr = node.info.addr;
        let size = LimitResponse::Vote(vote.clone()).encode().len();
        if let Some(to) = self.nodes.iter().position(|n| n.info.id == claim.node) {
            self.send(i, to, Message::Vote(claim.node, addr, vote), size);
        }
    }

    fn respond(&mut self, i: usize, now: Time, from: NodeId, requests: Vec<CreditRequest>) {
        let node = &mut self.nodes[i];
        let responses: Vec<CreditResponse> = requests
            .iter()
            .map(|request| {
                node.owner
                    .serve(now, &node.placement, from, request, &self.allowances)
            })
            .collect();
        if let Some(to) = self.nodes.iter().position(|n| n.info.id == from) {
            let size = LimitResponse::Credit(responses.clone()).encode().len();
            self.send(i, to, Message::CreditResponses(responses), size);
        }
    }

    fn hand_over(&mut self, i: usize, now: Time, from: NodeId, request: HandoverRequest) {
        let node = &mut self.nodes[i];
        let handovers = node
            .owner
            .hand_over(now, &node.placement, from, &request.shards);
        self.handovers += handovers.len();
        let me = node.info.id;
        if let Some(to) = self.nodes.iter().position(|n| n.info.id == from) {
            let bytes = LimitResponse::Handover(handovers).encode();
            let size = bytes.len();
            let Ok(LimitResponse::Handover(handovers)) = LimitResponse::decode(bytes) else {
                panic!("handovers must survive encoding");
            };
            self.send(i, to, Message::Handovers(me, request.sent, handovers), size);
        }
    }

    /// Returns the index of the node that holds the lease on an account's shard.
    pub fn owner_of(&self, account: &AccountName) -> Option<usize> {
        let shard = Shard::of(account);
        self.nodes
            .iter()
            .position(|n| n.up && n.owner.holds(n.now(self.at), &n.placement, shard))
    }
}

/// Returns the times of the first pair of admissions between which `rate * t + burst` is exceeded.
///
/// The admissions between two of them exceed `rate * t` by the difference of their values
/// `count - rate * at`, which is largest from the lowest earlier value; one pass with a running
/// minimum therefore checks every pair.
pub fn first_violation(admitted: &[u64], limit: Allowance) -> Option<(u64, u64)> {
    let rate = i128::from(limit.rate.as_millis());
    let burst = i128::from(limit.burst.0) * 1_000_000_000;
    let mut lowest: Option<(i128, u64)> = None;
    for (k, at) in admitted.iter().enumerate() {
        let value = k as i128 * 1_000_000_000 - rate * i128::from(*at);
        if lowest.is_none_or(|(v, _)| value < v) {
            lowest = Some((value, *at));
        }
        let (first_value, first) = lowest?;
        if value + 1_000_000_000 - first_value > burst {
            return Some((first, *at));
        }
    }
    None
}

/// Returns the times at which requests of an account were admitted.
pub fn admitted(sim: &Sim, account: &AccountName) -> Vec<u64> {
    let results = sim.results.iter();
    results
        .filter(|e| e.account == *account && e.refused.is_none())
        .map(|e| e.at)
        .collect()
}

/// Time after which the shards of a new fleet have owners.
pub const STARTUP_TIME: u64 = LEASE.as_micros() as u64 + SEC;
