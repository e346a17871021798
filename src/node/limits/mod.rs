//! The rate limits of a node: leases on shards, credit for other nodes, and local tokens.

mod serve;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::{Notify, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::config::{Account, Config};
use crate::error::Result;
use crate::fleet::Registry;
use crate::ids::{AccountName, NodeId};
use crate::limit::{
    Accounts, AdmitResult, Allowance, BATCH_PERIOD, Claim, CreditRequest, CreditResponse,
    HandoverRequest, LEASE, LeaseVote, LocalLimiter, NodeInfo, OpenClaim, Owner, Placement, Shard,
    Ticket, Voter, VoterProgress,
};
use crate::metrics::Metrics;
use crate::node::components::{ActiveConfig, RateLimiter};
use crate::outcome::{Reason, Refusal};
use crate::time::{Clock, Monotonic, Time};
use crate::units::{Position, Rate};
use crate::wire::{Channel, Hello, LimitRequest, LimitResponse, Peer, Secret};

/// Number of stripes of the state, each with its own lock.
const STRIPE_COUNT: u16 = 16;

/// Timeout of a call; a lost credit request is sent again sooner, and a late response still counts.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time between two polls of waiting requests.
const POLL_MAX: Duration = Duration::from_millis(100);

/// Ticks between two removals of unused buckets.
const SWEEP_TICKS: u64 = 10;

type AdmissionResult = std::result::Result<(), Refusal>;

/// The rate limits of one node.
#[derive(Debug)]
pub struct RateLimits {
    me: NodeId,
    clock: Monotonic,
    config: Arc<ActiveConfig>,
    secret: Secret,
    hello: Hello,
    metrics: Metrics,
    placement: ArcSwap<Placement>,
    stripes: Vec<Stripe>,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// Number of shards owned at the last sweep, for the log.
    owned: AtomicUsize,
    /// The registry that each voter has reached, from the positions in its votes.
    progress: Mutex<VoterProgress>,
    /// Position of the last registry that is known to be accepted.
    accepted: AtomicU64,
    /// True once the registry has been proved current; before that the voters of a restarted
    /// process could vote by an earlier registry.
    confirmed: AtomicBool,
    /// True while this node lacks a freshness proof of its registry; it owns no shards then.
    stale: AtomicBool,
}

/// One stripe of the state: the shards whose numbers have the same remainder modulo
/// [`STRIPE_COUNT`].
#[derive(Debug)]
struct Stripe {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Debug)]
struct State {
    limiter: LocalLimiter,
    owner: Owner,
    voter: Voter,
    waiting: BTreeMap<Ticket, oneshot::Sender<AdmissionResult>>,
}

impl State {
    /// Notifies the waiting requests that are decided and returns the credit requests that are due.
    fn flush(&mut self, now: Time) -> Vec<CreditRequest> {
        for done in self.limiter.take_results() {
            if let Some(sender) = self.waiting.remove(&done.ticket) {
                // The request may be cancelled; its token is then lost, but never spent twice.
                let _ = sender.send(done.result);
            }
        }
        self.limiter.take_due(now)
    }
}

impl Stripe {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Accounts for Config {
    fn allowance(&self, name: &AccountName) -> Option<Allowance> {
        self.account(name).map(allowance_of)
    }
}

fn allowance_of(account: &Account) -> Allowance {
    Allowance {
        rate: account.rate,
        burst: account.burst,
    }
}

/// Returns the stripe of a shard.
fn stripe_of(shard: Shard) -> usize {
    usize::from(shard.0 % STRIPE_COUNT)
}

impl RateLimits {
    /// Creates the limits of the node `hello`, which has just started.
    ///
    /// Its voters abstain for one lease, so a fleet whose nodes all start at once refuses keyed
    /// requests as `starting` for about that time.
    pub fn new(
        config: Arc<ActiveConfig>,
        secret: Secret,
        hello: Hello,
        metrics: Metrics,
    ) -> RateLimits {
        let clock = Monotonic::new();
        let me = NodeId(hello.id);
        let now = clock.now();
        let new_stripe = |_| Stripe {
            state: Mutex::new(State {
                limiter: LocalLimiter::new(rand::random()),
                owner: Owner::new(me),
                voter: Voter::new(now),
                waiting: BTreeMap::new(),
            }),
            wake: Notify::new(),
        };
        RateLimits {
            me,
            clock,
            config,
            secret,
            hello,
            metrics,
            placement: ArcSwap::from_pointee(Placement::new(me)),
            stripes: (0..STRIPE_COUNT).map(new_stripe).collect(),
            peers: Mutex::default(),
            owned: AtomicUsize::new(0),
            progress: Mutex::default(),
            accepted: AtomicU64::new(0),
            confirmed: AtomicBool::new(false),
            stale: AtomicBool::new(false),
        }
    }

