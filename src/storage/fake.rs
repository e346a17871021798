//! An in-memory disk with fault injection, for tests.
//!
//! File content and names that were not synced are lost in a [`FakeDisk::crash`]. In a
//! [`FakeDisk::crash_torn`] a random part survives: whole sectors of a file, and a prefix of the
//! name changes. Data that a failed sync covered is not written by a later sync either, although it
//! can still be read until then. Clones share one disk, so a test keeps a clone to inject faults.
//!
//! ```
//! use laburnumtide::storage::{Disk, DiskFile, fake::FakeDisk};
//!
//! let disk = FakeDisk::new();
//! let mut file = disk.create("a".as_ref()).unwrap();
//! file.write_at(0, b"lost").unwrap();
//! disk.crash();
//! assert!(disk.read("a".as_ref()).is_err());
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::disk::{Disk, DiskFile};

/// The unit of a torn write.
const SECTOR_BYTES: usize = 512;

/// A disk in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    files: Vec<Content>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    /// Name changes since the last sync of a directory, in order.
    name_changes: Vec<NameChange>,
    locks: BTreeSet<PathBuf>,
    /// Increases with each crash; files and locks of earlier epochs are invalid.
    epoch: u64,
    /// Free space in bytes; `None` for no limit.
    free_bytes: Option<u64>,
    /// Write operations until they start to fail; `None` for never.
    operations_left: Option<u64>,
    /// True if the process is killed at that operation: data that it has written can still be synced.
    is_kill: bool,
    sync_fails: bool,
}

#[derive(Clone, Debug, Default)]
struct Content {
    current: Vec<u8>,
    durable: Vec<u8>,
    /// Ranges of `current` that a failed sync covered and that were not written again since.
    unsynced: Vec<Range<usize>>,
}

impl Content {
    /// Makes the current content durable, but for the ranges that a failed sync covered.
    fn sync(&mut self) {
        let old = std::mem::replace(&mut self.durable, self.current.clone());
        for range in &self.unsynced {
            for i in range.clone() {
                self.durable[i] = old.get(i).copied().unwrap_or(0);
            }
        }
    }

    /// Excludes the changes since the last sync from later syncs.
    fn fail_sync(&mut self) {
        let differs = |i: &usize| self.durable.get(*i) != Some(&self.current[*i]);
        let changed = (0..self.current.len()).filter(differs);
        let changed: Vec<_> = changed.map(|i| i..i + 1).collect();
        self.unsynced.extend(changed);
    }

    /// Includes the bytes from `start` to `end` in later syncs again.
    fn include(&mut self, start: usize, end: usize) {
        self.unsynced.retain(|r| r.start < start || r.start >= end);
    }
}

#[derive(Clone, Debug)]
enum NameChange {
    Set(PathBuf, usize),
    Remove(PathBuf),
}

impl FakeDisk {
    /// Creates an empty disk without faults.
    pub fn new() -> Self {
        FakeDisk::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses all data that was not synced and invalidates open files and locks.
    pub fn crash(&self) {
        self.state().restart(None);
    }

    /// Crashes and keeps a random part of the data that was not synced.
    pub fn crash_torn(&self, seed: u64) {
        self.state().restart(Some(StdRng::seed_from_u64(seed)));
    }

    /// Makes write operations fail after the next `operations`, until the next crash or
    /// [`FakeDisk::stop_failing`].
    ///
    /// A write at the limit is partial.
    pub fn fail_after(&self, operations: u64) {
        let mut state = self.state();
        state.operations_left = Some(operations);
        state.is_kill = false;
    }

    /// Like [`FakeDisk::fail_after`], as if the process were killed at that operation: its data is
    /// kept unless a crash follows.
    pub fn kill_after(&self, operations: u64) {
        let mut state = self.state();
        state.operations_left = Some(operations);
        state.is_kill = true;
    }

    /// Ends the failure of write operations, without a crash.
    pub fn stop_failing(&self) {
        self.state().operations_left = None;
    }

    /// Returns true if an operation failed since [`FakeDisk::fail_after`].
    pub fn has_failed(&self) -> bool {
        self.state().operations_left == Some(0)
    }

    /// Sets the free space in bytes; `None` for no limit.
    pub fn set_free_bytes(&self, bytes: Option<u64>) {
        self.state().free_bytes = bytes;
    }

    /// Sets whether syncs fail.
    pub fn set_sync_fails(&self, fails: bool) {
        self.state().sync_fails = fails;
    }

    /// Flips one bit of a stored file.
    ///
    /// # Panics
    ///
    /// If the file does not exist or is not longer than `offset`.
    pub fn flip_bit(&self, path: impl AsRef<Path>, offset: usize, bit: u8) {
        let mut state = self.state();
        let id = state.names[path.as_ref()];
        let file = &mut state.files[id];
        file.current[offset] ^= 1 << bit;
        file.durable[offset] ^= 1 << bit;
    }

    /// Deletes a file durably, as an operator might by mistake.
    pub fn delete_durably(&self, path: impl AsRef<Path>) {
        let mut state = self.state();
        state.names.remove(path.as_ref());
        state.durable_names.remove(path.as_ref());
    }
}

impl State {
    fn restart(&mut self, mut rng: Option<StdRng>) {
        let kept = rng
            .as_mut()
            .map_or(0, |r| r.random_range(0..=self.name_changes.len()));
        let changes = std::mem::take(&mut self.name_changes);
        for change in &changes[..kept] {
            apply(&mut self.durable_names, change);
        }
        self.names = self.durable_names.clone();
        for file in &mut self.files {
            if let Some(rng) = rng.as_mut() {
                file.durable = tear(file, rng);
            }
            file.current = file.durable.clone();
            file.unsynced.clear();
        }
        self.locks.clear();
        self.epoch += 1;
        self.operations_left = None;
    }

