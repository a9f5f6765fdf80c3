//! Restore of the store from an older backup: later writes and leases are lost, and revisions and
//! lease ids are assigned again.

use std::sync::Arc;
use std::time::Duration;

use mintridge_store::{keys, wire};

use super::{Data, Faults, Store};

/// Response header with the number of times the store has been restored from a backup.
pub const EPOCH: &str = "store-era";

/// Prefix of keys that operators write beside those of presets.
pub const OPERATOR_KEY_PREFIX: &str = "operators/";

/// Timing of a restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drill {
    /// How long the store is down.
    pub downtime: Duration,
    /// Delay after the restore until operators repeat the writes that were lost.
    pub rewrite_delay: Duration,
}

impl Default for Drill {
    fn default() -> Self {
        Self {
            downtime: Duration::from_millis(300),
            rewrite_delay: Duration::from_millis(500),
        }
    }
}

impl Store {
    /// Takes the backup that the next restore uses.
    pub fn take_backup(&self) {
        let mut inner = self.inner.lock();
        inner.backup = Some(inner.data.clone());
    }

    /// Takes the store down and restores it from the backup, keeping its injected faults; returns
    /// once the store is up. Without a backup the data stays as it was.
    pub async fn drill(self: &Arc<Self>, drill: Drill) {
        let was_down = self.set_down(true);
        tokio::time::sleep(drill.downtime).await;
        let lost = self.swap_in_backup();
        self.set_down(was_down);
        let store = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(drill.rewrite_delay).await;
            for put in lost {
                let changed = store.inner.lock().data.put(put);
                let _ = store.events.send(changed);
            }
        });
    }

    /// Sets whether the store is down, and returns whether it was down before.
    fn set_down(&self, down: bool) -> bool {
        let faults = self.inner.lock().faults.clone();
        let was_down = faults.down;
        self.set_faults(Faults { down, ..faults });
        was_down
    }

    /// Replaces the data with the backup, and returns the writes of operators that this loses.
    fn swap_in_backup(&self) -> Vec<wire::Put> {
        let mut inner = self.inner.lock();
        inner.epoch += 1;
        let Some(backup) = inner.backup.clone() else {
            return Vec::new();
        };
        let before = std::mem::replace(&mut inner.data, backup);
        lost_operator_writes(&before, &inner.data)
    }
}

fn lost_operator_writes(before: &Data, backup: &Data) -> Vec<wire::Put> {
    let is_operator_key = |key: &[u8]| {
        key == keys::IN_FORCE.as_bytes()
            || key.starts_with(keys::PRESETS.as_bytes())
            || key.starts_with(OPERATOR_KEY_PREFIX.as_bytes())
    };
    let is_lost = |kv: &&wire::KeyValue| {
        let restored = backup.keys.get(&kv.key);
        is_operator_key(&kv.key) && restored.is_none_or(|restored| restored.value != kv.value)
    };
    let lost = before.keys.values().filter(is_lost);
    lost.map(|kv| wire::Put {
        key: kv.key.clone(),
        value: kv.value.clone(),
        lease: 0,
    })
    .collect()
}
