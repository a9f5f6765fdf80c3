//! Persistence of the quarantine in the store.
//!
//! Failure: all nodes lose power at once. Symptom: no node knows the quarantined requests any more,
//! and callers that repeat them crash upstreams again. The few nodes that follow the store for all
//! others persist the quarantine there. A node that finds no peers when it starts loads it,
//! together with the routing table or the seeds of other nodes. Apart from that, the store is
//! neither read nor written while no request is quarantined.

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

/// Maximum delay before a change is written. Each of the few nodes that may write it waits for a
/// different time, so that usually one writes and the others find the change already stored.
const WRITE_SPREAD: Duration = Duration::from_secs(1);
/// Delay before a failed write is retried, which limits the calls to a store that is down.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Quarantined request in the form that is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    fingerprint: Fingerprint,
    /// Crashes of upstreams while the request was in progress.
    ends: Vec<Crash>,
    trials: u32,
    /// Expiry time in milliseconds since the Unix epoch, by the clock of the node that wrote it.
    forgotten_at: u64,
}

/// Persists the quarantine whenever it changes on this node.
///
/// Every node keeps a change pending until it follows the store: a node that has just started does
/// not follow it yet, and any node may take over from one that stopped before it wrote the change.
pub async fn run(control: Rc<Control>) {
    let mut stagger = Stagger::new(control.context.host());
    loop {
        control.quarantine_changed.notified().await;
        tokio::time::sleep(stagger.next(WRITE_SPREAD)).await;
        while !try_write(&control).await {
            tokio::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }
}

/// Writes the quarantine if this node follows the store; returns false if the write is still
/// pending.
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

/// Merges the stored quarantine and writes the result if it differs; returns false if the write has
/// to be repeated because another node wrote or the store was restored in the meantime.
async fn write(control: &Control) -> Result<bool, Error> {
    control.context.metrics.store_call("held");
    let (item, _) = control.store.read(keys::QUARANTINE).await?;
    let epoch = control.store.epochs().newest();
    let revision = item.as_ref().map_or(0, |item| item.revision);
    let value = item.as_ref().map_or(&[][..], |item| &item.value);
    let stored = parse(control, value);
    let now = Instant::now();
    suspects::merge(control, now, to_suspects(control, now, &stored));
    let quarantined = control.state.borrow().quarantine.quarantined();
    if is_same(&stored, &quarantined) {
        return Ok(true);
    }
    let swap = Swap {
        expected: vec![Unchanged {
            key: keys::QUARANTINE.to_owned(),
            revision,
        }],
        puts: vec![Put {
            key: keys::QUARANTINE.to_owned(),
            value: serde_json::to_vec(&to_entries(now, &quarantined))?,
            lease: 0,
        }],
        ..Swap::default()
    };
    control.context.metrics.store_call("held");
    let swapped = control.store.swap(&swap).await?;
    // A store that was restored in the meantime has lost the write, or matched the revision of
    // another write.
    Ok(swapped && !control.store.epochs().has_changed_since(epoch))
}

/// Loads the quarantine that was persisted before this node started, until this has succeeded once.
pub async fn load(control: &Control) {
    if control.quarantine_loaded.get() {
        return;
    }
    control.context.metrics.store_call("held-may-lag");
    match control
        .store
        .list(keys::QUARANTINE, Freshness::MayLag)
        .await
    {
        Ok(items) => {
            control.quarantine_loaded.set(true);
            let now = Instant::now();
            for item in items {
                let stored = parse(control, &item.value);
                suspects::merge(control, now, to_suspects(control, now, &stored));
            }
            suspects::update_isolation(control, now);
            let quarantined = control.state.borrow().quarantine.quarantined().len();
            log::info!(quarantined = quarantined; "quarantine list read");
        }
        Err(error) => log::info!(error:% = error; "failed to read the quarantine list"),
    }
}

fn parse(control: &Control, value: &[u8]) -> Vec<Entry> {
    if value.is_empty() {
        return Vec::new();
    }
    serde_json::from_slice(value).unwrap_or_else(|error| {
        control.context.metrics.bad_input("store-value");
        log::warn!(error:% = error; "failed to parse the stored quarantine list");
        Vec::new()
    })
}

fn is_same(stored: &[Entry], quarantined: &[Suspect]) -> bool {
    let stored_key = |entry: &Entry| (entry.fingerprint, entry.trials);
    let own_key = |suspect: &Suspect| (suspect.fingerprint, suspect.trials);
    stored
        .iter()
        .map(stored_key)
        .eq(quarantined.iter().map(own_key))
}

fn to_entries(now: Instant, quarantined: &[Suspect]) -> Vec<Entry> {
    let written_at = unix_millis();
    let entries = quarantined.iter().map(|suspect| {
        let left = suspect.expires_at.saturating_duration_since(now);
        Entry {
            fingerprint: suspect.fingerprint,
            ends: suspect.crashes.clone(),
            trials: suspect.trials,
            forgotten_at: written_at.saturating_add(millis(left)),
        }
    });
    entries.collect()
}

/// Converts stored entries. The remaining time is limited, so that a clock that was set back since
/// the write does not prolong the quarantine.
fn to_suspects(control: &Control, now: Instant, entries: &[Entry]) -> Vec<Suspect> {
    let read_at = unix_millis();
    let max_left = control.context.settings.quarantine.remember_for;
    let suspects = entries.iter().map(|entry| {
        let left = Duration::from_millis(entry.forgotten_at.saturating_sub(read_at));
        Suspect {
            fingerprint: entry.fingerprint,
            crashes: entry.ends.clone(),
            trials: entry.trials,
            expires_at: now + left.min(max_left),
        }
    });
    suspects.collect()
}
