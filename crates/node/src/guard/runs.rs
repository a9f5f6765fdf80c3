//! Tracks the requests in progress in the upstream and detects crashes of the upstream.
//!
//! A broken connection alone is no proof: the network resets connections, and an upstream may abort
//! single responses. If it refuses a new connection as well, its process has ended with all its
//! requests in progress. A timeout proves nothing about a request, and neither does a planned stop.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::CONTENT_LENGTH;
use mintridge_core::call::Parent;
use mintridge_core::fingerprint::{self, Fingerprint};
use mintridge_core::quarantine::Event;
use mintridge_core::request::Id;
use mintridge_http::Body;
use parking_lot::Mutex;

use super::Guard;
use crate::arrival;
use crate::headers::Head;
use crate::settings::Settings;
use crate::upstream::Reachability;

/// Maximum number of fingerprints in one log line. More requests than that are seldom in progress
/// in one upstream, and the line also gives their total number.
const MAX_LOGGED_FINGERPRINTS: usize = 32;

/// Evidence that the upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A connection broke, and no new one was accepted.
    Unreachable,
    /// The upstream has restarted.
    Restarted,
}

impl Evidence {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "connection broken and no new one accepted",
            Self::Restarted => "started again",
        }
    }

    const fn event(self, service: Arc<str>, in_progress: Vec<Fingerprint>) -> Event {
        match self {
            Self::Unreachable => Event::Crashed {
                service,
                in_progress,
            },
            Self::Restarted => Event::Restarted {
                service,
                in_progress,
            },
        }
    }
}

/// Requests in progress in the upstream. Those of a reported crash are removed, so that a
/// connection of theirs that is found broken later does not count as another crash.
#[derive(Default)]
pub struct Runs {
    in_progress: HashMap<Id, Digest>,
    /// A new connection is being attempted, to find out whether the upstream has crashed.
    checking: bool,
    /// A crash was reported, and the upstream has not announced its next start.
    awaits_start: bool,
}

/// The fingerprint of a request, computed while its body passes.
#[derive(Clone)]
pub struct Digest {
    service: Arc<str>,
    head: u64,
    body: Arc<Mutex<fingerprint::Body>>,
}

impl Digest {
    /// Starts the fingerprint of a request and wraps its body, which is digested as it passes.
    pub fn begin(
        settings: &Settings,
        head: &Head,
        request: Request<Body>,
    ) -> (Self, Request<Body>) {
        let head_digest = digest_head(settings, head, &request);
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
            Body::new(DigestedBody {
                body,
                digest: digest.clone(),
            })
        };
        (digest, Request::from_parts(parts, body))
    }

    /// Returns the fingerprint as far as the body has been read.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint {
            head: self.head,
            body: self.body.lock().digest(),
        }
    }
}

/// Returns the digest of the head of a peer's request.
fn digest_head(settings: &Settings, head: &Head, request: &Request<Body>) -> u64 {
    let uri = request.uri();
    let host = uri.authority().map_or("", |host| host.as_str());
    arrival::fingerprint(settings, head, request.method(), host, uri.path_and_query())
}

/// A body that is digested as it passes.
struct DigestedBody {
    body: Body,
    digest: Digest,
}

impl HttpBody for DigestedBody {
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

/// A request in progress in the upstream until this is dropped.
pub struct Run {
    guard: Arc<Guard>,
    id: Id,
}

impl Drop for Run {
    fn drop(&mut self) {
        self.guard.context.calls.lock().end(self.id);
        self.guard.state.lock().runs.in_progress.remove(&self.id);
    }
}

impl Guard {
    /// Records that the request with this slot is handed over to the upstream.
    pub(super) fn begin_run(self: &Arc<Self>, id: Id, head: &Head, digest: Digest) -> Run {
        let parent = Parent {
            id,
            deadline: head.deadline,
            rank: head.priority,
            route: Arc::clone(&head.route),
        };
        self.context.calls.lock().begin(Instant::now(), parent);
        self.state.lock().runs.in_progress.insert(id, digest);
        Run {
            guard: Arc::clone(self),
            id,
        }
    }

    /// Checks whether the upstream has crashed, after a connection broke with a request on it.
    ///
    /// In a crash all connections break almost at once, and each of them wakes its request. The
    /// first of these finds all others still in progress, so one check covers all of them.
    pub(super) fn check_for_crash(self: &Arc<Self>, run: &Run, address: SocketAddr) {
        let mut state = self.state.lock();
        let runs = &mut state.runs;
        if runs.checking || !runs.in_progress.contains_key(&run.id) {
            return;
        }
        runs.checking = true;
        let in_progress = runs.in_progress.clone();
        drop(state);
        let guard = Arc::clone(self);
        tokio::spawn(async move {
            let reachability = guard.upstream.try_connect(address).await;
            let mut state = guard.state.lock();
            state.runs.checking = false;
            if reachability != Reachability::Refused || state.gate.is_leaving() {
                return;
            }
            state
                .runs
                .in_progress
                .retain(|id, _| !in_progress.contains_key(id));
            state.runs.awaits_start = true;
            drop(state);
            guard.record_crash(&in_progress, Evidence::Unreachable);
        });
    }

    /// Records a crash when the upstream has restarted with requests in progress.
    ///
    /// Failure: an upstream serves requests before it announces its start. Symptom: requests that
    /// it received meanwhile count as in progress at a crash, and common requests are quarantined.
    /// If the crash was already reported, all requests in progress arrived after it.
    pub(super) fn record_crash_before_restart(&self, state: &mut super::State) {
        if std::mem::take(&mut state.runs.awaits_start) {
            return;
        }
        let in_progress = std::mem::take(&mut state.runs.in_progress);
        if !in_progress.is_empty() && !state.gate.is_leaving() {
            self.record_crash(&in_progress, Evidence::Restarted);
        }
    }

    /// Records that the upstream crashed with these requests in progress.
    fn record_crash(&self, in_progress: &HashMap<Id, Digest>, evidence: Evidence) {
        self.context.metrics.record_upstream_crash();
        let fingerprints: Vec<Fingerprint> =
            in_progress.values().map(Digest::fingerprint).collect();
        let logged: Vec<String> = fingerprints
            .iter()
            .take(MAX_LOGGED_FINGERPRINTS)
            .map(ToString::to_string)
            .collect();
        log::warn!(
            evidence = evidence.as_str(),
            in_progress = fingerprints.len(),
            fingerprints = logged.join(" ");
            "upstream ended with requests in progress"
        );
        if let Some(digest) = in_progress.values().next() {
            self.report_event(evidence.event(Arc::clone(&digest.service), fingerprints));
        }
    }
}
