//! Runs the rate limits of a node: leases, grants and local tokens.

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
    Accounts, Admit, Allowance, Answer, Ask, BATCH_PERIOD, Ballot, Claim, Holder, LEASE, Moves,
    Owner, Placement, Seat, Shard, Site, Take, Ticket,
};
use crate::metrics::Metrics;
use crate::node::components::{ActiveConfig, RateLimiter};
use crate::outcome::{Reason, Refusal};
use crate::time::{Clock, Monotonic, Time};
use crate::units::{Position, Rate};
use crate::wire::{Channel, Hello, LimitRequest, LimitResponse, Peer, Secret};

/// Parts of the state, each under its own lock.
const PART_COUNT: u16 = 16;

/// Longest time for a call; a holder sends a lost ask again sooner, and a late answer still counts.
const CALL_TIME: Duration = Duration::from_millis(500);

/// Longest sleep between two looks at waiting requests.
const POLL_MAX: Duration = Duration::from_millis(100);

/// Ticks between two sweeps of buckets that are not in use.
const SWEEP_TICKS: u64 = 10;

type Verdict = std::result::Result<(), Refusal>;

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
    parts: Vec<Part>,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
    /// Shards owned at the last look, for the log.
    owned: AtomicUsize,
    /// What the seats said of their registries.
    moves: Mutex<Moves>,
    /// Position of the last registry that is known to be accepted.
    accepted: AtomicU64,
    /// True once the registry was proved current; before that the seats of a process that has
    /// restarted could vote by an earlier one.
    confirmed: AtomicBool,
    /// True while this node lacks proof that its registry is current; it owns nothing then.
    stale: AtomicBool,
}

/// The shards whose number leaves the same rest.
#[derive(Debug)]
struct Part {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Debug)]
struct State {
    holder: Holder,
    owner: Owner,
    seat: Seat,
    waiting: BTreeMap<Ticket, oneshot::Sender<Verdict>>,
}

impl State {
    /// Passes on the waits that have ended and returns the asks that are due.
    fn flush(&mut self, now: Time) -> Vec<Ask> {
        for done in self.holder.take_done() {
            if let Some(sender) = self.waiting.remove(&done.ticket) {
                // The request may be gone; its token is lost to the account, never spent twice.
                let _ = sender.send(done.result);
            }
        }
        self.holder.take_asks(now)
    }
}

