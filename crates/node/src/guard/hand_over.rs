//! Handing a request to the upstream, and what comes of it.
//!
//! From here on, no answer means that the request may have run, unless the upstream itself says
//! that it did not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HOST;
use hyper::{Request, Response, StatusCode, Uri, Version};
use mintridge_core::admission::Answer;
use mintridge_core::health::Verdict;
use mintridge_core::load::Upstream as UpstreamLoad;
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::request::Id;
use mintridge_http::Body;

use super::runs::Digest;
use super::slot::Slot;
use super::{Guard, screening};
use crate::arrival::ANONYMOUS;
use crate::body::Held;
use crate::headers::{self, Head};
use crate::traces;
use crate::upstream::{self, Received};

/// Hands the request to the upstream; an error is what the caller is told instead.
pub async fn hand_over(
    guard: &Arc<Guard>,
    slot: Slot,
    head: &Head,
    request: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let (digest, request) = Digest::begin(&guard.context.settings, head, request);
    let (mut request, trial) = screening::pass(guard, head, &digest, request).await?;
    let handed_at = Instant::now();
    let address = guard.check_hand_over(handed_at, head)?;
    let in_left = head.deadline.saturating_duration_since(handed_at);
    guard.prepare(&mut request, head, in_left);
    let run = guard.run(slot.id, digest.clone());
    let answered = traces::within(
        traces::hop("upstream"),
        guard.upstream.send(address, request, head.deadline),
    )
    .await;
    let now = Instant::now();
    let (mut parts, body) = match answered {
        Ok(Received::Answer(parts, body)) => (parts, body),
        Ok(Received::NotRun {
            instance,
            misdirected,
            load,
        }) => {
            drop(run);
            guard.observe_load(now, load.as_ref());
            if misdirected {
                return Err(guard.misdirected(now, instance.as_ref()));
            }
            return Err(guard.shed(now, slot.id, load.as_ref()));
        }
        Err(error) => {
            if matches!(error, upstream::Error::Broken(_)) {
                guard.broke(&run, address);
            }
            return Err(guard.failed(now, &error, in_left, &head.request, &digest));
        }
    };
    guard.observe_load(now, guard.upstream.load(&parts.headers).as_ref());
    guard.answered(now, slot.id, parts.status, now - handed_at);
    if !parts.status.is_server_error() && parts.status != StatusCode::TOO_MANY_REQUESTS {
        guard.clear(head, &digest);
    }
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_own(&mut parts.headers);
    headers::write_load(&guard.report(now), &mut parts.headers);
    let idle = guard.context.settings.callers.body_idle;
    let body = Held::new(body, (run, trial, slot), idle);
    Ok(Response::from_parts(parts, Body::new(body)))
}

impl Guard {
    /// Looks once more before the point of no return.
    ///
    /// Failure: the process is paused between admission and here, or the claim took
    /// long. Symptom: a request runs after its caller was told that it may not have,
    /// or on a host that left long ago. The monotonic clock shows the pause.
    fn check_hand_over(&self, now: Instant, head: &Head) -> Result<SocketAddr, Refusal> {
        let mut state = self.state.lock();
        if now >= head.deadline {
            return Err(state.admission.refusal(now, Reason::Deadline));
        }
        if let Some(reason) = state.gate.check_hand_over(now) {
            return Err(state.admission.refusal(now, reason));
        }
        let names_instance = self
            .context
            .settings
            .upstream
            .expected_instance_header
            .is_some();
        if names_instance && state.instance.current().is_none() {
            return Err(state.admission.refusal(now, Reason::Unannounced));
        }
        match &state.announcement {
            Some(announcement) => Ok(announcement.address),
            None => Err(state.admission.refusal(now, Reason::Unannounced)),
        }
    }

