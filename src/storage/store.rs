//! The store of one data directory.

use std::io;
use std::path::{Path, PathBuf};

use super::disk::{Disk, DiskFile};
use super::frame::{self, FRAMES_START, Frame, Superblock};
use super::{RECORD_MAX_BYTES, Record};
use crate::error::{Category, Error, Result};
use crate::ids::ReplicaId;

/// A data directory with its log, snapshot and identity.
///
/// Records and snapshot are also held in memory, so that reads succeed even if the disk fails.
///
/// ```
/// use laburnumtide::storage::{Record, Store, fake::FakeDisk};
///
/// let disk = FakeDisk::new();
/// let mut store = Store::open(disk.clone(), "data").unwrap();
/// let record = Record { index: 1, bytes: b"first".to_vec() };
/// store.append(&[record.clone()]).unwrap();
/// drop(store);
/// disk.crash();
/// let store = Store::open(disk, "data").unwrap();
/// assert_eq!(store.records(1), [record]);
/// ```
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    dir: PathBuf,
    identity: ReplicaId,
    log: D::File,
    superblock: Superblock,
    /// Consecutive records after the snapshot.
    records: Vec<Record>,
    snapshot: Option<(u64, Vec<u8>)>,
    hard_state: Vec<u8>,
    /// Set after a failed write until [`Store::repair`] succeeds.
    damage: Option<Damage>,
    _lock: D::Lock,
}

/// The part of the files whose durable content is unknown after a failed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Damage {
    /// The log after its synced length, or the superblock with the other parity.
    Tail,
    /// The name of the log.
    Log,
    /// The name of the snapshot.
    Snapshot,
}

