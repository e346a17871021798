//! Evidence that a node's configuration is current.
