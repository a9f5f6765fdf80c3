//! Settings for the health of the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings for [`crate::health`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Consecutive failures after which the upstream is doubtful: it gets probes but no requests.
    pub failures_until_doubtful: u32,
    /// A refusal by the upstream counts as a failure only if it takes less than this share of the
    /// mean service time.
    pub fast_failure: f64,
    /// A missing response counts as a failure only after this many times the mean service time.
    pub patience: f64,
    /// Minimum time between a failed probe and the next; the probe budget may extend it.
    #[serde(with = "humantime_serde")]
    pub probe_again_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures_until_doubtful: 3,
            fast_failure: 0.5,
            patience: 4.0,
            probe_again_after: Duration::from_millis(500),
        }
    }
}
