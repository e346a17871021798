//! End-to-end tests with real processes on loopback addresses.

mod caller;
mod control_absence;
mod control_faults;
mod end_to_end;
mod fleet;
mod http_edge_cases;
mod idempotency_faults;
mod leaving_targets;
mod lost_nodes;
mod notes;
mod operator_client;
mod planned_stops;
mod request_faults;
mod start_signals;
