//! Streaming bodies with a size limit and an idle timeout.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use crate::outcome::Reason;

/// An error that ended a body early.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeded the limit of its route, or that on responses.
    TooLarge,
    /// No data arrived within the idle timeout.
    IdleTimeout,
    /// The node aborted the body for this reason.
    Aborted(Reason),
    /// The connection failed.
    Connection(hyper::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge => f.write_str("body exceeds its limit"),
            BodyError::IdleTimeout => f.write_str("no data arrived within the idle timeout"),
            BodyError::Aborted(reason) => write!(f, "aborted: {reason}"),
            BodyError::Connection(e) => write!(f, "connection failed: {e}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// An incoming body with an idle timeout.
///
/// Only the time that the reader waits for the sender counts, so that a slow reader doesn't make
/// the sender time out.
#[derive(Debug)]
pub struct TimeoutBody {
    inner: Incoming,
    idle_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    /// Data that was read ahead.
    ahead: Option<BytesMut>,
    /// True if the end was read.
    ended: bool,
}

impl TimeoutBody {
    /// Wraps `inner`; each wait for data may take `idle_timeout`.
    pub fn new(inner: Incoming, idle_timeout: Duration) -> TimeoutBody {
        TimeoutBody {
            inner,
            idle_timeout,
            timer: None,
            ahead: None,
            ended: false,
        }
    }

    /// Returns true if no data will follow.
    pub fn is_done(&self) -> bool {
        self.ahead.is_none() && (self.ended || self.inner.is_end_stream())
    }

    /// Reads ahead until the end, or until more than `limit` bytes are held; the data is returned by
    /// later polls.
    pub fn poll_ahead(
        &mut self,
        cx: &mut Context<'_>,
        limit: usize,
    ) -> Poll<std::result::Result<(), BodyError>> {
        let mut ahead = self.ahead.take().unwrap_or_default();
        let result = loop {
            if ahead.len() > limit {
                break Poll::Ready(Ok(()));
            }
            match self.poll_data(cx) {
                Poll::Pending => break Poll::Pending,
                Poll::Ready(Some(Ok(data))) => ahead.extend_from_slice(&data),
                Poll::Ready(Some(Err(e))) => break Poll::Ready(Err(e)),
                Poll::Ready(None) => break Poll::Ready(Ok(())),
            }
        };
        self.ahead = Some(ahead).filter(|ahead| !ahead.is_empty());
        result
    }

    /// Returns the bounds of the remaining size.
    pub fn size(&self) -> SizeHint {
        let held = self.ahead.as_ref().map_or(0, BytesMut::len) as u64;
        if self.ended {
            return SizeHint::with_exact(held);
        }
        let rest = self.inner.size_hint();
        let mut size = SizeHint::new();
        size.set_lower(rest.lower() + held);
        if let Some(upper) = rest.upper() {
            size.set_upper(upper + held);
        }
        size
    }

    /// Polls for the next data; trailers are dropped.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, BodyError>>> {
        if let Some(ahead) = self.ahead.take() {
            return Poll::Ready(Some(Ok(ahead.freeze())));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        loop {
            match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Pending => return self.poll_timeout(cx),
                Poll::Ready(frame) => {
                    self.timer = None;
                    match frame {
                        None => {
                            self.ended = true;
                            return Poll::Ready(None);
                        }
                        Some(Err(e)) => return Poll::Ready(Some(Err(BodyError::Connection(e)))),
                        Some(Ok(frame)) => {
                            if let Ok(data) = frame.into_data() {
                                return Poll::Ready(Some(Ok(data)));
                            }
                        }
                    }
                }
            }
        }
    }

    fn poll_timeout(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, BodyError>>> {
        let end = Instant::now() + self.idle_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::IdleTimeout))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Body for TimeoutBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyError>>> {
        self.poll_data(cx).map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        self.is_done()
    }

    fn size_hint(&self) -> SizeHint {
        self.size()
    }
}

/// Holds a request body between attempts, and the reason why reading it failed.
///
/// A body of which nothing was read returns here when its attempt ends, so that another attempt can
/// send it completely.
#[derive(Debug, Default)]
pub struct UploadBuffer {
    empty: bool,
    state: Mutex<BufferState>,
}

#[derive(Debug, Default)]
struct BufferState {
    body: Option<TimeoutBody>,
    /// A short body that was buffered before the first attempt, so that each attempt can send it.
    buffered: Option<Bytes>,
    failure: Option<Reason>,
}

impl UploadBuffer {
    /// Creates a buffer that holds `body`; an empty body can be taken any number of times.
    pub fn new(body: TimeoutBody) -> Arc<UploadBuffer> {
        let empty = body.is_done();
        let state = BufferState {
            body: Some(body).filter(|_| !empty),
            buffered: None,
            failure: None,
        };
        Arc::new(UploadBuffer {
            empty,
            state: Mutex::new(state),
        })
    }

    /// Buffers the body if its stated size is at most `limit` bytes, so that it can be sent again.
    ///
    /// A longer body, or one of unknown size, stays unread.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the caller doesn't send the complete body.
    pub async fn buffer_short(&self, limit: u64) -> Result<(), Reason> {
        let is_short =
            |body: &mut TimeoutBody| body.size().exact().is_some_and(|size| size <= limit);
        let Some(mut body) = self.lock().body.take_if(is_short) else {
            return Ok(());
        };
        let mut buffered = BytesMut::with_capacity(body.size().lower() as usize);
        while let Some(part) = std::future::poll_fn(|cx| body.poll_data(cx)).await {
            let part = part.map_err(|e| {
                let reason = reason_of(&e);
                self.lock().failure = Some(reason);
                reason
            })?;
            buffered.extend_from_slice(&part);
        }
        self.lock().buffered = Some(buffered.freeze());
        Ok(())
    }

    /// Reads the body ahead until its end or until it is longer than `limit` bytes.
    ///
    /// # Errors
    ///
    /// As [`UploadBuffer::buffer_short`].
    pub async fn read_ahead(&self, limit: usize) -> Result<(), Reason> {
        std::future::poll_fn(|cx| {
            let mut state = self.lock();
            let Some(body) = state.body.as_mut() else {
                return Poll::Ready(Ok(()));
            };
            let read = body.poll_ahead(cx, limit);
            read.map_err(|e| {
                let reason = reason_of(&e);
                state.failure = Some(reason);
                reason
            })
        })
        .await
    }

    /// Takes the body for an attempt; returns `None` if an earlier attempt has read from it.
    pub fn take(self: &Arc<Self>, limit: u64) -> Option<Upload> {
        let mut state = self.lock();
        let buffered = state.buffered.clone();
        let body = state.body.take();
        drop(state);
        if body.is_none() && buffered.is_none() && !self.empty {
            return None;
        }
        Some(Upload {
            body,
            buffered,
            left: limit,
            started: false,
            buffer: self.clone(),
        })
    }

    /// Returns true if the body can still be sent completely.
    pub fn is_replayable(&self) -> bool {
        let state = self.lock();
        self.empty || state.body.is_some() || state.buffered.is_some()
    }

    /// Returns true if no part of the body is left on the connection: the request has none, or it
    /// was buffered before the first attempt.
    pub fn is_consumed(&self) -> bool {
        self.empty || self.lock().buffered.is_some()
    }

    /// Takes the unread body, to be read to its end after a refusal.
    pub fn take_rest(&self) -> Option<TimeoutBody> {
        self.lock().body.take()
    }

    /// Returns the reason why reading the body from the caller failed, if it did.
    pub fn failure(&self) -> Option<Reason> {
        self.lock().failure
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's body that is sent to a target; it fails when it exceeds its limit.
#[derive(Debug)]
pub struct Upload {
    body: Option<TimeoutBody>,
    buffered: Option<Bytes>,
    left: u64,
    started: bool,
    buffer: Arc<UploadBuffer>,
}

impl Upload {
    /// Creates the body of a request that has none.
    pub fn empty() -> Upload {
        let state = BufferState {
            body: None,
            buffered: None,
            failure: None,
        };
        let buffer = UploadBuffer {
            empty: true,
            state: Mutex::new(state),
        };
        Upload {
            body: None,
            buffered: None,
            left: 0,
            started: false,
            buffer: Arc::new(buffer),
        }
    }

    fn fail(&mut self, error: BodyError) -> BodyError {
        self.buffer.lock().failure = Some(reason_of(&error));
        error
    }
}

/// Returns the reason for which a request with a failed body is refused.
fn reason_of(error: &BodyError) -> Reason {
    match error {
        BodyError::TooLarge => Reason::BodyTooLarge,
        BodyError::IdleTimeout => Reason::Timeout,
        BodyError::Aborted(reason) => *reason,
        BodyError::Connection(_) => Reason::BadRequest,
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if let Some(buffered) = this.buffered.take() {
            let part = (!buffered.is_empty()).then(|| Ok(Frame::data(buffered)));
            return Poll::Ready(part);
        }
        let Some(body) = this.body.as_mut() else {
            return Poll::Ready(None);
        };
        let part = match body.poll_data(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(part) => part,
        };
        this.started = true;
        Poll::Ready(match part {
            None => None,
            Some(Err(e)) => Some(Err(this.fail(e))),
            Some(Ok(data)) if data.len() as u64 > this.left => {
                Some(Err(this.fail(BodyError::TooLarge)))
            }
            Some(Ok(data)) => {
                this.left -= data.len() as u64;
                Some(Ok(Frame::data(data)))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_none() && self.body.as_ref().is_none_or(TimeoutBody::is_done)
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.buffered, &self.body) {
            (Some(buffered), _) => SizeHint::with_exact(buffered.len() as u64),
            (None, Some(body)) => body.size(),
            (None, None) => SizeHint::with_exact(0),
        }
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        if !self.started && self.body.is_some() {
            self.buffer.lock().body = self.body.take();
        }
    }
}
