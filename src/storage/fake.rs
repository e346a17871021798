//! An in-memory disk with faults, for tests.
//!
//! Content and names that were not synced can be lost in a [`FakeDisk::crash`], or survive in part
//! in a [`FakeDisk::crash_torn`]: whole sectors of a file, and a prefix of the changes of names. Clones
//! share one disk, so a test keeps a clone to inject faults.
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
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::disk::{Disk, DiskFile};

/// The unit in which a torn write reaches the disk.
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
    /// Changes of names since the last sync of a folder, in order.
    changes: Vec<Change>,
    locks: BTreeSet<PathBuf>,
    /// Grows with each crash; files and locks of earlier times are dead.
    boot: u64,
    /// Bytes that may still be added; `None` for no limit.
    room: Option<u64>,
    /// Changing operations until the power fails; `None` for never.
    power: Option<u64>,
    sync_fails: bool,
}

#[derive(Clone, Debug, Default)]
struct Content {
    current: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Clone, Debug)]
enum Change {
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

    /// Loses everything that was not synced; open files and locks die.
    pub fn crash(&self) {
        self.state().restart(None);
    }

    /// Crashes and keeps a random part of what was not synced.
    pub fn crash_torn(&self, seed: u64) {
        self.state().restart(Some(StdRng::seed_from_u64(seed)));
    }

    /// Makes every changing operation after the next `operations` fail until the next crash.
    ///
    /// A write at the limit is done in part.
    pub fn fail_after(&self, operations: u64) {
        self.state().power = Some(operations);
    }

    /// Returns true if an operation failed since [`FakeDisk::fail_after`].
    pub fn has_failed(&self) -> bool {
        self.state().power == Some(0)
    }

    /// Sets how many bytes can still be added; `None` for no limit.
    pub fn set_free_bytes(&self, bytes: Option<u64>) {
        self.state().room = bytes;
    }

    /// Makes syncs fail, or work again.
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

    /// Removes a file for good, as an operator's mistake would.
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
            .map_or(0, |r| r.random_range(0..=self.changes.len()));
        let changes = std::mem::take(&mut self.changes);
        for change in &changes[..kept] {
            apply(&mut self.durable_names, change);
        }
        self.names = self.durable_names.clone();
        for file in &mut self.files {
            if let Some(rng) = rng.as_mut() {
                file.durable = torn(file, rng);
            }
            file.current = file.durable.clone();
        }
        self.locks.clear();
        self.boot += 1;
        self.power = None;
    }

    /// Counts a changing operation against the power.
    fn spend(&mut self) -> io::Result<()> {
        match &mut self.power {
            Some(0) => Err(io::Error::other("the power is off")),
            Some(left) => {
                *left -= 1;
                match *left {
                    0 => Err(io::Error::other("the power fails")),
                    _ => Ok(()),
                }
            }
            None => Ok(()),
        }
    }

    fn change(&mut self, change: Change) -> io::Result<()> {
        self.spend()?;
        apply(&mut self.names, &change);
        self.changes.push(change);
        Ok(())
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        self.names.get(path).copied().ok_or_else(missing)
    }

    fn write(&mut self, id: usize, offset: usize, bytes: &[u8]) -> io::Result<()> {
        let length = self.files[id].current.len();
        let added = (offset + bytes.len()).saturating_sub(length);
        let room = self.room.map_or(usize::MAX, |r| r as usize);
        let fits = bytes.len() - added.saturating_sub(room);
        let power = self.spend();
        let done = match (self.power, &power) {
            (Some(0), Err(_)) => fits / 2,
            _ => fits,
        };
        if let Some(room) = &mut self.room {
            *room -= (offset + done).saturating_sub(length) as u64;
        }
        overwrite(&mut self.files[id].current, offset, &bytes[..done]);
        power?;
        match fits == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }
}

fn apply(names: &mut BTreeMap<PathBuf, usize>, change: &Change) {
    match change {
        Change::Set(path, id) => {
            names.retain(|p, other| other != id || p == path);
            names.insert(path.clone(), *id);
        }
        Change::Remove(path) => {
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

/// Returns durable content with a random part of the sectors that were not synced.
fn torn(file: &Content, rng: &mut StdRng) -> Vec<u8> {
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

    /// Folders need no creation here.
    fn create_folder(&self, _folder: &Path) -> io::Result<()> {
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
            boot: state.boot,
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
            boot: state.boot,
        })
    }

    fn create(&self, path: &Path) -> io::Result<FakeFile> {
        let mut state = self.state();
        let id = state.files.len();
        state.change(Change::Set(path.to_owned(), id))?;
        state.files.push(Content::default());
        Ok(FakeFile {
            disk: self.clone(),
            id,
            boot: state.boot,
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        let id = state.find(from)?;
        state.change(Change::Set(to.to_owned(), id))
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.find(path)?;
        state.change(Change::Remove(path.to_owned()))
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.spend()?;
        if state.sync_fails {
            return Err(io::Error::other("sync fails"));
        }
        state.durable_names = state.names.clone();
        state.changes.clear();
        Ok(())
    }
}

/// An open file of a [`FakeDisk`].
#[derive(Debug)]
pub struct FakeFile {
    disk: FakeDisk,
    id: usize,
    boot: u64,
}

impl FakeFile {
    fn state(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.disk.state();
        match state.boot == self.boot {
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
        state.spend()?;
        let content = &mut state.files[self.id].current;
        let freed = content.len().saturating_sub(length as usize) as u64;
        content.truncate(length as usize);
        state.room = state.room.map(|r| r + freed);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state()?;
        state.spend()?;
        if state.sync_fails {
            return Err(io::Error::other("sync fails"));
        }
        let file = &mut state.files[self.id];
        file.durable = file.current.clone();
        Ok(())
    }
}

/// The lock of a folder on a [`FakeDisk`].
#[derive(Debug)]
pub struct FakeLock {
    disk: FakeDisk,
    path: PathBuf,
    boot: u64,
}

impl Drop for FakeLock {
    fn drop(&mut self) {
        let mut state = self.disk.state();
        if state.boot == self.boot {
            state.locks.remove(&self.path);
        }
    }
}
