//! Counts the hosts among which limits are shared, and selects the owners of shards.
//!
//! Failure: a node counts fewer hosts than hold shares. Symptom: the shares of all nodes add up to
//! more than the limit, for example on both sides of a partition. Hosts that disappeared without
//! leaving are therefore counted for an hour, and so is what other nodes count.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

/// How long a host counts that disappeared without leaving: it may be running without contact.
const COUNTED_AFTER_DEATH: Duration = Duration::from_hours(1);
/// How long a host counts that left: its last delegation lapses before.
const COUNTED_AFTER_LEAVING: Duration = Duration::from_secs(6);
/// How long the number of hosts that another node knows counts after it was received.
const REPORTED_FOR: Duration = Duration::from_secs(10);

/// The hosts as one node knows them.
#[derive(Debug)]
pub struct Fleet {
    /// Hosts, with the time until which they count; `None` for present ones.
    hosts: BTreeMap<Arc<str>, Option<Instant>>,
    /// Number of hosts that count, and until when it does not change.
    counted: (u32, Option<Instant>),
    /// Largest number of hosts that another node reported, and until when it counts.
    reported: (u32, Option<Instant>),
    /// Since when this node has known the fleet.
    joined_at: Option<Instant>,
    owners: Vec<Arc<str>>,
}

impl Fleet {
    /// Creates the fleet of a node that knows only itself.
    pub fn new(own: &Arc<str>, shards: u32) -> Self {
        Self {
            hosts: BTreeMap::from([(Arc::clone(own), None)]),
            counted: (1, None),
            reported: (0, None),
            joined_at: None,
            owners: vec![Arc::clone(own); shards.max(1) as usize],
        }
    }

    /// Applies the present hosts, this one included, and those known to have left. `joined` is false
    /// while this node may be one of a fleet that it does not know yet.
    pub fn update(
        &mut self,
        now: Instant,
        present: &BTreeSet<Arc<str>>,
        left: &BTreeSet<Arc<str>>,
        joined: bool,
    ) {
        for (host, until) in &mut self.hosts {
            if present.contains(host) {
                continue;
            }
            let counted = if left.contains(host) {
                COUNTED_AFTER_LEAVING
            } else {
                COUNTED_AFTER_DEATH
            };
            let latest = now + counted;
            *until = Some(until.map_or(latest, |until| until.min(latest)));
        }
        for host in present {
            self.hosts.insert(Arc::clone(host), None);
        }
        self.hosts
            .retain(|_, until| until.is_none_or(|until| now < until));
        let counted = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let changes_at = self.hosts.values().flatten().min().copied();
        self.counted = (counted.max(1), changes_at);
        if joined {
            self.joined_at.get_or_insert(now);
        }
        let ranks: Vec<_> = present.iter().map(|host| (hash(host), host)).collect();
        for (shard, owner) in (1..).zip(&mut self.owners) {
            let chosen = ranks.iter().max_by_key(|(hash, _)| mix(*hash, shard));
            if let Some((_, chosen)) = chosen {
                *owner = Arc::clone(chosen);
            }
        }
    }

    /// Records the number of hosts that another node counts.
    pub fn record_report(&mut self, now: Instant, hosts: u32) {
        let (known, until) = self.reported;
        if hosts >= known || until.is_none_or(|until| now >= until) {
            self.reported = (hosts, Some(now + REPORTED_FOR));
        }
    }

    /// Returns the number of hosts that this node counts itself, for its messages. What others
    /// report is not passed on, since it would never be forgotten.
    pub fn own_count(&self, now: Instant) -> u32 {
        let (counted, until) = self.counted;
        if until.is_none_or(|until| now < until) {
            return counted;
        }
        let counts = |until: &Option<Instant>| until.is_none_or(|until| now < until);
        let hosts = self.hosts.values().filter(|until| counts(until)).count();
        u32::try_from(hosts).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the number of hosts among which limits are shared.
    pub fn count(&self, now: Instant) -> u32 {
        let (reported, until) = self.reported;
        let is_current = until.is_some_and(|until| now < until);
        let reported = if is_current { reported } else { 0 };
        self.own_count(now).max(reported)
    }

    /// Returns since when this node has known the fleet.
    pub const fn joined_at(&self) -> Option<Instant> {
        self.joined_at
    }

    /// Returns the owner of a shard.
    pub fn owner(&self, shard: u32) -> &Arc<str> {
        &self.owners[shard as usize % self.owners.len()]
    }

    /// Returns whether the host is present.
    pub fn is_present(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(Option::is_none)
    }
}

fn hash(host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    host.hash(&mut hasher);
    hasher.finish()
}

/// Returns the rank of a host for a shard: the finalizer of `SplitMix64`, which gives each shard an
/// order of the hosts of its own.
const fn mix(hash: u64, shard: u64) -> u64 {
    let mixed = hash ^ shard.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
