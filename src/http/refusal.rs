//! HTTP responses for outcomes without a response of a target.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::Full;
use serde::Serialize;

use crate::http::headers::{
    FIRST_OUTCOME, FIRST_REQUEST_ID, FIRST_STATUS, OUTCOME, REASON, REQUEST_ID,
};
use crate::ids::RequestId;
use crate::outcome::{FirstOutcome, FirstRequest, Outcome, Reason, Refusal};

/// Value of the outcome header for a request to which a target responded.
pub const RESPONSE: HeaderValue = HeaderValue::from_static("answer");
/// Value of the outcome header for a request that did not run.
pub const NOT_RUN: HeaderValue = HeaderValue::from_static("not-run");
/// Value of the outcome header for a request that may have run.
pub const UNKNOWN: HeaderValue = HeaderValue::from_static("unknown");

#[derive(Serialize)]
struct Document<'a> {
    outcome: &'a str,
    reason: Reason,
    request_id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    first_request_id: Option<String>,
    message: &'a str,
    action: &'a str,
}

/// Creates the response to the caller for an outcome other than [`Outcome::Response`].
///
/// Returns `None` for [`Outcome::Response`], for which the target's response is passed on.
pub fn refusal_response(outcome: &Outcome, request: RequestId) -> Option<Response<Full<Bytes>>> {
    let (name, refusal) = match outcome {
        Outcome::Response => return None,
        Outcome::NotRun(refusal) => (NOT_RUN, *refusal),
        Outcome::Unknown(reason) => (UNKNOWN, Refusal::new(*reason)),
    };
    let body = document(&name, refusal, request);
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = refusal.reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(OUTCOME, name);
    headers.insert(REASON, HeaderValue::from_static(refusal.reason.code()));
    headers.insert(REQUEST_ID, id_value(request));
    if let Some(delay) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
    }
    if let Some(first) = refusal.first {
        insert_first(headers, first);
    }
    if refusal.reason.status() == StatusCode::UNAUTHORIZED {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    Some(response)
}

/// Adds the headers about the first request with the same idempotency key.
fn insert_first(headers: &mut HeaderMap, first: FirstRequest) {
    headers.insert(FIRST_REQUEST_ID, id_value(first.request));
    match first.outcome {
        None => {}
        Some(FirstOutcome::Response(status)) => {
            headers.insert(FIRST_OUTCOME, RESPONSE);
            headers.insert(FIRST_STATUS, HeaderValue::from(status));
        }
        Some(FirstOutcome::Unknown) => {
            headers.insert(FIRST_OUTCOME, UNKNOWN);
        }
    }
}

/// Returns a request id as a header value.
pub fn id_value(request: RequestId) -> HeaderValue {
    HeaderValue::try_from(request.to_string()).expect("hexadecimal digits are legal in a header")
}

/// Rounds up, since a caller that retries too early is refused again.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1_000) as u64
}

fn document(outcome: &HeaderValue, refusal: Refusal, request: RequestId) -> Bytes {
    let document = Document {
        outcome: outcome.to_str().expect("outcome names are ASCII"),
        reason: refusal.reason,
        request_id: request.to_string(),
        retry_after_ms: refusal.retry_after.map(|d| d.as_millis() as u64),
        first_request_id: refusal.first.map(|first| first.request.to_string()),
        message: refusal.reason.meaning(),
        action: refusal.reason.action(),
    };
    let text = serde_json::to_vec(&document).expect("the document has text keys only");
    Bytes::from(text)
}
