//! Headers of the fleet, and the rules for headers passed between callers, nodes and targets.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Uri};

/// Prefix of the fleet's own headers, which are removed if they come from outside.
pub const INTERNAL_PREFIX: &str = "laburnum-";

/// Id of the request, the same on both hops.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("laburnum-request-id");
/// Id of the attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("laburnum-attempt");
/// Outcome of the request: `answer`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("laburnum-outcome");
/// Reason why there is no response of a target.
pub const REASON: HeaderName = HeaderName::from_static("laburnum-reason");
/// Client account, between nodes only; absent on open routes.
pub const ACCOUNT: HeaderName = HeaderName::from_static("laburnum-account");
/// Digest of the key, between nodes only; absent on open routes.
pub const KEY: HeaderName = HeaderName::from_static("laburnum-key");
/// Weight of the account in the fair queue of a target, between nodes only.
pub const WEIGHT: HeaderName = HeaderName::from_static("laburnum-weight");
/// How long the caller waits for the complete response.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("laburnum-timeout-ms");
/// Time left until the response must start, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("laburnum-deadline-ms");
/// Service that the VM of the ingress provides, between nodes only.
pub const ORIGIN: HeaderName = HeaderName::from_static("laburnum-origin");
/// Present if the request belongs to the flow that requests without a key share in the fair queue,
/// between nodes only.
pub const SHARED_FLOW: HeaderName = HeaderName::from_static("laburnum-shared");
/// Present if a target makes the request while it runs another, between nodes only.
pub const CALL: HeaderName = HeaderName::from_static("laburnum-call");
/// Time left until the latency objective of the route, in milliseconds, between nodes only; absent
/// if only the deadline applies.
pub const OBJECTIVE_MS: HeaderName = HeaderName::from_static("laburnum-aim-ms");
/// Longest expected wait for a slot with which the request may be queued, in milliseconds, between
/// nodes only.
pub const WAIT_MS: HeaderName = HeaderName::from_static("laburnum-wait-ms");
/// Present if the request may be queued for a slot however long it takes, between nodes only.
pub const MAY_QUEUE: HeaderName = HeaderName::from_static("laburnum-patient");
/// Present if the request may run more than once, between nodes only.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("laburnum-repeatable");
/// Present if the request is sent although the target's circuit breaker may be open, between nodes
/// only.
pub const FORCED: HeaderName = HeaderName::from_static("laburnum-forced");
/// Priority of the request, between nodes only.
pub const PRIORITY: HeaderName = HeaderName::from_static("laburnum-priority");
/// Name of the target, between nodes only.
pub const TARGET: HeaderName = HeaderName::from_static("laburnum-target");
/// Kind of the request in the measurements of targets, between nodes only.
pub const KIND: HeaderName = HeaderName::from_static("laburnum-kind");
/// Load of the target's slots and queue, between nodes only.
pub const LOAD: HeaderName = HeaderName::from_static("laburnum-load");
/// Time until a refused request may be sent again, in milliseconds, between nodes only.
pub const RETRY_MS: HeaderName = HeaderName::from_static("laburnum-retry-ms");

/// Idempotency key of a caller, by which a duplicate of the request doesn't run again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of the first request with the idempotency key, in refusals of duplicates.
pub const FIRST_REQUEST_ID: HeaderName = HeaderName::from_static("laburnum-first-request-id");
/// Outcome of the first request, if known.
pub const FIRST_OUTCOME: HeaderName = HeaderName::from_static("laburnum-first-outcome");
/// HTTP status of the response to the first request, if known.
pub const FIRST_STATUS: HeaderName = HeaderName::from_static("laburnum-first-status");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers with credentials for the fleet, which never reach a target.
const CREDENTIALS: [HeaderName; 2] = [AUTHORIZATION, PROXY_AUTHORIZATION];

/// Removes from a caller's request everything that must not reach a target.
///
/// This includes `expect`, since the node responds to it itself.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    CREDENTIALS.iter().for_each(|name| remove(headers, name));
    remove(headers, &EXPECT);
    strip_internal(headers);
}

/// Sets `host` to the host of an absolute-form request target, which takes precedence.
///
/// User information in the authority is left out, since it may contain a password.
pub fn set_host(headers: &mut HeaderMap, uri: &Uri) {
    let Some(authority) = uri.authority() else {
        return;
    };
    let host = match authority.port() {
        Some(port) => format!("{}:{port}", authority.host()),
        None => authority.host().to_owned(),
    };
    if let Ok(host) = HeaderValue::try_from(host) {
        headers.insert(HOST, host);
    }
}

/// Removes from a target's response everything that must not reach the caller.
pub fn strip_response(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_internal(headers);
}

/// Removes all headers with the fleet's prefix.
pub fn strip_internal(headers: &mut HeaderMap) {
    remove_where(headers, |name| name.as_str().starts_with(INTERNAL_PREFIX));
}

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_names(headers) {
        remove(headers, &name);
    }
    HOP_BY_HOP.iter().for_each(|name| remove(headers, name));
}

/// Returns the headers listed in `connection`, except `content-length`.
///
/// A sender that lists `content-length` there could otherwise change where the body ends.
fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .filter(|name| name != CONTENT_LENGTH)
        .collect()
}

fn remove(headers: &mut HeaderMap, name: &HeaderName) {
    while headers.remove(name).is_some() {}
}

fn remove_where(headers: &mut HeaderMap, unwanted: impl Fn(&HeaderName) -> bool) {
    let names: Vec<HeaderName> = headers.keys().filter(|n| unwanted(n)).cloned().collect();
    names.iter().for_each(|name| remove(headers, name));
}