    /// Turns a peer's request into the upstream's: its path alone, its host, and what a
    /// deeper call needs to pass on.
    fn prepare(&self, request: &mut Request<Body>, head: &Head, left: Duration) {
        let host = request.uri().authority().map(ToString::to_string);
        if let Some(path) = request.uri().path_and_query().cloned() {
            *request.uri_mut() = Uri::from(path);
        }
        *request.version_mut() = Version::HTTP_11;
        let fields = request.headers_mut();
        headers::strip_own(fields);
        if let Some(host) = host.and_then(|host| host.parse().ok()) {
            fields.entry(HOST).or_insert(host);
        }
        let names = &self.context.settings.callers;
        if &*head.client_account != ANONYMOUS {
            headers::set(fields, &names.client_account_header, &head.client_account);
        }
        let expected = &self.context.settings.upstream.expected_instance_header;
        let instance = self.state.lock().instance.current().cloned();
        if let (Some(name), Some(instance)) = (expected, instance) {
            headers::set(fields, name, &instance);
        }
        headers::set(fields, &names.timeout_header, &left.as_millis().to_string());
        traces::inject(fields);
    }

    /// The upstream gave no answer within `waited`: what that proves.
    fn failed(
        &self,
        now: Instant,
        error: &upstream::Error,
        waited: Duration,
        request: &str,
        digest: &Digest,
    ) -> Refusal {
        let verdict = match error {
            upstream::Error::Restarted { .. } => None,
            upstream::Error::NoConnectionInTime | upstream::Error::Unanswered => {
                let state = self.state.lock();
                state
                    .health
                    .judge_timeout(waited, state.admission.service_time())
            }
            _ => Some(Verdict::Failed),
        };
        self.judge(now, verdict);
        if self.log.admits(1) {
            log::info!(
                request = request,
                fingerprint:% = digest.fingerprint(),
                error:% = error;
                "no answer of the upstream"
            );
        }
        match error {
            upstream::Error::NeverSent | upstream::Error::Restarted { sent: false } => {
                self.not_run(Reason::Unreachable)
            }
            upstream::Error::NoConnectionInTime => self.not_run(Reason::Deadline),
            upstream::Error::Unanswered => self.unknown(now, Reason::Deadline),
            upstream::Error::Broken(_) | upstream::Error::Restarted { sent: true } => {
                self.unknown(now, Reason::LinkLost)
            }
            upstream::Error::Foreign => self.unknown(now, Reason::ForeignAnswer),
        }
    }

    /// The upstream said itself that it did not run the request.
    ///
    /// Failure: a faulty upstream sheds part of its requests though it has room. Symptom:
    /// taken for overload, each such answer lowers the limit until next to nothing runs.
    /// Where the upstream tells its load, only a full one lowers the limit.
    fn shed(&self, now: Instant, id: Id, load: Option<&UpstreamLoad>) -> Refusal {
        let full = load.is_none_or(|load| load.running + load.waiting >= load.slots);
        let mut state = self.state.lock();
        if full {
            state.admission.record_answer(now, id, Answer::Shed);
        }
        state.admission.refusal(now, Reason::Shed)
    }

    /// Another instance than the one expected stands at the upstream's address.
    fn misdirected(&self, now: Instant, found: Option<&Arc<str>>) -> Refusal {
        let mut state = self.state.lock();
        let expected = state.instance.current().cloned();
        if let Some(found) = found {
            state.instance.confirm(now, found);
        }
        self.restarted(&mut state);
        state.announcement = None;
        self.unknown_upstream.notify_one();
        log::warn!(
            expected:? = expected,
            found:? = found;
            "another instance of the upstream stands at its address"
        );
        state.admission.refusal(now, Reason::Misdirected)
    }

    /// The upstream began to answer, after `took`.
    fn answered(&self, now: Instant, id: Id, status: StatusCode, took: Duration) {
        let shed = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let refused = shed || status == StatusCode::BAD_GATEWAY;
        let verdict = {
            let mut state = self.state.lock();
            let mean = state.admission.service_time();
            let begun = if shed { Answer::Shed } else { Answer::Served };
            state.admission.record_answer(now, id, begun);
            if refused {
                state.health.judge_refusal(took, mean)
            } else {
                Some(Verdict::Answered)
            }
        };
        self.judge(now, verdict);
    }

    /// Takes in what a request showed of the upstream, if anything.
    fn judge(&self, now: Instant, verdict: Option<Verdict>) {
        let Some(verdict) = verdict else { return };
        let mut state = self.state.lock();
        let was_ready = state.health.is_ready();
        state.health.record(now, verdict);
        if was_ready && !state.health.is_ready() {
            log::warn!("upstream is doubtful");
            state.admission.refuse_queued(now, Reason::Doubtful);
            drop(state);
            self.queued.notify_one();
            self.pump();
        }
    }
}
