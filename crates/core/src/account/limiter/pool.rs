//! Owner's side: one bucket for each account, filled by the shares delegated to this node.
//!
//! Failure: a delegation counts at two owners. Symptom: the limit is exceeded by that share. A
//! delegation repeats the number of an answer of this process, which tells when the answer was sent,
//! and counts for a fixed time from then on. However late the delegation arrives, the node that sent
//! it knows when it has lapsed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::terms::Terms;
use super::{Answer, AnswerId, Ask, DELEGATION_LIFE, Entry, Grant, Key, Limits, Returned};
use crate::configs::account::Settings;

/// Longest wait for tokens that an answer states.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Spare tokens are granted only from what exceeds this part of the capacity, so that requests that
/// wait are not refused because other nodes keep tokens in reserve.
const KEPT_FOR_WAITING: f64 = 0.5;
/// How long the last message of a node is remembered, to recognize repeated ones. A node whose clock
/// was set back before it restarted is ignored for as long.
const SENDER_REMEMBERED_FOR: Duration = Duration::from_secs(10);

/// The buckets of the shards that nodes delegated to this one.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    host: Arc<str>,
    incarnation: u64,
    started_at: Instant,
    limits: Arc<Limits>,
    shards: BTreeMap<u32, Shard>,
    senders: HashMap<Arc<str>, Sender>,
}

#[derive(Debug)]
struct Sender {
    /// Incarnation and number of the latest message.
    latest: (u64, u64),
    heard_at: Instant,
}

#[derive(Debug)]
struct Shard {
    delegations: BTreeMap<Arc<str>, Share>,
    /// No delegation lapses before then.
    lapses_at: Option<Instant>,
    /// Sum of the shares, at most 1.
    total: f64,
    buckets: HashMap<Key, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    part: f64,
    until: Instant,
}

#[derive(Debug)]
struct Bucket {
    terms: Terms,
    level: f64,
    updated_at: Instant,
    /// Tokens granted that may still be used, with the time at which they no longer can.
    granted: Vec<(Instant, f64)>,
    /// Tokens that were needed and not available, less those filled since.
    backlog: f64,
}

impl Pool {
    /// Creates the pool of a process that starts.
    #[must_use]
    pub fn new(settings: Settings, host: Arc<str>, incarnation: u64, now: Instant) -> Self {
        Self {
            settings,
            host,
            incarnation,
            started_at: now,
            limits: Arc::default(),
            shards: BTreeMap::new(),
            senders: HashMap::new(),
        }
    }

    /// Replaces the limits of all accounts.
    pub fn set_limits(&mut self, now: Instant, limits: &Arc<Limits>) {
        self.limits = Arc::clone(limits);
        for (index, shard) in &mut self.shards {
            shard.set_limits(now, *index, &self.settings, limits);
        }
    }

    /// Returns the number of nodes that delegate their shares of any shard to this one, counted for
    /// each shard.
    #[must_use]
    pub fn delegations(&self) -> usize {
        let shards = self.shards.values();
        shards.map(|shard| shard.delegations.len()).sum()
    }

    /// Removes what has expired; called about once a second.
    pub fn tick(&mut self, now: Instant) {
        for shard in self.shards.values_mut() {
            shard.expire(now);
        }
        self.shards.retain(|_, shard| shard.total > 0.0);
        self.senders
            .retain(|_, sender| now < sender.heard_at + SENDER_REMEMBERED_FOR);
    }

