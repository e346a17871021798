//! Replication to followers, the lease and the commit position of a leader.

use std::time::Duration;

use crate::ids::ReplicaId;
use crate::replica::entry::{Entry, LogEntry, Snapshot};
use crate::replica::machine::{Action, Persist, Replica, State};
use crate::replica::message::{
    AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse, Message,
    SnapshotMetadata,
};
use crate::replica::{HEARTBEAT_INTERVAL, LEASE, RESEND_TIMEOUT};
use crate::time::Time;
use crate::units::Position;

/// The volatile state of a leader.
#[derive(Debug)]
pub(super) struct Leadership {
    /// The time of the election; the leader waits one lease for the first responses.
    elected_at: Time,
    heartbeat_due: Time,
    followers: Vec<Progress>,
}

/// The replication progress of another member.
#[derive(Debug)]
pub(super) struct Progress {
    id: ReplicaId,
    /// When this leader began to replicate to the member.
    added: Time,
    /// The position of the next entry to send.
    next: Position,
    /// The last position that the member is known to have synced.
    matched: Position,
    /// The send time of the latest acknowledged request, on the leader's clock.
    last_ack: Option<Time>,
    /// The send time of entries or a chunk without a response so far.
    in_flight: Option<Time>,
    transfer: Option<Transfer>,
}

/// A snapshot transfer to a follower.
#[derive(Debug)]
struct Transfer {
    snapshot: Snapshot,
    offset: u64,
}

impl Replica {
    /// Becomes the leader of the current term.
    ///
    /// The first entry of a term lets the leader commit the entries of earlier leaders. It is
    /// empty, or holds the initial group when it bootstraps the group.
    pub(super) fn become_leader(&mut self, now: Time) {
        self.state = State::Leader(Leadership {
            elected_at: now,
            heartbeat_due: now,
            followers: Vec::new(),
        });
        self.leader = Some(self.hard_state.id);
        let first = if self.log.replicas().is_empty() {
            Entry::Replicas(self.initial_group.clone())
        } else {
            Entry::Empty
        };
        self.append_as_leader(now, vec![first]);
        self.send_appends(now);
        self.advance_commit(now);
    }

    pub(super) fn tick_leader(&mut self, now: Time) {
        if now >= self.lease_end(now).max(self.lease_grace_end()) {
            return self.step_down(now, self.hard_state.term);
        }
        self.advance_membership(now);
        self.send_heartbeats(now);
    }

    /// Returns the time until which a new leader waits for the first responses.
    fn lease_grace_end(&self) -> Time {
        self.leadership()
            .map_or(Time::ZERO, |l| l.elected_at + LEASE)
    }

    /// Returns true if this replica leads and a majority responded within the lease.
    pub fn holds_lease(&self, now: Time) -> bool {
        self.leadership().is_some() && now < self.lease_end(now)
    }

    /// Returns the last position that member `id` is known to hold, or `None` on a follower.
    pub fn position_of(&self, id: ReplicaId) -> Option<Position> {
        let lead = self.leadership()?;
        if id == self.hard_state.id {
            return Some(self.log.last_position());
        }
        let follower = lead.followers.iter().find(|f| f.id == id)?;
        Some(follower.matched)
    }

    /// Returns the time since the last contact with another member, or `None` on a follower.
    pub(super) fn time_since_contact(&self, now: Time, id: ReplicaId) -> Option<Duration> {
        let lead = self.leadership()?;
        let follower = lead.followers.iter().find(|f| f.id == id)?;
        let contact = follower.last_ack.max(Some(follower.added));
        contact.map(|contact| now.since(contact))
    }

    /// Returns the end of the lease that the responses of a majority extend.
    pub(super) fn lease_end(&self, now: Time) -> Time {
        let Some(lead) = self.leadership() else {
            return Time::ZERO;
        };
        let group = self.log.replicas();
        let mut acks: Vec<Time> = group
            .voters()
            .map(|id| match lead.followers.iter().find(|f| f.id == id) {
                Some(f) => f.last_ack.unwrap_or(Time::ZERO),
                None if id == self.hard_state.id => now,
                None => Time::ZERO,
            })
            .collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        let quorum_ack = acks.get(group.majority() - 1).copied();
        quorum_ack.map_or(Time::ZERO, |t| t + LEASE)
    }

