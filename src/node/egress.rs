//! The egress of a node, which dispatches requests to the targets on its VM.

use std::convert::Infallible;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderValue;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode};
use http_body_util::{Either, Empty};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::admission::{Load, SlotRequest};
use crate::error::{Error, Result};
use crate::http::body::TimeoutBody;
use crate::http::headers;
use crate::http::refusal::{NOT_RUN, RESPONSE, UNKNOWN};
use crate::ids::{AccountName, AttemptId, KeyDigest, RequestId, ServiceName, TargetName};
use crate::node::calls::Calls;
use crate::node::components::Freshness;
use crate::node::dialect::{Dialect, Dispatch};
use crate::node::in_flight::{Hop, InFlight, InFlightGuard};
use crate::node::key_check::KeyCheck;
use crate::node::local::{LocalTarget, LocalTargets};
use crate::node::pool::TargetResponse;
use crate::node::settings::Limits;
use crate::node::target_body::{AttemptEnd, AttemptResources, TargetBody};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::route::AttemptResult;
use crate::time::{Clock, Monotonic};
use crate::units::Rate;

/// Retry delay of refusals for a draining or missing target.
const RETRY_LATER: Duration = Duration::from_secs(1);

/// Flow in the fair queue for requests without a key whose service has no open limit.
const OPEN_FLOW: &str = "open";

/// The response body from an egress to an ingress.
pub type EgressBody = Either<TargetBody, Empty<Bytes>>;

/// The egress of a node.
#[derive(Debug)]
pub struct Egress<F, D> {
    dialect: D,
    local: Arc<LocalTargets>,
    calls: Arc<Calls>,
    keys: KeyCheck<F>,
    clock: Monotonic,
    in_flight: InFlight,
    body_time: Duration,
    response_time: Duration,
    response_bytes: u64,
}

/// Metadata of an attempt, read from the internal headers that the ingress set.
#[derive(Debug)]
struct AttemptInfo {
    attempt: AttemptId,
    request: RequestId,
    account: Option<AccountName>,
    /// Digest of the key, unless the ingress has an older version.
    key: Option<KeyDigest>,
    /// True if this node knew the key when the request arrived.
    key_known: bool,
    weight: Rate,
    kind: String,
    priority: u8,
    shared_flow: bool,
    is_call: bool,
    /// Latency objective for the response, counted from the arrival.
    objective: Option<Duration>,
    wait_max: Duration,
    idempotent: bool,
    forced: bool,
    origin: Option<ServiceName>,
    arrived: Instant,
    deadline: Instant,
    target: TargetName,
}

impl<F: Freshness, D: Dialect> Egress<F, D> {
    /// Creates an egress for the targets in `local`.
    pub fn new(
        dialect: D,
        local: Arc<LocalTargets>,
        calls: Arc<Calls>,
        keys: KeyCheck<F>,
        clock: Monotonic,
        in_flight: InFlight,
        limits: &Limits,
    ) -> Self {
        Egress {
            dialect,
            local,
            calls,
            keys,
            clock,
            in_flight,
            body_time: limits.body_time,
            response_time: limits.response_time,
            response_bytes: limits.response_bytes,
        }
    }

    /// Serves one request of an ingress.
    ///
    /// # Errors
    ///
    /// Never fails; each outcome is a response.
    pub async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> std::result::Result<Response<EgressBody>, Infallible> {
        if is_probe(&request) {
            return Ok(Response::new(Either::Right(Empty::new())));
        }
        let in_flight = self.in_flight.enter();
        let Ok(mut info) = AttemptInfo::read(request.headers()) else {
            let outcome = not_run(Refusal::new(Reason::BadRequest));
            return Ok(outcome_response(&outcome));
        };
        info.key_known = self.is_key_known(&info);
        let target = match self.target(&info) {
            Ok(target) => target,
            Err(refusal) => return Ok(self.refuse(&info, &not_run(refusal), None)),
        };
        let queue = target.queue.clone();
        Ok(match self.run(&info, target, request, in_flight).await {
            Ok(response) => response,
            Err(outcome) => self.refuse(&info, &outcome, Some(queue.load())),
        })
    }

