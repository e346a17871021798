use std::time::Duration;

use crate::ids::ReplicaId;
use crate::replica::entry::{Entry, LogEntry, Snapshot};
use crate::replica::machine::{Action, Persist, Replica, State};
use crate::replica::message::{
    AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse, Message,
    SnapshotHead,
};
use crate::replica::{HEARTBEAT, LEASE, RESEND};
use crate::time::Time;
use crate::units::Position;

/// What a leader knows about its term.
#[derive(Debug)]
pub(super) struct Lead {
    /// When it was elected; it may wait one lease for the first answers.
    since: Time,
    beat_due: Time,
    followers: Vec<Progress>,
}

/// What a leader knows about one other member.
#[derive(Debug)]
pub(super) struct Progress {
    id: ReplicaId,
    /// The position of the next entry to send.
    next: Position,
    /// The last position known to be synced there.
    matched: Position,
    /// The latest send time that was answered, on the leader's clock.
    acked: Option<Time>,
    /// When entries or a chunk went out that are not answered yet.
    busy: Option<Time>,
    transfer: Option<Transfer>,
}

/// A snapshot on its way to a follower.
#[derive(Debug)]
struct Transfer {
    snapshot: Snapshot,
    offset: u64,
}

impl Replica {
    /// Becomes the leader of the term in which it was elected.
    ///
    /// The first entry of a term lets the leader commit what earlier leaders left. It is empty, or
    /// names the group when this is the founding term.
    pub(super) fn take_lead(&mut self, now: Time) {
        self.state = State::Leader(Lead {
            since: now,
            beat_due: now,
            followers: Vec::new(),
        });
        self.leader = Some(self.hard_state.id);
        let first = if self.log.replicas().is_empty() {
            Entry::Replicas(self.founders.clone())
        } else {
            Entry::Empty
        };
        self.append_own(vec![first]);
        self.send_appends(now);
        self.advance_commit(now);
    }

    pub(super) fn tick_leader(&mut self, now: Time) {
        if now >= self.lease_end(now).max(self.lease_grace()) {
            return self.step_down(now, self.hard_state.term);
        }
        self.change_group(now);
        self.beat(now);
    }

    fn lease_grace(&self) -> Time {
        self.lead().map_or(Time::ZERO, |l| l.since + LEASE)
    }

    /// Returns true if this replica leads and a majority answered within the lease.
    pub fn holds_lease(&self, now: Time) -> bool {
        self.lead().is_some() && now < self.lease_end(now)
    }

    /// Returns the last position that member `id` is known to hold; only a leader knows it.
    pub fn position_of(&self, id: ReplicaId) -> Option<Position> {
        let lead = self.lead()?;
        if id == self.hard_state.id {
            return Some(self.log.last());
        }
        let follower = lead.followers.iter().find(|f| f.id == id)?;
        Some(follower.matched)
    }

    /// Returns the time since the last sign of another member; only a leader knows it.
    pub(super) fn silence_of(&self, now: Time, id: ReplicaId) -> Option<Duration> {
        let lead = self.lead()?;
        let follower = lead.followers.iter().find(|f| f.id == id)?;
        let heard = follower
            .acked
            .map_or(lead.since, |acked| acked.max(lead.since));
        Some(now.since(heard))
    }

    /// Returns when the lease given by the answers of a majority ends.
    pub(super) fn lease_end(&self, now: Time) -> Time {
        let Some(lead) = self.lead() else {
            return Time::ZERO;
        };
        let group = self.log.replicas();
        let mut acked: Vec<Time> = group
            .voters()
            .map(|id| match lead.followers.iter().find(|f| f.id == id) {
                Some(f) => f.acked.unwrap_or(Time::ZERO),
                None if id == self.hard_state.id => now,
                None => Time::ZERO,
            })
            .collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let weakest = acked.get(group.majority() - 1).copied();
        weakest.map_or(Time::ZERO, |t| t + LEASE)
    }

    /// Appends entries of this leader's term; returns the position of the last.
    pub(super) fn append_own(&mut self, entries: Vec<Entry>) -> Position {
        let mut records = Vec::with_capacity(entries.len());
        for entry in entries {
            let record = LogEntry {
                position: self.log.last().next(),
                term: self.hard_state.term,
                entry,
            };
            self.log.push(record.clone());
            records.push(record);
        }
        self.actions.push(Action::Persist(Persist::Append(records)));
        self.match_followers();
        self.log.last()
    }

    /// Keeps one progress for each other member of the group in force.
    fn match_followers(&mut self) {
        let me = self.hard_state.id;
        let last = self.log.last();
        let ids: Vec<ReplicaId> = self.log.replicas().members().iter().map(|m| m.id).collect();
        let Some(lead) = self.lead_mut() else {
            return;
        };
        lead.followers.retain(|f| ids.contains(&f.id));
        for id in ids {
            if id == me || lead.followers.iter().any(|f| f.id == id) {
                continue;
            }
            lead.followers.push(Progress {
                id,
                next: last,
                matched: Position(0),
                acked: None,
                busy: None,
                transfer: None,
            });
        }
    }

    /// Sends a heartbeat to all followers when one is due.
    fn beat(&mut self, now: Time) {
        let Some(lead) = self.lead_mut() else {
            return;
        };
        if now < lead.beat_due {
            return;
        }
        lead.beat_due = now + HEARTBEAT;
        for f in &mut lead.followers {
            f.busy = f.busy.filter(|sent| now < *sent + RESEND);
        }
        for i in 0..self.follower_count() {
            self.send_to(now, i, true);
        }
    }

