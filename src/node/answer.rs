//! Answers on their way to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::http::body::BodyError;
use crate::ids::RequestId;
use crate::node::flight::Ticket;
use crate::node::sessions::Session;
use crate::outcome::Reason;

/// An answer of a target; it fails when the caller's key is withdrawn.
#[derive(Debug)]
pub struct Download {
    body: Incoming,
    request: RequestId,
    watch: Option<Watch>,
    _ticket: Ticket,
}

#[derive(Debug)]
struct Watch {
    _session: Session,
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Download {
    /// Wraps the answer to `request`; `session` is none on open routes.
    pub fn new(
        body: Incoming,
        request: RequestId,
        session: Option<Session>,
        ticket: Ticket,
    ) -> Download {
        let session = session.filter(|_| !body.is_end_stream());
        let watch = session.map(|session| Watch {
            cancelled: Box::pin(session.token().clone().cancelled_owned()),
            _session: session,
        });
        Download {
            body,
            request,
            watch,
            _ticket: ticket,
        }
    }

    fn cut(&self, error: BodyError) -> BodyError {
        let request = self.request;
        log::warn!(event = "answer-cut", request:% = request, error:% = error; "answer cut");
        error
    }
}

impl Body for Download {
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
            let error = BodyError::Stopped(Reason::UnknownKey);
            return Poll::Ready(Some(Err(this.cut(error))));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
                return Poll::Pending;
            };
            match frame {
                None => return Poll::Ready(None),
                Some(Err(e)) => {
                    let error = BodyError::Connection(e);
                    return Poll::Ready(Some(Err(this.cut(error))));
                }
                Some(Ok(frame)) if frame.is_data() => return Poll::Ready(Some(Ok(frame))),
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
