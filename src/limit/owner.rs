//! Leases on shards and the buckets of the shards that a node owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{AccountName, NodeId};
use crate::limit::bucket::Bucket;
use crate::limit::handover::{ReceivedHandover, SentHandover};
use crate::limit::{
    Claim, CreditRequest, CreditResponse, CreditResult, HandoverRequest, HandoverTicket, LeaseVote,
    Placement, Shard, ShardHandover, Succession,
};
use crate::time::Time;
use crate::units::{Burst, Rate};

/// Time for which an ask makes a node a candidate for the shard.
const WANTED_TIME: Duration = Duration::from_secs(1);

/// Rate and burst of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Tokens minted per second.
    pub rate: Rate,
    /// Most tokens that exist at one instant.
    pub burst: Burst,
}

/// The accounts in force.
pub trait Accounts {
    /// Returns the allowance of an account, or `None` if it is unknown.
    fn allowance(&self, name: &AccountName) -> Option<Allowance>;
}

/// A node's part as owner of shards: it wins leases and grants tokens.
#[derive(Clone, Debug)]
pub struct Owner {
    node: NodeId,
    shards: BTreeMap<Shard, ShardState>,
    leases: u64,
    tickets: u64,
    /// Offers made as a leaving owner.
    given: BTreeMap<Shard, SentHandover>,
    /// Latest release among the shards that have been forgotten.
    released: Time,
}

/// What the node knows about one shard.
#[derive(Clone, Debug, Default)]
struct ShardState {
    votes: BTreeMap<SocketAddr, Time>,
    next_claim: Time,
    /// Until when holders' asks make this node a candidate.
    wanted: Time,
    /// Send time of the last release; ballots of earlier claims are void.
    released: Time,
    /// Until when grants of any lease of this node may be valid.
    promised: Time,
    other: Option<OtherOwner>,
    lease: Option<Lease>,
    /// Ticket of the offer that this node asks a leaving owner for.
    ticket: Option<u64>,
    taken: Option<ReceivedHandover>,
    /// Until when grants of the owner that has made an offer may be valid.
    blocked: Time,
}

/// Another node that a seat has voted for.
#[derive(Clone, Copy, Debug)]
struct OtherOwner {
    node: NodeId,
    until: Time,
}

/// A lease that this node holds.
#[derive(Clone, Debug)]
struct Lease {
    number: u64,
    since: Time,
    buckets: BTreeMap<AccountName, Bucket>,
}

impl Lease {
    /// Begins a lease with what was taken over, or else empty from `blocked` on.
    fn begin(number: u64, now: Time, blocked: Time, taken: Option<ReceivedHandover>) -> Lease {
        match taken.filter(|t| t.is_valid(now)) {
            Some(taken) => Lease {
                number,
                since: taken.since(),
                buckets: taken.buckets().collect(),
            },
            None => Lease {
                number,
                since: now.max(blocked),
                buckets: BTreeMap::new(),
            },
        }
    }
}

impl ShardState {
    /// Creates a tenure; ballots of claims sent until `released` are void.
    fn new(released: Time) -> ShardState {
        ShardState {
            released,
            ..ShardState::default()
        }
    }

    /// Returns the time until which a majority of each set of seats has voted for this node.
    fn until(&self, placement: &Placement, shard: Shard) -> Time {
        placement
            .voter_sets(shard)
            .map(|voters| self.majority_until(voters))
            .min()
            .unwrap_or(Time::ZERO)
    }

    fn majority_until(&self, voters: &[SocketAddr]) -> Time {
        let mut votes: Vec<Time> = voters
            .iter()
            .filter_map(|s| self.votes.get(s))
            .copied()
            .collect();
        votes.sort();
        let majority = voters.len() / 2 + 1;
        match votes.len().checked_sub(majority) {
            Some(index) => votes[index],
            None => Time::ZERO,
        }
    }

    /// Drops a lease that has ended, and with it every bucket.
    fn lapse(&mut self, now: Time, until: Time) {
        if until <= now {
            self.lease = None;
        }
    }
}

impl Owner {
    /// Creates the owner part of `node`, without leases.
    pub fn new(node: NodeId) -> Owner {
        Owner {
            node,
            shards: BTreeMap::new(),
            leases: 0,
            tickets: 0,
            given: BTreeMap::new(),
            released: Time::ZERO,
        }
    }

