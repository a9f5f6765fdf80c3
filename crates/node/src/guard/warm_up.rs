//! Polls the upstream for its remaining cold time whenever admission needs it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::http::response::Parts;

use super::{Guard, State, pace};

/// Timeout of a poll. Until the response arrives, the limit on unconfirmed starts applies.
const POLL_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before the next attempt after a poll that failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Polls the upstream when a warm-up check is due.
pub async fn run(guard: Arc<Guard>) {
    loop {
        if is_due(&guard) {
            if !pace::poll(&guard, POLL_TIMEOUT).await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            guard.pump();
        } else {
            guard.warm_up_due.notified().await;
        }
    }
}

/// Applies the cold request rate that the routing table gives for the upstream's service.
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
    /// Wakes the polling task if a warm-up check is due.
    pub(super) fn notify_if_warm_up_due(&self, state: &State, now: Instant) {
        if state.admission.warm_up().is_check_due(now) {
            self.warm_up_due.notify_one();
        }
    }

    /// Records the remaining cold time from the response to a poll that was sent at
    /// `sent_at`. Returns false if it comes from an instance other than the current one. A response
    /// without the header comes from a warm upstream.
    pub(super) fn record_warm_up(&self, sent_at: Instant, now: Instant, parts: &Parts) -> bool {
        let mut state = self.state.lock();
        let instance = self.upstream.instance(&parts.headers);
        if instance.as_ref() != state.instance.current() {
            return false;
        }
        let cold_for = self.upstream.cold_for(&parts.headers).unwrap_or_default();
        let was_cold = state.admission.warm_up().is_cold(now);
        let warm_up = state.admission.warm_up_mut();
        warm_up.record_check(sent_at, now, cold_for);
        let is_cold = warm_up.is_cold(now);
        drop(state);
        self.record_check(sent_at, &parts.headers);
        if is_cold && !was_cold {
            log::info!(cold_ms:% = cold_for.as_millis(); "upstream is cold");
        }
        if is_cold != was_cold {
            self.reporting.notify_change();
        }
        true
    }
}