impl Part {
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

/// Which part handles a shard.
fn part_of(shard: Shard) -> usize {
    usize::from(shard.0 % PART_COUNT)
}

impl RateLimits {
    /// Creates the limits of the node `hello`, which has just started.
    ///
    /// Its seats abstain for one lease, so a fleet that starts as a whole refuses requests with a
    /// key as `starting` for about that time.
    pub fn new(
        config: Arc<ActiveConfig>,
        secret: Secret,
        hello: Hello,
        metrics: Metrics,
    ) -> RateLimits {
        let clock = Monotonic::new();
        let me = NodeId(hello.id);
        let now = clock.now();
        let new_part = |_| Part {
            state: Mutex::new(State {
                holder: Holder::new(rand::random()),
                owner: Owner::new(me),
                seat: Seat::new(now),
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
            parts: (0..PART_COUNT).map(new_part).collect(),
            peers: Mutex::default(),
            owned: AtomicUsize::new(0),
            moves: Mutex::default(),
            accepted: AtomicU64::new(0),
            confirmed: AtomicBool::new(false),
            stale: AtomicBool::new(false),
        }
    }

    /// Takes over the registry at `position`.
    ///
    /// `is_next` says that no registry between it and the last one was left out.
    pub fn follow(&self, position: Position, is_next: bool, registry: &Registry) {
        let sites: Vec<Site> = registry
            .members()
            .iter()
            .map(|m| Site {
                id: m.id,
                addr: m.addr,
                zone: m.zone.clone(),
            })
            .collect();
        self.change_placement(|p| p.follow(position, is_next, &sites, registry.demoted()));
        self.lock_peers()
            .retain(|addr, _| sites.iter().any(|site| site.addr == *addr));
    }

    /// Takes over this node's view of which nodes are alive.
    pub fn set_live(&self, live: impl Fn(NodeId) -> bool) {
        self.change_placement(|p| p.set_live(&live));
    }

    /// Takes over this node's view of which nodes leave, in any order.
    pub fn set_leaving(&self, leaving: &[NodeId]) {
        self.change_placement(|p| p.set_leaving(leaving.to_vec()));
    }

    /// Takes in whether this node's registry is proved current.
    pub fn confirm(&self, is_fresh: bool) {
        self.confirmed.fetch_or(is_fresh, Ordering::AcqRel);
        self.stale.store(!is_fresh, Ordering::Release);
    }

    /// Takes in that the registry at `position` is accepted.
    pub fn accept(&self, position: Position) {
        self.accepted.fetch_max(position.0, Ordering::AcqRel);
    }

    fn change_placement(&self, change: impl Fn(&mut Placement)) {
        self.placement.rcu(|old| {
            let mut placement = Placement::clone(old);
            change(&mut placement);
            placement
        });
    }

    /// Takes in that the fleet was small before this process started, so that its seats abstain for a
    /// short lease only.
    pub fn was_small(&self) {
        for part in &self.parts {
            part.lock().seat.had_short_votes();
        }
    }

    /// Forgets the seats of registries before the one at `position`.
    ///
    /// To be called once that has been accepted for longer than the lifetime of evidence and a
    /// lease, or when it is known in another way that no earlier lease can be valid. Until then a
    /// lease needs the old seats as well.
    pub fn settle(&self, position: Position) {
        if position > self.placement.load().settled() {
            self.change_placement(|p| {
                p.settle_at(position);
            });
            log::info!(event = "seats-settled", registry:% = position; "earlier seats are forgotten");
        }
    }

    /// Returns the longest vote that a seat may have given of late.
    pub fn longest_vote(&self) -> Duration {
        self.placement.load().longest_vote()
    }

    /// Settles what the ballots of the seats allow.
    fn settle_moved(&self, now: Time) {
        let accepted = Position(self.accepted.load(Ordering::Acquire));
        let placement = self.placement.load();
        let mut moves = self.lock_moves();
        if let Some(position) = moves.settled(now, &placement, accepted) {
            self.settle(position);
        }
        moves.forget(&self.placement.load());
    }

    fn lock_moves(&self) -> MutexGuard<'_, Moves> {
        self.moves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request of `account` or refuses it, after at most `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the refusal with the time when a token will exist.
    pub async fn admit(self: &Arc<Self>, account: &Account, deadline: Duration) -> Verdict {
        let shard = Shard::of(&account.name);
        if self.placement.load().candidate(shard).is_none() {
            return Err(Refusal::after(Reason::Starting, LEASE));
        }
        let part = &self.parts[part_of(shard)];
        let (admit, asks, waiter) = {
            let mut state = part.lock();
            let now = self.clock.now();
            let admit = state.holder.admit(now, &account.name);
            let waiter = match admit {
                Admit::Ask(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    Some(receiver)
                }
                _ => None,
            };
            let asks = match state.holder.has_asks() {
                true => state.flush(now),
                false => Vec::new(),
            };
            (admit, asks, waiter)
        };
        self.send_asks(asks);
        match (admit, waiter) {
            (Admit::Refused(refusal), _) => Err(refusal),
            (_, Some(receiver)) => {
                part.wake.notify_one();
                wait_for(receiver, deadline).await
            }
            _ => Ok(()),
        }
    }

    /// Runs the limits until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let polls = (0..self.parts.len()).map(|i| self.keep_polled(i));
        tokio::join!(
            futures::future::join_all(polls),
            self.keep_ticking(),
            self.follow_config(),
        );
    }

    /// Ends waits of one part in time.
    async fn keep_polled(self: &Arc<Self>, index: usize) {
        let part = &self.parts[index];
        loop {
            let (asks, wait) = {
                let mut state = part.lock();
                let now = self.clock.now();
                state.holder.poll(now);
                let asks = state.flush(now);
                let next = state.holder.next_poll(now);
                (asks, next.map(|at| at.since(now)))
            };
            self.send_asks(asks);
            match wait {
                Some(wait) => {
                    // A timer of the runtime counts whole milliseconds.
                    let wait = wait.clamp(Duration::from_millis(1), POLL_MAX);
                    tokio::select! {
                        () = sleep(wait) => {}
                        () = part.wake.notified() => {}
                    }
                }
                None => part.wake.notified().await,
            }
        }
    }

    async fn keep_ticking(self: &Arc<Self>) {
        let mut ticks = interval(BATCH_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0;
        loop {
            ticks.tick().await;
            count += 1;
            self.tick(count % SWEEP_TICKS == 0);
        }
    }

    /// Returns the shards of accounts with a limit.
    fn limited_shards(&self) -> Vec<Shard> {
        let Some(config) = self.config.load() else {
            return Vec::new();
        };
        let limited = config.accounts().filter(|a| a.rate != Rate::default());
        limited.map(|a| Shard::of(&a.name)).collect()
    }

    /// Renews leases and reports to owners; all messages to one node go together.
    fn tick(self: &Arc<Self>, sweep: bool) {
        let now = self.clock.now();
        self.settle_moved(now);
        let placement = self.placement.load_full();
        let owns = !self.stale.load(Ordering::Acquire);
        let limited = match owns {
            true => self.limited_shards(),
            false => Vec::new(),
        };
        let mut claims: BTreeMap<SocketAddr, Claim> = BTreeMap::new();
        let mut takes: Vec<(NodeId, Take)> = Vec::new();
        let mut asks = Vec::new();
        let (mut owned, mut used, mut buckets) = (0, 0, 0);
        for (index, part) in self.parts.iter().enumerate() {
            let mut state = part.lock();
            // Only shards of accounts with a limit are worth a lease, and those that are held.
            let mut shards = shards_of(&limited, index);
            if owns {
                shards.extend(state.owner.shards());
            }
            shards.sort_unstable();
            shards.dedup();
            for (seat, claim) in state.owner.claims(now, &placement, shards) {
                merge_claim(&mut claims, seat, claim);
            }
            takes.extend(state.owner.takes(now, &placement));
            asks.extend(state.holder.tick(now));
            asks.extend(state.flush(now));
            if sweep {
                state.seat.expire(now);
                state.owner.expire(now);
            }
            owned += state.owner.shard_count();
            used += state.holder.account_count();
            buckets += state.owner.bucket_count();
        }
        for (seat, claim) in claims {
            self.send_claim(&placement, seat, claim);
        }
        for (owner, take) in merge_takes(now, takes) {
            if let Some(addr) = placement.addr(owner) {
                tokio::spawn(self.clone().take_over(owner, addr, take));
            }
        }
        self.send_asks(asks);
        if sweep {
            let before = self.owned.swap(owned, Ordering::Relaxed);
            if before != owned {
                log::info!(
                    event = "limit-leases", owned, before, accounts = used;
                    "leases of rate limits changed"
                );
            }
            self.metrics.gauge("limit.shards", owned as u64);
            self.metrics.gauge("limit.accounts", used as u64);
            self.metrics.gauge("limit.buckets", buckets as u64);
        }
    }

    /// Takes over shards of a leaving owner and claims them at once.
    async fn take_over(self: Arc<Self>, owner: NodeId, addr: SocketAddr, take: Take) {
        let sent = take.sent;
        let offers = match self.call(addr, &LimitRequest::Handover(take)).await {
            Ok(LimitResponse::Handover(offers)) => offers,
            Ok(_) => return self.metrics.count("limit.bad_replies"),
            Err(_) => return self.metrics.count("limit.lost_takes"),
        };
        let placement = self.placement.load_full();
        let mut claims: BTreeMap<SocketAddr, Claim> = BTreeMap::new();
        // One claim time for all parts, since a seat ignores a claim that was sent before another.
        let now = self.clock.now();
        for offer in offers {
            let mut state = self.parts[part_of(offer.shard)].lock();
            let shard = offer.shard;
            state.owner.take(now, sent, owner, &[offer]);
            for (seat, claim) in state.owner.claims(now, &placement, [shard]) {
                merge_claim(&mut claims, seat, claim);
            }
        }
        for (seat, claim) in claims {
            self.send_claim(&placement, seat, claim);
        }
    }

    /// Tells the owners of changed limits, so that a higher burst fills at the new rate.
    async fn follow_config(&self) {
        let mut changes = self.config.changes();
        let mut known = self.config.load();
        while changes.changed().await.is_ok() {
            let current = self.config.load();
            if let (Some(old), Some(new)) = (&known, &current) {
                self.change_accounts(old, new);
            }
            known = current;
        }
    }

    fn change_accounts(&self, old: &Config, new: &Config) {
        for account in new.accounts() {
            let after = allowance_of(account);
            let Some(before) = old.allowance(&account.name).filter(|b| *b != after) else {
                continue;
            };
            let mut state = self.parts[part_of(Shard::of(&account.name))].lock();
            let now = self.clock.now();
            state.owner.change(now, &account.name, before, after);
        }
    }

    fn send_claim(self: &Arc<Self>, placement: &Placement, seat: SocketAddr, claim: Claim) {
        if placement.addr(self.me) == Some(seat) {
            if let Some(ballot) = self.vote(&claim) {
                self.book_ballot(seat, &ballot);
            }
            return;
        }
        let this = self.clone();
        tokio::spawn(async move {
            let request = LimitRequest::Claim(claim);
            match this.call(seat, &request).await {
                Ok(LimitResponse::Vote(ballot)) => this.book_ballot(seat, &ballot),
                Ok(_) => this.metrics.count("limit.bad_replies"),
                Err(_) => this.metrics.count("limit.lost_claims"),
            }
        });
    }

    fn book_ballot(&self, seat: SocketAddr, ballot: &Ballot) {
        let heard = self.clock.now();
        self.lock_moves().hear(heard, seat, ballot.registry);
        self.settle(ballot.settled);
        let placement = self.placement.load();
        for (index, part) in self.parts.iter().enumerate() {
            let share = Ballot {
                sent: ballot.sent,
                length: ballot.length,
                granted: shards_of(&ballot.granted, index),
                held: ballot
                    .held
                    .iter()
                    .filter(|held| part_of(held.shard) == index)
                    .copied()
                    .collect(),
                abstains: ballot.abstains,
                registry: ballot.registry,
                settled: ballot.settled,
            };
            let mut state = part.lock();
            let now = self.clock.now();
            state.owner.ballot(now, &placement, seat, &share);
        }
    }

    /// Sends asks to the owners, one message each.
    fn send_asks(self: &Arc<Self>, asks: Vec<Ask>) {
        if asks.is_empty() {
            return;
        }
        let placement = self.placement.load_full();
        let mut batches: BTreeMap<NodeId, Vec<Ask>> = BTreeMap::new();
        for ask in asks {
            let shard = Shard::of(&ask.account);
            let state = self.parts[part_of(shard)].lock();
            if let Some(owner) = state.holder.owner_of(&placement, shard) {
                batches.entry(owner).or_default().push(ask);
            }
        }
        for (owner, asks) in batches {
            let this = self.clone();
            let addr = placement.addr(owner);
            // Spawned also for this node itself, since booking an answer may send further asks.
            tokio::spawn(async move {
                if owner == this.me {
                    let answers = this.answer(owner, &asks);
                    this.book_answers(&answers);
                } else if let Some(addr) = addr {
                    this.ask_owner(addr, asks).await;
                }
            });
        }
    }

    async fn ask_owner(self: &Arc<Self>, addr: SocketAddr, asks: Vec<Ask>) {
        match self.call(addr, &LimitRequest::Credit(asks)).await {
            Ok(LimitResponse::Credit(answers)) => self.book_answers(&answers),
            Ok(_) => self.metrics.count("limit.bad_replies"),
            Err(_) => self.metrics.count("limit.lost_asks"),
        }
    }

    fn book_answers(self: &Arc<Self>, answers: &[Answer]) {
        let mut asks = Vec::new();
        for answer in answers {
            let part = &self.parts[part_of(Shard::of(&answer.account))];
            let mut state = part.lock();
            let now = self.clock.now();
            state.holder.receive(now, answer);
            asks.extend(state.flush(now));
            // The answer may hold tokens for later than the poll that is planned.
            part.wake.notify_one();
        }
        self.send_asks(asks);
    }

    async fn call(&self, addr: SocketAddr, request: &LimitRequest) -> Result<LimitResponse> {
        let payload = request.encode();
        self.metrics.count("limit.messages");
        let reply = self
            .peer(addr)
            .call(Channel::Limit, payload, CALL_TIME)
            .await?;
        LimitResponse::decode(reply)
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
    async fn admit(&self, account: &Account, deadline: Duration) -> Verdict {
        RateLimits::admit(self, account, deadline).await
    }
}

async fn wait_for(receiver: oneshot::Receiver<Verdict>, deadline: Duration) -> Verdict {
    match timeout(deadline, receiver).await {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_)) => Err(Refusal::new(Reason::Draining)),
        Err(_) => Err(Refusal::new(Reason::Deadline)),
    }
}

fn shards_of(shards: &[Shard], part: usize) -> Vec<Shard> {
    let own = shards.iter().filter(|shard| part_of(**shard) == part);
    own.copied().collect()
}

fn merge_claim(claims: &mut BTreeMap<SocketAddr, Claim>, seat: SocketAddr, claim: Claim) {
    match claims.get_mut(&seat) {
        None => {
            claims.insert(seat, claim);
        }
        Some(total) => {
            total.claim.extend(claim.claim);
            total.release.extend(claim.release);
            total.succeeds.extend(claim.succeeds);
        }
    }
}

/// Joins the questions of all parts to one for each owner.
fn merge_takes(now: Time, takes: Vec<(NodeId, Take)>) -> BTreeMap<NodeId, Take> {
    let mut merged = BTreeMap::new();
    for (owner, take) in takes {
        let new_take = || Take {
            sent: now,
            shards: Vec::new(),
        };
        let total: &mut Take = merged.entry(owner).or_insert_with(new_take);
        total.shards.extend(take.shards);
    }
    merged
}
