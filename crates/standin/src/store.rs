//! The platform's store: compare-and-swap, leases, watches, and faults that tests inject.
//! [`serving`] exposes it over HTTP, [`drill`] restores it from an older backup, and [`member`]
//! partitions the members through which clients reach it.

pub mod drill;
pub mod member;
mod serving;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mintridge_store::wire;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{broadcast, watch};

pub use self::serving::{run, run_member};

/// Path at which a request replaces the injected faults.
pub const FAULTS: &str = "/standin/faults";
/// Path that returns the call counters.
pub const CALLS: &str = "/standin/calls";
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
const EVENT_BUFFER: usize = 1024;

/// Injected faults; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is answered with status 503, and open watches are closed.
    pub down: bool,
    /// Extra latency of every call.
    pub slow_millis: u64,
    /// This many of the next writes take effect and get no reply.
    pub lose_replies: u32,
    /// This many of the next writes take effect and are answered with status 503, as by a store
    /// whose own members are partitioned.
    pub deny_writes: u32,
    /// This many of the next writes take effect only after `late_millis`, and get no reply.
    pub late_writes: u32,
    /// Delay of the writes that `late_writes` counts.
    pub late_millis: u64,
    /// Watches stay open and deliver no changes.
    pub silent_watches: bool,
    /// Reads return the keys as they were when this fault was set.
    pub stale_reads: bool,
}

/// Number of calls by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Range reads.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Lease grants, renewals and revocations.
    pub leases: u64,
    /// Opened watches.
    pub watches: u64,
}

/// The store with its data, shared by all connections.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    events: broadcast::Sender<wire::KeyValue>,
    /// Incremented to close all open watches.
    watch_cuts: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    calls: Calls,
    data: Data,
    /// Keys that reads return while [`Faults::stale_reads`] is set.
    snapshot: Option<BTreeMap<Vec<u8>, wire::KeyValue>>,
    backup: Option<Data>,
    /// Number of restores from a backup.
    epoch: u64,
}

#[derive(Clone, Debug, Default)]
struct Data {
    revision: i64,
    keys: BTreeMap<Vec<u8>, wire::KeyValue>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

#[derive(Clone, Debug)]
struct Lease {
    time_to_live: Duration,
    expires_at: Instant,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            events: broadcast::Sender::new(EVENT_BUFFER),
            watch_cuts: watch::Sender::new(0),
        }
    }
}

impl Store {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        inner.snapshot = faults.stale_reads.then(|| {
            let existing = inner.snapshot.take();
            existing.unwrap_or_else(|| inner.data.keys.clone())
        });
        if faults.down && !inner.faults.down {
            self.watch_cuts.send_modify(|cuts| *cuts += 1);
        }
        inner.faults = faults;
    }

    /// Calls counted so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.inner.lock().calls
    }

    /// Sets a key without the API, as a restored backup or a manual change would.
    pub fn overwrite(&self, key: &str, value: &[u8]) {
        let put = wire::Put {
            key: key.into(),
            value: value.to_vec(),
            lease: 0,
        };
        let changed = self.inner.lock().data.put(put);
        let _ = self.events.send(changed);
    }

    /// Deletes a key without the API; watches get no event.
    pub fn remove(&self, key: &str) {
        let data = &mut self.inner.lock().data;
        data.keys.remove(key.as_bytes());
        data.revision += 1;
    }

    /// Deletes all keys that begin with `prefix` without the API; watches get no event.
    pub fn remove_all(&self, prefix: &str) {
        let data = &mut self.inner.lock().data;
        data.keys
            .retain(|key, _| !key.starts_with(prefix.as_bytes()));
        data.revision += 1;
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let mut inner = self.inner.lock();
        inner.data.expire_leases(Instant::now());
        let found = inner.data.keys.get(key.as_bytes());
        found.map(|found| found.value.clone())
    }

    /// Counts the keys that begin with `prefix`.
    #[must_use]
    pub fn count(&self, prefix: &str) -> usize {
        let mut inner = self.inner.lock();
        inner.data.expire_leases(Instant::now());
        let keys = inner.data.keys.keys();
        keys.filter(|key| key.starts_with(prefix.as_bytes()))
            .count()
    }

    /// Sends an event to the open watches again, as after a reconnect.
    pub fn replay(&self, key: &str, value: &[u8]) {
        let _ = self.events.send(wire::KeyValue {
            key: key.into(),
            value: value.to_vec(),
            ..wire::KeyValue::default()
        });
    }

    /// Returns the watched keys that were written since the start revision of a watch.
    fn missed_changes(&self, request: &wire::WatchCreate) -> Vec<wire::KeyValue> {
        let inner = self.inner.lock();
        if request.start_revision == 0 || inner.faults.silent_watches {
            return vec![];
        }
        let keys = inner.data.keys.values();
        keys.filter(|kv| is_watched(request, &kv.key) && kv.mod_revision >= request.start_revision)
            .cloned()
            .collect()
    }

    fn write(&self, txn: wire::Txn) -> wire::TxnReply {
        let mut inner = self.inner.lock();
        inner.data.expire_leases(Instant::now());
        let (reply, changed) = inner.data.execute(txn);
        let silent = inner.faults.silent_watches;
        drop(inner);
        if silent {
            return reply;
        }
        for change in changed {
            let _ = self.events.send(change);
        }
        reply
    }
}

