//! Choice of targets, health, ejection, floor and retries.
//!
//! The egress measures its targets with a [`Meter`] and publishes the result as
//! [`Health`](crate::fleet::Health). Each ingress keeps a [`Balancer`], which compares the targets
//! of a service, adds what this ingress saw of the paths, and picks a target for each request.

mod balancer;
mod course;
mod evidence;
mod floor;
mod health;
mod judge;
mod kinds;
mod path;
mod retry;
mod service;
mod standing;
mod target;

pub use balancer::{Balancer, Event, Request, Sample};
pub use course::{Course, Next};
pub use floor::Capacity;
pub use health::{Meter, Verdict};
pub use judge::Cause;
pub use retry::{Exposure, RetryBudget, RetryQuestion, RetryTerms, may_retry};
pub use standing::{EJECT_BASE, RETURN_TIME, Standing};