impl<D: Disk> Store<D> {
    /// Opens a data directory, or creates it with a new identity if it does not exist.
    ///
    /// # Errors
    ///
    /// [`Category::Conflict`] if another process uses the directory, [`Category::Corrupt`] if
    /// synced content is damaged or missing, [`Category::Io`] if the disk fails.
    pub fn open(disk: D, dir: impl AsRef<Path>) -> Result<Store<D>> {
        let dir = dir.as_ref().to_owned();
        disk.create_dir(&dir).map_err(io_error("create folder"))?;
        let lock = disk.lock(&dir.join("lock")).map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock => {
                Error::new(Category::Conflict, "another process uses the data folder")
            }
            _ => Error::io("lock data folder", e),
        })?;
        let snapshot = read_snapshot(&disk, &dir)?;
        let files = Files {
            identity: read(&disk, &dir, "identity")?,
            log: read(&disk, &dir, "log")?,
        };
        let (identity, file) = match files.state(snapshot.is_some())? {
            State::Existing { identity, log } => (identity, log),
            State::New => create(&disk, &dir)?,
        };
        let replay = replay(&file, snapshot.as_ref().map_or(0, |s| s.0))?;
        let mut store = Store {
            log: disk.open(&dir.join("log")).map_err(io_error("open log"))?,
            superblock: replay.superblock,
            records: replay.records,
            hard_state: replay.hard_state,
            damage: None,
            _lock: lock,
            disk,
            dir,
            identity,
            snapshot,
        };
        store.recover_tail(&file[..replay.length as usize], file.len() as u64)?;
        // An earlier process may have been killed between a rename and the sync of the name.
        store
            .disk
            .sync_dir(&store.dir)
            .map_err(io_error("sync folder"))?;
        Ok(store)
    }

    /// Truncates a torn tail after the complete frames of `log`, and makes the frames durable.
    ///
    /// The frames after the synced length are written again: if an earlier process failed to sync
    /// them, another sync would skip them.
    fn recover_tail(&mut self, log: &[u8], file_length: u64) -> Result<()> {
        let (start, end) = (self.superblock.length, log.len() as u64);
        if file_length > end {
            let action = "truncate torn end of log";
            self.log.truncate(end).map_err(io_error(action))?;
        }
        if start < end {
            let written = self.log.write_at(start, &log[start as usize..]);
            written.map_err(io_error("write log"))?;
        }
        self.log.sync().map_err(io_error("sync log"))?;
        match start < end {
            true => self.write_superblock(end),
            false => Ok(()),
        }
    }

    /// Makes the store writable again after a failed write; does nothing without one.
    ///
    /// The store keeps what it held before that write. What the write left in the files was not
    /// synced and is removed, as a later sync could report success without writing it.
    ///
    /// # Errors
    ///
    /// [`Category::Io`] if the disk fails; the call can be retried.
    pub fn repair(&mut self) -> Result<()> {
        match self.damage {
            None => return Ok(()),
            Some(Damage::Tail) => self.discard_tail()?,
            Some(Damage::Log) => self.compact_log()?,
            Some(Damage::Snapshot) => self.restore_snapshot()?,
        }
        self.damage = None;
        Ok(())
    }

    /// Removes what a failed write left after the synced length.
    ///
    /// The superblock comes first, since it must never contain more than the length of the file.
    fn discard_tail(&mut self) -> Result<()> {
        let length = self.superblock.length;
        self.write_superblock(length)?;
        let truncated = self.log.truncate(length).and_then(|()| self.log.sync());
        truncated.map_err(io_error("truncate log"))
    }

    /// Replaces a snapshot file whose name may not be durable by the last snapshot that is.
    fn restore_snapshot(&mut self) -> Result<()> {
        if let Some((index, bytes)) = &self.snapshot {
            let file = frame::encode_file(*index, bytes);
            return replace_file(&self.disk, &self.dir, "snapshot", &file);
        }
        match self.disk.remove(&self.dir.join("snapshot")) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => self.disk.sync_dir(&self.dir),
        }
        .map_err(io_error("remove snapshot"))
    }

    /// Returns the identity of the directory.
    pub fn identity(&self) -> ReplicaId {
        self.identity
    }

    /// Returns the index of the last record, or of the snapshot if no record follows it.
    pub fn last_index(&self) -> u64 {
        self.first_index() + self.records.len() as u64 - 1
    }

    /// Returns the index of the first record after the snapshot, whether it exists or not.
    pub fn first_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.0) + 1
    }

    /// Returns the records from index `from` on, without those that the snapshot replaced.
    pub fn records(&self, from: u64) -> &[Record] {
        let skip = from.saturating_sub(self.first_index());
        let skip = self
            .records
            .len()
            .min(usize::try_from(skip).unwrap_or(usize::MAX));
        &self.records[skip..]
    }

    /// Returns the last snapshot and its index.
    pub fn snapshot(&self) -> Option<(u64, Vec<u8>)> {
        self.snapshot.clone()
    }

    /// Returns the hard state; empty before the first is saved.
    pub fn hard_state(&self) -> &[u8] {
        &self.hard_state
    }

    /// Appends records and syncs them.
    ///
    /// # Errors
    ///
    /// [`Category::Invalid`] if the indexes are not consecutive or a record is too large. After an
    /// I/O error the store holds none of the records, but some may exist when the directory is
    /// opened again. Reads still work, and the call can be retried after [`Store::repair`].
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        let mut bytes = Vec::new();
        for (record, index) in records.iter().zip(self.last_index() + 1..) {
            if record.index != index {
                return Err(Error::invalid(format!(
                    "record {} does not follow {}",
                    record.index,
                    index - 1
                )));
            }
            check_size(&record.bytes)?;
            frame::encode_record(&mut bytes, record);
        }
        if records.is_empty() {
            return Ok(());
        }
        self.write(&bytes)?;
        self.records.extend_from_slice(records);
        Ok(())
    }

    /// Removes the record at `index` and all later ones, and syncs the change.
    ///
    /// # Errors
    ///
    /// [`Category::Invalid`] if the snapshot replaced the record already; I/O errors as for
    /// [`Store::append`].
    pub fn truncate_from(&mut self, index: u64) -> Result<()> {
        if index < self.first_index() {
            return Err(Error::invalid(format!("record {index} is in the snapshot")));
        }
        if index > self.last_index() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        frame::encode_truncate(&mut bytes, index);
        self.write(&bytes)?;
        self.records.truncate((index - self.first_index()) as usize);
        Ok(())
    }

    /// Replaces the hard state and syncs the change.
    ///
    /// # Errors
    ///
    /// As for [`Store::append`].
    pub fn save_hard_state(&mut self, bytes: &[u8]) -> Result<()> {
        check_size(bytes)?;
        let mut frames = Vec::new();
        frame::encode_hard_state(&mut frames, bytes);
        self.write(&frames)?;
        self.hard_state = bytes.to_vec();
        Ok(())
    }

    /// Replaces the snapshot, drops the records up to `index` and compacts the log.
    ///
    /// Records after `index` stay; the caller must first remove those that conflict with the
    /// snapshot.
    ///
    /// # Errors
    ///
    /// [`Category::Invalid`] if the current snapshot is newer. After an I/O error the snapshot may
    /// be saved without the log being compacted; the call can be retried.
    pub fn save_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<()> {
        self.check_writable()?;
        if index + 1 < self.first_index() {
            return Err(Error::invalid(format!("snapshot {index} is outdated")));
        }
        let file = frame::encode_file(index, bytes);
        write_temporary(&self.disk, &self.dir, "snapshot", &file)?;
        self.damage = Some(Damage::Snapshot);
        rename_temporary(&self.disk, &self.dir, "snapshot")?;
        self.damage = None;
        let covered = (index + 1 - self.first_index()) as usize;
        self.records.drain(..covered.min(self.records.len()));
        self.snapshot = Some((index, bytes.to_vec()));
        self.compact_log()
    }

    /// Rewrites the log without the records that the snapshot replaced.
    fn compact_log(&mut self) -> Result<()> {
        let mut frames = Vec::new();
        frame::encode_hard_state(&mut frames, &self.hard_state);
        for record in &self.records {
            frame::encode_record(&mut frames, record);
        }
        let (file, superblock) = frame::log_file(&frames);
        write_temporary(&self.disk, &self.dir, "log", &file)?;
        // From the rename on, the open file may be the replaced one.
        self.damage = Some(Damage::Log);
        rename_temporary(&self.disk, &self.dir, "log")?;
        let path = self.dir.join("log");
        self.log = self.disk.open(&path).map_err(io_error("open log"))?;
        self.superblock = superblock;
        self.damage = None;
        Ok(())
    }

    fn check_writable(&self) -> Result<()> {
        match self.damage {
            None => Ok(()),
            Some(_) => Err(Error::unavailable(
                "the data folder must be repaired after a failed write",
            )),
        }
    }

    /// Writes frames at the end of the log, syncs them and updates the superblock.
    fn write(&mut self, frames: &[u8]) -> Result<()> {
        self.check_writable()?;
        let end = self.superblock.length;
        if let Err(e) = self.log.write_at(end, frames) {
            // Partial frames must be removed, or later ones would follow a damaged frame.
            if self.log.truncate(end).is_err() {
                self.damage = Some(Damage::Tail);
            }
            return Err(Error::io("write log", e));
        }
        if let Err(e) = self.log.sync() {
            // After a failed sync the content of the disk is unknown, and a second sync may report
            // success without writing anything.
            self.damage = Some(Damage::Tail);
            return Err(Error::io("sync log", e));
        }
        self.write_superblock(end + frames.len() as u64)
    }

    fn write_superblock(&mut self, length: u64) -> Result<()> {
        let superblock = Superblock {
            sequence: self.superblock.sequence + 1,
            length,
        };
        let written = self.log.write_at(superblock.offset(), &superblock.encode());
        if let Err(e) = written.and_then(|()| self.log.sync()) {
            self.damage = Some(Damage::Tail);
            return Err(Error::io("write superblock", e));
        }
        self.superblock = superblock;
        Ok(())
    }
}