    /// Appends entries in the leader's term; returns the position of the last.
    pub(super) fn append_as_leader(&mut self, now: Time, entries: Vec<Entry>) -> Position {
        let mut log_entries = Vec::with_capacity(entries.len());
        for entry in entries {
            let log_entry = LogEntry {
                position: self.log.last_position().next(),
                term: self.hard_state.term,
                entry,
            };
            self.log.push(log_entry.clone());
            log_entries.push(log_entry);
        }
        self.actions
            .push(Action::Persist(Persist::Append(log_entries)));
        self.update_followers(now);
        self.log.last_position()
    }

    /// Keeps one [`Progress`] for each other member of the current group.
    fn update_followers(&mut self, now: Time) {
        let me = self.hard_state.id;
        let last = self.log.last_position();
        let ids: Vec<ReplicaId> = self.log.replicas().members().iter().map(|m| m.id).collect();
        let Some(lead) = self.leadership_mut() else {
            return;
        };
        lead.followers.retain(|f| ids.contains(&f.id));
        for id in ids {
            if id == me || lead.followers.iter().any(|f| f.id == id) {
                continue;
            }
            lead.followers.push(Progress {
                id,
                added: now,
                next: last,
                matched: Position(0),
                last_ack: None,
                in_flight: None,
                transfer: None,
            });
        }
    }

    /// Sends a heartbeat to all followers when one is due.
    fn send_heartbeats(&mut self, now: Time) {
        let Some(lead) = self.leadership_mut() else {
            return;
        };
        if now < lead.heartbeat_due {
            return;
        }
        lead.heartbeat_due = now + HEARTBEAT_INTERVAL;
        for f in &mut lead.followers {
            f.in_flight = f.in_flight.filter(|sent| now < *sent + RESEND_TIMEOUT);
        }
        for i in 0..self.follower_count() {
            self.send_to(now, i, true);
        }
    }

    /// Sends entries to every follower that lacks some and has responded to the last ones.
    pub(super) fn send_appends(&mut self, now: Time) {
        for i in 0..self.follower_count() {
            self.send_to(now, i, false);
        }
    }

    fn follower_count(&self) -> usize {
        self.leadership().map_or(0, |l| l.followers.len())
    }

    /// Sends the next entries or chunk to a follower; if there are none, only with `heartbeat` set.
    fn send_to(&mut self, now: Time, i: usize, heartbeat: bool) {
        let last = self.log.last_position();
        let base = self.log.base();
        let snapshot = self.log.snapshot().cloned();
        let chunk_bytes = self.limits.chunk_bytes;
        let Some(f) = self.leadership_mut().and_then(|l| l.followers.get_mut(i)) else {
            return;
        };
        if f.transfer.is_none() && f.next <= base {
            let snapshot = snapshot.expect("a log with a base has a snapshot");
            f.transfer = Some(Transfer {
                snapshot,
                offset: 0,
            });
        }
        let has_data = f.transfer.is_some() || f.next <= last;
        let sends_data = has_data && f.in_flight.is_none();
        if !sends_data && !heartbeat {
            return;
        }
        if sends_data {
            f.in_flight = Some(now);
        }
        let to = f.id;
        let message = match &f.transfer {
            Some(transfer) => transfer.chunk(now, if sends_data { chunk_bytes } else { 0 }),
            None => Message::AppendEntries(AppendEntries {
                previous: Position(f.next.0 - 1),
                ..AppendEntries::heartbeat(now)
            }),
        };
        let message = self.fill_message(message, sends_data);
        self.send(to, message);
    }

    /// Fills in the term and, for `AppendEntries`, the entries and the commit position.
    fn fill_message(&self, message: Message, sends_data: bool) -> Message {
        let term = self.hard_state.term;
        match message {
            Message::InstallSnapshot(chunk) => {
                Message::InstallSnapshot(InstallSnapshot { term, ..chunk })
            }
            Message::AppendEntries(append) => {
                let previous = append.previous;
                let entries = if sends_data {
                    let limits = self.limits;
                    self.log
                        .entries_after(previous, limits.append_entries, limits.append_bytes)
                } else {
                    Vec::new()
                };
                let previous_term = self.log.term_at(previous).expect("base is before next");
                Message::AppendEntries(AppendEntries {
                    term,
                    previous_term,
                    entries,
                    committed: self.committed,
                    ..append
                })
            }
            other => other,
        }
    }

    fn follower_index(&self, id: ReplicaId) -> Option<usize> {
        self.leadership()?.followers.iter().position(|f| f.id == id)
    }

