//! Requests that end the upstreams that run them, and what is held back for it.
//!
//! Load pattern: one request ends each upstream that begins to run it, with all else in progress
//! there, and its caller repeats it several times a second, through any node and under a new id
//! each time. Placed like any other it takes the upstreams of a service down one after the other,
//! those that came back first.
//!
//! Evidence is an [`End`]: an upstream ended, and these were in progress. Only the node beside it
//! sees that, so ends are told to all nodes, and sets of ends merge in any order. Who is to blame
//! of those in progress shows by comparison: a request under which [`ends_least`] ended that no
//! other request explains better is held back, the others of the same ends are not. A request that
//! an upstream answers is cleared of the ends known then: one that is common is in progress at
//! many ends, and is answered all the time. Where requests explain the ends equally well, those that
//! were ever answered are not blamed beside one that never was.
//!
//! A request that is held back is tried now and then, by one node, so that one that was blamed
//! by chance, or whose upstreams were mended, is not refused for good, and one that still ends
//! upstreams ends few.
//!
//! [`ends_least`]: crate::configs::quarantine::Settings::ends_least

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::answered::Answered;
use crate::configs::quarantine::Settings;
use crate::fingerprint::Fingerprint;
use crate::screen::Screen;

/// What changed is told in every exchange for this long: ten rounds, in which news reaches all of
/// a thousand nodes. A node that hears nobody meanwhile asks for what is held back alone.
const NEWS_FOR: Duration = Duration::from_secs(5);
/// Ends remembered of one request: ten may come before the news of the third has spread, and more
/// prove nothing more.
const ENDS_MOST: usize = 16;

/// One upstream ended while a request was in progress there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct End {
    /// Tells ends apart, all over the fleet.
    pub id: u64,
    /// Digest of the service whose upstream ended.
    pub service: u64,
    /// An upstream of that service answered the request later.
    pub cleared: bool,
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Ends at which it was in progress, by their ids; an answer known before an end stands here
    /// as an end that was cleared.
    pub ends: Vec<End>,
    /// Times it was tried while held back.
    pub trials: u32,
    /// When it is forgotten.
    pub forgotten_at: Instant,
}

/// What another node told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peer {
    /// Digest of what it holds back.
    pub digest: u64,
    /// Requests of which it told something.
    pub named: Vec<Fingerprint>,
}

/// What the node beside an upstream saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The upstream ended, unplanned, with these in progress.
    Ended {
        /// Service of the upstream.
        service: Arc<str>,
        /// What was in progress.
        in_progress: Vec<Fingerprint>,
    },
    /// The upstream answered a suspect.
    Answered {
        /// Service of the upstream.
        service: Arc<str>,
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A request that is held back was handed over.
    Tried(Fingerprint),
}

/// What an event or message changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing.
    None,
    /// Something that other nodes hear of soon enough by the way.
    Quiet,
    /// Something that other nodes must know at once: an end, a trial, or what is held back.
    Urgent,
}

/// All suspects that one node knows.
#[derive(Debug)]
pub struct Quarantine {
    settings: Settings,
    /// Tells this node's ends from those of others, and of an earlier start of it.
    node: u64,
    ends_seen: u64,
    suspects: BTreeMap<Fingerprint, Known>,
    /// Requests that this node's upstream answered.
    answered: Answered,
}

#[derive(Debug)]
struct Known {
    ends: BTreeMap<u64, End>,
    trials: u32,
    /// When it may be tried, if it is held back.
    trial_at: Option<Instant>,
    forgotten_at: Instant,
    news_until: Instant,
}

impl Known {
    fn open_ends(&self) -> impl Iterator<Item = &End> {
        self.ends.values().filter(|end| !end.cleared)
    }

    fn was_answered(&self) -> bool {
        self.ends.values().any(|end| end.cleared)
    }
}

impl Quarantine {
    /// Knows of nothing; `node` tells nodes and their starts apart.
    #[must_use]
    pub fn new(settings: Settings, node: u64) -> Self {
        Self {
            settings,
            node,
            ends_seen: 0,
            suspects: BTreeMap::new(),
            answered: Answered::default(),
        }
    }

    /// Takes in what was seen beside this node's upstream.
    pub fn seen(&mut self, now: Instant, event: Event) -> Change {
        match event {
            Event::Ended {
                service,
                in_progress,
            } => self.ended(now, &service, &in_progress),
            Event::Answered {
                service,
                fingerprint,
            } => self.answered(now, &service, fingerprint),
            Event::Tried(fingerprint) => self.tried(now, fingerprint),
        }
    }

