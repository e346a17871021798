//! Serving of other nodes' requests: lease votes, credit and shard handovers.

use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::{RateLimits, shards_of, stripe_of};
use crate::error::{Error, Result};
use crate::ids::NodeId;
use crate::limit::{
    Claim, CreditRequest, CreditResponse, HandoverRequest, HandoverTicket, LeaseVote, Shard,
    ShardHandover,
};
use crate::time::Clock;
use crate::wire::{Hello, LimitRequest, LimitResponse, Role};

impl RateLimits {
    /// Serves a request of another node on [`Channel::Limit`](crate::wire::Channel::Limit).
    ///
    /// # Errors
    ///
    /// Fails if the payload is malformed, its sender is not a node, or this node may not vote on
    /// the claim.
    pub fn serve(&self, peer: Hello, payload: Bytes) -> Result<Bytes> {
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
                LimitResponse::Credit(self.serve_credit(from, &requests))
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
