//! The state machine of one replica.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::replica::entry::{Entry, HardState, LogEntry, Member, Replicas, Snapshot};
use crate::replica::follower::IncomingSnapshot;
use crate::replica::leader::Leadership;
use crate::replica::log::Log;
use crate::replica::message::Message;
use crate::time::Time;
use crate::units::{Position, Term};

/// An operation that the caller must execute, in the given order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync before executing any later action.
    Persist(Persist),
    /// Send a message; it may be lost, duplicated or reordered.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry; positions are consecutive.
    Apply(LogEntry),
    /// Replace the applied state by the state in a snapshot.
    Install(Snapshot),
}

/// A change to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// Replace the hard state.
    HardState(HardState),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Remove the entry at this position and all later ones.
    Truncate(Position),
    /// Save a snapshot; entries that it covers may then be removed.
    Snapshot(Snapshot),
}

/// The content of the store when a replica starts.
#[derive(Clone, Debug)]
pub struct Stored {
    /// The hard state.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries, in order.
    pub entries: Vec<LogEntry>,
}

/// Limits on messages and memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest number of entries in one message.
    pub append_entries: usize,
    /// Size in bytes after which no further entry is added to a message.
    pub append_bytes: usize,
    /// Size in bytes of one chunk of a snapshot.
    pub chunk_bytes: usize,
    /// Entries covered by the latest snapshot that stay in memory, for followers that are slightly
    /// behind.
    pub kept_entries: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            append_entries: 256,
            append_bytes: 512 * 1024,
            chunk_bytes: 256 * 1024,
            kept_entries: 512,
        }
    }
}

/// The role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Runs a pre-vote, which shows whether an election could succeed.
    PreCandidate,
    /// Runs an election.
    Candidate,
    /// Replicates entries to the other members.
    Leader,
}

/// The extent to which a replica confirms that no entry after its commit position was committed.
///
/// It serves the purpose of a Raft read index, for reads at any replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// No confirmation.
    None,
    /// This voter holds no entry after its commit position. A majority of such voters proves that
    /// nothing newer was committed.
    Voter,
    /// The leader holds its lease and has committed an entry in its term, which alone proves that
    /// nothing newer was committed.
    Leader,
}

#[derive(Debug)]
pub(super) enum State {
    Follower,
    PreCandidate(BTreeSet<ReplicaId>),
    Candidate(BTreeSet<ReplicaId>),
    Leader(Leadership),
}

/// One member of the group.
///
/// # Example
///
/// ```
/// use laburnumtide::ids::ReplicaId;
/// use laburnumtide::replica::{HardState, Replica, Role, Stored};
/// use laburnumtide::time::Time;
///
/// let hard_state = HardState::new(ReplicaId(1));
/// let stored = Stored { hard_state, snapshot: None, entries: Vec::new() };
/// let replica = Replica::restore(Time::from_millis(0), stored).unwrap();
/// assert_eq!(replica.role(), Role::Follower);
/// ```
#[derive(Debug)]
pub struct Replica {
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) limits: Limits,
    pub(super) committed: Position,
    pub(super) state: State,
    pub(super) leader: Option<ReplicaId>,
    /// The time of the last message from a leader; initially the start time, since the replica may
    /// have acknowledged a lease just before a restart.
    pub(super) last_contact: Time,
    /// The start of the election timer.
    pub(super) timer_start: Time,
    /// The election timeout, drawn at the next tick if absent.
    pub(super) election_timeout: Option<Duration>,
    pub(super) initial_group: Replicas,
    /// The number of voters up to which the group grows; zero if it never grows.
    pub(super) voter_count: usize,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) actions: Vec<Action>,
}

impl Replica {
    /// Restores a replica from the content of its store.
    ///
    /// The caller's applied state must start at the snapshot; later entries are applied again.
    ///
    /// # Errors
    ///
    /// Fails if the entries contradict each other or the snapshot.
    pub fn restore(now: Time, stored: Stored) -> Result<Replica> {
        let log = Log::restore(stored.snapshot, stored.entries)?;
        Ok(Replica {
            hard_state: stored.hard_state,
            committed: log.base(),
            log,
            limits: Limits::default(),
            state: State::Follower,
            leader: None,
            last_contact: now,
            timer_start: now,
            election_timeout: None,
            initial_group: Replicas::default(),
            voter_count: 0,
            incoming: None,
            actions: Vec::new(),
        })
    }

    /// Replaces the default limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Sets the number of voters to which the group grows.
    ///
    /// A replica at an unknown address can then join as a learner. It is promoted while the group
    /// has fewer voters, and otherwise replaces a voter without contact for
    /// [`VOTER_TIMEOUT`](super::VOTER_TIMEOUT).
    pub fn set_voter_count(&mut self, count: usize) {
        self.voter_count = count;
    }

    /// Sets the initial members, which bootstrap the group by a unanimous vote.
    ///
    /// Has no effect once the log of the replica contains a group.
    pub fn bootstrap(&mut self, members: Vec<Member>) {
        let voting = members.into_iter().map(|m| Member { voter: true, ..m });
        self.initial_group = Replicas::new(voting.collect());
    }

