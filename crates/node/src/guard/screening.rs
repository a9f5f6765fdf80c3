//! Holds back requests under which upstreams ended, at the last moment before one is handed over.
//!
//! The node beside the upstream has the last word: whichever node a repeat comes through, also one
//! that has just started or was cut off, nobody else can hand it over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::Request;
use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::membership::Upstream;
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::quarantine::{self, Event};
use mintridge_core::screen::Verdict;
use mintridge_http::Body;

use super::Guard;
use super::runs::Digest;
use crate::headers::Head;

/// When a caller is told to come back whose request may be tried, but not here and now.
const TRIAL_ELSEWHERE_RETRY: Duration = Duration::from_secs(1);

/// A request that is held back and tried all the same; one at a time until this is dropped.
pub struct Trial {
    guard: Arc<Guard>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.guard.state.lock().trials.remove(&self.fingerprint);
    }
}

/// Lets a request pass unless it is held back.
pub async fn pass(
    guard: &Arc<Guard>,
    head: &Head,
    digest: &Digest,
    request: Request<Body>,
) -> Result<(Request<Body>, Option<Trial>), Refusal> {
    let screen = guard.context.screen();
    if screen.is_empty() {
        return Ok((request, None));
    }
    let mut request = request;
    let mut verdict = screen.check(Instant::now(), digest.fingerprint());
    if verdict == Verdict::NeedsBody {
        let reading = read_ahead(digest, request);
        request = tokio::time::timeout_at(head.deadline.into(), reading)
            .await
            .map_err(|_| guard.not_run(Reason::Deadline))?;
        verdict = screen.check(Instant::now(), digest.fingerprint());
    }
    match verdict {
        // A body that broke off is broken off towards the upstream as well.
        Verdict::Pass | Verdict::NeedsBody => Ok((request, None)),
        Verdict::Quarantined(until) => Err(Refusal::not_run(Reason::Quarantined, until)),
        Verdict::Trial => {
            let trial = guard.try_out(head, digest.fingerprint())?;
            Ok((request, Some(trial)))
        }
    }
}

/// Reads as much of a body as tells whose it is, and puts it back in front of the rest.
async fn read_ahead(digest: &Digest, request: Request<Body>) -> Request<Body> {
    let (parts, mut body) = request.into_parts();
    let mut read = Vec::new();
    while digest.fingerprint().body.is_none() {
        let Some(frame) = body.frame().await else {
            break;
        };
        let broken = frame.is_err();
        read.push(frame);
        if broken {
            break;
        }
    }
    let whole = StreamBody::new(stream::iter(read).chain(BodyStream::new(body)));
    Request::from_parts(parts, Body::new(whole))
}

impl Guard {
    /// Lets a request through that is held back, if its trial is due and falls to this host.
    fn try_out(self: &Arc<Self>, head: &Head, fingerprint: Fingerprint) -> Result<Trial, Refusal> {
        let now = Instant::now();
        let elsewhere = Refusal::not_run(Reason::Quarantined, now + TRIAL_ELSEWHERE_RETRY);
        if !self.is_trial_host(head, fingerprint) {
            return Err(elsewhere);
        }
        if !self.state.lock().trials.insert(fingerprint) {
            return Err(elsewhere);
        }
        let trial = Trial {
            guard: Arc::clone(self),
            fingerprint,
        };
        // A trial that control does not hear of would be followed by the next at once.
        if !self.suspicion(Event::Tried(fingerprint)) {
            return Err(elsewhere);
        }
        log::warn!(
            request = &*head.request,
            fingerprint:% = fingerprint;
            "request that is held back is tried"
        );
        Ok(trial)
    }

    fn is_trial_host(&self, head: &Head, fingerprint: Fingerprint) -> bool {
        let view = Arc::clone(&self.context.latest.view.borrow());
        let offers = |upstream: &Upstream| upstream.service == head.service && !upstream.leaving;
        let hosts = view
            .members
            .iter()
            .filter(|record| record.upstream.as_ref().is_some_and(offers))
            .map(|record| &record.host);
        quarantine::trial_host(fingerprint, hosts) == Some(self.context.host())
    }

    /// Tells control what was seen; false if its ring is full.
    pub(super) fn suspicion(&self, event: Event) -> bool {
        let sent = self.context.rings.suspicions.try_send(event).is_ok();
        if !sent {
            self.context.metrics.ring_full("suspicions");
            if self.log.admits(1) {
                log::warn!("ring to control is full: an end, answer or trial is not told");
            }
        }
        sent
    }

    /// The upstream answered: a request that was suspected is cleared, and one that is answered
    /// again and again is remembered.
    pub(super) fn clear(&self, head: &Head, digest: &Digest) {
        let fingerprint = digest.fingerprint();
        let times = self.state.lock().answered.record(fingerprint);
        // Told at each doubling, which bounds the messages and makes up for one that was lost.
        let is_common = times > 1 && times.is_power_of_two();
        if is_common || self.context.screen().is_suspect(fingerprint) {
            self.suspicion(Event::Answered {
                service: Arc::clone(&head.service),
                fingerprint,
            });
        }
    }
}
