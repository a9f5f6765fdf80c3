//! Evacuated availability zones: what the store and peers say of them.

use std::sync::Arc;
use std::time::Instant;

use mintridge_core::evacuation::{Register, Stamp, Zone};
use mintridge_store::epoch::Epoch;
use mintridge_store::operation::{Change, Item};

use super::Control;

/// Takes what a peer, or a change in the store, says.
pub fn merge(control: &Control, from: &'static str, zones: Vec<Zone>) {
    if !zones.is_empty() {
        change(control, from, |register| register.merge(zones));
    }
}

/// Takes the evacuations among these items, which are all that lie in the store.
pub fn listed(control: &Control, now: Instant, items: &[Item], revision: i64) {
    let zones = items.iter().filter_map(|item| written(control, item));
    let zones: Vec<Zone> = zones.collect();
    let at = stamp(control, revision);
    change(control, "store", |register| {
        register.apply_listing(now, at, zones)
    });
}

/// Takes a change in the store, if it is one of an evacuation.
pub fn changed(control: &Control, change: &Change) {
    let zone = match change {
        Change::Written(item) => written(control, item),
        Change::Deleted { key, revision } => zone(control, key, false, *revision),
    };
    merge(control, "store", zone.into_iter().collect());
}

/// Withdraws what was not written again in time.
pub fn tick(control: &Control, now: Instant) {
    change(control, "time", |register| register.tick(now));
}

fn written(control: &Control, item: &Item) -> Option<Zone> {
    zone(control, &item.key, true, item.revision)
}

fn zone(control: &Control, key: &str, evacuated: bool, revision: i64) -> Option<Zone> {
    let prefix = control.context.settings.routes.evacuations.as_deref()?;
    let name = key.strip_prefix(prefix).filter(|name| !name.is_empty())?;
    Some(Zone {
        name: Arc::from(name),
        evacuated,
        stamp: stamp(control, revision),
    })
}

fn stamp(control: &Control, revision: i64) -> Stamp {
    let epoch = control.store.epochs().newest().unwrap_or(Epoch(0));
    Stamp {
        epoch: epoch.0,
        revision,
    }
}

/// Shows a change to the other duties and to a few peers at once.
fn change(control: &Control, from: &'static str, act: impl FnOnce(&mut Register) -> bool) {
    let changed = act(&mut control.state.borrow_mut().evacuations);
    if !changed {
        return;
    }
    let state = control.state.borrow();
    let zones: Vec<&str> = state.evacuations.evacuated().map(|zone| &**zone).collect();
    log::warn!(from = from, zones = zones.join(" "); "evacuated availability zones changed");
    control.context.metrics.evacuated_zones(zones.len());
    drop(state);
    control.publish();
    control.updates_due.notify_one();
}
