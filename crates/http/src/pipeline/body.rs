//! Request bodies that return their unread remainder when the handler drops them.

use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::EXPECT;
use hyper::{HeaderMap, Request};
use tokio::sync::oneshot;

use crate::{Body, reply};

/// Maximum size of a body that is read and discarded to keep the connection open. It takes less
/// than a second on a 10 Mbit/s link.
const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;
/// Maximum pause of the caller within a body that is discarded.
const DISCARD_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request body that hands over its unread remainder when it is dropped.
struct Tracked {
    body: Option<Incoming>,
    /// Whether the caller waits for `100 Continue`, which hyper sends on the first read.
    awaits_continue: bool,
    remainder_sender: Option<oneshot::Sender<Incoming>>,
    ends_connection: Arc<AtomicBool>,
}

/// The unread remainder of a request body.
///
/// Failure: a handler responds before it has read the body. Symptom: the remainder stays unread,
/// so the start of the next request is not found, and a request that the caller sends on this
/// connection is lost. A short remainder is read and discarded; with a longer one the response
/// carries `connection: close`.
pub struct Remainder {
    receiver: oneshot::Receiver<Incoming>,
    ends_connection: Arc<AtomicBool>,
}

/// Replaces the body of the request by one that hands its unread remainder to the [`Remainder`].
pub fn track(request: Request<Incoming>) -> (Request<Body>, Remainder) {
    let (sender, receiver) = oneshot::channel();
    let ends_connection = Arc::new(AtomicBool::new(false));
    let remainder = Remainder {
        receiver,
        ends_connection: Arc::clone(&ends_connection),
    };
    let awaits_continue = expects_continue(request.headers());
    let request = request.map(|body| {
        if body.is_end_stream() {
            return reply::empty();
        }
        reply::from_incoming(Tracked {
            body: Some(body),
            awaits_continue,
            remainder_sender: Some(sender),
            ends_connection,
        })
    });
    (request, remainder)
}

fn expects_continue(headers: &HeaderMap) -> bool {
    let expected = headers.get(EXPECT);
    expected.is_some_and(|expected| expected.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

impl Remainder {
    /// Returns the flag that tells whether the connection must close after the response to this
    /// request. It is set as soon as the handler drops the body.
    pub fn ends_connection(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ends_connection)
    }

    /// Waits until the handler has dropped the body and discards the remainder; never returns if
    /// the connection must close instead.
    ///
    /// Once the response was sent without `connection: close`, the caller may reuse the connection,
    /// so the remainder is then discarded whatever its length.
    pub async fn discard(self, is_answered: impl Fn() -> bool) {
        let Ok(mut body) = self.receiver.await else {
            return;
        };
        if self.ends_connection.load(Ordering::Acquire) && !is_answered() {
            return pending().await;
        }
        while let Ok(Some(Ok(_))) = tokio::time::timeout(DISCARD_IDLE_TIMEOUT, body.frame()).await {
        }
    }
}

impl Tracked {
    /// Whether the remainder may be discarded to keep the connection open.
    fn is_discardable(&self, body: &Incoming) -> bool {
        let upper_bound = body.size_hint().upper();
        !self.awaits_continue
            && upper_bound.is_some_and(|upper_bound| upper_bound <= MAX_DISCARDED_BYTES)
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else {
            return;
        };
        if !self.is_discardable(&body) {
            self.ends_connection.store(true, Ordering::Release);
        }
        // Reading the body would make hyper send `100 Continue` for a body that isn't needed.
        if !self.awaits_continue
            && let Some(sender) = self.remainder_sender.take()
        {
            let _ = sender.send(body);
        }
    }
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
        let ended = matches!(frame, None | Some(Err(_))) || body.is_end_stream();
        self.awaits_continue = false;
        if ended {
            self.body = None;
            self.remainder_sender = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let ended = || SizeHint::with_exact(0);
        self.body.as_ref().map_or_else(ended, HttpBody::size_hint)
    }
}
