//! Settings of the gate before the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::gate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// An upstream that has not announced itself for this long gets nothing new.
    #[serde(with = "humantime_serde")]
    pub announcement_lapses: Duration,
    /// A timer that is this late means that the process was paused.
    #[serde(with = "humantime_serde")]
    pub pause_noticed: Duration,
    /// After a pause, how long to wait for a peer or the store before going on with what is known.
    #[serde(with = "humantime_serde")]
    pub wake_gives_up: Duration,
    /// Requests let in before leaving began may be handed over for this long.
    #[serde(with = "humantime_serde")]
    pub leaving_grace: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            announcement_lapses: Duration::from_secs(3),
            pause_noticed: Duration::from_millis(1500),
            wake_gives_up: Duration::from_secs(3),
            leaving_grace: Duration::from_millis(1500),
        }
    }
}
