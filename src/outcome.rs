//! Outcomes of requests and the reasons behind refusals.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::ids::RequestId;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded; the response is passed on in full or visibly truncated.
    Response,
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run; it is sent again only if it is idempotent.
    Unknown(Reason),
}

impl Outcome {
    /// Returns the name for log lines: `answer`, `not-run` or `unknown`.
    pub fn name(&self) -> &'static str {
        match self {
            Outcome::Response => "answer",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }

    /// Returns why there is no response, if there is none.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Outcome::Response => None,
            Outcome::NotRun(refusal) => Some(refusal.reason),
            Outcome::Unknown(reason) => Some(*reason),
        }
    }

    /// Returns the delay after which to retry, if the request did not run and the delay is known.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Outcome::NotRun(refusal) => refusal.retry_after,
            _ => None,
        }
    }
}

/// A refusal of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: Reason,
    /// The delay after which to retry, if it is known.
    pub retry_after: Option<Duration>,
    /// The first request with the same idempotency key, if that caused the refusal and is known.
    pub first: Option<FirstRequest>,
}

/// The first request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstRequest {
    /// The id of the request.
    pub request: RequestId,
    /// How the request ended, if that is known.
    pub outcome: Option<FirstOutcome>,
}

/// How the first request with an idempotency key ended, if it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstOutcome {
    /// A target responded with this HTTP status.
    Response(u16),
    /// The request may have run.
    Unknown,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(reason: Reason) -> Self {
        Refusal {
            reason,
            retry_after: None,
            first: None,
        }
    }

    /// Creates a refusal of a request that may be retried after `delay`.
    pub fn after(reason: Reason, delay: Duration) -> Self {
        Refusal {
            reason,
            retry_after: Some(delay),
            first: None,
        }
    }

    /// Adds the first request with the same idempotency key.
    pub fn with_first(self, first: FirstRequest) -> Self {
        Refusal {
            first: Some(first),
            ..self
        }
    }
}

macro_rules! reasons {
    ($($variant:ident, $code:literal, $status:ident, $ran:expr, $meaning:literal, $action:literal;)*) => {
        /// Why a request got no response from a target.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $(#[doc = $meaning] $variant,)*
        }

        impl Reason {
            /// Every reason, in the order of the operators' page.
            pub const ALL: &[Reason] = &[$(Reason::$variant,)*];

            /// Returns the code used in headers, logs and counters.
            pub const fn code(self) -> &'static str {
                match self { $(Reason::$variant => $code,)* }
            }

            /// Returns the HTTP status sent to the caller.
            pub const fn status(self) -> StatusCode {
                match self { $(Reason::$variant => StatusCode::$status,)* }
            }

            /// Returns true if the request may have run.
            pub const fn may_have_run(self) -> bool {
                match self { $(Reason::$variant => $ran,)* }
            }

            /// Returns what the reason means.
            pub const fn meaning(self) -> &'static str {
                match self { $(Reason::$variant => $meaning,)* }
            }

            /// Returns what an operator or a caller can do about it.
            pub const fn action(self) -> &'static str {
                match self { $(Reason::$variant => $action,)* }
            }
        }
    };
}

