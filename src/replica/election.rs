//! Pre-votes and elections.

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
        let timeout = *self
            .election_timeout
            .get_or_insert_with(|| rng.random_range(range));
        if now < self.timer_start + timeout {
            return;
        }
        self.timer_start = now;
        self.election_timeout = None;
        self.leader = None;
        if !self.voting_group().is_voter(self.hard_state.id) {
            return;
        }
        self.state = State::PreCandidate(BTreeSet::new());
        let request = self.vote_request(self.hard_state.term.next());
        self.broadcast(Message::PreVote(request));
        self.count_pre_vote(now, self.hard_state.id);
    }

    /// Returns the group whose voters elect a leader: the initial members before the bootstrap.
    fn voting_group(&self) -> &Replicas {
        if self.log.replicas().is_empty() {
            &self.initial_group
        } else {
            self.log.replicas()
        }
    }

    /// Returns the number of votes that elect a leader.
    ///
    /// A bootstrap needs all of them: any later attempt to bootstrap then needs the vote of a
    /// replica that holds the first entry, and fails.
    fn votes_needed(&self) -> usize {
        if self.log.replicas().is_empty() {
            self.initial_group.voters().count()
        } else {
            self.log.replicas().majority()
        }
    }

    fn vote_request(&self, term: Term) -> RequestVote {
        RequestVote {
            term,
            last_term: self.log.last_term(),
            last_position: self.log.last_position(),
        }
    }

    fn broadcast(&mut self, message: Message) {
        let me = self.hard_state.id;
        let others: Vec<ReplicaId> = self.voting_group().voters().filter(|v| *v != me).collect();
        for to in others {
            self.send(to, message.clone());
        }
    }

    fn is_up_to_date(&self, request: &RequestVote) -> bool {
        (request.last_term, request.last_position)
            >= (self.log.last_term(), self.log.last_position())
    }

    /// Returns true while a leader may hold a lease that counts an acknowledgement of this replica.
    fn is_lease_possible(&self, now: Time) -> bool {
        now < self.last_contact + ELECTION_MIN || self.holds_lease(now)
    }

    pub(super) fn receive_pre_vote(&mut self, now: Time, from: ReplicaId, request: RequestVote) {
        let granted = request.term > self.hard_state.term
            && self.is_up_to_date(&request)
            && !self.is_lease_possible(now);
        let term = if granted {
            request.term
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
        response: RequestVoteResponse,
    ) {
        if !matches!(self.state, State::PreCandidate(_)) {
            return;
        }
        if response.granted && response.term == self.hard_state.term.next() {
            self.count_pre_vote(now, from);
        } else if !response.granted && response.term > self.hard_state.term {
            self.step_down(now, response.term);
        }
    }

    fn count_pre_vote(&mut self, now: Time, from: ReplicaId) {
        let valid = self.voting_group().is_voter(from);
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
        self.timer_start = now;
        self.state = State::Candidate(BTreeSet::new());
        let request = self.vote_request(self.hard_state.term);
        self.broadcast(Message::RequestVote(request));
        self.count_vote(now, self.hard_state.id);
    }

    pub(super) fn receive_request_vote(
        &mut self,
        now: Time,
        from: ReplicaId,
        request: RequestVote,
    ) {
        if self.is_lease_possible(now) {
            // A higher term is not adopted either, since that would depose a working leader.
            return;
        }
        if request.term > self.hard_state.term {
            self.step_down(now, request.term);
        }
        let free = self.hard_state.vote.is_none_or(|v| v == from);
        let granted = request.term == self.hard_state.term && free && self.is_up_to_date(&request);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.save_hard_state();
        }
        if granted {
            self.timer_start = now;
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
        response: RequestVoteResponse,
    ) {
        if response.term > self.hard_state.term {
            self.step_down(now, response.term);
        } else if response.granted && response.term == self.hard_state.term {
            self.count_vote(now, from);
        }
    }

    fn count_vote(&mut self, now: Time, from: ReplicaId) {
        let valid = self.voting_group().is_voter(from);
        let needed = self.votes_needed();
        let State::Candidate(votes) = &mut self.state else {
            return;
        };
        if valid {
            votes.insert(from);
        }
        if votes.len() >= needed {
            self.become_leader(now);
        }
    }
}
