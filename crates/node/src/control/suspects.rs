//! Requests suspected of crashing upstreams: events of the guard, evidence from other nodes, and
//! the quarantine.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::quarantine::{Change, Event, Suspect};
use tokio::sync::mpsc;

use super::Control;
use crate::request_log::millis;

/// Maximum number of requests logged per change, so that a flood of them does not fill the log.
const MAX_LOGGED_CHANGES: usize = 8;

/// Records events of the guard until the thread ends.
pub async fn receive(control: Rc<Control>, mut events: mpsc::Receiver<Event>) {
    while let Some(event) = events.recv().await {
        let now = Instant::now();
        if matches!(event, Event::Crashed { .. }) {
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
    let before = fingerprints(&control.state.borrow().quarantine.quarantined());
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
    let after = control.state.borrow().quarantine.quarantined();
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

fn fingerprints(suspects: &[Suspect]) -> BTreeSet<Fingerprint> {
    suspects.iter().map(|suspect| suspect.fingerprint).collect()
}

fn log_changes(before: &BTreeSet<Fingerprint>, after: &[Suspect]) {
    let is_new = |suspect: &&Suspect| !before.contains(&suspect.fingerprint);
    for suspect in after.iter().filter(is_new).take(MAX_LOGGED_CHANGES) {
        log::warn!(
            fingerprint:% = suspect.fingerprint,
            ends = suspect.crashes.len(),
            trials = suspect.trials;
            "request quarantined: upstreams crashed while it was in progress"
        );
    }
    for fingerprint in before
        .difference(&fingerprints(after))
        .take(MAX_LOGGED_CHANGES)
    {
        log::info!(
            fingerprint:% = fingerprint;
            "request is no longer quarantined"
        );
    }
}
