//! Settings of the guard's calls to its upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::guard`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time to open a connection to the upstream.
    #[serde(with = "humantime_serde")]
    pub connect_within: Duration,
    /// An idle connection to the upstream is not used again after this; keep it below the upstream's own limit.
    #[serde(with = "humantime_serde")]
    pub idle_connections_for: Duration,
    /// Idle connections to the upstream kept open.
    pub idle_connections_most: usize,
    /// Least time between two load reports sent to one peer beside answers.
    #[serde(with = "humantime_serde")]
    pub report_every: Duration,
    /// Announcements between their listener and the guard.
    pub announcements_ring: usize,
    /// Ends of the upstream and answers to suspected requests, between the guard and control.
    pub suspicions_ring: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_within: Duration::from_millis(500),
            idle_connections_for: Duration::from_secs(2),
            idle_connections_most: 64,
            report_every: Duration::from_millis(50),
            announcements_ring: 16,
            suspicions_ring: 256,
        }
    }
}
