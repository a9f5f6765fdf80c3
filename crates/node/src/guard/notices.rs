//! Applies what the upstream states about itself in its responses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderMap;
use mintridge_core::notice::{Known, Limit, Notice};
use mintridge_core::request_limit::{Observation, Origin};
use parking_lot::MutexGuard;

use super::{Guard, State, pace};
use crate::headers;

/// Interval at which it is determined whether a check of an upstream that names a limit is due.
const CHECK_TICK: Duration = Duration::from_millis(250);
/// Timeout of such a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// A response of the current instance.
pub struct Statement {
    /// Kind of request that it answers.
    pub origin: Origin,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the head of the response was received.
    pub received_at: Instant,
    /// What the upstream states.
    pub notice: Notice,
}

/// Checks an upstream that names a limit when no response has arrived for a while, to learn when
/// the limit ends.
pub async fn check_limit(guard: Arc<Guard>) {
    loop {
        let has_limit = guard
            .state
            .lock()
            .admission
            .request_limit()
            .rate()
            .is_some();
        if !has_limit {
            guard.limit_named.notified().await;
        }
        if begin_check(&guard) && pace::poll(&guard, CHECK_TIMEOUT).await {
            guard.pump();
        }
        tokio::time::sleep(CHECK_TICK).await;
    }
}

/// Returns whether a check is due, and records it if so.
fn begin_check(guard: &Guard) -> bool {
    let now = Instant::now();
    let mut state = guard.state.lock();
    let limit = state.admission.request_limit_mut();
    let is_due = limit.is_check_due(now);
    if is_due {
        limit.record_check(now);
    }
    is_due
}

impl Guard {
    /// Records the statements of one response of the current instance.
    pub(super) fn record_notice(&self, statement: &Statement) {
        let Statement { origin, notice, .. } = *statement;
        // The usual response states nothing, and is not counted.
        if notice != Notice::default() {
            self.context.metrics.notice(origin.as_str(), notice);
        }
        if notice.limit == Limit::Unreadable {
            self.context.metrics.bad_input("request-limit");
            if self.log.try_acquire(1) {
                log::warn!(from = origin.as_str(); "upstream named an unreadable request limit");
            }
        }
        let now = Instant::now();
        let mut state = self.state.lock();
        state.leaving_checked |= notice.leaving && matches!(origin, Origin::Check);
        let leaves = notice.leaving && state.gate.record_leaving_response(statement.sent_at, now);
        let has_changed = state.admission.request_limit_mut().record(&Observation {
            origin,
            sent_at: statement.sent_at,
            received_at: statement.received_at,
            limit: notice.limit,
        });
        if leaves || has_changed {
            self.apply_change(state, origin.as_str());
        }
    }

    /// Records the statements of the response to a check that was sent at `sent_at`, if it comes
    /// from the current instance.
    pub(super) fn record_check(&self, sent_at: Instant, headers: &HeaderMap) {
        let instance = self.upstream.instance(headers);
        if instance.is_none() || instance.as_ref() != self.state.lock().instance.current() {
            return;
        }
        self.record_notice(&Statement {
            origin: Origin::Check,
            sent_at,
            received_at: Instant::now(),
            notice: self.upstream.notice(headers),
        });
    }

    /// Adopts the statements of the current incarnation that another node received and this process
    /// did not.
    ///
    /// After a restart of this process the start time of the incarnation is not known until its
    /// first announcement; what is adopted meanwhile is checked against that.
    pub(super) fn adopt_known(&self, now: Instant, known: &Known) {
        let mut state = self.state.lock();
        if !state.instance.may_be_current(&known.instance, known.born) {
            return;
        }
        let leaves = known.leaving && state.gate.record_leaving_response(now, now);
        let limit = known.requests_per_second;
        let adopts =
            limit.is_some_and(|limit| state.admission.request_limit_mut().adopt(now, limit));
        if leaves || adopts {
            state.adopted = Some(known.clone());
            self.apply_change(state, "peer");
        }
    }

    /// Drops what was adopted if an announcement shows that it is of another incarnation.
    pub(super) fn check_adopted(state: &mut State, now: Instant) {
        let is_other =
            |known: &mut Known| !state.instance.may_be_current(&known.instance, known.born);
        if state.adopted.take_if(is_other).is_some() {
            state.gate.reset_after_restart(now);
            state.admission.request_limit_mut().reset_after_restart(now);
        }
    }

    /// Adds the known statements of the upstream, if there are any, to a response to a peer.
    pub(super) fn write_known(&self, headers: &mut HeaderMap) {
        let state = self.state.lock();
        let leaving = state.gate.states_leaving();
        let requests_per_second = state.admission.request_limit().rate();
        let Some(instance) = state.instance.current() else {
            return;
        };
        if leaving || requests_per_second.is_some() {
            let adopted = state.adopted.as_ref();
            let adopted_born = adopted.and_then(|adopted| adopted.born);
            let known = Known {
                instance: Arc::clone(instance),
                born: state.instance.current_born().or(adopted_born),
                leaving,
                requests_per_second,
            };
            headers::write_known(&known, headers);
        }
    }

    /// Notifies the node's other tasks, and logs what the upstream states now.
    fn apply_change(&self, state: MutexGuard<'_, State>, from: &'static str) {
        let rate = state.admission.request_limit().rate();
        let leaving = state.gate.states_leaving();
        let instance = state.instance.current().cloned();
        drop(state);
        self.publish();
        self.reporting.notify_change();
        self.queued.notify_one();
        self.limit_named.notify_one();
        if self.log.try_acquire(1) {
            log::info!(
                from = from,
                instance:? = instance,
                requests_per_second:? = rate,
                leaving = leaving;
                "upstream changed its request limit or states that it is leaving"
            );
        }
    }
}
