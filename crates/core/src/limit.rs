//! Concurrency limit of an upstream.
//!
//! Load pattern: upstreams slow down before all their slots are taken, and shed requests that they
//! cannot queue. The limit is at most a share of the slots. If the upstream sheds load
//! nevertheless, the limit is multiplied by a decrease factor, once for all requests that were in
//! flight at that time, and rises again with successful answers.

use std::time::{Duration, Instant};

use crate::configs::admission::Settings;

/// Concurrency limit of one upstream.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    requests: f64,
    lowered_at: Option<Instant>,
}

impl Limit {
    /// Creates the highest limit that the settings allow for this number of slots.
    #[must_use]
    pub fn new(settings: &Settings, slots: u32) -> Self {
        Self {
            slots,
            requests: max_requests(settings, slots),
            lowered_at: None,
        }
    }

    /// Number of slots of the upstream.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Maximum number of concurrent requests; fractional while the limit rises.
    #[must_use]
    pub const fn requests(&self) -> f64 {
        self.requests
    }

    /// Maximum number of concurrent requests, rounded down to whole requests.
    #[must_use]
    pub fn whole_requests(&self) -> u32 {
        whole_requests(self.requests)
    }

    /// Raises the limit after a successful answer.
    pub fn raise(&mut self, settings: &Settings) {
        let raised = self.requests + settings.limit_increase / self.requests;
        self.requests = raised.min(max_requests(settings, self.slots));
    }

    /// Lowers the limit after the upstream shed a request, at most once per `service_time`.
    /// Requests that were already in flight when the limit fell don't show whether the new limit
    /// is too high.
    pub fn lower(&mut self, settings: &Settings, now: Instant, service_time: Duration) {
        let may_lower = self.lowered_at.is_none_or(|at| now >= at + service_time);
        if !may_lower {
            return;
        }
        self.lowered_at = Some(now);
        let lowered = self.requests * settings.limit_decrease;
        self.requests = lowered.max(settings.limit_least);
    }
}

/// Rounds a limit or capacity down to whole requests, to at least one.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn whole_requests(requests: f64) -> u32 {
    requests.max(1.0) as u32
}

/// Maximum number of concurrent requests while the upstream sheds no load.
fn max_requests(settings: &Settings, slots: u32) -> f64 {
    (f64::from(slots) * settings.slots_share).max(1.0)
}