    /// Applies a message; `hosts` is the number of hosts that this node knows. Returns `None` for a
    /// message that was received before or is older than the latest of its sender.
    pub fn handle(&mut self, now: Instant, hosts: u32, ask: &Ask) -> Option<Answer> {
        if ask.shard >= self.settings.shards || !self.record_sender(now, ask) {
            return None;
        }
        if ask.release
            && let Some(shard) = self.shards.get_mut(&ask.shard)
        {
            shard.release(now, &ask.from);
        }
        let until = self.counts_until(ask).filter(|until| now < *until);
        if let Some(until) = until {
            let part = 1.0 / f64::from(ask.hosts.max(hosts).max(1));
            let shard = self.shards.entry(ask.shard).or_insert_with(|| {
                let mut shard = Shard::new();
                shard.set_limits(now, ask.shard, &self.settings, &self.limits);
                shard
            });
            shard.delegate(now, &ask.from, Share { part, until });
        }
        let grants = self.grants(now, ask);
        let age = now.saturating_duration_since(self.started_at);
        let id = AnswerId {
            incarnation: self.incarnation,
            number: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        Some(Answer {
            from: Arc::clone(&self.host),
            id,
            sequence: ask.sequence,
            hosts,
            grants,
        })
    }

    fn grants(&mut self, now: Instant, ask: &Ask) -> Vec<Grant> {
        let Some(shard) = self.shards.get_mut(&ask.shard) else {
            return Vec::new();
        };
        shard.expire(now);
        let mut grants = Vec::new();
        for entry in &ask.entries {
            let returned = entry.returned;
            let returned = returned.filter(|it| it.granted.incarnation == self.incarnation);
            let granted_at = returned.and_then(|it| sent_at(self.started_at, it.granted));
            grants.extend(shard.grant(now, entry, returned.zip(granted_at)));
        }
        grants
    }

    /// Returns until when the delegation in a message counts; it must repeat an answer of this
    /// process.
    fn counts_until(&self, ask: &Ask) -> Option<Instant> {
        let delegation = ask.delegation?;
        if delegation.incarnation != self.incarnation {
            return None;
        }
        sent_at(self.started_at, delegation)?.checked_add(DELEGATION_LIFE)
    }

    /// Records the number of a message; returns false for one that is not newer than the latest.
    ///
    /// Failure: a datagram arrives twice. Symptom: its returned tokens are credited twice.
    fn record_sender(&mut self, now: Instant, ask: &Ask) -> bool {
        let number = (ask.incarnation, ask.sequence);
        let sender = self.senders.entry(Arc::clone(&ask.from)).or_insert(Sender {
            latest: (0, 0),
            heard_at: now,
        });
        let is_newer = number > sender.latest;
        if is_newer {
            sender.latest = number;
            sender.heard_at = now;
        }
        is_newer
    }
}

impl Shard {
    fn new() -> Self {
        Self {
            delegations: BTreeMap::new(),
            lapses_at: None,
            total: 0.0,
            buckets: HashMap::new(),
        }
    }

    /// Applies the limits of the accounts in this shard.
    fn set_limits(&mut self, now: Instant, index: u32, settings: &Settings, limits: &Limits) {
        self.expire(now);
        self.advance(now);
        self.buckets.retain(|key, _| limits.contains_key(key));
        let own = limits.iter();
        for (key, limit) in own.filter(|(key, _)| key.shard(settings.shards) == index) {
            let terms = Terms::new(settings, *limit);
            let bucket = self.buckets.entry(*key).or_insert_with(|| Bucket {
                terms,
                level: 0.0,
                updated_at: now,
                granted: Vec::new(),
                backlog: 0.0,
            });
            bucket.terms = terms;
            bucket.advance(now, self.total);
        }
    }

    fn delegate(&mut self, now: Instant, host: &Arc<str>, share: Share) {
        self.expire(now);
        let before = self.delegations.insert(Arc::clone(host), share);
        let lapses_at = self.lapses_at.unwrap_or(share.until);
        self.lapses_at = Some(lapses_at.min(share.until));
        if before.is_none_or(|before| (before.part - share.part).abs() > f64::EPSILON) {
            self.recount(now);
        }
    }

    /// Removes the delegation of a node that takes its share back. An earlier message of that node
    /// that arrives later is ignored.
    fn release(&mut self, now: Instant, host: &str) {
        self.expire(now);
        if self.delegations.remove(host).is_some() {
            self.recount(now);
        }
    }

    /// Removes delegations that have lapsed, each at the time when it did, so that after a pause of
    /// the process nothing is filled for the time after it.
    fn expire(&mut self, now: Instant) {
        while self.lapses_at.is_some_and(|at| at <= now) {
            self.lapses_at = self.delegations.values().map(|share| share.until).min();
            let Some(until) = self.lapses_at.filter(|until| *until <= now) else {
                return;
            };
            self.delegations.retain(|_, share| share.until > until);
            self.recount(until);
        }
    }

    fn advance(&mut self, now: Instant) {
        for bucket in self.buckets.values_mut() {
            bucket.advance(now, self.total);
        }
    }

