//! Rewriting of this node's data after the store has been restored from an older copy.

use std::rc::Rc;

use mintridge_store::epoch::Restoration;

use super::Control;

/// Follows the epochs of the store and schedules rewrites when the epoch rises.
///
/// Failure: the store is restored from an older copy and loses its most recent writes. Symptom:
/// this node's seed and the quarantine are missing, or are attached to a lease id that has been
/// granted again, while the node assumes that they are stored. The few nodes that follow the store
/// write everything again that they wrote before.
pub async fn follow(control: Rc<Control>) {
    let mut newest = control.store.epochs().subscribe();
    let mut previous = *newest.borrow_and_update();
    while newest.changed().await.is_ok() {
        let current = *newest.borrow_and_update();
        if let Some(restoration) = Restoration::between(previous, current) {
            handle_restore(&control, restoration);
        }
        previous = current;
    }
}

fn handle_restore(control: &Control, restoration: Restoration) {
    let has_quarantined = !control.state.borrow().quarantine.quarantined().is_empty();
    let had_seed = control.state.borrow_mut().seed_lease.take().is_some();
    log::warn!(
        epoch_before = restoration.before.0,
        epoch = restoration.now.0,
        had_entry = had_seed,
        holds_back = has_quarantined;
        "store restored from an older copy; rewriting this node's seed and the quarantine"
    );
    control.context.metrics.record_store_restore();
    control.store_recovered.set(true);
    if has_quarantined {
        control.quarantine_changed.notify_one();
    }
}
