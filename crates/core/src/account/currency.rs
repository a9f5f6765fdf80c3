//! Decides for how long a node may use the keys of its routing table: only while the table is known
//! to have been the newest a short time ago.
//!
//! Failure: a node is cut off, frozen or suspended while operators revoke a key. Symptom: it still
//! serves requests with that key, since it does not know that its table is outdated. The age of the
//! table's latest proof is therefore counted from when the store was queried, so that the time that
//! answers spend in buffers counts as age. A reader's proof reaches other nodes only in answers to
//! their own questions, whose age is counted from when the question was sent. Any node may answer,
//! since it states the age of its own proof.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::route::Version;

/// Share of the bound up to which a proof counts. The rest covers clocks that run at different
/// speeds and the time between the check of a request and its use of the key.
const COUNTS_FOR: f64 = 0.9;
/// Share of the bound from which on a node asks several others at once, and then the store.
const URGENT_FROM: f64 = 0.5;
/// Share of the bound between two questions while they are answered.
const ASK_INTERVAL: f64 = 0.15;
/// Share of the bound after which a question that brought no proof is followed by the next.
const RETRY_INTERVAL: f64 = 0.05;
/// The same for an urgent node whose keys are still in use. With 0.05, a proof that only one of 300
/// nodes can get did not reach the others in time.
const URGENT_RETRY_INTERVAL: f64 = 0.02;
/// Number of random nodes that an urgent node asks at once, besides the next one in turn. The number
/// of nodes with a proof then more than doubles with each round.
const RANDOM_TARGETS: usize = 2;
/// Number of nodes that have answered recently which an urgent node asks in addition. Without them,
/// in a quarter of a fleet that is cut off from the rest, most questions go to nodes that cannot
/// answer, and a proof that one of its nodes gets does not reach the others in time.
const RESPONDER_TARGETS: usize = 2;
/// Number of nodes that have answered most recently to remember.
const MAX_RESPONDERS: usize = 8;
/// Share of the bound over which the first calls of urgent nodes to the store are spread.
const STORE_SPREAD: f64 = 0.1;
/// Number of nodes of a zone that call the store in turn; those after them spread their calls over
/// the second half of the time. By then most have a proof from one of the first.
const STORE_TURNS: usize = 15;
/// Share of the bound until a failed call to the store is repeated; doubled once.
const STORE_RETRY_AFTER: f64 = 0.2;
/// Maximum number of questions that await an answer: more than an urgent node asks before its keys
/// lapse.
const MAX_OPEN_QUESTIONS: usize = 256;

/// A point in time on a clock that also counts while the host is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Reading of the steady clock, which stands still while the host is suspended.
    pub at: Instant,
    /// Total time for which the host had been suspended.
    pub suspended: Duration,
}

impl Moment {
    /// Returns the time that has passed until `now`, including time in suspension.
    #[must_use]
    pub fn age(self, now: Self) -> Duration {
        let awake = now.at.saturating_duration_since(self.at);
        awake + now.suspended.saturating_sub(self.suspended)
    }

    /// Returns the moment that precedes this one by `age`; `None` if the clock cannot represent it.
    #[must_use]
    pub fn preceded_by(self, age: Duration) -> Option<Self> {
        let at = self.at.checked_sub(age)?;
        Some(Self { at, ..self })
    }
}

/// Returns whether keys may be used `now` with a table that was last known to be the newest at
/// `confirmed`.
#[must_use]
pub fn is_recent(revoked_within: Duration, confirmed: Option<Moment>, now: Moment) -> bool {
    let limit = revoked_within.mul_f64(COUNTS_FOR);
    confirmed.is_some_and(|confirmed| confirmed.age(now) <= limit)
}

/// Nodes that may be asked, best first, without this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers<'a> {
    /// Names of their hosts.
    pub hosts: &'a [Arc<str>],
    /// Number of designated readers of this node's zone, which come first.
    pub readers: usize,
    /// Number of nodes of the zone that precede this one in the order in which they act as readers.
    pub own_rank: usize,
}

