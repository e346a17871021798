//! Durable storage for the replica's log, snapshot and hard state.

use std::path::Path;

use bytes::Bytes;

use crate::error::{Error, Result};
use crate::ids::ReplicaId;
use crate::replica::{HardState, LogEntry, Persist, Snapshot, Stored};
use crate::storage::{Disk, Record, Store};
use crate::wire::replica::{
    decode_entry, decode_hard_state, decode_snapshot, encode_entry, encode_hard_state,
    encode_snapshot,
};

/// Storage for the state of a replica that must survive a crash.
pub trait Journal: Send + 'static {
    /// Returns the stored state; also called again after a failed write, of which it then contains
    /// nothing.
    ///
    /// # Errors
    ///
    /// Fails if the content can't be read or is corrupt.
    fn load(&mut self) -> Result<Stored>;

    /// Writes one change and syncs it to disk.
    ///
    /// # Errors
    ///
    /// After a failure the change may or may not be stored when the process starts again;
    /// [`Journal::load`] must be called before the next write.
    fn write(&mut self, persist: &Persist) -> Result<()>;
}

/// An in-memory journal for tests.
#[derive(Debug)]
pub struct MemoryJournal {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<LogEntry>,
}

impl MemoryJournal {
    /// Creates an empty journal with a new replica identity.
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

/// A journal in a data directory.
pub struct StoreJournal<D: Disk> {
    store: Store<D>,
}

impl<D: Disk> StoreJournal<D> {
    /// Opens a data directory, and creates it with a new identity if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Fails if the directory is in use, corrupt or not writable.
    pub fn open(disk: D, dir: impl AsRef<Path>) -> Result<StoreJournal<D>> {
        let store = Store::open(disk, dir)?;
        Ok(StoreJournal { store })
    }
}

impl<D: Disk + 'static> Journal for StoreJournal<D>
where
    Store<D>: Send,
{
    fn load(&mut self) -> Result<Stored> {
        self.store.repair()?;
        let store = &self.store;
        let hard_state = match store.hard_state() {
            [] => HardState::new(store.identity()),
            bytes => decode_hard_state(bytes).map_err(corrupt)?,
        };
        if hard_state.id != store.identity() {
            return Err(Error::corrupt(
                "the stored hard state has a different replica identity than the store",
            ));
        }
        let snapshot = store.snapshot().map(|(_, bytes)| bytes);
        let snapshot = snapshot.map(|bytes| decode_snapshot(bytes.into()).map_err(corrupt));
        let mut entries = Vec::new();
        for record in store.records(0) {
            let bytes = Bytes::copy_from_slice(&record.bytes);
            entries.push(decode_entry(bytes).map_err(corrupt)?);
        }
        Ok(Stored {
            hard_state,
            snapshot: snapshot.transpose()?,
            entries,
        })
    }

    fn write(&mut self, persist: &Persist) -> Result<()> {
        let store = &mut self.store;
        match persist {
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
        }
    }
}

/// Maps a decode error of stored bytes whose checksum is valid.
fn corrupt(e: Error) -> Error {
    Error::corrupt(format!(
        "the log contains a record that can't be decoded: {e}"
    ))
}
