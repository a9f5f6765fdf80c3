//! Forwards one request, with one attempt after another.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use mintridge_core::attempts::{Attempts, Due};
use mintridge_core::outcome::{Outcome, Reason, Refusal};
use mintridge_core::placement::Ending;
use mintridge_core::response::denies_run;
use mintridge_core::retry::{self, Progress};
use mintridge_http::{Body, reply};

use super::attempt::{Attempt, Outgoing, attempt};
use super::placed::Placed;
use super::{Entry, NO_UPSTREAM_RETRY_DELAY};
use crate::body::{self, Guarded};
use crate::claims::Job;
use crate::headers;
use crate::replay::Source;
use crate::request_log::History;

/// State of one request while it is forwarded.
pub struct Forwarding {
    pub(super) outgoing: Outgoing,
    pub(super) attempts: Attempts,
    /// Whether a retry may use the reserved part of the budget.
    pub(super) may_use_reserve: bool,
    /// Whether the request may hold a claim on its idempotency key.
    claimed: bool,
    /// Why the outcome is unknown, for the last attempt that may have run.
    may_have_run: Option<Reason>,
    /// A failed response of an upstream, passed on if no further attempt gets a better one.
    failure: Option<(Response<Incoming>, Placed)>,
}

impl Forwarding {
    /// Records whether the request may have run by now, which decides whether its account gets the
    /// token back.
    const fn set_may_have_run(&mut self, may_have_run: bool) {
        if let Some(permit) = &mut self.outgoing.permit {
            permit.set_may_have_run(may_have_run);
        }
    }
}

/// What to do after an attempt has ended.
enum NextStep {
    /// Pass this response on to the caller.
    PassOn(Box<(Response<Incoming>, Placed)>),
    /// Try another host.
    Retry,
    /// Refuse the request without another attempt.
    GiveUp(Refusal),
}

/// Tries hosts until one answers or no further attempt is allowed.
pub async fn forward(
    entry: &Arc<Entry>,
    outgoing: Outgoing,
    history: &mut History,
) -> Response<Body> {
    let mut forwarding = Forwarding {
        may_use_reserve: entry.may_use_reserve(&outgoing.request),
        outgoing,
        attempts: Attempts::default(),
        claimed: false,
        may_have_run: None,
        failure: None,
    };
    loop {
        if let Err(refusal) = entry.renew_permit(&mut forwarding.outgoing).await {
            return entry.give_up(forwarding, refusal);
        }
        let Some(mut placed) = entry.place(&mut forwarding) else {
            let retry_at = Instant::now() + NO_UPSTREAM_RETRY_DELAY;
            let refusal = Refusal::not_run(Reason::NoUpstream, retry_at);
            return entry.give_up(forwarding, refusal);
        };
        forwarding.set_may_have_run(true);
        let attempted = attempt(&forwarding.outgoing, &mut placed).await;
        entry.record_chance(&placed.service, &placed.host, &attempted);
        history.record_attempt(placed.log_record(&attempted));
        // A stop that has begun leaves less time for a retry than the caller does.
        let request = &mut forwarding.outgoing.request;
        request.limit_deadline(entry.context.stop());
        match entry.next_step(&mut forwarding, attempted, placed) {
            NextStep::PassOn(answered) => {
                let (response, placed) = *answered;
                return entry.pass_on(response, placed, forwarding.outgoing);
            }
            NextStep::GiveUp(refusal) => return entry.give_up(forwarding, refusal),
            NextStep::Retry => {}
        }
    }
}

/// A response on its way to the caller, and what it keeps in use.
struct PassedOn {
    placed: Placed,
    _source: Source,
    request_id: Arc<str>,
}

impl PassedOn {
    /// Logs that the rest of the response is not passed on.
    fn log_abort(&self, error: body::Error) {
        if self.placed.entry.log.try_acquire(1) {
            log::info!(
                request = &*self.request_id,
                to = &*self.placed.host,
                error:% = error;
                "response aborted"
            );
        }
    }
}

