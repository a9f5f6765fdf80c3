//! Requests in progress in the upstream, and whether the upstream ended under them.
//!
//! A broken connection alone says little: the network resets connections, and an upstream breaks
//! off single answers. If it takes no new connection either, its process has ended with all that
//! it had in progress. Silence proves nothing of a request, and neither does a planned stop.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::CONTENT_LENGTH;
use mintridge_core::fingerprint::{self, Fingerprint};
use mintridge_core::quarantine::Event;
use mintridge_core::request::Id;
use mintridge_http::Body;
use parking_lot::Mutex;

use super::Guard;
use crate::arrival;
use crate::headers::Head;
use crate::settings::Settings;
use crate::upstream::Reach;

/// Fingerprints in one line of the log; more requests than that are seldom in progress in one
/// upstream, and the line tells how many there were.
const FINGERPRINTS_TOLD: usize = 32;

/// How it is known that the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A connection broke, and no new one was accepted.
    Unreachable,
    /// It has started again.
    StartedAgain,
}

impl Evidence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "connection broken and no new one accepted",
            Self::StartedAgain => "started again",
        }
    }
}

/// Requests that the upstream works on; those of an end that was told are taken out, so that a
/// connection of theirs that is found broken later tells of no other end.
#[derive(Default)]
pub struct Runs {
    open: HashMap<Id, Digest>,
    /// A new connection is being tried, to find out whether the upstream has ended.
    checking: bool,
    /// An end was told, and the next start has not announced itself.
    awaits_start: bool,
}

/// What tells a request from others, while its body may still be passing.
#[derive(Clone)]
pub struct Digest {
    service: Arc<str>,
    head: u64,
    body: Arc<Mutex<fingerprint::Body>>,
}

impl Digest {
    /// Begins the fingerprint of a request; its body is digested as it passes.
    pub fn begin(
        settings: &Settings,
        head: &Head,
        request: Request<Body>,
    ) -> (Self, Request<Body>) {
        let head_digest = head_of(settings, head, &request);
        let (parts, body) = request.into_parts();
        let declared = if body.is_end_stream() {
            Some(0)
        } else {
            let length = parts.headers.get(CONTENT_LENGTH);
            length.and_then(|length| length.to_str().ok()?.parse().ok())
        };
        let digest = Self {
            service: Arc::clone(&head.service),
            head: head_digest,
            body: Arc::new(Mutex::new(fingerprint::Body::new(declared))),
        };
        let body = if declared == Some(0) {
            body
        } else {
            Body::new(Digested {
                body,
                digest: digest.clone(),
            })
        };
        (digest, Request::from_parts(parts, body))
    }

    /// As far as it can be told by now.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint {
            head: self.head,
            body: self.body.lock().digest(),
        }
    }
}

/// Digest of the head of a peer's request.
fn head_of(settings: &Settings, head: &Head, request: &Request<Body>) -> u64 {
    let uri = request.uri();
    let host = uri.authority().map_or("", |host| host.as_str());
    arrival::fingerprint(settings, head, request.method(), host, uri.path_and_query())
}

/// A body that is digested as it passes.
struct Digested {
    body: Body,
    digest: Digest,
}

impl HttpBody for Digested {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let mut body = self.digest.body.lock();
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    body.update(data);
                }
            }
            Poll::Ready(None) => body.finish(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        drop(body);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request that the upstream works on until this is dropped.
pub struct Run {
    guard: Arc<Guard>,
    id: Id,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.guard.state.lock().runs.open.remove(&self.id);
    }
}

impl Guard {
    /// The request that holds this slot is handed over.
    pub(super) fn run(self: &Arc<Self>, id: Id, digest: Digest) -> Run {
        self.state.lock().runs.open.insert(id, digest);
        Run {
            guard: Arc::clone(self),
            id,
        }
    }

    /// A connection with a request on it broke: finds out whether the upstream has ended.
    ///
    /// All connections break within a moment when it does, and each wakes a request of its own. The
    /// first of them finds all others still in progress, and one check tells for all.
    pub(super) fn broke(self: &Arc<Self>, run: &Run, address: SocketAddr) {
        let mut state = self.state.lock();
        let runs = &mut state.runs;
        if runs.checking || !runs.open.contains_key(&run.id) {
            return;
        }
        runs.checking = true;
        let in_progress = runs.open.clone();
        drop(state);
        let guard = Arc::clone(self);
        tokio::spawn(async move {
            let reach = guard.upstream.reach(address).await;
            let mut state = guard.state.lock();
            state.runs.checking = false;
            if reach != Reach::Refused || state.gate.is_leaving() {
                return;
            }
            state
                .runs
                .open
                .retain(|id, _| !in_progress.contains_key(id));
            state.runs.awaits_start = true;
            drop(state);
            guard.ended(&in_progress, Evidence::Unreachable);
        });
    }

    /// The upstream has started again: what was in progress at the end of the start before.
    ///
    /// Failure: an upstream serves before it announces its start. Symptom: what it got meanwhile
    /// counts as in progress at an end, and common requests are held back. If the end was told
    /// before, all that is open came after it.
    pub(super) fn ended_before_start(&self, state: &mut super::State) {
        if std::mem::take(&mut state.runs.awaits_start) {
            return;
        }
        let in_progress = std::mem::take(&mut state.runs.open);
        if !in_progress.is_empty() && !state.gate.is_leaving() {
            self.ended(&in_progress, Evidence::StartedAgain);
        }
    }

    /// The upstream ended, unplanned, with these requests in progress.
    fn ended(&self, in_progress: &HashMap<Id, Digest>, evidence: Evidence) {
        self.context.metrics.upstream_ended();
        let fingerprints: Vec<Fingerprint> =
            in_progress.values().map(Digest::fingerprint).collect();
        let told: Vec<String> = fingerprints
            .iter()
            .take(FINGERPRINTS_TOLD)
            .map(ToString::to_string)
            .collect();
        log::warn!(
            evidence = evidence.as_str(),
            in_progress = fingerprints.len(),
            fingerprints = told.join(" ");
            "upstream ended with requests in progress"
        );
        if let Some(digest) = in_progress.values().next() {
            self.suspicion(Event::Crashed {
                service: Arc::clone(&digest.service),
                in_progress: fingerprints,
            });
        }
    }
}
