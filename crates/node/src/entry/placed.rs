//! A request that has been placed on a host.

use std::sync::Arc;
use std::time::Instant;

use mintridge_core::load::Report;
use mintridge_core::notice::Known;
use mintridge_core::placement::Ending;

use super::Entry;
use super::attempt::Attempt;
use crate::request_log;

/// A request placed on a host; counted among the host's requests in flight until dropped.
pub struct Placed {
    /// Entry that placed the request.
    pub entry: Arc<Entry>,
    /// Service that the request is for.
    pub service: Arc<str>,
    /// Host that the request is placed on.
    pub host: Arc<str>,
    /// How the attempt ended; [`Ending::Abandoned`] until its end is known.
    pub ending: Ending,
    /// Whether the host must refuse the request if it would miss its target latency there.
    pub only_in_time: bool,
    /// Load report by which the host was chosen, and when the report was received.
    pub last_report: (Report, Instant),
    /// Last known statements of the upstream.
    pub known: Option<Known>,
    /// Start of the attempt.
    pub started_at: Instant,
}

impl Placed {
    /// Returns the attempt as the request log records it.
    pub fn log_record(&self, attempted: &Attempt) -> request_log::Attempt {
        let (report, reported_at) = self.last_report;
        request_log::Attempt {
            host: Arc::clone(&self.host),
            report,
            known: self.known.clone(),
            report_age: self.started_at.duration_since(reported_at),
            only_in_time: self.only_in_time,
            outcome: attempted.outcome(),
            upstream_status: attempted.upstream_status(),
            started_at: self.started_at,
            took: self.started_at.elapsed(),
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let mut placement = self.entry.placement.lock();
        placement.finish(Instant::now(), &self.service, &self.host, self.ending);
    }
}
