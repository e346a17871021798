//! The durable log and snapshots under one data folder.