/// The files that determine whether a directory is new.
struct Files {
    identity: Option<Vec<u8>>,
    log: Option<Vec<u8>>,
}

enum State {
    /// No data was ever stored.
    New,
    Existing {
        identity: ReplicaId,
        log: Vec<u8>,
    },
}

impl Files {
    /// Distinguishes new, existing and damaged directories.
    ///
    /// The identity is written after the first log, so a directory whose creation was interrupted
    /// contains at most an empty log.
    fn state(self, has_snapshot: bool) -> Result<State> {
        match (self.identity, self.log) {
            (Some(identity), Some(log)) => {
                let (number, _) = frame::decode_file(&identity)
                    .ok_or_else(|| Error::corrupt("file identity fails its checksum"))?;
                let identity = ReplicaId(number);
                Ok(State::Existing { identity, log })
            }
            (Some(_), None) => Err(Error::corrupt("file log is missing")),
            (None, log) => match has_snapshot || log.is_some_and(|l| l.len() > FRAMES_START) {
                true => Err(Error::corrupt("file identity is missing")),
                false => Ok(State::New),
            },
        }
    }
}

/// Creates an empty log, then the identity.
fn create<D: Disk>(disk: &D, dir: &Path) -> Result<(ReplicaId, Vec<u8>)> {
    let (file, _) = frame::log_file(&[]);
    replace_file(disk, dir, "log", &file)?;
    let identity = ReplicaId::random();
    replace_file(disk, dir, "identity", &frame::encode_file(identity.0, &[]))?;
    Ok((identity, file))
}

