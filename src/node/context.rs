//! The state of one caller's request while the ingress processes it.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use tokio::time::Instant;

use crate::config::{Account, Config, DEADLINE_MAX_SECS, Route};
use crate::http::UploadBuffer;
use crate::idempotency::IdempotencyKey;
use crate::ids::{KeyDigest, RequestId, ServiceName};
use crate::limit::TOKEN_WAIT_MAX;
use crate::node::dialect::RequestInfo;
use crate::outcome::{Outcome, Refusal};
use crate::route::Delivery;
use crate::units::Rate;

/// Divisor of a latency objective, for the part that a request may wait for a token.
const TOKEN_WAIT_DIVISOR: u32 = 2;

/// Divisor of a latency objective, for the wait for a slot that costs less than another transfer of
/// the request, often to another zone.
const SLOT_WAIT_DIVISOR: u32 = 8;

/// Longest timeout of a caller that counts as the end of its response.
const TIMEOUT_MAX: Duration = Duration::from_secs(DEADLINE_MAX_SECS);

/// The key of a request and the account that it authenticates.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// The client account.
    pub account: Account,
}

impl Identity {
    /// Returns true if the key still belongs to the same account.
    pub fn is_valid(&self, config: &Config) -> bool {
        config
            .account_of(&self.digest)
            .is_some_and(|account| account.name == self.account.name)
    }
}

/// A request of a caller.
#[derive(Debug)]
pub struct RequestContext<'a> {
    /// Request id.
    pub id: RequestId,
    /// Request head, stripped of everything that must not reach a target.
    pub head: Parts,
    /// Route that the request matched.
    pub route: &'a Route,
    /// Service that the request is sent to.
    pub service: &'a ServiceName,
    /// Service that the VM of the ingress provides, if the dialect passes it to targets.
    pub origin: Option<ServiceName>,
    /// True if the request has no key and its service has no open limit.
    ///
    /// All such requests share one flow in the fair queue of a target, like those of one client
    /// account.
    pub shared_flow: bool,
    /// True if a target on this VM makes the request while it runs another.
    pub is_call: bool,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The authenticated sender; `None` on open routes.
    pub identity: Option<Identity>,
    /// Idempotency key; only requests of a client account have one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Weight in the fair queue of a target.
    pub weight: Rate,
    /// Time by which the response must have started.
    pub deadline: Instant,
    /// Time by which the response must be complete, if the caller states how long it waits.
    pub end: Option<Instant>,
    /// Time of the request's arrival.
    pub arrived: Instant,
    /// Time of the route's latency objective; `None` if only the deadline applies.
    pub objective: Option<Instant>,
    /// The part of the body that is still unread.
    pub body: Arc<UploadBuffer>,
    /// Whether an attempt may have reached a target.
    pub delivery: Delivery,
}

impl<'a> RequestContext<'a> {
    /// Creates the context of a request of which nothing has been sent yet.
    pub fn new(
        info: RequestInfo,
        head: Parts,
        route: &'a Route,
        identity: Option<Identity>,
        idempotency_key: Option<IdempotencyKey>,
        weight: Rate,
        body: Arc<UploadBuffer>,
    ) -> RequestContext<'a> {
        let priority = identity.as_ref().and_then(|i| i.account.priority);
        let timeout = info.timeout.unwrap_or(route.deadline);
        RequestContext {
            id: info.request,
            head,
            route,
            service: route.service_for(rand::random()),
            origin: info.origin,
            shared_flow: false,
            is_call: false,
            priority: priority.unwrap_or(route.priority),
            identity,
            idempotency_key,
            weight,
            arrived: Instant::now(),
            objective: (!route.objective.is_zero()).then(|| Instant::now() + route.objective),
            deadline: Instant::now() + timeout.min(route.deadline),
            end: info.timeout.map(|timeout| Instant::now() + timeout),
            body,
            delivery: Delivery::default(),
        }
    }

    /// Returns the name of the account for log records; a dash on open routes.
    pub fn account_label(&self) -> &str {
        let identity = self.identity.as_ref();
        identity.map_or("-", |i| i.account.name.as_str())
    }

    /// Returns the time left until the response must have started.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns for how long the request may wait for a token of its account.
    ///
    /// With a latency objective it is a part of what is left of it, so that the request can still run
    /// in time.
    pub fn token_wait(&self) -> Duration {
        let wait = self.objective.map_or(TOKEN_WAIT_MAX, |objective| {
            objective.saturating_duration_since(Instant::now()) / TOKEN_WAIT_DIVISOR
        });
        wait.min(self.time_left())
    }

    /// Returns the longest expected wait for a slot at which the request rather waits than goes to
    /// another target.
    pub fn slot_wait(&self) -> Duration {
        let left = self.objective.map_or(self.time_left(), |objective| {
            objective.saturating_duration_since(Instant::now())
        });
        left / SLOT_WAIT_DIVISOR
    }

    /// Returns true if the request may run more than once.
    ///
    /// A request with an idempotency key runs at most once, whatever its route permits.
    pub fn is_idempotent(&self) -> bool {
        self.idempotency_key.is_none() && self.route.is_idempotent(self.head.method.as_str())
    }

    /// Returns true if the caller's timeout ends the response about as early as a route could.
    ///
    /// Such a request completes after the withdrawal of its key once it has been dispatched. Any
    /// other response could go on without an end.
    pub fn is_bounded(&self) -> bool {
        self.end
            .is_some_and(|end| end <= self.arrived + TIMEOUT_MAX)
    }

    /// Returns the outcome of giving up for `refusal`.
    pub fn give_up(&self, refusal: Refusal) -> Outcome {
        self.delivery.final_outcome(refusal)
    }
}
