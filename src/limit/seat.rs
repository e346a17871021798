//! The voter that leases shards to owners.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeId;
use crate::limit::{Ballot, Claim, Held, LEASE, SHORT_LEASE, Shard, stretch};
use crate::time::Time;

/// One of the seats of a shard: it gives each shard's vote to one node at a time.
#[derive(Clone, Debug)]
pub struct Seat {
    started: Time,
    /// Longest vote that the process may have given before it restarted.
    forgotten: Duration,
    votes: BTreeMap<Shard, Vote>,
    latest: BTreeMap<NodeId, Time>,
}

#[derive(Clone, Copy, Debug)]
struct Vote {
    holder: NodeId,
    until: Time,
}

impl Seat {
    /// Creates the seat of a process that starts at `now`.
    ///
    /// It abstains for one lease, because the process may have voted before it restarted.
    pub fn new(now: Time) -> Seat {
        Seat {
            started: now,
            forgotten: LEASE,
            votes: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    /// Takes in that votes before the start were for [`SHORT_LEASE`](super::SHORT_LEASE) at most.
    pub fn had_short_votes(&mut self) {
        self.forgotten = SHORT_LEASE;
    }

    /// Votes on a claim; `layouts` are the seat layouts that this node follows.
    ///
    /// A vote needs the same newest layout on both sides and a candidate that knows each earlier
    /// layout of the seat.
    ///
    /// Returns `None` for a claim that arrives after a later one of the same node. Such a claim
    /// must not undo what the later one did.
    pub fn vote(&mut self, now: Time, layouts: &[u64], claim: &Claim) -> Option<Ballot> {
        if self
            .latest
            .get(&claim.node)
            .is_some_and(|t| *t > claim.sent)
        {
            return None;
        }
        self.latest.insert(claim.node, claim.sent);
        self.release(claim);
        let mut ballot = Ballot {
            sent: claim.sent,
            length: claim.length.min(LEASE),
            abstains: self.abstains(now),
            ..Ballot::default()
        };
        if ballot.abstains.is_some() || !follows(&claim.layouts, layouts) {
            return Some(ballot);
        }
        for &shard in &claim.claim {
            let succeeds = |held: &Held| {
                let mut successions = claim.succeeds.iter();
                successions.any(|s| s.shard == shard && s.owner == held.holder)
            };
            let other = self.other_holder(now, shard, claim.node);
            match other.filter(|held| !succeeds(held)) {
                Some(held) => ballot.held.push(held),
                None => {
                    self.grant(now, shard, claim.node, ballot.length);
                    ballot.granted.push(shard);
                }
            }
        }
        Some(ballot)
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

    fn other_holder(&self, now: Time, shard: Shard, node: NodeId) -> Option<Held> {
        let vote = self.votes.get(&shard)?;
        if vote.holder == node || vote.until <= now {
            return None;
        }
        Some(Held {
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
        self.votes.insert(shard, Vote { holder, until });
    }
}

/// Returns true if the claim's layouts end like the seat's and contain all of them.
pub(crate) fn follows(claim: &[u64], seat: &[u64]) -> bool {
    claim.last() == seat.last() && seat.iter().all(|digest| claim.contains(digest))
}
