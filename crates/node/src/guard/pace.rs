//! Polls the upstream for its host's current speed when there is no recent report.
//!
//! A request that starts on a slow host stays slow until it ends, and a host is slow for phases of
//! some hundred milliseconds, so a report that is older than one phase is useless. Under load each
//! response carries a report. With little traffic, the guard polls the upstream before it starts a
//! request, over a connection that is already open and within the budget for pace polls. Without
//! budget, it uses the last report.
//!
//! A poll that is lost or slow permits nothing: whether requests may start at all is for the gate,
//! which opens only to an instance that the upstream or a second announcement confirmed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::probe::Reservation;

use super::Guard;
use crate::announcement::Announcement;

/// Timeout of a poll, and so the longest delay that it adds to a request. The upstream is on the
/// same host and answers polls at once.
const POLL_TIMEOUT: Duration = Duration::from_millis(15);
/// Interval between polls while requests wait for the end of a slow phase, which lasts some hundred
/// milliseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Allows one poll at a time; requests that arrive meanwhile share its result.
#[derive(Default)]
pub struct Pace {
    poll: tokio::sync::Mutex<()>,
}

/// Polls the upstream unless there is a recent report.
pub async fn refresh(guard: &Guard) {
    if !guard.upstream.reports_load() || has_recent_pace(guard) || names_limit(guard) {
        return;
    }
    let _poll = guard.pace.poll.lock().await;
    if !has_recent_pace(guard) {
        poll(guard, POLL_TIMEOUT).await;
    }
}

/// Polls the upstream for its host's speed (the pace) and its remaining cold time. Returns false
/// without budget or without a response from the current instance.
pub async fn poll(guard: &Guard, timeout: Duration) -> bool {
    let started_at = Instant::now();
    let Some((announcement, reservation)) = reserve(guard, started_at) else {
        return false;
    };
    let request = guard
        .upstream
        .get(announcement.address, &announcement.health_path);
    let result = tokio::time::timeout(timeout, request).await;
    let now = Instant::now();
    guard
        .state
        .lock()
        .pace_budget
        .refund(&reservation, now - started_at);
    guard.context.metrics.record_pace_poll();
    match result {
        Ok(Ok(parts)) => {
            guard.observe_load(now, guard.upstream.load(&parts.headers).as_ref());
            guard.record_warm_up(started_at, now, &parts)
        }
        Ok(Err(error)) => {
            log::debug!(error:% = error; "poll of the upstream failed");
            false
        }
        Err(_) => {
            log::debug!("poll of the upstream timed out");
            false
        }
    }
}

/// Polls the upstream repeatedly while requests wait for the end of a slow phase.
pub async fn poll_in_slow_phase(guard: Arc<Guard>) {
    loop {
        let is_waiting = guard
            .state
            .lock()
            .admission
            .is_waiting_for_slow_phase(Instant::now());
        if is_waiting {
            refresh(&guard).await;
            guard.pump();
            tokio::time::sleep(POLL_INTERVAL).await;
        } else {
            guard.slow_phase_wait.notified().await;
        }
    }
}

/// Whether the upstream names a request limit. Its responses report the pace, and polls would add to
/// what it takes.
fn names_limit(guard: &Guard) -> bool {
    guard
        .state
        .lock()
        .admission
        .request_limit()
        .rate()
        .is_some()
}

fn has_recent_pace(guard: &Guard) -> bool {
    guard.state.lock().admission.has_recent_pace(Instant::now())
}

fn reserve(guard: &Guard, now: Instant) -> Option<(Announcement, Reservation)> {
    let mut state = guard.state.lock();
    let announcement = state.announcement.clone()?;
    let reservation = state.pace_budget.reserve(now).ok()?;
    Some((announcement, reservation))
}
