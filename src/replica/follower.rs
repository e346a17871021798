//! Entries and snapshots received from a leader.

use bytes::{Bytes, BytesMut};

use crate::ids::ReplicaId;
use crate::replica::entry::{LogEntry, Snapshot};
use crate::replica::machine::{Action, Persist, Replica, State};
use crate::replica::message::{
    AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse, Message,
    SnapshotMetadata,
};
use crate::time::Time;
use crate::units::{Position, Term};

/// A partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: ReplicaId,
    term: Term,
    metadata: SnapshotMetadata,
    data: BytesMut,
}

impl Replica {
    /// Accepts `from` as the leader of `term` and returns true, unless the term is outdated.
    fn follow(&mut self, now: Time, from: ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if term > self.hard_state.term || !matches!(self.state, State::Follower) {
            debug_assert!(term > self.hard_state.term || self.leadership().is_none());
            self.step_down(now, term);
        }
        self.leader = Some(from);
        self.last_contact = now;
        self.timer_start = now;
        true
    }

    pub(super) fn receive_append_entries(
        &mut self,
        now: Time,
        from: ReplicaId,
        append: AppendEntries,
    ) {
        let (sent, previous) = (append.sent, append.previous);
        let followed = self.follow(now, from, append.term);
        let (agreed, position) = if followed {
            self.append_from_leader(append)
        } else {
            (false, self.log.last_position())
        };
        let response = AppendEntriesResponse {
            term: self.hard_state.term,
            sent,
            previous,
            agreed,
            position,
        };
        self.send(from, Message::AppendEntriesResponse(response));
    }

    /// Appends the entries; returns whether the logs match, and the position for the response.
    fn append_from_leader(&mut self, append: AppendEntries) -> (bool, Position) {
        let base = self.log.base();
        let end = Position(append.previous.0 + append.entries.len() as u64);
        if end <= base {
            // Everything up to the base is committed, so the leader holds the same entries.
            return (true, base);
        }
        if append.previous >= base && !self.matches_term(append.previous, append.previous_term) {
            return (false, self.rejection_hint(append.previous));
        }
        self.store_new_entries(append.entries);
        self.commit_to(append.committed.min(end));
        (true, end)
    }

    fn matches_term(&self, position: Position, term: Term) -> bool {
        self.log.term_at(position) == Some(term)
    }

    /// Returns the position before `previous` that the leader should try next.
    fn rejection_hint(&self, previous: Position) -> Position {
        let Some(term) = self.log.term_at(previous) else {
            return self.log.last_position().min(previous);
        };
        let mut first = previous;
        while first > self.committed && self.log.term_at(first) == Some(term) {
            first = Position(first.0 - 1);
        }
        first
    }

    fn store_new_entries(&mut self, entries: Vec<LogEntry>) {
        let base = self.log.base();
        let known = |e: &LogEntry| e.position <= base || self.matches_term(e.position, e.term);
        let fresh: Vec<LogEntry> = entries.into_iter().skip_while(|e| known(e)).collect();
        let Some(first) = fresh.first().map(|e| e.position) else {
            return;
        };
        if first <= self.log.last_position() {
            assert!(first > self.committed, "a committed entry never changes");
            self.log.truncate_from(first);
            self.actions.push(Action::Persist(Persist::Truncate(first)));
        }
        for entry in &fresh {
            self.log.push(entry.clone());
        }
        self.actions.push(Action::Persist(Persist::Append(fresh)));
    }

    pub(super) fn receive_install_snapshot(
        &mut self,
        now: Time,
        from: ReplicaId,
        chunk: InstallSnapshot,
    ) {
        let (sent, position) = (chunk.sent, chunk.metadata.position);
        if !self.follow(now, from, chunk.term) {
            return self.respond_chunk(from, sent, position, 0);
        }
        if position <= self.committed {
            return self.respond_installed(from, sent, self.committed);
        }
        let received = self.add_chunk(from, chunk);
        match self.incoming.take_if(|i| i.is_complete()) {
            Some(incoming) => {
                self.install(incoming.into_snapshot());
                self.respond_installed(from, sent, position);
            }
            None => self.respond_chunk(from, sent, position, received),
        }
    }

    /// Adds a chunk at the end of the incoming snapshot; returns the number of bytes received.
    fn add_chunk(&mut self, from: ReplicaId, chunk: InstallSnapshot) -> u64 {
        let same = |i: &IncomingSnapshot| {
            i.from == from && i.term == chunk.term && i.metadata == chunk.metadata
        };
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(IncomingSnapshot {
                from,
                term: chunk.term,
                metadata: chunk.metadata,
                data: BytesMut::new(),
            });
        }
        let incoming = self.incoming.as_mut().expect("set above");
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.bytes);
        }
        incoming.data.len() as u64
    }

    /// Replaces the state by a snapshot.
    ///
    /// Conflicting entries after the snapshot are truncated first, so that a crash never leaves
    /// them after it. Acknowledged entries before it stay until the snapshot is on disk.
    fn install(&mut self, snapshot: Snapshot) {
        let keeps = self.matches_term(snapshot.position, snapshot.term);
        let first = snapshot.position.next();
        if !keeps && first <= self.log.last_position() {
            self.actions.push(Action::Persist(Persist::Truncate(first)));
        }
        let persist = Persist::Snapshot(snapshot.clone());
        self.actions.push(Action::Persist(persist));
        self.committed = snapshot.position;
        if keeps {
            self.log.compact(snapshot.clone(), 0);
        } else {
            self.log.reset(snapshot.clone());
        }
        self.actions.push(Action::Install(snapshot));
    }

    fn respond_chunk(&mut self, to: ReplicaId, sent: Time, position: Position, received: u64) {
        let response = InstallSnapshotResponse {
            term: self.hard_state.term,
            sent,
            position,
            received,
        };
        self.send(to, Message::InstallSnapshotResponse(response));
    }

    fn respond_installed(&mut self, to: ReplicaId, sent: Time, position: Position) {
        let response = AppendEntriesResponse {
            term: self.hard_state.term,
            sent,
            previous: position,
            agreed: true,
            position,
        };
        self.send(to, Message::AppendEntriesResponse(response));
    }
}

impl IncomingSnapshot {
    fn is_complete(&self) -> bool {
        self.data.len() as u64 >= self.metadata.size
    }

    fn into_snapshot(self) -> Snapshot {
        Snapshot {
            position: self.metadata.position,
            term: self.metadata.term,
            replicas: self.metadata.replicas,
            data: Bytes::from(self.data),
        }
    }
}
