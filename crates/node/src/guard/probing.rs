//! Probes of a doubtful upstream: from one place, one at a time, under one budget.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Empty;
use hyper::{Method, Request};
use mintridge_core::health::Verdict;
use mintridge_core::probe::Reservation;

use super::Guard;
use super::follow::TICK;
use crate::announcement::Announcement;

/// When to ask a budget again that grants nothing.
const NO_BUDGET_AGAIN: Duration = Duration::from_secs(1);

/// Probes a doubtful upstream, from here alone and within the budget.
pub async fn when_due(guard: Arc<Guard>) {
    let mut doubts = guard.context.latest.guarded.subscribe();
    loop {
        let due = guard.state.lock().health.probe_at();
        match due {
            None => {
                if doubts.changed().await.is_err() {
                    return;
                }
            }
            Some(at) if Instant::now() < at => tokio::time::sleep_until(at.into()).await,
            Some(_) => once(&guard).await,
        }
    }
}

async fn once(guard: &Guard) {
    let began = Instant::now();
    let Some((announcement, reservation)) = reserve(guard, began) else {
        return;
    };
    let verdict = probe(guard, &announcement).await;
    let ended = Instant::now();
    guard.context.metrics.probe(verdict);
    let mut state = guard.state.lock();
    state.budget.refund(&reservation, ended - began);
    state.health.record_probe_result(ended, verdict);
}

/// Takes the cost of one probe out of the budget, or waits for it to be there.
fn reserve(guard: &Guard, now: Instant) -> Option<(Announcement, Reservation)> {
    let mut state = guard.state.lock();
    let Some(announcement) = state.announcement.clone() else {
        state.health.postpone_probe(now + TICK);
        return None;
    };
    match state.budget.reserve(now) {
        Ok(reservation) => {
            state.health.record_probe_sent();
            Some((announcement, reservation))
        }
        Err(at) => {
            state
                .health
                .postpone_probe(at.unwrap_or(now + NO_BUDGET_AGAIN));
            None
        }
    }
}

async fn probe(guard: &Guard, announcement: &Announcement) -> Verdict {
    let uri = format!(
        "http://{}{}",
        announcement.address, announcement.health_path
    );
    let request = Request::builder()
        .method(Method::GET)
        .uri(uri)
        .body(Empty::new());
    let Ok(request) = request else {
        return Verdict::Failed;
    };
    let timeout = guard.context.settings.probe.timeout;
    match tokio::time::timeout(timeout, guard.prober.request(request)).await {
        Ok(Ok(response)) if response.status().is_success() => Verdict::Answered,
        _ => Verdict::Failed,
    }
}
