//! Asks the upstream beside the node by a health check which instance runs: before it announces
//! itself, and when an announcement would start another incarnation.
//!
//! Failure: the node restarts while its upstream keeps running. Symptom: until the next
//! announcement, a second or more, the upstream is idle and the others carry its load; or a late
//! announcement of a former incarnation is taken for its start. The response to the health check
//! names the instance and its slots at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use hyper::header::HeaderMap;
use mintridge_core::instance::{Answer, Decision};
use parking_lot::MutexGuard;
use tokio::task::JoinSet;

use super::follow::Previous;
use super::{Guard, State};
use crate::announcement::Announcement;

/// Delay between two health checks. Several fit into the interval between two announcements.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a health check. It is longer than the interval, since the response of a slow upstream
/// may be the only one that states that it is leaving.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of health checks of an upstream that has not announced itself: if it answers none
/// of them it is down, and it announces itself once it runs again. Also the maximum number of
/// health checks in progress.
const MAX_CHECKS: usize = 10;

/// A response to a health check.
struct Checked {
    sent_at: Instant,
    status: StatusCode,
    headers: HeaderMap,
    /// Whether it decides if the current instance is still leaving.
    rechecks_leaving: bool,
}

/// Runs a discovery at startup, after each response of an instance other than the expected one, and
/// for each announcement that the upstream has to confirm.
pub async fn run(guard: Arc<Guard>) {
    guard.discovery_due.notify_one();
    loop {
        guard.discovery_due.notified().await;
        wait_for_health_path(&guard).await;
        ask(&guard).await;
    }
}

/// Sends health checks until one decides which instance runs. A check that is lost or slow delays
/// the next one no more than a check that fails at once.
async fn ask(guard: &Arc<Guard>) {
    let mut checks = JoinSet::new();
    let mut checks_left = MAX_CHECKS;
    let mut next_at = Instant::now();
    loop {
        let is_due = is_due(guard, checks_left);
        if is_due && Instant::now() >= next_at {
            if checks.len() < MAX_CHECKS {
                checks.spawn(check_health(Arc::clone(guard)));
            }
            checks_left = checks_left.saturating_sub(1);
            next_at = Instant::now() + CHECK_INTERVAL;
        } else if !is_due && checks.is_empty() {
            return;
        }
        tokio::select! {
            Some(checked) = checks.join_next() => if let Ok(Some(checked)) = checked {
                guard.apply_check(&checked);
            },
            () = tokio::time::sleep_until(next_at.into()), if is_due => {}
            () = guard.discovery_due.notified() => {
                checks_left = MAX_CHECKS;
                next_at = Instant::now();
            }
        }
    }
}

fn is_due(guard: &Guard, checks_left: usize) -> bool {
    let mut state = guard.state.lock();
    let is_unknown = state.announcement.is_none() && checks_left > 0;
    let is_known_path = target(guard, &state).is_some();
    let awaits_answer = state.instance.awaits_answer(Instant::now());
    is_known_path && (is_unknown || awaits_answer || state.leaving_recheck)
}

/// Waits until it is known where to send health checks, or another one is due.
async fn wait_for_health_path(guard: &Guard) {
    if guard.context.settings.upstream.address.is_none() || has_target(guard) {
        return;
    }
    let mut routes = guard.context.latest.routes.subscribe();
    tokio::select! {
        _ = routes.wait_for(Option::is_some) => {}
        () = guard.discovery_due.notified() => {}
    }
}

fn has_target(guard: &Guard) -> bool {
    target(guard, &guard.state.lock()).is_some()
}

/// Returns the address and path of health checks. The path is that of the service in the routing
/// table; before a table is known, that of an announcement.
fn target(guard: &Guard, state: &State) -> Option<(SocketAddr, Arc<str>)> {
    let settings = &guard.context.settings;
    let announced = state.held.last().or(state.announcement.as_ref());
    let announced_address = announced.map(|announcement| announcement.address);
    let address = settings.upstream.address.or(announced_address)?;
    let announced_path = announced.map(|announcement| Arc::clone(&announcement.health_path));
    let routes = guard.context.latest.routes.borrow();
    let path = match routes.as_ref() {
        Some(document) => {
            let service = document.table.services.get(&*settings.callers.origin);
            let path = service.map(|service| Arc::clone(&service.health_path));
            path.or(announced_path).unwrap_or_else(default_path)
        }
        None if settings.routes.key.is_some() => announced_path?,
        None => announced_path.unwrap_or_else(default_path),
    };
    Some((address, path))
}

fn default_path() -> Arc<str> {
    Announcement::default().health_path
}

