//! Asks the upstream how much longer it stays cold, whenever that has to be known.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::http::response::Parts;

use super::{Guard, State, pace};

/// Time for an answer; until it comes the bound on unconfirmed starts holds.
const ASK_WITHIN: Duration = Duration::from_millis(150);
/// Pause after a question that brought nothing.
const AGAIN_AFTER: Duration = Duration::from_millis(50);

/// Asks when it is due.
pub async fn when_due(guard: Arc<Guard>) {
    loop {
        if is_due(&guard) {
            if !pace::ask(&guard, ASK_WITHIN).await {
                tokio::time::sleep(AGAIN_AFTER).await;
            }
            guard.pump();
        } else {
            guard.warm_up_due.notified().await;
        }
    }
}

/// Follows the rate that the routing table names for the upstream's service.
pub async fn follow_rate(guard: Arc<Guard>) {
    let mut routes = guard.context.latest.routes.subscribe();
    loop {
        let table = routes.borrow_and_update().clone();
        let service = guard.context.settings.callers.origin.as_str();
        let service = table
            .as_ref()
            .and_then(|document| document.table.services.get(service));
        let rate = service.and_then(|service| service.cold_requests_per_second);
        guard.state.lock().admission.warm_up_mut().set_rate(rate);
        guard.warm_up_due.notify_one();
        if routes.changed().await.is_err() {
            return;
        }
    }
}

fn is_due(guard: &Guard) -> bool {
    let state = guard.state.lock();
    let has_upstream = state.announcement.is_some();
    has_upstream && state.admission.warm_up().is_check_due(Instant::now())
}

impl Guard {
    /// Wakes the task that asks, if a question is due.
    pub(super) fn check_warm_up(&self, state: &State, now: Instant) {
        if state.admission.warm_up().is_check_due(now) {
            self.warm_up_due.notify_one();
        }
    }

    /// Takes what a health check of `asked_at` says of the warm-up; false if it is of another
    /// instance than the present one. One without the header is of an upstream that is warm.
    pub(super) fn warm_up_answered(&self, asked_at: Instant, now: Instant, parts: &Parts) -> bool {
        let mut state = self.state.lock();
        let instance = self.upstream.instance(&parts.headers);
        if instance.as_ref() != state.instance.current() {
            return false;
        }
        let cold_for = self.upstream.cold_for(&parts.headers).unwrap_or_default();
        let was_cold = state.admission.warm_up().is_cold(now);
        let warm_up = state.admission.warm_up_mut();
        warm_up.record_check(asked_at, now, cold_for);
        let is_cold = warm_up.is_cold(now);
        drop(state);
        if is_cold && !was_cold {
            log::info!(cold_ms:% = cold_for.as_millis(); "upstream is cold");
        }
        if is_cold != was_cold {
            self.reporting.changed();
        }
        true
    }
}
