//! Node's side of one shard: which owner may count this node's share, and until when.
//!
//! Failure: a delegation is lost, delayed or unanswered, or the owner changes. Symptom: a share that
//! is used twice, or not at all. A share moves only when its former delegation must have lapsed,
//! which depends on the answer that was repeated last and not on whether a later one arrived. An
//! owner that does not answer is replaced by this node itself, for its own share only.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{AnswerId, DELEGATION_LIFE, DELEGATION_MARGIN};

/// Interval of asks without other cause; a delegation lasts for two of them and some retries.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unanswered ask is repeated.
const REPEAT_AFTER: Duration = Duration::from_millis(250);
/// Time without any answer after which an owner is presumed to be unavailable: three asks.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(700);

/// State of one shard.
#[derive(Debug)]
pub struct Shard {
    own: Arc<str>,
    bound: Option<Bound>,
    /// No owner counts this node's share from then on.
    held_until: Instant,
    /// Number of the last message that delegated the share.
    delegated_by: u64,
    /// The shard's owner, and when the first ask was sent to it that it has not answered since.
    unanswered: Option<(Arc<str>, Instant)>,
    /// When the next ask is due.
    pub ask_at: Instant,
}

/// The owner that may count this node's share.
#[derive(Debug)]
struct Bound {
    owner: Arc<str>,
    /// The owner's latest answer, and when it was received.
    answer: AnswerId,
    received_at: Instant,
}

impl Shard {
    /// Creates the state of a process that starts.
    pub const fn new(own: Arc<str>, now: Instant) -> Self {
        Self {
            own,
            bound: None,
            held_until: now,
            delegated_by: 0,
            unanswered: None,
            ask_at: now,
        }
    }

    /// Returns whether the owner is presumed to be unavailable.
    fn is_unavailable(&self, now: Instant, owner: &str) -> bool {
        let unanswered = self.unanswered.as_ref();
        unanswered
            .is_some_and(|(host, since)| &**host == owner && now >= *since + UNAVAILABLE_AFTER)
    }

    /// Returns the node to which the share is to be delegated: the owner, or this node in its place.
    fn delegate<'a>(&'a self, now: Instant, owner: &'a Arc<str>) -> &'a Arc<str> {
        if self.is_unavailable(now, owner) {
            &self.own
        } else {
            owner
        }
    }

    /// Returns the node to ask for tokens: the one that counts this node's share while it does.
    pub fn target(
        &self,
        now: Instant,
        owner: &Arc<str>,
        is_present: impl Fn(&str) -> bool,
    ) -> Arc<str> {
        let bound = self.bound.as_ref().filter(|_| now < self.held_until);
        let bound = bound.map(|bound| &bound.owner);
        let target = bound.filter(|owner| is_present(owner));
        Arc::clone(target.unwrap_or_else(|| self.delegate(now, owner)))
    }

    /// Returns the nodes to which an ask is due. While this node replaces the owner, the owner is
    /// asked too, so that its return is noticed. A former owner is asked to release the share.
    pub fn due(&self, now: Instant, owner: &Arc<str>) -> Vec<Arc<str>> {
        if now < self.ask_at {
            return Vec::new();
        }
        let delegate = self.delegate(now, owner);
        let mut recipients: Vec<Arc<str>> = Vec::new();
        recipients.extend(self.former(now, owner).cloned());
        recipients.push(Arc::clone(delegate));
        if !recipients.contains(owner) {
            recipients.push(Arc::clone(owner));
        }
        recipients
    }

    /// Returns the node that may count this node's share although it is to be delegated to another.
    fn former(&self, now: Instant, owner: &Arc<str>) -> Option<&Arc<str>> {
        let bound = self.bound.as_ref().filter(|_| now < self.held_until)?;
        (bound.owner != *self.delegate(now, owner)).then_some(&bound.owner)
    }

    /// Returns whether the share may be taken back because `from` has answered the ask with this
    /// number, which was to release it.
    ///
    /// Failure: the owner changes to another node and back. Symptom: the answer to a release arrives
    /// after the share was delegated to the same node again, and the share counts twice.
    pub fn is_released(
        &self,
        now: Instant,
        owner: &Arc<str>,
        from: &Arc<str>,
        sequence: u64,
    ) -> bool {
        sequence > self.delegated_by && self.releases(now, owner, from)
    }

    /// Returns whether an ask to this node is to release the share.
    pub fn releases(&self, now: Instant, owner: &Arc<str>, to: &Arc<str>) -> bool {
        self.former(now, owner) == Some(to)
    }

    /// Records that a node no longer counts this node's share: it said so, or its process has ended.
    pub fn record_release(&mut self, now: Instant, host: &str, incarnation: Option<u64>) {
        let is_bound = |bound: &Bound| {
            let is_process = incarnation.is_none_or(|it| it == bound.answer.incarnation);
            &*bound.owner == host && is_process
        };
        if self.bound.as_ref().is_some_and(is_bound) {
            self.bound = None;
            self.held_until = now;
            self.ask_at = now;
        }
    }

    /// Returns the node that may count this node's share.
    pub fn holder(&self) -> Option<&Arc<str>> {
        self.bound.as_ref().map(|bound| &bound.owner)
    }

    /// Records that the ask with this number is sent to a node, and returns the delegation to send with it, if any.
    /// `settled` is false while this node may not use its share.
    pub fn send(
        &mut self,
        now: Instant,
        owner: &Arc<str>,
        to: &Arc<str>,
        sequence: u64,
        settled: bool,
    ) -> Option<AnswerId> {
        if to == owner {
            self.record_ask(now, owner);
        }
        if !settled || self.delegate(now, owner) != to {
            return None;
        }
        let bound = self.bound.as_ref().filter(|bound| bound.owner == *to)?;
        let counted_until = bound.received_at + DELEGATION_LIFE + DELEGATION_MARGIN;
        self.held_until = self.held_until.max(counted_until);
        self.delegated_by = sequence;
        Some(bound.answer)
    }

    fn record_ask(&mut self, now: Instant, owner: &Arc<str>) {
        let is_first = self.unanswered.as_ref().is_none_or(|(to, _)| to != owner);
        if is_first {
            self.unanswered = Some((Arc::clone(owner), now));
        }
        let pause = if self.is_unavailable(now, owner) {
            ASK_INTERVAL
        } else {
            REPEAT_AFTER
        };
        self.ask_at = now + pause;
    }

    /// Records an answer of a node to an ask of this process. Returns true if the share is to be
    /// delegated to it from now on and was not before.
    pub fn receive(
        &mut self,
        now: Instant,
        owner: &Arc<str>,
        from: &Arc<str>,
        answer: AnswerId,
    ) -> bool {
        if from == owner {
            self.unanswered = None;
            self.ask_at = now + ASK_INTERVAL;
        }
        if self.delegate(now, owner) != from {
            return false;
        }
        if let Some(bound) = &mut self.bound {
            let is_same_host = bound.owner == *from;
            if is_same_host && bound.answer.incarnation == answer.incarnation {
                if answer.number > bound.answer.number {
                    bound.answer = answer;
                    bound.received_at = now;
                }
                return false;
            }
            let has_restarted = is_same_host && answer.incarnation > bound.answer.incarnation;
            if now < self.held_until && !has_restarted {
                self.ask_at = self.ask_at.min(self.held_until);
                return false;
            }
        }
        self.bound = Some(Bound {
            owner: Arc::clone(from),
            answer,
            received_at: now,
        });
        self.ask_at = now;
        true
    }
}
