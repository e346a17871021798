//! Response bodies of targets, sent from the egress to an ingress.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::http::body::{BodyError, TimeoutBody};
use crate::ids::RequestId;
use crate::node::calls::RunGuard;
use crate::node::in_flight::{Hop, InFlightGuard};
use crate::node::local::LocalTarget;
use crate::node::meter::MeasuredAttempt;
use crate::node::pool::Sender;
use crate::node::slots::SlotGuard;
use crate::route::AttemptResult;

/// The resources of an attempt, held until its response has been read.
#[derive(Debug)]
pub struct AttemptResources {
    /// The target.
    pub target: Arc<LocalTarget>,
    /// The connection, returned to the pool once the response has been read completely.
    pub sender: Sender,
    /// The measurement of the attempt.
    pub measured: MeasuredAttempt,
    /// The slot in use.
    pub slot: SlotGuard,
    /// The run, which may make calls.
    pub run: RunGuard,
}

/// How the attempt ends whose response is read.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The result of the attempt once the body is complete.
    pub result: AttemptResult,
    /// Maximum size of the body in bytes.
    pub bytes_max: u64,
}

/// A target's response body; its slot and connection are released once it has been read completely.
#[derive(Debug)]
pub struct TargetBody {
    body: TimeoutBody,
    end: AttemptEnd,
    /// Number of bytes that may still follow.
    bytes_left: u64,
    /// The result of reading ahead: a chunk, a failure or the end.
    ahead: Option<Option<Result<Bytes, BodyError>>>,
    resources: Option<AttemptResources>,
    in_flight: InFlightGuard,
}

impl TargetBody {
    /// Creates the body of the response to an attempt at a request of this kind.
    pub fn new(
        body: TimeoutBody,
        end: AttemptEnd,
        kind: &str,
        resources: AttemptResources,
        mut in_flight: InFlightGuard,
    ) -> TargetBody {
        in_flight.begin_response(Hop::Egress, end.request, kind);
        let mut this = TargetBody {
            body,
            end,
            bytes_left: end.bytes_max,
            ahead: None,
            resources: Some(resources),
            in_flight,
        };
        this.read_ahead();
        this
    }

    /// Reads a chunk that has arrived with the head, so that the slot of a short response is
    /// released without waiting for the link.
    fn read_ahead(&mut self) {
        self.release_if_done();
        if self.resources.is_none() {
            return;
        }
        // The next poll registers the real waker.
        let mut cx = Context::from_waker(Waker::noop());
        if let Poll::Ready(part) = self.poll_body(&mut cx) {
            self.ahead = Some(part);
        }
    }

    /// Returns true if the body failed before any part of it was passed on.
    pub fn has_failed(&self) -> bool {
        matches!(self.ahead, Some(Some(Err(_))))
    }

    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let Poll::Ready(part) = self.body.poll_data(cx) else {
            return Poll::Pending;
        };
        let part = part.map(|data| self.check_size(data?));
        match &part {
            None => self.release(),
            Some(Ok(_)) => self.release_if_done(),
            Some(Err(e)) => self.fail(e),
        }
        Poll::Ready(part)
    }

    /// Fails if the body with `data`, or the size that it states, is above the limit.
    fn check_size(&mut self, data: Bytes) -> Result<Bytes, BodyError> {
        let size = data.len() as u64;
        if size.saturating_add(self.body.size().lower()) > self.bytes_left {
            return Err(BodyError::TooLarge);
        }
        self.bytes_left -= size;
        Ok(data)
    }

    fn release_if_done(&mut self) {
        if self.body.is_done() {
            self.release();
        }
    }

    fn release(&mut self) {
        self.in_flight.complete();
        if let Some(mut resources) = self.resources.take() {
            resources.measured.set(self.end.result);
            resources.target.pool.put(resources.sender);
        }
    }

    fn fail(&mut self, error: &BodyError) {
        let request = self.end.request;
        log::warn!(
            event = "response-truncated", request:% = request, error:% = error;
            "response truncated"
        );
        if let Some(mut resources) = self.resources.take() {
            resources.measured.set(AttemptResult::Cut);
        }
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let part = match self.ahead.take() {
            Some(part) => Poll::Ready(part),
            None => self.poll_body(cx),
        };
        part.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        self.ahead.is_none() && self.body.is_done()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.ahead {
            Some(_) => SizeHint::default(),
            None => self.body.size(),
        }
    }
}