    /// Returns the claims that are due, one for each seat, among `shards`.
    ///
    /// A node claims the shards that it holds, those whose first live candidate it is and those that
    /// holders have asked it for, unless a seat has said that another node holds them. It gives back votes that it has no use for.
    pub fn claims(
        &mut self,
        now: Time,
        placement: &Placement,
        shards: impl IntoIterator<Item = Shard>,
    ) -> BTreeMap<SocketAddr, Claim> {
        let mut claims = BTreeMap::new();
        for shard in shards {
            let first = placement.candidate(shard) == Some(self.node);
            // Also after the lease, so that a late claim of the successor can't end a new lease.
            if self.given.contains_key(&shard) || !first && !self.shards.contains_key(&shard) {
                continue;
            }
            self.claim_shard(now, placement, shard, first, &mut claims);
        }
        claims
    }

    fn claim_shard(
        &mut self,
        now: Time,
        placement: &Placement,
        shard: Shard,
        first: bool,
        claims: &mut BTreeMap<SocketAddr, Claim>,
    ) {
        let released = self.released;
        let tenure = self
            .shards
            .entry(shard)
            .or_insert_with(|| ShardState::new(released));
        tenure.lapse(now, tenure.until(placement, shard));
        tenure.votes.retain(|_, until| *until > now);
        // With one of three seats gone, two candidates that hold a vote each would both give way and
        // both try again, for ever. The one with the lower identity keeps its vote.
        let is_split = !tenure.votes.is_empty();
        let gives_way = |o: OtherOwner| !(is_split && self.node < o.node);
        let held_by_other = tenure.other.is_some_and(|o| o.until > now && gives_way(o));
        let candidate = first || tenure.wanted > now;
        tenure.taken.take_if(|t| !t.is_valid(now));
        let from = tenure.taken.as_ref().map(|t| t.from);
        let wants = tenure.lease.is_some() || from.is_some() || (candidate && !held_by_other);
        if wants && now < tenure.next_claim {
            return;
        }
        let new_claim = || Claim {
            node: self.node,
            sent: now,
            length: placement.lease(),
            layouts: placement.layouts(),
            settled: placement.settled(),
            claim: Vec::new(),
            release: Vec::new(),
            succeeds: Vec::new(),
        };
        if wants {
            tenure.next_claim = match from {
                Some(_) => now,
                None => now + placement.lease() * 3 / 10,
            };
            for voter in placement.voters(shard) {
                let claim = claims.entry(voter).or_insert_with(new_claim);
                claim.claim.push(shard);
                let succession = |owner| Succession { shard, owner };
                claim.succeeds.extend(from.map(succession));
            }
            return;
        }
        // Another node may not win before the grants of this one have expired, or those of a leaving
        // owner whose vote it has taken over.
        if now < tenure.promised.max(tenure.blocked) {
            return;
        }
        for voter in std::mem::take(&mut tenure.votes).into_keys() {
            tenure.released = now;
            claims
                .entry(voter)
                .or_insert_with(new_claim)
                .release
                .push(shard);
        }
        if !candidate && !held_by_other {
            self.released = self.released.max(tenure.released);
            self.shards.remove(&shard);
        }
    }

    /// Books the answer of a seat to a claim of this node.
    ///
    /// The vote counts from the claim's send time, which is before the seat's receive time.
    pub fn record_vote(
        &mut self,
        now: Time,
        placement: &Placement,
        voter: SocketAddr,
        vote: &LeaseVote,
    ) {
        let voted = vote.sent + vote.length;
        for &shard in &vote.granted {
            self.record_shard_vote(now, placement, shard, voter, vote.sent, voted);
        }
        for held in &vote.held {
            let Some(tenure) = self.shards.get_mut(&held.shard) else {
                continue;
            };
            let until = now + held.remaining;
            // A ballot that a later vote of the seat has overtaken says nothing.
            if tenure.votes.get(&voter).is_some_and(|vote| *vote > voted) {
                continue;
            }
            tenure.votes.remove(&voter);
            tenure.other = Some(OtherOwner {
                node: held.holder,
                until,
            });
        }
        if let Some(wait) = vote.abstains {
            self.retry_in(now, wait);
        }
    }

