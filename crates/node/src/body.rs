//! Response bodies on their way to the caller: forwarded frame by frame, never buffered whole.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use mintridge_http::Body;
use tokio::time::Sleep;

/// Reason for which this node aborted a body.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No frame arrived within the idle timeout.
    #[error("no part of the body arrived within the idle timeout")]
    IdleTimeout,
}

/// A body that owns a guard value for as long as it is being read.
pub struct Guarded<T> {
    body: Body,
    guard: Option<T>,
    idle_timeout: Duration,
    idle_timer: Pin<Box<Sleep>>,
}

impl<T> Guarded<T> {
    /// Creates a body that drops `guard` when it ends, fails, or is dropped by its reader.
    ///
    /// Failure: the sender of a body stops sending without closing the connection. Symptom: the
    /// reader waits forever and a slot stays occupied. The body fails after `idle_timeout` without
    /// a frame; hyper then aborts the message, so the reader cannot mistake it for a complete one.
    #[must_use]
    pub fn new(body: Body, guard: T, idle_timeout: Duration) -> Self {
        Self {
            body,
            guard: Some(guard),
            idle_timeout,
            idle_timer: Box::pin(tokio::time::sleep(idle_timeout)),
        }
    }

    fn reset_idle_timer(&mut self) {
        let until = Instant::now() + self.idle_timeout;
        self.idle_timer.as_mut().reset(until.into());
    }
}

impl<T: Unpin> HttpBody for Guarded<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(_))) => self.reset_idle_timer(),
            Poll::Ready(None | Some(Err(_))) => self.guard = None,
            Poll::Pending => {
                if self.idle_timer.as_mut().poll(cx).is_ready() {
                    self.guard = None;
                    return Poll::Ready(Some(Err(io::Error::other(Error::IdleTimeout))));
                }
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
