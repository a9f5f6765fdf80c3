//! Settings for the quarantine of requests that crash upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::quarantine`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Minimum number of upstream crashes before a request is quarantined. Every request in
    /// progress at a crash has one, and a request that was retried may have two; a third
    /// crash that no other request explains is rarely a coincidence.
    pub ends_least: usize,
    /// Time from the start of the quarantine to the first trial, which sends the request to one
    /// upstream. By then crashed upstreams have restarted, and callers that retry within seconds
    /// have given up.
    #[serde(with = "humantime_serde")]
    pub trial_after: Duration,
    /// Time from the first trial to the second; it doubles for each later trial.
    #[serde(with = "humantime_serde")]
    pub trial_again_after: Duration,
    /// Maximum time between two trials.
    #[serde(with = "humantime_serde")]
    pub trial_pause_most: Duration,
    /// Time for which a request is remembered after its last crash or trial. It exceeds the
    /// maximum time between two trials, so that no request is forgotten while callers still send
    /// it.
    #[serde(with = "humantime_serde")]
    pub remember_for: Duration,
    /// Maximum number of requests remembered; each takes a few hundred bytes of memory.
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
