//! Which nodes of an availability zone read the store when its regular readers do not.
//!
//! Load pattern: the store turns away most nodes, or most nodes lose power, while operators change
//! the configuration. The regular readers are chosen by membership, which says that a node lives
//! and not that the store answers it, and it takes seconds to notice an end. So readers prove
//! their use: each tells its zone whenever the store has answered it. Without such a report the
//! other nodes take turns, a few of them, until one is answered, which then reports like a reader.

use std::time::Instant;

use crate::configs::failover::Settings;

/// Decides for one node whether it takes the place of its zone's readers.
#[derive(Debug)]
pub struct Failover {
    settings: Settings,
    /// The readers are in doubt from then on.
    doubted_at: Instant,
    stands_in: bool,
}

impl Failover {
    /// A node that starts, and expects reports from `settled_at` on.
    #[must_use]
    pub fn new(settings: Settings, settled_at: Instant) -> Self {
        let doubted_at = settled_at + settings.doubted_after;
        Self {
            settings,
            doubted_at,
            stands_in: false,
        }
    }

    /// Another node of the zone reports that the store answered it at `answered_at`. `ahead` if
    /// that node comes before this one in the order of the zone.
    ///
    /// Failure: two nodes stand in and each yields to the other. Symptom: nobody reads until the
    /// readers are in doubt again. One that stands in yields only to those ahead of it.
    pub fn reported(&mut self, answered_at: Instant, ahead: bool) {
        if self.stands_in && !ahead {
            return;
        }
        let doubted_at = answered_at + self.settings.doubted_after;
        self.doubted_at = self.doubted_at.max(doubted_at);
    }

    /// Whether the node stands in now; `place` is its place among the successors, 0 for a
    /// regular reader.
    pub fn stands_in(&mut self, now: Instant, place: usize) -> bool {
        if self.stands_in {
            self.stands_in = now >= self.doubted_at;
        } else {
            self.stands_in = self.due_at(place).is_some_and(|due_at| now >= due_at);
        }
        self.stands_in
    }

    /// When the node's turn comes if no report arrives; `None` if it is no successor.
    #[must_use]
    pub fn due_at(&self, place: usize) -> Option<Instant> {
        if place > self.settings.successors {
            return None;
        }
        let turns = u32::try_from(place).unwrap_or(u32::MAX);
        Some(self.doubted_at + self.settings.turn * turns)
    }
}
