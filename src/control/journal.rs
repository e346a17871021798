//! The replica's store behind the actions of the state machine.

use crate::error::Result;
use crate::ids::ReplicaId;
use crate::replica::{Local, Logged, Persist, Snapshot, Stored};

/// Where a replica keeps what must survive a crash.
pub trait Journal: Send + 'static {
    /// Returns what is stored; also called again after a failed write.
    ///
    /// # Errors
    ///
    /// Fails if the content can't be read or is damaged.
    fn load(&mut self) -> Result<Stored>;

    /// Writes and syncs one change.
    ///
    /// # Errors
    ///
    /// After a failure the change may or may not be stored.
    fn write(&mut self, persist: &Persist) -> Result<()>;
}

/// A journal in memory, for tests.
#[derive(Debug)]
pub struct MemoryJournal {
    local: Local,
    snapshot: Option<Snapshot>,
    entries: Vec<Logged>,
}

impl MemoryJournal {
    /// Creates the journal of a new replica.
    pub fn new() -> MemoryJournal {
        MemoryJournal {
            local: Local::new(ReplicaId::random()),
            snapshot: None,
            entries: Vec::new(),
        }
    }
}

impl Default for MemoryJournal {
    fn default() -> Self {
        MemoryJournal::new()
    }
}

impl Journal for MemoryJournal {
    fn load(&mut self) -> Result<Stored> {
        Ok(Stored {
            local: self.local,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        })
    }

    fn write(&mut self, persist: &Persist) -> Result<()> {
        match persist {
            Persist::Local(local) => self.local = *local,
            Persist::Append(entries) => self.entries.extend_from_slice(entries),
            Persist::Truncate(first) => self.entries.retain(|e| e.position < *first),
            Persist::Snapshot(snapshot) => {
                self.entries.retain(|e| e.position > snapshot.position);
                self.snapshot = Some(snapshot.clone());
            }
        }
        Ok(())
    }
}
