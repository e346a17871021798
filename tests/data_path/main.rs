//! The way of a request from a caller through two nodes to a target and back.

#[path = "../../examples/standin/mod.rs"]
mod standin;

mod admin_listener;
mod body_limits;
mod cut_answers;
mod graceful_drain;
mod header_rules;
mod key_withdrawal;
mod lost_links;
mod repeat_rules;
mod request_framing;
mod request_path;
mod retry_rules;
mod site;
mod split_input;
