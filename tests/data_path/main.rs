//! End-to-end tests of the request path: from a caller through two nodes to a target and back.

#[path = "../../examples/standin/mod.rs"]
mod standin;

mod admin_listener;
mod body_limits;
mod cluster;
mod cut_heads;
mod endless_responses;
mod graceful_drain;
mod header_rules;
mod idempotency_rules;
mod key_withdrawal;
mod lost_links;
mod repeated_refusals;
mod request_framing;
mod request_path;
mod retry_rules;
mod split_input;
mod truncated_responses;
