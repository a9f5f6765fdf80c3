//! Requests that end upstreams: what the guard saw, what other nodes tell, and what is held back.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::quarantine::{Change, Event, Suspect};
use tokio::sync::mpsc;

use super::Control;

/// Requests of one change told one by one up to this many, so that a flood of them does not fill
/// the log.
const CHANGES_TOLD: usize = 8;

/// Takes in what the guard saw until the thread ends.
pub async fn take(control: Rc<Control>, mut events: mpsc::Receiver<Event>) {
    while let Some(event) = events.recv().await {
        let now = Instant::now();
        change(&control, |control| {
            control.state.borrow_mut().quarantine.record(now, event)
        });
    }
}

/// Takes in what another node tells.
pub fn merge(control: &Control, now: Instant, suspects: Vec<Suspect>) {
    if suspects.is_empty() {
        return;
    }
    change(control, |control| {
        control.state.borrow_mut().quarantine.merge(now, suspects)
    });
}

/// Forgets what is due.
pub fn tick(control: &Control, now: Instant) {
    change(control, |control| {
        control.state.borrow_mut().quarantine.expire(now)
    });
}

/// Shows the other duties what a change came to, and tells peers at once.
///
/// Failure: each of three nodes knows one end, and a round with one peer takes half a second.
/// Symptom: upstreams go on ending until all three are known in one place. An update goes to a
/// few peers at once, and each to whom it is new does the same.
fn change(control: &Control, act: impl FnOnce(&Control) -> Change) {
    let before = fingerprints(&control.state.borrow().quarantine.quarantined());
    let digest = control.state.borrow().quarantine.digest();
    let change = act(control);
    if change == Change::None {
        return;
    }
    let state = control.state.borrow();
    let screen = Arc::new(state.quarantine.screen());
    let suspects = state.quarantine.len();
    let held_changed = state.quarantine.digest() != digest;
    drop(state);
    control.context.latest.screen.send_replace(screen);
    let after = control.state.borrow().quarantine.quarantined();
    control.context.metrics.suspects(suspects, after.len());
    log_changes(&before, &after);
    if change == Change::Urgent {
        control.updates_due.notify_one();
    }
    if held_changed {
        control.held_changed.notify_one();
    }
}

fn fingerprints(held: &[Suspect]) -> BTreeSet<Fingerprint> {
    held.iter().map(|suspect| suspect.fingerprint).collect()
}

fn log_changes(before: &BTreeSet<Fingerprint>, after: &[Suspect]) {
    let is_new = |held: &&Suspect| !before.contains(&held.fingerprint);
    for held in after.iter().filter(is_new).take(CHANGES_TOLD) {
        log::warn!(
            fingerprint:% = held.fingerprint,
            ends = held.crashes.len(),
            trials = held.trials;
            "request is held back: upstreams ended under it"
        );
    }
    for fingerprint in before.difference(&fingerprints(after)).take(CHANGES_TOLD) {
        log::info!(
            fingerprint:% = fingerprint;
            "request is no longer held back"
        );
    }
}
