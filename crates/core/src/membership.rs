//! Who is there: records of all hosts, spread from node to node.
//!
//! Each node owns its record and numbers its versions. Nodes exchange updates in rounds:
//! one peer a round, whatever the size of the fleet. A peer that does not answer is
//! asked about through others, then suspected, then dead unless it speaks up.

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

/// A record is sent on as if there were at least 500 members: a node that has just started knows
/// a few of them, and what it sent on once or twice would stay unknown to most.
const ROUNDS_LEAST: u32 = 10;

/// How a host stands in the eyes of the others; later variants outweigh earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It answers.
    Alive,
    /// It did not answer, neither directly nor through others.
    Suspect,
    /// It stayed silent for the time of suspicion.
    Dead,
    /// It said goodbye.
    Left,
}

/// The upstream beside a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Upstream {
    /// The service it offers.
    pub service: Arc<str>,
    /// Requests it may have at once.
    pub slots: u32,
    /// It takes nothing new.
    pub leaving: bool,
}

/// Order of two records about the same host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Start of the process, in milliseconds since the Unix epoch, or later if others
    /// remembered a later one.
    pub incarnation: u64,
    /// Changes since then.
    pub change: u64,
}

/// What is known of one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub availability_zone: Arc<str>,
    /// Where its node takes requests from peers.
    pub peer_address: SocketAddr,
    /// Where its node takes exchanges.
    pub control_address: SocketAddr,
    /// Where its node answers operators.
    pub operators_address: SocketAddr,
    /// Which record is newer.
    pub version: Version,
    /// How it stands.
    pub standing: Standing,
    /// The upstream beside it, while announced.
    pub upstream: Option<Upstream>,
    /// Whether its node reads packed records.
    #[serde(default)]
    pub packs: bool,
}

/// Which record of a host is meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Name of the host.
    pub host: Arc<str>,
    /// Which record of it.
    pub version: Version,
    /// How it stands there.
    pub standing: Standing,
}

impl Record {
    /// What tells this record from others.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            host: Arc::clone(&self.host),
            version: self.version,
            standing: self.standing,
        }
    }

    fn is(&self, summary: &Summary) -> bool {
        self.host == summary.host
            && self.version == summary.version
            && self.standing == summary.standing
    }

    fn outweighs(&self, other: &Self) -> bool {
        (self.version, self.standing) > (other.version, other.standing)
    }

    /// Whether requests and exchanges may be sent to it.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.standing <= Standing::Suspect
    }
}

/// All records that one node knows.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    own: Record,
    others: BTreeMap<Arc<str>, Entry>,
    updates: BTreeMap<Arc<str>, u32>,
    round: Vec<Arc<str>>,
    rng: ChaCha8Rng,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    changes_at: Option<Instant>,
    /// Whether its standing is what this node alone has seen, and is told to nobody.
    own_guess: bool,
}

impl Table {
    /// A node that knows only itself.
    #[must_use]
    pub fn new(settings: Settings, own: Record, seed: u64) -> Self {
        let mut table = Self {
            settings,
            updates: BTreeMap::new(),
            own,
            others: BTreeMap::new(),
            round: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        table.spread_own();
        table
    }

    /// This node's own record.
    #[must_use]
    pub const fn own(&self) -> &Record {
        &self.own
    }

    /// All records but the own one.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.others.values().map(|entry| &entry.record)
    }

