//! The node daemon: ingress, egress, admin listener, sync and gossip.
