//! The registry of nodes, their records and gossip.
