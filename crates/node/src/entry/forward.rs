//! All attempts of one request, one after the other.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use mintridge_core::attempts::{Attempts, Due};
use mintridge_core::outcome::{Outcome, Reason, Refusal};
use mintridge_core::placement::Ending;
use mintridge_core::retry::{self, Progress};
use mintridge_http::{Body, reply};

use super::attempt::{Attempt, Sent, attempt};
use super::placed::Placed;
use super::{Entry, NO_UPSTREAM_RETRY};
use crate::body::Held;
use crate::claims::Job;
use crate::headers;
use crate::request_log::History;

/// What is known of one request while it is being worked on.
struct Forwarding {
    sent: Sent,
    attempts: Attempts,
    /// Whether the request may hold its claim.
    claimed: bool,
    /// Why nothing is known of the last attempt that may have run.
    may_have_run: Option<Reason>,
    /// A failure that an upstream answered, told if no further attempt does better.
    failure: Option<(Response<Incoming>, Placed)>,
}

/// What one ended attempt means for the request.
enum Verdict {
    /// This answer goes to the caller.
    PassOn(Box<(Response<Incoming>, Placed)>),
    /// Another host may be asked.
    Again,
    /// No further attempt may be begun.
    GiveUp(Refusal),
}

/// Tries hosts until one answers or no further attempt may be made.
pub async fn forward(entry: &Arc<Entry>, sent: Sent, history: &mut History) -> Response<Body> {
    let mut forwarding = Forwarding {
        sent,
        attempts: Attempts::default(),
        claimed: false,
        may_have_run: None,
        failure: None,
    };
    loop {
        let Some(mut placed) = entry.place(&mut forwarding) else {
            let retry_at = Instant::now() + NO_UPSTREAM_RETRY;
            let none = Refusal::not_run(Reason::NoUpstream, retry_at);
            return entry.give_up(forwarding, none);
        };
        let attempted = attempt(&forwarding.sent, &mut placed).await;
        history.attempted(placed.attempt(attempted.outcome()));
        match entry.judge(&mut forwarding, attempted, placed) {
            Verdict::PassOn(answered) => {
                let (response, placed) = *answered;
                return entry.pass_on(response, placed, forwarding.sent);
            }
            Verdict::GiveUp(refusal) => return entry.give_up(forwarding, refusal),
            Verdict::Again => {}
        }
    }
}

impl Entry {
    /// What an ended attempt means.
    fn judge(
        &self,
        forwarding: &mut Forwarding,
        attempted: Attempt,
        mut placed: Placed,
    ) -> Verdict {
        match attempted {
            Attempt::Answered(response) => {
                forwarding.attempts.record_handover();
                if !self.is_failure(&response) {
                    placed.ending = Ending::Answered;
                    return Verdict::PassOn(Box::new((response, placed)));
                }
                placed.ending = Ending::Avoid;
                let again = forwarding.sent.only_on.is_none()
                    && self.may_retry(forwarding, Progress::MayHaveRun);
                if !again {
                    return Verdict::PassOn(Box::new((response, placed)));
                }
                forwarding.failure = Some((response, placed));
                Verdict::Again
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
                let again = if forwarding.sent.only_on.is_some() {
                    false
                } else if refusal.never_reached_upstream() {
                    self.may_ask_another(forwarding, &refusal)
                } else {
                    forwarding.attempts.record_handover();
                    let elsewhere = may_have_run || refusal.reason.is_host_specific();
                    elsewhere && self.may_retry(forwarding, progress)
                };
                if again {
                    Verdict::Again
                } else {
                    Verdict::GiveUp(refusal)
                }
            }
        }
    }

    /// Whether an upstream's answer says that it cannot serve this time.
    ///
    /// One that says when to come back was refused deeper down, or by its own choice: it is
    /// passed on, so that a refusal at depth is not tried again at every level above.
    fn is_failure(&self, response: &Response<Incoming>) -> bool {
        let status = response.status().as_u16();
        let listed = self.context.live().retry.on_statuses.contains(&status);
        listed && !response.headers().contains_key(RETRY_AFTER)
    }

    /// Chooses a host that was not tried yet, and counts the request there.
    fn place(self: &Arc<Self>, forwarding: &mut Forwarding) -> Option<Placed> {
        let now = Instant::now();
        let service = &forwarding.sent.request.head.service;
        let mut placement = self.placement.lock();
        let host = match &forwarding.sent.only_on {
            Some(host) if placement.place_on(service, host) => Arc::clone(host),
            Some(_) => return None,
            None => placement.pick(now, service, forwarding.attempts.tried())?,
        };
        let last_report = placement.last_report(service, &host)?;
        drop(placement);
        let retry = &self.context.live().retry;
        let only_in_time = forwarding.attempts.record_placement(retry, &host);
        Some(Placed {
            entry: Arc::clone(self),
            service: Arc::clone(service),
            host,
            ending: Ending::Abandoned,
            only_in_time,
            last_report,
            begun_at: now,
        })
    }

    /// Whether another host may be asked for a request that no upstream has seen.
    fn may_ask_another(&self, forwarding: &mut Forwarding, refusal: &Refusal) -> bool {
        let settings = &self.context.live().retry;
        let head = &forwarding.sent.request.head;
        let others = |tried: &[Arc<str>]| self.placement.lock().has_untried(&head.service, tried);
        let attempts = &mut forwarding.attempts;
        let now = Instant::now();
        let due = Due {
            target: head.target,
            deadline: head.deadline,
        };
        attempts.record_refusal(settings, now, due, refusal, others)
    }

    /// Whether another host may be tried; an answer in hand is not given up for none.
    fn may_retry(&self, forwarding: &Forwarding, progress: Progress) -> bool {
        let request = &forwarding.sent.request;
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

    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut retry::Budget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(Arc::clone(service)).or_insert_with(|| {
            let share = self.context.in_force().preset.retry_share;
            retry::Budget::new(self.context.live().retry.clone(), share)
        });
        act(budget)
    }

    /// Passes the upstream's answer on, as it comes.
    fn pass_on(&self, response: Response<Incoming>, placed: Placed, sent: Sent) -> Response<Body> {
        if placed.ending == Ending::Answered {
            self.with_budget(&sent.request.head.service, retry::Budget::deposit);
        }
        let (mut parts, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        let idle = self.context.settings.callers.body_idle;
        let body = Held::new(reply::from_incoming(body), (placed, sent.source), idle);
        Response::from_parts(parts, Body::new(body))
    }

    /// Tells the caller of a refusal; a claim that was made for nothing is given back.
    ///
    /// Only a request that was certainly refused by every host it went to gives its
    /// claim back: no host will hand it over any more.
    ///
    /// Failure: a repeatable request runs on one host, breaks, and is refused by the
    /// next. Symptom: its caller is told of the last refusal alone, "not run", which is
    /// false. What any attempt may have done decides, and its reason is told.
    fn give_up(&self, mut forwarding: Forwarding, refusal: Refusal) -> Response<Body> {
        if let Some((response, placed)) = forwarding.failure.take() {
            return self.pass_on(response, placed, forwarding.sent);
        }
        let head = &forwarding.sent.request.head;
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
        self.refuse(&refusal, &head.request)
    }
}
