//! Incarnations that announced themselves and that no response of the upstream has named yet.
//!
//! Failure: an announcement arrives seconds late, after its sender has ended, at a node that has
//! just started and knows no predecessors. Symptom: the sender counts as a new start; the requests
//! in progress at the running upstream are aborted, or a leaving upstream gets requests again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Incarnation, Message};

/// Minimum time between two announcements that together confirm a start which the upstream cannot
/// be asked about. One announcement may be late, and upstreams announce themselves every 1.5 s.
pub(super) const MIN_SPAN: Duration = Duration::from_secs(1);
/// Maximum number of incarnations held. One runs, and late announcements of one or two others may
/// arrive.
const MAX_HELD: usize = 4;

/// An announced incarnation.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub incarnation: Incarnation,
    /// Sequence number of the last announcement.
    pub sequence: u64,
    /// When the first announcement arrived, and the last one.
    pub announced: (Instant, Instant),
    /// Earliest arrival of a later announcement that confirms the start.
    confirmable_at: Instant,
    expires_at: Instant,
}

/// The announced incarnations, in the order of their first announcements.
#[derive(Debug, Default)]
pub(super) struct Unconfirmed {
    held: Vec<Held>,
}

impl Unconfirmed {
    pub const fn new() -> Self {
        Self { held: Vec::new() }
    }

    /// Records an announcement. Returns its incarnation if it is a second, later announcement that
    /// confirms the first.
    pub fn record(
        &mut self,
        now: Instant,
        expires_at: Instant,
        message: &Message<'_>,
    ) -> Option<Held> {
        self.prune(now);
        let incarnation = Incarnation::of(message);
        let found = self
            .held
            .iter()
            .position(|held| held.incarnation == incarnation);
        let Some(found) = found else {
            if self.held.len() == MAX_HELD {
                self.held.remove(0);
            }
            self.held.push(Held {
                incarnation,
                sequence: message.sequence,
                announced: (now, now),
                confirmable_at: now + MIN_SPAN,
                expires_at,
            });
            return None;
        };
        let held = &mut self.held[found];
        if !message.is_later_than(held.sequence) {
            return None;
        }
        held.sequence = message.sequence;
        held.announced.1 = now;
        held.expires_at = expires_at;
        (now >= held.confirmable_at).then(|| self.held.remove(found))
    }

    /// Records an announcement of the current incarnation: announcements of others that arrived
    /// before it confirm nothing.
    pub fn record_current(&mut self, now: Instant) {
        for held in &mut self.held {
            held.confirmable_at = now + MIN_SPAN;
        }
    }

    /// Removes those that announced themselves before `sent_at`. Returns the one of `instance` that
    /// started last, and all others.
    pub fn take(&mut self, instance: &Arc<str>, sent_at: Instant) -> (Option<Held>, Vec<Held>) {
        let announced_before = |held: &mut Held| held.announced.0 <= sent_at;
        let mut taken: Vec<Held> = self.held.extract_if(.., announced_before).collect();
        let named = taken.iter().enumerate();
        let named = named.filter(|(_, held)| held.incarnation.instance == *instance);
        let newest = named.max_by_key(|(_, held)| held.incarnation.born);
        let newest = newest.map(|(index, _)| index);
        (newest.map(|index| taken.remove(index)), taken)
    }

    /// Puts back an incarnation that was taken.
    pub fn put_back(&mut self, held: Held) {
        self.held.push(held);
    }

    /// Removes the incarnations that may have sent a message.
    pub fn remove(&mut self, message: &Message<'_>) {
        self.held
            .retain(|held| !held.incarnation.may_be_sender_of(message));
    }

    /// Removes the incarnations that have sent nothing for the silence timeout.
    pub fn prune(&mut self, now: Instant) {
        self.held.retain(|held| now < held.expires_at);
    }

    pub fn iter(&self) -> impl Iterator<Item = &Held> {
        self.held.iter()
    }
}
