//! Hands a request over to the upstream and classifies the result.
//!
//! After the handover a missing response means that the request may have run, unless the upstream
//! itself reports that it did not.

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
use mintridge_core::request_limit::Origin;
use mintridge_core::response::is_shed;
use mintridge_http::Body;

use super::notices::Statement;
use super::runs::{Digest, Run};
use super::screening::Trial;
use super::slot::Slot;
use super::{Guard, screening};
use crate::arrival::ANONYMOUS;
use crate::body::{self, Guarded};
use crate::headers::{self, Head};
use crate::traces;
use crate::upstream;

/// Hands the request over to the upstream. Returns its response, or the refusal to send instead.
pub async fn hand_over(
    guard: &Arc<Guard>,
    slot: Slot,
    head: &Head,
    request: Request<Body>,
) -> Result<Response<Body>, Refusal> {
    let (digest, request) = Digest::begin(&guard.context.settings, head, request);
    let (mut request, trial) = screening::check(guard, head, &digest, request).await?;
    let (handed_over_at, address) = guard.wait_for_start(slot.id, head).await?;
    let time_left = head.deadline.saturating_duration_since(handed_over_at);
    guard.prepare(&mut request, head, time_left);
    let run = guard.begin_run(slot.id, head, digest.clone());
    let result = traces::in_span(
        traces::child_span("upstream"),
        guard.upstream.send(address, request, head.deadline),
    )
    .await;
    let now = Instant::now();
    let (mut parts, body) = match result {
        Ok(upstream::Received::Answer(parts, body)) => (parts, body),
        Ok(upstream::Received::NotRun {
            instance,
            misdirected,
            load,
            notice,
            received_at,
        }) => {
            drop(run);
            guard.observe_load(now, load.as_ref());
            if misdirected {
                return Err(guard.record_misdirection(now, instance.as_ref()));
            }
            guard.record_notice(&Statement {
                origin: Origin::Request,
                sent_at: handed_over_at,
                received_at: received_at.0,
                notice,
            });
            return Err(guard.record_shed(now, slot.id, load.as_ref()));
        }
        Err(error) => {
            if matches!(error, upstream::Error::Broken(_)) {
                guard.check_for_crash(&run, address);
            }
            return Err(guard.record_failure(now, &error, time_left, &head.request_id, &digest));
        }
    };
    guard.observe_load(now, guard.upstream.load(&parts.headers).as_ref());
    guard.record_notice(&Statement {
        origin: Origin::Request,
        sent_at: handed_over_at,
        received_at: upstream::received_at(&parts).0,
        notice: guard.upstream.notice(&parts.headers),
    });
    guard.record_response(now, slot.id, parts.status, now - handed_over_at);
    guard.record_run_end(now, slot.id, &head.route, parts.status);
    if !parts.status.is_server_error() && parts.status != StatusCode::TOO_MANY_REQUESTS {
        guard.report_answer(head, &digest);
    }
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_own(&mut parts.headers);
    headers::write_load(&guard.report(now), &mut parts.headers);
    guard.write_known(&mut parts.headers);
    let callers = &guard.context.settings.callers;
    let late_wait = callers.late_body_wait;
    let limits = body::Limits::new(callers, head.deadline, late_wait, &parts.headers);
    let used = Used {
        _run: run,
        _trial: trial,
        slot,
        request_id: Arc::clone(&head.request_id),
    };
    let body = Guarded::new(body, used, limits, Used::record_abort);
    Ok(Response::from_parts(parts, Body::new(body)))
}

/// What a request uses of the upstream until its response has been passed on.
struct Used {
    _run: Run,
    _trial: Option<Trial>,
    slot: Slot,
    request_id: Arc<str>,
}

impl Used {
    /// Records that the rest of the upstream's response is not passed on.
    fn record_abort(&self, error: body::Error) {
        let guard = self.slot.guard();
        guard.record_verdict(Instant::now(), Some(Verdict::Failed));
        if guard.log.try_acquire(1) {
            log::info!(
                request = &*self.request_id,
                error:% = error;
                "response of the upstream aborted"
            );
        }
    }
}

impl Guard {
    /// Waits until the upstream takes the request, and checks once more that it may run. Returns
    /// when it may be sent, and where.
    async fn wait_for_start(&self, id: Id, head: &Head) -> Result<(Instant, SocketAddr), Refusal> {
        loop {
            let now = Instant::now();
            let address = self.check_hand_over(now, head)?;
            let Err(starts_at) = self.state.lock().admission.confirm_start(now, id) else {
                return Ok((now, address));
            };
            if starts_at >= head.deadline {
                return Err(self.not_run(Reason::Deadline));
            }
            tokio::time::sleep_until(starts_at.into()).await;
        }
    }

