//! Answer bodies on their way back: passed on frame by frame, never held whole.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use mintridge_http::Body;
use tokio::time::Sleep;

/// Why a body was broken off by this node.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// No frame came for the time allowed.
    #[error("the body did not move in time")]
    Idle,
}

/// A body with something that lives as long as it is being read.
pub struct Held<T> {
    body: Body,
    kept: Option<T>,
    idle: Duration,
    idle_until: Pin<Box<Sleep>>,
}

impl<T> Held<T> {
    /// Holds `kept` until the body ends, breaks, or its reader goes away.
    ///
    /// Failure: the sender of a body falls silent. Symptom: its reader waits for good
    /// and a slot stays taken. After `idle` without a frame the body breaks off, which
    /// hyper shows to the reader as a broken message, never as a short whole one.
    #[must_use]
    pub fn new(body: Body, kept: T, idle: Duration) -> Self {
        Self {
            body,
            kept: Some(kept),
            idle,
            idle_until: Box::pin(tokio::time::sleep(idle)),
        }
    }

    fn moved(&mut self) {
        let until = Instant::now() + self.idle;
        self.idle_until.as_mut().reset(until.into());
    }
}

impl<T: Unpin> HttpBody for Held<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(_))) => self.moved(),
            Poll::Ready(None | Some(Err(_))) => self.kept = None,
            Poll::Pending => {
                if self.idle_until.as_mut().poll(cx).is_ready() {
                    self.kept = None;
                    return Poll::Ready(Some(Err(io::Error::other(Broken::Idle))));
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
