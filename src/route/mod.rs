//! Load balancing, outlier detection and retries.
//!
//! The egress measures its targets with a [`Meter`] and publishes the result as
//! [`Health`](crate::fleet::Health). Each ingress has a [`Balancer`], which compares the targets of
//! a service by their published health and by its own attempts, ejects outliers as far as the
//! floor allows, and picks a target for each request. The floor is the share of the announced
//! slots of a service that must stay in rotation.

mod balancer;
mod ejection;
mod floor;
mod health;
mod hold;
mod kinds;
mod outlier;
mod path;
mod retry;
mod retry_state;
mod service;
mod stats;
mod target;

pub use balancer::{AttemptEvent, Balancer, Choice, Event, PickArgs};
pub use ejection::{BASE_EJECTION_TIME, EjectionState, SLOW_START_WINDOW};
pub use floor::Capacity;
pub use health::{AttemptResult, Meter};
pub use outlier::Cause;
pub use retry::{Delivery, RetryBudget, RetryContext, RetryLimits, may_retry};
pub use retry_state::{RetryDecision, RetryState};
