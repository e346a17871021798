//! Forwarding of requests to the egress of a target, with retries.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, Uri};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::config::Route;
use crate::http::Upload;
use crate::http::headers;
use crate::http::refusal::{NOT_RUN, RESPONSE, id_value};
use crate::ids::{AttemptId, ServiceName, TargetId};
use crate::metrics::Metrics;
use crate::node::context::RequestContext;
use crate::node::egress::{attempt_value, parse_header, read_load};
use crate::node::links::Links;
use crate::node::targets::{Pick, Targets};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::route::{
    self, AttemptEvent, RetryBudget, RetryContext, RetryDecision, RetryLimits, RetryState,
};
use crate::time::{Clock, Monotonic};

/// Maximum number of attempts for a request whose route sets none.
const ATTEMPTS_MAX: usize = 3;

/// Time before the deadline at which the egress gives up, so that its exact outcome arrives in
/// time.
const EGRESS_MARGIN: Duration = Duration::from_millis(10);

/// Largest share of the time left that the margin takes, as a divisor.
const EGRESS_MARGIN_SHARE: u32 = 10;

/// Authority of requests on links; internal headers name the target.
const EGRESS_AUTHORITY: &str = "egress";

/// The retry budgets, sorted by service.
#[derive(Debug, Default)]
struct Budgets {
    nodes: usize,
    services: Vec<(ServiceName, RetryBudget)>,
}

/// Forwards requests to the nodes of targets.
#[derive(Debug)]
pub struct Forwarder {
    targets: Arc<Targets>,
    links: Arc<Links>,
    clock: Monotonic,
    limits: Option<RetryLimits>,
    budgets: Mutex<Budgets>,
    metrics: Metrics,
}

impl Forwarder {
    /// Creates a forwarder to `targets` over `links`.
    pub fn new(
        targets: Arc<Targets>,
        links: Arc<Links>,
        clock: Monotonic,
        metrics: Metrics,
        limits: Option<RetryLimits>,
    ) -> Forwarder {
        Forwarder {
            targets,
            links,
            clock,
            limits,
            budgets: Mutex::default(),
            metrics,
        }
    }

    /// Sends the request to a target and retries on others where that is safe.
    ///
    /// Each attempt has its own outcome. The request as a whole is "not run" only if none of its
    /// attempts may have reached a target.
    ///
    /// `authorize` is called before each attempt opens its link, so that it isn't opened in vain, and
    /// just before the attempt is sent, since this process may have been paused.
    pub async fn send(
        &self,
        ctx: &RequestContext<'_>,
        authorize: impl Fn() -> Result<(), Refusal>,
    ) -> Result<Response<Incoming>, Outcome> {
        self.with_budget(ctx.service, RetryBudget::deposit);
        let mut retry_state = RetryState::new(attempts_max(ctx.route));
        let mut last = None;
        loop {
            if let Err(refusal) = authorize() {
                let refused = FailedAttempt::Outcome(Outcome::NotRun(refusal));
                return self.give_up(ctx, Some(more_informative(last, refused)));
            }
            let queue_at = retry_state
                .queue_at()
                .and_then(|id| self.targets.locate(id));
            let pick = match queue_at.or_else(|| self.pick(ctx, retry_state.tried())) {
                Some(pick) => pick,
                None if retry_state.relax() => continue,
                None => return self.give_up(ctx, last),
            };
            let Some(upload) = ctx.body.take(ctx.route.body_max.0) else {
                return self.give_up(ctx, last);
            };
            let attempt = self.attempt(ctx, &pick, upload, &retry_state, &authorize);
            let failed = match attempt.await {
                Ok(response) if !response.status().is_server_error() => return Ok(response),
                Ok(response) => FailedAttempt::Response(response),
                Err(outcome) => FailedAttempt::Outcome(outcome),
            };
            if let Some(reason) = ctx.body.failure() {
                return Err(ctx.give_up(Refusal::new(reason)));
            }
            let outcome = failed.outcome();
            let retries = self.should_retry(ctx, &mut retry_state, pick.id, &outcome);
            last = Some(more_informative(last, failed));
            if !retries {
                return self.give_up(ctx, last);
            }
        }
    }

