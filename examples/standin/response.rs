//! Responses of the stand-in target, complete or with an injected fault.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

use super::{Behaviour, Fault, RunGuard};

/// Maximum size of one data frame of a response body in bytes.
const FRAME_MAX_BYTES: u64 = 16 * 1024;

/// Time after the deadline at which a late response is sent.
const LATE_DELAY: Duration = Duration::from_millis(200);

/// How to respond to one request.
#[derive(Debug, Default)]
pub struct ResponsePlan {
    /// The injected fault, if any.
    pub fault: Option<Fault>,
    /// Service time of the request; the target's default if none.
    pub delay: Option<Duration>,
    /// Size of the response body.
    bytes: u64,
    /// Time between two data frames of the response body.
    gap: Duration,
    /// Uses chunked encoding instead of a declared length.
    chunked: bool,
    /// Responds with the headers of the request.
    echo: bool,
}

impl ResponsePlan {
    /// Reads the plan from the query; a fault in the query takes precedence over a random one.
    pub fn read<B>(request: &Request<B>, behaviour: &Behaviour) -> ResponsePlan {
        let mut plan = ResponsePlan {
            fault: behaviour.random_fault(),
            bytes: 3,
            ..ResponsePlan::default()
        };
        let query = request.uri().query().unwrap_or_default();
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            let number = value.parse().unwrap_or(0);
            match name {
                "fault" => plan.fault = Fault::by_name(value),
                "delay_ms" => plan.delay = Some(Duration::from_millis(number)),
                "gap_ms" => plan.gap = Duration::from_millis(number),
                "bytes" => plan.bytes = number,
                "chunked" => plan.chunked = true,
                "echo" => plan.echo = true,
                _ => {}
            }
        }
        plan
    }

    /// Responds as planned.
    pub async fn execute(
        &self,
        head: &http::request::Parts,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        match self.fault {
            Some(Fault::Hang) => std::future::pending().await,
            Some(Fault::Reset) => return Err(std::io::Error::other("injected reset")),
            Some(Fault::Late) => tokio::time::sleep(deadline(&head.headers) + LATE_DELAY).await,
            _ => {}
        }
        let mut response = Response::new(self.body(&head.headers));
        let headers = response.headers_mut();
        if !self.chunked && !self.echo {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.bytes));
        }
        if let Some(id) = head.headers.get("laburnum-request-id") {
            headers.insert("laburnum-request-id", id.clone());
        }
        if self.fault == Some(Fault::Crossed) {
            let other = HeaderValue::from_static("00000000000000ff");
            headers.insert("laburnum-request-id", other);
        }
        if self.fault == Some(Fault::Error) {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        Ok(response)
    }

    fn body(&self, received: &HeaderMap) -> ResponseBody {
        if self.echo {
            return ResponseBody::full(echo(received));
        }
        ResponseBody {
            remaining: self.bytes,
            gap: self.gap,
            end: match self.fault {
                Some(Fault::Cut) => BodyEnd::Error(self.bytes / 2),
                Some(Fault::WrongLength) => BodyEnd::Early(self.bytes / 2),
                _ => BodyEnd::Complete,
            },
            ..ResponseBody::default()
        }
    }
}

/// Refuses the request with these headers before it runs.
pub fn shed(request: &HeaderMap) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert("laburnum-outcome", HeaderValue::from_static("not-run"));
    headers.insert("retry-after", HeaderValue::from_static("1"));
    if let Some(id) = request.get("laburnum-request-id") {
        headers.insert("laburnum-request-id", id.clone());
    }
    response
}

fn deadline(headers: &HeaderMap) -> Duration {
    let value = headers.get("laburnum-deadline-ms");
    let ms = value
        .and_then(|v| v.to_str().ok())
        .and_then(|t| t.parse().ok());
    Duration::from_millis(ms.unwrap_or(1_000))
}

fn echo(received: &HeaderMap) -> String {
    let mut text = String::new();
    for (name, value) in received {
        let value = String::from_utf8_lossy(value.as_bytes());
        text.push_str(&format!("{name}: {value}\n"));
    }
    text
}

/// The body of a response.
#[derive(Default)]
pub struct ResponseBody {
    bytes: Option<Bytes>,
    remaining: u64,
    gap: Duration,
    end: BodyEnd,
    timer: Option<Pin<Box<Sleep>>>,
    run: Option<RunGuard>,
}

/// How a body ends. An early end or an error occurs when this many bytes remain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum BodyEnd {
    #[default]
    Complete,
    Early(u64),
    Error(u64),
}

impl ResponseBody {
    /// Creates a body that is sent in one frame.
    pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody {
            bytes: Some(bytes.into()),
            ..ResponseBody::default()
        }
    }

    /// Keeps the run's guard until the body has been sent.
    pub fn with_run(mut self, run: RunGuard) -> ResponseBody {
        self.run = Some(run);
        self.finish_if_sent();
        self
    }

    fn is_sent(&self) -> bool {
        self.bytes.as_ref().is_none_or(Bytes::is_empty) && self.remaining == 0
    }

    fn finish_if_sent(&mut self) {
        if self.is_sent()
            && let Some(run) = self.run.as_mut()
        {
            run.finished = true;
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let this = &mut *self;
        if let Some(bytes) = this.bytes.take() {
            this.finish_if_sent();
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if let Some(timer) = this.timer.as_mut() {
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            this.timer = None;
        }
        match this.end {
            BodyEnd::Early(left) if this.remaining <= left => return Poll::Ready(None),
            BodyEnd::Error(left) if this.remaining <= left => {
                return Poll::Ready(Some(Err(std::io::Error::other("injected truncation"))));
            }
            _ if this.remaining == 0 => return Poll::Ready(None),
            _ => {}
        }
        let size = this.remaining.min(FRAME_MAX_BYTES).min(match this.end {
            BodyEnd::Complete => u64::MAX,
            BodyEnd::Early(left) | BodyEnd::Error(left) => this.remaining - left,
        });
        this.remaining -= size;
        if !this.gap.is_zero() {
            let until = Instant::now() + this.gap;
            this.timer = Some(Box::pin(tokio::time::sleep_until(until)));
        }
        this.finish_if_sent();
        let data = Bytes::from(vec![b'a'; size as usize]);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_sent()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.bytes {
            Some(bytes) => SizeHint::with_exact(bytes.len() as u64),
            None => SizeHint::default(),
        }
    }
}
