//! A request body that can be sent a second time while little of it was taken.
//!
//! The node beside the upstream takes at most its window of a body before it hands the
//! request over, so whenever it refuses, what was taken is still held here.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use mintridge_http::Body;
use parking_lot::Mutex;

/// The caller's body and what was taken of it so far.
#[derive(Clone)]
pub struct Source {
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    body: Body,
    taken: Vec<Bytes>,
    taken_bytes: usize,
    most: usize,
    overflown: bool,
    ended: bool,
}

/// The body as one attempt sends it.
pub struct Replay {
    source: Source,
    sent: usize,
}

impl Source {
    /// Holds at most `most` bytes for a second attempt.
    #[must_use]
    pub fn new(body: Body, most: usize) -> Self {
        let ended = body.is_end_stream();
        Self {
            shared: Arc::new(Mutex::new(Shared {
                body,
                taken: Vec::new(),
                taken_bytes: 0,
                most,
                overflown: false,
                ended,
            })),
        }
    }

    /// The body from its beginning; `None` if too much of it was taken to send it again.
    #[must_use]
    pub fn replay(&self) -> Option<Replay> {
        if self.shared.lock().overflown {
            return None;
        }
        Some(Replay {
            source: self.clone(),
            sent: 0,
        })
    }
}

impl HttpBody for Replay {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let source = self.source.clone();
        let mut shared = source.shared.lock();
        if let Some(data) = shared.taken.get(self.sent) {
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
                    shared.keep(data);
                    self.sent = shared.taken.len();
                }
            }
            Poll::Ready(None) => shared.ended = true,
            Poll::Ready(Some(Err(_))) => shared.overflown = true,
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let shared = self.source.shared.lock();
        self.sent == shared.taken.len() && shared.ended
    }

    fn size_hint(&self) -> SizeHint {
        let shared = self.source.shared.lock();
        if self.sent == 0 && shared.taken.is_empty() {
            return shared.body.size_hint();
        }
        SizeHint::default()
    }
}

impl Shared {
    /// Keeps what was taken until it is too much; from then on nothing is kept, and the
    /// attempt that took it is the last.
    fn keep(&mut self, data: &Bytes) {
        if self.overflown {
            return;
        }
        self.taken_bytes += data.len();
        if self.taken_bytes > self.most {
            self.overflown = true;
            self.taken = Vec::new();
            return;
        }
        self.taken.push(data.clone());
    }
}
