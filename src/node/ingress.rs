//! The ingress of a node, which accepts the requests of callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use http::{HeaderMap, Request, Response};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::config::{Account, Config, Route, RouteMatch};
use crate::http::body::{TimeoutBody, UploadBuffer};
use crate::http::headers::IDEMPOTENCY_KEY;
use crate::http::path::{is_safe, resolve};
use crate::http::{FAULT_METHOD, headers};
use crate::idempotency::{IdempotencyKey, RunResult};
use crate::ids::KeyDigest;
use crate::metrics::Metrics;
use crate::node::active_requests::{ActiveRequest, ActiveRequests};
use crate::node::calls::Calls;
use crate::node::components::{Components, Freshness, Idempotency, RateLimiter};
use crate::node::context::{Identity, RequestContext};
use crate::node::dialect::{Dialect, RequestInfo};
use crate::node::forward::Forwarder;
use crate::node::in_flight::{DrainStage, Hop, InFlight, InFlightGuard};
use crate::node::open_limit::OpenLimit;
use crate::node::request_log::RequestLogGuard;
use crate::node::response_body::ResponseBody;
use crate::node::settings::Limits;
use crate::outcome::{FirstOutcome, Outcome, Reason, Refusal};
use crate::time::{Clock, Monotonic};
use crate::units::Rate;

/// Retry delay of refusals for causes of unknown duration.
const RETRY_LATER: Duration = Duration::from_secs(1);

/// Largest body that is buffered before the first attempt, so that later attempts can send it again
/// after a refusal.
const SHORT_BODY_BYTES: u64 = 64 * 1024;

/// Weight in the queues of targets for accounts and open routes without a rate limit.
///
/// It is that of a large account, since targets call each other this way and a delayed call delays
/// the request that it serves.
const UNLIMITED_WEIGHT: Rate = Rate::per_sec(100);

/// Maximum number of body bytes that are read after a refusal, so that the refusal arrives.
const LEFTOVER_MAX_BYTES: u64 = 256 * 1024;

/// Longest time for reading the rest of a refused request's body.
const LEFTOVER_TIME: Duration = Duration::from_secs(1);

/// The body of a response to a caller.
pub type CallerBody = Either<ResponseBody, Full<Bytes>>;

/// The ingress of a node.
pub struct Ingress<F, L, I, D> {
    components: Components<F, L, I>,
    dialect: D,
    forwarder: Arc<Forwarder>,
    calls: Arc<Calls>,
    active_requests: Arc<ActiveRequests>,
    open: OpenLimit,
    clock: Monotonic,
    in_flight: InFlight,
    metrics: Metrics,
    body_time: Duration,
}

impl<F: Freshness, L: RateLimiter, I: Idempotency, D: Dialect> Ingress<F, L, I, D> {
    /// Creates an ingress that sends requests through `forwarder`.
    pub fn new(
        components: Components<F, L, I>,
        dialect: D,
        forwarder: Arc<Forwarder>,
        clock: Monotonic,
        in_flight: InFlight,
        metrics: Metrics,
        limits: &Limits,
    ) -> Self {
        Ingress {
            components,
            dialect,
            forwarder,
            calls: Arc::default(),
            active_requests: ActiveRequests::new(),
            open: OpenLimit::default(),
            clock,
            in_flight,
            metrics,
            body_time: limits.body_time,
        }
    }

    /// Returns the calls of the targets on this VM.
    pub fn calls(&self) -> &Arc<Calls> {
        &self.calls
    }

    /// Marks the active requests whose key has been withdrawn.
    pub fn mark_withdrawn(&self) {
        let Some(config) = self.components.config.load() else {
            return;
        };
        self.active_requests
            .mark_withdrawn(Instant::now(), |digest, account| {
                config
                    .account_of(digest)
                    .is_some_and(|a| a.name == *account)
            });
    }

    /// Returns true while this node's configuration is proven current.
    pub fn is_fresh(&self) -> bool {
        self.components.freshness.is_fresh()
    }

    /// Cancels active requests after their grace period if their key is withdrawn or if this node
    /// can't prove that it isn't.
    pub fn expire_requests(&self) {
        let now = Instant::now();
        self.active_requests.set_stale(now, !self.is_fresh());
        self.active_requests.expire(now);
    }

