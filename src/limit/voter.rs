//! The voter that leases shards to owners.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeId;
use crate::limit::{Claim, HeldVote, LEASE, LeaseVote, SHORT_LEASE, Shard, stretch};
use crate::time::Time;

/// One of the seats of a shard: it gives each shard's vote to one node at a time.
#[derive(Clone, Debug)]
pub struct Voter {
    started: Time,
    /// Longest vote that the process may have given before it restarted.
    forgotten: Duration,
    votes: BTreeMap<Shard, GivenVote>,
    latest: BTreeMap<NodeId, Time>,
}

#[derive(Clone, Copy, Debug)]
struct GivenVote {
    holder: NodeId,
    until: Time,
}

impl Voter {
    /// Creates the seat of a process that starts at `now`.
    ///
    /// It abstains for one lease, because the process may have voted before it restarted.
    pub fn new(now: Time) -> Voter {
        Voter {
            started: now,
            forgotten: LEASE,
            votes: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    /// Takes in that votes before the start were for [`SHORT_LEASE`](super::SHORT_LEASE) at most.
    pub fn assume_short_leases(&mut self) {
        self.forgotten = SHORT_LEASE;
    }

    /// Votes on a claim; `layouts` are the seat layouts that this node follows.
    ///
    /// A vote needs the same newest layout on both sides and a candidate that knows each earlier
    /// layout of the seat.
    ///
    /// Returns `None` for a claim that arrives after a later one of the same node. Such a claim
    /// must not undo what the later one did.
    pub fn vote(&mut self, now: Time, layouts: &[u64], claim: &Claim) -> Option<LeaseVote> {
        if self
            .latest
            .get(&claim.node)
            .is_some_and(|t| *t > claim.sent)
        {
            return None;
        }
        self.latest.insert(claim.node, claim.sent);
        self.release(claim);
        let mut vote = LeaseVote {
            sent: claim.sent,
            length: claim.length.min(LEASE),
            abstains: self.abstains(now),
            ..LeaseVote::default()
        };
        if vote.abstains.is_some() || !layouts_match(&claim.layouts, layouts) {
            return Some(vote);
        }
        for &shard in &claim.claim {
            let succeeds = |held: &HeldVote| {
                let mut successions = claim.succeeds.iter();
                successions.any(|s| s.shard == shard && s.owner == held.holder)
            };
            let other = self.other_holder(now, shard, claim.node);
            match other.filter(|held| !succeeds(held)) {
                Some(held) => vote.held.push(held),
                None => {
                    self.grant(now, shard, claim.node, vote.length);
                    vote.granted.push(shard);
                }
            }
        }
        Some(vote)
    }

    /// Drops ended votes and the claim times of nodes without one.
    pub fn expire(&mut self, now: Time) {
        self.votes.retain(|_, vote| vote.until > now);
        let votes = &self.votes;
        self.latest
            .retain(|node, _| votes.values().any(|vote| vote.holder == *node));
    }

    fn abstains(&self, now: Time) -> Option<Duration> {
        let end = self.started + stretch(self.forgotten);
        (now < end).then(|| end.since(now))
    }

    fn release(&mut self, claim: &Claim) {
        for shard in &claim.release {
            if self
                .votes
                .get(shard)
                .is_some_and(|v| v.holder == claim.node)
            {
                self.votes.remove(shard);
            }
        }
    }

    fn other_holder(&self, now: Time, shard: Shard, node: NodeId) -> Option<HeldVote> {
        let vote = self.votes.get(&shard)?;
        if vote.holder == node || vote.until <= now {
            return None;
        }
        Some(HeldVote {
            shard,
            holder: vote.holder,
            remaining: vote.until.since(now),
        })
    }

    fn grant(&mut self, now: Time, shard: Shard, holder: NodeId, length: Duration) {
        let mut until = now + stretch(length);
        // A successor or a shorter lease must not end the time for which grants may be valid.
        if let Some(vote) = self.votes.get(&shard) {
            until = until.max(vote.until);
        }
        self.votes.insert(shard, GivenVote { holder, until });
    }
}

/// Returns true if the claim's layouts end like the seat's and contain all of them.
pub(crate) fn layouts_match(claim: &[u64], voter: &[u64]) -> bool {
    claim.last() == voter.last() && voter.iter().all(|digest| claim.contains(digest))
}
