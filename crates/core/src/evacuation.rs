//! Availability zones that operators have evacuated: their upstreams get no new requests.
//!
//! Load pattern: a zone that holds a third of the fleet is evacuated at full load and restored,
//! possibly twice in a row, while some nodes cannot reach the store, are starting, or have missed
//! earlier changes. Each zone's state therefore carries the store revision that set it, and the
//! newest state wins whatever its source. This includes a withdrawal, which leaves no entry in the
//! store.
//!
//! Revisions of different epochs cannot be compared, because a store that was restored from an
//! older copy assigns them again. A later epoch takes precedence. An evacuation that is missing
//! from the store right after such a restore may not have been written again yet, so it stays in
//! force until operators have had time to do so.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long operators have, after the store is restored from an older copy, to write lost
/// evacuations again.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Version of a zone's state: the position in the store's history at which it was set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Number of times that the store was restored from an older copy; 0 if it reports none.
    pub epoch: u64,
    /// Revision of the store within that epoch.
    pub revision: i64,
}

/// Evacuation state of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name of the zone.
    pub name: Arc<str>,
    /// Whether the zone's upstreams get no new requests.
    pub evacuated: bool,
    /// Version of this state.
    pub stamp: Stamp,
}

#[derive(Clone, Copy, Debug)]
struct State {
    evacuated: bool,
    stamp: Stamp,
    /// Set while the evacuation is missing in a store that was restored from an older copy: when it
    /// is withdrawn unless it is written again, and the stamp of the read that lacked it.
    pending_withdrawal: Option<(Instant, Stamp)>,
}

/// All zones that have ever been evacuated, with their latest state.
#[derive(Debug, Default)]
pub struct Register {
    zones: BTreeMap<Arc<str>, State>,
}

impl Register {
    /// Merges zones from another node or from a change in the store; returns whether a zone was
    /// added or changed between evacuated and not evacuated.
    pub fn merge(&mut self, zones: impl IntoIterator<Item = Zone>) -> bool {
        let mut changed = false;
        for zone in zones {
            let existing = self.zones.get(&zone.name);
            if existing.is_some_and(|existing| existing.stamp >= zone.stamp) {
                continue;
            }
            changed |= existing.is_none_or(|existing| existing.evacuated != zone.evacuated);
            let state = State {
                evacuated: zone.evacuated,
                stamp: zone.stamp,
                pending_withdrawal: None,
            };
            self.zones.insert(zone.name, state);
        }
        changed
    }

    /// Applies the complete list of evacuations in the store, as read at `stamp`; returns whether
    /// any zone changed, as for [`Self::merge`].
    pub fn apply_listing(&mut self, now: Instant, stamp: Stamp, listed: Vec<Zone>) -> bool {
        let is_listed = |name: &Arc<str>| listed.iter().any(|zone| zone.name == *name);
        let mut withdrawn = Vec::new();
        for (name, state) in &mut self.zones {
            if !state.evacuated || is_listed(name) || state.stamp >= stamp {
                continue;
            }
            if state.stamp.epoch < stamp.epoch {
                let withdraw_at = now + REWRITE_TIMEOUT;
                state.pending_withdrawal.get_or_insert((withdraw_at, stamp));
            } else {
                withdrawn.push(withdrawal(name, stamp));
            }
        }
        let changed = self.merge(withdrawn);
        self.merge(listed) || changed
    }

    /// Withdraws evacuations that were not written again in time; returns whether any zone changed,
    /// as for [`Self::merge`].
    pub fn tick(&mut self, now: Instant) -> bool {
        let due = self.zones.iter().filter_map(|(name, state)| {
            let (withdraw_at, stamp) = state.pending_withdrawal?;
            (now >= withdraw_at).then(|| withdrawal(name, stamp))
        });
        let due: Vec<Zone> = due.collect();
        self.merge(due)
    }

    /// Whether the zone's upstreams get no new requests.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.evacuated)
    }

    /// Zones whose upstreams get no new requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        let evacuated = self.zones.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(name, _)| name)
    }

    /// The latest state of all zones, to be sent to other nodes.
    pub fn zones(&self) -> impl Iterator<Item = Zone> {
        self.zones.iter().map(|(name, state)| Zone {
            name: Arc::clone(name),
            evacuated: state.evacuated,
            stamp: state.stamp,
        })
    }
}

fn withdrawal(name: &Arc<str>, stamp: Stamp) -> Zone {
    Zone {
        name: Arc::clone(name),
        evacuated: false,
        stamp,
    }
}
