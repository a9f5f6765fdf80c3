//! Evacuations of availability zones, as reported by the store and by peers.

use std::sync::Arc;
use std::time::Instant;

use mintridge_core::evacuation::{Register, Stamp, Zone};
use mintridge_store::epoch::Epoch;
use mintridge_store::operation::{Change, Item};

use super::Control;

/// Merges zones reported by a peer or by a change in the store.
pub fn merge(control: &Control, from: &'static str, zones: Vec<Zone>) {
    if !zones.is_empty() {
        update(control, from, |register| register.merge(zones));
    }
}

/// Applies a listing of the store; `items` contains all evacuations that are stored there.
pub fn apply_listing(control: &Control, now: Instant, items: &[Item], revision: i64) {
    let zones = items.iter().filter_map(|item| parse_item(control, item));
    let zones: Vec<Zone> = zones.collect();
    let at = stamp(control, revision);
    update(control, "store", |register| {
        register.apply_listing(now, at, zones)
    });
}

/// Applies a change in the store if it concerns an evacuation.
pub fn apply_change(control: &Control, change: &Change) {
    let zone = match change {
        Change::Written(item) => parse_item(control, item),
        Change::Deleted { key, revision } => parse_zone(control, key, false, *revision),
    };
    merge(control, "store", zone.into_iter().collect());
}

/// Withdraws evacuations that were missing after a restore of the store and have not been written
/// again in time.
pub fn tick(control: &Control, now: Instant) {
    update(control, "time", |register| register.tick(now));
}

fn parse_item(control: &Control, item: &Item) -> Option<Zone> {
    parse_zone(control, &item.key, true, item.revision)
}

fn parse_zone(control: &Control, key: &str, evacuated: bool, revision: i64) -> Option<Zone> {
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

/// Applies an operation; if it changes the evacuated zones, publishes them to the other threads and
/// pushes them to a few peers at once.
fn update(control: &Control, from: &'static str, operation: impl FnOnce(&mut Register) -> bool) {
    let changed = operation(&mut control.state.borrow_mut().evacuations);
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