    /// Applies the registry at `position`.
    ///
    /// `is_next` is true if no registry between it and the last one was skipped.
    pub fn set_registry(&self, position: Position, is_next: bool, registry: &Registry) {
        let nodes: Vec<NodeInfo> = registry
            .members()
            .iter()
            .map(|m| NodeInfo {
                id: m.id,
                addr: m.addr,
                zone: m.zone.clone(),
            })
            .collect();
        self.change_placement(|p| p.set_registry(position, is_next, &nodes, registry.demoted()));
        self.lock_peers()
            .retain(|addr, _| nodes.iter().any(|node| node.addr == *addr));
    }

    /// Sets which nodes are alive in this node's view.
    pub fn set_live(&self, live: impl Fn(NodeId) -> bool) {
        self.change_placement(|p| p.set_live(&live));
    }

    /// Sets which nodes are leaving in this node's view, in any order.
    pub fn set_leaving(&self, leaving: &[NodeId]) {
        self.change_placement(|p| p.set_leaving(leaving.to_vec()));
    }

    /// Sets whether this node's registry is proved current.
    pub fn set_fresh(&self, is_fresh: bool) {
        self.confirmed.fetch_or(is_fresh, Ordering::AcqRel);
        self.stale.store(!is_fresh, Ordering::Release);
    }

    /// Records that the registry at `position` is accepted.
    pub fn set_accepted(&self, position: Position) {
        self.accepted.fetch_max(position.0, Ordering::AcqRel);
    }

    fn change_placement(&self, change: impl Fn(&mut Placement)) {
        self.placement.rcu(|old| {
            let mut placement = Placement::clone(old);
            change(&mut placement);
            placement
        });
    }

    /// Makes the voters abstain for a short lease only, since the fleet was small before this
    /// process started.
    pub fn assume_short_leases(&self) {
        for stripe in &self.stripes {
            stripe.lock().voter.assume_short_leases();
        }
    }

    /// Drops the voters of registries before the one at `position`.
    ///
    /// Call this only once that registry has been accepted for longer than the lifetime of a
    /// freshness proof and a lease, or if no earlier lease can be valid for another reason. Until
    /// then a lease needs the votes of the old voters too.
    pub fn settle(&self, position: Position) {
        if position > self.placement.load().settled() {
            self.change_placement(|p| {
                p.settle_at(position);
            });
            log::info!(
                event = "registry-settled", registry:% = position;
                "registry settled; voters of earlier registries dropped"
            );
        }
    }

    /// Returns the longest duration of a vote that may still be valid.
    pub fn longest_vote(&self) -> Duration {
        self.placement.load().longest_vote()
    }

    /// Settles the newest registry that enough voters have reached, by the positions in their
    /// votes.
    fn settle_reached(&self, now: Time) {
        let accepted = Position(self.accepted.load(Ordering::Acquire));
        let placement = self.placement.load();
        let mut progress = self.lock_progress();
        if let Some(position) = progress.newest_settled(now, &placement, accepted) {
            self.settle(position);
        }
        progress.prune(&self.placement.load());
    }

    fn lock_progress(&self) -> MutexGuard<'_, VoterProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request of `account` or refuses it; it waits for a token for about `token_wait`, and
    /// never longer than `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the time until a token is available.
    pub async fn admit(
        self: &Arc<Self>,
        account: &Account,
        token_wait: Duration,
        max_wait: Duration,
    ) -> AdmissionResult {
        let shard = Shard::of(&account.name);
        if self.placement.load().candidate(shard).is_none() {
            return Err(Refusal::after(Reason::Starting, LEASE));
        }
        let stripe = &self.stripes[stripe_of(shard)];
        let (admit, requests, waiter) = {
            let mut state = stripe.lock();
            let now = self.clock.now();
            let admit = state.limiter.admit(now, &account.name, token_wait);
            let waiter = match admit {
                AdmitResult::Waiting(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    Some(receiver)
                }
                _ => None,
            };
            let requests = match state.limiter.has_due() {
                true => state.flush(now),
                false => Vec::new(),
            };
            (admit, requests, waiter)
        };
        self.send_requests(requests);
        let result = match (admit, waiter) {
            (AdmitResult::Refused(refusal), _) => Err(refusal),
            (_, Some(receiver)) => {
                stripe.wake.notify_one();
                wait_for(receiver, max_wait).await
            }
            _ => Ok(()),
        };
        if let Err(refusal) = &result
            && refusal.reason == Reason::Starting
        {
            self.log_no_owner(account, shard);
        }
        result
    }

