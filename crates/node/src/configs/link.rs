//! Settings of the links between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::link`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time to open a link.
    #[serde(with = "humantime_serde")]
    pub connect_within: Duration,
    /// A link that was silent for this long is checked before a request is sent on it.
    #[serde(with = "humantime_serde")]
    pub check_after_idle: Duration,
    /// Time for that check; a link that misses it is replaced.
    #[serde(with = "humantime_serde")]
    pub check_within: Duration,
    /// A link that was silent for this long is closed, or the memory of a node would follow the size
    /// of the fleet. A new link takes one trip more than the check of an old one.
    #[serde(with = "humantime_serde")]
    pub close_after_idle: Duration,
    /// How often a link with requests in progress is checked.
    #[serde(with = "humantime_serde")]
    pub ping_every: Duration,
    /// A link that misses a check for this long is closed.
    #[serde(with = "humantime_serde")]
    pub ping_within: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_within: Duration::from_millis(300),
            check_after_idle: Duration::from_secs(1),
            check_within: Duration::from_millis(250),
            close_after_idle: Duration::from_secs(5),
            ping_every: Duration::from_millis(500),
            ping_within: Duration::from_millis(700),
        }
    }
}
