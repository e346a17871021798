//! The operator's command-line client.
//!
//! `laburnumctl` checks, submits and tracks release notes, shows the state of the fleet and explains
//! refusals. Each command exits with one of the codes in [`Exit`].

mod args;
mod attempts;
mod client;
mod commands;

pub use args::{Args, Command};
pub use attempts::{AttemptReport, RefusedAttempts};
pub use client::{Client, SubmitResponse};
pub use commands::{Exit, run};
