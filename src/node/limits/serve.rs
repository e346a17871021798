//! Answers other nodes about the shards of accounts: votes, grants and shards that are handed over.

use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::{RateLimits, part_of, shards_of};
use crate::error::{Error, Result};
use crate::ids::NodeId;
use crate::limit::{
    Claim, CreditRequest, CreditResponse, HandoverRequest, HandoverTicket, LeaseVote, Shard,
    ShardHandover,
};
use crate::time::Clock;
use crate::wire::{Hello, LimitRequest, LimitResponse, Role};

impl RateLimits {
    /// Answers a payload of [`Channel::Limit`] from another node.
    ///
    /// # Errors
    ///
    /// Fails if the payload is malformed, its sender is no node, or a claim has been overtaken.
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
            LimitRequest::Credit(requests) => LimitResponse::Credit(self.response(from, &requests)),
            LimitRequest::Handover(take) => LimitResponse::Handover(self.give(from, &take)),
        };
        Ok(response.encode())
    }

    /// Votes with the seats of all parts; returns `None` if it may not.
    pub(super) fn vote(&self, claim: &Claim) -> Option<LeaseVote> {
        if !self.confirmed.load(Ordering::Acquire) {
            return None;
        }
        self.settle(claim.settled);
        let placement = self.placement.load();
        let layouts = placement.layouts();
        let mut total: Option<LeaseVote> = None;
        for (index, part) in self.parts.iter().enumerate() {
            let share = Claim {
                node: claim.node,
                sent: claim.sent,
                length: claim.length,
                layouts: claim.layouts.clone(),
                settled: claim.settled,
                claim: shards_of(&claim.claim, index),
                release: shards_of(&claim.release, index),
                succeeds: claim.succeeds.clone(),
            };
            if share.claim.is_empty() && share.release.is_empty() {
                continue;
            }
            let mut state = part.lock();
            let now = self.clock.now();
            let Some(vote) = state.voter.vote(now, &layouts, &share) else {
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

    /// Gives up shards to a successor, if this node leaves.
    fn give(&self, successor: NodeId, take: &HandoverRequest) -> Vec<ShardHandover> {
        let placement = self.placement.load();
        let give_one = |asked: &HandoverTicket| {
            let mut state = self.parts[part_of(asked.shard)].lock();
            let now = self.clock.now();
            let asked = std::slice::from_ref(asked);
            state.owner.hand_over(now, &placement, successor, asked)
        };
        take.shards.iter().flat_map(give_one).collect()
    }

    pub(super) fn response(&self, from: NodeId, requests: &[CreditRequest]) -> Vec<CreditResponse> {
        let Some(config) = self.config.load() else {
            return Vec::new();
        };
        if self.stale.load(Ordering::Acquire) {
            return Vec::new();
        }
        let placement = self.placement.load();
        let answer_one = |request: &CreditRequest| {
            let mut state = self.parts[part_of(Shard::of(&request.account))].lock();
            let now = self.clock.now();
            state.owner.serve(now, &placement, from, request, &*config)
        };
        requests.iter().map(answer_one).collect()
    }
}
