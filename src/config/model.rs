//! The items of a configuration.

use std::time::Duration;

use serde::Serialize;

use crate::ids::{AccountName, KeyDigest, KeyName, RouteName, ServiceName};
use crate::units::{Burst, ByteSize, Rate};

/// A client account with its fleet-wide limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Account {
    /// The name of the account.
    pub name: AccountName,
    /// The refill rate of the token bucket; zero means that the account has no limit.
    pub rate: Rate,
    /// The capacity of the token bucket.
    pub burst: Burst,
    /// The priority of its requests, which overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// A key of an account; only its digest is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Key {
    /// The name by which operators withdraw the key.
    pub name: KeyName,
    /// The account of requests with this key.
    pub account: AccountName,
    /// The digest of the key.
    #[serde(skip)]
    pub digest: KeyDigest,
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// The name that targets announce.
    pub name: ServiceName,
    /// The percentage of announced slots that ejection always leaves in rotation.
    pub floor: u8,
    /// The rate of requests without a key on open routes; zero means that they have no limit of
    /// their own and are queued like those of one client account.
    pub open_rate: Rate,
    /// The burst of requests without a key on open routes.
    pub open_burst: Burst,
}

/// A service of a route with the weight of its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The weight; the share is the weight divided by the sum of all weights.
    pub weight: u32,
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// The name of the route.
    pub name: RouteName,
    /// The host, in lower case without port; empty if any host matches.
    pub host: String,
    /// The path prefix: with a final slash it covers what is below it, otherwise also the path
    /// itself, at segment boundaries.
    pub path: String,
    /// The allowed methods, sorted; [`ANY_METHOD`] allows all.
    pub methods: Vec<String>,
    /// The service that serves the requests, or the first one of the split.
    pub service: ServiceName,
    /// The services that share the requests by weight, sorted; empty for a single service.
    pub split: Vec<WeightedService>,
    /// Whether requests without a key are allowed.
    pub open: bool,
    /// The time from arrival within which the request must end, in whole milliseconds.
    pub deadline: Duration,
    /// The largest request body.
    pub body_max: ByteSize,
    /// The idempotent methods, sorted.
    pub idempotent: Vec<String>,
    /// The largest number of targets that one request is sent to; zero for the node's default.
    pub attempts: u32,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The time within which a response should be complete; zero if only the deadline counts.
    pub objective: Duration,
}

/// The entry of a list of methods that matches every method.
pub const ANY_METHOD: &str = "*";

impl Route {
    /// Returns the services to which the route may lead.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let single = self.split.is_empty().then_some(&self.service);
        single
            .into_iter()
            .chain(self.split.iter().map(|s| &s.service))
    }

    /// Returns the service for a request, given the uniformly random number `draw`.
    pub fn service_for(&self, draw: u32) -> &ServiceName {
        let total: u64 = self.split.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = (u64::from(draw) * total) >> u32::BITS;
        for share in &self.split {
            match at.checked_sub(share.weight.into()) {
                Some(rest) => at = rest,
                None => return &share.service,
            }
        }
        &self.service
    }

    /// Returns true if `method` is allowed.
    pub fn allows(&self, method: &str) -> bool {
        contains(&self.methods, method)
    }

    /// Returns true if `method` is idempotent on this route.
    pub fn is_idempotent(&self, method: &str) -> bool {
        contains(&self.idempotent, method)
    }
}

fn contains(sorted: &[String], method: &str) -> bool {
    // `ANY_METHOD` sorts before every letter.
    sorted.first().is_some_and(|m| m == ANY_METHOD)
        || sorted.binary_search_by(|m| m.as_str().cmp(method)).is_ok()
}

/// The result of matching a request against the routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// The route with the longest matching prefix allows the method.
    Found(&'a Route),
    /// No route has a prefix of the path.
    NoRoute,
    /// Routes with the longest matching prefix exist, but none allows the method.
    MethodNotAllowed,
}
