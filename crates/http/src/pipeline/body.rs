//! A caller's request body, and what becomes of it when its handler lets go of it.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::sync::oneshot;

use crate::{Body, reply};

/// A request body that tells when it has been read or dropped.
struct Tracked {
    body: Incoming,
    taken: Option<oneshot::Sender<()>>,
}

/// Gives the request a tracked body.
pub fn track(request: Request<Incoming>) -> (Request<Body>, oneshot::Receiver<()>) {
    let (taken, told) = oneshot::channel();
    let request = request.map(|body| {
        if body.is_end_stream() {
            return reply::empty();
        }
        reply::from_incoming(Tracked {
            body,
            taken: Some(taken),
        })
    });
    (request, told)
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.taken = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
