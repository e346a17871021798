//! Membership changes of the group.

use crate::error::{Category, Error, Result};
use crate::ids::ReplicaId;
use crate::replica::entry::{Entry, Member, Replicas};
use crate::replica::machine::Replica;
use crate::replica::{LEARNER_TIMEOUT, REPLICAS_MAX, VOTER_TIMEOUT};
use crate::time::Time;

impl Replica {
    /// Adds a replica to the group as a learner that replaces the member at its link address. If no
    /// member has the address and the group grows, the learner replaces no member.
    ///
    /// A new identity on a known address means that the old one lost its disk. Does nothing if the
    /// replica is already a member. The leader completes the replacement in its ticks.
    ///
    /// # Errors
    ///
    /// Fails if this replica doesn't lead, if no member has the address and the group does not
    /// grow, or while another membership change is in progress.
    pub fn join(&mut self, now: Time, joiner: Member) -> Result<()> {
        if self.log.replicas().get(joiner.id).is_some() {
            return Ok(());
        }
        let group = self.log.replicas();
        let is_known = group.members().iter().any(|m| m.link == joiner.link);
        let group = match !is_known && self.voter_count > 0 {
            true => group.with_added_learner(&joiner),
            false => group.with_replacement(&joiner)?,
        };
        if group.get(self.id()).is_none_or(|m| !m.voter) || joiner.link == self.own_link() {
            return Err(Error::invalid("the leader itself can't be replaced"));
        }
        self.propose(now, Entry::Replicas(group)).map(|_| ())
    }

    fn own_link(&self) -> std::net::SocketAddr {
        let own = self.log.replicas().get(self.id());
        own.expect("a leader is a member").link
    }

    /// Proposes the next membership change: the removal of an unresponsive learner or, once a learner
    /// has caught up, a step of its promotion or the removal of an unresponsive voter that it then
    /// replaces.
    pub(super) fn advance_membership(&mut self, now: Time) {
        if !self.can_change_group() {
            return;
        }
        let Some(next) = self.next_group(now) else {
            return;
        };
        // Fails without a lease; a later tick tries again.
        let _ = self.propose(now, Entry::Replicas(next));
    }

    fn next_group(&self, now: Time) -> Option<Replicas> {
        let group = self.log.replicas();
        if let Some(learner) = self.unresponsive_learner(now) {
            return Some(group.without(learner));
        }
        let ready = |m: &&Member| !m.voter && self.has_caught_up(now, m.id);
        let learner = group.members().iter().find(ready)?;
        let can_promote = learner.replaces.is_some() || group.voters().count() < self.voter_count;
        match (can_promote, self.unresponsive_voter(now)) {
            (true, _) => Some(group.promote(learner.id)),
            (false, Some(voter)) => Some(group.without(voter)),
            (false, None) => None,
        }
    }

    /// Returns a learner without contact for [`LEARNER_TIMEOUT`].
    fn unresponsive_learner(&self, now: Time) -> Option<ReplicaId> {
        let mut learners = self.log.replicas().members().iter().filter(|m| !m.voter);
        let idle = |m: &&Member| self.time_since_contact(now, m.id);
        let lost = learners.find(|m| idle(m).is_some_and(|idle| idle >= LEARNER_TIMEOUT));
        lost.map(|m| m.id)
    }

    /// Returns the voter with the longest time since its last contact, if it is over the timeout.
    fn unresponsive_voter(&self, now: Time) -> Option<ReplicaId> {
        let group = self.log.replicas();
        let idle = |id| Some((self.time_since_contact(now, id)?, id));
        let (idle, id) = group.voters().filter_map(idle).max()?;
        (idle >= VOTER_TIMEOUT).then_some(id)
    }

    /// Returns true if the group in force and an entry of this term are committed.
    ///
    /// Without the second condition, two leaders could proceed from groups whose majorities do not
    /// overlap.
    fn can_change_group(&self) -> bool {
        self.log.replicas_position() <= self.committed && self.has_committed_in_term()
    }

    pub(super) fn check_group(&self, group: &Replicas) -> Result<()> {
        let conflict = |text: &str| Err(Error::new(Category::Conflict, text));
        if !self.can_change_group() {
            return conflict("an earlier membership change is not committed");
        }
        if group.members().len() > REPLICAS_MAX {
            return conflict("the group has the maximum number of replicas");
        }
        if self.log.replicas().changed_voters(group) > 1 || group.voters().next().is_none() {
            return conflict("only one voter may change at a time");
        }
        Ok(())
    }
}

impl Replicas {
    /// Returns the group with `joiner` as a learner that replaces the member at its address.
    fn with_replacement(&self, joiner: &Member) -> Result<Replicas> {
        let at_link = |m: &&Member| m.link == joiner.link;
        let Some(old) = self.members().iter().find(at_link) else {
            let message = format!("no member of the group has the address {}", joiner.link);
            return Err(Error::invalid(message));
        };
        let earlier = self.members().iter().find(|m| at_link(m) && !m.voter);
        let replaces = match earlier {
            Some(learner) => learner.replaces,
            None => Some(old.id),
        };
        let mut members: Vec<Member> = self.members().to_vec();
        members.retain(|m| m.voter || m.link != joiner.link);
        members.push(Member {
            voter: false,
            replaces,
            ..joiner.clone()
        });
        Ok(Replicas::new(members))
    }

    /// Returns the group with `joiner` as a learner that replaces no member.
    fn with_added_learner(&self, joiner: &Member) -> Replicas {
        let mut members: Vec<Member> = self.members().to_vec();
        members.push(Member {
            voter: false,
            replaces: None,
            ..joiner.clone()
        });
        Replicas::new(members)
    }

    /// Returns the group without the member `id`.
    fn without(&self, id: ReplicaId) -> Replicas {
        let others = self.members().iter().filter(|m| m.id != id);
        Replicas::new(others.cloned().collect())
    }

    /// Returns the group after the next step of the promotion of learner `id`: the removal of the
    /// member that it replaces, or else the promotion itself.
    fn promote(&self, id: ReplicaId) -> Replicas {
        let replaced = self.get(id).and_then(|m| m.replaces);
        let mut members: Vec<Member> = self.members().to_vec();
        match replaced.filter(|old| self.get(*old).is_some()) {
            Some(old) => members.retain(|m| m.id != old),
            None => {
                for m in members.iter_mut().filter(|m| m.id == id) {
                    m.voter = true;
                    m.replaces = None;
                }
            }
        }
        Replicas::new(members)
    }

    /// Returns the number of replicas that are a voter in only one of the two groups.
    fn changed_voters(&self, other: &Replicas) -> usize {
        let removed = self.voters().filter(|v| !other.is_voter(*v)).count();
        let added = other.voters().filter(|v| !self.is_voter(*v)).count();
        removed + added
    }
}
