use std::collections::BTreeSet;

use rand::{Rng, RngExt};

use crate::ids::ReplicaId;
use crate::replica::entry::Replicas;
use crate::replica::machine::{Replica, State};
use crate::replica::message::{Message, RequestVote, RequestVoteResponse};
use crate::replica::{ELECTION_MAX, ELECTION_MIN, RETRY_MAX, RETRY_MIN};
use crate::time::Time;
use crate::units::Term;

impl Replica {
    pub(super) fn tick_election<R: Rng>(&mut self, now: Time, rng: &mut R) {
        let range = match self.state {
            State::Follower | State::Leader(_) => ELECTION_MIN..=ELECTION_MAX,
            State::PreCandidate(_) | State::Candidate(_) => RETRY_MIN..=RETRY_MAX,
        };
        let timeout = *self.timeout.get_or_insert_with(|| rng.random_range(range));
        if now < self.waiting + timeout {
            return;
        }
        self.waiting = now;
        self.timeout = None;
        self.leader = None;
        if !self.electors().is_voter(self.hard_state.id) {
            return;
        }
        self.state = State::PreCandidate(BTreeSet::new());
        let ballot = self.ballot(self.hard_state.term.next());
        self.canvass(Message::PreVote(ballot));
        self.count_pre_vote(now, self.hard_state.id);
    }

    /// Returns who elects a leader: the group, or the founders while there is none.
    fn electors(&self) -> &Replicas {
        if self.log.replicas().is_empty() {
            &self.founders
        } else {
            self.log.replicas()
        }
    }

    /// Returns how many votes elect a leader.
    ///
    /// Founding takes all of them: any later founding attempt then needs the vote of a replica
    /// that holds the first entry, and is refused.
    fn votes_needed(&self) -> usize {
        if self.log.replicas().is_empty() {
            self.founders.voters().count()
        } else {
            self.log.replicas().majority()
        }
    }

    fn ballot(&self, term: Term) -> RequestVote {
        RequestVote {
            term,
            last_term: self.log.last_term(),
            last: self.log.last(),
        }
    }

    fn canvass(&mut self, message: Message) {
        let me = self.hard_state.id;
        let others: Vec<ReplicaId> = self.electors().voters().filter(|v| *v != me).collect();
        for to in others {
            self.send(to, message.clone());
        }
    }

    fn is_up_to_date(&self, ballot: &RequestVote) -> bool {
        (ballot.last_term, ballot.last) >= (self.log.last_term(), self.log.last())
    }

    /// Returns true while this replica may have helped a leader to a lease.
    fn is_bound(&self, now: Time) -> bool {
        now < self.heard + ELECTION_MIN || self.holds_lease(now)
    }

    pub(super) fn receive_pre_vote(&mut self, now: Time, from: ReplicaId, ballot: RequestVote) {
        let granted = ballot.term > self.hard_state.term
            && self.is_up_to_date(&ballot)
            && !self.is_bound(now);
        let term = if granted {
            ballot.term
        } else {
            self.hard_state.term
        };
        self.send(
            from,
            Message::PreVoteResponse(RequestVoteResponse { term, granted }),
        );
    }

    pub(super) fn receive_pre_vote_response(
        &mut self,
        now: Time,
        from: ReplicaId,
        answer: RequestVoteResponse,
    ) {
        if !matches!(self.state, State::PreCandidate(_)) {
            return;
        }
        if answer.granted && answer.term == self.hard_state.term.next() {
            self.count_pre_vote(now, from);
        } else if !answer.granted && answer.term > self.hard_state.term {
            self.step_down(now, answer.term);
        }
    }

    fn count_pre_vote(&mut self, now: Time, from: ReplicaId) {
        let valid = self.electors().is_voter(from);
        let needed = self.votes_needed();
        let State::PreCandidate(votes) = &mut self.state else {
            return;
        };
        if valid {
            votes.insert(from);
        }
        if votes.len() >= needed {
            self.campaign(now);
        }
    }

    fn campaign(&mut self, now: Time) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.hard_state.id);
        self.save_hard_state();
        self.waiting = now;
        self.state = State::Candidate(BTreeSet::new());
        let ballot = self.ballot(self.hard_state.term);
        self.canvass(Message::RequestVote(ballot));
        self.count_vote(now, self.hard_state.id);
    }

    pub(super) fn receive_request_vote(&mut self, now: Time, from: ReplicaId, ballot: RequestVote) {
        if self.is_bound(now) {
            // A higher term is not adopted either, since that would end a good leader's term.
            return;
        }
        if ballot.term > self.hard_state.term {
            self.step_down(now, ballot.term);
        }
        let free = self.hard_state.vote.is_none_or(|v| v == from);
        let granted = ballot.term == self.hard_state.term && free && self.is_up_to_date(&ballot);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.save_hard_state();
        }
        if granted {
            self.waiting = now;
        }
        let term = self.hard_state.term;
        self.send(
            from,
            Message::RequestVoteResponse(RequestVoteResponse { term, granted }),
        );
    }

    pub(super) fn receive_request_vote_response(
        &mut self,
        now: Time,
        from: ReplicaId,
        answer: RequestVoteResponse,
    ) {
        if answer.term > self.hard_state.term {
            self.step_down(now, answer.term);
        } else if answer.granted && answer.term == self.hard_state.term {
            self.count_vote(now, from);
        }
    }

    fn count_vote(&mut self, now: Time, from: ReplicaId) {
        let valid = self.electors().is_voter(from);
        let needed = self.votes_needed();
        let State::Candidate(votes) = &mut self.state else {
            return;
        };
        if valid {
            votes.insert(from);
        }
        if votes.len() >= needed {
            self.take_lead(now);
        }
    }
}
