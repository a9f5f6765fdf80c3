//! A caller's request body, and what becomes of it when its handler lets go of it.

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

/// Most bytes of a body that are read for nothing, so that the connection lives on: less than a
/// second of a link of 10 Mbit/s.
const DISCARDED_MOST: u64 = 1024 * 1024;
/// How long a caller may pause within a body that is read for nothing.
const DISCARD_IDLE: Duration = Duration::from_secs(5);

/// A request body that tells what its handler left of it.
struct Tracked {
    body: Option<Incoming>,
    /// The caller sends it only once it is asked to, which a first read does.
    unasked: bool,
    left: Option<oneshot::Sender<Incoming>>,
    ends_connection: Arc<AtomicBool>,
}

/// What is left of a request's body.
///
/// Failure: a handler answers before it has read the body. Symptom: nobody reads the rest, so
/// the next request behind it cannot be found, and one that its caller sends on this connection
/// is lost. A short rest is read for nothing; before a longer one the answer says that the
/// connection ends.
pub struct Rest {
    left: oneshot::Receiver<Incoming>,
    ends_connection: Arc<AtomicBool>,
}

/// Gives the request a body that tells what is left of it.
pub fn track(request: Request<Incoming>) -> (Request<Body>, Rest) {
    let (sender, left) = oneshot::channel();
    let ends_connection = Arc::new(AtomicBool::new(false));
    let rest = Rest {
        left,
        ends_connection: Arc::clone(&ends_connection),
    };
    let unasked = waits_to_be_asked(request.headers());
    let request = request.map(|body| {
        if body.is_end_stream() {
            return reply::empty();
        }
        reply::from_incoming(Tracked {
            body: Some(body),
            unasked,
            left: Some(sender),
            ends_connection,
        })
    });
    (request, rest)
}

fn waits_to_be_asked(headers: &HeaderMap) -> bool {
    let expected = headers.get(EXPECT);
    expected.is_some_and(|expected| expected.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

impl Rest {
    /// Whether the connection must end with the answer to this request; true at once when the
    /// handler lets go of the body.
    pub fn ends_connection(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ends_connection)
    }

    /// Waits until the handler has let go of the body and the connection may go on behind it.
    ///
    /// A caller that was answered without a word of an end counts on the connection, so that the
    /// rest is read then, however long it is.
    pub async fn discard(self, is_answered: impl Fn() -> bool) {
        let Ok(mut body) = self.left.await else {
            return;
        };
        if self.ends_connection.load(Ordering::Acquire) && !is_answered() {
            return pending().await;
        }
        while let Ok(Some(Ok(_))) = tokio::time::timeout(DISCARD_IDLE, body.frame()).await {}
    }
}

impl Tracked {
    /// Whether a caller can be told that its connection lives on.
    fn is_short(&self, body: &Incoming) -> bool {
        let most = body.size_hint().upper();
        !self.unasked && most.is_some_and(|most| most <= DISCARDED_MOST)
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else {
            return;
        };
        if !self.is_short(&body) {
            self.ends_connection.store(true, Ordering::Release);
        }
        // Reading on would ask for a body that nobody wants any more.
        if !self.unasked
            && let Some(left) = self.left.take()
        {
            let _ = left.send(body);
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
        self.unasked = false;
        if ended {
            self.body = None;
            self.left = None;
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
