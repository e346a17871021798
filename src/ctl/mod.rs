//! The operator's client.
//!
//! `laburnumctl` checks, submits and follows release notes, shows the state of the fleet and explains
//! refusals. Each command ends with one of the codes in [`Exit`].

mod args;
mod client;
mod commands;

pub use args::{Args, Command};
pub use client::{Client, SubmitResponse};
pub use commands::{Exit, run};
