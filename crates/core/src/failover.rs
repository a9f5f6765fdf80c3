//! Selects the nodes of an availability zone that read the store while its designated readers
//! cannot.
//!
//! Load pattern: the store does not answer most nodes, or most nodes lose power, while operators
//! change the configuration. Membership designates the readers, but it only knows that
//! a node is alive and not whether the store answers that node, and it takes seconds to detect a
//! crash. Each reader therefore reports to its zone whenever the store has answered it. Without
//! such a report the other nodes try in turn, a limited number of them, until the store answers
//! one, which then reports like a reader.

use std::time::Instant;

use crate::configs::failover::Settings;

/// Decides for one node whether it acts in place of its zone's readers.
#[derive(Debug)]
pub struct Failover {
    settings: Settings,
    /// The readers are presumed to have failed unless a report extends this deadline.
    report_deadline: Instant,
    acts_as_reader: bool,
}

impl Failover {
    /// Creates the state of a node that starts and expects reports from `settled_at` on.
    #[must_use]
    pub fn new(settings: Settings, settled_at: Instant) -> Self {
        let report_deadline = settled_at + settings.doubted_after;
        Self {
            settings,
            report_deadline,
            acts_as_reader: false,
        }
    }

    /// Records the report of another node of the zone that the store answered it at
    /// `answered_at`. `ahead` is true if that node comes before this one in the order of the zone.
    ///
    /// Failure: two nodes act as readers and each yields to the other. Symptom: no node reads the
    /// store until the readers' reports are overdue again. This cannot happen because an acting
    /// reader yields only to nodes ahead of it.
    pub fn record_report(&mut self, answered_at: Instant, ahead: bool) {
        if self.acts_as_reader && !ahead {
            return;
        }
        let report_deadline = answered_at + self.settings.doubted_after;
        self.report_deadline = self.report_deadline.max(report_deadline);
    }

    /// Updates and returns whether the node acts as a reader now; `position` is its position
    /// among the successors, 0 for a designated reader.
    pub fn acts_as_reader(&mut self, now: Instant, position: usize) -> bool {
        if self.acts_as_reader {
            self.acts_as_reader = now >= self.report_deadline;
        } else {
            self.acts_as_reader = self
                .takeover_at(position)
                .is_some_and(|takeover_at| now >= takeover_at);
        }
        self.acts_as_reader
    }

    /// Returns when the node takes over if no report arrives; `None` if it is not a successor.
    #[must_use]
    pub fn takeover_at(&self, position: usize) -> Option<Instant> {
        if position > self.settings.successors {
            return None;
        }
        let turns = u32::try_from(position).unwrap_or(u32::MAX);
        Some(self.report_deadline + self.settings.turn * turns)
    }
}
