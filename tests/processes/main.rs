//! Tests with real processes on loopback.

mod fleet;
mod operator_client;