    async fn run(
        &self,
        info: &AttemptInfo,
        target: Arc<LocalTarget>,
        request: Request<Incoming>,
        in_flight: InFlightGuard,
    ) -> std::result::Result<Response<EgressBody>, Outcome> {
        let left = info.deadline.saturating_duration_since(Instant::now());
        let slot = SlotRequest {
            attempt: info.attempt,
            account: info.flow(),
            weight: info.weight,
            kind: info.kind.clone(),
            priority: info.priority,
            is_call: info.is_call,
            objective: info.objective.map(|objective| self.clock.now() + objective),
            wait_max: info.wait_max,
            deadline: self.clock.now() + left,
        };
        let mut slot = tokio::select! {
            biased;
            slot = target.queue.enter(slot) => slot.map_err(not_run)?,
            refusal = self.key_withdrawn(info) => return Err(not_run(refusal)),
            () = self.in_flight.ended() => {
                in_flight.log_ended(Hop::Egress, info.request);
                return Err(not_run(Refusal::after(Reason::Draining, RETRY_LATER)));
            }
        };
        self.check_key(info).map_err(not_run)?;
        // The target may have started to drain while the request was queued.
        check_accepting(&target).map_err(not_run)?;
        // The last check before the dispatch, since the breaker may choose the request as its
        // probe.
        let queue = &target.queue;
        queue
            .check_breaker(info.attempt, info.idempotent, info.forced)
            .map_err(not_run)?;
        // The request may have been queued for most of what is left of this node's drain.
        self.check_drain(info).map_err(not_run)?;
        self.in_flight.count_taken();
        let dispatch = info.dispatch();
        let request = self.prepare(&dispatch, request);
        let correlation = self.dialect.correlation_header(request.headers()).cloned();
        let waited = info.arrived.elapsed();
        log::info!(
            event = "dispatched", request:% = info.request, attempt:% = info.attempt,
            target:% = info.target, waited_ms = waited.as_millis() as u64,
            left_ms = dispatch.time_left.as_millis() as u64; "request dispatched to its target"
        );
        let run = self.calls.begin_run();
        let mut measured = target.meter.start(queue, info.attempt, &info.kind);
        let sent = timeout_at(info.deadline, target.pool.send(request)).await;
        let received = sent.unwrap_or(Err(Outcome::Unknown(Reason::Timeout)));
        let checked = received.and_then(|received| {
            check_not_upgrade(&received.response)?;
            let sent = correlation.as_ref();
            let response = &received.response;
            match self.dialect.check_response(&dispatch, sent, response) {
                Ok(()) => Ok(received),
                Err(outcome) => Err(self.confirm(outcome, &received)),
            }
        });
        let received = checked.inspect_err(|outcome| {
            measured.set_outcome(outcome);
            if *outcome == Outcome::Unknown(Reason::Timeout) {
                slot.mark_ran();
            }
        })?;
        if !received.response.status().is_server_error() {
            slot.mark_ran();
        }
        let latency = info.arrived.elapsed().saturating_sub(waited);
        log::info!(
            event = "target-responded", request:% = info.request, attempt:% = info.attempt,
            target:% = info.target, status = received.response.status().as_u16(),
            ms = latency.as_millis() as u64; "target responded"
        );
        let resources = AttemptResources {
            target,
            sender: received.sender,
            measured,
            slot,
            run,
        };
        self.build_response(info, received.response, resources, in_flight)
    }

    /// Returns the outcome of a response that is no answer.
    ///
    /// A refusal on a connection with an earlier response may be a copy that belongs to another
    /// request, unless it names this one. The connection of a refusal isn't used again.
    fn confirm(&self, outcome: Outcome, received: &TargetResponse) -> Outcome {
        let is_refusal = matches!(outcome, Outcome::NotRun(_));
        let is_doubtful = received.is_reused && !self.dialect.is_named(&received.response);
        match is_refusal && is_doubtful {
            true => Outcome::Unknown(Reason::Crossed),
            false => outcome,
        }
    }

    /// Checks that the attempt can end before the end of this node's drain.
    fn check_drain(&self, info: &AttemptInfo) -> std::result::Result<(), Refusal> {
        let left = info.deadline.saturating_duration_since(Instant::now());
        self.in_flight.check(Hop::Egress, &info.kind, Some(left))
    }

    fn is_key_known(&self, info: &AttemptInfo) -> bool {
        let key = info.key.as_ref();
        let account = info.account.as_ref();
        account.is_some_and(|account| self.keys.is_known(account, key))
    }

    fn check_key(&self, info: &AttemptInfo) -> std::result::Result<(), Refusal> {
        let (key, waited) = (info.key.as_ref(), info.arrived.elapsed());
        match &info.account {
            Some(account) => self.keys.check(account, key, waited, info.key_known),
            None => Ok(()),
        }
    }