    /// Sends entries to every follower that lacks some and has answered the last ones.
    pub(super) fn send_appends(&mut self, now: Time) {
        for i in 0..self.follower_count() {
            self.send_to(now, i, false);
        }
    }

    fn follower_count(&self) -> usize {
        self.lead().map_or(0, |l| l.followers.len())
    }

    /// Sends what a follower needs next; without need only if `beat` is set.
    fn send_to(&mut self, now: Time, i: usize, beat: bool) {
        let last = self.log.last();
        let base = self.log.base();
        let snapshot = self.log.snapshot().cloned();
        let chunk_bytes = self.limits.chunk_bytes;
        let Some(f) = self.lead_mut().and_then(|l| l.followers.get_mut(i)) else {
            return;
        };
        if f.transfer.is_none() && f.next <= base {
            let snapshot = snapshot.expect("a log with a base has a snapshot");
            f.transfer = Some(Transfer {
                snapshot,
                offset: 0,
            });
        }
        let has_work = f.transfer.is_some() || f.next <= last;
        let works = has_work && f.busy.is_none();
        if !works && !beat {
            return;
        }
        if works {
            f.busy = Some(now);
        }
        let to = f.id;
        let message = match &f.transfer {
            Some(transfer) => transfer.chunk(now, if works { chunk_bytes } else { 0 }),
            None => Message::AppendEntries(AppendEntries {
                previous: Position(f.next.0 - 1),
                ..AppendEntries::heartbeat(now)
            }),
        };
        let message = self.complete(message, works);
        self.send(to, message);
    }

    /// Fills in the term and, for an append, the entries and the commit position.
    fn complete(&self, message: Message, works: bool) -> Message {
        let term = self.hard_state.term;
        match message {
            Message::InstallSnapshot(chunk) => {
                Message::InstallSnapshot(InstallSnapshot { term, ..chunk })
            }
            Message::AppendEntries(append) => {
                let previous = append.previous;
                let entries = if works {
                    let limits = self.limits;
                    self.log
                        .after(previous, limits.append_entries, limits.append_bytes)
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
        self.lead()?.followers.iter().position(|f| f.id == id)
    }

    pub(super) fn receive_append_entries_response(
        &mut self,
        now: Time,
        from: ReplicaId,
        answer: AppendEntriesResponse,
    ) {
        if answer.term > self.hard_state.term {
            return self.step_down(now, answer.term);
        }
        if answer.term < self.hard_state.term {
            return;
        }
        let last = self.log.last();
        let Some(i) = self.follower_index(from) else {
            return;
        };
        let f = &mut self.lead_mut().expect("it has followers").followers[i];
        f.acked = f.acked.max(Some(answer.sent));
        if answer.agreed {
            f.agree(answer.position.min(last));
        } else {
            f.disagree(&answer);
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
        answer: InstallSnapshotResponse,
    ) {
        if answer.term > self.hard_state.term {
            return self.step_down(now, answer.term);
        }
        if answer.term < self.hard_state.term {
            return;
        }
        let Some(i) = self.follower_index(from) else {
            return;
        };
        let f = &mut self.lead_mut().expect("it has followers").followers[i];
        f.acked = f.acked.max(Some(answer.sent));
        if let Some(transfer) = &mut f.transfer
            && transfer.snapshot.position == answer.position
            && transfer.offset != answer.received
        {
            transfer.offset = answer.received;
            f.busy = None;
        }
        self.send_to(now, i, false);
    }

    /// Commits what a majority of the voters has synced, if it is of the leader's own term.
    ///
    /// An entry of an earlier term on a majority can still be overwritten by another leader; it
    /// commits together with a later entry of this term.
    pub(super) fn advance_commit(&mut self, now: Time) {
        let Some(lead) = self.lead() else {
            return;
        };
        let group = self.log.replicas();
        let mut synced: Vec<Position> = group
            .voters()
            .map(|id| match lead.followers.iter().find(|f| f.id == id) {
                Some(f) => f.matched,
                None => self.log.last(),
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
        self.announce_commit(now);
    }

    /// Tells the followers of a new commit position at once.
    fn announce_commit(&mut self, now: Time) {
        for i in 0..self.follower_count() {
            self.send_to(now, i, true);
        }
    }

    /// Returns true if learner `id` holds every committed entry and answered within the lease.
    pub(super) fn has_caught_up(&self, now: Time, id: ReplicaId) -> bool {
        let follower = self
            .lead()
            .and_then(|l| l.followers.iter().find(|f| f.id == id));
        follower.is_some_and(|f| {
            f.matched >= self.committed && f.acked.is_some_and(|t| now < t + LEASE)
        })
    }
}

impl Progress {
    fn agree(&mut self, position: Position) {
        if let Some(transfer) = &self.transfer
            && transfer.snapshot.position <= position
        {
            self.transfer = None;
            self.busy = None;
        }
        if position >= self.next {
            self.busy = None;
        }
        self.matched = self.matched.max(position);
        self.next = self.next.max(self.matched.next());
    }

    /// Steps back to where the follower's hint points, unless the answer is an old one.
    fn disagree(&mut self, answer: &AppendEntriesResponse) {
        if answer.previous.next() != self.next {
            return;
        }
        self.next = answer.position.next().min(self.next);
        self.next = self.next.max(self.matched.next());
        self.busy = None;
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
            head: SnapshotHead {
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
