//! Settings for the gate in front of the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of announcements in a row that an upstream may miss before it lapses. Announcements arrive
/// seconds late, and those that are not acknowledged go to another node.
const MISSED_ANNOUNCEMENTS: u32 = 8;
/// The time within which a drain must have ended divided by this is the time for which requests may
/// still be sent. The rest is left for those on their way.
const DRAIN_DIVISOR: u32 = 2;

/// Settings of [`crate::gate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// An upstream that has not announced itself for this long gets no new requests.
    #[serde(with = "humantime_serde")]
    pub announcement_lapses: Duration,
    /// Interval at which the upstream announces itself. If it is long, `announcement_lapses` is
    /// extended so that it spans several announcements.
    #[serde(with = "humantime_serde")]
    pub announced_every: Option<Duration>,
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
    /// How long after the start of a drain no request may reach the upstream any more. If it is
    /// short, `leaving_grace` is shortened accordingly.
    #[serde(with = "humantime_serde")]
    pub drained_within: Option<Duration>,
}

impl Settings {
    /// Returns how long an announcement is valid.
    #[must_use]
    pub fn announcement_validity(&self) -> Duration {
        let several = self
            .announced_every
            .map(|every| every * MISSED_ANNOUNCEMENTS);
        several.map_or(self.announcement_lapses, |several| {
            several.max(self.announcement_lapses)
        })
    }

    /// Returns how long after the start of a drain admitted requests may be sent.
    #[must_use]
    pub fn hand_over_time(&self) -> Duration {
        let share = self.drained_within.map(|within| within / DRAIN_DIVISOR);
        share.map_or(self.leaving_grace, |share| share.min(self.leaving_grace))
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            announcement_lapses: Duration::from_secs(3),
            announced_every: None,
            pause_noticed: Duration::from_millis(1500),
            wake_gives_up: Duration::from_secs(3),
            leaving_grace: Duration::from_millis(1500),
            drained_within: None,
        }
    }
}
