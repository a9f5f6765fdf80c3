//! A large body of which most is held back until its request has a slot beside the upstream.
//!
//! Failure: a body follows its request at once, or little by little. Symptom: all of it is carried
//! between availability zones to each host that refuses the request; or, where the window is small
//! against that, each further part waits for a trip, and on a busy machine a large upload misses
//! its deadline with little done. Held back until there is a slot and sent at once after that, a
//! body is carried once and takes a few trips.

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

/// Bytes that are sent at once: the node beside the upstream tells by them whose body it is.
pub const AHEAD: usize = MAX_BODY_BYTES;

/// Whether the rest of a body may be sent.
#[derive(Default)]
pub struct Gate {
    open: AtomicBool,
    waker: AtomicWaker,
}

impl Gate {
    /// Lets the rest be sent.
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

/// A body that waits at its gate once [`AHEAD`] of it was sent.
pub struct Deferred {
    body: Replay,
    sent: usize,
    gate: Arc<Gate>,
}

impl Deferred {
    /// Holds back all but the beginning until the gate opens.
    pub const fn new(body: Replay, gate: Arc<Gate>) -> Self {
        Self {
            body,
            sent: 0,
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
        if self.sent >= AHEAD && self.gate.poll_open(cx).is_pending() {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.sent += frame.data_ref().map_or(0, Bytes::len);
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

/// Asks the node beside the upstream to tell when the request has a slot, and opens the gate then.
///
/// Whatever goes wrong with the question opens it too: the request itself tells what went wrong
/// with it, and a gate that stays closed would hold it up to its deadline. Never returns, so that
/// the answer to the request ends the wait.
pub async fn open_with_slot(
    entry: &Entry,
    address: SocketAddr,
    number: &str,
    until: Instant,
    gate: &Gate,
) -> Infallible {
    if let Some(question) = link::slot_question(number) {
        let told = entry.links.send(address, question, until).await;
        if let Err(error) = told {
            log::debug!(request = number, error:% = error; "not told of a slot");
        }
    }
    gate.open();
    pending().await
}
