//! Settings of the startup and shutdown of a node.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::node`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long a stopping node keeps serving callers and closes their connections after a
    /// response, so that they reconnect to another node.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Requests still in flight this long after a stop is requested are aborted.
    #[serde(with = "humantime_serde")]
    pub stop_within: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            linger: Duration::from_millis(1500),
            stop_within: Duration::from_mins(1),
        }
    }
}
