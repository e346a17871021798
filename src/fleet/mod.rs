//! Membership of the fleet, node records and gossip.
//!
//! The [`Registry`] lists the nodes of the fleet and is part of the replicated log: log entries
//! change it. The control leader derives these changes from its [`MembershipTable`]. A committed
//! entry is accepted once a majority of the registered nodes holds it too, which [`AckTracker`]
//! determines. [`Records`] is one node's table of the [`NodeRecord`]s that all nodes publish about
//! their targets, [`Departures`] lists runs of targets that must get no more requests, and [`Gossip`]
//! exchanges records and freshness proofs between nodes.

pub mod acks;
pub mod departures;
pub mod gossip;
pub mod membership;
pub mod proof_expiry;
pub mod record;
pub mod registry;
pub mod table;

pub use acks::AckTracker;
pub use departures::{Departure, Departures, TargetRun};
pub use gossip::{Gossip, GossipRequest, GossipResponse, Push, RelayedEntry, RequestStamp};
pub use membership::{CHANGE_INTERVAL, Heartbeat, MembershipTable, ProbeAck, REMOVAL_TIMEOUT};
pub use proof_expiry::ProofExpiry;
pub use record::{
    CONNECTIONS_MAX, Health, KindHealth, LATENCY_BANDS, NodeRecord, SLOTS_MAX, TARGETS_MAX,
    TargetRecord, TargetState, Window,
};
pub use registry::{Member, Registry, RegistryChange, RegistryLog};
pub use table::{Advertisement, RecordVersion, Records, Scope};
