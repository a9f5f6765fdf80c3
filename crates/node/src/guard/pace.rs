//! How fast the upstream's host is at this moment, asked when it was not told lately.
//!
//! Work that begins on a slow host is slow to its end, so what was told a phase ago is of no
//! use. Under load each answer tells it. In quiet times the upstream is asked before a request
//! begins, on a connection that is open anyway, and within the budget for measuring; without
//! budget, what is known has to do.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::probe::Reservation;

use super::Guard;
use crate::announcement::Announcement;

/// Time for an answer: the upstream answers this at once, a hop on the same host away. It is
/// the time that a request may lose.
const ASK_WITHIN: Duration = Duration::from_millis(15);
/// How often it is asked while requests wait for the end of a slow phase, which lasts some
/// hundred milliseconds.
const ASK_EVERY: Duration = Duration::from_millis(40);

/// One question at a time; whoever comes meanwhile shares its answer.
#[derive(Default)]
pub struct Pace {
    asking: tokio::sync::Mutex<()>,
}

/// Asks unless it was told lately.
pub async fn refresh(guard: &Guard) {
    if !guard.upstream.reports_load() || is_known(guard) {
        return;
    }
    let _asking = guard.pace.asking.lock().await;
    if !is_known(guard) {
        ask(guard, ASK_WITHIN).await;
    }
}

/// Asks the upstream for its pace and its warm-up; false without budget, or without an answer of
/// the present instance.
pub async fn ask(guard: &Guard, within: Duration) -> bool {
    let began = Instant::now();
    let Some((announcement, reservation)) = reserve(guard, began) else {
        return false;
    };
    let asked = guard
        .upstream
        .ask(announcement.address, &announcement.health_path);
    let answered = tokio::time::timeout(within, asked).await;
    let now = Instant::now();
    guard
        .state
        .lock()
        .pace_budget
        .refund(&reservation, now - began);
    guard.context.metrics.pace_asked();
    match answered {
        Ok(Ok(parts)) => {
            guard.observe_load(now, guard.upstream.load(&parts.headers).as_ref());
            guard.warm_up_answered(began, now, &parts)
        }
        Ok(Err(error)) => {
            log::debug!(error:% = error; "health check failed");
            false
        }
        Err(_) => {
            log::debug!("health check not answered in time");
            false
        }
    }
}

/// Asks again and again while requests wait for the end of a slow phase.
pub async fn while_held(guard: Arc<Guard>) {
    loop {
        let held = guard
            .state
            .lock()
            .admission
            .is_waiting_for_slow_phase(Instant::now());
        if held {
            refresh(&guard).await;
            guard.pump();
            tokio::time::sleep(ASK_EVERY).await;
        } else {
            guard.pace_held.notified().await;
        }
    }
}

fn is_known(guard: &Guard) -> bool {
    guard.state.lock().admission.has_recent_pace(Instant::now())
}

fn reserve(guard: &Guard, now: Instant) -> Option<(Announcement, Reservation)> {
    let mut state = guard.state.lock();
    let announcement = state.announcement.clone()?;
    let reservation = state.pace_budget.reserve(now).ok()?;
    Some((announcement, reservation))
}