    /// Ends a request after its last attempt; `last` is the most informative failure.
    fn give_up(
        &self,
        ctx: &RequestContext<'_>,
        last: Option<FailedAttempt>,
    ) -> Result<Response<Incoming>, Outcome> {
        match last {
            Some(FailedAttempt::Response(response)) => Ok(response),
            Some(FailedAttempt::Outcome(Outcome::NotRun(refusal))) => Err(ctx.give_up(refusal)),
            Some(FailedAttempt::Outcome(outcome)) => Err(outcome),
            None => Err(ctx.give_up(self.no_target(ctx))),
        }
    }

    fn no_target(&self, ctx: &RequestContext<'_>) -> Refusal {
        let delay = self.targets.retry_after(ctx.service);
        Refusal::after(Reason::NoTarget, delay)
    }

    fn pick(&self, ctx: &RequestContext<'_>, tried: &[TargetId]) -> Option<Pick> {
        self.targets.pick(&route::PickArgs {
            service: ctx.service,
            kind: ctx.route.name.as_str(),
            idempotent: ctx.is_idempotent(),
            tried,
            fast_refusal: true,
        })
    }

    /// Returns true if the request is sent again after `outcome` at `target`.
    fn should_retry(
        &self,
        ctx: &RequestContext<'_>,
        retry_state: &mut RetryState,
        target: TargetId,
        outcome: &Outcome,
    ) -> bool {
        let Some(reason) = outcome.reason() else {
            return false;
        };
        let now = self.clock.now();
        let context = RetryContext {
            outcome,
            idempotent: ctx.is_idempotent(),
            replayable: ctx.body.is_replayable(),
            deadline: now + ctx.time_left(),
        };
        let next = retry_state.decide(now, target.clone(), &context);
        let retries = match next {
            RetryDecision::Transparent => true,
            RetryDecision::Retry => self.with_budget(ctx.service, RetryBudget::withdraw),
            RetryDecision::Stop => false,
        };
        if next == RetryDecision::Retry && retries {
            self.metrics.retried(reason);
        }
        if next != RetryDecision::Stop {
            log::info!(
                event = "retry", request:% = ctx.id, target:% = target, reason:% = reason,
                sent = next == RetryDecision::Retry, retries;
                "attempt failed"
            );
        }
        retries
    }

    async fn attempt(
        &self,
        ctx: &RequestContext<'_>,
        pick: &Pick,
        upload: Upload,
        retry_state: &RetryState,
        authorize: impl Fn() -> Result<(), Refusal>,
    ) -> Result<Response<Incoming>, Outcome> {
        let opened = self.links.sender(pick.id.node, pick.addr);
        let mut link = match timeout_at(ctx.deadline, opened).await {
            Ok(Ok(link)) => link,
            Ok(Err(e)) => {
                log::info!(
                    event = "link-failed", target:% = pick.id, error:% = e;
                    "opening the link failed"
                );
                self.targets.report(&pick.id, AttemptEvent::ConnectFailed);
                return Err(Outcome::NotRun(Refusal::new(Reason::Connect)));
            }
            Err(_) => {
                self.targets.report(&pick.id, AttemptEvent::ConnectFailed);
                return Err(Outcome::NotRun(Refusal::new(Reason::Deadline)));
            }
        };
        let attempt = AttemptId::random();
        let may_queue = retry_state.may_queue() || pick.queue;
        let mut request = build_request(ctx, pick, attempt, upload);
        let fields = request.headers_mut();
        if retry_state.is_forced() {
            fields.insert(headers::FORCED, HeaderValue::from_static("1"));
        }
        let wait = ctx.slot_wait().as_millis() as u64;
        fields.insert(headers::WAIT_MS, HeaderValue::from(wait));
        if may_queue {
            fields.insert(headers::MAY_QUEUE, HeaderValue::from_static("1"));
        }
        authorize().map_err(Outcome::NotRun)?;
        log::info!(
            event = "attempt", request:% = ctx.id, attempt:% = attempt, target:% = pick.id,
            may_queue, forced = retry_state.is_forced(),
            left_ms = ctx.time_left().as_millis() as u64; "attempt sent"
        );
        let sent_before = ctx.delivery.mark_sent();
        let mut report = AttemptReport::start(&self.targets, &pick.id);
        let sent = timeout_at(ctx.deadline, link.sender.try_send_request(request)).await;
        let result = match sent {
            Err(_) => {
                report.event = AttemptEvent::NoResponse;
                Err(Outcome::Unknown(Reason::Timeout))
            }
            Ok(Ok(response)) => {
                report.event = AttemptEvent::Responded;
                link.mark_alive();
                report.observe(response.headers());
                read_outcome(response, attempt)
            }
            Ok(Err(mut e)) => {
                report.event = AttemptEvent::LostLink;
                Err(match e.take_message() {
                    Some(_) => Outcome::NotRun(Refusal::new(Reason::Connect)),
                    None => Outcome::Unknown(Reason::LostLink),
                })
            }
        };
        self.learn(ctx, &pick.id, &result);
        result.inspect_err(|outcome| {
            if matches!(outcome, Outcome::NotRun(_)) {
                ctx.delivery.restore(sent_before);
            }
        })
    }