    /// Counts a write operation against the limit.
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("the disk has failed")),
            Some(left) => {
                *left -= 1;
                match *left {
                    0 => Err(io::Error::other("the disk fails")),
                    _ => Ok(()),
                }
            }
            None => Ok(()),
        }
    }

    fn change(&mut self, change: NameChange) -> io::Result<()> {
        self.count_operation()?;
        apply(&mut self.names, &change);
        self.name_changes.push(change);
        Ok(())
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        self.names.get(path).copied().ok_or_else(missing)
    }

    fn write(&mut self, id: usize, offset: usize, bytes: &[u8]) -> io::Result<()> {
        let length = self.files[id].current.len();
        let added = (offset + bytes.len()).saturating_sub(length);
        let free_bytes = self.free_bytes.map_or(usize::MAX, |n| n as usize);
        let fits = bytes.len() - added.saturating_sub(free_bytes);
        let counted = self.count_operation();
        let done = match (self.operations_left, &counted) {
            (Some(0), Err(_)) => fits / 2,
            _ => fits,
        };
        if let Some(free_bytes) = &mut self.free_bytes {
            *free_bytes -= (offset + done).saturating_sub(length) as u64;
        }
        overwrite(&mut self.files[id].current, offset, &bytes[..done]);
        self.files[id].include(offset, offset + done);
        counted?;
        match fits == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }
}

fn apply(names: &mut BTreeMap<PathBuf, usize>, change: &NameChange) {
    match change {
        NameChange::Set(path, id) => {
            names.retain(|p, other| other != id || p == path);
            names.insert(path.clone(), *id);
        }
        NameChange::Remove(path) => {
            names.remove(path);
        }
    }
}

fn overwrite(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}

/// Returns the durable content with a random part of the sectors that were not synced.
fn tear(file: &Content, rng: &mut StdRng) -> Vec<u8> {
    let (old, new) = (&file.durable, &file.current);
    let shorter = old.len().min(new.len());
    let longer = old.len().max(new.len());
    let length = rng.random_range(shorter..=longer);
    let mut content = old.clone();
    content.resize(length, 0);
    for start in (0..length.min(new.len())).step_by(SECTOR_BYTES) {
        let end = (start + SECTOR_BYTES).min(length).min(new.len());
        if rng.random_bool(0.5) {
            content[start..end].copy_from_slice(&new[start..end]);
        }
    }
    content
}

impl Disk for FakeDisk {
    type File = FakeFile;
    type Lock = FakeLock;

    /// Does nothing; paths need no directory.
    fn create_dir(&self, _dir: &Path) -> io::Result<()> {
        Ok(())
    }

    fn lock(&self, path: &Path) -> io::Result<FakeLock> {
        let mut state = self.state();
        if !state.locks.insert(path.to_owned()) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(FakeLock {
            disk: self.clone(),
            path: path.to_owned(),
            epoch: state.epoch,
        })
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.state();
        let id = state.find(path)?;
        Ok(state.files[id].current.clone())
    }

    fn open(&self, path: &Path) -> io::Result<FakeFile> {
        let state = self.state();
        Ok(FakeFile {
            disk: self.clone(),
            id: state.find(path)?,
            epoch: state.epoch,
        })
    }

    fn create(&self, path: &Path) -> io::Result<FakeFile> {
        let mut state = self.state();
        let id = state.files.len();
        state.change(NameChange::Set(path.to_owned(), id))?;
        state.files.push(Content::default());
        Ok(FakeFile {
            disk: self.clone(),
            id,
            epoch: state.epoch,
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        let id = state.find(from)?;
        state.change(NameChange::Set(to.to_owned(), id))
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.find(path)?;
        state.change(NameChange::Remove(path.to_owned()))
    }

    fn sync_dir(&self, _dir: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        if state.sync_fails {
            return Err(io::Error::other("sync fails"));
        }
        state.durable_names = state.names.clone();
        state.name_changes.clear();
        Ok(())
    }
}

/// An open file of a [`FakeDisk`].
#[derive(Debug)]
pub struct FakeFile {
    disk: FakeDisk,
    id: usize,
    epoch: u64,
}

impl FakeFile {
    fn state(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.disk.state();
        match state.epoch == self.epoch {
            true => Ok(state),
            false => Err(io::Error::other("the file was open before a crash")),
        }
    }
}

impl DiskFile for FakeFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.state()?.write(self.id, offset as usize, bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.state()?;
        state.count_operation()?;
        let content = &mut state.files[self.id].current;
        let freed = content.len().saturating_sub(length as usize) as u64;
        content.truncate(length as usize);
        state.files[self.id].include(length as usize, usize::MAX);
        state.free_bytes = state.free_bytes.map(|n| n + freed);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state()?;
        let counted = state.count_operation();
        let fails = state.sync_fails;
        let is_kill = state.is_kill && counted.is_err();
        let file = &mut state.files[self.id];
        if counted.is_err() || fails {
            if !is_kill {
                file.fail_sync();
            }
            return Err(counted.err().unwrap_or(io::Error::other("sync fails")));
        }
        file.sync();
        Ok(())
    }
}

/// The lock of a directory on a [`FakeDisk`].
#[derive(Debug)]
pub struct FakeLock {
    disk: FakeDisk,
    path: PathBuf,
    epoch: u64,
}

impl Drop for FakeLock {
    fn drop(&mut self) {
        let mut state = self.disk.state();
        if state.epoch == self.epoch {
            state.locks.remove(&self.path);
        }
    }
}