    /// Waits until the key of a queued request is withdrawn in this node's configuration.
    async fn key_withdrawn(&self, info: &AttemptInfo) -> Refusal {
        match &info.account {
            Some(account) if info.key_known => {
                self.keys.withdrawn(account, info.key.as_ref()).await
            }
            _ => std::future::pending().await,
        }
    }

    fn refuse(
        &self,
        info: &AttemptInfo,
        outcome: &Outcome,
        load: Option<Load>,
    ) -> Response<EgressBody> {
        log::info!(
            event = "egress-refused", request:% = info.request, attempt:% = info.attempt,
            target:% = info.target, outcome = outcome.name(),
            reason = outcome.reason().map(Reason::code), running = load.map(|l| l.running),
            queued = load.map(|l| l.queued), slots = load.map(|l| l.slots),
            ms = info.arrived.elapsed().as_millis() as u64; "attempt ended without a response"
        );
        let mut response = outcome_response(outcome);
        insert_attempt(response.headers_mut(), info.attempt, load);
        response
    }

    fn target(&self, info: &AttemptInfo) -> std::result::Result<Arc<LocalTarget>, Refusal> {
        self.check_drain(info)?;
        let target = self.local.get(&info.target);
        let target = target.ok_or(Refusal::after(Reason::Connect, RETRY_LATER))?;
        check_accepting(&target)?;
        Ok(target)
    }

    fn prepare(&self, dispatch: &Dispatch, request: Request<Incoming>) -> Request<TimeoutBody> {
        let (mut head, body) = request.into_parts();
        head.version = http::Version::HTTP_11;
        head.extensions.clear();
        headers::strip_request(&mut head.headers);
        if let Some(path) = head.uri.path_and_query() {
            head.uri = path.clone().into();
        }
        self.dialect.complete_request(&mut head.headers, dispatch);
        Request::from_parts(head, TimeoutBody::new(body, self.body_time))
    }

    fn build_response(
        &self,
        info: &AttemptInfo,
        response: Response<Incoming>,
        resources: AttemptResources,
        in_flight: InFlightGuard,
    ) -> std::result::Result<Response<EgressBody>, Outcome> {
        let (mut head, body) = response.into_parts();
        head.version = http::Version::HTTP_2;
        head.extensions.clear();
        headers::strip_response(&mut head.headers);
        head.headers.insert(headers::OUTCOME, RESPONSE);
        let load = resources.target.queue.load();
        insert_attempt(&mut head.headers, info.attempt, Some(load));
        let result = match head.status.is_server_error() {
            // The error says nothing about this target.
            true if self.calls.take_failure() => AttemptResult::Cancelled,
            true => AttemptResult::Failed,
            false => AttemptResult::Success,
        };
        let body = TimeoutBody::new(body, self.response_time);
        let attempt = AttemptEnd {
            request: info.request,
            result,
            bytes_max: self.response_bytes,
        };
        let is_too_large = body.size().lower() > self.response_bytes;
        let body = TargetBody::new(body, attempt, &info.kind, resources, in_flight);
        if is_too_large || body.has_failed() {
            return Err(Outcome::Unknown(Reason::AnswerCut));
        }
        Ok(Response::from_parts(head, Either::Left(body)))
    }
}

impl AttemptInfo {
    /// Returns the flow of the request in the fair queue.
    fn flow(&self) -> Option<AccountName> {
        let open_flow = || OPEN_FLOW.parse().expect("the name is valid");
        self.account
            .clone()
            .or_else(|| self.shared_flow.then(open_flow))
    }

