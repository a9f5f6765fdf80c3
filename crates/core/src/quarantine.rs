//! Quarantine of requests that crash the upstreams that run them.
//!
//! Load pattern: one request crashes every upstream that starts to run it, together with all other
//! requests in progress there. Its caller retries it several times a second, through any node and
//! under a new id each time. Placed like any other request, it crashes the upstreams of a service
//! one after the other, and crashes them again once they have restarted.
//!
//! The evidence is a [`Crash`]: an upstream crashed while certain requests were in progress. Only
//! the node beside that upstream observes it, so nodes gossip crashes, and sets of crashes merge in
//! any order. The culprit is found by comparison: a request with at least [`ends_least`] crashes
//! that no other request explains better is quarantined; the other requests of the same crashes
//! are not. An answer from an upstream clears a request of the crashes known at that time: a common
//! request is in progress at many crashes, but it is also answered all the time. Where several
//! requests explain the crashes equally well, those that were ever answered are not blamed if
//! another one never was.
//!
//! The threshold counts the crashes of the whole fleet. A node that is isolated from all others
//! counts its own crashes only, while the others may have had the request in quarantine for long.
//! One crash therefore suffices there, if it points to a single request. Such a provisional
//! quarantine is known to this node alone and ends when it is in contact with another node again.
//!
//! From time to time one node sends a quarantined request to its upstream as a trial. A request
//! that was quarantined by chance, or whose upstreams have been fixed, is therefore not refused
//! forever, and one that still crashes upstreams crashes only a few.
//!
//! [`ends_least`]: crate::configs::quarantine::Settings::ends_least

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::answered::Answered;
use crate::configs::quarantine::Settings;
use crate::fingerprint::Fingerprint;
use crate::screen::{Hold, Screen};

/// Every exchange includes a change for this long. These are ten gossip rounds, enough to reach
/// all of a thousand nodes. A node that is cut off for longer only catches up on the quarantined
/// requests, which a differing digest makes its peers send.
const GOSSIP_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of crashes stored per request. Ten may happen before the third has been gossiped
/// to all nodes, and further ones add no evidence.
const MAX_CRASHES_PER_REQUEST: usize = 16;
/// Maximum number of crashes of an isolated node that suffice for a provisional quarantine; later
/// ones replace earlier ones.
const MAX_UNSHARED_CRASHES: usize = 64;

/// A crash of an upstream while a request was in progress there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Identifier of the crash, unique across the fleet.
    pub id: u64,
    /// Digest of the service whose upstream crashed.
    pub service: u64,
    /// Whether an upstream of that service has answered the request since.
    pub cleared: bool,
}

/// The evidence against one request, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes during which the request was in progress, in order of their ids. If the request had
    /// been answered before a crash, a second, cleared entry records that.
    pub crashes: Vec<Crash>,
    /// Number of times that the request was tried while in quarantine.
    pub trials: u32,
    /// Time at which the evidence expires.
    pub expires_at: Instant,
}

/// Quarantine state that another node reported in an exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peer {
    /// Digest of the requests that the node has in quarantine.
    pub digest: u64,
    /// Requests that the node sent evidence about.
    pub fingerprints: Vec<Fingerprint>,
}

/// Event observed by the node beside an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The upstream crashed: it ended without a planned stop.
    Crashed {
        /// Service of the upstream.
        service: Arc<str>,
        /// Requests in progress at the time.
        in_progress: Vec<Fingerprint>,
    },
    /// The upstream restarted with requests in progress whose connections had not broken. Unlike a
    /// crash of its process alone, that may be a loss of power.
    Restarted {
        /// Service of the upstream.
        service: Arc<str>,
        /// Requests in progress at the time.
        in_progress: Vec<Fingerprint>,
    },
    /// The upstream answered a request.
    Answered {
        /// Service of the upstream.
        service: Arc<str>,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A quarantined request was sent to the upstream as a trial.
    Tried(Fingerprint),
}

/// Effect of an event or message, by how soon other nodes need to learn of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing changed.
    None,
    /// A change that regular gossip rounds spread soon enough.
    Deferred,
    /// A change that other nodes need at once: a crash, a trial, or a change of the quarantine.
    Urgent,
}