struct Replay {
    records: Vec<Record>,
    hard_state: Vec<u8>,
    superblock: Superblock,
    /// Length of the file up to the end of the last complete frame.
    length: u64,
}

/// Replays a log file, without the records up to `snapshot`.
fn replay(file: &[u8], snapshot: u64) -> Result<Replay> {
    let superblock =
        Superblock::find(file).ok_or_else(|| Error::corrupt("log has no valid superblock"))?;
    let mut replay = Replay {
        records: Vec::new(),
        hard_state: Vec::new(),
        superblock,
        length: FRAMES_START as u64,
    };
    let mut at = FRAMES_START;
    while let Some((frame, length)) = file.get(at..).and_then(frame::decode_frame) {
        replay.apply(frame, snapshot, at)?;
        at += length;
    }
    if (at as u64) < superblock.length {
        return Err(Error::corrupt(format!(
            "log is damaged at byte {at} of {} synced bytes",
            superblock.length
        )));
    }
    replay.length = at as u64;
    Ok(replay)
}

impl Replay {
    fn apply(&mut self, frame: Frame, snapshot: u64, at: usize) -> Result<()> {
        match frame {
            Frame::HardState(bytes) => self.hard_state = bytes,
            Frame::Truncate(index) => self.records.retain(|r| r.index < index),
            Frame::Record(record) if record.index <= snapshot => {}
            Frame::Record(record) => {
                let last = self.records.last().map_or(snapshot, |r| r.index);
                if record.index != last + 1 {
                    return Err(Error::corrupt(format!(
                        "record {} at byte {at} of the log does not follow {last}",
                        record.index
                    )));
                }
                self.records.push(record);
            }
        }
        Ok(())
    }
}

fn read_snapshot<D: Disk>(disk: &D, dir: &Path) -> Result<Option<(u64, Vec<u8>)>> {
    let Some(file) = read(disk, dir, "snapshot")? else {
        return Ok(None);
    };
    match frame::decode_file(&file) {
        Some((index, bytes)) => Ok(Some((index, bytes.to_vec()))),
        None => Err(Error::corrupt("file snapshot fails its checksum")),
    }
}

fn read<D: Disk>(disk: &D, dir: &Path, name: &str) -> Result<Option<Vec<u8>>> {
    match disk.read(&dir.join(name)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(Error::io(format!("read {name}"), e)),
    }
}

/// Replaces a file atomically, so that a crash leaves the old or the new one.
fn replace_file<D: Disk>(disk: &D, dir: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    write_temporary(disk, dir, name, bytes)?;
    rename_temporary(disk, dir, name)
}

fn write_temporary<D: Disk>(disk: &D, dir: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let path = dir.join(format!("{name}.tmp"));
    let write = || {
        let mut file = disk.create(&path)?;
        file.write_at(0, bytes)?;
        file.sync()
    };
    write().map_err(|e| {
        // Frees the space; if this fails as well, the next attempt replaces the file.
        let _ = disk.remove(&path);
        Error::io(format!("write {name}"), e)
    })
}

/// Renames a temporary file to its final name and makes the name durable.
fn rename_temporary<D: Disk>(disk: &D, dir: &Path, name: &str) -> Result<()> {
    let path = dir.join(format!("{name}.tmp"));
    disk.rename(&path, &dir.join(name))
        .and_then(|()| disk.sync_dir(dir))
        .map_err(io_error("replace file"))
}

fn check_size(bytes: &[u8]) -> Result<()> {
    match bytes.len() > RECORD_MAX_BYTES {
        true => Err(Error::invalid(format!(
            "a record has more than {RECORD_MAX_BYTES} bytes"
        ))),
        false => Ok(()),
    }
}

fn io_error(action: &'static str) -> impl FnOnce(io::Error) -> Error {
    move |e| Error::io(action, e)
}
