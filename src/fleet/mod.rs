//! The registry of nodes, their records and gossip.
//!
//! The [`Registry`] is part of the configuration log: an entry changes it, and the majority rules of
//! [`AckTracker`] refer to it. [`MembershipTable`] is the control leader's list of who was seen alive, from
//! which it derives registry changes. [`Records`] holds what each node says of its targets, and
//! [`Gossip`] exchanges records and evidence between nodes.

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
