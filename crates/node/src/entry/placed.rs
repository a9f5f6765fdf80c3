//! A request placed on a host.

use std::sync::Arc;
use std::time::Instant;

use mintridge_core::load::Report;
use mintridge_core::placement::Ending;

use super::Entry;
use crate::request_log;

/// A request placed on a host; counted there until dropped.
pub struct Placed {
    /// The entry that placed it.
    pub entry: Arc<Entry>,
    /// The service of the request.
    pub service: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// How it ended; given up unless something else is known.
    pub ending: Ending,
    /// Whether the host is to refuse it if it would miss its target there.
    pub only_in_time: bool,
    /// What was known of its upstream when it was chosen, and since when.
    pub last_report: (Report, Instant),
    /// When the attempt was begun.
    pub begun_at: Instant,
}

impl Placed {
    /// What logs tell of the attempt.
    pub fn attempt(&self, outcome: &'static str) -> request_log::Attempt {
        let (report, reported_at) = self.last_report;
        request_log::Attempt {
            host: Arc::clone(&self.host),
            report,
            report_age: self.begun_at.duration_since(reported_at),
            only_in_time: self.only_in_time,
            outcome,
            asked_at: self.begun_at,
            took: self.begun_at.elapsed(),
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let mut placement = self.entry.placement.lock();
        placement.finish(Instant::now(), &self.service, &self.host, self.ending);
    }
}