/// All suspect requests known to one node.
#[derive(Debug)]
pub struct Quarantine {
    settings: Settings,
    /// Distinguishes this node's crash ids from those of other nodes and of its earlier starts.
    node_id: u64,
    crash_count: u64,
    suspects: BTreeMap<Fingerprint, Entry>,
    /// Requests that this node's upstream has answered.
    answered: Answered,
    /// Ids of the crashes that may suffice for a provisional quarantine: those that this node has
    /// observed since it became isolated; `None` while it is in contact with other nodes.
    unshared_crashes: Option<VecDeque<u64>>,
}

#[derive(Debug)]
struct Entry {
    crashes: BTreeMap<u64, Crash>,
    trials: u32,
    /// `None` if the request is not in quarantine.
    hold: Option<Hold>,
    expires_at: Instant,
    gossip_until: Instant,
}

impl Entry {
    /// Returns whether the fleet's threshold is reached, so that all nodes agree on it.
    fn is_established(&self) -> bool {
        self.hold.is_some_and(|hold| !hold.is_provisional)
    }

    fn to_suspect(&self, fingerprint: Fingerprint) -> Suspect {
        Suspect {
            fingerprint,
            crashes: self.crashes.values().copied().collect(),
            trials: self.trials,
            expires_at: self.expires_at,
        }
    }

    fn uncleared_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(|crash| !crash.cleared)
    }

    fn was_answered(&self) -> bool {
        self.crashes.values().any(|crash| crash.cleared)
    }
}

impl Quarantine {
    /// Creates an empty quarantine. `node_id` must differ between nodes and between starts of one
    /// node.
    #[must_use]
    pub fn new(settings: Settings, node_id: u64) -> Self {
        Self {
            settings,
            node_id,
            crash_count: 0,
            suspects: BTreeMap::new(),
            answered: Answered::default(),
            unshared_crashes: None,
        }
    }

    /// Records whether this node is isolated: no other node can have told it, since its start or
    /// for a while, which requests are in quarantine, or can learn of crashes from it.
    ///
    /// Failure: a new process starts with an empty quarantine, and neither a peer nor the store
    /// answers it. Symptom: beside each such process a request that the fleet has in quarantine
    /// crashes the upstream until the process has counted up to the threshold by itself.
    pub fn set_isolated(&mut self, now: Instant, is_isolated: bool) -> Change {
        if is_isolated == self.unshared_crashes.is_some() {
            return Change::None;
        }
        if is_isolated {
            self.unshared_crashes = Some(VecDeque::new());
            return Change::None;
        }
        let unshared = self.unshared_crashes.take().unwrap_or_default();
        for entry in self.suspects.values_mut() {
            if unshared.iter().any(|id| entry.crashes.contains_key(id)) {
                entry.gossip_until = now + GOSSIP_WINDOW;
            }
        }
        self.reevaluate(now, Change::Deferred)
    }

    /// Records an event observed at this node's upstream.
    pub fn record(&mut self, now: Instant, event: Event) -> Change {
        match event {
            Event::Crashed {
                service,
                in_progress,
            } => self.record_crash(now, &service, &in_progress, true),
            Event::Restarted {
                service,
                in_progress,
            } => self.record_crash(now, &service, &in_progress, false),
            Event::Answered {
                service,
                fingerprint,
            } => self.record_answer(now, &service, fingerprint),
            Event::Tried(fingerprint) => self.record_trial(now, fingerprint),
        }
    }

    /// Merges the evidence that another node sent.
    pub fn merge(&mut self, now: Instant, suspects: Vec<Suspect>) -> Change {
        let mut change = Change::None;
        for suspect in suspects {
            if suspect.expires_at > now {
                change = change.max(self.merge_one(now, suspect));
            }
        }
        self.reevaluate(now, change)
    }

    /// Removes expired evidence.
    pub fn expire(&mut self, now: Instant) -> Change {
        let before = self.suspects.len();
        self.suspects.retain(|_, entry| entry.expires_at > now);
        if self.suspects.len() == before {
            return Change::None;
        }
        self.reevaluate(now, Change::Deferred);
        Change::Deferred
    }

