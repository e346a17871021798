//! The local rate limit of open routes, which need no key.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::config::Service;
use crate::ids::ServiceName;
use crate::outcome::{Reason, Refusal};
use crate::time::Time;
use crate::units::Rate;

/// Thousandths in one request; rates are in thousandths of a request per second.
const MILLIS: f64 = 1_000.0;

/// A token bucket for each service.
#[derive(Debug, Default)]
pub struct OpenLimit {
    buckets: Mutex<HashMap<ServiceName, Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled: Time,
}

impl OpenLimit {
    /// Admits one request to `service` or refuses it with the time until a token is available; a
    /// rate of zero means no limit.
    pub fn admit(&self, service: &Service, now: Time) -> Result<(), Refusal> {
        if service.open_rate == Rate::default() {
            return Ok(());
        }
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(bucket) = buckets.get_mut(&service.name) {
            return bucket.admit(service, now);
        }
        let mut bucket = Bucket {
            tokens: f64::from(service.open_burst.0),
            filled: now,
        };
        let admitted = bucket.admit(service, now);
        buckets.insert(service.name.clone(), bucket);
        admitted
    }
}

impl Bucket {
    fn admit(&mut self, service: &Service, now: Time) -> Result<(), Refusal> {
        let rate = service.open_rate.as_millis() as f64 / MILLIS;
        let refill = now.since(self.filled).as_secs_f64() * rate;
        let burst = f64::from(service.open_burst.0);
        self.tokens = (self.tokens + refill).min(burst);
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if rate <= 0.0 || burst < 1.0 {
            return Err(Refusal::new(Reason::OpenLimit));
        }
        let wait = Duration::from_secs_f64((1.0 - self.tokens) / rate);
        Err(Refusal::after(Reason::OpenLimit, wait))
    }
}