/// Sends one health check; returns `None` without a response.
async fn check_health(guard: Arc<Guard>) -> Option<Checked> {
    let (target, rechecks_leaving) = {
        let mut state = guard.state.lock();
        let rechecks_leaving = std::mem::take(&mut state.leaving_recheck);
        (target(&guard, &state), rechecks_leaving)
    };
    let (address, path) = target?;
    let sent_at = Instant::now();
    let check = guard.upstream.check(address, &path);
    match tokio::time::timeout(CHECK_TIMEOUT, check).await {
        Ok(Ok(parts)) => Some(Checked {
            sent_at,
            status: parts.status,
            headers: parts.headers,
            rechecks_leaving,
        }),
        Ok(Err(error)) => {
            log::info!(
                upstream:% = address, error:% = error;
                "health check of the upstream failed"
            );
            None
        }
        Err(_) => {
            log::info!(upstream:% = address; "health check of the upstream timed out");
            None
        }
    }
}

impl Guard {
    /// Applies the response to a health check. All of it takes effect at once: the gate must not be
    /// open between the start of an instance and its statement that it is leaving.
    fn apply_check(&self, checked: &Checked) {
        let Some(instance) = self.upstream.instance(&checked.headers) else {
            log::warn!("health check response lacks the instance");
            return;
        };
        let now = Instant::now();
        let answer = Answer {
            instance: &instance,
            ready: checked.status.is_success(),
            leaving: self.upstream.notice(&checked.headers).leaving,
        };
        let mut state = self.state.lock();
        let previous = Previous::of(&state);
        let decision = state.instance.record_answer(checked.sent_at, now, &answer);
        log_answer(checked, &answer, decision);
        match decision {
            Decision::Undecided => {}
            Decision::Current => {
                self.apply_held(&mut state, now, &previous);
                self.apply_leaving_check(&mut state, checked, &answer);
            }
            Decision::Unannounced => {
                self.reset_after_restart(&mut state);
                state.announcement = None;
            }
            Decision::Started => self.apply_confirmed(&mut state, now, &previous),
        }
        // The check was sent before the previous instance was known to be gone.
        let is_start = matches!(decision, Decision::Unannounced | Decision::Started);
        let sent_at = if is_start {
            Instant::now()
        } else {
            checked.sent_at
        };
        if decision != Decision::Undecided {
            self.complete_check(&mut state, sent_at, checked, &answer);
        }
        self.drop_ignored(&mut state);
        drop(state);
        self.record_check(sent_at, &checked.headers);
        self.publish();
        self.pump();
    }

    /// Applies what the response of the current instance states about itself.
    fn complete_check(
        &self,
        state: &mut MutexGuard<'_, State>,
        sent_at: Instant,
        checked: &Checked,
        answer: &Answer<'_>,
    ) {
        let now = Instant::now();
        if answer.leaving && state.gate.record_leaving_response(sent_at, now) {
            self.reporting.notify_change();
        }
        if state.announcement.is_some() || !(answer.ready || answer.leaving) {
            return;
        }
        match read_announcement(self, state, &checked.headers) {
            Some(announcement) => self.apply_contents(state, now, announcement),
            None => log::warn!("health check response lacks the load"),
        }
    }

    /// Ends what the instance stated about leaving in an earlier health check, if this one no longer
    /// states it.
    ///
    /// Failure: an upstream restarts under the id under which it was leaving, and announcements have
    /// no start time by which to tell. Symptom: it is shut out until the node restarts.
    fn apply_leaving_check(&self, state: &mut State, checked: &Checked, answer: &Answer<'_>) {
        let is_over = checked.rechecks_leaving && answer.ready && !answer.leaving;
        if is_over && state.gate.states_leaving() {
            state.gate.reset_after_restart(Instant::now());
            state.adopted = None;
            state.leaving_checked = false;
            log::info!(
                instance = &**answer.instance;
                "upstream no longer states that it is leaving"
            );
            self.reporting.notify_change();
        }
    }
}

/// Logs which instance answered a health check, and what that decided.
fn log_answer(checked: &Checked, answer: &Answer<'_>, decision: Decision) {
    log::info!(
        instance = &**answer.instance,
        status = checked.status.as_u16(),
        leaving = answer.leaving,
        took_ms:% = checked.sent_at.elapsed().as_millis(),
        decision:? = decision;
        "upstream answered a health check"
    );
}

/// Reads what an announcement would say from the response to a health check.
fn read_announcement(guard: &Guard, state: &State, headers: &HeaderMap) -> Option<Announcement> {
    let (address, health_path) = target(guard, state)?;
    Some(Announcement {
        service: Arc::from(guard.context.settings.callers.origin.as_str()),
        address,
        slots: guard.upstream.load(headers)?.slots,
        health_path,
        cold_for: guard.upstream.cold_for(headers).unwrap_or_default(),
        instance: guard.upstream.instance(headers)?,
        ..Announcement::default()
    })
}
