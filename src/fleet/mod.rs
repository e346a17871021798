//! The registry of nodes, their records, gossip and the relay tree.

pub mod record;
pub mod registry;

pub use record::{
    Health, KindHealth, LATENCY_BANDS, NodeRecord, TargetRecord, TargetState, Window,
};
pub use registry::{Member, Registry, RegistryChange};