    fn record_shard_vote(
        &mut self,
        now: Time,
        placement: &Placement,
        shard: Shard,
        voter: SocketAddr,
        sent: Time,
        until: Time,
    ) {
        let Some(tenure) = self.shards.get_mut(&shard) else {
            return;
        };
        if sent <= tenure.released {
            return;
        }
        tenure.lapse(now, tenure.until(placement, shard));
        let vote = tenure.votes.entry(voter).or_insert(until);
        *vote = until.max(*vote);
        // Grants of an earlier lease count against the burst, but its buckets are gone.
        let clear = tenure.promised <= now;
        if tenure.lease.is_none() && clear && tenure.until(placement, shard) > now {
            self.leases += 1;
            tenure.other = None;
            tenure.ticket = None;
            let number = lease_number(self.node, self.leases);
            let taken = tenure.taken.take();
            tenure.lease = Some(Lease::begin(number, now, tenure.blocked, taken));
        }
    }

    /// Claims again after `wait` those shards that have too few votes yet.
    fn retry_in(&mut self, now: Time, wait: Duration) {
        for tenure in self.shards.values_mut().filter(|t| t.lease.is_none()) {
            tenure.next_claim = tenure.next_claim.min(now + wait);
        }
    }

    /// Returns the questions for shards of leaving owners that this node is to own, by owner.
    pub fn handover_requests(
        &mut self,
        now: Time,
        placement: &Placement,
    ) -> BTreeMap<NodeId, HandoverRequest> {
        let mut takes = BTreeMap::new();
        for (&shard, tenure) in &mut self.shards {
            let other = tenure.other.filter(|o| o.until > now);
            let Some(owner) = other.map(|o| o.node).filter(|o| placement.is_leaving(*o)) else {
                continue;
            };
            let is_free = tenure.lease.is_none() && tenure.taken.is_none();
            if !is_free || placement.candidate(shard) != Some(self.node) {
                continue;
            }
            let tickets = &mut self.tickets;
            let ticket = *tenure.ticket.get_or_insert_with(|| {
                *tickets += 1;
                *tickets
            });
            let new_take = || HandoverRequest {
                sent: now,
                shards: Vec::new(),
            };
            let take = takes.entry(owner).or_insert_with(new_take);
            take.shards.push(HandoverTicket { shard, ticket });
        }
        takes
    }

    /// Gives up shards to a successor, if this node leaves, and returns their buckets.
    ///
    /// The votes stay with the seats until the successor's claims or their end, since grants of this
    /// node are valid until then.
    pub fn hand_over(
        &mut self,
        now: Time,
        placement: &Placement,
        successor: NodeId,
        shards: &[HandoverTicket],
    ) -> Vec<ShardHandover> {
        if successor == self.node || !placement.is_leaving(self.node) {
            return Vec::new();
        }
        let offers = shards.iter().filter_map(|asked| {
            let HandoverTicket { shard, ticket } = *asked;
            if let Some(given) = self.given.get(&shard).filter(|g| g.until > now) {
                return given.repeat(now, successor, ticket);
            }
            let tenure = self.shards.get_mut(&shard)?;
            let until = tenure.until(placement, shard);
            tenure.lapse(now, until);
            // Grants that outlive the lease would be unknown to the successor.
            if tenure.promised > until {
                return None;
            }
            let mut lease = tenure.lease.take()?;
            let buckets = lease.buckets.iter_mut();
            let offer = ShardHandover {
                shard,
                ticket,
                valid_for: until.since(now),
                idle_for: now.since(lease.since),
                buckets: buckets.map(|(n, b)| b.hand(now, n.clone())).collect(),
            };
            tenure.votes.clear();
            tenure.released = now;
            let given = SentHandover::new(now, successor, until, offer.clone());
            self.given.insert(shard, given);
            Some(offer)
        });
        offers.collect()
    }

