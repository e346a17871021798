//! Serving of other nodes' requests: lease votes, credit and shard handovers.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::{RateLimits, shards_of, stripe_of};
use crate::error::{Error, Result};
use crate::ids::NodeId;
use crate::limit::{
    Claim, CreditRequest, CreditResponse, CreditResult, HandoverRequest, HandoverTicket, LeaseVote,
    Shard, ShardHandover,
};
use crate::time::Clock;
use crate::wire::{Hello, LimitRequest, LimitResponse, RelayRequest, Role};

impl RateLimits {
    /// Serves a request of another node on [`Channel::Limit`](crate::wire::Channel::Limit).
    ///
    /// # Errors
    ///
    /// Fails if the payload is malformed, its sender is not a node, or this node may not vote on
    /// the claim.
    pub async fn serve(&self, peer: Hello, payload: Bytes) -> Result<Bytes> {
        if peer.role != Role::Node {
            return Err(Error::invalid("limit messages come from nodes only"));
        }
        let from = NodeId(peer.id);
        let response = match LimitRequest::decode(payload)? {
            LimitRequest::Claim(claim) => {
                let claim = Claim {
                    node: from,
                    ..claim
                };
                let vote = self.vote(&claim);
                LimitResponse::Vote(vote.ok_or_else(|| Error::invalid("claim overtaken"))?)
            }
            LimitRequest::Credit(requests) => {
                let responses = self.serve_credit(from, &requests);
                LimitResponse::Credit(self.relay(from, &requests, responses).await)
            }
            LimitRequest::Relay(relay) => {
                LimitResponse::Credit(self.serve_credit(relay.node, &relay.requests))
            }
            LimitRequest::Handover(request) => {
                LimitResponse::Handover(self.hand_over(from, &request))
            }
        };
        Ok(response.encode())
    }

    /// Votes on a claim with the voters of all stripes; returns `None` if this node may not
    /// vote yet or has already received a later claim of the same node.
    pub(super) fn vote(&self, claim: &Claim) -> Option<LeaseVote> {
        if !self.confirmed.load(Ordering::Acquire) {
            return None;
        }
        self.settle(claim.settled);
        let placement = self.placement.load();
        let layouts = placement.layouts();
        let mut total: Option<LeaseVote> = None;
        for (index, stripe) in self.stripes.iter().enumerate() {
            let part = Claim {
                node: claim.node,
                sent: claim.sent,
                length: claim.length,
                layouts: claim.layouts.clone(),
                settled: claim.settled,
                claim: shards_of(&claim.claim, index),
                release: shards_of(&claim.release, index),
                succeeds: claim.succeeds.clone(),
            };
            if part.claim.is_empty() && part.release.is_empty() {
                continue;
            }
            let mut state = stripe.lock();
            let now = self.clock.now();
            let Some(vote) = state.voter.vote(now, &layouts, &part) else {
                continue;
            };
            match &mut total {
                None => total = Some(vote),
                Some(total) => {
                    total.granted.extend(vote.granted);
                    total.held.extend(vote.held);
                    total.abstains = total.abstains.max(vote.abstains);
                }
            }
        }
        total.map(|vote| LeaseVote {
            registry: placement.position(),
            settled: placement.settled(),
            ..vote
        })
    }

    /// Relays the requests of which this node is not the owner to the owners that it knows, and
    /// returns the responses with theirs in place of its own.
    async fn relay(
        &self,
        from: NodeId,
        requests: &[CreditRequest],
        mut responses: Vec<CreditResponse>,
    ) -> Vec<CreditResponse> {
        let placement = self.placement.load_full();
        for (owner, requests) in self.relays(from, requests, &responses) {
            let Some(addr) = placement.addr(owner) else {
                continue;
            };
            self.metrics.count("limit.relays");
            let relay = LimitRequest::Relay(RelayRequest {
                node: from,
                requests,
            });
            let Ok(LimitResponse::Credit(relayed)) = self.call(addr, &relay).await else {
                continue;
            };
            for response in relayed {
                let same = |r: &&mut CreditResponse| r.account == response.account;
                if let Some(own) = responses.iter_mut().find(same) {
                    *own = response;
                }
            }
        }
        responses
    }

    /// Returns the requests to relay, by owner.
    fn relays(
        &self,
        from: NodeId,
        requests: &[CreditRequest],
        responses: &[CreditResponse],
    ) -> BTreeMap<NodeId, Vec<CreditRequest>> {
        let placement = self.placement.load();
        let mut relays: BTreeMap<NodeId, Vec<CreditRequest>> = BTreeMap::new();
        for (request, response) in requests.iter().zip(responses) {
            let CreditResult::NotOwner(hint) = response.result else {
                continue;
            };
            let shard = Shard::of(&request.account);
            let owner = hint.or_else(|| placement.candidate(shard));
            let owner = owner.filter(|owner| *owner != self.me && *owner != from);
            if let Some(owner) = owner.filter(|_| request.relay) {
                relays.entry(owner).or_default().push(request.clone());
            }
        }
        relays
    }

    /// Hands shards over to a successor, if this node is leaving.
    fn hand_over(&self, successor: NodeId, request: &HandoverRequest) -> Vec<ShardHandover> {
        let placement = self.placement.load();
        let hand_over = |shard: &HandoverTicket| {
            let mut state = self.stripes[stripe_of(shard.shard)].lock();
            let now = self.clock.now();
            let shards = std::slice::from_ref(shard);
            state.owner.hand_over(now, &placement, successor, shards)
        };
        request.shards.iter().flat_map(hand_over).collect()
    }

    pub(super) fn serve_credit(
        &self,
        from: NodeId,
        requests: &[CreditRequest],
    ) -> Vec<CreditResponse> {
        let Some(config) = self.config.load() else {
            return Vec::new();
        };
        if self.stale.load(Ordering::Acquire) {
            return Vec::new();
        }
        let placement = self.placement.load();
        let serve_one = |request: &CreditRequest| {
            let mut state = self.stripes[stripe_of(Shard::of(&request.account))].lock();
            let now = self.clock.now();
            state.owner.serve(now, &placement, from, request, &*config)
        };
        requests.iter().map(serve_one).collect()
    }
}
