//! Settings of admission beside the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::admission`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Share of the upstream's slots that are used at most. Many upstreams slow down before
    /// all their slots are taken, so that the last few cost more than they carry.
    pub slots_share: f64,
    /// How long a slow phase of the upstream's host is expected to go on: phases of some hundred
    /// milliseconds are met when part of them is over.
    #[serde(with = "humantime_serde")]
    pub slow_phase: Duration,
    /// What the upstream told of its host's speed is taken as present for this long; after
    /// that it is asked before a request begins, as far as the budget for measuring allows.
    #[serde(with = "humantime_serde")]
    pub pace_fresh: Duration,
    /// A rank whose requests begin in time less than this share as often as those of all ranks
    /// stands beside the most urgent until it has caught up; 0 leaves the least urgent what is left
    /// over, and the higher it is, the more the urgent ones pay for them.
    pub rank_share_least: f64,
    /// Requests that may wait, per slot of the upstream.
    pub queue_per_slot: f64,
    /// Requests that may wait whatever the number of slots.
    pub queue_least: usize,
    /// Assumed time of a request in the upstream before the first answer.
    #[serde(with = "humantime_serde")]
    pub service_time_initial: Duration,
    /// Weight of one answer in the mean time of a request, 0 to 1. At 0.2 the last five answers
    /// decide, and one that met a slow phase made the next requests look too long for their
    /// targets.
    pub service_time_share: f64,
    /// The limit on concurrency never falls below this.
    pub limit_least: f64,
    /// Factor applied to the limit when the upstream sheds load.
    pub limit_decrease: f64,
    /// Added to the limit over one limit's worth of good answers.
    pub limit_increase: f64,
    /// Least time told to a refused caller; HTTP carries whole seconds.
    #[serde(with = "humantime_serde")]
    pub retry_after_least: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots_share: 1.0,
            slow_phase: Duration::from_millis(200),
            pace_fresh: Duration::from_millis(50),
            rank_share_least: 0.35,
            queue_per_slot: 2.0,
            queue_least: 4,
            service_time_initial: Duration::from_millis(20),
            service_time_share: 0.1,
            limit_least: 1.0,
            limit_decrease: 0.8,
            limit_increase: 0.5,
            retry_after_least: Duration::from_secs(1),
        }
    }
}