reasons! {
    BadRequest, "bad-request", BAD_REQUEST, false,
        "The request is malformed or ambiguous.",
        "Correct the request line, the headers or the body framing.";
    HeadersTooLarge, "headers-too-large", REQUEST_HEADER_FIELDS_TOO_LARGE, false,
        "The headers exceed the node's limit.",
        "Send fewer or shorter headers.";
    BodyTooLarge, "body-too-large", PAYLOAD_TOO_LARGE, false,
        "The declared body exceeds the limit of the route.",
        "Send a smaller body or raise the limit of the route in a release note.";
    NoRoute, "no-route", NOT_FOUND, false,
        "No route matches the path.",
        "Check the path, or add a route in a release note.";
    MethodNotAllowed, "method-not-allowed", METHOD_NOT_ALLOWED, false,
        "The route does not accept the method.",
        "Use a method that the route lists.";
    NoKey, "no-key", UNAUTHORIZED, false,
        "The route needs a key and the request has none.",
        "Send the key as a bearer token in the authorization header.";
    UnknownKey, "unknown-key", UNAUTHORIZED, false,
        "The key was never issued or has been withdrawn.",
        "Use a current key, or issue one in a release note.";
    StaleConfig, "stale-config", SERVICE_UNAVAILABLE, false,
        "The node can't prove that its configuration is current.",
        "Try another node; check the links of this one to control processes and nodes.";
    Starting, "starting", SERVICE_UNAVAILABLE, false,
        "The node has just started and holds no current configuration yet.",
        "Try another node or come back after the stated time.";
    Draining, "draining", SERVICE_UNAVAILABLE, false,
        "The node is shutting down.",
        "Try another node.";
    Rate, "rate", TOO_MANY_REQUESTS, false,
        "The client account has used its rate and burst.",
        "Come back after the stated time, or raise the rate in a release note.";
    OpenLimit, "open-limit", TOO_MANY_REQUESTS, false,
        "Open routes have reached their own limit.",
        "Come back after the stated time.";
    QueueFull, "queue-full", SERVICE_UNAVAILABLE, false,
        "Every slot is in use and the queue is full.",
        "Come back after the stated time, or add targets.";
    Busy, "busy", SERVICE_UNAVAILABLE, false,
        "Every slot of the target is in use, and another target may have a free one.",
        "Come back after the stated time, or add targets.";
    AccountShare, "account-share", SERVICE_UNAVAILABLE, false,
        "The client account holds its share of the queue already.",
        "Come back after the stated time.";
    Deadline, "deadline", GATEWAY_TIMEOUT, false,
        "The request could not have been answered within its deadline.",
        "Allow a longer deadline, or add targets.";
    NoTarget, "no-target", SERVICE_UNAVAILABLE, false,
        "The service has no target that can be reached.",
        "Check that targets announce themselves and are healthy.";
    Shed, "shed", SERVICE_UNAVAILABLE, false,
        "The target shed the request before running it.",
        "Come back after the stated time.";
    Suspect, "suspect", SERVICE_UNAVAILABLE, false,
        "The target has just failed and gets no requests until it is known to work again.",
        "Come back after the stated time; check the target.";
    Connect, "connect", BAD_GATEWAY, false,
        "No connection to the target could be made, so nothing was sent.",
        "Check the target and the links between the nodes.";
    RepeatRunning, "repeat-running", CONFLICT, false,
        "The first request with this idempotency key still runs; this one did not run.",
        "Wait for the answer to the first request, or repeat after the stated time to learn its end.";
    Repeat, "repeat", CONFLICT, false,
        "The first request with this idempotency key has ended or its node is lost; this one did not run.",
        "Read the headers on the first request; use a new key only if the request is to run again.";
    RepeatUnknown, "repeat-unknown", SERVICE_UNAVAILABLE, false,
        "The fleet can't tell whether the idempotency key was used before; this request did not run.",
        "Repeat with the same key after the stated time.";
    LostLink, "lost-link", BAD_GATEWAY, true,
        "The connection was lost after the request was sent.",
        "Check by reading whether the request ran before it is sent again.";
    Timeout, "timeout", GATEWAY_TIMEOUT, true,
        "No answer came within the deadline, and the request may still run.",
        "Check by reading whether the request ran before it is sent again.";
    AnswerCut, "answer-cut", BAD_GATEWAY, true,
        "The answer ended before it was complete.",
        "Check by reading whether the request ran before it is sent again.";
    TargetError, "target-error", BAD_GATEWAY, true,
        "The target broke the HTTP protocol.",
        "Check the target; check by reading whether the request ran.";
    Crossed, "crossed", BAD_GATEWAY, true,
        "The answer belonged to another request and was dropped.",
        "Check the target; check by reading whether the request ran.";
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl FromStr for Reason {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        Reason::ALL
            .iter()
            .copied()
            .find(|r| r.code() == s)
            .ok_or_else(|| Error::invalid(format!("unknown reason {s:?}")))
    }
}
