//! What this node writes again when the store has come back from an older copy.

use std::rc::Rc;

use mintridge_store::epoch::Rise;

use super::Control;

/// Follows the epochs of the store.
///
/// Failure: the store loses its newest seconds. Symptom: this node's entry and what is held back
/// are gone, or hang on a lease that was given out anew, while the node takes them for written.
/// Whatever it wrote before is written again, by the few nodes that use the store.
pub async fn follow(control: Rc<Control>) {
    let mut newest = control.store.epochs().subscribe();
    let mut before = *newest.borrow_and_update();
    while newest.changed().await.is_ok() {
        let now = *newest.borrow_and_update();
        if let Some(rise) = Rise::between(before, now) {
            returned(&control, rise);
        }
        before = now;
    }
}

fn returned(control: &Control, rise: Rise) {
    let holds_back = !control.state.borrow().quarantine.quarantined().is_empty();
    let had_entry = control.state.borrow_mut().seed_lease.take().is_some();
    log::warn!(
        epoch_before = rise.before.0,
        epoch = rise.now.0,
        had_entry = had_entry,
        holds_back = holds_back;
        "the store came back from an older copy: what was written there is written again"
    );
    control.context.metrics.store_return();
    control.store_regained.set(true);
    if holds_back {
        control.held_changed.notify_one();
    }
}
