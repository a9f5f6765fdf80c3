//! Which incarnation of the upstream is running beside this node.
//!
//! An upstream that restarts is a new instance at the same address, or it reuses its instance id
//! and numbers its messages from the beginning. Messages of the previous incarnation may still
//! arrive, late or out of order, and must be ignored.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

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

/// The current incarnation of the upstream and the previous ones.
#[derive(Debug)]
pub struct Register {
    current: Option<Active>,
    predecessors: VecDeque<Predecessor>,
    /// An incarnation that has sent nothing for this long no longer takes precedence over another.
    silence_timeout: Duration,
}

#[derive(Debug)]
struct Active {
    incarnation: Incarnation,
    sequence: u64,
    expires_at: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Incarnation {
    instance: Arc<str>,
    born: Option<u64>,
}

#[derive(Debug)]
struct Predecessor {
    incarnation: Incarnation,
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
            predecessors: VecDeque::new(),
            silence_timeout,
        }
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
    pub fn record_message(&mut self, now: Instant, message: Message<'_>) -> Verdict {
        if self
            .predecessors
            .iter()
            .any(|predecessor| predecessor.is_sender_of(now, &message))
        {
            return Verdict::Outdated;
        }
        let expires_at = now + self.silence_timeout;
        match &mut self.current {
            Some(active) if active.incarnation.may_be_sender_of(&message) => {
                if message.sequence < active.sequence {
                    return Verdict::Outdated;
                }
                active.incarnation.born = active.incarnation.born.or(message.born);
                active.sequence = message.sequence;
                active.expires_at = expires_at;
                return Verdict::Current;
            }
            Some(active)
                if active.incarnation.started_after(message.born) && now < active.expires_at =>
            {
                return Verdict::Outdated;
            }
            _ => {}
        }
        let active = Active {
            incarnation: Incarnation {
                instance: Arc::clone(message.instance),
                born: message.born,
            },
            sequence: message.sequence,
            expires_at,
        };
        self.replace_current(now, active);
        Verdict::Started
    }

    /// Records that an instance announced its end; its messages are ignored from now on. A later
    /// incarnation with the same id is not affected.
    pub fn record_end(&mut self, now: Instant, instance: &Arc<str>, born: Option<u64>) -> Verdict {
        let message = Message {
            instance,
            born,
            sequence: u64::MAX,
        };
        let is_ending = |active: &mut Active| active.incarnation.may_be_sender_of(&message);
        if let Some(active) = self.current.take_if(is_ending) {
            self.retire(now, active.incarnation);
            return Verdict::Current;
        }
        let instance = Arc::clone(instance);
        self.retire(now, Incarnation { instance, born });
        Verdict::Outdated
    }

    /// Makes `instance` current after the upstream itself refused a request for another instance
    /// and reported this one.
    ///
    /// Failure: the first message received of an instance is a late one that arrives after a
    /// message of its successor. Symptom: the successor counts as ended and never becomes current
    /// again. The reply of the process at the upstream's address is authoritative.
    pub fn confirm(&mut self, now: Instant, instance: &Arc<str>) {
        if self.current().is_some_and(|current| current == instance) {
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

    fn replace_current(&mut self, now: Instant, active: Active) {
        if let Some(previous) = self.current.replace(active) {
            self.retire(now, previous.incarnation);
        }
    }

    fn retire(&mut self, now: Instant, incarnation: Incarnation) {
        self.predecessors
            .retain(|predecessor| predecessor.incarnation != incarnation);
        if self.predecessors.len() == MAX_PREDECESSORS {
            self.predecessors.pop_front();
        }
        let late_until = now + self.silence_timeout;
        self.predecessors.push_back(Predecessor {
            incarnation,
            late_until,
        });
    }
}
