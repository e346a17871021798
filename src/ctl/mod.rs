//! The operator's client.
