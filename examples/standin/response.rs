//! Answers of the stand-in target, whole or broken.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

use super::{Behaviour, Fault, RunGuard};

/// Largest part of an answer in bytes.
const PART_MAX_BYTES: u64 = 16 * 1024;

/// How much later than the deadline a late answer comes.
const LATE: Duration = Duration::from_millis(200);

/// What to answer to one request.
#[derive(Debug, Default)]
pub struct Plan {
    /// The failure, if any.
    pub fault: Option<Fault>,
    /// Time that the request takes; the target's usual time if none.
    pub delay: Option<Duration>,
    /// Bytes of the answer.
    bytes: u64,
    /// Time between two parts of the answer.
    gap: Duration,
    /// Sends chunks instead of a declared length.
    chunked: bool,
    /// Answers with the headers that it saw.
    echo: bool,
}

impl Plan {
    /// Reads the plan from the query; a failure that the query names goes first.
    pub fn read<B>(request: &Request<B>, behaviour: &Behaviour) -> Plan {
        let mut plan = Plan {
            fault: behaviour.draw(),
            bytes: 3,
            ..Plan::default()
        };
        let query = request.uri().query().unwrap_or_default();
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            let number = value.parse().unwrap_or(0);
            match name {
                "fault" => plan.fault = Fault::named(value),
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

    /// Answers as planned.
    pub async fn carry_out(
        &self,
        head: &http::request::Parts,
    ) -> Result<Response<ResponseBody>, std::io::Error> {
        match self.fault {
            Some(Fault::Hang) => std::future::pending().await,
            Some(Fault::Reset) => return Err(std::io::Error::other("reset on purpose")),
            Some(Fault::Late) => tokio::time::sleep(deadline(&head.headers) + LATE).await,
            _ => {}
        }
        let mut response = Response::new(self.body(&head.headers));
        let out = response.headers_mut();
        if !self.chunked && !self.echo {
            out.insert(CONTENT_LENGTH, HeaderValue::from(self.bytes));
        }
        if let Some(id) = head.headers.get("laburnum-request-id") {
            out.insert("laburnum-request-id", id.clone());
        }
        if self.fault == Some(Fault::Crossed) {
            let other = HeaderValue::from_static("00000000000000ff");
            out.insert("laburnum-request-id", other);
        }
        if self.fault == Some(Fault::Error) {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        Ok(response)
    }

    fn body(&self, seen: &HeaderMap) -> ResponseBody {
        if self.echo {
            return ResponseBody::full(echo(seen));
        }
        ResponseBody {
            left: self.bytes,
            gap: self.gap,
            end: match self.fault {
                Some(Fault::Cut) => End::Error(self.bytes / 2),
                Some(Fault::WrongLength) => End::Early(self.bytes / 2),
                _ => End::Whole,
            },
            ..ResponseBody::default()
        }
    }
}

/// Refuses a request before it runs.
pub fn shed() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let out = response.headers_mut();
    out.insert("laburnum-outcome", HeaderValue::from_static("not-run"));
    out.insert("retry-after", HeaderValue::from_static("1"));
    response
}

fn deadline(headers: &HeaderMap) -> Duration {
    let value = headers.get("laburnum-deadline-ms");
    let ms = value
        .and_then(|v| v.to_str().ok())
        .and_then(|t| t.parse().ok());
    Duration::from_millis(ms.unwrap_or(1_000))
}

fn echo(seen: &HeaderMap) -> String {
    let mut text = String::new();
    for (name, value) in seen {
        let value = String::from_utf8_lossy(value.as_bytes());
        text.push_str(&format!("{name}: {value}\n"));
    }
    text
}

/// The body of an answer.
#[derive(Default)]
pub struct ResponseBody {
    whole: Option<Bytes>,
    left: u64,
    gap: Duration,
    end: End,
    timer: Option<Pin<Box<Sleep>>>,
    run: Option<RunGuard>,
}

/// How a body ends; numbers are the bytes that are left then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum End {
    #[default]
    Whole,
    Early(u64),
    Error(u64),
}

impl ResponseBody {
    /// Creates a body that is sent at once.
    pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody {
            whole: Some(bytes.into()),
            ..ResponseBody::default()
        }
    }

    /// Keeps a run until the body has been sent.
    pub fn holding(mut self, run: RunGuard) -> ResponseBody {
        self.run = Some(run);
        self.note_end();
        self
    }

    fn is_over(&self) -> bool {
        self.whole.as_ref().is_none_or(Bytes::is_empty) && self.left == 0
    }

    fn note_end(&mut self) {
        if self.is_over()
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
        if let Some(bytes) = this.whole.take() {
            this.note_end();
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if let Some(timer) = this.timer.as_mut() {
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            this.timer = None;
        }
        match this.end {
            End::Early(left) if this.left <= left => return Poll::Ready(None),
            End::Error(left) if this.left <= left => {
                return Poll::Ready(Some(Err(std::io::Error::other("cut on purpose"))));
            }
            _ if this.left == 0 => return Poll::Ready(None),
            _ => {}
        }
        let size = this.left.min(PART_MAX_BYTES).min(match this.end {
            End::Whole => u64::MAX,
            End::Early(left) | End::Error(left) => this.left - left,
        });
        this.left -= size;
        if !this.gap.is_zero() {
            let end = Instant::now() + this.gap;
            this.timer = Some(Box::pin(tokio::time::sleep_until(end)));
        }
        this.note_end();
        let part = Bytes::from(vec![b'a'; size as usize]);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_over()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.whole {
            Some(bytes) => SizeHint::with_exact(bytes.len() as u64),
            None => SizeHint::default(),
        }
    }
}