    fn dispatch(&self) -> Dispatch {
        Dispatch {
            request: self.request,
            attempt: self.attempt,
            account: self.account.clone(),
            origin: self.origin.clone(),
            target: self.target.clone(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
        }
    }

    fn read(from: &HeaderMap) -> Result<AttemptInfo> {
        let left: u64 = parse_header(from, &headers::DEADLINE_MS)?;
        let arrived = Instant::now();
        Ok(AttemptInfo {
            attempt: parse_header(from, &headers::ATTEMPT)?,
            request: parse_header(from, &headers::REQUEST_ID)?,
            account: match from.contains_key(headers::ACCOUNT) {
                true => Some(parse_header(from, &headers::ACCOUNT)?),
                false => None,
            },
            key: parse_header(from, &headers::KEY).ok(),
            key_known: false,
            weight: Rate::from_millis(parse_header(from, &headers::WEIGHT)?),
            kind: parse_header(from, &headers::KIND)?,
            priority: parse_header(from, &headers::PRIORITY).unwrap_or_default(),
            shared_flow: from.contains_key(headers::SHARED_FLOW),
            is_call: from.contains_key(headers::CALL),
            objective: match from.contains_key(headers::OBJECTIVE_MS) {
                true => Some(Duration::from_millis(parse_header(
                    from,
                    &headers::OBJECTIVE_MS,
                )?)),
                false => None,
            },
            wait_max: match from.contains_key(headers::MAY_QUEUE) {
                true => Duration::MAX,
                false => parse_header(from, &headers::WAIT_MS)
                    .map(Duration::from_millis)
                    .unwrap_or_default(),
            },
            idempotent: from.contains_key(headers::IDEMPOTENT),
            forced: from.contains_key(headers::FORCED),
            origin: match from.contains_key(headers::ORIGIN) {
                true => Some(parse_header(from, &headers::ORIGIN)?),
                false => None,
            },
            arrived,
            deadline: arrived + Duration::from_millis(left),
            target: parse_header(from, &headers::TARGET)?,
        })
    }
}

/// Parses the value of a header.
pub(crate) fn parse_header<T: FromStr>(from: &HeaderMap, name: &HeaderName) -> Result<T> {
    from.get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| Error::invalid(format!("internal header {name} is missing or malformed")))
}

/// Returns an attempt id as a header value.
pub(crate) fn attempt_value(attempt: AttemptId) -> HeaderValue {
    HeaderValue::try_from(attempt.to_string()).expect("hexadecimal digits are legal in a header")
}

/// Adds the attempt id and the load of its target to the headers of a response.
fn insert_attempt(out: &mut HeaderMap, attempt: AttemptId, load: Option<Load>) {
    out.insert(headers::ATTEMPT, attempt_value(attempt));
    if let Some(load) = load {
        out.insert(headers::LOAD, load_value(load));
    }
}

fn load_value(load: Load) -> HeaderValue {
    let service = load.service_time.as_micros();
    let text = format!("{},{},{},{service}", load.running, load.queued, load.slots);
    HeaderValue::try_from(text).expect("digits and commas are legal in a header")
}

/// Reads the load of a target from the headers of a response.
pub(crate) fn read_load(from: &HeaderMap) -> Option<Load> {
    let text = from.get(headers::LOAD)?.to_str().ok()?;
    let mut parts = text.split(',');
    Some(Load {
        running: parts.next()?.parse().ok()?,
        queued: parts.next()?.parse().ok()?,
        slots: parts.next()?.parse().ok()?,
        service_time: Duration::from_micros(parts.next()?.parse().ok()?),
    })
}

fn not_run(refusal: Refusal) -> Outcome {
    Outcome::NotRun(refusal)
}

/// Returns true if the request is an ingress's liveness probe of its link.
fn is_probe(request: &Request<Incoming>) -> bool {
    request.method() == Method::HEAD && !request.headers().contains_key(headers::ATTEMPT)
}

/// Refuses a protocol upgrade, which can't be passed on.
fn check_not_upgrade(response: &Response<Incoming>) -> std::result::Result<(), Outcome> {
    match response.status() == StatusCode::SWITCHING_PROTOCOLS {
        true => Err(Outcome::Unknown(Reason::TargetError)),
        false => Ok(()),
    }
}

/// Checks that a target still accepts requests.
fn check_accepting(target: &LocalTarget) -> std::result::Result<(), Refusal> {
    match target.accepts_requests() {
        true => Ok(()),
        false => Err(Refusal::after(Reason::Draining, RETRY_LATER)),
    }
}

fn outcome_response(outcome: &Outcome) -> Response<EgressBody> {
    let mut response = Response::new(Either::Right(Empty::new()));
    let out = response.headers_mut();
    let (name, refusal) = match outcome {
        Outcome::Response => (RESPONSE, None),
        Outcome::NotRun(refusal) => (NOT_RUN, Some(*refusal)),
        Outcome::Unknown(reason) => (UNKNOWN, Some(Refusal::new(*reason))),
    };
    out.insert(headers::OUTCOME, name);
    if let Some(refusal) = refusal {
        let reason = HeaderValue::from_static(refusal.reason.code());
        out.insert(headers::REASON, reason);
        if let Some(delay) = refusal.retry_after {
            let delay = HeaderValue::from(delay.as_millis() as u64);
            out.insert(headers::RETRY_MS, delay);
        }
    }
    response
}