    /// Returns what to send to another node: recent changes and, if the peer's quarantine differs
    /// from this node's, all requests in quarantine here and the evidence on those that the peer
    /// sent. The peer may have missed that they were cleared.
    #[must_use]
    pub fn updates_for(&self, now: Instant, peer: Option<&Peer>) -> Vec<Suspect> {
        let differing = peer.filter(|peer| peer.digest != self.digest());
        let peer_suspects = differing.map_or(&[][..], |peer| &peer.fingerprints);
        self.select(|fingerprint, entry| {
            let catch_up = differing.is_some() && entry.is_established();
            catch_up || now < entry.gossip_until || peer_suspects.contains(fingerprint)
        })
    }

    /// Returns the requests in quarantine, without provisional ones.
    #[must_use]
    pub fn quarantined(&self) -> Vec<Suspect> {
        self.select(|_, entry| entry.is_established())
    }

    /// Returns the requests that this node refuses, provisional ones included.
    #[must_use]
    pub fn refused(&self) -> Vec<(Suspect, Hold)> {
        let entries = self.suspects.iter();
        let refused = entries.filter_map(|(fingerprint, entry)| {
            let hold = entry.hold?;
            Some((entry.to_suspect(*fingerprint), hold))
        });
        refused.collect()
    }

    /// Returns the number of suspect requests, quarantined or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there is no suspect request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn select(&self, predicate: impl Fn(&Fingerprint, &Entry) -> bool) -> Vec<Suspect> {
        let selected = self.suspects.iter();
        let selected = selected.filter(|(fingerprint, entry)| predicate(fingerprint, entry));
        let suspects = selected.map(|(fingerprint, entry)| entry.to_suspect(*fingerprint));
        suspects.collect()
    }

    /// Returns a digest of the quarantined requests; it is the same on nodes with the same
    /// quarantine.
    ///
    /// Provisional ones are left out: a peer with the same request in quarantine would otherwise
    /// see no difference and not send the evidence on which the quarantine rests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let quarantined = self.suspects.iter();
        let quarantined = quarantined.filter(|(_, entry)| entry.is_established());
        let digests =
            quarantined.map(|(fingerprint, entry)| digest_of((fingerprint, entry.trials)));
        digests.fold(0, |sum, digest| sum ^ digest)
    }

    /// Returns a snapshot for looking up requests.
    #[must_use]
    pub fn screen(&self) -> Screen {
        let uncleared = self.suspects.iter();
        let uncleared = uncleared.filter(|(_, entry)| entry.uncleared_crashes().next().is_some());
        uncleared
            .map(|(fingerprint, entry)| (*fingerprint, entry.hold))
            .collect()
    }

    /// Records a crash; `may_suffice` is whether it may be enough for a provisional quarantine.
    fn record_crash(
        &mut self,
        now: Instant,
        service: &str,
        in_progress: &[Fingerprint],
        may_suffice: bool,
    ) -> Change {
        self.crash_count += 1;
        let crash = Crash {
            id: digest_of((self.node_id, self.crash_count)),
            service: digest_of(service),
            cleared: false,
        };
        let answered_before = Crash {
            id: digest_of((crash.id, "answered before")),
            cleared: true,
            ..crash
        };
        if let Some(unshared) = &mut self.unshared_crashes
            && may_suffice
        {
            if unshared.len() == MAX_UNSHARED_CRASHES {
                unshared.pop_front();
            }
            unshared.push_back(crash.id);
        }
        let expires_at = now + self.settings.remember_for;
        let mut change = Change::None;
        for fingerprint in in_progress {
            let mut crashes = vec![crash];
            if self.answered.contains(*fingerprint) {
                crashes.push(answered_before);
            }
            let suspect = Suspect {
                fingerprint: *fingerprint,
                crashes,
                trials: 0,
                expires_at,
            };
            change = change.max(self.merge_one(now, suspect));
        }
        self.reevaluate(now, change)
    }

    /// Clears a request of the crashes of the answering service only: another service that gets a
    /// share of the same traffic may well be able to run the request.
    fn record_answer(&mut self, now: Instant, service: &str, fingerprint: Fingerprint) -> Change {
        self.answered.record(fingerprint);
        let service = digest_of(service);
        let head_only = Fingerprint {
            body: None,
            ..fingerprint
        };
        let mut change = Change::None;
        for answered in [fingerprint, head_only] {
            let Some(entry) = self.suspects.get_mut(&answered) else {
                continue;
            };
            let mut cleared = false;
            for crash in entry.crashes.values_mut() {
                cleared |= crash.service == service && !crash.cleared;
                crash.cleared |= crash.service == service;
            }
            if cleared {
                entry.gossip_until = now + GOSSIP_WINDOW;
                change = Change::Deferred;
            }
        }
        self.reevaluate(now, change)
    }

    fn record_trial(&mut self, now: Instant, fingerprint: Fingerprint) -> Change {
        let remember_for = self.settings.remember_for;
        let Some(entry) = self.suspects.get_mut(&fingerprint) else {
            return Change::None;
        };
        entry.trials += 1;
        entry.hold = None;
        entry.expires_at = now + remember_for;
        entry.gossip_until = now + GOSSIP_WINDOW;
        self.reevaluate(now, Change::Urgent)
    }

    /// Merges evidence on one request.
    fn merge_one(&mut self, now: Instant, suspect: Suspect) -> Change {
        let new_entry = || Entry {
            crashes: BTreeMap::new(),
            trials: 0,
            hold: None,
            expires_at: suspect.expires_at,
            gossip_until: now,
        };
        let entry = self.suspects.entry(suspect.fingerprint);
        let entry = entry.or_insert_with(new_entry);
        let before = entry.crashes.clone();
        for crash in suspect.crashes {
            let own = entry.crashes.entry(crash.id).or_insert(crash);
            own.cleared |= crash.cleared;
        }
        let is_new = |crash: &Crash| !crash.cleared && !before.contains_key(&crash.id);
        let has_new_crash = entry.crashes.values().any(is_new);
        while entry.crashes.len() > MAX_CRASHES_PER_REQUEST {
            entry.crashes.pop_last();
        }
        let has_new_trial = suspect.trials > entry.trials;
        if has_new_trial {
            entry.trials = suspect.trials;
            entry.hold = None;
        }
        entry.expires_at = entry.expires_at.max(suspect.expires_at);
        if !has_new_trial && entry.crashes == before {
            return Change::None;
        }
        entry.gossip_until = now + GOSSIP_WINDOW;
        if has_new_trial || has_new_crash {
            Change::Urgent
        } else {
            Change::Deferred
        }
    }

    /// Evicts surplus suspects after a change and recomputes which requests are in quarantine.
    fn reevaluate(&mut self, now: Instant, change: Change) -> Change {
        if change == Change::None {
            return change;
        }
        self.evict_surplus();
        let before = self.digest();
        let culprits = self.find_culprits();
        let provisional = self.find_provisional_culprits();
        for (fingerprint, entry) in &mut self.suspects {
            let is_established = culprits.contains(fingerprint);
            if !is_established && !provisional.contains(fingerprint) {
                entry.hold = None;
                continue;
            }
            let delay = trial_delay(&self.settings, entry.trials);
            entry.hold = Some(Hold {
                trial_at: entry.hold.map_or(now + delay, |hold| hold.trial_at),
                is_provisional: !is_established,
            });
        }
        if self.digest() == before {
            change
        } else {
            Change::Urgent
        }
    }

    /// Returns the requests that explain the crashes best.
    ///
    /// Failure: six requests are in progress at each crash, and some of the innocent ones are
    /// common. Symptom: if the number of crashes alone decided, half of a service's requests would
    /// be refused. The request with the most crashes explains all of them; another request is
    /// blamed only for the crashes that remain unexplained.
    ///
    /// Failure: all upstreams of a service crash at once, with a common request in progress at
    /// each. Symptom: the common request has as many crashes as the culprit, and its callers are
    /// refused for seconds. Of requests that explain equally many crashes, those that were answered
    /// are not blamed if another one never was.
    fn find_culprits(&self) -> BTreeSet<Fingerprint> {
        let mut culprits = BTreeSet::new();
        let mut explained: BTreeSet<u64> = BTreeSet::new();
        loop {
            let mut max_unexplained = self.settings.ends_least.max(1);
            let mut candidates: Vec<Fingerprint> = Vec::new();
            for (fingerprint, entry) in &self.suspects {
                let uncleared = entry.uncleared_crashes();
                let unexplained = uncleared
                    .filter(|crash| !explained.contains(&crash.id))
                    .count();
                if unexplained > max_unexplained {
                    max_unexplained = unexplained;
                    candidates.clear();
                }
                if unexplained == max_unexplained {
                    candidates.push(*fingerprint);
                }
            }
            if candidates.is_empty() {
                return culprits;
            }
            let never_answered =
                |fingerprint: &Fingerprint| !self.suspects[fingerprint].was_answered();
            if candidates.iter().any(never_answered) {
                candidates.retain(never_answered);
            }
            for fingerprint in candidates {
                let crashes = self.suspects[&fingerprint].uncleared_crashes();
                explained.extend(crashes.map(|crash| crash.id));
                culprits.insert(fingerprint);
            }
        }
    }

    /// Returns the requests to which the crashes of an isolated node point: those that were never
    /// answered and of whose crashes no other such request explains all.
    ///
    /// An innocent request that is alone in progress at a crash is refused until the node has
    /// contact again or a trial is answered.
    fn find_provisional_culprits(&self) -> BTreeSet<Fingerprint> {
        let Some(unshared) = &self.unshared_crashes else {
            return BTreeSet::new();
        };
        let mut evidence: Vec<(Fingerprint, BTreeSet<u64>)> = Vec::new();
        for (fingerprint, entry) in &self.suspects {
            let ids = entry.uncleared_crashes().map(|crash| crash.id);
            let ids: BTreeSet<u64> = ids.filter(|id| unshared.contains(id)).collect();
            if !ids.is_empty() && !entry.was_answered() {
                evidence.push((*fingerprint, ids));
            }
        }
        let is_explained = |fingerprint: &Fingerprint, ids: &BTreeSet<u64>| {
            let mut others = evidence.iter().filter(|(other, _)| other != fingerprint);
            others.any(|(_, other_ids)| ids.is_subset(other_ids))
        };
        let culprits = evidence
            .iter()
            .filter(|(fingerprint, ids)| !is_explained(fingerprint, ids));
        culprits.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Evicts the suspects beyond the configured maximum.
    ///
    /// Failure: an availability zone is lost with hundreds of requests in progress, or a caller
    /// sends a thousand requests that crash upstreams. Symptom: memory use and message sizes grow
    /// with them. Suspects with the fewest crashes are evicted first, in an order that is the same
    /// on all nodes, so that the nodes converge.
    fn evict_surplus(&mut self) {
        let surplus = self
            .suspects
            .len()
            .saturating_sub(self.settings.suspects_most);
        if surplus == 0 {
            return;
        }
        let rank = |(fingerprint, entry): (&Fingerprint, &Entry)| {
            (entry.uncleared_crashes().count(), *fingerprint)
        };
        let mut order: Vec<(usize, Fingerprint)> = self.suspects.iter().map(rank).collect();
        order.sort_unstable();
        for (_, fingerprint) in &order[..surplus] {
            self.suspects.remove(fingerprint);
        }
    }
}

/// Returns the delay until a request may be tried again after this number of trials.
fn trial_delay(settings: &Settings, trials: u32) -> Duration {
    let Some(doublings) = trials.checked_sub(1) else {
        return settings.trial_after;
    };
    let factor = 2_u32.saturating_pow(doublings);
    let delay = settings.trial_again_after.saturating_mul(factor);
    delay.min(settings.trial_pause_most)
}

/// Returns the one host of a service that tries a quarantined request.
///
/// Failure: a trial is due, and callers retry the request through every node. Symptom: as many
/// upstreams crash as there are nodes. All nodes that know the same hosts choose the same one, and
/// only its node lets the request through, once.
#[must_use]
pub fn trial_host<'a>(
    fingerprint: Fingerprint,
    hosts: impl Iterator<Item = &'a Arc<str>>,
) -> Option<&'a Arc<str>> {
    hosts.max_by_key(|host| digest_of((fingerprint.head, host)))
}

fn digest_of(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
