//! Acquires leases on shards and grants tokens from the buckets of owned shards.

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

/// Time for which a credit request makes a node a candidate for the shard.
const CANDIDATE_TIME: Duration = Duration::from_secs(1);

/// Time in leases after which a candidate without a lease gives up, and time for which it then makes
/// no claims.
///
/// Voters may receive the claims of a node that does not receive their responses, or a node may reach
/// too few of them. Their votes would keep every other node from the lease.
const GIVE_UP_LEASES: u32 = 2;

/// Rate and burst of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Tokens minted per second.
    pub rate: Rate,
    /// Maximum number of tokens that exist at one instant.
    pub burst: Burst,
}

/// The accounts in force.
pub trait Accounts {
    /// Returns the allowance of an account, or `None` if it is unknown.
    fn allowance(&self, name: &AccountName) -> Option<Allowance>;
}

/// The shards that a node owns or claims.
#[derive(Clone, Debug)]
pub struct Owner {
    node: NodeId,
    shards: BTreeMap<Shard, ShardState>,
    lease_count: u64,
    last_ticket: u64,
    /// Handovers made as a leaving owner.
    handed_over: BTreeMap<Shard, SentHandover>,
    /// Latest release of votes among the shards that were dropped from `shards`.
    released: Time,
}

/// The state of a claim on a shard of which the node has no lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenClaim {
    /// The shard.
    pub shard: Shard,
    /// The voters that have voted for this node.
    pub votes: Vec<SocketAddr>,
    /// Another node that a voter has voted for.
    pub holder: Option<NodeId>,
    /// True if other nodes have sent credit requests recently.
    pub requested: bool,
}

/// State of one shard.
#[derive(Clone, Debug, Default)]
struct ShardState {
    votes: BTreeMap<SocketAddr, Time>,
    next_claim: Time,
    /// Since when this node has claimed the shard without a lease.
    claimed_since: Option<Time>,
    /// Until when this node makes no claims, as the last ones did not win a lease.
    paused_until: Time,
    /// Until when credit requests from other nodes make this node a candidate.
    requested_until: Time,
    /// Send time of the last release; votes on earlier claims are ignored.
    released: Time,
    /// Until when grants under any lease of this node may be valid.
    grants_until: Time,
    other: Option<OtherOwner>,
    lease: Option<Lease>,
    /// Ticket of the handover that this node requests from a leaving owner.
    ticket: Option<u64>,
    received: Option<ReceivedHandover>,
    /// Until when grants of the owner that handed the shard over may be valid.
    old_owner_until: Time,
}

/// Another node that a voter has voted for, and that is therefore probably the owner.
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
    /// Begins a lease with the buckets of the handover. Without one, all buckets are empty at
    /// `now`, or at `old_owner_until` if that is later.
    fn begin(
        number: u64,
        now: Time,
        old_owner_until: Time,
        received: Option<ReceivedHandover>,
    ) -> Lease {
        match received.filter(|r| r.is_valid(now)) {
            Some(received) => Lease {
                number,
                since: received.idle_since(),
                buckets: received.buckets().collect(),
            },
            None => Lease {
                number,
                since: now.max(old_owner_until),
                buckets: BTreeMap::new(),
            },
        }
    }
}

impl ShardState {
    /// Creates the state of a shard; votes on claims sent until `released` are ignored.
    fn new(released: Time) -> ShardState {
        ShardState {
            released,
            ..ShardState::default()
        }
    }

    /// Pauses the claims for `time` if they have not won a lease for as long.
    fn pause_after(&mut self, now: Time, time: Duration) {
        if self.claimed_since.is_some_and(|t| now.since(t) >= time) {
            self.claimed_since = None;
            self.paused_until = now + time;
        }
    }

    /// Returns the time until which this node holds the votes of a majority of each set of voters.
    fn lease_until(&self, placement: &Placement, shard: Shard) -> Time {
        placement
            .voter_sets(shard)
            .map(|voters| self.majority_until(voters))
            .min()
            .unwrap_or(Time::ZERO)
    }

