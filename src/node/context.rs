//! One request of a caller while the ingress works on it.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use tokio::time::Instant;

use crate::config::{Account, Config, Route};
use crate::http::UploadBuffer;
use crate::idempotency::IdempotencyKey;
use crate::ids::{KeyDigest, RequestId, ServiceName};
use crate::node::dialect::RequestInfo;
use crate::outcome::{Outcome, Refusal};
use crate::route::Delivery;
use crate::units::Rate;

/// The key that came with a request and the account that it stands for.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// The client account.
    pub account: Account,
}

impl Identity {
    /// Returns true if the key still stands for the same account.
    pub fn is_valid(&self, config: &Config) -> bool {
        config
            .account_of(&self.digest)
            .is_some_and(|account| account.name == self.account.name)
    }
}

/// One request of a caller.
#[derive(Debug)]
pub struct RequestContext<'a> {
    /// Identity of the request.
    pub id: RequestId,
    /// Head without anything that must not reach a target.
    pub head: Parts,
    /// Route that the request matched.
    pub route: &'a Route,
    /// Service that answers.
    pub service: &'a ServiceName,
    /// Service of the VM on which the request began, if targets are told.
    pub origin: Option<ServiceName>,
    /// True if a request without a key is queued like those of a client account.
    pub shared: bool,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Who sent it; none on open routes.
    pub identity: Option<Identity>,
    /// Idempotency key; only with a client account.
    pub key: Option<IdempotencyKey>,
    /// Weight in the queue of a target.
    pub weight: Rate,
    /// Time by which the answer must have started.
    pub deadline: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// Time by which an answer has its full worth; none if only the deadline counts.
    pub objective: Option<Instant>,
    /// Body, as far as it is unread.
    pub body: Arc<UploadBuffer>,
    /// Whether an attempt may have reached a target.
    pub delivery: Delivery,
}

impl<'a> RequestContext<'a> {
    /// Creates the context of a request that nothing was sent of.
    pub fn new(
        info: RequestInfo,
        head: Parts,
        route: &'a Route,
        identity: Option<Identity>,
        key: Option<IdempotencyKey>,
        weight: Rate,
        body: Arc<UploadBuffer>,
    ) -> RequestContext<'a> {
        let ranked = identity.as_ref().and_then(|i| i.account.priority);
        let timeout = info.timeout.unwrap_or(route.deadline);
        RequestContext {
            id: info.request,
            head,
            route,
            service: route.service_for(rand::random()),
            origin: info.origin,
            shared: false,
            priority: ranked.unwrap_or(route.priority),
            identity,
            key,
            weight,
            arrived: Instant::now(),
            objective: (!route.objective.is_zero()).then(|| Instant::now() + route.objective),
            deadline: Instant::now() + timeout.min(route.deadline),
            body,
            delivery: Delivery::default(),
        }
    }

    /// Returns the name of the account for a log line; a dash on open routes.
    pub fn account_shown(&self) -> &str {
        let identity = self.identity.as_ref();
        identity.map_or("-", |i| i.account.name.as_str())
    }

    /// Returns the time left until the answer must have started.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns true if the request may be sent twice.
    ///
    /// A request with an idempotency key runs at most once, whatever the route permits.
    pub fn is_idempotent(&self) -> bool {
        self.key.is_none() && self.route.is_idempotent(self.head.method.as_str())
    }

    /// Returns the outcome of giving up for `refusal`.
    pub fn give_up(&self, refusal: Refusal) -> Outcome {
        self.delivery.final_outcome(refusal)
    }
}
