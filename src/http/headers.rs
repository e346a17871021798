//! Which headers may pass between callers, nodes and targets.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue, Uri};

/// Headers with this prefix belong to the fleet; nobody outside may set them.
pub const OWN_PREFIX: &str = "laburnum-";

/// Identity of the request, the same over both hops.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("laburnum-request-id");
/// Identity of the attempt.
pub const ATTEMPT: HeaderName = HeaderName::from_static("laburnum-attempt");
/// How the request ended: `answer`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("laburnum-outcome");
/// Why the request was not answered.
pub const REASON: HeaderName = HeaderName::from_static("laburnum-reason");
/// Client account, between nodes only; absent on open routes.
pub const ACCOUNT: HeaderName = HeaderName::from_static("laburnum-account");
/// Weight of the account in the queue of a target, between nodes only.
pub const WEIGHT: HeaderName = HeaderName::from_static("laburnum-weight");
/// Remaining time until the answer must start, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("laburnum-deadline-ms");
/// Service of the VM on which the request began, between nodes only.
pub const ORIGIN: HeaderName = HeaderName::from_static("laburnum-origin");
/// Present if a request without a key is queued like those of a client account, between nodes only.
pub const SHARED: HeaderName = HeaderName::from_static("laburnum-shared");
/// Remaining time until the answer has less than its full worth, in milliseconds, between nodes
/// only; absent if only the deadline counts.
pub const OBJECTIVE_MS: HeaderName = HeaderName::from_static("laburnum-aim-ms");
/// Present if the request may wait for a slot, between nodes only.
pub const MAY_QUEUE: HeaderName = HeaderName::from_static("laburnum-patient");
/// Present if the request may run twice, between nodes only.
pub const IDEMPOTENT: HeaderName = HeaderName::from_static("laburnum-repeatable");
/// Present if the request is to run although the target has just failed, between nodes only.
pub const FORCED: HeaderName = HeaderName::from_static("laburnum-forced");
/// Rank of the request, between nodes only.
pub const PRIORITY: HeaderName = HeaderName::from_static("laburnum-priority");
/// Name of the target, between nodes only.
pub const TARGET: HeaderName = HeaderName::from_static("laburnum-target");
/// Kind of request, for the measurement of targets, between nodes only.
pub const KIND: HeaderName = HeaderName::from_static("laburnum-kind");
/// Load of the target's admission queue, between nodes only.
pub const LOAD: HeaderName = HeaderName::from_static("laburnum-load");
/// Time until a refused request may be sent again, in milliseconds, between nodes only.
pub const RETRY_MS: HeaderName = HeaderName::from_static("laburnum-retry-ms");

/// Name that a caller gives to a request, so that a repeat of it does not run again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Identity of the first request with the idempotency key, on refusals of repeats.
pub const FIRST_REQUEST_ID: HeaderName = HeaderName::from_static("laburnum-first-request-id");
/// How the first request ended, where known.
pub const FIRST_OUTCOME: HeaderName = HeaderName::from_static("laburnum-first-outcome");
/// HTTP status of the answer to the first request, where known.
pub const FIRST_STATUS: HeaderName = HeaderName::from_static("laburnum-first-status");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only.
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

/// Headers that hold credentials for the fleet and never reach a target.
const CREDENTIALS: [HeaderName; 2] = [AUTHORIZATION, PROXY_AUTHORIZATION];

/// Removes from a caller's request everything that must not reach a target.
///
/// `expect` goes too, since the node answers it itself.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_hop(headers);
    CREDENTIALS.iter().for_each(|name| remove(headers, name));
    remove(headers, &EXPECT);
    strip_own(headers);
}

/// Makes `host` name the host of a request in absolute form, which goes first.
///
/// User information in the authority is left out, since it may hold a password.
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

/// Removes from a target's answer everything that must not reach the caller.
pub fn strip_response(headers: &mut HeaderMap) {
    strip_hop(headers);
    strip_own(headers);
}

/// Removes every header with the fleet's prefix.
pub fn strip_own(headers: &mut HeaderMap) {
    remove_where(headers, |name| name.as_str().starts_with(OWN_PREFIX));
}

fn strip_hop(headers: &mut HeaderMap) {
    for name in connection_names(headers) {
        remove(headers, &name);
    }
    HOP_BY_HOP.iter().for_each(|name| remove(headers, name));
}

/// Returns the headers that `connection` names.
///
/// The framing header stays: a sender that names `content-length` there would otherwise change
/// where the body ends.
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
