//! Settings of the links between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::link`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Timeout for opening a link.
    #[serde(with = "humantime_serde")]
    pub connect_within: Duration,
    /// A link that has been idle for this long is checked before a request is sent on it.
    #[serde(with = "humantime_serde")]
    pub check_after_idle: Duration,
    /// Timeout of that check; a link that fails it is replaced.
    #[serde(with = "humantime_serde")]
    pub check_within: Duration,
    /// A link that has been idle for this long is closed; otherwise the memory use of a node would
    /// grow with the size of the fleet. Opening a new link takes one round trip more than checking
    /// an idle one.
    #[serde(with = "humantime_serde")]
    pub close_after_idle: Duration,
    /// Interval between pings on a link with requests in flight.
    #[serde(with = "humantime_serde")]
    pub ping_every: Duration,
    /// A link on which a ping is unanswered for this long is closed.
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
