//! Settings of a node's start and stop.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::node`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// After a stop is asked for, how long callers are still served while peers learn of it.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Requests still in progress this long after a stop was asked for are cut.
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
