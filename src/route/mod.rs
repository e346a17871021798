//! Choice of targets, health, ejection, floor and retries.
//!
//! The egress measures its targets and publishes the result as
//! [`Health`](crate::fleet::Health). Each ingress keeps a [`Balancer`], which compares the targets
//! of a service, adds what this ingress saw of the paths, and picks a target for each request.

mod balancer;
mod retry;

pub use balancer::{Balancer, Request, Sample};
pub use retry::{RetryBudget, RetryQuestion, may_retry};