    pub(super) fn receive_append_entries_response(
        &mut self,
        now: Time,
        from: ReplicaId,
        response: AppendEntriesResponse,
    ) {
        if response.term > self.hard_state.term {
            return self.step_down(now, response.term);
        }
        if response.term < self.hard_state.term {
            return;
        }
        let last = self.log.last_position();
        let Some(i) = self.follower_index(from) else {
            return;
        };
        let f = &mut self.leadership_mut().expect("it has followers").followers[i];
        f.last_ack = f.last_ack.max(Some(response.sent));
        if response.agreed {
            f.record_match(response.position.min(last));
        } else {
            f.record_mismatch(&response);
        }
        self.advance_commit(now);
        if let Some(i) = self.follower_index(from) {
            self.send_to(now, i, false);
        }
    }

    pub(super) fn receive_install_snapshot_response(
        &mut self,
        now: Time,
        from: ReplicaId,
        response: InstallSnapshotResponse,
    ) {
        if response.term > self.hard_state.term {
            return self.step_down(now, response.term);
        }
        if response.term < self.hard_state.term {
            return;
        }
        let Some(i) = self.follower_index(from) else {
            return;
        };
        let f = &mut self.leadership_mut().expect("it has followers").followers[i];
        f.last_ack = f.last_ack.max(Some(response.sent));
        if let Some(transfer) = &mut f.transfer
            && transfer.snapshot.position == response.position
            && transfer.offset != response.received
        {
            transfer.offset = response.received;
            f.in_flight = None;
        }
        self.send_to(now, i, false);
    }

    /// Commits the entries that a majority of the voters has synced, if the last one belongs to the
    /// leader's own term.
    ///
    /// An entry of an earlier term can still be overwritten by another leader although a majority
    /// holds it, so it commits together with a later entry of this term.
    pub(super) fn advance_commit(&mut self, now: Time) {
        let Some(lead) = self.leadership() else {
            return;
        };
        let group = self.log.replicas();
        let mut synced: Vec<Position> = group
            .voters()
            .map(|id| match lead.followers.iter().find(|f| f.id == id) {
                Some(f) => f.matched,
                None => self.log.last_position(),
            })
            .collect();
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&position) = synced.get(group.majority() - 1) else {
            return;
        };
        let own = self.log.term_at(position) == Some(self.hard_state.term);
        if position <= self.committed || !own {
            return;
        }
        self.commit_to(position);
        self.broadcast_commit(now);
    }

    /// Sends a new commit position to the followers immediately.
    fn broadcast_commit(&mut self, now: Time) {
        for i in 0..self.follower_count() {
            self.send_to(now, i, true);
        }
    }

    /// Returns true if learner `id` holds every committed entry and responded within the lease.
    pub(super) fn has_caught_up(&self, now: Time, id: ReplicaId) -> bool {
        let follower = self
            .leadership()
            .and_then(|l| l.followers.iter().find(|f| f.id == id));
        follower.is_some_and(|f| {
            f.matched >= self.committed && f.last_ack.is_some_and(|t| now < t + LEASE)
        })
    }
}

impl Progress {
    fn record_match(&mut self, position: Position) {
        if let Some(transfer) = &self.transfer
            && transfer.snapshot.position <= position
        {
            self.transfer = None;
            self.in_flight = None;
        }
        if position >= self.next {
            self.in_flight = None;
        }
        self.matched = self.matched.max(position);
        self.next = self.next.max(self.matched.next());
    }

    /// Moves back to the position that the follower suggests, unless the response is outdated.
    fn record_mismatch(&mut self, response: &AppendEntriesResponse) {
        if response.previous.next() != self.next {
            return;
        }
        self.next = response.position.next().min(self.next);
        self.next = self.next.max(self.matched.next());
        self.in_flight = None;
    }
}

impl Transfer {
    /// Returns the next chunk of at most `size` bytes; one without bytes is a heartbeat.
    fn chunk(&self, now: Time, size: usize) -> Message {
        let data = &self.snapshot.data;
        let start = (self.offset as usize).min(data.len());
        let end = (start + size).min(data.len());
        Message::InstallSnapshot(InstallSnapshot {
            term: Default::default(),
            sent: now,
            metadata: SnapshotMetadata {
                position: self.snapshot.position,
                term: self.snapshot.term,
                replicas: self.snapshot.replicas.clone(),
                size: data.len() as u64,
            },
            offset: self.offset,
            bytes: data.slice(start..end),
        })
    }
}

impl AppendEntries {
    fn heartbeat(now: Time) -> AppendEntries {
        AppendEntries {
            term: Default::default(),
            previous: Position(0),
            previous_term: Default::default(),
            entries: Vec::new(),
            committed: Position(0),
            sent: now,
        }
    }
}
