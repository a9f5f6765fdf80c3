//! Settings of the trust in the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::health`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Failures in a row that make the upstream doubtful.
    pub failures_until_doubtful: u32,
    /// Least time between a failed probe and the next; the budget may make it longer.
    #[serde(with = "humantime_serde")]
    pub probe_again_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures_until_doubtful: 3,
            probe_again_after: Duration::from_millis(500),
        }
    }
}
