//! Tests with real processes on loopback.

mod caller;
mod fleet;
mod notes;
mod operator_client;
mod whole_path;
