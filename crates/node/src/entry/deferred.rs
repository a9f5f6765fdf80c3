//! A large body that is mostly withheld until its request has a slot at the upstream.
//!
//! Failure: a body is sent immediately after its request, or in small parts. Symptom: the whole
//! body crosses availability zones to every host that refuses the request; or, if the flow-control
//! window is made small to prevent that, each part waits for a round trip, and on a busy machine a
//! large upload misses its deadline with little transferred. Because the body is withheld until
//! there is a slot and then sent at once, it is transferred only once and takes few round trips.

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use mintridge_core::fingerprint::MAX_BODY_BYTES;

use super::Entry;
use crate::link;
use crate::replay::Replay;

/// Bytes sent before the gate opens: the node beside the upstream needs them for the request's
/// fingerprint.
pub const INITIAL_BYTES: usize = MAX_BODY_BYTES;

/// Whether the rest of a body may be sent.
#[derive(Default)]
pub struct Gate {
    open: AtomicBool,
    waker: AtomicWaker,
}

impl Gate {
    /// Allows the rest of the body to be sent.
    pub fn open(&self) {
        self.open.store(true, Ordering::Release);
        self.waker.wake();
    }

    fn poll_open(&self, cx: &Context<'_>) -> Poll<()> {
        self.waker.register(cx.waker());
        if self.open.load(Ordering::Acquire) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }
}

/// A body that waits for its gate after the first [`INITIAL_BYTES`] bytes.
pub struct Deferred {
    body: Replay,
    sent_bytes: usize,
    gate: Arc<Gate>,
}

impl Deferred {
    /// Withholds all but the first [`INITIAL_BYTES`] bytes of `body` until the gate opens.
    pub const fn new(body: Replay, gate: Arc<Gate>) -> Self {
        Self {
            body,
            sent_bytes: 0,
            gate,
        }
    }
}

impl HttpBody for Deferred {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.sent_bytes >= INITIAL_BYTES && self.gate.poll_open(cx).is_pending() {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.sent_bytes += frame.data_ref().map_or(0, Bytes::len);
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

/// Opens the gate when the node beside the upstream responds that the request has a slot or was
/// refused.
///
/// An error while waiting for that response opens the gate too: the response to the request itself
/// shows whether the request failed, and a gate that stays closed would block the request until its
/// deadline. Never returns, so that only the response to the request ends the attempt.
pub async fn open_with_slot(
    entry: &Entry,
    address: SocketAddr,
    request_id: &str,
    until: Instant,
    gate: &Gate,
) -> Infallible {
    if let Some(slot_request) = link::slot_request(request_id) {
        let reply = entry.links.send(address, slot_request, until).await;
        if let Err(error) = reply {
            log::debug!(
                request = request_id,
                error:% = error;
                "no notification of a slot; sending the rest of the body"
            );
        }
    }
    gate.open();
    pending().await
}