    /// Takes in what another node knows.
    pub fn merge(&mut self, now: Instant, theirs: Vec<Suspect>) -> Change {
        let mut change = Change::None;
        for suspect in theirs {
            if suspect.forgotten_at > now {
                change = change.max(self.merge_one(now, suspect));
            }
        }
        self.settle(now, change)
    }

    /// Forgets what is due.
    pub fn tick(&mut self, now: Instant) -> Change {
        let before = self.suspects.len();
        self.suspects.retain(|_, known| known.forgotten_at > now);
        if self.suspects.len() == before {
            return Change::None;
        }
        self.settle(now, Change::Quiet);
        Change::Quiet
    }

    /// What another node is to be told: what changed lately, and if it holds back other requests
    /// than this one, all that is held back here and what is known of those that it named. It may
    /// have missed that they were cleared.
    #[must_use]
    pub fn updates_for(&self, now: Instant, theirs: Option<&Peer>) -> Vec<Suspect> {
        let differs = theirs.filter(|theirs| theirs.digest != self.digest());
        let named = differs.map_or(&[][..], |theirs| &theirs.named);
        self.select(|fingerprint, known| {
            let held = differs.is_some() && known.trial_at.is_some();
            held || now < known.news_until || named.contains(fingerprint)
        })
    }

    /// What is held back.
    #[must_use]
    pub fn held(&self) -> Vec<Suspect> {
        self.select(|_, known| known.trial_at.is_some())
    }

