//! The durable log and snapshots under one data folder.
//!
//! A [`Store`] keeps records, which are opaque bytes with consecutive indexes, one snapshot that
//! replaces the records up to its index, and one hard state (term and vote). Everything is synced
//! before a call returns. [`fake`] holds an in-memory disk with faults for tests.
//!
//! | file | content |
//! |---|---|
//! | `lock` | held while a store is open |
//! | `identity` | the [`ReplicaId`](crate::ids::ReplicaId), drawn when the folder is created |
//! | `log` | two seals, then checksummed frames: records, hard states, truncations |
//! | `snapshot` | the last snapshot with its index and checksum |
//!
//! A seal states up to which byte the log was synced before a call returned. Damage behind the seal
//! is a torn write that nobody was told of, and it is cut off. Damage before the seal is a
//! [`Category::Corrupt`](crate::error::Category::Corrupt) error, also in the last record.

mod disk;
pub mod fake;
mod frame;
mod store;

pub use disk::{Disk, DiskFile, RealDisk};
pub use store::Store;

/// Largest record in bytes; a release note of 1 MiB and its envelope fit with room.
pub const RECORD_MAX_BYTES: usize = 16 << 20;

/// Opaque bytes at an index of the log; the first index is 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The index.
    pub index: u64,
    /// The content.
    pub bytes: Vec<u8>,
}