    /// Records what the end of an attempt shows about when its target takes requests.
    fn learn(
        &self,
        ctx: &RequestContext<'_>,
        target: &TargetId,
        result: &Result<Response<Incoming>, Outcome>,
    ) {
        match result {
            Ok(response) if !response.status().is_server_error() => self.targets.served(target),
            Err(Outcome::NotRun(refusal)) => {
                let mut refusal = *refusal;
                if refusal.reason == Reason::Busy {
                    // It takes requests again when the expected wait is short enough.
                    let wait = refusal.retry_after.unwrap_or_default();
                    refusal.retry_after = Some(wait.saturating_sub(ctx.slot_wait()));
                }
                self.targets.refused(target, &refusal);
            }
            _ => {}
        }
    }

    /// Sets the number of nodes that share the retry budget of a service.
    pub fn set_nodes(&self, nodes: usize) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.nodes = nodes;
        let Some(limits) = self.limits else {
            return;
        };
        for (_, budget) in &mut budgets.services {
            budget.set_nodes(limits, nodes);
        }
    }

    fn with_budget<T>(&self, service: &ServiceName, with: impl Fn(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let nodes = budgets.nodes;
        let services = &mut budgets.services;
        let at = match services.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let shared = |limits| RetryBudget::shared(limits, nodes);
                let budget = self.limits.map_or_else(RetryBudget::new, shared);
                services.insert(at, (service.clone(), budget));
                at
            }
        };
        with(&mut services[at].1)
    }
}

/// A failed attempt.
enum FailedAttempt {
    /// The target responded with a server error.
    Response(Response<Incoming>),
    /// The attempt ended without a response of the target.
    Outcome(Outcome),
}

impl FailedAttempt {
    fn outcome(&self) -> Outcome {
        match self {
            FailedAttempt::Response(_) => Outcome::Unknown(Reason::TargetError),
            FailedAttempt::Outcome(outcome) => outcome.clone(),
        }
    }
}

/// Returns what to tell the caller of two failures.
///
/// A target's response, even an error, is more informative than a later refusal.
fn more_informative(earlier: Option<FailedAttempt>, later: FailedAttempt) -> FailedAttempt {
    match (earlier, &later) {
        (Some(earlier @ FailedAttempt::Response(_)), FailedAttempt::Outcome(_)) => earlier,
        _ => later,
    }
}

/// Reports the result of an attempt when dropped, also if the caller disconnected.
struct AttemptReport<'a> {
    targets: &'a Targets,
    id: &'a TargetId,
    event: AttemptEvent,
}

impl<'a> AttemptReport<'a> {
    fn start(targets: &'a Targets, id: &'a TargetId) -> AttemptReport<'a> {
        targets.report(id, AttemptEvent::Sent);
        AttemptReport {
            targets,
            id,
            event: AttemptEvent::Cancelled,
        }
    }

    fn observe(&self, headers: &HeaderMap) {
        if let Some(load) = read_load(headers) {
            self.targets.observe(self.id, load);
        }
    }
}

