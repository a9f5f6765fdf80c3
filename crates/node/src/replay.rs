//! A request body that can be sent again as long as only a little of it has been read.
//!
//! The node beside the upstream reads only a little of a body before it sends the request to the
//! upstream. When it refuses a request, the part that was read is therefore still buffered here.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use mintridge_http::Body;
use parking_lot::Mutex;

/// Error that ends the body of an attempt that was superseded.
#[derive(Debug, thiserror::Error)]
#[error("superseded by a later attempt")]
struct Superseded;

/// The caller's body and a buffer of the part that was read.
///
/// Dropping it fails the bodies of superseded attempts.
pub struct Source {
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    body: Body,
    /// Data frames to send again.
    buffered: Vec<Bytes>,
    /// Bytes read from the body, counted until the limit is exceeded.
    read_bytes: usize,
    max_bytes: usize,
    /// Whether the body cannot be sent again: too much of it was read, or reading it failed.
    unreplayable: bool,
    /// Whether the body has been read to its end.
    ended: bool,
    /// Number of the latest attempt.
    attempt: u32,
    /// Whether the request has ended.
    request_ended: bool,
    /// Superseded attempts that wait for the end of the request.
    stalled: Vec<Waker>,
}

/// The body as one attempt sends it.
///
/// Only the latest attempt reads from the caller's body. An earlier one stalls instead of failing,
/// because its upstream may already have responded, and that response may still go to the caller.
pub struct Replay {
    shared: Arc<Mutex<Shared>>,
    attempt: u32,
    sent: usize,
}

impl Source {
    /// Buffers at most `max_bytes` for a further attempt.
    #[must_use]
    pub fn new(body: Body, max_bytes: usize) -> Self {
        let ended = body.is_end_stream();
        Self {
            shared: Arc::new(Mutex::new(Shared {
                body,
                buffered: Vec::new(),
                read_bytes: 0,
                max_bytes,
                unreplayable: false,
                ended,
                attempt: 0,
                request_ended: false,
                stalled: Vec::new(),
            })),
        }
    }

    /// Returns whether the body may be longer than `bytes`.
    #[must_use]
    pub fn may_exceed(&self, bytes: usize) -> bool {
        let shared = self.shared.lock();
        let remaining = shared.body.size_hint().upper();
        let read = shared.read_bytes;
        let remaining = remaining.and_then(|remaining| usize::try_from(remaining).ok());
        remaining.is_none_or(|remaining| read.saturating_add(remaining) > bytes)
    }

    /// Starts a new attempt with the body from its beginning; `None` if too much of it was read to
    /// send it again, or reading it failed.
    #[must_use]
    pub fn replay(&self) -> Option<Replay> {
        let mut shared = self.shared.lock();
        if shared.unreplayable {
            return None;
        }
        shared.attempt += 1;
        Some(Replay {
            shared: Arc::clone(&self.shared),
            attempt: shared.attempt,
            sent: 0,
        })
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        let mut shared = self.shared.lock();
        shared.request_ended = true;
        shared.stalled.drain(..).for_each(Waker::wake);
    }
}

impl HttpBody for Replay {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let shared = Arc::clone(&self.shared);
        let mut shared = shared.lock();
        if self.attempt != shared.attempt {
            return shared.stall(cx);
        }
        if let Some(data) = shared.buffered.get(self.sent) {
            let data = data.clone();
            self.sent += 1;
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if shared.ended {
            return Poll::Ready(None);
        }
        let polled = Pin::new(&mut shared.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    shared.buffer(data);
                    self.sent = shared.buffered.len();
                }
            }
            Poll::Ready(None) => shared.ended = true,
            Poll::Ready(Some(Err(_))) => shared.unreplayable = true,
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let shared = self.shared.lock();
        self.attempt == shared.attempt && self.sent == shared.buffered.len() && shared.ended
    }

    fn size_hint(&self) -> SizeHint {
        let shared = self.shared.lock();
        if self.sent == 0 && shared.buffered.is_empty() {
            return shared.body.size_hint();
        }
        SizeHint::default()
    }
}

impl Shared {
    /// Leaves a superseded attempt pending until the request ends, then fails it.
    fn stall<T>(&mut self, cx: &Context<'_>) -> Poll<Option<Result<T, io::Error>>> {
        if self.request_ended {
            return Poll::Ready(Some(Err(io::Error::other(Superseded))));
        }
        if !self.stalled.iter().any(|waker| waker.will_wake(cx.waker())) {
            self.stalled.push(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Buffers data up to the limit. Beyond it the buffer is discarded, and the current attempt is
    /// the last one.
    fn buffer(&mut self, data: &Bytes) {
        if self.unreplayable {
            return;
        }
        self.read_bytes += data.len();
        if self.read_bytes > self.max_bytes {
            self.unreplayable = true;
            self.buffered = Vec::new();
            return;
        }
        self.buffered.push(data.clone());
    }
}