    /// Serves one request of a caller.
    ///
    /// # Errors
    ///
    /// Never fails; each outcome is a response.
    pub async fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<CallerBody>, Infallible> {
        let (head, body) = request.into_parts();
        let expects_continue = head.headers.contains_key(EXPECT);
        let upload = UploadBuffer::new(TimeoutBody::new(body, self.body_time));
        let info = self.dialect.request_info(&head.headers);
        let mut log_guard = RequestLogGuard::start(info.request, &self.metrics);
        let result = self.handle(&mut log_guard, info, head, &upload).await;
        let mut response = match result {
            Ok(response) => response.map(Either::Left),
            Err(outcome) => self.refuse(&log_guard, &outcome, &upload, expects_continue),
        };
        log_guard.ended = true;
        if self.in_flight.stage() != DrainStage::Serving {
            close(&mut response);
        }
        Ok(response)
    }

    /// Returns a refusal that the configuration gives rise to, unless a newer one may allow the request.
    fn if_current(&self, refusal: Refusal) -> Refusal {
        let is_by_config = matches!(
            refusal.reason,
            Reason::NoRoute | Reason::MethodNotAllowed | Reason::NoKey | Reason::UnknownKey
        );
        match is_by_config && !self.components.freshness.is_fresh() {
            true => Refusal::after(Reason::StaleConfig, RETRY_LATER),
            false => refusal,
        }
    }

    async fn handle(
        &self,
        log_guard: &mut RequestLogGuard<'_>,
        info: RequestInfo,
        mut head: http::request::Parts,
        upload: &Arc<UploadBuffer>,
    ) -> Result<Response<ResponseBody>, Outcome> {
        let in_flight = self.in_flight.enter();
        check_well_formed(&head).map_err(refused)?;
        self.in_flight.check_stage().map_err(refused)?;
        let config = self
            .components
            .config
            .load()
            .ok_or(retry_later(Reason::Starting))?;
        let found = find_route(&config, &head);
        let route = found.map_err(|refusal| refused(self.if_current(refusal)))?;
        log_guard.route = Some(route.name.clone());
        check_length(&head.headers, route).map_err(refused)?;
        let identity = match route.open {
            true => None,
            false => {
                let identity = self.identify(&config, &head.headers);
                Some(identity.map_err(|refusal| refused(self.if_current(refusal)))?)
            }
        };
        log_guard.account = identity.as_ref().map(|i| i.account.name.clone());
        let idempotency_key = match identity {
            Some(_) => parse_idempotency_key(&head.headers).map_err(refused)?,
            None => None,
        };
        let active = identity.as_ref().map(|i| self.register(i));
        headers::strip_request(&mut head.headers);
        headers::set_host(&mut head.headers, &head.uri);
        let weight = weight(&config, route, identity.as_ref());
        self.receive_body(upload).await?;
        let shared_flow = identity.is_none() && !has_open_limit(&config, route);
        let mut ctx = RequestContext::new(
            info,
            head,
            route,
            identity,
            idempotency_key,
            weight,
            upload.clone(),
        );
        ctx.shared_flow = shared_flow;
        if shared_flow {
            // Most of these are calls between targets; refusing one also fails the request that the
            // calling target serves.
            ctx.objective = None;
        }
        let call = shared_flow.then(|| self.calls.begin_call()).flatten();
        ctx.is_call = call.is_some();
        self.check_drain(&ctx).map_err(refused)?;
        self.log_admitted(&ctx, &config);
        self.in_flight.count_taken();
        let result = self.run(&ctx, &config, active.as_ref(), &in_flight).await;
        let is_served = result.as_ref().is_ok_and(|r| !r.status().is_server_error());
        if let Some(call) = call.filter(|_| !is_served) {
            call.fail();
        }
        Ok(self.build_response(&ctx, result?, active, in_flight))
    }

    /// Buffers a short body before the first attempt.
    ///
    /// A draining node also waits for a body of unknown size, since it can't take a request whose body
    /// arrives after it has stopped to take requests.
    async fn receive_body(&self, upload: &UploadBuffer) -> Result<(), Outcome> {
        if let Some(drain) = self.in_flight.drain() {
            let limit = drain.signal + drain.times.take;
            let read = timeout_at(limit, upload.read_ahead(SHORT_BODY_BYTES as usize)).await;
            let in_time = read.map_err(|_| refused(drain.times.refusal(drain.signal.elapsed())));
            in_time?.map_err(body_failed)?;
        }
        let buffered = upload.buffer_short(SHORT_BODY_BYTES).await;
        buffered.map_err(body_failed)
    }

