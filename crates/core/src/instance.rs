//! Which incarnation of the upstream is running beside this node.
//!
//! An upstream that restarts is a new instance at the same address, or it reuses its instance id
//! and numbers its messages from the beginning. Messages of the previous incarnation may still
//! arrive, late or out of order, and must be ignored. Which incarnations have ended is known only to
//! a process that saw them end, so where the upstream names its instance in its responses, a start
//! that was announced counts only once a response names it.

mod unconfirmed;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use self::unconfirmed::{Held, Unconfirmed};

/// Maximum number of previous incarnations remembered. Each restart of the upstream adds one, and
/// messages are late by seconds only, so a few would suffice.
const MAX_PREDECESSORS: usize = 32;

/// How to handle a message of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The message is of the current incarnation and describes its current state.
    Current,
    /// The message is the first of another incarnation: everything learned about the previous one
    /// is obsolete.
    Started,
    /// The message is of another incarnation than the current one, and the upstream has to be asked
    /// which one runs. Until then the message changes nothing.
    Unconfirmed,
    /// The message is late or of an ended incarnation: acknowledge it and ignore its contents.
    Outdated,
}

/// The parts of an upstream message that determine its order.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    /// Instance id of the upstream that sent the message.
    pub instance: &'a Arc<str>,
    /// Start time of the upstream by its own clock, in milliseconds since the Unix epoch, if it
    /// reports one.
    pub born: Option<u64>,
    /// Number that increases with each message of an incarnation.
    pub sequence: u64,
}

impl Message<'_> {
    /// Whether it was sent after the message of the same incarnation with number `sequence`.
    /// Upstreams that do not number their messages send zero.
    const fn is_later_than(&self, sequence: u64) -> bool {
        self.sequence > sequence || (self.sequence == 0 && sequence == 0)
    }
}

/// The upstream's response to a health check.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// Instance that it names.
    pub instance: &'a Arc<str>,
    /// Whether it is a success.
    pub ready: bool,
    /// Whether it states that the instance is leaving.
    pub leaving: bool,
}

/// What a response to a health check decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It names the current instance: the others that announced themselves before have ended.
    Current,
    /// It names an instance that announced itself and is now the current one; everything learned
    /// about the previous one is obsolete.
    Started,
    /// It names an instance that did not announce itself and is now the current one.
    Unannounced,
    /// It is too old, or its instance is not the current one and is neither ready nor leaving, or
    /// announced its end. The previous knowledge stands, since the health check of a running
    /// upstream may fail.
    Undecided,
}

/// The current incarnation of the upstream and the previous ones.
#[derive(Debug)]
pub struct Register {
    current: Option<Active>,
    unconfirmed: Unconfirmed,
    /// Whether a start must be confirmed by the upstream.
    asks_upstream: bool,
    predecessors: VecDeque<Predecessor>,
    /// An incarnation that has sent nothing for this long no longer takes precedence over another.
    silence_timeout: Duration,
}

#[derive(Debug)]
struct Active {
    incarnation: Incarnation,
    sequence: u64,
    expires_at: Instant,
    /// When it became the current one.
    since: Instant,
    /// Whether a response of the upstream named the instance.
    named: bool,
    /// When the first message with its start time arrived, and the last one.
    announced: Option<(Instant, Instant)>,
}

impl Active {
    /// Whether its start time is certain. One message is not enough: it may be a late one of a
    /// previous incarnation with the same id.
    fn is_start_certain(&self) -> bool {
        self.announced
            .is_some_and(|(first, last)| last >= first + unconfirmed::MIN_SPAN)
    }

