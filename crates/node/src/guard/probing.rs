//! Probes a doubtful upstream: only its own node sends probes, one at a time and within one budget.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::health::Verdict;
use mintridge_core::probe::Reservation;

use super::Guard;
use super::follow::TICK;
use crate::announcement::Announcement;

/// Retry delay when the budget grants no probes at all.
const BUDGET_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Sends each probe when it is due and the budget allows it.
pub async fn run(guard: Arc<Guard>) {
    let mut guarded = guard.context.latest.guarded.subscribe();
    loop {
        let due = guard.state.lock().health.probe_at();
        match due {
            None => {
                if guarded.changed().await.is_err() {
                    return;
                }
            }
            Some(at) if Instant::now() < at => tokio::time::sleep_until(at.into()).await,
            Some(_) => probe_once(&guard).await,
        }
    }
}

async fn probe_once(guard: &Guard) {
    let started_at = Instant::now();
    let Some((announcement, reservation)) = reserve(guard, started_at) else {
        return;
    };
    let verdict = probe(guard, &announcement).await;
    let ended_at = Instant::now();
    guard.context.metrics.probe(verdict);
    let mut state = guard.state.lock();
    state
        .probe_budget
        .refund(&reservation, ended_at - started_at);
    state.health.record_probe_result(ended_at, verdict);
}

/// Reserves the cost of one probe from the budget, or postpones the probe until the budget allows
/// it.
fn reserve(guard: &Guard, now: Instant) -> Option<(Announcement, Reservation)> {
    let mut state = guard.state.lock();
    let Some(announcement) = state.announcement.clone() else {
        state.health.postpone_probe(now + TICK);
        return None;
    };
    match state.probe_budget.reserve(now) {
        Ok(reservation) => {
            state.health.record_probe_sent();
            Some((announcement, reservation))
        }
        Err(at) => {
            state
                .health
                .postpone_probe(at.unwrap_or(now + BUDGET_RETRY_DELAY));
            None
        }
    }
}

async fn probe(guard: &Guard, announcement: &Announcement) -> Verdict {
    let timeout = guard.context.settings.probe.timeout;
    let sent_at = Instant::now();
    let check = guard
        .upstream
        .check(announcement.address, &announcement.health_path);
    match tokio::time::timeout(timeout, check).await {
        Ok(Ok(response)) => {
            guard.record_check(sent_at, &response.headers);
            if response.status.is_success() {
                Verdict::Answered
            } else {
                Verdict::Failed
            }
        }
        _ => Verdict::Failed,
    }
}