    /// Logs which node did not respond to the credit requests of an account.
    fn log_no_owner(&self, account: &Account, shard: Shard) {
        let placement = self.placement.load();
        let state = self.stripes[stripe_of(shard)].lock();
        let owner = state.limiter.owner_of(&placement, shard);
        let silent_for = state.limiter.no_owner_for(self.clock.now(), &account.name);
        drop(state);
        let addr = owner.and_then(|owner| placement.addr(owner));
        log::info!(
            event = "limit-no-owner", account:% = account.name, shard:% = shard, owner:? = owner,
            address:? = addr, ms = silent_for.as_millis() as u64;
            "no response of the owner of a rate limit"
        );
    }

    /// Runs the rate limits until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let polls = (0..self.stripes.len()).map(|i| self.run_polls(i));
        tokio::join!(
            futures::future::join_all(polls),
            self.run_ticks(),
            self.follow_config(),
        );
    }

    /// Polls the waiting requests of one stripe when they are due.
    async fn run_polls(self: &Arc<Self>, index: usize) {
        let stripe = &self.stripes[index];
        loop {
            let (requests, wait) = {
                let mut state = stripe.lock();
                let now = self.clock.now();
                state.limiter.poll(now);
                let requests = state.flush(now);
                let next = state.limiter.next_poll(now);
                (requests, next.map(|at| at.since(now)))
            };
            self.send_requests(requests);
            match wait {
                Some(wait) => {
                    // Tokio timers have a resolution of one millisecond.
                    let wait = wait.clamp(Duration::from_millis(1), POLL_MAX);
                    tokio::select! {
                        () = sleep(wait) => {}
                        () = stripe.wake.notified() => {}
                    }
                }
                None => stripe.wake.notified().await,
            }
        }
    }

