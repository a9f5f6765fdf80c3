//! Which requests may use the retry budget where calls of running requests are observed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::outcome::Outcome;
use mintridge_core::retry::{Chances, Ranks};
use parking_lot::Mutex;

use super::Entry;
use super::attempt::Attempt;
use super::forward::Forwarding;
use crate::arrival;
use crate::metrics::Withheld;

/// Time for which a call counts as observed.
const OBSERVED_FOR: Duration = Duration::from_secs(10);

/// Recent requests of each service.
pub type Services = Mutex<HashMap<Arc<str>, Service>>;

/// Recent requests of one service.
#[derive(Default)]
pub struct Service {
    ranks: Ranks,
    chances: Chances,
}

impl Entry {
    /// Returns whether the settings reserve part of the budget.
    fn ranks_retries(&self) -> bool {
        self.context.live().retry.reserved_share > 0.0
    }

    /// Records whether a host ran a request that was sent to it.
    pub(super) fn record_chance(&self, service: &Arc<str>, host: &Arc<str>, attempted: &Attempt) {
        if !self.ranks_retries() {
            return;
        }
        let is_run = match attempted {
            Attempt::Answered(_) => true,
            Attempt::Refused { refusal, .. } => refusal.outcome == Outcome::Unknown,
        };
        let mut services = self.retrying.lock();
        let service = services.entry(Arc::clone(service)).or_default();
        service.chances.record(Instant::now(), host, is_run);
    }

    /// Records the rank of a request; returns whether a retry of it may use the reserved part of
    /// the budget.
    pub(super) fn may_use_reserve(&self, request: &arrival::Request) -> bool {
        if !self.ranks_retries() {
            return false;
        }
        let mut services = self.retrying.lock();
        let service = services.entry(Arc::clone(&request.head.service));
        let ranks = &mut service.or_default().ranks;
        ranks.record(Instant::now(), request.head.priority) || request.parent.is_some()
    }

    /// Returns why a retry that the budget allows is not made, if so.
    pub(super) fn retry_withheld(&self, forwarding: &Forwarding) -> Option<Withheld> {
        let now = Instant::now();
        if !self.ranks_retries() || !self.context.calls.lock().has_recent_call(now, OBSERVED_FOR) {
            return None;
        }
        let service = &forwarding.outgoing.request.head.service;
        let tried = forwarding.attempts.tried();
        let is_likely = {
            let placement = self.placement.lock();
            let untried = placement.hosts(service);
            let untried = untried.filter(|host| !tried.contains(host));
            let services = self.retrying.lock();
            let known = services.get(service);
            known.is_none_or(|service| service.chances.has_likely_host(now, untried))
        };
        if !is_likely {
            return Some(Withheld::Unlikely);
        }
        let exceeds_reserve = self.with_budget(service, |budget| budget.exceeds_reserve());
        (!forwarding.may_use_reserve && !exceeds_reserve).then_some(Withheld::Reserved)
    }

    /// Counts and logs a retry that is not made.
    pub(super) fn record_withheld(&self, request_id: &str, withheld: Withheld) {
        self.context.metrics.retry_withheld(withheld);
        if self.log.try_acquire(1) {
            log::info!(request = request_id, cause = withheld.as_str(); "retry withheld");
        }
    }
}