/// A question to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Number, which the answer repeats.
    pub number: u64,
    /// Host of the node to ask.
    pub host: Arc<str>,
}

/// Answer of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Number of the question.
    pub number: u64,
    /// Version of the routing table in force there.
    pub version: Version,
    /// Age of the proof there when the answer was sent.
    pub age: Duration,
}

/// What a node does next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Questions to send now.
    pub questions: Vec<Question>,
    /// Whether to query the store now.
    pub queries_store: bool,
}

/// What an answer brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The proof counts for this node.
    Confirmed,
    /// The proof is about a newer table than this node's, which this host has.
    NewerTable(Arc<str>),
    /// The question is not open, or the proof is too old.
    Ignored,
}

#[derive(Clone, Debug)]
struct Open {
    number: u64,
    host: Arc<str>,
    asked: Moment,
}

/// When one node's routing table was last known to be the newest, and whom the node asks for that.
#[derive(Debug)]
pub struct Currency {
    revoked_within: Duration,
    rng: ChaCha8Rng,
    /// This node's place in the time over which calls to the store are spread, from 0 to 1.
    spread_position: f64,
    /// Designated reader that this node asks first.
    preferred: usize,
    /// When this node's routing table was last known to be the newest.
    confirmed: Option<Moment>,
    /// When the latest proof by this node's own query of the store was sent.
    queried: Option<Moment>,
    /// Latest proof about a table that this node does not have yet.
    pending: Option<(Version, Moment)>,
    /// Newest table that an answer named, and when.
    newest_named: Option<(Version, Moment)>,
    open: VecDeque<Open>,
    next_number: u64,
    /// Hosts that have answered, latest first.
    responders: Vec<Arc<str>>,
    asked_at: Option<Instant>,
    /// Whether a fresh proof has counted since the latest questions were sent.
    is_answered: bool,
    /// Number of consecutive rounds of questions that brought no fresh proof.
    misses: usize,
    /// Since when this node has been urgent.
    urgent_since: Option<Instant>,
    is_querying: bool,
    query_retry_at: Option<Instant>,
    query_failures: u32,
}

