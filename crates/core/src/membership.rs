//! Cluster membership: records of all hosts, distributed by gossip.
//!
//! Each node owns its record and numbers its versions. Nodes exchange updates in rounds, each
//! node with one peer a round, whatever the size of the fleet. A peer that does not answer is
//! probed through other nodes, then suspected, then considered dead unless it refutes the
//! suspicion.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::configs::membership::Settings;

/// Lower bound of the logarithm that sets how often a record is sent, equal to that of 500 members:
/// a node that has just started knows only a few of them, and a record that it sent only once or
/// twice would not reach most members.
const MIN_GOSSIP_ROUNDS: u32 = 10;

/// Liveness of a host as seen by other nodes. Between records of the same version, later variants
/// supersede earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host answers.
    Alive,
    /// The host did not answer, neither directly nor through other nodes.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
    /// The host left the fleet on its own initiative.
    Left,
}

/// State of the upstream beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Upstream {
    /// Service that the upstream offers.
    pub service: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the upstream is draining and accepts no new requests.
    pub leaving: bool,
}

/// Version of a host's record; defines which of two records is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Start time of the process in milliseconds since the Unix epoch, or the higher value
    /// of an earlier record of this host that peers still have.
    pub incarnation: u64,
    /// Number of changes within this incarnation.
    pub change: u64,
}

/// Membership record of one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub availability_zone: Arc<str>,
    /// Address at which the node accepts requests from peers.
    pub peer_address: SocketAddr,
    /// Address at which the node accepts exchanges.
    pub control_address: SocketAddr,
    /// Address of the node's operator API.
    pub operators_address: SocketAddr,
    /// Version of this record.
    pub version: Version,
    /// Liveness of the host.
    #[serde(rename = "standing")]
    pub state: State,
    /// Upstream beside the node, while announced.
    pub upstream: Option<Upstream>,
    /// Whether the node can decode compressed records.
    #[serde(default)]
    pub packs: bool,
}

/// Identifies one version of a host's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Name of the host.
    pub host: Arc<str>,
    /// Version of the record.
    pub version: Version,
    /// Liveness in that record.
    pub state: State,
}

impl Record {
    /// Returns the summary that identifies this record.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            host: Arc::clone(&self.host),
            version: self.version,
            state: self.state,
        }
    }

    fn matches(&self, summary: &Summary) -> bool {
        self.host == summary.host && self.version == summary.version && self.state == summary.state
    }

    fn supersedes(&self, other: &Self) -> bool {
        (self.version, self.state) > (other.version, other.state)
    }

    /// Whether requests and exchanges may be sent to the host.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.state <= State::Suspect
    }
}

/// All records known to one node.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    own: Record,
    others: BTreeMap<Arc<str>, Entry>,
    /// Hosts whose records are still to be sent, and how many more times.
    updates: BTreeMap<Arc<str>, u32>,
    /// Peers not yet contacted in the current pass.
    remaining_peers: Vec<Arc<str>>,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    /// When a suspect becomes dead, or a dead or departed host is removed.
    transition_at: Option<Instant>,
    /// Whether only this node has observed the state. It is then not sent to peers.
    is_unconfirmed: bool,
}

impl Table {
    /// Creates the table of a node that knows only itself.
    #[must_use]
    pub fn new(settings: Settings, own: Record, seed: u64) -> Self {
        let mut table = Self {
            settings,
            updates: BTreeMap::new(),
            own,
            others: BTreeMap::new(),
            remaining_peers: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        table.spread_own();
        table
    }

    /// Returns this node's own record.
    #[must_use]
    pub const fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the records of all other hosts.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.others.values().map(|entry| &entry.record)
    }

