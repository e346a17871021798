//! The durable log and snapshots under one data folder.
//!
//! A [`Store`] holds records, which are opaque bytes with consecutive indexes, one snapshot that
//! replaces the records up to its index, and the hard state (term and vote). All data is synced
//! before a call returns. [`fake`] provides an in-memory disk with fault injection for tests.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a store is open |
//! | `identity` | the [`ReplicaId`](crate::ids::ReplicaId), drawn when the folder is created |
//! | `log` | two superblocks, then checksummed frames: records, hard states, truncations |
//! | `snapshot` | the last snapshot with its index and checksum |
//!
//! A superblock contains the length of the log that was synced before a call returned. Damage after
//! that length is a torn write that was never acknowledged, and it is truncated. Damage before that
//! length, even in the last record, is a [`Category::Corrupt`](crate::error::Category::Corrupt)
//! error.

mod disk;
pub mod fake;
mod frame;
mod store;

pub use disk::{Disk, DiskFile, RealDisk};
pub use store::Store;

/// Largest record in bytes, well above a release note of 1 MiB with its envelope.
pub const RECORD_MAX_BYTES: usize = 16 << 20;

/// Opaque bytes at an index of the log; the first index is 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The index.
    pub index: u64,
    /// The content.
    pub bytes: Vec<u8>,
}