    async fn run_ticks(self: &Arc<Self>) {
        let mut ticks = interval(BATCH_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0;
        loop {
            ticks.tick().await;
            count += 1;
            self.tick(count % SWEEP_TICKS == 0);
        }
    }

    /// Returns the shards of accounts with a rate limit.
    fn limited_shards(&self) -> Vec<Shard> {
        let Some(config) = self.config.load() else {
            return Vec::new();
        };
        let limited = config.accounts().filter(|a| a.rate != Rate::default());
        limited.map(|a| Shard::of(&a.name)).collect()
    }

    /// Renews leases and reports to owners, with one message for each node.
    fn tick(self: &Arc<Self>, sweep: bool) {
        let now = self.clock.now();
        self.settle_reached(now);
        let placement = self.placement.load_full();
        let owns = !self.stale.load(Ordering::Acquire);
        let limited = match owns {
            true => self.limited_shards(),
            false => Vec::new(),
        };
        let mut claims: BTreeMap<SocketAddr, Claim> = BTreeMap::new();
        let mut handovers: Vec<(NodeId, HandoverRequest)> = Vec::new();
        let mut requests = Vec::new();
        let mut open_claims = Vec::new();
        let (mut owned, mut accounts, mut buckets) = (0, 0, 0);
        for (index, stripe) in self.stripes.iter().enumerate() {
            let mut state = stripe.lock();
            // Leases are claimed only for shards with limited accounts and for those held already.
            let mut shards = shards_of(&limited, index);
            if owns {
                shards.extend(state.owner.shards());
            }
            shards.sort_unstable();
            shards.dedup();
            for (voter, claim) in state.owner.claims(now, &placement, shards) {
                merge_claim(&mut claims, voter, claim);
            }
            handovers.extend(state.owner.handover_requests(now, &placement));
            requests.extend(state.limiter.tick(now));
            requests.extend(state.flush(now));
            if sweep {
                open_claims.extend(state.owner.open_claims(now));
                state.voter.expire(now);
                state.owner.expire(now);
            }
            owned += state.owner.shard_count();
            accounts += state.limiter.account_count();
            buckets += state.owner.bucket_count();
        }
        for (voter, claim) in claims {
            self.send_claim(&placement, voter, claim);
        }
        for (owner, request) in merge_handovers(now, handovers) {
            if let Some(addr) = placement.addr(owner) {
                tokio::spawn(self.clone().take_over(owner, addr, request));
            }
        }
        self.send_requests(requests);
        if sweep {
            log_open_claims(&placement, &open_claims);
            let before = self.owned.swap(owned, Ordering::Relaxed);
            if before != owned {
                log::info!(
                    event = "limit-leases", owned, before, accounts = accounts;
                    "leases of rate limits changed"
                );
            }
            self.metrics.gauge("limit.shards", owned as u64);
            self.metrics.gauge("limit.accounts", accounts as u64);
            self.metrics.gauge("limit.buckets", buckets as u64);
        }
    }

    /// Requests the handover of shards from a leaving owner and claims them at once.
    async fn take_over(self: Arc<Self>, owner: NodeId, addr: SocketAddr, request: HandoverRequest) {
        let sent = request.sent;
        let handovers = match self.call(addr, &LimitRequest::Handover(request)).await {
            Ok(LimitResponse::Handover(handovers)) => handovers,
            Ok(_) => return self.metrics.count("limit.bad_replies"),
            Err(_) => return self.metrics.count("limit.lost_takes"),
        };
        let placement = self.placement.load_full();
        let mut claims: BTreeMap<SocketAddr, Claim> = BTreeMap::new();
        // All stripes use the same claim time, since a voter ignores a claim that was sent before
        // one that it has received.
        let now = self.clock.now();
        for handover in handovers {
            let mut state = self.stripes[stripe_of(handover.shard)].lock();
            let shard = handover.shard;
            state.owner.receive_handovers(now, sent, owner, &[handover]);
            for (voter, claim) in state.owner.claims(now, &placement, [shard]) {
                merge_claim(&mut claims, voter, claim);
            }
        }
        for (voter, claim) in claims {
            self.send_claim(&placement, voter, claim);
        }
    }

    /// Applies changed allowances to the owned buckets, so that a higher burst fills at the new
    /// rate.
    async fn follow_config(&self) {
        let mut changes = self.config.changes();
        let mut previous = self.config.load();
        while changes.changed().await.is_ok() {
            let current = self.config.load();
            if let (Some(old), Some(new)) = (&previous, &current) {
                self.change_accounts(old, new);
            }
            previous = current;
        }
    }

    fn change_accounts(&self, old: &Config, new: &Config) {
        for account in new.accounts() {
            let after = allowance_of(account);
            let Some(before) = old.allowance(&account.name).filter(|b| *b != after) else {
                continue;
            };
            let mut state = self.stripes[stripe_of(Shard::of(&account.name))].lock();
            let now = self.clock.now();
            state.owner.set_allowance(now, &account.name, before, after);
        }
    }

    fn send_claim(self: &Arc<Self>, placement: &Placement, voter: SocketAddr, claim: Claim) {
        if placement.addr(self.me) == Some(voter) {
            if let Some(vote) = self.vote(&claim) {
                self.record_vote(voter, &vote);
            }
            return;
        }
        let this = self.clone();
        tokio::spawn(async move {
            let request = LimitRequest::Claim(claim);
            match this.call(voter, &request).await {
                Ok(LimitResponse::Vote(vote)) => this.record_vote(voter, &vote),
                Ok(_) => this.metrics.count("limit.bad_replies"),
                Err(_) => this.metrics.count("limit.lost_claims"),
            }
        });
    }

    fn record_vote(&self, voter: SocketAddr, vote: &LeaseVote) {
        let received = self.clock.now();
        self.lock_progress().record(received, voter, vote.registry);
        self.settle(vote.settled);
        let placement = self.placement.load();
        for (index, stripe) in self.stripes.iter().enumerate() {
            let part = LeaseVote {
                sent: vote.sent,
                length: vote.length,
                granted: shards_of(&vote.granted, index),
                held: vote
                    .held
                    .iter()
                    .filter(|held| stripe_of(held.shard) == index)
                    .copied()
                    .collect(),
                abstains: vote.abstains,
                registry: vote.registry,
                settled: vote.settled,
            };
            let mut state = stripe.lock();
            let now = self.clock.now();
            state.owner.record_vote(now, &placement, voter, &part);
        }
    }

    /// Sends credit requests to the owners, one message each.
    fn send_requests(self: &Arc<Self>, requests: Vec<CreditRequest>) {
        if requests.is_empty() {
            return;
        }
        let placement = self.placement.load_full();
        let mut batches: BTreeMap<NodeId, Vec<CreditRequest>> = BTreeMap::new();
        for request in requests {
            let shard = Shard::of(&request.account);
            let state = self.stripes[stripe_of(shard)].lock();
            if let Some(owner) = state.limiter.owner_of(&placement, shard) {
                batches.entry(owner).or_default().push(request);
            }
        }
        for (owner, requests) in batches {
            let this = self.clone();
            let addr = placement.addr(owner);
            // Spawned for this node too, since recording a response may send further requests.
            tokio::spawn(async move {
                if owner == this.me {
                    let responses = this.serve_credit(owner, &requests);
                    this.record_responses(&responses);
                } else if let Some(addr) = addr {
                    this.request_credit(addr, requests).await;
                }
            });
        }
    }

    async fn request_credit(self: &Arc<Self>, addr: SocketAddr, requests: Vec<CreditRequest>) {
        match self.call(addr, &LimitRequest::Credit(requests)).await {
            Ok(LimitResponse::Credit(responses)) => self.record_responses(&responses),
            Ok(_) => self.metrics.count("limit.bad_replies"),
            Err(_) => self.metrics.count("limit.lost_asks"),
        }
    }

    fn record_responses(self: &Arc<Self>, responses: &[CreditResponse]) {
        let mut requests = Vec::new();
        for response in responses {
            let stripe = &self.stripes[stripe_of(Shard::of(&response.account))];
            let mut state = stripe.lock();
            let now = self.clock.now();
            state.limiter.receive(now, response);
            requests.extend(state.flush(now));
            // The response may make a poll due before the next scheduled one.
            stripe.wake.notify_one();
        }
        self.send_requests(requests);
    }

    async fn call(&self, addr: SocketAddr, request: &LimitRequest) -> Result<LimitResponse> {
        let payload = request.encode();
        self.metrics.count("limit.messages");
        let response = self
            .peer(addr)
            .call(Channel::Limit, payload, CALL_TIMEOUT)
            .await?;
        LimitResponse::decode(response)
    }

    fn peer(&self, addr: SocketAddr) -> Peer {
        self.lock_peers()
            .entry(addr)
            .or_insert_with(|| Peer::new(addr, self.secret.clone(), self.hello))
            .clone()
    }

    fn lock_peers(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RateLimiter for Arc<RateLimits> {
    async fn admit(
        &self,
        account: &Account,
        token_wait: Duration,
        max_wait: Duration,
    ) -> AdmissionResult {
        RateLimits::admit(self, account, token_wait, max_wait).await
    }
}

/// Logs why this node has no lease of the shards for which other nodes request credit.
fn log_open_claims(placement: &Placement, claims: &[OpenClaim]) {
    for claim in claims.iter().filter(|claim| claim.requested) {
        let voters = placement.voters(claim.shard);
        log::info!(
            event = "limit-lease-open", shard:% = claim.shard, votes:? = claim.votes,
            voters:? = voters, holder:? = claim.holder;
            "no lease of a shard"
        );
    }
}

async fn wait_for(
    receiver: oneshot::Receiver<AdmissionResult>,
    max_wait: Duration,
) -> AdmissionResult {
    match timeout(max_wait, receiver).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(Refusal::new(Reason::Draining)),
        Err(_) => Err(Refusal::new(Reason::Deadline)),
    }
}

fn shards_of(shards: &[Shard], stripe: usize) -> Vec<Shard> {
    let own = shards.iter().filter(|shard| stripe_of(**shard) == stripe);
    own.copied().collect()
}

fn merge_claim(claims: &mut BTreeMap<SocketAddr, Claim>, voter: SocketAddr, claim: Claim) {
    match claims.get_mut(&voter) {
        None => {
            claims.insert(voter, claim);
        }
        Some(total) => {
            total.claim.extend(claim.claim);
            total.release.extend(claim.release);
            total.succeeds.extend(claim.succeeds);
        }
    }
}

/// Merges the handover requests of all stripes into one for each owner.
fn merge_handovers(
    now: Time,
    handovers: Vec<(NodeId, HandoverRequest)>,
) -> BTreeMap<NodeId, HandoverRequest> {
    let mut merged = BTreeMap::new();
    for (owner, request) in handovers {
        let new_request = || HandoverRequest {
            sent: now,
            shards: Vec::new(),
        };
        let total: &mut HandoverRequest = merged.entry(owner).or_insert_with(new_request);
        total.shards.extend(request.shards);
    }
    merged
}
