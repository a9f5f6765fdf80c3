//! Settings for probes of a doubtful upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings for [`crate::probe`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time after which an unanswered probe has failed; also the size of the budget's bucket.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Minimum cost charged for a probe, however soon it is answered.
    #[serde(with = "humantime_serde")]
    pub cost_least: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_millis(25),
            cost_least: Duration::ZERO,
        }
    }
}