impl Entry {
    /// Decides what to do after an attempt has ended.
    fn next_step(
        &self,
        forwarding: &mut Forwarding,
        attempted: Attempt,
        mut placed: Placed,
    ) -> NextStep {
        match attempted {
            Attempt::Answered(response) => {
                forwarding.attempts.record_handover();
                if !self.is_failure(&response) {
                    placed.ending = Ending::Answered;
                    return NextStep::PassOn(Box::new((response, placed)));
                }
                placed.ending = Ending::Avoid;
                let may_retry = forwarding.outgoing.trial_host.is_none()
                    && self.may_retry(forwarding, Progress::MayHaveRun);
                if !may_retry {
                    return NextStep::PassOn(Box::new((response, placed)));
                }
                forwarding.failure = Some((response, placed));
                NextStep::Retry
            }
            Attempt::Refused {
                refusal,
                progress,
                claimed,
            } => {
                let may_have_run = progress == Progress::MayHaveRun;
                forwarding.claimed |= claimed;
                if may_have_run {
                    forwarding.may_have_run = Some(refusal.reason);
                }
                let has_run = forwarding.may_have_run.is_some() || forwarding.failure.is_some();
                forwarding.set_may_have_run(has_run);
                let may_retry = if forwarding.outgoing.trial_host.is_some() {
                    false
                } else if refusal.never_reached_upstream() {
                    self.may_try_another_host(forwarding, &refusal)
                } else {
                    forwarding.attempts.record_handover();
                    let may_run_elsewhere = may_have_run || refusal.reason.is_host_specific();
                    may_run_elsewhere && self.may_retry(forwarding, progress)
                };
                if may_retry {
                    NextStep::Retry
                } else {
                    NextStep::GiveUp(refusal)
                }
            }
        }
    }

    /// Returns whether an upstream's response is a failure that may be retried on another host.
    ///
    /// A response with `Retry-After` is a refusal of a nested call, or a deliberate one of the
    /// upstream. It is passed on, so that a refusal deep in a chain of calls is not retried at
    /// every level above it.
    fn is_failure(&self, response: &Response<Incoming>) -> bool {
        let status = response.status().as_u16();
        let listed = self.context.live().retry.on_statuses.contains(&status);
        listed && !response.headers().contains_key(RETRY_AFTER)
    }

    /// Chooses a host that has not been tried yet, and counts the request there.
    fn place(self: &Arc<Self>, forwarding: &mut Forwarding) -> Option<Placed> {
        let now = Instant::now();
        let service = &forwarding.outgoing.request.head.service;
        let mut placement = self.placement.lock();
        let host = match &forwarding.outgoing.trial_host {
            Some(host) if placement.place_on(service, host) => Arc::clone(host),
            Some(_) => return None,
            None => placement.pick(now, service, forwarding.attempts.tried())?,
        };
        let last_report = placement.last_report(service, &host)?;
        drop(placement);
        let retry = &self.context.live().retry;
        let only_in_time = forwarding.attempts.record_placement(retry, &host);
        let known = self.notices.lock().get(&host).cloned();
        Some(Placed {
            entry: Arc::clone(self),
            service: Arc::clone(service),
            known,
            host,
            ending: Ending::Abandoned,
            only_in_time,
            last_report,
            started_at: now,
        })
    }

    /// Returns whether another host may be tried after a refusal of a request that reached no
    /// upstream. Such a further attempt does not use the retry budget.
    fn may_try_another_host(&self, forwarding: &mut Forwarding, refusal: &Refusal) -> bool {
        let settings = &self.context.live().retry;
        let head = &forwarding.outgoing.request.head;
        let has_untried =
            |tried: &[Arc<str>]| self.placement.lock().has_untried(&head.service, tried);
        let attempts = &mut forwarding.attempts;
        let now = Instant::now();
        let due = Due {
            target: head.target,
            deadline: head.deadline,
        };
        attempts.record_refusal(settings, now, due, refusal, has_untried)
    }

    /// Returns whether another host may be tried, and spends a token of the retry budget if so. It
    /// requires an untried host, so that a failed response is kept if there is nowhere to retry.
    fn may_retry(&self, forwarding: &Forwarding, progress: Progress) -> bool {
        let request = &forwarding.outgoing.request;
        let service = &request.head.service;
        if !self
            .placement
            .lock()
            .has_untried(service, forwarding.attempts.tried())
        {
            return false;
        }
        if forwarding.attempts.handovers() >= request.attempts {
            return false;
        }
        let is_safe = progress != Progress::MayHaveRun || request.head.repeatable;
        if is_safe && let Some(withheld) = self.retry_withheld(forwarding) {
            self.record_withheld(&request.head.request_id, withheld);
            return false;
        }
        let deadline = request.head.deadline;
        let allowed = self.with_budget(service, |budget| {
            budget.may_retry(
                Instant::now(),
                deadline,
                forwarding.attempts.handovers(),
                progress,
                request.head.repeatable,
            )
        });
        if allowed {
            self.context.metrics.retry();
        }
        allowed
    }