impl Currency {
    /// Creates the state of a node that starts. `seed` must be different at each start of any node,
    /// so that no answer to an earlier process is taken for an answer to this one.
    #[must_use]
    pub fn new(revoked_within: Duration, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            revoked_within,
            spread_position: rng.random(),
            preferred: rng.random::<u16>().into(),
            next_number: rng.random(),
            rng,
            confirmed: None,
            queried: None,
            pending: None,
            newest_named: None,
            open: VecDeque::new(),
            responders: Vec::new(),
            asked_at: None,
            is_answered: true,
            misses: 0,
            urgent_since: None,
            is_querying: false,
            query_retry_at: None,
            query_failures: 0,
        }
    }

    /// Returns when this node's routing table was last known to be the newest.
    #[must_use]
    pub const fn confirmed(&self) -> Option<Moment> {
        self.confirmed
    }

    /// Returns the age to state in an answer to another node; `None` if there is no proof that
    /// counts, so that no answer is sent.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let confirmed = self.confirmed?;
        let is_recent = is_recent(self.revoked_within, self.confirmed, now);
        is_recent.then(|| confirmed.age(now))
    }

    /// Records that a query of the store sent at `queried` returned every change acknowledged by
    /// then, and that this node has applied them; `own` is the version now in force here. Returns
    /// whether the proof counts.
    pub fn record_query(&mut self, now: Moment, own: Version, queried: Moment) -> bool {
        let counts = self.confirm(now, own, queried);
        if counts {
            self.queried = Some(queried);
        }
        counts
    }

    /// Records that the query requested by [`Self::poll`] has ended, and whether its proof counted.
    pub fn end_query(&mut self, now: Instant, counted: bool) {
        self.is_querying = false;
        if counted {
            self.query_failures = 0;
            return;
        }
        let factor = 1 << self.query_failures.min(1);
        self.query_failures += 1;
        let delay = self.share(STORE_RETRY_AFTER) * factor;
        self.query_retry_at = Some(now + delay.mul_f64(self.rng.random_range(0.75..1.25)));
    }

    /// Records an answer; `own` is the version of the routing table in force on this node.
    pub fn record_answer(&mut self, now: Moment, own: Version, answer: Answer) -> Heard {
        let mut numbers = self.open.iter().map(|open| open.number);
        let index = numbers.position(|number| number == answer.number);
        let Some(open) = index.and_then(|index| self.open.remove(index)) else {
            return Heard::Ignored;
        };
        self.responders.retain(|host| *host != open.host);
        self.responders.insert(0, Arc::clone(&open.host));
        self.responders.truncate(MAX_RESPONDERS);
        let Some(proved) = open.asked.preceded_by(answer.age) else {
            return Heard::Ignored;
        };
        if answer.version > own {
            self.pending = Some((answer.version, proved));
            self.name(now, answer.version);
            return Heard::NewerTable(open.host);
        }
        if self.confirm(now, own, proved) {
            Heard::Confirmed
        } else {
            Heard::Ignored
        }
    }

    /// Applies the proof about a newer table if this node has it in force by now.
    pub fn update(&mut self, now: Moment, own: Version) {
        if let Some((version, proved)) = self.pending
            && own >= version
        {
            self.pending = None;
            self.confirm(now, own, proved);
        }
    }

    /// Returns the questions and the query that are due, and counts them as sent `now`. Must only be
    /// called while a routing table is in force.
    pub fn poll(&mut self, now: Moment, peers: Peers<'_>) -> Step {
        let limit = self.share(COUNTS_FOR);
        self.open.retain(|open| open.asked.age(now) <= limit);
        if self.is_urgent(now) {
            self.urgent_since.get_or_insert(now.at);
        } else {
            self.urgent_since = None;
        }
        let questions = if now.at >= self.ask_at(now) {
            self.ask(now, peers)
        } else {
            Vec::new()
        };
        let queries_store = self.query_at(peers).is_some_and(|at| now.at >= at);
        self.is_querying |= queries_store;
        Step {
            questions,
            queries_store,
        }
    }

    /// Returns when [`Self::poll`] is due next, if nothing is recorded until then.
    #[must_use]
    pub fn poll_at(&self, now: Moment, peers: Peers<'_>) -> Instant {
        let urgent_at = match self.confirmed {
            Some(confirmed) if !self.is_urgent(now) => {
                let left = self.share(URGENT_FROM).saturating_sub(confirmed.age(now));
                Some(now.at + left)
            }
            _ => None,
        };
        let times = [Some(self.ask_at(now)), self.query_at(peers), urgent_at];
        // A suspension of the host is noticed in this time as well.
        let at_most = now.at + self.share(RETRY_INTERVAL);
        times.into_iter().flatten().fold(at_most, Instant::min)
    }

    /// Records that a table of this version exists.
    fn name(&mut self, now: Moment, version: Version) {
        let bound = self.revoked_within;
        let newer = |(other, named): &(Version, Moment)| *other > version && named.age(now) < bound;
        let named = self.newest_named.filter(newer);
        self.newest_named = named.or(Some((version, now)));
    }

    /// Records a proof as of `proved`; returns whether it counts.
    ///
    /// Failure: the store is restored from a copy without the newest table, which other nodes have.
    /// Symptom: a node that starts finds nothing newer in the store than a table whose keys have
    /// been revoked. A table therefore counts as the newest only while no answer names a newer one.
    /// A name counts for a limited time, since the newer table may be lost everywhere.
    fn confirm(&mut self, now: Moment, own: Version, proved: Moment) -> bool {
        let is_outdated = self
            .newest_named
            .is_some_and(|(version, named)| version > own && named.age(now) < self.revoked_within);
        if is_outdated || !is_recent(self.revoked_within, Some(proved), now) {
            return false;
        }
        let age = proved.age(now);
        self.is_answered |= age < self.share(ASK_INTERVAL) * 2;
        let is_newer = self.confirmed.is_none_or(|before| age < before.age(now));
        if is_newer {
            self.confirmed = Some(proved);
        }
        true
    }

    fn ask(&mut self, now: Moment, peers: Peers<'_>) -> Vec<Question> {
        self.asked_at = Some(now.at);
        let polls_store = self
            .queried
            .is_some_and(|queried| queried.age(now) < self.share(ASK_INTERVAL) * 2);
        if peers.hosts.is_empty() || polls_store {
            return Vec::new();
        }
        self.misses = if self.is_answered { 0 } else { self.misses + 1 };
        self.is_answered = false;
        let mut targets = vec![Arc::clone(self.next_target(peers))];
        if self.is_urgent(now) {
            targets.extend(peers.hosts.sample(&mut self.rng, RANDOM_TARGETS).cloned());
            let responders = self.responders.iter();
            let responders = responders.filter(|host| peers.hosts.contains(host));
            targets.extend(responders.cloned().sample(&mut self.rng, RESPONDER_TARGETS));
            targets.sort_unstable();
            targets.dedup();
        }
        let targets = targets.into_iter();
        targets.map(|host| self.question(now, host)).collect()
    }

    /// Returns the node to ask: a designated reader, after misses the other ones, then all nodes in
    /// turn. Nodes prefer different readers.
    fn next_target<'a>(&self, peers: Peers<'a>) -> &'a Arc<str> {
        let readers = peers.readers.min(peers.hosts.len());
        let index = if self.misses < readers {
            (self.preferred + self.misses) % readers
        } else {
            self.misses % peers.hosts.len()
        };
        &peers.hosts[index]
    }

    fn question(&mut self, now: Moment, host: Arc<str>) -> Question {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        if self.open.len() == MAX_OPEN_QUESTIONS {
            self.open.pop_front();
        }
        self.open.push_back(Open {
            number,
            host: Arc::clone(&host),
            asked: now,
        });
        Question { number, host }
    }

    fn is_urgent(&self, now: Moment) -> bool {
        let from = self.share(URGENT_FROM);
        self.confirmed
            .is_none_or(|confirmed| confirmed.age(now) >= from)
    }

    fn ask_at(&self, now: Moment) -> Instant {
        let interval = match (self.is_urgent(now), self.is_answered) {
            (true, _) if self.age(now).is_some() => URGENT_RETRY_INTERVAL,
            (false, true) => ASK_INTERVAL,
            _ => RETRY_INTERVAL,
        };
        let asked_at = self.asked_at;
        asked_at.map_or(now.at, |at| at + self.share(interval))
    }

    /// Returns when the store is to be queried.
    fn query_at(&self, peers: Peers<'_>) -> Option<Instant> {
        let since = self.urgent_since.filter(|_| !self.is_querying)?;
        let first_at = since + self.query_delay(peers.own_rank);
        Some(self.query_retry_at.map_or(first_at, |at| at.max(first_at)))
    }

    /// Returns how long an urgent node waits for answers before it queries the store.
    fn query_delay(&self, rank: usize) -> Duration {
        let spread = self.share(STORE_SPREAD) / 2;
        if rank < STORE_TURNS {
            let turns = u32::try_from(rank).unwrap_or(0);
            return spread * turns / u32::try_from(STORE_TURNS).unwrap_or(1);
        }
        spread.mul_f64(1.0 + self.spread_position)
    }

    fn share(&self, share: f64) -> Duration {
        self.revoked_within.mul_f64(share)
    }
}
