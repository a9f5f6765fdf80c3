//! Settings of admission control in front of the upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::admission`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum share of the upstream's slots that is used. Many upstreams slow down before all
    /// their slots are taken, so using the last few slots costs more capacity than it adds.
    pub slots_share: f64,
    /// Expected remaining duration of a slow phase of the upstream's host. Phases last a few
    /// hundred milliseconds, and part of a phase has passed when a request runs into it.
    #[serde(with = "humantime_serde")]
    pub slow_phase: Duration,
    /// How long a report of the host's pace counts as current. After that the upstream is polled
    /// for it before a request starts, as far as the probe budget allows.
    #[serde(with = "humantime_serde")]
    pub pace_fresh: Duration,
    /// Minimum share of the requests of a rank (a priority) that start in time, relative to that
    /// share over all ranks. A rank below it is treated as most urgent until it has caught up. At 0
    /// the least urgent rank gets only the remaining capacity; higher values cost the urgent ranks
    /// more capacity.
    pub rank_share_least: f64,
    /// Maximum number of queued requests per slot of the upstream.
    pub queue_per_slot: f64,
    /// Number of requests that may be queued regardless of the number of slots.
    pub queue_least: usize,
    /// Assumed service time of a request before the first response.
    #[serde(with = "humantime_serde")]
    pub service_time_initial: Duration,
    /// Weight of one response in the mean service time, from 0 to 1. At 0.2 the last five responses
    /// dominate the mean, and a single one from a slow phase made the following requests appear too
    /// long for their targets.
    pub service_time_share: f64,
    /// Minimum concurrency limit, in requests.
    pub limit_least: f64,
    /// Factor by which the limit is multiplied when the upstream sheds load.
    pub limit_decrease: f64,
    /// Requests added to the limit after as many successful responses as the limit.
    pub limit_increase: f64,
    /// Minimum retry delay sent to a refused caller; HTTP can only express whole seconds.
    #[serde(with = "humantime_serde")]
    pub retry_after_least: Duration,
    /// Share of a route's runs that may fail because their calls were refused before only the share
    /// that is completed is admitted; 1 admits all.
    pub failed_runs_most: f64,
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
            failed_runs_most: 1.0,
        }
    }
}
