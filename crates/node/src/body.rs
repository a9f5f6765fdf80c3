//! Response bodies on their way to the caller: forwarded frame by frame, never buffered whole.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use mintridge_core::late_body::{self, Allowance, Excess};
use mintridge_http::Body;
use tokio::time::Sleep;

use crate::configs::callers::Settings;

/// Reason for which this node aborted a body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum Error {
    /// No frame arrived within the idle timeout.
    #[error("no part of the body arrived within the idle timeout")]
    IdleTimeout,
    /// The body goes on for too long after the deadline of its request.
    #[error(transparent)]
    Late(#[from] Excess),
}

/// Limits of a body that is passed on.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time without a frame.
    pub idle_timeout: Duration,
    /// What the body is allowed after the deadline of its request.
    pub late: Allowance,
}

impl Limits {
    /// Returns the limits of a response with these headers. After the deadline of its request it may
    /// be waited for in all for `late_wait`.
    #[must_use]
    pub fn new(
        settings: &Settings,
        deadline: Instant,
        late_wait: Duration,
        headers: &HeaderMap,
    ) -> Self {
        let late = late_body::Limits {
            wait: late_wait,
            bytes: settings.late_body_most,
        };
        Self {
            idle_timeout: settings.body_idle,
            late: Allowance::new(deadline, headers.contains_key(CONTENT_LENGTH), late),
        }
    }
}

/// A body that owns a guard value for as long as it is being read.
pub struct Guarded<T> {
    body: Body,
    guard: Option<T>,
    limits: Limits,
    /// Since when the next frame has been awaited by a reader that would take it.
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    on_abort: fn(&T, Error),
}

impl<T> Guarded<T> {
    /// Creates a body that drops `guard` when it ends, fails, or is dropped by its reader. If the body
    /// is aborted because it exceeds its limits, `on_abort` is called first.
    ///
    /// Failure: the sender of a body stops sending without closing the connection, or sends without
    /// end. Symptom: the reader waits forever and a slot stays occupied. The body fails beyond its
    /// limits; hyper then aborts the message, so the reader cannot mistake it for a complete one.
    #[must_use]
    pub fn new(body: Body, guard: T, limits: Limits, on_abort: fn(&T, Error)) -> Self {
        Self {
            body,
            guard: Some(guard),
            timer: Box::pin(tokio::time::sleep(limits.idle_timeout)),
            limits,
            waiting_since: None,
            on_abort,
        }
    }

    fn abort(&mut self, error: Error) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(guard) = self.guard.take() {
            (self.on_abort)(&guard, error);
        }
        Poll::Ready(Some(Err(io::Error::other(error))))
    }

    /// Waits for the next frame; returns the reason to abort the body if it takes too long.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Error> {
        if self.waiting_since.is_none() {
            let now = Instant::now();
            self.waiting_since = Some(now);
            let idle_at = now + self.limits.idle_timeout;
            let until = idle_at.min(self.limits.late.wait_until(now));
            self.timer.as_mut().reset(until.into());
        }
        ready!(self.timer.as_mut().poll(cx));
        let is_idle = self
            .waiting_since
            .is_some_and(|since| since.elapsed() >= self.limits.idle_timeout);
        Poll::Ready(if is_idle {
            Error::IdleTimeout
        } else {
            Error::Late(Excess::Wait)
        })
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
            Poll::Ready(Some(Ok(frame))) => {
                let since = self.waiting_since.take();
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                if let Err(excess) = self.limits.late.record(Instant::now(), since, bytes) {
                    return self.abort(Error::Late(excess));
                }
            }
            Poll::Ready(None | Some(Err(_))) => self.guard = None,
            Poll::Pending => {
                let error = ready!(self.poll_timeout(cx));
                return self.abort(error);
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