    /// Checks once more that the request may run, immediately before it is sent.
    ///
    /// Failure: the process is paused between admission and here, or the claim took long. Symptom:
    /// a request runs although its caller has already received a refusal for it, or it runs on a
    /// host that left long ago. The monotonic clock shows the pause.
    fn check_hand_over(&self, now: Instant, head: &Head) -> Result<SocketAddr, Refusal> {
        let mut state = self.state.lock();
        if now >= head.deadline {
            return Err(state.admission.refusal(now, Reason::Deadline));
        }
        // The request waited for longer than its account's token is valid. The entry may send it
        // again with a new one.
        if head.run_by.is_some_and(|run_by| now >= run_by) {
            return Err(state.admission.refusal(now, Reason::Late));
        }
        if let Some(reason) = state.gate.check_hand_over(now) {
            return Err(state.admission.refusal(now, reason));
        }
        if !state.admission.can_end_in_time(head.deadline) {
            return Err(state.admission.refusal(now, Reason::Leaving));
        }
        let sends_instance = self
            .context
            .settings
            .upstream
            .expected_instance_header
            .is_some();
        if sends_instance && state.instance.current().is_none() {
            return Err(state.admission.refusal(now, Reason::Unannounced));
        }
        match &state.announcement {
            Some(announcement) => Ok(announcement.address),
            None => Err(state.admission.refusal(now, Reason::Unannounced)),
        }
    }

    /// Rewrites a peer's request for the upstream: the URI is reduced to its path, its authority
    /// becomes the `Host` header, and headers carry what the upstream passes on with calls of its
    /// own.
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
        // An entry node with an older routing table passes on what its caller sent.
        if self.context.lists_accounts()
            && headers::strip_credentials(&names.client_account_header, fields)
        {
            self.context.metrics.bad_input("key-from-peer");
        }
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

    /// Records that the upstream gave no response within `waited` and returns the matching refusal.
    fn record_failure(
        &self,
        now: Instant,
        error: &upstream::Error,
        waited: Duration,
        request_id: &str,
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
        self.record_verdict(now, verdict);
        if self.log.try_acquire(1) {
            log::info!(
                request = request_id,
                fingerprint:% = digest.fingerprint(),
                error:% = error;
                "upstream did not answer"
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
            upstream::Error::Foreign | upstream::Error::Endless => {
                self.unknown(now, Reason::ForeignAnswer)
            }
        }
    }

    /// Records that the upstream shed the request without running it.
    ///
    /// Failure: a faulty upstream sheds some requests although it has free slots. Symptom: each
    /// such response is taken for overload and lowers the limit until almost nothing runs. If the
    /// upstream reports its load, the limit is lowered only when all its slots are taken.
    fn record_shed(&self, now: Instant, id: Id, load: Option<&UpstreamLoad>) -> Refusal {
        let full = load.is_none_or(|load| load.running + load.waiting >= load.slots);
        let mut state = self.state.lock();
        if full {
            state.admission.record_answer(now, id, Answer::Shed);
        }
        state.admission.refusal(now, Reason::Shed)
    }

    /// Handles a response from a different instance than the one expected at the upstream's
    /// address.
    fn record_misdirection(&self, now: Instant, found: Option<&Arc<str>>) -> Refusal {
        let mut state = self.state.lock();
        let expected = state.instance.current().cloned();
        if let Some(found) = found {
            state.instance.confirm(now, found);
        }
        self.reset_after_restart(&mut state);
        state.announcement = None;
        self.discovery_due.notify_one();
        log::warn!(
            expected:? = expected,
            found:? = found;
            "a different instance answers at the upstream's address"
        );
        state.admission.refusal(now, Reason::Misdirected)
    }

    /// Records the upstream's response, whose head arrived after `took`.
    ///
    /// Any response that does not say that the upstream shed the request is recorded as served, but
    /// a fast 502, 503 or 429 also counts as a failure, so that an upstream that fails fast becomes
    /// doubtful.
    fn record_response(&self, now: Instant, id: Id, status: StatusCode, took: Duration) {
        let states_not_run = self.context.settings.upstream.not_run_header.is_some();
        let shed = is_shed(status.as_u16(), states_not_run);
        let refused = matches!(
            status,
            StatusCode::BAD_GATEWAY
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
        );
        let verdict = {
            let mut state = self.state.lock();
            let mean = state.admission.service_time();
            let answer = if shed { Answer::Shed } else { Answer::Served };
            state.admission.record_answer(now, id, answer);
            if refused {
                state.health.judge_refusal(took, mean)
            } else {
                Some(Verdict::Answered)
            }
        };
        self.record_verdict(now, verdict);
    }

    /// Records a request's verdict on the upstream's health, if it has one.
    fn record_verdict(&self, now: Instant, verdict: Option<Verdict>) {
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
