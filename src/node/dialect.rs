//! How a node speaks with callers and with targets.
//!
//! The request path is the same whatever callers and targets speak; what differs at its two ends is
//! behind [`Dialect`]. [`NativeDialect`] is the product's own interface.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Response, StatusCode};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;

use crate::http::headers;
use crate::http::refusal::{ANSWER, NOT_RUN, id_value, refusal_response};
use crate::ids::{AccountName, AttemptId, RequestId, ServiceName, TargetName};
use crate::node::egress::{attempt_value, field};
use crate::outcome::{Outcome, Reason, Refusal};

/// Time after which a request that met a shedding target may be sent again, if it names none.
const SHED_RETRY: Duration = Duration::from_secs(1);

/// What a caller states about its request besides the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// The identity of the request, drawn by the node if the caller states none.
    pub request: RequestId,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// The service of the VM on which the request began, if targets are told.
    pub origin: Option<ServiceName>,
}

/// A request on its way to a target.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The client account whose key came with the request; none on open routes.
    pub account: Option<AccountName>,
    /// The service of the VM on which the request began, if the dialect names one.
    pub origin: Option<ServiceName>,
    /// The target that is meant.
    pub target: TargetName,
    /// Time until the answer must start.
    pub time_left: Duration,
}

/// How callers state their requests, how outcomes are told, and how targets are spoken to.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads what a caller states in the headers of its request.
    fn request_info(&self, headers: &HeaderMap) -> RequestInfo;

    /// Returns the key in an authorization header; none if it holds none.
    fn key<'a>(&self, value: &'a HeaderValue) -> Option<&'a [u8]>;

    /// Returns the answer to a caller for an outcome other than [`Outcome::Response`].
    fn refusal(&self, outcome: &Outcome, request: RequestId) -> Response<Full<Bytes>>;

    /// Completes the headers of a target's answer for the caller.
    fn complete_response(&self, headers: &mut HeaderMap, request: RequestId);

    /// Completes the headers of a request for the target.
    fn complete_request(&self, headers: &mut HeaderMap, dispatch: &Dispatch);

    /// Checks that an answer belongs to the request that was sent with the headers `sent` and that
    /// it ran there.
    ///
    /// # Errors
    ///
    /// Returns [`Outcome::NotRun`] if the target says that it did not run the request, and
    /// [`Outcome::Unknown`] if the answer can't be passed on.
    fn check_response(
        &self,
        dispatch: &Dispatch,
        sent: Option<&HeaderValue>,
        response: &Response<Incoming>,
    ) -> Result<(), Outcome>;

    /// Returns the header by which a target's answer shows which request it belongs to.
    fn correlation_header<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue>;
}

/// The product's own interface: `laburnum-` headers, bearer tokens, JSON refusals.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn request_info(&self, _: &HeaderMap) -> RequestInfo {
        RequestInfo {
            request: RequestId::random(),
            timeout: None,
            origin: None,
        }
    }

    fn key<'a>(&self, value: &'a HeaderValue) -> Option<&'a [u8]> {
        credentials(value, b"bearer ")
    }

    fn refusal(&self, outcome: &Outcome, request: RequestId) -> Response<Full<Bytes>> {
        refusal_response(outcome, request).expect("an answer is not refused")
    }

    fn complete_response(&self, headers: &mut HeaderMap, request: RequestId) {
        headers.insert(headers::OUTCOME, ANSWER);
        headers.insert(headers::REQUEST_ID, id_value(request));
    }

    fn complete_request(&self, headers: &mut HeaderMap, dispatch: &Dispatch) {
        let left = HeaderValue::from(dispatch.time_left.as_millis() as u64);
        headers.insert(headers::DEADLINE_MS, left);
        headers.insert(headers::REQUEST_ID, id_value(dispatch.request));
        headers.insert(headers::ATTEMPT, attempt_value(dispatch.attempt));
    }

    fn check_response(
        &self,
        dispatch: &Dispatch,
        _: Option<&HeaderValue>,
        response: &Response<Incoming>,
    ) -> Result<(), Outcome> {
        let echoes = [
            (headers::REQUEST_ID, dispatch.request.0),
            (headers::ATTEMPT, dispatch.attempt.0),
        ];
        for (name, own) in echoes {
            let strange = response.headers().get_all(&name).iter().any(|value| {
                let echoed = value.to_str().ok();
                echoed.and_then(|v| u64::from_str_radix(v, 16).ok()) != Some(own)
            });
            if strange {
                return Err(Outcome::Unknown(Reason::Crossed));
            }
        }
        if !is_delimited(response) {
            return Err(Outcome::Unknown(Reason::TargetError));
        }
        if is_shed(response) {
            let refusal = Refusal::after(Reason::Shed, retry_after(response));
            return Err(Outcome::NotRun(refusal));
        }
        Ok(())
    }

    fn correlation_header<'a>(&self, _: &'a HeaderMap) -> Option<&'a HeaderValue> {
        None
    }
}

/// Returns what follows `scheme`, given in lower case with its space; its case doesn't matter.
pub fn credentials<'a>(value: &'a HeaderValue, scheme: &[u8]) -> Option<&'a [u8]> {
    let (given, key) = value.as_bytes().split_at_checked(scheme.len())?;
    let key = key.trim_ascii();
    (given.eq_ignore_ascii_case(scheme) && !key.is_empty()).then_some(key)
}

/// An answer that ends when its connection closes can't be told from one that was cut.
fn is_delimited(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || response.body().is_end_stream()
}

/// Only a target that says so itself proves that a refused request did not run.
fn is_shed(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().get(headers::OUTCOME) == Some(&NOT_RUN)
}

fn retry_after(response: &Response<Incoming>) -> Duration {
    field(response.headers(), &http::header::RETRY_AFTER)
        .map(Duration::from_secs)
        .unwrap_or(SHED_RETRY)
}
