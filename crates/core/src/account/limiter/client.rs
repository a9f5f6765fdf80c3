//! Node's side: delegates this node's share of each shard, asks owners for tokens, and decides on
//! requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::fleet::Fleet;
use super::holding::{Holding, Taken};
use super::shard::Shard;
use super::terms::Terms;
use super::{Answer, Ask, Entry, Key, Limits, MAX_ENTRIES, SETTLED_AFTER};
use crate::account::Limit;
use crate::configs::account::Settings;

/// Longest time for which a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// Time after which an ask is no longer expected to be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A token that a request has taken.
#[derive(Clone, Debug)]
pub struct Token {
    key: Key,
    taken: Taken,
}

impl Token {
    /// Returns the instant by which the request must be sent to an upstream, or not at all.
    #[must_use]
    pub const fn run_by(&self) -> Instant {
        self.taken.run_by()
    }
}

/// Decision on a request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The request may run.
    Granted(Token),
    /// The request waits for an answer of the owner. [`Client::resume`] is called after an answer,
    /// and at the latest at this time.
    Wait {
        /// Time of the final decision.
        until: Instant,
    },
    /// The account is above its limit.
    Refused {
        /// When tokens are expected, spread over the refused requests.
        retry_at: Instant,
    },
}

/// What a node has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Tokens that requests have taken.
    pub granted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Tokens whose request did not run.
    pub returned: u64,
    /// Times that the share of a shard was delegated to another process than before.
    pub owner_changes: u64,
}

/// Limits requests at one node.
#[derive(Debug)]
pub struct Client {
    settings: Settings,
    host: Arc<str>,
    incarnation: u64,
    fleet: Fleet,
    shards: Vec<Shard>,
    holdings: HashMap<Key, Holding>,
    /// Accounts by the time at which they are reviewed next.
    reviews: BTreeSet<(Instant, Key)>,
    review_at: HashMap<Key, Instant>,
    sequence: u64,
    pending: BTreeMap<u64, Pending>,
    /// Whether any account has a limit.
    active: bool,
    statistics: Statistics,
}

/// An ask that has not been answered.
#[derive(Debug)]
struct Pending {
    shard: u32,
    to: Arc<str>,
    sent_at: Instant,
    release: bool,
    keys: Vec<Key>,
}

impl Client {
    /// Creates the state of a process that starts.
    #[must_use]
    pub fn new(settings: Settings, host: Arc<str>, incarnation: u64, now: Instant) -> Self {
        let shards = settings.shards.max(1);
        Self {
            fleet: Fleet::new(&host, shards),
            shards: (0..shards)
                .map(|_| Shard::new(Arc::clone(&host), now))
                .collect(),
            settings,
            host,
            incarnation,
            holdings: HashMap::new(),
            reviews: BTreeSet::new(),
            review_at: HashMap::new(),
            sequence: 0,
            pending: BTreeMap::new(),
            active: false,
            statistics: Statistics::default(),
        }
    }

    /// Applies the present hosts, this one included, and those known to have left. `joined` is false
    /// while this node may be one of a fleet that it does not know yet. The process of a host that
    /// has left grants nothing any more, so that a share delegated to it is free.
    pub fn set_hosts(
        &mut self,
        now: Instant,
        present: &BTreeSet<Arc<str>>,
        left: &BTreeSet<Arc<str>>,
        joined: bool,
    ) {
        self.fleet.update(now, present, left, joined);
        for shard in &mut self.shards {
            let holder = shard.holder().filter(|holder| left.contains(*holder));
            if let Some(holder) = holder.cloned() {
                shard.record_release(now, &holder, None);
            }
        }
    }

    /// Replaces the limits of all accounts. Without any limit, no messages are sent.
    pub fn set_limits(&mut self, limits: &Limits) {
        self.active = !limits.is_empty();
        self.holdings
            .retain(|key, holding| holding.waiting > 0 || limits.contains_key(key));
    }

    /// Returns the number of hosts that this node counts.
    #[must_use]
    pub fn hosts(&self, now: Instant) -> u32 {
        self.fleet.own_count(now)
    }

    /// Returns what this node has done so far.
    #[must_use]
    pub const fn statistics(&self) -> Statistics {
        self.statistics
    }

    /// Decides on a request that has just arrived.
    pub fn acquire(&mut self, now: Instant, key: Key, limit: Limit) -> Decision {
        let settings = &self.settings;
        let holding = self
            .holdings
            .entry(key)
            .or_insert_with(|| Holding::new(now, key, Terms::new(settings, limit)));
        if holding.terms.limit != limit {
            holding.terms = Terms::new(settings, limit);
        }
        holding.record_demand(now);
        self.decide(now, key, now + MAX_WAIT)
    }

    /// Decides again on a request that waits until then.
    pub fn resume(&mut self, now: Instant, key: Key, until: Instant) -> Decision {
        self.abandon(key);
        self.decide(now, key, until)
    }

    /// Records that a request no longer waits.
    pub fn abandon(&mut self, key: Key) {
        if let Some(holding) = self.holdings.get_mut(&key) {
            holding.waiting = holding.waiting.saturating_sub(1);
        }
    }

    fn decide(&mut self, now: Instant, key: Key, until: Instant) -> Decision {
        let Some(holding) = self.holdings.get_mut(&key) else {
            return Decision::Refused { retry_at: until };
        };
        let decision = if let Some(taken) = holding.take(now) {
            self.statistics.granted += 1;
            Decision::Granted(Token { key, taken })
        } else if holding.empty_until(now).is_some() || now >= until {
            self.statistics.refused += 1;
            let retry_at = holding.retry_at(now);
            Decision::Refused { retry_at }
        } else {
            holding.waiting += 1;
            Decision::Wait { until }
        };
        self.schedule(now, key);
        decision
    }

