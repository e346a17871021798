use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;

use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::replica::entry::{Entry, HardState, LogEntry, Member, Replicas, Snapshot};
use crate::replica::follower::Incoming;
use crate::replica::leader::Lead;
use crate::replica::log::Log;
use crate::replica::message::Message;
use crate::time::Time;
use crate::units::{Position, Term};

/// Something that the caller carries out, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync before any later action.
    Persist(Persist),
    /// Send a message; it may be lost, repeated or overtaken.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry; positions follow each other without a gap.
    Apply(LogEntry),
    /// Replace the applied state by that of a snapshot.
    Install(Snapshot),
}

/// A change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist {
    /// Replace the hard state.
    HardState(HardState),
    /// Append entries.
    Append(Vec<LogEntry>),
    /// Remove the entries from this position on.
    Truncate(Position),
    /// Save a snapshot; entries that it covers may be removed afterwards.
    Snapshot(Snapshot),
}

/// What a store holds when a replica starts.
#[derive(Clone, Debug)]
pub struct Stored {
    /// The hard state.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries in their order.
    pub entries: Vec<LogEntry>,
}

/// Bounds of messages and memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most entries in one append message.
    pub append_entries: usize,
    /// Size in bytes after which an append message takes no further entry.
    pub append_bytes: usize,
    /// Size in bytes of one chunk of a snapshot.
    pub chunk_bytes: usize,
    /// Entries kept in memory before the latest snapshot, for followers that are slightly behind.
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

/// The part that a replica plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// What a replica can say about newer entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// Nothing.
    None,
    /// This voter holds no entry after its commit position. A majority of such voters proves that
    /// nothing newer was committed.
    Voter,
    /// The leader holds its lease and has committed in its term, so it speaks for the group.
    Leader,
}

#[derive(Debug)]
pub(super) enum State {
    Follower,
    PreCandidate(BTreeSet<ReplicaId>),
    Candidate(BTreeSet<ReplicaId>),
    Leader(Lead),
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
    /// When a leader was last heard; the start counts, since a lease given before is forgotten.
    pub(super) heard: Time,
    /// When the wait for the next election began.
    pub(super) waiting: Time,
    /// The length of that wait, drawn at the next tick if absent.
    pub(super) timeout: Option<Duration>,
    pub(super) founders: Replicas,
    /// How many voters the group is to have; zero if it never grows.
    pub(super) voter_count: usize,
    pub(super) incoming: Option<Incoming>,
    pub(super) actions: Vec<Action>,
}

impl Replica {
    /// Creates a replica from what its store holds.
    ///
    /// The caller's applied state starts at the snapshot; later entries are applied again.
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
            heard: now,
            waiting: now,
            timeout: None,
            founders: Replicas::default(),
            voter_count: 0,
            incoming: None,
            actions: Vec::new(),
        })
    }

    /// Replaces the default bounds.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Lets the group grow to `count` voters.
    ///
    /// A replica at an unknown address is then let in as a learner. It gets a vote while voters are
    /// missing, or else takes the place of a voter that has been silent
    /// for [`VOTER_SILENCE_MAX`](super::VOTER_SILENCE_MAX).
    pub fn set_voter_count(&mut self, count: usize) {
        self.voter_count = count;
    }

    /// Names the complete initial group, which founds itself by a unanimous vote.
    ///
    /// Has no effect once the replica knows a group.
    pub fn bootstrap(&mut self, members: Vec<Member>) {
        let voting = members.into_iter().map(|m| Member { voter: true, ..m });
        self.founders = Replicas::new(voting.collect());
    }

    /// Lets time pass; to be called at least every 20 ms.
    pub fn tick<R: Rng>(&mut self, now: Time, rng: &mut R) {
        if self.lead().is_some() {
            self.tick_leader(now);
        } else {
            self.tick_election(now, rng);
        }
    }

    /// Takes in a message.
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
        let position = self.append_own(vec![entry]);
        self.send_appends(now);
        self.advance_commit(now);
        Ok(position)
    }

    /// Takes the actions that have come up since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Keeps the caller's state at `position` as a snapshot and shortens the log.
    ///
    /// Ignored unless the position is committed and after the last snapshot.
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

    /// Returns the term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the part played in the term.
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
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the leader of the term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the group in force, empty before the group is founded.
    pub fn replicas(&self) -> &Replicas {
        self.log.replicas()
    }

    /// Returns committed entries after `previous`, bounded in count and bytes, or none if the log
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
        let mut entries = self.log.after(previous, count, bytes);
        entries.retain(|e| e.position <= self.committed);
        Some(entries)
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot()
    }

    /// Returns what this replica can say about entries after its commit position.
    pub fn confirmation(&self, now: Time) -> Confirmation {
        if self.holds_lease(now) && self.has_committed_in_term() {
            return Confirmation::Leader;
        }
        let settled = self.committed == self.log.last() && self.committed > Position(0);
        if settled && self.log.replicas().is_voter(self.hard_state.id) {
            return Confirmation::Voter;
        }
        Confirmation::None
    }

    /// Returns until when this replica speaks for the group, if [`Confirmation::Leader`] applies now.
    pub fn confirmed_until(&self, now: Time) -> Option<Time> {
        let speaks = self.holds_lease(now) && self.has_committed_in_term();
        speaks.then(|| self.lease_end(now))
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.committed) == Some(self.hard_state.term)
    }

    pub(super) fn lead(&self) -> Option<&Lead> {
        match &self.state {
            State::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    pub(super) fn lead_mut(&mut self) -> Option<&mut Lead> {
        match &mut self.state {
            State::Leader(lead) => Some(lead),
            _ => None,
        }
    }

    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    /// Queues the hard state; two in a row become one, since only the latest counts.
    pub(super) fn save_hard_state(&mut self) {
        let persist = Action::Persist(Persist::HardState(self.hard_state));
        match self.actions.last_mut() {
            Some(last @ Action::Persist(Persist::HardState(_))) => *last = persist,
            _ => self.actions.push(persist),
        }
    }

    /// Becomes a follower of `term`, without a vote if the term is new.
    pub(super) fn step_down(&mut self, now: Time, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.save_hard_state();
        }
        self.state = State::Follower;
        self.leader = None;
        self.waiting = now;
        self.timeout = None;
    }

    /// Raises the commit position and queues the entries that it covers.
    pub(super) fn commit_to(&mut self, position: Position) {
        while self.committed < position {
            let next = self.committed.next();
            let entry = self.log.get(next).expect("committed entries are held");
            self.actions.push(Action::Apply(entry.clone()));
            self.committed = next;
        }
    }
}