impl Data {
    fn put(&mut self, put: wire::Put) -> wire::KeyValue {
        self.revision += 1;
        let created = self.keys.get(&put.key).map(|old| old.create_revision);
        let stored = wire::KeyValue {
            key: put.key.clone(),
            value: put.value,
            create_revision: created.unwrap_or(self.revision),
            mod_revision: self.revision,
            lease: put.lease,
        };
        self.keys.insert(put.key, stored.clone());
        stored
    }

    fn execute(&mut self, txn: wire::Txn) -> (wire::TxnReply, Vec<wire::KeyValue>) {
        let succeeded = txn.compare.iter().all(|compare| self.is_met(compare));
        let operations = if succeeded { txn.success } else { txn.failure };
        let mut changed = Vec::new();
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.apply(operation, &mut changed));
        }
        let reply = wire::TxnReply {
            header: self.header(),
            succeeded,
            responses,
        };
        (reply, changed)
    }

    fn apply(
        &mut self,
        operation: wire::Operation,
        changed: &mut Vec<wire::KeyValue>,
    ) -> wire::OperationReply {
        match operation {
            wire::Operation::Put(put) => changed.push(self.put(put)),
            wire::Operation::Delete(range) => {
                if self.keys.remove(&range.key).is_some() {
                    self.revision += 1;
                }
            }
            wire::Operation::Range(range) => {
                return wire::OperationReply {
                    response_range: Some(wire::RangeReply {
                        header: self.header(),
                        kvs: select(&self.keys, &range),
                    }),
                };
            }
        }
        wire::OperationReply::default()
    }

    fn is_met(&self, compare: &wire::Compare) -> bool {
        let found = self.keys.get(&compare.key);
        match compare.target {
            wire::Target::Mod => {
                found.map_or(0, |found| found.mod_revision) == compare.mod_revision.unwrap_or(0)
            }
            wire::Target::Create => {
                found.map_or(0, |found| found.create_revision)
                    == compare.create_revision.unwrap_or(0)
            }
            wire::Target::Value => found.map(|found| &found.value) == compare.value.as_ref(),
        }
    }

    /// Removes expired leases and their keys.
    fn expire_leases(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| now < lease.expires_at);
        if self.leases.len() == before {
            return;
        }
        let leases = &self.leases;
        self.keys
            .retain(|_, stored| stored.lease == 0 || leases.contains_key(&stored.lease));
        self.revision += 1;
    }

    fn grant(&mut self, seconds: i64) -> wire::Lease {
        self.next_lease += 1;
        let time_to_live = Duration::from_secs(u64::try_from(seconds).unwrap_or(0));
        let lease = Lease {
            time_to_live,
            expires_at: Instant::now() + time_to_live,
        };
        self.leases.insert(self.next_lease, lease);
        wire::Lease {
            id: self.next_lease,
            ttl: seconds,
        }
    }

    fn renew(&mut self, id: i64) -> wire::Lease {
        self.expire_leases(Instant::now());
        let Some(lease) = self.leases.get_mut(&id) else {
            return wire::Lease { id, ttl: 0 };
        };
        lease.expires_at = Instant::now() + lease.time_to_live;
        let ttl = i64::try_from(lease.time_to_live.as_secs()).unwrap_or(i64::MAX);
        wire::Lease { id, ttl }
    }

    fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        self.keys.retain(|_, stored| stored.lease != id);
    }

    const fn header(&self) -> wire::Header {
        wire::Header {
            revision: self.revision,
        }
    }
}

fn select(keys: &BTreeMap<Vec<u8>, wire::KeyValue>, range: &wire::Range) -> Vec<wire::KeyValue> {
    if range.range_end.is_empty() {
        return keys.get(&range.key).cloned().into_iter().collect();
    }
    keys.range(range.key.clone()..range.range_end.clone())
        .map(|(_, stored)| stored.clone())
        .filter(|stored| stored.mod_revision >= range.min_mod_revision)
        .collect()
}

fn is_watched(request: &wire::WatchCreate, key: &[u8]) -> bool {
    if request.range_end.is_empty() {
        return key == request.key;
    }
    (request.key.as_slice()..request.range_end.as_slice()).contains(&key)
}