    pub(super) fn with_budget<T>(
        &self,
        service: &Arc<str>,
        operation: impl FnOnce(&mut retry::Budget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(Arc::clone(service)).or_insert_with(|| {
            let share = self.context.in_force().preset.retry_share;
            retry::Budget::new(self.context.live().retry.clone(), share)
        });
        operation(budget)
    }

    /// Passes the upstream's response on to the caller as it arrives, or replaces it if its status
    /// would deny the run.
    fn pass_on(
        &self,
        response: Response<Incoming>,
        placed: Placed,
        outgoing: Outgoing,
    ) -> Response<Body> {
        let head = &outgoing.request.head;
        let not_run_statuses = &self.context.settings.callers.not_run_statuses;
        if denies_run(
            not_run_statuses,
            response.status().as_u16(),
            head.repeatable,
        ) {
            let refusal = Refusal::unknown(Reason::RunFailed, Instant::now());
            return self.refuse_finally(&refusal, &head.request_id);
        }
        if placed.ending == Ending::Answered {
            self.with_budget(&outgoing.request.head.service, retry::Budget::deposit);
        }
        let (mut parts, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        let limits = self.body_limits(outgoing.request.head.deadline, &parts.headers);
        let passed_on = PassedOn {
            placed,
            _source: outgoing.source,
            request_id: Arc::clone(&outgoing.request.head.request_id),
        };
        let body = reply::from_incoming(body);
        let body = Guarded::new(body, passed_on, limits, PassedOn::log_abort);
        Response::from_parts(parts, Body::new(body))
    }

    /// Returns the limits of a response. The node beside the upstream decides about the upstream, so
    /// this node allows for a link that stalls as well, until its pings show that.
    fn body_limits(&self, deadline: Instant, headers: &HeaderMap) -> body::Limits {
        let settings = &self.context.settings;
        let link_stall = settings.link.ping_every + settings.link.ping_within;
        let late_wait = settings.callers.late_body_wait + link_stall;
        body::Limits::new(&settings.callers, deadline, late_wait, headers)
    }

    /// Responds to the caller with a refusal, or with an earlier failed response of an upstream.
    ///
    /// The claim is released only if every host that was tried certainly refused the request, since
    /// then no host will hand it over to an upstream any more.
    ///
    /// Failure: a repeatable request runs on one host, its link breaks, and the next host refuses
    /// it. Symptom: the caller gets only the last refusal, "not run", which is false. Therefore an
    /// attempt that may have run determines the outcome and the reason of the refusal.
    fn give_up(&self, mut forwarding: Forwarding, refusal: Refusal) -> Response<Body> {
        if let Some((response, placed)) = forwarding.failure.take() {
            return self.pass_on(response, placed, forwarding.outgoing);
        }
        if let Some(parent) = &forwarding.outgoing.request.parent {
            self.context.calls.lock().record_refusal(parent.id);
        }
        let head = &forwarding.outgoing.request.head;
        let refusal = match forwarding.may_have_run {
            Some(reason) => Refusal::unknown(reason, refusal.retry_at),
            None => refusal,
        };
        if let Some(claim) = &head.claim
            && forwarding.claimed
            && refusal.outcome == Outcome::NotRun
        {
            let job = Job::Release(claim.clone());
            if self.context.rings.claims.try_send(job).is_err() {
                self.context.metrics.ring_full("claims");
            }
        }
        self.refuse(&refusal, &head.request_id)
    }

    /// Refuses a request that must not be repeated, without a time to come back.
    fn refuse_finally(&self, refusal: &Refusal, request_id: &str) -> Response<Body> {
        let mut response = self.refuse(refusal, request_id);
        response.headers_mut().remove(RETRY_AFTER);
        response
    }
}
