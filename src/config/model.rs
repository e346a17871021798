//! The parts of a configuration.

use std::time::Duration;

use serde::Serialize;

use crate::ids::{AccountName, KeyDigest, KeyName, RouteName, ServiceName};
use crate::units::{Burst, ByteSize, Rate};

/// A client account with its limits over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Account {
    /// The name of the account.
    pub name: AccountName,
    /// The rate at which tokens return.
    pub rate: Rate,
    /// The most requests after a quiet time.
    pub burst: Burst,
}

/// A key of an account; only its digest is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Key {
    /// The name by which operators withdraw the key.
    pub name: KeyName,
    /// The account for which requests with this key run.
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
    /// The share of announced slots, in percent, below which ejection never goes.
    pub floor: u8,
    /// The rate of requests without a key on open routes.
    pub open_rate: Rate,
    /// The burst of requests without a key on open routes.
    pub open_burst: Burst,
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Route {
    /// The name of the route.
    pub name: RouteName,
    /// The path prefix; it matches at segment boundaries.
    pub path: String,
    /// The allowed methods, sorted.
    pub methods: Vec<String>,
    /// The service that answers.
    pub service: ServiceName,
    /// Whether requests without a key are allowed.
    pub open: bool,
    /// The time from arrival within which the request must end; whole milliseconds.
    pub deadline: Duration,
    /// The largest request body.
    pub body_max: ByteSize,
    /// The methods, sorted, that may run more than once without harm.
    pub idempotent: Vec<String>,
}

impl Route {
    /// Returns true if `method` is allowed.
    pub fn allows(&self, method: &str) -> bool {
        contains(&self.methods, method)
    }

    /// Returns true if a request with `method` may run more than once without harm.
    pub fn is_idempotent(&self, method: &str) -> bool {
        contains(&self.idempotent, method)
    }
}

fn contains(sorted: &[String], method: &str) -> bool {
    sorted.binary_search_by(|m| m.as_str().cmp(method)).is_ok()
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