    /// Requests known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn select(&self, wanted: impl Fn(&Fingerprint, &Known) -> bool) -> Vec<Suspect> {
        let selected = self.suspects.iter();
        let selected = selected.filter(|(fingerprint, known)| wanted(fingerprint, known));
        let told = selected.map(|(fingerprint, known)| Suspect {
            fingerprint: *fingerprint,
            ends: known.ends.values().copied().collect(),
            trials: known.trials,
            forgotten_at: known.forgotten_at,
        });
        told.collect()
    }

    /// Digest of what is held back; nodes that hold back the same have the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let held = self.suspects.iter();
        let held = held.filter(|(_, known)| known.trial_at.is_some());
        let digests = held.map(|(fingerprint, known)| digest_of((fingerprint, known.trials)));
        digests.fold(0, |sum, digest| sum ^ digest)
    }

    /// What requests are held to.
    #[must_use]
    pub fn screen(&self) -> Screen {
        let open = self.suspects.iter();
        let open = open.filter(|(_, known)| known.open_ends().next().is_some());
        open.map(|(fingerprint, known)| (*fingerprint, known.trial_at))
            .collect()
    }

    fn ended(&mut self, now: Instant, service: &str, in_progress: &[Fingerprint]) -> Change {
        self.ends_seen += 1;
        let end = End {
            id: digest_of((self.node, self.ends_seen)),
            service: digest_of(service),
            cleared: false,
        };
        let answered_before = End {
            id: digest_of((end.id, "answered before")),
            cleared: true,
            ..end
        };
        let forgotten_at = now + self.settings.remember_for;
        let mut change = Change::None;
        for fingerprint in in_progress {
            let mut ends = vec![end];
            if self.answered.contains(*fingerprint) {
                ends.push(answered_before);
            }
            let suspect = Suspect {
                fingerprint: *fingerprint,
                ends,
                trials: 0,
                forgotten_at,
            };
            change = change.max(self.merge_one(now, suspect));
        }
        self.settle(now, change)
    }

    /// An answer clears a request of the ends of the answering service: another service that gets
    /// part of its traffic may well be able to run it.
    fn answered(&mut self, now: Instant, service: &str, fingerprint: Fingerprint) -> Change {
        self.answered.note(fingerprint);
        let service = digest_of(service);
        let by_head = Fingerprint {
            body: None,
            ..fingerprint
        };
        let mut change = Change::None;
        for answered in [fingerprint, by_head] {
            let Some(known) = self.suspects.get_mut(&answered) else {
                continue;
            };
            let mut cleared = false;
            for end in known.ends.values_mut() {
                cleared |= end.service == service && !end.cleared;
                end.cleared |= end.service == service;
            }
            if cleared {
                known.news_until = now + NEWS_FOR;
                change = Change::Quiet;
            }
        }
        self.settle(now, change)
    }

    fn tried(&mut self, now: Instant, fingerprint: Fingerprint) -> Change {
        let remember_for = self.settings.remember_for;
        let Some(known) = self.suspects.get_mut(&fingerprint) else {
            return Change::None;
        };
        known.trials += 1;
        known.trial_at = None;
        known.forgotten_at = now + remember_for;
        known.news_until = now + NEWS_FOR;
        self.settle(now, Change::Urgent)
    }

    /// Takes in what is known elsewhere of one request.
    fn merge_one(&mut self, now: Instant, theirs: Suspect) -> Change {
        let unknown = || Known {
            ends: BTreeMap::new(),
            trials: 0,
            trial_at: None,
            forgotten_at: theirs.forgotten_at,
            news_until: now,
        };
        let known = self.suspects.entry(theirs.fingerprint);
        let known = known.or_insert_with(unknown);
        let before = known.ends.clone();
        for end in theirs.ends {
            let own = known.ends.entry(end.id).or_insert(end);
            own.cleared |= end.cleared;
        }
        let is_new = |end: &End| !end.cleared && !before.contains_key(&end.id);
        let ended = known.ends.values().any(is_new);
        while known.ends.len() > ENDS_MOST {
            known.ends.pop_last();
        }
        let tried = theirs.trials > known.trials;
        if tried {
            known.trials = theirs.trials;
            known.trial_at = None;
        }
        known.forgotten_at = known.forgotten_at.max(theirs.forgotten_at);
        if !tried && known.ends == before {
            return Change::None;
        }
        known.news_until = now + NEWS_FOR;
        if tried || ended {
            Change::Urgent
        } else {
            Change::Quiet
        }
    }

    /// Decides anew what is held back after a change, and gives up what is too much.
    fn settle(&mut self, now: Instant, change: Change) -> Change {
        if change == Change::None {
            return change;
        }
        self.drop_surplus();
        let before = self.digest();
        let held = self.to_blame();
        for (fingerprint, known) in &mut self.suspects {
            if !held.contains(fingerprint) {
                known.trial_at = None;
            } else if known.trial_at.is_none() {
                known.trial_at = Some(now + pause(&self.settings, known.trials));
            }
        }
        if self.digest() == before {
            change
        } else {
            Change::Urgent
        }
    }

    /// Requests that explain the ends best.
    ///
    /// Failure: six requests are in progress at each end, and some innocent ones are common.
    /// Symptom: held back for their number of ends alone, half a service would be refused. The
    /// request with most ends explains all of them; another is to blame only for what is left.
    ///
    /// Failure: all upstreams of a service end at once, with a common request in progress at each.
    /// Symptom: it has as many ends as the one to blame, and its callers are refused for seconds.
    fn to_blame(&self) -> BTreeSet<Fingerprint> {
        let mut blamed = BTreeSet::new();
        let mut explained: BTreeSet<u64> = BTreeSet::new();
        loop {
            let mut most = self.settings.ends_least.max(1);
            let mut heaviest: Vec<Fingerprint> = Vec::new();
            for (fingerprint, known) in &self.suspects {
                let open = known.open_ends();
                let left = open.filter(|end| !explained.contains(&end.id)).count();
                if left > most {
                    most = left;
                    heaviest.clear();
                }
                if left == most {
                    heaviest.push(*fingerprint);
                }
            }
            if heaviest.is_empty() {
                return blamed;
            }
            let never_answered =
                |fingerprint: &Fingerprint| !self.suspects[fingerprint].was_answered();
            if heaviest.iter().any(never_answered) {
                heaviest.retain(never_answered);
            }
            for fingerprint in heaviest {
                let ends = self.suspects[&fingerprint].open_ends();
                explained.extend(ends.map(|end| end.id));
                blamed.insert(fingerprint);
            }
        }
    }

    /// Failure: a zone is lost with hundreds of requests in progress, or somebody sends a
    /// thousand requests of this kind. Symptom: memory and messages follow. Those with fewest ends
    /// go first, and by an order that is the same on all nodes, so that they come to know the same.
    fn drop_surplus(&mut self) {
        let surplus = self
            .suspects
            .len()
            .saturating_sub(self.settings.suspects_most);
        if surplus == 0 {
            return;
        }
        let weight = |(fingerprint, known): (&Fingerprint, &Known)| {
            (known.open_ends().count(), *fingerprint)
        };
        let mut order: Vec<(usize, Fingerprint)> = self.suspects.iter().map(weight).collect();
        order.sort_unstable();
        for (_, fingerprint) in &order[..surplus] {
            self.suspects.remove(fingerprint);
        }
    }
}

/// Time until a request that was tried so often may be tried again.
fn pause(settings: &Settings, trials: u32) -> Duration {
    let Some(again) = trials.checked_sub(1) else {
        return settings.trial_after;
    };
    let doubled = 2_u32.saturating_pow(again);
    let pause = settings.trial_again_after.saturating_mul(doubled);
    pause.min(settings.trial_pause_most)
}

/// The one host of a service that tries a request that is held back.
///
/// Failure: the time for a trial comes, and callers repeat the request through every node.
/// Symptom: as many upstreams end as there are nodes. All nodes that know the same hosts name the
/// same one, and its node alone lets the request through, once.
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