    /// Returns the account of the key that came with a request.
    fn identify(&self, config: &Config, headers: &HeaderMap) -> Result<Identity, Refusal> {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let value = values.next().ok_or(Refusal::new(Reason::NoKey))?;
        if values.next().is_some() {
            return Err(Refusal::new(Reason::BadRequest));
        }
        let key = self.dialect.key(value).ok_or(Refusal::new(Reason::NoKey))?;
        let digest = KeyDigest::of(key);
        let account = config.account_of(&digest);
        let account = account.ok_or(Refusal::new(Reason::UnknownKey))?.clone();
        Ok(Identity { digest, account })
    }

    fn log_admitted(&self, ctx: &RequestContext<'_>, config: &Config) {
        log::info!(
            event = "admitted", request:% = ctx.id, route:% = ctx.route.name,
            service:% = ctx.service, account:% = ctx.account_label(),
            priority = ctx.priority, call = ctx.is_call, left_ms = ctx.time_left().as_millis() as u64,
            config:% = config.number(), fresh = self.components.freshness.is_fresh();
            "request admitted"
        );
    }

    fn register(&self, identity: &Identity) -> ActiveRequest {
        self.active_requests
            .register(identity.digest, &identity.account.name)
    }

    async fn run(
        &self,
        ctx: &RequestContext<'_>,
        config: &Config,
        active: Option<&ActiveRequest>,
        in_flight: &InFlightGuard,
    ) -> Result<Response<Incoming>, Outcome> {
        tokio::select! {
            biased;
            result = self.run_authorized(ctx, config, active) => result,
            () = self.in_flight.ended() => {
                in_flight.log_ended(Hop::Ingress, ctx.id);
                Err(ctx.give_up(Refusal::after(Reason::Draining, RETRY_LATER)))
            }
        }
    }

    /// Runs a request; the withdrawal of its key ends it as [`Self::withdrawn`] says.
    async fn run_authorized(
        &self,
        ctx: &RequestContext<'_>,
        config: &Config,
        active: Option<&ActiveRequest>,
    ) -> Result<Response<Incoming>, Outcome> {
        let Some(active) = active else {
            return self.admit_and_send(ctx, config).await;
        };
        tokio::select! {
            biased;
            refusal = self.withdrawn(ctx, active) => Err(ctx.give_up(refusal)),
            result = self.admit_and_send(ctx, config) => result,
        }
    }

    /// Waits until the withdrawal of the key ends the request.
    ///
    /// A bounded request that has been dispatched goes on, as its target may be running it; the check
    /// before each attempt keeps it from being dispatched again.
    async fn withdrawn(&self, ctx: &RequestContext<'_>, active: &ActiveRequest) -> Refusal {
        active.token().cancelled().await;
        if ctx.is_bounded() && ctx.delivery.may_have_run() {
            return std::future::pending().await;
        }
        let cause = self.authorize(ctx).err();
        cause.unwrap_or(Refusal::new(Reason::UnknownKey))
    }

    async fn admit_and_send(
        &self,
        ctx: &RequestContext<'_>,
        config: &Config,
    ) -> Result<Response<Incoming>, Outcome> {
        self.authorize(ctx).map_err(refused)?;
        match &ctx.identity {
            Some(identity) => self.admit_account(ctx, &identity.account).await,
            None => self.admit_open(ctx, config),
        }
        .map_err(refused)?;
        match (&ctx.identity, &ctx.idempotency_key) {
            (Some(identity), Some(key)) => self.send_once(ctx, &identity.account, key).await,
            _ => self.forwarder.send(ctx, || self.check_attempt(ctx)).await,
        }
    }

    /// Sends a request with an idempotency key unless the key has been used before.
    async fn send_once(
        &self,
        ctx: &RequestContext<'_>,
        account: &Account,
        key: &IdempotencyKey,
    ) -> Result<Response<Incoming>, Outcome> {
        let idempotency = &*self.components.idempotency;
        let permit = idempotency.claim(&account.name, key, ctx.id).await;
        let report = RunReportGuard {
            idempotency,
            permit: permit.map_err(refused)?,
            ctx,
            result: None,
        };
        let authorize = || match idempotency.is_valid(&report.permit) {
            true => self.check_attempt(ctx),
            false => Err(Refusal::after(Reason::RepeatUnknown, RETRY_LATER)),
        };
        let result = self.forwarder.send(ctx, authorize).await;
        report.finish(match &result {
            Ok(response) => RunResult::Ran(FirstOutcome::Response(response.status().as_u16())),
            Err(Outcome::NotRun(_)) => RunResult::NotRun,
            Err(_) => RunResult::Ran(FirstOutcome::Unknown),
        });
        result
    }

