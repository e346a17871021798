//! The registry of nodes, their records, gossip and the relay tree.

pub mod record;

pub use record::{
    Health, KindHealth, LATENCY_BANDS, NodeRecord, TargetRecord, TargetState, Window,
};
