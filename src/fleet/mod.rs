//! Membership of the fleet, node records and gossip.
//!
//! The [`Registry`] is part of the configuration log: log entries change it, and [`AckTracker`]
//! counts majorities of it. The control leader derives registry changes from its
//! [`MembershipTable`]. [`Records`] holds the record that each node publishes about its targets, and
//! [`Gossip`] exchanges records and freshness proofs between nodes.

pub mod acks;
pub mod gossip;
pub mod membership;
pub mod record;
pub mod registry;
pub mod table;

pub use acks::AckTracker;
pub use gossip::{Gossip, GossipRequest, GossipResponse, Push, RelayedEntry, RequestStamp};
pub use membership::{CHANGE_INTERVAL, Heartbeat, MembershipTable, ProbeAck, REMOVAL_TIMEOUT};
pub use record::{
    Health, KindHealth, LATENCY_BANDS, NodeRecord, TargetRecord, TargetState, Window,
};
pub use registry::{Member, Registry, RegistryChange, RegistryLog};
pub use table::{Advertisement, RecordVersion, Records};
