//! Settings for the gate in front of the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::gate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// An upstream that has not announced itself for this long gets no new requests.
    #[serde(with = "humantime_serde")]
    pub announcement_lapses: Duration,
    /// A timer tick that is this late means that the process was paused.
    #[serde(with = "humantime_serde")]
    pub pause_noticed: Duration,
    /// How long to wait for a peer or the store after a pause before continuing with the state from
    /// before the pause.
    #[serde(with = "humantime_serde")]
    pub wake_gives_up: Duration,
    /// How long after the start of a drain requests that were admitted before may still be sent to
    /// the upstream.
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