    /// Records of hosts that are there, the own one included.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.own).chain(self.others().filter(|record| record.is_present()))
    }

    /// Whether any other host is taken to be there.
    #[must_use]
    pub fn knows_peers(&self) -> bool {
        self.others().any(Record::is_present)
    }

    /// Whether the node at this control address is known to read packed records.
    #[must_use]
    pub fn reads_packed(&self, control_address: SocketAddr) -> bool {
        let mut others = self.others();
        others.any(|record| record.control_address == control_address && record.packs)
    }

    /// Puts records into a random order.
    pub fn shuffle(&mut self, records: &mut [Record]) {
        records.shuffle(&mut self.rng);
    }

    /// Takes the state of the upstream beside this node; true if it changed.
    pub fn set_upstream(&mut self, upstream: Option<Upstream>) -> bool {
        if self.own.upstream == upstream {
            return false;
        }
        self.own.upstream = upstream;
        self.own.version.change += 1;
        self.spread_own();
        true
    }

    /// This node says goodbye.
    pub fn leave(&mut self) {
        self.own.standing = Standing::Left;
        self.own.version.change += 1;
        self.spread_own();
    }

    /// Takes in a record from a peer; true if it changed the table.
    pub fn merge(&mut self, now: Instant, record: Record) -> bool {
        if record.host == self.own.host {
            return self.refute(&record);
        }
        if let Some(entry) = self.others.get(&record.host) {
            let speaks_up = entry.own_guess && record.version == entry.record.version;
            if !speaks_up && !record.outweighs(&entry.record) {
                return false;
            }
        }
        let known = self.others.contains_key(&record.host);
        if !known && !record.is_present() {
            return false;
        }
        let host = Arc::clone(&record.host);
        let changes_at = self.change_due(now, record.standing);
        self.others.insert(
            Arc::clone(&host),
            Entry {
                record,
                changes_at,
                own_guess: false,
            },
        );
        self.spread(host);
        true
    }

    /// A peer answered: whatever was suspected of this version of it is over.
    pub fn answered(&mut self, host: &str) {
        let Some(entry) = self.others.get_mut(host) else {
            return;
        };
        if entry.own_guess || entry.record.standing == Standing::Suspect {
            entry.record.standing = Standing::Alive;
            entry.changes_at = None;
            entry.own_guess = false;
        }
    }

    /// A peer answered neither directly nor through others; `confirmed` if one of those said so.
    ///
    /// Failure: this node is cut off. Symptom: it takes all others for dead, one after the other,
    /// and once it is back it tells them so; each is out of use everywhere until it has spoken
    /// up. What no other node confirms counts here alone.
    pub fn unanswered(&mut self, now: Instant, host: &str, confirmed: bool) {
        let due = self.change_due(now, Standing::Suspect);
        let Some(entry) = self.others.get_mut(host) else {
            return;
        };
        if entry.record.standing != Standing::Alive {
            return;
        }
        entry.record.standing = Standing::Suspect;
        entry.changes_at = due;
        entry.own_guess = !confirmed;
        let host = Arc::clone(&entry.record.host);
        if confirmed {
            self.spread(host);
        }
    }

    /// Turns suspects into dead and forgets the long dead; true if anything changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let due: Vec<Arc<str>> = self
            .others
            .iter()
            .filter(|(_, entry)| entry.changes_at.is_some_and(|at| now >= at))
            .map(|(host, _)| Arc::clone(host))
            .collect();
        for host in &due {
            self.advance(now, host);
        }
        !due.is_empty()
    }

    /// The peer for the next round: each once in a random order before any again. A node that
    /// takes all others for dead asks those it has not forgotten: it may have been cut off.
    pub fn next_peer(&mut self) -> Option<Record> {
        if self.round.is_empty() {
            self.round = self.present_others();
            if self.round.is_empty() {
                self.round = self.others.keys().cloned().collect();
            }
            self.round.shuffle(&mut self.rng);
        }
        let alone = !self.knows_peers();
        while let Some(host) = self.round.pop() {
            let known = self.others.get(&host).map(|entry| &entry.record);
            if let Some(record) = known.filter(|record| alone || record.is_present()) {
                return Some(record.clone());
            }
        }
        None
    }

    /// Peers to ask about one that did not answer.
    pub fn relays(&mut self, about: &str) -> Vec<Record> {
        let relays = self.settings.relays;
        self.sample(relays, about)
    }

    /// Peers to tell something at once.
    pub fn sample(&mut self, most: usize, except: &str) -> Vec<Record> {
        self.others
            .values()
            .map(|entry| &entry.record)
            .filter(|record| record.standing == Standing::Alive)
            .filter(|record| record.host.as_ref() != except)
            .cloned()
            .sample(&mut self.rng, most)
    }

    /// Records to send with the next exchange.
    pub fn take_updates(&mut self) -> Vec<Record> {
        self.take_updates_beside(&[])
    }

    /// Records to send to a peer that has just sent these.
    pub fn take_updates_beside(&mut self, known: &[Summary]) -> Vec<Record> {
        let is_known = |host: &Arc<str>| {
            let sent = known.iter().find(|summary| summary.host == *host);
            let record = self.record(host);
            sent.is_some_and(|sent| record.is_some_and(|record| record.is(sent)))
        };
        let mut hottest: Vec<(u32, Arc<str>)> = self
            .updates
            .iter()
            .filter(|(host, _)| !is_known(host))
            .map(|(host, left)| (*left, Arc::clone(host)))
            .collect();
        hottest.sort_by(|a, b| b.cmp(a));
        hottest.truncate(self.settings.records_most);
        hottest
            .into_iter()
            .filter_map(|(_, host)| self.take_one(&host))
            .collect()
    }

    /// Digest of who is there in which version; equal tables have equal digests.
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

    /// Whether this node is among the few of its zone that use the store.
    ///
    /// The few are the first by a hash of the name, so all nodes with the same view
    /// agree, and their number follows the zones and not the fleet.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        self.successor_place() == 0
    }

    /// This node's place among those that take over when the regular users of the store in its
    /// zone fail; 0 if it is one of them.
    #[must_use]
    pub fn successor_place(&self) -> usize {
        let own = rank(&self.own.host);
        let ahead = self
            .zone()
            .filter(|record| record.standing == Standing::Alive)
            .filter(|record| rank(&record.host) < own)
            .count();
        (ahead + 1).saturating_sub(self.settings.holders_per_zone)
    }

    /// Whether this host comes before the own one in the order of the zone.
    #[must_use]
    pub fn is_ahead(&self, host: &str) -> bool {
        rank(host) < rank(&self.own.host)
    }

    /// Records of the others in this node's zone.
    pub fn zone(&self) -> impl Iterator<Item = &Record> {
        self.others()
            .filter(|record| record.availability_zone == self.own.availability_zone)
    }

    fn present_others(&self) -> Vec<Arc<str>> {
        self.others()
            .filter(|record| record.is_present())
            .map(|record| Arc::clone(&record.host))
            .collect()
    }

    /// Someone spoke about this node: answer with a version that outweighs it.
    ///
    /// Failure: a frozen node wakes, or is replaced by one whose clock is behind.
    /// Symptom: peers hold it dead or in a later version and ignore what it says. The
    /// higher version makes its own word count again.
    fn refute(&mut self, record: &Record) -> bool {
        if !record.outweighs(&self.own) {
            return false;
        }
        if record.version.incarnation > self.own.version.incarnation {
            self.own.version.incarnation = record.version.incarnation;
        }
        self.own.version.change = record.version.change.max(self.own.version.change) + 1;
        self.spread_own();
        true
    }

    fn advance(&mut self, now: Instant, host: &Arc<str>) {
        let due = self.change_due(now, Standing::Dead);
        let Some(entry) = self.others.get_mut(host) else {
            return;
        };
        if entry.record.standing == Standing::Suspect {
            entry.record.standing = Standing::Dead;
            entry.changes_at = due;
            if !entry.own_guess {
                self.spread(Arc::clone(host));
            }
            return;
        }
        self.others.remove(host);
        self.updates.remove(host);
    }

    fn change_due(&self, now: Instant, standing: Standing) -> Option<Instant> {
        match standing {
            Standing::Alive => None,
            Standing::Suspect => Some(now + self.settings.suspicion),
            Standing::Dead | Standing::Left => Some(now + self.settings.forget_after),
        }
    }

    /// Spreads this node's own record again, as a peer may lack it.
    pub fn spread_own(&mut self) {
        let host = Arc::clone(&self.own.host);
        self.spread(host);
    }

    fn spread(&mut self, host: Arc<str>) {
        let members = u32::try_from(self.others.len()).unwrap_or(u32::MAX);
        let rounds = (u32::BITS - members.leading_zeros() + 1).max(ROUNDS_LEAST);
        self.updates
            .insert(host, self.settings.news_rounds * rounds);
    }

    fn take_one(&mut self, host: &Arc<str>) -> Option<Record> {
        self.count_sent(host);
        self.record(host).cloned()
    }

    fn count_sent(&mut self, host: &Arc<str>) {
        let Some(left) = self.updates.get_mut(host) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
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

fn rank(host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    host.hash(&mut hasher);
    hasher.finish()
}