    /// Returns the records of all hosts that are alive or suspected, including this one.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.others().filter(|record| record.is_present()))
    }

    /// Returns the names of the other hosts that have left and whose records are still retained.
    pub fn left(&self) -> impl Iterator<Item = &Arc<str>> {
        let left = self.others().filter(|record| record.state == State::Left);
        left.map(|record| &record.host)
    }

    /// Whether any other host is alive or suspected.
    #[must_use]
    pub fn has_peers(&self) -> bool {
        self.others().any(Record::is_present)
    }

    /// Whether the node at this control address is known to decode compressed records.
    #[must_use]
    pub fn reads_packed(&self, control_address: SocketAddr) -> bool {
        let mut others = self.others();
        others.any(|record| record.control_address == control_address && record.packs)
    }

    /// Puts records into a random order.
    pub fn shuffle(&mut self, records: &mut [Record]) {
        records.shuffle(&mut self.rng);
    }

    /// Sets the state of the upstream beside this node; returns true if it changed.
    pub fn set_upstream(&mut self, upstream: Option<Upstream>) -> bool {
        if self.own.upstream == upstream {
            return false;
        }
        self.own.upstream = upstream;
        self.own.version.change += 1;
        self.spread_own();
        true
    }

    /// Marks this node as left.
    pub fn leave(&mut self) {
        self.own.state = State::Left;
        self.own.version.change += 1;
        self.spread_own();
    }

    /// Merges a record received from a peer; returns true if it changed the table.
    pub fn merge(&mut self, now: Instant, record: Record) -> bool {
        if record.host == self.own.host {
            return self.refute(&record);
        }
        if let Some(entry) = self.others.get(&record.host) {
            let clears_suspicion = entry.is_unconfirmed && record.version == entry.record.version;
            if !clears_suspicion && !record.supersedes(&entry.record) {
                return false;
            }
        }
        let is_known = self.others.contains_key(&record.host);
        if !is_known && !record.is_present() {
            return false;
        }
        let host = Arc::clone(&record.host);
        let transition_at = self.next_transition_at(now, record.state);
        self.others.insert(
            Arc::clone(&host),
            Entry {
                record,
                transition_at,
                is_unconfirmed: false,
            },
        );
        self.spread(host);
        true
    }

    /// Records that a peer answered: clears any suspicion against this version of its record.
    pub fn mark_alive(&mut self, host: &str) {
        let Some(entry) = self.others.get_mut(host) else {
            return;
        };
        if entry.is_unconfirmed || entry.record.state == State::Suspect {
            entry.record.state = State::Alive;
            entry.transition_at = None;
            entry.is_unconfirmed = false;
        }
    }

    /// Marks a peer that answered neither directly nor through other nodes as suspect;
    /// `confirmed` is true if at least one of those reported that it could not reach the peer.
    ///
    /// Failure: this node is cut off from the network. Symptom: it considers all other hosts
    /// dead, one after the other, and spreads this once it is reconnected; each host then receives
    /// no requests from any node until it has refuted the claim. A suspicion that no other node
    /// confirms therefore stays local to this node.
    pub fn mark_suspect(&mut self, now: Instant, host: &str, confirmed: bool) {
        let transition_at = self.next_transition_at(now, State::Suspect);
        let Some(entry) = self.others.get_mut(host) else {
            return;
        };
        if entry.record.state != State::Alive {
            return;
        }
        entry.record.state = State::Suspect;
        entry.transition_at = transition_at;
        entry.is_unconfirmed = !confirmed;
        let host = Arc::clone(&entry.record.host);
        if confirmed {
            self.spread(host);
        }
    }

    /// Marks expired suspects as dead and removes expired dead and departed hosts; returns true if
    /// anything changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let due: Vec<Arc<str>> = self
            .others
            .iter()
            .filter(|(_, entry)| entry.transition_at.is_some_and(|at| now >= at))
            .map(|(host, _)| Arc::clone(host))
            .collect();
        for host in &due {
            self.apply_transition(now, host);
        }
        !due.is_empty()
    }

    /// Returns the peer for the next round. Each peer is returned once in a random order before
    /// any is repeated. A node that considers all others dead contacts those that are still in
    /// its table, since it may itself have been cut off.
    pub fn next_peer(&mut self) -> Option<Record> {
        if self.remaining_peers.is_empty() {
            self.remaining_peers = self.present_others();
            if self.remaining_peers.is_empty() {
                self.remaining_peers = self.others.keys().cloned().collect();
            }
            self.remaining_peers.shuffle(&mut self.rng);
        }
        let alone = !self.has_peers();
        while let Some(host) = self.remaining_peers.pop() {
            let known = self.others.get(&host).map(|entry| &entry.record);
            if let Some(record) = known.filter(|record| alone || record.is_present()) {
                return Some(record.clone());
            }
        }
        None
    }

    /// Returns the peers to ask for a probe of `target`, which did not answer.
    pub fn relays(&mut self, target: &str) -> Vec<Record> {
        let relays = self.settings.relays;
        self.sample(relays, target)
    }

    /// Returns up to `max_count` random peers that are alive, excluding the host `except`.
    pub fn sample(&mut self, max_count: usize, except: &str) -> Vec<Record> {
        self.others
            .values()
            .map(|entry| &entry.record)
            .filter(|record| record.state == State::Alive)
            .filter(|record| record.host.as_ref() != except)
            .cloned()
            .sample(&mut self.rng, max_count)
    }

    /// Returns the records to send with the next exchange and counts them as sent.
    pub fn take_updates(&mut self) -> Vec<Record> {
        self.take_updates_except(&[])
    }

    /// Returns the records to send to a peer that has just sent the records in `received`,
    /// leaving out those that the peer already has, and counts them as sent.
    pub fn take_updates_except(&mut self, received: &[Summary]) -> Vec<Record> {
        let is_known = |host: &Arc<str>| {
            let summary = received.iter().find(|summary| summary.host == *host);
            let record = self.record(host);
            summary.is_some_and(|summary| record.is_some_and(|record| record.matches(summary)))
        };
        let mut candidates: Vec<(u32, Arc<str>)> = self
            .updates
            .iter()
            .filter(|(host, _)| !is_known(host))
            .map(|(host, remaining)| (*remaining, Arc::clone(host)))
            .collect();
        candidates.sort_by(|a, b| b.cmp(a));
        candidates.truncate(self.settings.records_most);
        candidates
            .into_iter()
            .filter_map(|(_, host)| self.record_to_send(&host))
            .collect()
    }

    /// Returns a digest of the present hosts and their versions; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.present()
            .map(|record| {
                let mut hasher = SipHasher13::new();
                (&record.host, record.version).hash(&mut hasher);
                hasher.finish()
            })
            .fold(0, |sum, hash| sum ^ hash)
    }

    /// Whether this node is one of the designated readers of the store in its zone.
    ///
    /// The designated readers are the first nodes by a hash of the host name, so all nodes with
    /// the same view agree, and their number depends on the number of zones and not on the size
    /// of the fleet.
    #[must_use]
    pub fn is_designated_reader(&self) -> bool {
        self.successor_position() == 0
    }

    /// Returns this node's position among the successors that take over when the designated
    /// readers of its zone fail; 0 if it is a designated reader.
    #[must_use]
    pub fn successor_position(&self) -> usize {
        (self.zone_rank() + 1).saturating_sub(self.settings.holders_per_zone)
    }

    /// Returns the number of living nodes that come before this one in the order of the zone.
    #[must_use]
    pub fn zone_rank(&self) -> usize {
        self.zone_peers()
            .filter(|record| record.state == State::Alive)
            .filter(|record| self.precedes_own(&record.host))
            .count()
    }

    /// Whether `host` comes before this node in the order of the zone.
    #[must_use]
    pub fn precedes_own(&self, host: &str) -> bool {
        hash_rank(host) < hash_rank(&self.own.host)
    }

    /// Returns the records of the other hosts in this node's zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = &Record> {
        self.others()
            .filter(|record| record.availability_zone == self.own.availability_zone)
    }

    /// Returns the nodes to ask for what readers of the store know, best first: those of this node's
    /// zone before others and present ones before others, each in the order in which they act as
    /// readers.
    #[must_use]
    pub fn reader_candidates(&self) -> Vec<&Record> {
        let own_zone = &self.own.availability_zone;
        let mut records: Vec<&Record> = self.others().collect();
        records.retain(|record| record.state != State::Left);
        records.sort_by_cached_key(|record| {
            let is_distant = record.availability_zone != *own_zone;
            (
                !record.is_present(),
                is_distant,
                record.state,
                hash_rank(&record.host),
            )
        });
        let present = records.iter().filter(|record| record.is_present()).count();
        if present > 0 {
            records.truncate(present);
        }
        records
    }

    /// Returns the number of designated readers of this node's zone besides this node.
    #[must_use]
    pub fn other_designated_readers(&self) -> usize {
        let alive = self
            .zone_peers()
            .filter(|record| record.state == State::Alive);
        let others = self.settings.holders_per_zone - usize::from(self.is_designated_reader());
        alive.count().min(others)
    }

    fn present_others(&self) -> Vec<Arc<str>> {
        self.others()
            .filter(|record| record.is_present())
            .map(|record| Arc::clone(&record.host))
            .collect()
    }

    /// Raises the version of this node's own record above that of a record about it received
    /// from a peer, if that one supersedes the own record; returns true if it did.
    ///
    /// Failure: a paused process resumes, or is replaced by one whose clock is behind. Symptom:
    /// peers have a record that it is dead or one with a later version, and ignore its updates.
    /// The higher version makes peers accept its record again.
    fn refute(&mut self, record: &Record) -> bool {
        if !record.supersedes(&self.own) {
            return false;
        }
        if record.version.incarnation > self.own.version.incarnation {
            self.own.version.incarnation = record.version.incarnation;
        }
        self.own.version.change = record.version.change.max(self.own.version.change) + 1;
        self.spread_own();
        true
    }

    /// Marks a host as dead whose suspicion has expired, or removes a dead or departed one.
    fn apply_transition(&mut self, now: Instant, host: &Arc<str>) {
        let transition_at = self.next_transition_at(now, State::Dead);
        let Some(entry) = self.others.get_mut(host) else {
            return;
        };
        if entry.record.state == State::Suspect {
            entry.record.state = State::Dead;
            entry.transition_at = transition_at;
            if !entry.is_unconfirmed {
                self.spread(Arc::clone(host));
            }
            return;
        }
        self.others.remove(host);
        self.updates.remove(host);
    }

    fn next_transition_at(&self, now: Instant, state: State) -> Option<Instant> {
        match state {
            State::Alive => None,
            State::Suspect => Some(now + self.settings.suspicion),
            State::Dead | State::Left => Some(now + self.settings.forget_after),
        }
    }

    /// Queues this node's own record for the next exchanges again, since a peer may lack it.
    pub fn spread_own(&mut self) {
        let host = Arc::clone(&self.own.host);
        self.spread(host);
    }

    fn spread(&mut self, host: Arc<str>) {
        let members = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        let rounds = (u32::BITS - members.leading_zeros() + 1).max(MIN_GOSSIP_ROUNDS);
        self.updates
            .insert(host, self.settings.news_rounds * rounds);
    }

    fn record_to_send(&mut self, host: &Arc<str>) -> Option<Record> {
        self.count_transmission(host);
        self.record(host).cloned()
    }

    fn count_transmission(&mut self, host: &Arc<str>) {
        let Some(remaining) = self.updates.get_mut(host) else {
            return;
        };
        *remaining -= 1;
        if *remaining == 0 {
            self.updates.remove(host);
        }
    }

    fn record(&self, host: &Arc<str>) -> Option<&Record> {
        if *host == self.own.host {
            return Some(&self.own);
        }
        self.others.get(host).map(|entry| &entry.record)
    }
}

fn hash_rank(host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    host.hash(&mut hasher);
    hasher.finish()
}
