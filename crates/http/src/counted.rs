//! Counter of currently open items, such as connections.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::Body;

/// Guard that increments a counter when created and decrements it when dropped.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    /// Increments `open` until the guard is dropped.
    #[must_use]
    pub fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response body that counts as open until it has been passed on or its reader drops it.
pub struct CountedBody {
    body: Body,
    _guard: CountGuard,
}

impl CountedBody {
    /// Wraps a body with the guard that counts it.
    #[must_use]
    pub const fn new(body: Body, guard: CountGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl HttpBody for CountedBody {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