impl Drop for AttemptReport<'_> {
    fn drop(&mut self) {
        self.targets.report(self.id, self.event);
    }
}

/// Returns the maximum number of attempts for a request of `route`.
fn attempts_max(route: &Route) -> usize {
    match route.attempts {
        0 => ATTEMPTS_MAX,
        stated => stated as usize,
    }
}

fn build_request(
    ctx: &RequestContext<'_>,
    pick: &Pick,
    attempt: AttemptId,
    upload: Upload,
) -> Request<Upload> {
    let mut request = Request::new(upload);
    *request.method_mut() = ctx.head.method.clone();
    *request.uri_mut() = uri(&ctx.head.uri);
    *request.version_mut() = http::Version::HTTP_2;
    let mut fields = ctx.head.headers.clone();
    let left = ctx.time_left();
    let margin = EGRESS_MARGIN.min(left / EGRESS_MARGIN_SHARE);
    let left = HeaderValue::from((left - margin).as_millis() as u64);
    fields.insert(headers::DEADLINE_MS, left);
    fields.insert(headers::REQUEST_ID, id_value(ctx.id));
    fields.insert(headers::ATTEMPT, attempt_value(attempt));
    fields.insert(headers::TARGET, name_value(pick.id.name.as_str()));
    if let Some(identity) = &ctx.identity {
        let account = name_value(identity.account.name.as_str());
        fields.insert(headers::ACCOUNT, account);
        fields.insert(headers::KEY, name_value(&identity.digest.to_string()));
    }
    if let Some(objective) = ctx.objective {
        let left = objective.saturating_duration_since(Instant::now());
        let left = HeaderValue::from(left.as_millis() as u64);
        fields.insert(headers::OBJECTIVE_MS, left);
    }
    if ctx.is_idempotent() {
        fields.insert(headers::IDEMPOTENT, HeaderValue::from_static("1"));
    }
    if ctx.shared_flow {
        fields.insert(headers::SHARED_FLOW, HeaderValue::from_static("1"));
    }
    if ctx.is_call {
        fields.insert(headers::CALL, HeaderValue::from_static("1"));
    }
    if let Some(origin) = &ctx.origin {
        fields.insert(headers::ORIGIN, name_value(origin.as_str()));
    }
    let weight = HeaderValue::from(ctx.weight.as_millis());
    fields.insert(headers::WEIGHT, weight);
    fields.insert(headers::KIND, name_value(ctx.route.name.as_str()));
    fields.insert(
        headers::PRIORITY,
        HeaderValue::from(u16::from(ctx.priority)),
    );
    *request.headers_mut() = fields;
    request
}

fn uri(from: &Uri) -> Uri {
    let path = from.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(EGRESS_AUTHORITY)
        .path_and_query(path)
        .build()
        .expect("the path comes from a valid URI")
}

fn name_value(name: &str) -> HeaderValue {
    HeaderValue::from_str(name).expect("names are valid header values")
}

/// Reads the outcome of an attempt from the internal headers of its response.
fn read_outcome(
    response: Response<Incoming>,
    attempt: AttemptId,
) -> Result<Response<Incoming>, Outcome> {
    let fields = response.headers();
    if parse_header::<AttemptId>(fields, &headers::ATTEMPT).ok() != Some(attempt) {
        return Err(Outcome::Unknown(Reason::Crossed));
    }
    let outcome = fields.get(headers::OUTCOME);
    if outcome == Some(&RESPONSE) {
        return Ok(response);
    }
    let reason = parse_header(fields, &headers::REASON).unwrap_or(Reason::TargetError);
    if outcome != Some(&NOT_RUN) {
        return Err(Outcome::Unknown(reason));
    }
    let delay = parse_header(fields, &headers::RETRY_MS).ok();
    Err(Outcome::NotRun(Refusal {
        reason,
        retry_after: delay.map(Duration::from_millis),
        first: None,
    }))
}