    /// Checks whether a request may be sent to a target now.
    fn check_attempt(&self, ctx: &RequestContext<'_>) -> Result<(), Refusal> {
        self.check_drain(ctx)?;
        self.authorize(ctx)
    }

    /// Checks that a request can end before the end of this node's drain.
    fn check_drain(&self, ctx: &RequestContext<'_>) -> Result<(), Refusal> {
        let left = ctx
            .end
            .map(|end| end.saturating_duration_since(Instant::now()));
        self.in_flight
            .check(Hop::Ingress, ctx.route.name.as_str(), left)
    }

    /// Checks the freshness proof and the key against the configuration in force now.
    fn authorize(&self, ctx: &RequestContext<'_>) -> Result<(), Refusal> {
        let Some(identity) = &ctx.identity else {
            return Ok(());
        };
        if !self.components.freshness.is_fresh() {
            return Err(Refusal::after(Reason::StaleConfig, RETRY_LATER));
        }
        match self.components.config.load() {
            Some(config) if identity.is_valid(&config) => Ok(()),
            _ => Err(Refusal::new(Reason::UnknownKey)),
        }
    }

    async fn admit_account(
        &self,
        ctx: &RequestContext<'_>,
        account: &Account,
    ) -> Result<(), Refusal> {
        if account.rate == Rate::default() {
            return Ok(());
        }
        self.components
            .rate_limiter
            .admit(account, ctx.token_wait(), ctx.time_left())
            .await
    }

    fn admit_open(&self, ctx: &RequestContext<'_>, config: &Config) -> Result<(), Refusal> {
        let service = config.service(ctx.service);
        let service = service.ok_or(Refusal::after(Reason::NoTarget, RETRY_LATER))?;
        self.open.admit(service, self.clock.now())
    }

    fn build_response(
        &self,
        ctx: &RequestContext<'_>,
        response: Response<Incoming>,
        active: Option<ActiveRequest>,
        in_flight: InFlightGuard,
    ) -> Response<ResponseBody> {
        self.metrics.count("answered");
        let latency = ctx.arrived.elapsed();
        self.metrics.time("answer", latency);
        log::info!(
            event = "responded", request:% = ctx.id, route:% = ctx.route.name,
            account:% = ctx.account_label(), status = response.status().as_u16(),
            ms = latency.as_millis() as u64; "response started"
        );
        let (mut head, body) = response.into_parts();
        head.version = http::Version::HTTP_11;
        head.extensions.clear();
        headers::strip_response(&mut head.headers);
        self.dialect.complete_response(&mut head.headers, ctx.id);
        let active = active.filter(|_| !ctx.is_bounded());
        let route = &ctx.route.name;
        let body = ResponseBody::new(body, ctx.id, route, active, ctx.end, in_flight);
        Response::from_parts(head, body)
    }

    fn refuse(
        &self,
        log_guard: &RequestLogGuard<'_>,
        outcome: &Outcome,
        upload: &Arc<UploadBuffer>,
        expects_continue: bool,
    ) -> Response<CallerBody> {
        log_guard.log_refusal(outcome);
        let response = self.dialect.refusal(outcome, log_guard.id);
        let mut response = response.map(Either::Right);
        let is_malformed = outcome.reason() == Some(Reason::BadRequest);
        let rest = upload.take_rest();
        let is_short = rest.as_ref().is_some_and(|rest| {
            let size = rest.size().exact();
            size.is_some_and(|size| size <= LEFTOVER_MAX_BYTES)
        });
        // After a malformed request or within a body, the start of the next request is uncertain.
        if is_malformed || !(upload.is_consumed() || is_short) || expects_continue {
            close(&mut response);
        }
        // Reading would send "100 Continue" and so request a body that isn't needed.
        if let Some(rest) = rest.filter(|_| !expects_continue) {
            tokio::spawn(drain_body(rest));
        }
        response
    }
}

/// Reports the end of a request with an idempotency key when dropped, also if its caller
/// disconnected.
struct RunReportGuard<'a, I: Idempotency> {
    idempotency: &'a I,
    permit: I::Permit,
    ctx: &'a RequestContext<'a>,
    result: Option<RunResult>,
}

impl<I: Idempotency> RunReportGuard<'_, I> {
    fn finish(mut self, result: RunResult) {
        self.result = Some(result);
    }
}

