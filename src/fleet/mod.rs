//! The registry of nodes, their records and gossip.
//!
//! The [`Registry`] is part of the configuration log: an entry changes it, and the majority rules of
//! [`Acceptance`] refer to it. [`Roll`] is the control leader's list of who was seen alive, from
//! which it derives registry changes. [`Records`] holds what each node says of its targets, and
//! [`Gossip`] exchanges records and evidence between nodes.

pub mod acceptance;
pub mod gossip;
pub mod record;
pub mod registry;
pub mod roll;
pub mod table;

pub use acceptance::Acceptance;
pub use gossip::{Answer, Ask, Gossip, Push, Question, Relayed};
pub use record::{
    Health, KindHealth, LATENCY_BANDS, NodeRecord, TargetRecord, TargetState, Window,
};
pub use registry::{Member, Registry, RegistryChange, RegistryLog};
pub use roll::{CHANGE_INTERVAL, Hearing, Roll, SILENCE_MAX, Sighting};
pub use table::{Known, Published, Records};
