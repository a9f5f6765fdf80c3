//! Requests that are held back, kept in the store.
//!
//! Failure: all nodes lose power at once. Symptom: nobody knows what was held back, and its caller
//! ends upstreams anew. The few nodes that use the store for all others keep it there, and a node
//! that has to do without peers at its start reads it beside the routing table or the entries of
//! others. Nothing is read or written while nothing is held back.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::quarantine::{Crash, Suspect};
use mintridge_core::stagger::Stagger;
use mintridge_store::client::Error;
use mintridge_store::keys;
use mintridge_store::operation::{Freshness, Put, Swap, Unchanged};
use serde::{Deserialize, Serialize};

use super::{Control, suspects};
use crate::context::unix_millis;
use crate::request_log::millis;

/// The few nodes that could write what has changed wait for different times up to this, so that
/// mostly one writes and the others find it written.
const SPREAD: Duration = Duration::from_secs(1);
/// Pause before a failed write is made again; a store that is out is asked no more often.
const AGAIN_AFTER: Duration = Duration::from_secs(1);

/// A request that is held back, as it lies in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Stored {
    fingerprint: Fingerprint,
    ends: Vec<Crash>,
    trials: u32,
    /// In milliseconds since the Unix epoch, by the clock of the node that wrote it.
    forgotten_at: u64,
}

/// Keeps what is held back in the store, whenever that changes here.
///
/// A change waits until this node uses the store: one that has just started does not yet, and any
/// other may take the place of one that ended before it wrote.
pub async fn keep(control: Rc<Control>) {
    let mut stagger = Stagger::new(control.context.host());
    loop {
        control.held_changed.notified().await;
        tokio::time::sleep(stagger.next(SPREAD)).await;
        while !try_write(&control).await {
            tokio::time::sleep(AGAIN_AFTER).await;
        }
    }
}

/// Brings the store up to date if this node uses it; false if that is still to be done.
async fn try_write(control: &Control) -> bool {
    if !control.follows_store(Instant::now()) {
        return false;
    }
    match write(control).await {
        Ok(true) => true,
        Ok(false) => {
            log::debug!("quarantine list was written by another node as well");
            false
        }
        Err(error) => {
            log::info!(error:% = error; "failed to persist the quarantine list, retrying");
            false
        }
    }
}

/// Brings the store up to date; false if another node wrote in between.
async fn write(control: &Control) -> Result<bool, Error> {
    control.context.metrics.store_call("held");
    let (found, _) = control.store.read(keys::HELD).await?;
    let epoch = control.store.epochs().newest();
    let revision = found.as_ref().map_or(0, |item| item.revision);
    let stored = found.as_ref().map_or(&[][..], |item| &item.value);
    let stored = parse(control, stored);
    let now = Instant::now();
    suspects::merge(control, now, to_suspects(control, now, &stored));
    let held = control.state.borrow().quarantine.quarantined();
    if is_same(&stored, &held) {
        return Ok(true);
    }
    let swap = Swap {
        expected: vec![Unchanged {
            key: keys::HELD.to_owned(),
            revision,
        }],
        puts: vec![Put {
            key: keys::HELD.to_owned(),
            value: serde_json::to_vec(&to_stored(now, &held))?,
            lease: 0,
        }],
        ..Swap::default()
    };
    control.context.metrics.store_call("held");
    let swapped = control.store.swap(&swap).await?;
    // A store that came back in between has lost it, or took the revision for another one.
    Ok(swapped && !control.store.epochs().has_risen_since(epoch))
}

/// Reads once what was held back before this node started.
pub async fn recall(control: &Control) {
    if control.recalled.get() {
        return;
    }
    control.context.metrics.store_call("held-may-lag");
    match control.store.list(keys::HELD, Freshness::MayLag).await {
        Ok(items) => {
            control.recalled.set(true);
            let now = Instant::now();
            for item in items {
                let stored = parse(control, &item.value);
                suspects::merge(control, now, to_suspects(control, now, &stored));
            }
        }
        Err(error) => log::info!(error:% = error; "what was held back is not read"),
    }
}

fn parse(control: &Control, written: &[u8]) -> Vec<Stored> {
    if written.is_empty() {
        return Vec::new();
    }
    serde_json::from_slice(written).unwrap_or_else(|error| {
        control.context.metrics.bad_input("store-value");
        log::warn!(error:% = error; "what is held back does not parse in the store");
        Vec::new()
    })
}

fn is_same(stored: &[Stored], held: &[Suspect]) -> bool {
    let peer = |stored: &Stored| (stored.fingerprint, stored.trials);
    let known = |held: &Suspect| (held.fingerprint, held.trials);
    stored.iter().map(peer).eq(held.iter().map(known))
}

fn to_stored(now: Instant, held: &[Suspect]) -> Vec<Stored> {
    let told_at = unix_millis();
    let stored = held.iter().map(|held| {
        let left = held.expires_at.saturating_duration_since(now);
        Stored {
            fingerprint: held.fingerprint,
            ends: held.crashes.clone(),
            trials: held.trials,
            forgotten_at: told_at.saturating_add(millis(left)),
        }
    });
    stored.collect()
}

/// A clock that was set back since must not make anything outlast its time.
fn to_suspects(control: &Control, now: Instant, stored: &[Stored]) -> Vec<Suspect> {
    let read_at = unix_millis();
    let longest = control.context.settings.quarantine.remember_for;
    let suspects = stored.iter().map(|stored| {
        let left = Duration::from_millis(stored.forgotten_at.saturating_sub(read_at));
        Suspect {
            fingerprint: stored.fingerprint,
            crashes: stored.ends.clone(),
            trials: stored.trials,
            expires_at: now + left.min(longest),
        }
    });
    suspects.collect()
}