    /// Books the offers in the answer to the [`HandoverRequest`] that was sent at `sent`; claims are due then.
    pub fn receive_handovers(
        &mut self,
        now: Time,
        sent: Time,
        from: NodeId,
        offers: &[ShardHandover],
    ) {
        for offer in offers {
            let Some(tenure) = self.shards.get_mut(&offer.shard) else {
                continue;
            };
            let taken = ReceivedHandover::new(now, sent, from, offer.clone());
            let is_due = tenure.ticket == Some(offer.ticket) && tenure.taken.is_none();
            if is_due && tenure.lease.is_none() && taken.is_valid(now) {
                tenure.blocked = taken.blocked();
                tenure.next_claim = now;
                tenure.taken = Some(taken);
            }
        }
    }

    /// Answers a holder's ask.
    pub fn serve(
        &mut self,
        now: Time,
        placement: &Placement,
        from: NodeId,
        request: &CreditRequest,
        accounts: &impl Accounts,
    ) -> CreditResponse {
        CreditResponse {
            account: request.account.clone(),
            credit: request.credit,
            sent: request.sent,
            result: self.result(now, placement, from, request, accounts),
        }
    }

    fn result(
        &mut self,
        now: Time,
        placement: &Placement,
        from: NodeId,
        request: &CreditRequest,
        accounts: &impl Accounts,
    ) -> CreditResult {
        let shard = Shard::of(&request.account);
        if let Some(given) = self.given.get(&shard).filter(|g| g.until > now) {
            return CreditResult::NotOwner(Some(given.successor));
        }
        let released = self.released;
        let tenure = self
            .shards
            .entry(shard)
            .or_insert_with(|| ShardState::new(released));
        let until = tenure.until(placement, shard);
        tenure.lapse(now, until);
        let Some(lease) = &mut tenure.lease else {
            // Holders ask here because they can't reach the owner or believe that this is it.
            tenure.wanted = now + WANTED_TIME;
            let other = tenure
                .other
                .filter(|o| o.until > now && tenure.taken.is_none());
            return CreditResult::NotOwner(other.map(|o| o.node));
        };
        let Some(allowance) = accounts.allowance(&request.account) else {
            return CreditResult::NotOwner(None);
        };
        let bucket = lease
            .buckets
            .entry(request.account.clone())
            .or_insert_with(|| Bucket::new(allowance, lease.since, now));
        bucket.set_allowance(now, allowance);
        tenure.promised = tenure.promised.max(until);
        let horizon = placement.lease() * 11 / 10;
        CreditResult::Grant(bucket.serve(
            now,
            from,
            request,
            lease.number,
            until.since(now),
            horizon,
        ))
    }

    /// Takes over a changed allowance at once; `old` is what was in force until now.
    ///
    /// An account without a bucket here gets one at the level of the old allowance, so that a
    /// higher burst fills at the new rate and is not there at once.
    pub fn set_allowance(&mut self, now: Time, name: &AccountName, old: Allowance, new: Allowance) {
        let tenure = self.shards.get_mut(&Shard::of(name));
        let Some(lease) = tenure.and_then(|t| t.lease.as_mut()) else {
            return;
        };
        let since = lease.since;
        lease
            .buckets
            .entry(name.clone())
            .or_insert_with(|| Bucket::new(old, since, now))
            .set_allowance(now, new);
    }

    /// Forgets the buckets of accounts that are not in use.
    pub fn expire(&mut self, now: Time) {
        for lease in self.shards.values_mut().filter_map(|t| t.lease.as_mut()) {
            lease.buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
    }

    /// Returns the number of shards held, by this node's last look at its votes.
    pub fn shard_count(&self) -> usize {
        self.shards.values().filter(|t| t.lease.is_some()).count()
    }

    /// Lists the shards that this node holds, wants or has votes for.
    pub fn shards(&self) -> impl Iterator<Item = Shard> + '_ {
        self.shards.keys().copied()
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> usize {
        let leases = self.shards.values().filter_map(|t| t.lease.as_ref());
        leases.map(|lease| lease.buckets.len()).sum()
    }

    /// Returns true if this node holds the lease of a shard at `now`.
    pub fn holds(&self, now: Time, placement: &Placement, shard: Shard) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|t| t.lease.is_some() && t.until(placement, shard) > now)
    }
}

/// Returns a number that no other node gives to a lease.
fn lease_number(node: NodeId, count: u64) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), count).max(1)
}
