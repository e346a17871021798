//! Tests with real processes on loopback.

mod caller;
mod control_absence;
mod control_faults;
mod fleet;
mod http_edges;
mod notes;
mod operator_client;
mod repeat_faults;
mod request_faults;
mod whole_path;