impl<I: Idempotency> Drop for RunReportGuard<'_, I> {
    fn drop(&mut self) {
        let result = self
            .result
            .unwrap_or(match self.ctx.delivery.may_have_run() {
                true => RunResult::Ran(FirstOutcome::Unknown),
                false => RunResult::NotRun,
            });
        self.idempotency.report(&self.permit, result);
    }
}

/// Reads and discards the rest of a refused request's body, within limits.
///
/// Closing a socket with unread data resets the connection, and the caller could lose the refusal.
async fn drain_body(mut rest: TimeoutBody) {
    let read = async {
        let mut left = LEFTOVER_MAX_BYTES;
        while let Some(Ok(data)) = std::future::poll_fn(|cx| rest.poll_data(cx)).await {
            left = match left.checked_sub(data.len() as u64) {
                Some(left) => left,
                None => return,
            };
        }
    };
    // The connection of a caller that is still sending after the limit is reset.
    let _ = tokio::time::timeout(LEFTOVER_TIME, read).await;
}

fn close<B>(response: &mut Response<B>) {
    let value = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, value);
}

/// Returns the outcome of a request whose body is incomplete.
fn body_failed(reason: Reason) -> Outcome {
    match reason.may_have_run() {
        true => Outcome::Unknown(reason),
        false => Outcome::NotRun(Refusal::new(reason)),
    }
}

fn refused(refusal: Refusal) -> Outcome {
    Outcome::NotRun(refusal)
}

fn retry_later(reason: Reason) -> Outcome {
    Outcome::NotRun(Refusal::after(reason, RETRY_LATER))
}

fn check_well_formed(head: &http::request::Parts) -> Result<(), Refusal> {
    if head.method.as_str() == FAULT_METHOD {
        let reason = head.uri.path().trim_start_matches('/').parse();
        return Err(Refusal::new(reason.unwrap_or(Reason::BadRequest)));
    }
    if !is_safe(head.uri.path()) {
        return Err(Refusal::new(Reason::BadRequest));
    }
    Ok(())
}

fn find_route<'a>(config: &'a Config, head: &http::request::Parts) -> Result<&'a Route, Refusal> {
    let (method, path) = (head.method.as_str(), head.uri.path());
    let host = host_of(head);
    let found = config.match_route(host, method, path);
    if let Some(resolved) = resolve(path)
        && config.match_route(host, method, &resolved) != found
    {
        return Err(Refusal::new(Reason::BadRequest));
    }
    match found {
        RouteMatch::Found(route) => Ok(route),
        RouteMatch::NoRoute => Err(Refusal::new(Reason::NoRoute)),
        RouteMatch::MethodNotAllowed => Err(Refusal::new(Reason::MethodNotAllowed)),
    }
}

/// Returns the host of a request; that of an absolute-form request target takes precedence.
fn host_of(head: &http::request::Parts) -> &str {
    let header = || head.headers.get(HOST)?.to_str().ok();
    head.uri.host().or_else(header).unwrap_or_default()
}

/// Returns the weight of a request in the queues of targets.
fn weight(config: &Config, route: &Route, identity: Option<&Identity>) -> Rate {
    let rate = match identity {
        Some(identity) => identity.account.rate,
        None => config
            .service(&route.service)
            .map_or(Rate::default(), |service| service.open_rate),
    };
    match rate == Rate::default() {
        true => UNLIMITED_WEIGHT,
        false => rate,
    }
}

/// Returns true if the service of `route` has an open limit for requests without a key.
fn has_open_limit(config: &Config, route: &Route) -> bool {
    let service = config.service(&route.service);
    service.is_none_or(|service| service.open_rate != Rate::default())
}

fn check_length(headers: &HeaderMap, route: &Route) -> Result<(), Refusal> {
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        return Ok(());
    };
    let length: Option<u64> = length.to_str().ok().and_then(|text| text.parse().ok());
    match length {
        None => Err(Refusal::new(Reason::BadRequest)),
        Some(length) if length > route.body_max.0 => Err(Refusal::new(Reason::BodyTooLarge)),
        Some(_) => Ok(()),
    }
}

/// Returns the idempotency key of a request; refuses a malformed key and more than one key.
fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let mut values = headers.get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let key = value.to_str().ok().and_then(|text| text.parse().ok());
    match (key, values.next()) {
        (Some(key), None) => Ok(Some(key)),
        _ => Err(Refusal::new(Reason::BadRequest)),
    }
}
