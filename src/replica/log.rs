//! The log in memory.

use std::collections::VecDeque;

use crate::error::{Error, Result};
use crate::replica::entry::{Entry, LogEntry, Replicas, Snapshot};
use crate::units::{Position, Term};

/// The part of the log that is held in memory, and the snapshot that replaces the rest.
#[derive(Debug)]
pub(super) struct Log {
    /// The position and term of the entry before the first held one.
    base: Position,
    base_term: Term,
    entries: VecDeque<LogEntry>,
    snapshot: Option<Snapshot>,
    /// The groups in held entries, oldest first; `base_group` is in force before them.
    groups: Vec<(Position, Replicas)>,
    base_group: Replicas,
}

impl Log {
    /// Restores the log from a store; entries covered by the snapshot are skipped.
    pub(super) fn restore(snapshot: Option<Snapshot>, entries: Vec<LogEntry>) -> Result<Log> {
        let mut log = Log {
            base: Position(0),
            base_term: Term(0),
            entries: VecDeque::new(),
            snapshot: None,
            groups: Vec::new(),
            base_group: Replicas::default(),
        };
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        let base = log.base;
        for entry in entries.into_iter().filter(|e| e.position > base) {
            if entry.position != log.last_position().next() || entry.term < log.last_term() {
                let message = format!(
                    "log entry {} does not follow entry {}",
                    entry.position,
                    log.last_position()
                );
                return Err(Error::corrupt(message));
            }
            log.push(entry);
        }
        Ok(log)
    }

    pub(super) fn last_position(&self) -> Position {
        Position(self.base.0 + self.entries.len() as u64)
    }

    pub(super) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(super) fn base(&self) -> Position {
        self.base
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(super) fn get(&self, position: Position) -> Option<&LogEntry> {
        let i = position.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(i as usize)
    }

    pub(super) fn term_at(&self, position: Position) -> Option<Term> {
        if position == self.base {
            return Some(self.base_term);
        }
        self.get(position).map(|e| e.term)
    }

    /// Returns entries after `previous`, limited in count and bytes, but at least one if any
    /// exists.
    pub(super) fn entries_after(
        &self,
        previous: Position,
        count: usize,
        bytes: usize,
    ) -> Vec<LogEntry> {
        let mut selected = Vec::new();
        let mut size = 0;
        let mut position = previous.next();
        while let Some(entry) = self.get(position) {
            size += entry.entry.size();
            if selected.len() == count || (size > bytes && !selected.is_empty()) {
                break;
            }
            selected.push(entry.clone());
            position = position.next();
        }
        selected
    }

    /// Returns the group in force, which is that of the latest membership entry.
    pub(super) fn replicas(&self) -> &Replicas {
        self.groups.last().map_or(&self.base_group, |(_, g)| g)
    }

    /// Returns the position of the latest membership entry, or the base if it is no longer held.
    pub(super) fn replicas_position(&self) -> Position {
        self.groups.last().map_or(self.base, |(p, _)| *p)
    }

    /// Returns the group in force at `position`.
    pub(super) fn replicas_at(&self, position: Position) -> &Replicas {
        let latest = self.groups.iter().rev().find(|(p, _)| *p <= position);
        latest.map_or(&self.base_group, |(_, g)| g)
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.position, self.last_position().next());
        if let Entry::Replicas(group) = &entry.entry {
            self.groups.push((entry.position, group.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `first` and all later ones.
    pub(super) fn truncate_from(&mut self, first: Position) {
        let kept = first.0.saturating_sub(self.base.0 + 1);
        self.entries.truncate(kept as usize);
        self.groups.retain(|(p, _)| *p < first);
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn reset(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.groups.clear();
        self.base = snapshot.position;
        self.base_term = snapshot.term;
        self.base_group = snapshot.replicas.clone();
        self.snapshot = Some(snapshot);
    }

    /// Stores `snapshot` and drops all entries but the last `kept` that it covers.
    pub(super) fn compact(&mut self, snapshot: Snapshot, kept: u64) {
        let base = Position(snapshot.position.0.saturating_sub(kept));
        self.snapshot = Some(snapshot);
        if base <= self.base {
            return;
        }
        let Some(term) = self.term_at(base) else {
            return;
        };
        self.base_group = self.replicas_at(base).clone();
        self.groups.retain(|(p, _)| *p > base);
        self.entries.drain(..(base.0 - self.base.0) as usize);
        self.base = base;
        self.base_term = term;
    }
}
