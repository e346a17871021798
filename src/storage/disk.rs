//! The file operations of a store, and their implementation on the file system.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// The file operations of a store; content is durable only after a sync.
pub trait Disk: Send {
    /// An open file.
    type File: DiskFile;
    /// Holds the lock of a folder until it is dropped.
    type Lock: Send;

    /// Creates a folder and its parents unless they exist.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Locks the file at `path`, which is created if absent.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if another process or store holds the lock.
    fn lock(&self, path: &Path) -> io::Result<Self::Lock>;

    /// Reads a whole file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Opens an existing file for writing.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Creates an empty file for writing, or truncates an existing one.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file and replaces an existing one.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the names in a folder durable.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// An open file of a [`Disk`].
pub trait DiskFile: Send {
    /// Writes `bytes` at `offset`; after an error any part of them may be written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content and length durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealDisk;

impl Disk for RealDisk {
    type File = File;
    type Lock = File;

    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        match folder.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => self.sync_folder(parent),
            _ => Ok(()),
        }
    }

    fn lock(&self, path: &Path) -> io::Result<File> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        file.try_lock()?;
        Ok(file)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().write(true).open(path)
    }

    fn create(&self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

impl DiskFile for File {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(SeekFrom::Start(offset))?;
        self.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
