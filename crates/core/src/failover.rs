//! Decides which nodes of an availability zone read the store, and how current the documents of a
//! node are known to be.
//!
//! Load pattern: the store does not answer most nodes, answers some of them from stale data, or most
//! nodes lose power, while operators change the configuration. Membership designates the readers,
//! but it only knows that a node is alive, and it takes seconds to detect a crash. Each reader
//! therefore verifies at intervals that the store holds nothing newer than its documents, and
//! reports this to its zone. Such a proof counts for another node only once that node has the
//! documents that it is about. Nodes for which no recent proof counts take over in turn, a limited
//! number of them.

use std::time::Instant;

use crate::configs::failover::Settings;
use crate::preset::Revision;
use crate::route;

/// Versions of the documents in force on a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Revision of the preset.
    pub preset: Revision,
    /// Version of the routing table.
    pub routes: route::Version,
}

impl Versions {
    /// Returns whether any document is older than the other's.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        self.preset < other.preset || self.routes < other.routes
    }
}

/// Statement of a reader that the store held nothing newer than these documents at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Versions of the documents.
    pub versions: Versions,
    /// When the call to the store that proved it was sent.
    pub at: Instant,
}

/// Decides for one node whether it acts in place of its zone's readers, and when a reader verifies
/// its documents.
#[derive(Debug)]
pub struct Failover {
    settings: Settings,
    /// The readers are presumed to have failed unless a proof extends this deadline.
    report_deadline: Instant,
    /// When the store was last known to hold nothing newer than this node's documents.
    verified_at: Option<Instant>,
    /// Latest proof of this node or of one ahead of it; the next check is due some time later.
    check_base: Option<Instant>,
    /// When the latest check failed.
    check_failed_at: Option<Instant>,
    /// Latest proof about documents that this node does not have yet, and whether it came from a
    /// node ahead of this one.
    pending: Option<(Proof, bool)>,
    /// Since when this node has known of a newer document than its own.
    behind_since: Option<Instant>,
    acts_as_reader: bool,
}

impl Failover {
    /// Creates the state of a node that starts and knows most other nodes from `settled_at` on.
    #[must_use]
    pub fn new(settings: Settings, settled_at: Instant) -> Self {
        let report_deadline = settled_at + settings.first_report_within;
        Self {
            settings,
            report_deadline,
            verified_at: None,
            check_base: None,
            check_failed_at: None,
            pending: None,
            behind_since: None,
            acts_as_reader: false,
        }
    }

    /// Records that this node verified its documents by a call that it sent to the store at `at`.
    pub fn record_check(&mut self, at: Instant) {
        self.verified_at = self.verified_at.max(Some(at));
        self.check_base = self.check_base.max(Some(at));
    }

    /// Records that a check failed.
    pub fn record_failed_check(&mut self, now: Instant) {
        self.check_failed_at = Some(now);
    }

    /// Records the proof that another node of the zone reports; `own` are the documents of this
    /// node. `ahead` is true if the other node comes before this one in the order of the zone.
    /// Returns whether the proof counts for this node.
    ///
    /// Failure: a reader has a newer document, and this node cannot fetch it. Symptom: this node
    /// keeps the old one for as long as it receives reports. The proof therefore counts only once
    /// this node has the documents as well.
    pub fn record_report(
        &mut self,
        now: Instant,
        own: Versions,
        proof: Proof,
        ahead: bool,
    ) -> bool {
        self.update(own);
        let counts = !own.is_behind(&proof.versions);
        if counts {
            self.apply(proof.at, ahead);
        } else {
            self.behind_since.get_or_insert(now);
            self.pending = Some((proof, ahead));
        }
        counts
    }

    /// Applies the latest proof if this node has the documents that it is about by now.
    pub fn update(&mut self, own: Versions) {
        let Some((proof, ahead)) = self.pending else {
            return;
        };
        if own.is_behind(&proof.versions) {
            return;
        }
        self.pending = None;
        self.behind_since = None;
        self.apply(proof.at, ahead);
    }

    /// Applies a proof that counts for this node.
    ///
    /// Failure: two nodes act as readers and each yields to the other. Symptom: no node reads the
    /// store until the readers' reports are overdue again. This cannot happen because an acting
    /// reader yields only to nodes ahead of it.
    fn apply(&mut self, at: Instant, ahead: bool) {
        self.verified_at = self.verified_at.max(Some(at));
        if ahead {
            self.check_base = self.check_base.max(Some(at));
        }
        if ahead || !self.acts_as_reader {
            let report_deadline = at + self.settings.doubted_after;
            self.report_deadline = self.report_deadline.max(report_deadline);
        }
    }

    /// Returns when the store was last known to hold nothing newer than this node's documents.
    #[must_use]
    pub const fn verified_at(&self) -> Option<Instant> {
        self.verified_at
    }

    /// Returns when a node that reads the store has to verify its documents next; `rank` is the
    /// number of readers ahead of it, whose proofs spare it the check.
    #[must_use]
    pub fn check_at(&self, now: Instant, rank: usize) -> Instant {
        let turns = u32::try_from(rank).unwrap_or(u32::MAX);
        let interval = self.settings.check_every + self.settings.turn * turns;
        let due_at = self.check_base.map_or(now, |base| base + interval);
        let retry_at = self.check_failed_at.map_or(now, |failed_at| {
            failed_at + self.settings.check_retried_after
        });
        due_at.max(retry_at)
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

    /// Returns when the node takes over if no proof arrives that counts for it. A node that is no
    /// successor does so only while it knows of a newer document than its own.
    #[must_use]
    pub fn takeover_at(&self, position: usize) -> Option<Instant> {
        if position > self.settings.successors {
            let takeover_at = self.behind_since? + self.settings.doubted_after;
            return Some(takeover_at.max(self.report_deadline));
        }
        let turns = u32::try_from(position).unwrap_or(u32::MAX);
        Some(self.report_deadline + self.settings.turn * turns)
    }
}
