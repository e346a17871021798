//! Protection against request smuggling, in front of the HTTP/1.1 server.
//!
//! If two programs disagree on where a request ends, a caller can make one of them treat its bytes
//! as another caller's request. The guard passes on only requests with unambiguous framing. It
//! replaces any other head with a request of its own with the method [`FAULT_METHOD`], so that the
//! refusal is sent in order after the responses to earlier requests. It also limits the time for
//! receiving a head and the time without progress in sending a response.

use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

use super::chunks::ChunkValidator;
use super::framing::{Framing, check_head, head_end};
use crate::outcome::Reason;

/// Method of the request that replaces an invalid one; its path is the reason of the refusal.
pub const FAULT_METHOD: &str = "LABURNUM-FAULT";

/// Number of bytes read from a connection at once.
const READ_BYTES: usize = 16 * 1024;

/// Limits on a caller's requests and on slow connections.
#[derive(Clone, Copy, Debug)]
pub struct GuardLimits {
    /// Maximum number of headers of a request.
    pub header_count: usize,
    /// Maximum size of a request line with its headers.
    pub header_bytes: usize,
    /// Time for a request line with its headers, from the first byte.
    pub header_time: Duration,
    /// Longest time without progress in sending a response.
    pub write_time: Duration,
}

/// A connection that delivers only requests with unambiguous framing.
#[derive(Debug)]
pub struct GuardedStream<T> {
    io: T,
    limits: GuardLimits,
    stage: Stage,
    /// Bytes that have been read but not checked.
    input: BytesMut,
    /// Bytes that have been checked but not passed on.
    output: BytesMut,
    head_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
}

#[derive(Debug)]
enum Stage {
    /// Receiving a head.
    Head,
    /// Passing on a body with this many bytes left.
    Length(u64),
    /// Passing on a chunked body.
    Chunked(ChunkValidator),
    /// A head has been replaced; no more input is read.
    Refused,
    /// A body is malformed; reading fails.
    Malformed,
}

impl<T> GuardedStream<T> {
    /// Wraps a connection.
    pub fn new(io: T, limits: GuardLimits) -> GuardedStream<T> {
        GuardedStream {
            io,
            limits,
            stage: Stage::Head,
            input: BytesMut::new(),
            output: BytesMut::new(),
            head_timer: None,
            write_timer: None,
        }
    }

    /// Returns the connection.
    pub fn into_inner(self) -> T {
        self.io
    }

    /// Checks the input and moves it to the output as far as it is complete.
    fn advance(&mut self) {
        while !self.input.is_empty() && self.step() {}
    }

    /// Moves one element of the input to the output; returns true if there may be more.
    fn step(&mut self) -> bool {
        match &mut self.stage {
            Stage::Head => self.step_head(),
            Stage::Length(left) => {
                let size = self
                    .input
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= size as u64;
                if *left == 0 {
                    self.stage = Stage::Head;
                }
                self.output.unsplit(self.input.split_to(size));
                true
            }
            Stage::Chunked(validator) => match validator.complete(&self.input) {
                Ok(size) => {
                    if validator.is_done() {
                        self.stage = Stage::Head;
                    }
                    self.output.unsplit(self.input.split_to(size));
                    size > 0
                }
                Err(_) => {
                    self.stage = Stage::Malformed;
                    false
                }
            },
            Stage::Refused | Stage::Malformed => {
                self.input.clear();
                false
            }
        }
    }

    fn step_head(&mut self) -> bool {
        // Empty lines before a request are allowed and ignored.
        while self.input.starts_with(b"\r\n") {
            self.input.advance(2);
        }
        let end = head_end(&self.input);
        if end.unwrap_or(self.input.len()) > self.limits.header_bytes {
            self.refuse(Reason::HeadersTooLarge);
            return false;
        }
        let Some(end) = end else {
            return false;
        };
        self.head_timer = None;
        match check_head(&self.input[..end], self.limits.header_count) {
            Err(reason) => {
                self.refuse(reason);
                return false;
            }
            Ok(Framing::Length(0)) => {}
            Ok(Framing::Length(length)) => self.stage = Stage::Length(length),
            Ok(Framing::Chunked) => self.stage = Stage::Chunked(ChunkValidator::default()),
        }
        self.output.unsplit(self.input.split_to(end));
        true
    }

    fn refuse(&mut self, reason: Reason) {
        let request = format!(
            "{FAULT_METHOD} /{reason} HTTP/1.1\r\nhost: fault\r\nconnection: close\r\n\r\n"
        );
        self.output.extend_from_slice(request.as_bytes());
        self.input.clear();
        self.head_timer = None;
        self.stage = Stage::Refused;
    }

    /// Refuses a head that isn't received in time.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) {
        if !matches!(self.stage, Stage::Head) || self.input.is_empty() {
            return;
        }
        let end = Instant::now() + self.limits.header_time;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        if timer.as_mut().poll(cx).is_ready() {
            self.refuse(Reason::BadRequest);
        }
    }

    /// Fails if a caller hasn't received any data for too long.
    fn poll_write_timeout<R>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let end = Instant::now() + self.limits.write_time;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller does not read the response",
        )))
    }
}

impl<T: AsyncRead + Unpin> GuardedStream<T> {
    /// Reads more bytes; returns false at the end of the stream.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        // A buffer on the stack, so that an idle connection doesn't allocate one.
        let mut stack = [const { MaybeUninit::uninit() }; READ_BYTES];
        let mut buf = ReadBuf::uninit(&mut stack);
        let polled = Pin::new(&mut self.io).poll_read(cx, &mut buf);
        self.input.extend_from_slice(buf.filled());
        let size = buf.filled().len();
        ready!(polled)?;
        Poll::Ready(Ok(size > 0))
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for GuardedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if !this.output.is_empty() {
                let size = this.output.len().min(buf.remaining());
                buf.put_slice(&this.output.split_to(size));
                return Poll::Ready(Ok(()));
            }
            match this.stage {
                // The server closes the connection after its refusal.
                Stage::Refused => return Poll::Pending,
                Stage::Malformed => {
                    let message = "the body is malformed";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
                }
                _ => {}
            }
            match this.poll_fill(cx) {
                Poll::Ready(Ok(true)) => this.advance(),
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => {
                    this.poll_head_timeout(cx);
                    if this.output.is_empty() {
                        return Poll::Pending;
                    }
                }
            }
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for GuardedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.poll_write_timeout(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.poll_write_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
