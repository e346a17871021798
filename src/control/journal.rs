//! The replica's store behind the actions of the state machine.

use std::path::PathBuf;

use bytes::Bytes;

use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::replica::{HardState, LogEntry, Persist, Snapshot, Stored};
use crate::storage::{Disk, Record, Store};
use crate::wire::replica::{
    decode_entry, decode_hard_state, decode_snapshot, encode_entry, encode_hard_state,
    encode_snapshot,
};

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
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<LogEntry>,
}

impl MemoryJournal {
    /// Creates the journal of a new replica.
    pub fn new() -> MemoryJournal {
        MemoryJournal {
            hard_state: HardState::new(ReplicaId::random()),
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
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        })
    }

    fn write(&mut self, persist: &Persist) -> Result<()> {
        match persist {
            Persist::HardState(hard_state) => self.hard_state = *hard_state,
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

/// A journal in a data folder.
pub struct StoreJournal<D: Disk> {
    disk: D,
    folder: PathBuf,
    /// Absent only while the folder is being opened again.
    store: Option<Store<D>>,
    /// True after a failed write, which can leave the store unusable until it is opened again.
    failed: bool,
}

impl<D: Disk + Clone> StoreJournal<D> {
    /// Opens a data folder, and creates it with a new identity if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder is in use, damaged or not writable.
    pub fn open(disk: D, folder: impl Into<PathBuf>) -> Result<StoreJournal<D>> {
        let folder = folder.into();
        let store = Store::open(disk.clone(), &folder)?;
        Ok(StoreJournal {
            disk,
            folder,
            store: Some(store),
            failed: false,
        })
    }

    /// Returns the store, opened again if a write failed.
    fn store(&mut self) -> Result<&mut Store<D>> {
        if self.failed {
            // The lock must be free before the folder can be opened.
            self.store = None;
            self.failed = false;
        }
        if self.store.is_none() {
            let opened = Store::open(self.disk.clone(), &self.folder);
            self.failed = opened.is_err();
            self.store = Some(opened?);
        }
        let missing = || Error::unavailable("the data folder is not open");
        self.store.as_mut().ok_or_else(missing)
    }
}

impl<D: Disk + Clone + Sync + 'static> Journal for StoreJournal<D>
where
    Store<D>: Send,
{
    fn load(&mut self) -> Result<Stored> {
        let store = self.store()?;
        let hard_state = match store.hard_state() {
            [] => HardState::new(store.identity()),
            bytes => decode_hard_state(bytes).map_err(damaged)?,
        };
        if hard_state.id != store.identity() {
            return Err(Error::corrupt(
                "the stored hard state names another replica id",
            ));
        }
        let snapshot = store.snapshot().map(|(_, bytes)| bytes);
        let snapshot = snapshot.map(|bytes| decode_snapshot(bytes.into()).map_err(damaged));
        let mut entries = Vec::new();
        for record in store.records(0) {
            let bytes = Bytes::copy_from_slice(&record.bytes);
            entries.push(decode_entry(bytes).map_err(damaged)?);
        }
        Ok(Stored {
            hard_state,
            snapshot: snapshot.transpose()?,
            entries,
        })
    }

    fn write(&mut self, persist: &Persist) -> Result<()> {
        let store = self.store()?;
        let written = match persist {
            Persist::HardState(hard_state) => store.save_hard_state(&encode_hard_state(hard_state)),
            Persist::Append(entries) => {
                let record = |e: &LogEntry| Record {
                    index: e.position.0,
                    bytes: encode_entry(e),
                };
                store.append(&entries.iter().map(record).collect::<Vec<_>>())
            }
            Persist::Truncate(first) => store.truncate_from(first.0),
            Persist::Snapshot(s) => store.save_snapshot(s.position.0, &encode_snapshot(s)),
        };
        self.failed = written.is_err();
        written
    }
}

/// Names stored bytes that pass their checksum but can't be read.
fn damaged(e: Error) -> Error {
    Error::corrupt(format!("the log holds an unreadable record: {e}"))
}
