//! Settings of requests that end upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::quarantine`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Upstreams that have to end under a request before it is held back. One end is met by every
    /// request that was in progress there, two by one that was tried again; a third that nothing
    /// else explains is seldom chance.
    pub ends_least: usize,
    /// A request that is held back is tried once after this: by then upstreams that ended are
    /// back, and callers who repeat within seconds have given up.
    #[serde(with = "humantime_serde")]
    pub trial_after: Duration,
    /// Time from the first trial to the second; each later one waits twice as long.
    #[serde(with = "humantime_serde")]
    pub trial_again_after: Duration,
    /// Longest time between two trials.
    #[serde(with = "humantime_serde")]
    pub trial_pause_most: Duration,
    /// How long a request is remembered after the last end or trial; longer than the longest time
    /// between two trials, so that none is forgotten while it is still sent.
    #[serde(with = "humantime_serde")]
    pub remember_for: Duration,
    /// Requests remembered; each costs some hundred bytes of memory.
    pub suspects_most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ends_least: 3,
            trial_after: Duration::from_secs(10),
            trial_again_after: Duration::from_mins(1),
            trial_pause_most: Duration::from_mins(10),
            remember_for: Duration::from_hours(1),
            suspects_most: 128,
        }
    }
}
