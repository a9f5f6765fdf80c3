//! Requests suspected of crashing upstreams: events of the guard, evidence from other nodes, and
//! the quarantine.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::quarantine::{Change, Event, Suspect};
use mintridge_core::screen::Hold;
use tokio::sync::mpsc;

use super::Control;
use crate::request_log::millis;

/// Maximum number of requests logged per change, so that a flood of them does not fill the log.
const MAX_LOGGED_CHANGES: usize = 8;

/// Requests that a node refuses.
type Refused = BTreeMap<Fingerprint, (Suspect, Hold)>;

/// Records events of the guard until the thread ends.
pub async fn receive(control: Rc<Control>, mut events: mpsc::Receiver<Event>) {
    while let Some(event) = events.recv().await {
        let now = Instant::now();
        if matches!(event, Event::Crashed { .. } | Event::Restarted { .. }) {
            log_crash(&control, now);
        }
        update(&control, |control| {
            control.state.borrow_mut().quarantine.record(now, event)
        });
    }
}

/// Merges evidence received from another node or loaded from the store.
pub fn merge(control: &Control, now: Instant, suspects: Vec<Suspect>) {
    if suspects.is_empty() {
        return;
    }
    update(control, |control| {
        control.state.borrow_mut().quarantine.merge(now, suspects)
    });
}

/// Updates whether the quarantine treats this node as isolated.
///
/// Called after the evidence of a peer or of the store has been merged, so that a request is not let
/// through between its provisional quarantine and the one that the evidence establishes.
pub fn update_isolation(control: &Control, now: Instant) {
    let is_isolated = control.may_lack_quarantine(now);
    update(control, |control| {
        let mut state = control.state.borrow_mut();
        state.quarantine.set_isolated(now, is_isolated)
    });
}

/// Removes expired evidence.
pub fn tick(control: &Control, now: Instant) {
    update(control, |control| {
        control.state.borrow_mut().quarantine.expire(now)
    });
}

/// Applies an operation, publishes its result to the other threads and pushes urgent changes to a
/// few peers at once.
///
/// Failure: three nodes each know of one crash, and a gossip round with one peer takes half a
/// second. Symptom: upstreams go on crashing until one node knows of all three crashes. An urgent
/// update is therefore pushed to a few peers at once, and each peer to which it is new does the
/// same.
fn update(control: &Control, operation: impl FnOnce(&Control) -> Change) {
    let before = refused(control);
    let digest = control.state.borrow().quarantine.digest();
    let change = operation(control);
    if change == Change::None {
        return;
    }
    let state = control.state.borrow();
    let screen = Arc::new(state.quarantine.screen());
    let suspects = state.quarantine.len();
    let quarantine_changed = state.quarantine.digest() != digest;
    drop(state);
    control.context.latest.screen.send_replace(screen);
    let after = refused(control);
    control.context.metrics.suspects(suspects, after.len());
    log_changes(&before, &after);
    if change == Change::Urgent {
        control.updates_due.notify_one();
    }
    if quarantine_changed {
        control.quarantine_changed.notify_one();
    }
}

/// Logs how current this node's quarantine is when its upstream crashes.
fn log_crash(control: &Control, now: Instant) {
    let state = control.state.borrow();
    let peer_heard = state.last_contact_at.map(|at| now - at);
    log::info!(
        peer_heard_ms:? = peer_heard.map(millis),
        list_read = control.quarantine_loaded.get(),
        suspects = state.quarantine.len(),
        quarantined = state.quarantine.quarantined().len();
        "upstream crash recorded as evidence"
    );
}

/// Returns the requests that this node refuses.
fn refused(control: &Control) -> Refused {
    let refused = control.state.borrow().quarantine.refused();
    let refused = refused.into_iter();
    refused
        .map(|(suspect, hold)| (suspect.fingerprint, (suspect, hold)))
        .collect()
}

fn log_changes(before: &Refused, after: &Refused) {
    let is_new = |(suspect, hold): &&(Suspect, Hold)| {
        let previous = before.get(&suspect.fingerprint);
        previous.is_none_or(|(_, previous)| previous.is_provisional != hold.is_provisional)
    };
    for (suspect, hold) in after.values().filter(is_new).take(MAX_LOGGED_CHANGES) {
        let ends = suspect.crashes.len();
        let trials = suspect.trials;
        if hold.is_provisional {
            log::warn!(
                fingerprint:% = suspect.fingerprint, ends = ends, trials = trials;
                "request quarantined provisionally: the upstream crashed while it was in progress, and this node is isolated"
            );
        } else {
            log::warn!(
                fingerprint:% = suspect.fingerprint, ends = ends, trials = trials;
                "request quarantined: upstreams crashed while it was in progress"
            );
        }
    }
    let is_released = |fingerprint: &&Fingerprint| !after.contains_key(fingerprint);
    for fingerprint in before.keys().filter(is_released).take(MAX_LOGGED_CHANGES) {
        log::info!(
            fingerprint:% = fingerprint;
            "request is no longer quarantined"
        );
    }
}