    fn majority_until(&self, voters: &[SocketAddr]) -> Time {
        let mut votes: Vec<Time> = voters
            .iter()
            .filter_map(|voter| self.votes.get(voter))
            .copied()
            .collect();
        votes.sort();
        let majority = voters.len() / 2 + 1;
        match votes.len().checked_sub(majority) {
            Some(index) => votes[index],
            None => Time::ZERO,
        }
    }

    /// Drops an expired lease with its buckets.
    fn drop_expired(&mut self, now: Time, until: Time) {
        if until <= now {
            self.lease = None;
        }
    }
}

impl Owner {
    /// Creates the owner state of `node`, without leases.
    pub fn new(node: NodeId) -> Owner {
        Owner {
            node,
            shards: BTreeMap::new(),
            lease_count: 0,
            last_ticket: 0,
            handed_over: BTreeMap::new(),
            released: Time::ZERO,
        }
    }

    /// Returns the claims on `shards` that are due, by voter.
    ///
    /// A node claims the shards that it owns. It also claims those whose first live candidate it is
    /// and those for which it has received credit requests, unless a voter's vote is held by
    /// another node. It releases votes that it does not need.
    pub fn claims(
        &mut self,
        now: Time,
        placement: &Placement,
        shards: impl IntoIterator<Item = Shard>,
    ) -> BTreeMap<SocketAddr, Claim> {
        let mut claims = BTreeMap::new();
        for shard in shards {
            let first = placement.candidate(shard) == Some(self.node);
            // A shard that was handed over is never claimed again, even after the old lease has
            // expired: a late claim of the successor could transfer the votes of a new lease.
            if self.handed_over.contains_key(&shard) || !first && !self.shards.contains_key(&shard)
            {
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
        let state = self
            .shards
            .entry(shard)
            .or_insert_with(|| ShardState::new(released));
        state.drop_expired(now, state.lease_until(placement, shard));
        state.votes.retain(|_, until| *until > now);
        // With one of three voters unavailable, two candidates that hold one vote each would both
        // yield and retry forever. The one with the lower identity keeps its vote.
        let is_split = !state.votes.is_empty();
        let must_yield = |o: OtherOwner| !(is_split && self.node < o.node);
        let held_by_other = state.other.is_some_and(|o| o.until > now && must_yield(o));
        let candidate = first || state.requested_until > now;
        state.received.take_if(|r| !r.is_valid(now));
        let from = state.received.as_ref().map(|r| r.from);
        state.pause_after(now, placement.lease() * GIVE_UP_LEASES);
        let may_claim = candidate && !held_by_other && state.paused_until <= now;
        let is_claiming = state.lease.is_some() || from.is_some() || may_claim;
        if is_claiming && now < state.next_claim {
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
        if is_claiming {
            if state.lease.is_none() {
                state.claimed_since.get_or_insert(now);
            }
            state.next_claim = match from {
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
        state.claimed_since = None;
        // No other node may win before the grants of this one have expired, or those of a leaving
        // owner whose votes were transferred to this one.
        if now < state.grants_until.max(state.old_owner_until) {
            return;
        }
        for voter in std::mem::take(&mut state.votes).into_keys() {
            state.released = now;
            claims
                .entry(voter)
                .or_insert_with(new_claim)
                .release
                .push(shard);
        }
        if !candidate && !held_by_other {
            self.released = self.released.max(state.released);
            self.shards.remove(&shard);
        }
    }

    /// Records a voter's response to a claim of this node.
    ///
    /// The vote counts from the send time of the claim, which precedes its receipt by the voter.
    pub fn record_vote(
        &mut self,
        now: Time,
        placement: &Placement,
        voter: SocketAddr,
        vote: &LeaseVote,
    ) {
        let vote_until = vote.sent + vote.length;
        if vote.abstains.is_some() {
            self.shards
                .values_mut()
                .for_each(|state| state.claimed_since = None);
        }
        for &shard in &vote.granted {
            self.record_shard_vote(now, placement, shard, voter, vote.sent, vote_until);
        }
        for held in &vote.held {
            let Some(state) = self.shards.get_mut(&held.shard) else {
                continue;
            };
            let until = now + held.remaining;
            // A later vote of the same voter overrides this one.
            if state
                .votes
                .get(&voter)
                .is_some_and(|vote| *vote > vote_until)
            {
                continue;
            }
            state.votes.remove(&voter);
            state.other = Some(OtherOwner {
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
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if sent <= state.released {
            return;
        }
        state.drop_expired(now, state.lease_until(placement, shard));
        let vote = state.votes.entry(voter).or_insert(until);
        *vote = until.max(*vote);
        // Grants of an earlier lease count against the burst, but its buckets no longer exist.
        let no_old_grants = state.grants_until <= now;
        if state.lease.is_none() && no_old_grants && state.lease_until(placement, shard) > now {
            self.lease_count += 1;
            state.claimed_since = None;
            state.other = None;
            state.ticket = None;
            let number = lease_number(self.node, self.lease_count);
            let received = state.received.take();
            state.lease = Some(Lease::begin(number, now, state.old_owner_until, received));
        }
    }

    /// Schedules new claims after `wait` for shards without a lease.
    fn retry_in(&mut self, now: Time, wait: Duration) {
        for state in self.shards.values_mut().filter(|s| s.lease.is_none()) {
            state.next_claim = state.next_claim.min(now + wait);
        }
    }

    /// Returns the requests for shards that this node shall take over from leaving owners, by
    /// owner.
    pub fn handover_requests(
        &mut self,
        now: Time,
        placement: &Placement,
    ) -> BTreeMap<NodeId, HandoverRequest> {
        let mut requests = BTreeMap::new();
        for (&shard, state) in &mut self.shards {
            let other = state.other.filter(|o| o.until > now);
            let Some(owner) = other.map(|o| o.node).filter(|o| placement.is_leaving(*o)) else {
                continue;
            };
            let needs_buckets = state.lease.is_none() && state.received.is_none();
            if !needs_buckets || placement.candidate(shard) != Some(self.node) {
                continue;
            }
            let last_ticket = &mut self.last_ticket;
            let ticket = *state.ticket.get_or_insert_with(|| {
                *last_ticket += 1;
                *last_ticket
            });
            let new_request = || HandoverRequest {
                sent: now,
                shards: Vec::new(),
            };
            let request = requests.entry(owner).or_insert_with(new_request);
            request.shards.push(HandoverTicket { shard, ticket });
        }
        requests
    }

    /// Hands shards over to a successor, if this node leaves, and returns their buckets.
    ///
    /// The votes are not released: they stay in force until the successor claims them or they
    /// expire, since grants of this node are valid until then.
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
        let handovers = shards.iter().filter_map(|requested| {
            let HandoverTicket { shard, ticket } = *requested;
            if let Some(handed_over) = self.handed_over.get(&shard).filter(|h| h.until > now) {
                return handed_over.resend(now, successor, ticket);
            }
            let state = self.shards.get_mut(&shard)?;
            let until = state.lease_until(placement, shard);
            state.drop_expired(now, until);
            // The successor would not count grants that outlive the lease.
            if state.grants_until > until {
                return None;
            }
            let mut lease = state.lease.take()?;
            let buckets = lease.buckets.iter_mut();
            let handover = ShardHandover {
                shard,
                ticket,
                valid_for: until.since(now),
                idle_for: now.since(lease.since),
                buckets: buckets
                    .map(|(n, b)| b.export_state(now, n.clone()))
                    .collect(),
            };
            state.votes.clear();
            state.released = now;
            let handed_over = SentHandover::new(now, successor, until, handover.clone());
            self.handed_over.insert(shard, handed_over);
            Some(handover)
        });
        handovers.collect()
    }

    /// Records the handovers of a response to the [`HandoverRequest`] that was sent at `sent`.
    ///
    /// Claims on their shards are due afterwards.
    pub fn receive_handovers(
        &mut self,
        now: Time,
        sent: Time,
        from: NodeId,
        handovers: &[ShardHandover],
    ) {
        for handover in handovers {
            let Some(state) = self.shards.get_mut(&handover.shard) else {
                continue;
            };
            let received = ReceivedHandover::new(now, sent, from, handover.clone());
            let is_expected = state.ticket == Some(handover.ticket) && state.received.is_none();
            if is_expected && state.lease.is_none() && received.is_valid(now) {
                state.old_owner_until = received.grants_until();
                state.next_claim = now;
                state.received = Some(received);
            }
        }
    }

    /// Responds to a credit request.
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
            result: self.grant_or_redirect(now, placement, from, request, accounts),
        }
    }

    fn grant_or_redirect(
        &mut self,
        now: Time,
        placement: &Placement,
        from: NodeId,
        request: &CreditRequest,
        accounts: &impl Accounts,
    ) -> CreditResult {
        let shard = Shard::of(&request.account);
        if let Some(handed_over) = self.handed_over.get(&shard).filter(|h| h.until > now) {
            return CreditResult::NotOwner(Some(handed_over.successor));
        }
        let released = self.released;
        let state = self
            .shards
            .entry(shard)
            .or_insert_with(|| ShardState::new(released));
        let until = state.lease_until(placement, shard);
        state.drop_expired(now, until);
        let Some(lease) = &mut state.lease else {
            // The sender can't reach the owner, or this node comes first in the sender's view.
            state.requested_until = now + CANDIDATE_TIME;
            let other = state
                .other
                .filter(|o| o.until > now && state.received.is_none());
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
        state.grants_until = state.grants_until.max(until);
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

    /// Applies a changed allowance; `old` was in force until now.
    ///
    /// An account without a bucket gets one at the level of the old allowance, so that a higher
    /// burst fills at the new rate instead of being available at once.
    pub fn set_allowance(&mut self, now: Time, name: &AccountName, old: Allowance, new: Allowance) {
        let state = self.shards.get_mut(&Shard::of(name));
        let Some(lease) = state.and_then(|s| s.lease.as_mut()) else {
            return;
        };
        let since = lease.since;
        lease
            .buckets
            .entry(name.clone())
            .or_insert_with(|| Bucket::new(old, since, now))
            .set_allowance(now, new);
    }

    /// Drops the buckets of accounts that are not in use.
    pub fn expire(&mut self, now: Time) {
        for lease in self.shards.values_mut().filter_map(|s| s.lease.as_mut()) {
            lease.buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
    }

    /// Returns the state of the claims on shards of which this node has no lease.
    pub fn open_claims(&self, now: Time) -> Vec<OpenClaim> {
        let open = self.shards.iter().filter(|(_, s)| s.lease.is_none());
        let claims = open.map(|(shard, state)| OpenClaim {
            shard: *shard,
            votes: state.votes.keys().copied().collect(),
            holder: state.other.filter(|o| o.until > now).map(|o| o.node),
            requested: state.requested_until > now,
        });
        claims.collect()
    }

    /// Returns the number of owned shards; a lease that expired since the last call for its shard
    /// still counts.
    pub fn shard_count(&self) -> usize {
        self.shards.values().filter(|s| s.lease.is_some()).count()
    }

    /// Iterates over the shards that this node owns, claims or has votes for.
    pub fn shards(&self) -> impl Iterator<Item = Shard> + '_ {
        self.shards.keys().copied()
    }

    /// Returns the number of buckets.
    pub fn bucket_count(&self) -> usize {
        let leases = self.shards.values().filter_map(|s| s.lease.as_ref());
        leases.map(|lease| lease.buckets.len()).sum()
    }

    /// Returns true if this node holds the lease of a shard at `now`.
    pub fn holds(&self, now: Time, placement: &Placement, shard: Shard) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|s| s.lease.is_some() && s.lease_until(placement, shard) > now)
    }
}

/// Returns a number for a lease that is unique in the fleet.
fn lease_number(node: NodeId, count: u64) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), count).max(1)
}