    fn record(&mut self, now: Instant, sequence: u64, expires_at: Instant) {
        self.sequence = sequence;
        self.expires_at = expires_at;
        let (first, _) = self.announced.unwrap_or((now, now));
        self.announced = Some((first, now));
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Incarnation {
    instance: Arc<str>,
    born: Option<u64>,
}

#[derive(Debug)]
struct Predecessor {
    incarnation: Incarnation,
    /// Highest sequence number received of it; the highest possible one if it announced its end.
    sequence: u64,
    /// Until then a message that may be of this incarnation counts as late, even if start times
    /// cannot be compared.
    late_until: Instant,
}

impl Predecessor {
    /// Whether a message is of this incarnation, or may be and arrives soon after the end of the
    /// incarnation.
    fn is_sender_of(&self, now: Instant, message: &Message<'_>) -> bool {
        let comparable = self.incarnation.born.is_some() == message.born.is_some();
        self.incarnation.may_be_sender_of(message) && (comparable || now < self.late_until)
    }
}

impl Incarnation {
    fn of(message: &Message<'_>) -> Self {
        Self {
            instance: Arc::clone(message.instance),
            born: message.born,
        }
    }

    /// Whether this incarnation certainly started after `born`, by the clock of the upstream.
    fn started_after(&self, born: Option<u64>) -> bool {
        matches!((self.born, born), (Some(own), Some(other)) if own > other)
    }

    /// Whether a message may be of this incarnation.
    fn may_be_sender_of(&self, message: &Message<'_>) -> bool {
        self.instance == *message.instance
            && (self.born.is_none() || message.born.is_none() || self.born == message.born)
    }
}

impl Register {
    /// Creates a register without a current incarnation. An incarnation that has sent nothing for
    /// `silence_timeout` no longer takes precedence over another.
    #[must_use]
    pub const fn new(silence_timeout: Duration) -> Self {
        Self {
            current: None,
            unconfirmed: Unconfirmed::new(),
            asks_upstream: false,
            predecessors: VecDeque::new(),
            silence_timeout,
        }
    }

    /// Replaces the time for which a silent incarnation takes precedence.
    pub const fn set_silence_timeout(&mut self, silence_timeout: Duration) {
        self.silence_timeout = silence_timeout;
    }

    /// Requires that the upstream confirms a start by [`Self::record_answer`]. Messages without an
    /// instance id are accepted as without this, since no response can name their sender.
    #[must_use]
    pub const fn asking_upstream(mut self) -> Self {
        self.asks_upstream = true;
        self
    }

    /// Records a message in which an upstream reports its state.
    ///
    /// Failure: a message of an upstream that has crashed arrives after the first message of its
    /// successor. Symptom: requests name an instance that is gone and are all refused; or the
    /// successor has the same id, numbers its messages from one, and each of them looks late.
    /// Messages are ordered by start time before sequence number, and an incarnation that was
    /// replaced is not made current again by a late message.
    ///
    /// Failure: the clock of the upstream's host was set back before the upstream restarted.
    /// Symptom: the new incarnation looks older than the previous one and would be ignored forever.
    /// Once the previous incarnation has timed out, the node sends it no requests any more, and the
    /// next message is accepted whatever start time it reports.
    ///
    /// Failure: the upstream cannot be asked which incarnation runs. Symptom: it is shut out until
    /// the node restarts. A second, later message of the same incarnation is accepted.
    pub fn record_message(&mut self, now: Instant, message: Message<'_>) -> Verdict {
        if self.is_of_predecessor(now, &message) {
            return Verdict::Outdated;
        }
        let expires_at = now + self.silence_timeout;
        if let Some(verdict) = self.record_current(now, expires_at, &message) {
            return verdict;
        }
        if self.asks_upstream && !message.instance.is_empty() {
            let Some(confirmed) = self.unconfirmed.record(now, expires_at, &message) else {
                return Verdict::Unconfirmed;
            };
            self.start(now, confirmed, false);
            return Verdict::Started;
        }
        let active = Active {
            incarnation: Incarnation::of(&message),
            sequence: message.sequence,
            expires_at,
            since: now,
            named: false,
            announced: Some((now, now)),
        };
        self.replace_current(now, active);
        Verdict::Started
    }

    /// Records a message that may be of the current incarnation or an earlier one; returns `None`
    /// if it is of another.
    fn record_current(
        &mut self,
        now: Instant,
        expires_at: Instant,
        message: &Message<'_>,
    ) -> Option<Verdict> {
        let active = self.current.as_mut()?;
        if active.incarnation.may_be_sender_of(message) {
            // After a silence it has restarted under its id, without a start time by which to tell.
            let may_have_restarted = self.asks_upstream && now >= active.expires_at;
            if message.sequence < active.sequence && !may_have_restarted {
                return Some(Verdict::Outdated);
            }
            if active.incarnation.born.is_none() && message.born.is_some() {
                active.incarnation.born = message.born;
                active.announced = None;
            }
            active.record(now, message.sequence, expires_at);
            self.unconfirmed.record_current(now);
            return Some(Verdict::Current);
        }
        if active.incarnation.started_after(message.born) && now < active.expires_at {
            return Some(Verdict::Outdated);
        }
        let is_correction = self.asks_upstream
            && active.incarnation.instance == *message.instance
            && !active.is_start_certain();
        if !is_correction {
            return None;
        }
        let previous = std::mem::replace(&mut active.incarnation, Incarnation::of(message));
        let last_sequence = active.sequence;
        active.announced = None;
        active.record(now, message.sequence, expires_at);
        self.retire(now, previous, last_sequence);
        Some(Verdict::Current)
    }

    /// Whether a message is of an incarnation that has ended. A later message of one that did not
    /// announce its end is not ignored while no response has named the current incarnation or it is
    /// silent: the sender may have been replaced by mistake.
    fn is_of_predecessor(&self, now: Instant, message: &Message<'_>) -> bool {
        let is_certain = !self.asks_upstream
            || self
                .current
                .as_ref()
                .is_some_and(|active| active.named && now < active.expires_at);
        self.predecessors.iter().any(|predecessor| {
            predecessor.is_sender_of(now, message)
                && (is_certain || !message.is_later_than(predecessor.sequence))
        })
    }

    /// Records the upstream's response to a health check that was sent at `sent_at`.
    ///
    /// It says nothing about incarnations that announced themselves or became current after that.
    pub fn record_answer(
        &mut self,
        sent_at: Instant,
        now: Instant,
        answer: &Answer<'_>,
    ) -> Decision {
        let is_current = self.current() == Some(answer.instance);
        let mut current = self.current.iter();
        if !is_current && current.any(|active| sent_at < active.since) {
            return Decision::Undecided;
        }
        let (confirmed, denied) = self.unconfirmed.take(answer.instance, sent_at);
        for held in denied {
            self.retire(now, held.incarnation, held.sequence);
        }
        let is_certain = is_current || answer.ready || answer.leaving;
        match confirmed {
            Some(confirmed) if self.is_current(&confirmed.incarnation) => {
                self.adopt(now, &confirmed);
                Decision::Current
            }
            Some(confirmed) if is_certain => {
                self.start(now, confirmed, true);
                Decision::Started
            }
            Some(confirmed) => {
                self.unconfirmed.put_back(confirmed);
                Decision::Undecided
            }
            None if is_current => {
                self.confirm(now, answer.instance);
                Decision::Current
            }
            None if is_certain && !self.has_announced_end(answer.instance) => {
                self.confirm(now, answer.instance);
                Decision::Unannounced
            }
            None => Decision::Undecided,
        }
    }

    /// Whether this incarnation may be the current one.
    fn is_current(&self, incarnation: &Incarnation) -> bool {
        self.may_be_current(&incarnation.instance, incarnation.born)
    }

    /// Records the announcements of the current incarnation that arrived before a response made it
    /// the current one.
    ///
    /// Failure: two health checks overlap the first announcement of an instance, and the response to
    /// the first one makes it current. Symptom: the second response starts it once more, it counts as
    /// its own predecessor, and all its later announcements are ignored, also that it is draining.
    fn adopt(&mut self, now: Instant, held: &Held) {
        let expires_at = now + self.silence_timeout;
        if let Some(active) = &mut self.current {
            active.incarnation.born = active.incarnation.born.or(held.incarnation.born);
            active.sequence = active.sequence.max(held.sequence);
            active.announced = Some(held.announced);
            active.expires_at = expires_at;
            active.named = true;
        }
    }

    /// Whether an incarnation of this instance announced its end, and none announced itself since.
    fn has_announced_end(&self, instance: &Arc<str>) -> bool {
        self.predecessors.iter().any(|predecessor| {
            predecessor.incarnation.instance == *instance && predecessor.sequence == u64::MAX
        })
    }

    /// Whether an announced incarnation awaits the upstream's response to a health check.
    pub fn awaits_answer(&mut self, now: Instant) -> bool {
        self.unconfirmed.prune(now);
        self.unconfirmed.iter().next().is_some()
    }

    /// Whether an incarnation announced itself and awaits confirmation.
    #[must_use]
    pub fn is_unconfirmed(&self, instance: &Arc<str>, born: Option<u64>) -> bool {
        self.unconfirmed
            .iter()
            .any(|held| held.incarnation.instance == *instance && held.incarnation.born == born)
    }

    /// Records that an instance announced its end; its messages are ignored from now on. A later
    /// incarnation with the same id is not affected.
    pub fn record_end(&mut self, now: Instant, instance: &Arc<str>, born: Option<u64>) -> Verdict {
        let message = Message {
            instance,
            born,
            sequence: u64::MAX,
        };
        self.unconfirmed.remove(&message);
        let is_ending = |active: &mut Active| active.incarnation.may_be_sender_of(&message);
        if let Some(active) = self.current.take_if(is_ending) {
            self.retire(now, active.incarnation, u64::MAX);
            return Verdict::Current;
        }
        self.retire(now, Incarnation::of(&message), u64::MAX);
        Verdict::Outdated
    }

    /// Makes `instance` current after the upstream itself refused a request for another instance
    /// and reported this one.
    ///
    /// Failure: the first message received of an instance is a late one that arrives after a
    /// message of its successor. Symptom: the successor counts as ended and never becomes current
    /// again. The reply of the process at the upstream's address is authoritative.
    pub fn confirm(&mut self, now: Instant, instance: &Arc<str>) {
        if let Some(active) = &mut self.current
            && active.incarnation.instance == *instance
        {
            active.named = true;
            return;
        }
        self.predecessors
            .retain(|predecessor| predecessor.incarnation.instance != *instance);
        let active = Active {
            incarnation: Incarnation {
                instance: Arc::clone(instance),
                born: None,
            },
            sequence: 0,
            expires_at: now + self.silence_timeout,
            since: now,
            named: true,
            announced: None,
        };
        self.replace_current(now, active);
    }

    /// Id of the current instance.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<str>> {
        self.current
            .as_ref()
            .map(|active| &active.incarnation.instance)
    }

    /// Sequence number of the last message of the current incarnation; zero if it has sent none.
    #[must_use]
    pub fn current_sequence(&self) -> u64 {
        self.current.as_ref().map_or(0, |active| active.sequence)
    }

    /// Start time of the current incarnation, if it reported one.
    #[must_use]
    pub fn current_born(&self) -> Option<u64> {
        self.current.as_ref()?.incarnation.born
    }

    /// Whether an instance with this start time may be the current incarnation: the ids are equal,
    /// and so are the start times as far as both are known.
    #[must_use]
    pub fn may_be_current(&self, instance: &Arc<str>, born: Option<u64>) -> bool {
        let message = Message {
            instance,
            born,
            sequence: 0,
        };
        let current = self.current.as_ref();
        current.is_some_and(|current| current.incarnation.may_be_sender_of(&message))
    }

    /// Makes an announced incarnation current; `named` is whether a response of the upstream named
    /// it.
    fn start(&mut self, now: Instant, held: Held, named: bool) {
        self.predecessors
            .retain(|predecessor| predecessor.incarnation != held.incarnation);
        let active = Active {
            incarnation: held.incarnation,
            sequence: held.sequence,
            expires_at: now + self.silence_timeout,
            since: now,
            named,
            announced: Some(held.announced),
        };
        self.replace_current(now, active);
    }

    fn replace_current(&mut self, now: Instant, active: Active) {
        if let Some(previous) = self.current.replace(active) {
            self.retire(now, previous.incarnation, previous.sequence);
        }
    }

    fn retire(&mut self, now: Instant, incarnation: Incarnation, sequence: u64) {
        let known = self.predecessors.iter();
        let known = known.filter(|predecessor| predecessor.incarnation == incarnation);
        let known = known.map(|predecessor| predecessor.sequence).max();
        self.predecessors
            .retain(|predecessor| predecessor.incarnation != incarnation);
        if self.predecessors.len() == MAX_PREDECESSORS {
            self.predecessors.pop_front();
        }
        let late_until = now + self.silence_timeout;
        self.predecessors.push_back(Predecessor {
            incarnation,
            sequence: sequence.max(known.unwrap_or_default()),
            late_until,
        });
    }
}
