//! Settings of the guard's calls to its upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::guard`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Timeout for opening a connection to the upstream.
    #[serde(with = "humantime_serde")]
    pub connect_within: Duration,
    /// Idle connections to the upstream are not reused after this time; keep it below the
    /// upstream's own idle timeout.
    #[serde(with = "humantime_serde")]
    pub idle_connections_for: Duration,
    /// Maximum number of idle connections to the upstream.
    pub idle_connections_most: usize,
    /// Minimum interval between two load reports that are sent to a peer separately from
    /// responses.
    #[serde(with = "humantime_serde")]
    pub report_every: Duration,
    /// Capacity of the queue that carries the upstream's announcements from their listener to the
    /// guard.
    pub announcements_ring: usize,
    /// Capacity of the queue from the guard to control, which carries crashes of the upstream and
    /// responses to suspect requests.
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
