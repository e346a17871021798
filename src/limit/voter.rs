//! Votes on the leases of shards.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeId;
use crate::limit::{Claim, HeldVote, LEASE, LeaseVote, SHORT_LEASE, Shard, stretch};
use crate::time::Time;

/// A lease voter: it gives its vote on each shard to one node at a time.
#[derive(Clone, Debug)]
pub struct Voter {
    started: Time,
    /// Longest duration of a vote that may have been given before the restart.
    longest_past_vote: Duration,
    votes: BTreeMap<Shard, GivenVote>,
    last_claims: BTreeMap<NodeId, Time>,
}

#[derive(Clone, Copy, Debug)]
struct GivenVote {
    holder: NodeId,
    until: Time,
}

impl Voter {
    /// Creates the voter of a process that starts at `now`.
    ///
    /// It abstains for one lease, because the process may have voted before it restarted.
    pub fn new(now: Time) -> Voter {
        Voter {
            started: now,
            longest_past_vote: LEASE,
            votes: BTreeMap::new(),
            last_claims: BTreeMap::new(),
        }
    }

    /// Abstains for [`SHORT_LEASE`] only.
    ///
    /// To be called if no vote before the restart can have lasted longer.
    pub fn assume_short_leases(&mut self) {
        self.longest_past_vote = SHORT_LEASE;
    }

    /// Votes on a claim; `layouts` are the digests of the voter layouts in force on this node.
    ///
    /// The voter votes only if both sides have the same newest layout and the candidate has every
    /// earlier layout of the voter.
    ///
    /// Returns `None` for a claim that arrives after a later one of the same node, since it must
    /// not undo what the later one did.
    pub fn vote(&mut self, now: Time, layouts: &[u64], claim: &Claim) -> Option<LeaseVote> {
        if self
            .last_claims
            .get(&claim.node)
            .is_some_and(|t| *t > claim.sent)
        {
            return None;
        }
        self.last_claims.insert(claim.node, claim.sent);
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

    /// Drops expired votes and the claim times of nodes without a vote.
    pub fn expire(&mut self, now: Time) {
        self.votes.retain(|_, vote| vote.until > now);
        let votes = &self.votes;
        self.last_claims
            .retain(|node, _| votes.values().any(|vote| vote.holder == *node));
    }

    fn abstains(&self, now: Time) -> Option<Duration> {
        let end = self.started + stretch(self.longest_past_vote);
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
        // A successor or a shorter lease must not shorten the time for which grants may be valid.
        if let Some(vote) = self.votes.get(&shard) {
            until = until.max(vote.until);
        }
        self.votes.insert(shard, GivenVote { holder, until });
    }
}

/// Returns true if the claim's newest layout is that of the voter and the claim has all layouts of
/// the voter.
pub(crate) fn layouts_match(claim: &[u64], voter: &[u64]) -> bool {
    claim.last() == voter.last() && voter.iter().all(|digest| claim.contains(digest))
}
