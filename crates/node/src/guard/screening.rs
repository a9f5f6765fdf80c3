//! Refuses quarantined requests immediately before the handover to the upstream.
//!
//! Only the node beside the upstream can hand a request over. It therefore stops every repeat, also
//! one from an entry node that has just started or was partitioned and doesn't know the quarantine.

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

/// Retry delay in the refusal of a request whose trial is due, but runs elsewhere or is already in
/// progress.
const TRIAL_ELSEWHERE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The trial of a quarantined request. Until this is dropped, no other trial of it starts here.
pub struct Trial {
    guard: Arc<Guard>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.guard.state.lock().trials.remove(&self.fingerprint);
    }
}

/// Returns the request unless it is quarantined, with its trial if it runs as one.
pub async fn check(
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
        // `NeedsBody` here means that the body ended with an error, which is passed on to the
        // upstream.
        Verdict::Pass | Verdict::NeedsBody => Ok((request, None)),
        Verdict::Quarantined(until) => Err(Refusal::not_run(Reason::Quarantined, until)),
        Verdict::Trial => {
            let trial = guard.begin_trial(head, digest.fingerprint())?;
            Ok((request, Some(trial)))
        }
    }
}

/// Reads as much of the body as the fingerprint needs and puts it back in front of the rest.
async fn read_ahead(digest: &Digest, request: Request<Body>) -> Request<Body> {
    let (parts, mut body) = request.into_parts();
    let mut frames = Vec::new();
    while digest.fingerprint().body.is_none() {
        let Some(frame) = body.frame().await else {
            break;
        };
        let broken = frame.is_err();
        frames.push(frame);
        if broken {
            break;
        }
    }
    let whole = StreamBody::new(stream::iter(frames).chain(BodyStream::new(body)));
    Request::from_parts(parts, Body::new(whole))
}

impl Guard {
    /// Begins the trial of a quarantined request if it falls to this host and none is in progress.
    fn begin_trial(
        self: &Arc<Self>,
        head: &Head,
        fingerprint: Fingerprint,
    ) -> Result<Trial, Refusal> {
        let now = Instant::now();
        let refusal = Refusal::not_run(Reason::Quarantined, now + TRIAL_ELSEWHERE_RETRY_DELAY);
        if !self.is_trial_host(head, fingerprint) {
            return Err(refusal);
        }
        if !self.state.lock().trials.insert(fingerprint) {
            return Err(refusal);
        }
        let trial = Trial {
            guard: Arc::clone(self),
            fingerprint,
        };
        // Without this event, control would allow the next trial at once.
        if !self.report_event(Event::Tried(fingerprint)) {
            return Err(refusal);
        }
        log::warn!(
            request = &*head.request_id,
            fingerprint:% = fingerprint;
            "started a trial of a quarantined request"
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

    /// Sends an event to control; returns false if the queue is full.
    pub(super) fn report_event(&self, event: Event) -> bool {
        let sent = self.context.rings.quarantine_events.try_send(event).is_ok();
        if !sent {
            self.context.metrics.ring_full("suspicions");
            if self.log.try_acquire(1) {
                log::warn!("queue to control is full; dropped a crash, answer or trial event");
            }
        }
        sent
    }

    /// Records that the upstream answered a request. Control is notified if the request is a
    /// suspect, which the answer clears, or if it is common.
    pub(super) fn report_answer(&self, head: &Head, digest: &Digest) {
        let fingerprint = digest.fingerprint();
        let answers = self.state.lock().answered.record(fingerprint);
        // Sent at each doubling, which bounds the number of events and makes up for a lost one.
        let is_common = answers > 1 && answers.is_power_of_two();
        if is_common || self.context.screen().is_suspect(fingerprint) {
            self.report_event(Event::Answered {
                service: Arc::clone(&head.service),
                fingerprint,
            });
        }
    }
}
