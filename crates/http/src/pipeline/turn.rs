//! When the reading side of a connection may write: in between two responses of the writing side.
//!
//! Failure: a caller sends its next request while the body of a response is still arriving. Symptom:
//! `100 Continue` or a rejection for that request lands within the body, which then looks whole. What
//! the reading side has to say about a request therefore waits until all responses before it are
//! written.

use std::task::{Context, Poll, Waker};

use parking_lot::Mutex;

/// What the writing side is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Activity {
    /// All requests that it knows of are answered.
    #[default]
    Idle,
    /// It awaits a response.
    Awaiting,
    /// It writes a response.
    Responding,
}

/// Progress of the responses on one connection.
#[derive(Debug, Default)]
pub(super) struct Turns(Mutex<Progress>);

#[derive(Debug, Default)]
struct Progress {
    /// Number of requests that were read.
    read: usize,
    /// Number of those whose earlier responses are all written.
    begun: usize,
    activity: Activity,
    /// Whether the writing side has bytes that it has not passed to the socket.
    has_unwritten: bool,
    /// Wakes the reading side.
    waker: Option<Waker>,
}

impl Turns {
    /// Records that a request was read. Returns whether its turn has come: no response is due before
    /// its own.
    pub(super) fn record_read(&self) -> bool {
        let mut progress = self.0.lock();
        let is_next = progress.begun == progress.read && progress.activity == Activity::Idle;
        progress.read += 1;
        is_next
    }

    /// Records that the writing side turns to the next request.
    pub(super) fn record_begun(&self) {
        self.update(|progress| {
            progress.begun += 1;
            progress.activity = Activity::Awaiting;
        });
    }

    /// Records that the writing side has a response to write.
    pub(super) fn record_response(&self) {
        self.update(|progress| progress.activity = Activity::Responding);
    }

    /// Records that the writing side has written all responses and awaits the next request.
    pub(super) fn record_idle(&self) {
        self.update(|progress| progress.activity = Activity::Idle);
    }

    /// Records whether the writing side has bytes that it has not passed to the socket.
    pub(super) fn set_has_unwritten(&self, has_unwritten: bool) {
        self.update(|progress| progress.has_unwritten = has_unwritten);
    }

    /// Waits until an interim response to the last request read may be written. Returns false once the
    /// response to that request has begun, which makes it obsolete.
    pub(super) fn poll_interim(&self, cx: &Context<'_>) -> Poll<bool> {
        self.poll(cx, |progress| {
            if progress.begun < progress.read {
                return None;
            }
            match progress.activity {
                Activity::Awaiting => (!progress.has_unwritten).then_some(true),
                Activity::Idle | Activity::Responding => Some(false),
            }
        })
    }

    /// Waits until all responses are written, so that a request that was not read may be rejected.
    pub(super) fn poll_rejection(&self, cx: &Context<'_>) -> Poll<bool> {
        self.poll(cx, |progress| {
            let is_idle = progress.activity == Activity::Idle && progress.begun == progress.read;
            (is_idle && !progress.has_unwritten).then_some(true)
        })
    }

    fn poll(&self, cx: &Context<'_>, decide: impl FnOnce(&Progress) -> Option<bool>) -> Poll<bool> {
        let mut progress = self.0.lock();
        if let Some(decision) = decide(&progress) {
            return Poll::Ready(decision);
        }
        progress.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn update(&self, change: impl FnOnce(&mut Progress)) {
        let mut progress = self.0.lock();
        change(&mut progress);
        let waker = progress.waker.take();
        drop(progress);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}
