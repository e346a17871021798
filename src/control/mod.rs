//! The control daemon: replica driver, operator's interface and distribution to nodes.

pub mod api;
pub mod state;
