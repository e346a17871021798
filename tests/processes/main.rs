//! Tests with real processes on loopback.

mod notes;
mod operator_client;