    /// Puts back the token of a request that did not run.
    pub fn put_back(&mut self, now: Instant, token: Token) {
        self.statistics.returned += 1;
        if now < token.run_by()
            && let Some(holding) = self.holdings.get_mut(&token.key)
        {
            holding.put_back(token.taken);
            self.schedule(now, token.key);
        }
    }

    /// Updates when the account is reviewed next.
    fn schedule(&mut self, now: Instant, key: Key) {
        let holding = self.holdings.get(&key);
        let next = holding.and_then(|holding| holding.ask_at(now));
        if let Some(before) = self.review_at.remove(&key) {
            self.reviews.remove(&(before, key));
        }
        if let Some(next) = next {
            self.review_at.insert(key, next);
            self.reviews.insert((next, key));
        }
    }

    /// Returns when [`Client::poll`] has to be called next.
    #[must_use]
    pub fn poll_at(&self) -> Option<Instant> {
        if !self.active {
            return None;
        }
        let review_at = self.reviews.first().map(|(at, _)| *at);
        let shards = self.shards.iter().map(|shard| shard.ask_at);
        shards.chain(review_at).min()
    }

    /// Returns the messages to send now, with the hosts to which they go.
    pub fn poll(&mut self, now: Instant) -> Vec<(Arc<str>, Ask)> {
        if self.poll_at().is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.pending
            .retain(|_, pending| now < pending.sent_at + ANSWER_TIMEOUT);
        let mut asks = Vec::new();
        for ((shard, target), entries) in self.review(now) {
            for entries in entries.chunks(MAX_ENTRIES) {
                asks.push(self.ask(now, shard, &target, entries.to_vec()));
            }
        }
        for shard in 0..self.settings.shards.max(1) {
            let due = self.shards[shard as usize].due(now, self.fleet.owner(shard));
            for to in due {
                asks.push(self.ask(now, shard, &to, Vec::new()));
            }
        }
        asks
    }

    /// Returns what to ask for, by shard and by the node to ask.
    fn review(&mut self, now: Instant) -> BTreeMap<(u32, Arc<str>), Vec<Entry>> {
        let mut entries: BTreeMap<_, Vec<Entry>> = BTreeMap::new();
        let later = self.reviews.split_off(&(now, Key(u64::MAX)));
        for (_, key) in std::mem::replace(&mut self.reviews, later) {
            self.review_at.remove(&key);
            let Some(holding) = self.holdings.get_mut(&key) else {
                continue;
            };
            let shard = key.shard(self.settings.shards);
            let owner = self.fleet.owner(shard);
            let state = &self.shards[shard as usize];
            let target = state.target(now, owner, |host| self.fleet.is_present(host));
            if let Some(entry) = holding.ask(now, &target) {
                entries.entry((shard, target)).or_default().push(entry);
            }
            self.schedule(now, key);
        }
        entries
    }

    fn ask(
        &mut self,
        now: Instant,
        shard: u32,
        to: &Arc<str>,
        entries: Vec<Entry>,
    ) -> (Arc<str>, Ask) {
        let joined_at = self.fleet.joined_at();
        let settled = joined_at.is_some_and(|at| now >= at + SETTLED_AFTER);
        let owner = self.fleet.owner(shard);
        let state = &mut self.shards[shard as usize];
        let release = state.releases(now, owner, to);
        self.sequence += 1;
        let delegation = state.send(now, owner, to, self.sequence, settled);
        let pending = Pending {
            shard,
            to: Arc::clone(to),
            sent_at: now,
            release,
            keys: entries.iter().map(|entry| entry.key).collect(),
        };
        self.pending.insert(self.sequence, pending);
        let ask = Ask {
            from: Arc::clone(&self.host),
            incarnation: self.incarnation,
            sequence: self.sequence,
            shard,
            hosts: self.fleet.count(now),
            delegation,
            release,
            entries,
        };
        (Arc::clone(to), ask)
    }

    /// Applies an answer. One that was received before, that is late or that comes from another
    /// node than the one asked is ignored.
    pub fn receive(&mut self, now: Instant, answer: &Answer) {
        let Some(pending) = self.pending.remove(&answer.sequence) else {
            return;
        };
        if pending.to != answer.from || now >= pending.sent_at + ANSWER_TIMEOUT {
            return;
        }
        self.fleet.record_report(now, answer.hosts);
        let owner = self.fleet.owner(pending.shard);
        let shard = &mut self.shards[pending.shard as usize];
        let sequence = answer.sequence;
        if pending.release && shard.is_released(now, owner, &pending.to, sequence) {
            shard.record_release(now, &pending.to, Some(answer.id.incarnation));
        }
        if shard.receive(now, owner, &answer.from, answer.id) {
            self.statistics.owner_changes += 1;
        }
        // The share counts from the moment at which it may.
        let settled_at = self.fleet.joined_at().map(|at| at + SETTLED_AFTER);
        if let Some(settled_at) = settled_at.filter(|at| now < *at) {
            shard.ask_at = shard.ask_at.min(settled_at);
        }
        for key in pending.keys {
            let grant = answer.grants.iter().find(|grant| grant.key == key);
            if let Some(holding) = self.holdings.get_mut(&key) {
                holding.receive(now, pending.sent_at, (&answer.from, answer.id), grant);
            }
            self.schedule(now, key);
        }
    }
}