    /// Updates the sum of the shares and all buckets, which hold no more than their part of the
    /// burst at any time.
    fn recount(&mut self, now: Instant) {
        self.advance(now);
        let total: f64 = self.delegations.values().map(|share| share.part).sum();
        self.total = total.min(1.0);
        self.advance(now);
    }

    /// Credits what an entry returns, with the time at which it was granted, and grants what it asks
    /// for; `None` if the account is not known.
    fn grant(
        &mut self,
        now: Instant,
        entry: &Entry,
        returned: Option<(Returned, Instant)>,
    ) -> Option<Grant> {
        let bucket = self.buckets.get_mut(&entry.key)?;
        bucket.advance(now, self.total);
        if let Some((returned, granted_at)) = returned {
            bucket.take_back(returned.tokens, granted_at, self.total);
        }
        let needed = bucket.grant(now, entry.needed, 0.0);
        let kept = bucket.terms.capacity * self.total * KEPT_FOR_WAITING;
        let spare = bucket.grant(now, entry.spare, kept);
        let missing = entry.needed - needed;
        Some(Grant {
            key: entry.key,
            tokens: needed + spare,
            life: bucket.terms.life,
            wait: (missing > 0).then(|| bucket.record_missing(missing, self.total)),
        })
    }
}

impl Bucket {
    /// Fills the bucket for the time since the last update, at the rate of the shares.
    fn advance(&mut self, now: Instant, shares: f64) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.granted.retain(|(until, _)| now < *until);
        let filled = self.terms.limit.per_second * shares * elapsed;
        self.backlog = (self.backlog - filled).max(0.0);
        self.set_level(self.level + filled, shares);
    }

    /// Sets the level, within its part of the burst, and within what may be used in addition to the
    /// tokens granted.
    ///
    /// Failure: a node returns tokens late in their life and gets new ones in their place. Symptom:
    /// tokens outlive the time that the bound allows for. The sum of the level and of the tokens
    /// outstanding is therefore limited.
    fn set_level(&mut self, level: f64, shares: f64) {
        let recorded = self.terms.recorded_for().as_secs_f64();
        let most = (self.terms.capacity + self.terms.limit.per_second * recorded) * shares;
        let room = (most - self.outstanding()).max(0.0);
        self.level = level.min(self.terms.capacity * shares).min(room);
    }

    fn outstanding(&self) -> f64 {
        self.granted.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Credits tokens that a node did not use, if they still count as outstanding.
    fn take_back(&mut self, returned: u32, granted_at: Instant, shares: f64) {
        let recorded = self.granted.iter_mut();
        let mut recorded = recorded.filter(|(until, _)| *until >= granted_at + self.terms.life);
        if let Some((_, tokens)) = recorded.next() {
            let credited = tokens.min(f64::from(returned));
            *tokens -= credited;
            self.set_level(self.level + credited, shares);
        }
    }

    /// Grants up to `wanted` tokens from what the level exceeds `kept` by.
    fn grant(&mut self, now: Instant, wanted: u32, kept: f64) -> u32 {
        let available = (self.level - kept).max(0.0).floor();
        let granted = f64::from(wanted).min(available);
        if granted < 1.0 {
            return 0;
        }
        self.level -= granted;
        match self.granted.last_mut() {
            Some((until, tokens)) if *until >= now + self.terms.life => *tokens += granted,
            _ => {
                let until = now + self.terms.recorded_for();
                self.granted.push((until, granted));
            }
        }
        to_u32(granted)
    }

    /// Records tokens that were needed and not available; returns the time until they are.
    fn record_missing(&mut self, missing: u32, shares: f64) -> Duration {
        let rate = self.terms.limit.per_second * shares;
        self.backlog = (self.backlog + f64::from(missing)).min(rate.max(1.0));
        if rate <= 0.0 {
            return Duration::from_secs(1);
        }
        let missing = (self.backlog - self.level).max(0.0);
        Duration::from_secs_f64((missing / rate).min(MAX_WAIT.as_secs_f64()))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_u32(tokens: f64) -> u32 {
    tokens as u32
}

/// Returns when an answer of this process was sent, or `None` for a number that it cannot have.
fn sent_at(started_at: Instant, answer: AnswerId) -> Option<Instant> {
    started_at.checked_add(Duration::from_millis(answer.number))
}
