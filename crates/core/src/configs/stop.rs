//! Settings of a planned stop of a node.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::stop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long a stopping node keeps serving callers and closes their connections after a
    /// response, so that they reconnect to another node. It is shorter where the process is killed
    /// soon.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// How long after a stop is requested the process is killed from outside. The node then answers
    /// and ends shortly before that, whatever `stop_within` is.
    #[serde(with = "humantime_serde")]
    pub killed_after: Option<Duration>,
    /// Requests still in flight this long after a stop is requested are aborted, if nothing kills
    /// the process.
    #[serde(with = "humantime_serde")]
    pub stop_within: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            linger: Duration::from_millis(1500),
            killed_after: None,
            stop_within: Duration::from_mins(1),
        }
    }
}