    /// Advances the timers; must be called at least every 20 ms.
    pub fn tick<R: Rng>(&mut self, now: Time, rng: &mut R) {
        if self.leadership().is_some() {
            self.tick_leader(now);
        } else {
            self.tick_election(now, rng);
        }
    }

    /// Handles a message.
    pub fn receive(&mut self, now: Time, from: ReplicaId, message: Message) {
        match message {
            Message::PreVote(m) => self.receive_pre_vote(now, from, m),
            Message::PreVoteResponse(m) => self.receive_pre_vote_response(now, from, m),
            Message::RequestVote(m) => self.receive_request_vote(now, from, m),
            Message::RequestVoteResponse(m) => self.receive_request_vote_response(now, from, m),
            Message::AppendEntries(m) => self.receive_append_entries(now, from, m),
            Message::AppendEntriesResponse(m) => self.receive_append_entries_response(now, from, m),
            Message::InstallSnapshot(m) => self.receive_install_snapshot(now, from, m),
            Message::InstallSnapshotResponse(m) => {
                self.receive_install_snapshot_response(now, from, m)
            }
        }
    }

    /// Appends an entry as the leader.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`](crate::error::Category::Unavailable) if this replica
    /// doesn't lead with a lease, and with `Conflict` for a change of the group that is not one
    /// step from a committed group.
    pub fn propose(&mut self, now: Time, entry: Entry) -> Result<Position> {
        if !self.holds_lease(now) {
            return Err(Error::unavailable("this replica doesn't lead"));
        }
        if let Entry::Replicas(group) = &entry {
            self.check_group(group)?;
        }
        let position = self.append_as_leader(now, vec![entry]);
        self.send_appends(now);
        self.advance_commit(now);
        Ok(position)
    }

    /// Returns the actions queued since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Stores the caller's state at `position` as a snapshot and compacts the log.
    ///
    /// Has no effect unless the position is committed and after the last snapshot.
    pub fn compact(&mut self, position: Position, data: Bytes) {
        let known = self.log.snapshot().map_or(Position(0), |s| s.position);
        if position > self.committed || position <= known {
            return;
        }
        let Some(term) = self.log.term_at(position) else {
            return;
        };
        let replicas = self.log.replicas_at(position).clone();
        let snapshot = Snapshot {
            position,
            term,
            replicas,
            data,
        };
        let persist = Persist::Snapshot(snapshot.clone());
        self.actions.push(Action::Persist(persist));
        self.log.compact(snapshot, self.limits.kept_entries);
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.hard_state.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
        }
    }

    /// Returns the last position known to be committed.
    pub fn committed(&self) -> Position {
        self.committed
    }

    /// Returns the last position of the log, committed or not.
    pub fn last_position(&self) -> Position {
        self.log.last_position()
    }

    /// Returns the leader of the term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the group in force; empty before the bootstrap.
    pub fn replicas(&self) -> &Replicas {
        self.log.replicas()
    }

    /// Returns committed entries after `previous`, limited in count and bytes, or `None` if the log
    /// no longer holds the first of them.
    pub fn entries_after(
        &self,
        previous: Position,
        count: usize,
        bytes: usize,
    ) -> Option<Vec<LogEntry>> {
        if previous < self.log.base() {
            return None;
        }
        let mut entries = self.log.entries_after(previous, count, bytes);
        entries.retain(|e| e.position <= self.committed);
        Some(entries)
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot()
    }

    /// Returns whether this replica confirms that nothing after its commit position was committed.
    pub fn confirmation(&self, now: Time) -> Confirmation {
        if self.holds_lease(now) && self.has_committed_in_term() {
            return Confirmation::Leader;
        }
        let is_fully_committed =
            self.committed == self.log.last_position() && self.committed > Position(0);
        if is_fully_committed && self.log.replicas().is_voter(self.hard_state.id) {
            return Confirmation::Voter;
        }
        Confirmation::None
    }

    /// Returns the time until which [`Confirmation::Leader`] holds, if it holds now.
    pub fn confirmed_until(&self, now: Time) -> Option<Time> {
        let is_confirmed = self.holds_lease(now) && self.has_committed_in_term();
        is_confirmed.then(|| self.lease_end(now))
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.committed) == Some(self.hard_state.term)
    }

    pub(super) fn leadership(&self) -> Option<&Leadership> {
        match &self.state {
            State::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    pub(super) fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.state {
            State::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    /// Queues the hard state, in place of a directly preceding one.
    pub(super) fn save_hard_state(&mut self) {
        let persist = Action::Persist(Persist::HardState(self.hard_state));
        match self.actions.last_mut() {
            Some(last @ Action::Persist(Persist::HardState(_))) => *last = persist,
            _ => self.actions.push(persist),
        }
    }

    /// Becomes a follower in `term` and clears the vote if the term is new.
    pub(super) fn step_down(&mut self, now: Time, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.save_hard_state();
        }
        self.state = State::Follower;
        self.leader = None;
        self.timer_start = now;
        self.election_timeout = None;
    }

    /// Advances the commit position and queues the newly committed entries.
    pub(super) fn commit_to(&mut self, position: Position) {
        while self.committed < position {
            let next = self.committed.next();
            let entry = self.log.get(next).expect("committed entries are held");
            self.actions.push(Action::Apply(entry.clone()));
            self.committed = next;
        }
    }
}
