//! Response bodies sent from the ingress to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::http::body::BodyError;
use crate::ids::{RequestId, RouteName};
use crate::node::active_requests::ActiveRequest;
use crate::node::in_flight::{Hop, InFlightGuard};
use crate::outcome::Reason;

/// The response body of a target; it fails when the key of its request is withdrawn, unless the
/// response is bounded, or when the caller's wait ends.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    request: RequestId,
    watch: Option<KeyWatch>,
    /// Completes when the caller no longer waits.
    end: Option<Pin<Box<Sleep>>>,
    in_flight: InFlightGuard,
}

#[derive(Debug)]
struct KeyWatch {
    _active: ActiveRequest,
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl ResponseBody {
    /// Wraps the response to `request` of `route`; `active` is `None` on open routes and for bounded
    /// responses, and `end` is when the caller's wait ends, if that is known.
    pub fn new(
        body: Incoming,
        request: RequestId,
        route: &RouteName,
        active: Option<ActiveRequest>,
        end: Option<Instant>,
        mut in_flight: InFlightGuard,
    ) -> ResponseBody {
        let end = end.filter(|_| !body.is_end_stream());
        let active = active.filter(|_| !body.is_end_stream());
        in_flight.begin_response(Hop::Ingress, request, route.as_str());
        if body.is_end_stream() {
            in_flight.complete();
        }
        let watch = active.map(|active| KeyWatch {
            cancelled: Box::pin(active.token().clone().cancelled_owned()),
            _active: active,
        });
        ResponseBody {
            body,
            request,
            watch,
            end: end.map(|end| Box::pin(sleep_until(end))),
            in_flight,
        }
    }

    fn log_failure(&self, error: BodyError) -> BodyError {
        let request = self.request;
        log::warn!(
            event = "response-truncated", request:% = request, error:% = error;
            "response truncated"
        );
        error
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if let Some(watch) = this.watch.as_mut()
            && watch.cancelled.as_mut().poll(cx).is_ready()
        {
            let error = BodyError::Aborted(Reason::UnknownKey);
            return Poll::Ready(Some(Err(this.log_failure(error))));
        }
        if let Some(end) = this.end.as_mut()
            && end.as_mut().poll(cx).is_ready()
        {
            let error = BodyError::Aborted(Reason::Timeout);
            return Poll::Ready(Some(Err(this.log_failure(error))));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
                return Poll::Pending;
            };
            match frame {
                None => {
                    this.in_flight.complete();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    let error = BodyError::Connection(e);
                    return Poll::Ready(Some(Err(this.log_failure(error))));
                }
                Some(Ok(frame)) if frame.is_data() => {
                    if this.body.is_end_stream() {
                        this.in_flight.complete();
                    }
                    return Poll::Ready(Some(Ok(frame)));
                }
                Some(Ok(_)) => {}
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
