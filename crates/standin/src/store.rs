//! The platform's store: compare-and-swap, leases, watches, and faults on command. [`serving`]
//! speaks for it over HTTP, [`drill`] brings it back from an older copy.

pub mod drill;
mod serving;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mintridge_store::wire;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{broadcast, watch};

pub use self::serving::run;

/// Path that reads and replaces the faults.
pub const FAULTS: &str = "/standin/faults";
/// Path that reads the counters.
pub const CALLS: &str = "/standin/calls";
const BODY_MOST: usize = 2 * 1024 * 1024;
const EVENTS_KEPT: usize = 1024;

/// Faults in force; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with status 503 and watches are cut.
    pub down: bool,
    /// Every call takes this much longer.
    pub slow_millis: u64,
    /// So many next writes take effect and get no reply.
    pub lose_replies: u32,
    /// So many next writes take effect and are answered with status 503, as by a store
    /// whose own members lost each other.
    pub deny_writes: u32,
    /// So many next writes take effect only after `late_millis`, and get no reply.
    pub late_writes: u32,
    /// See `late_writes`.
    pub late_millis: u64,
    /// Open watches stay open and tell nothing more.
    pub silent_watches: bool,
    /// Reads answer with the state at the time this was set.
    pub stale_reads: bool,
}

/// Calls counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Range reads.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// Lease grants, renewals and revocations.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
}

/// The store with its data, shared by its connections.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    events: broadcast::Sender<wire::KeyValue>,
    cut: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    calls: Calls,
    data: Data,
    snapshot: Option<BTreeMap<Vec<u8>, wire::KeyValue>>,
    copy: Option<Data>,
    /// Rises by one each time the store comes back from a copy.
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
    lapses_at: Instant,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            events: broadcast::Sender::new(EVENTS_KEPT),
            cut: watch::Sender::new(0),
        }
    }
}

impl Store {
    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        inner.snapshot = faults.stale_reads.then(|| {
            let kept = inner.snapshot.take();
            kept.unwrap_or_else(|| inner.data.keys.clone())
        });
        if faults.down && !inner.faults.down {
            self.cut.send_modify(|cuts| *cuts += 1);
        }
        inner.faults = faults;
    }

    /// Calls counted so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.inner.lock().calls
    }

    /// Sets a key from outside the API, as a restored backup or a stray hand would.
    pub fn overwrite(&self, key: &str, value: &[u8]) {
        let put = wire::Put {
            key: key.into(),
            value: value.to_vec(),
            lease: 0,
        };
        let changed = self.inner.lock().data.put(put);
        let _ = self.events.send(changed);
    }

    /// Deletes a key from outside the API.
    pub fn remove(&self, key: &str) {
        let data = &mut self.inner.lock().data;
        data.keys.remove(key.as_bytes());
        data.revision += 1;
    }

    /// Deletes all keys that begin with `prefix` from outside the API.
    pub fn remove_all(&self, prefix: &str) {
        let data = &mut self.inner.lock().data;
        data.keys
            .retain(|key, _| !key.starts_with(prefix.as_bytes()));
        data.revision += 1;
    }

    /// Value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let mut inner = self.inner.lock();
        inner.data.lapse(Instant::now());
        let found = inner.data.keys.get(key.as_bytes());
        found.map(|found| found.value.clone())
    }

    /// How many keys begin with `prefix`.
    #[must_use]
    pub fn count(&self, prefix: &str) -> usize {
        let mut inner = self.inner.lock();
        inner.data.lapse(Instant::now());
        let keys = inner.data.keys.keys();
        keys.filter(|key| key.starts_with(prefix.as_bytes()))
            .count()
    }

    /// Sends an event to every open watch again, as after a reconnection.
    pub fn replay(&self, key: &str, value: &[u8]) {
        let _ = self.events.send(wire::KeyValue {
            key: key.into(),
            value: value.to_vec(),
            ..wire::KeyValue::default()
        });
    }

    /// Values written from the revision on at which a watch is to begin.
    fn missed(&self, asked: &wire::WatchCreate) -> Vec<wire::KeyValue> {
        let inner = self.inner.lock();
        if asked.start_revision == 0 || inner.faults.silent_watches {
            return vec![];
        }
        let keys = inner.data.keys.values();
        keys.filter(|kv| covers(asked, &kv.key) && kv.mod_revision >= asked.start_revision)
            .cloned()
            .collect()
    }

    fn write(&self, txn: wire::Txn) -> wire::TxnReply {
        let mut inner = self.inner.lock();
        inner.data.lapse(Instant::now());
        let (reply, changed) = inner.data.run(txn);
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

    fn run(&mut self, txn: wire::Txn) -> (wire::TxnReply, Vec<wire::KeyValue>) {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded { txn.success } else { txn.failure };
        let mut changed = Vec::new();
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.operate(operation, &mut changed));
        }
        let reply = wire::TxnReply {
            header: self.header(),
            succeeded,
            responses,
        };
        (reply, changed)
    }

    fn operate(
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

    fn holds(&self, compare: &wire::Compare) -> bool {
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

    /// Ends leases that were not renewed, and deletes their keys.
    fn lapse(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| now < lease.lapses_at);
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
            lapses_at: Instant::now() + time_to_live,
        };
        self.leases.insert(self.next_lease, lease);
        wire::Lease {
            id: self.next_lease,
            ttl: seconds,
        }
    }

    fn renew(&mut self, id: i64) -> wire::Lease {
        self.lapse(Instant::now());
        let Some(lease) = self.leases.get_mut(&id) else {
            return wire::Lease { id, ttl: 0 };
        };
        lease.lapses_at = Instant::now() + lease.time_to_live;
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
        .collect()
}

fn covers(asked: &wire::WatchCreate, key: &[u8]) -> bool {
    if asked.range_end.is_empty() {
        return key == asked.key;
    }
    (asked.key.as_slice()..asked.range_end.as_slice()).contains(&key)
}
