//! Settings of the trust in the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::health`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Failures in a row that make the upstream doubtful.
    pub failures_until_doubtful: u32,
    /// A refusal by the upstream is a failure only below this share of its mean time.
    pub fast_failure: f64,
    /// No answer is a failure only after this many times its mean time.
    pub patience: f64,
    /// Least time between a failed probe and the next; the budget may make it longer.
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
