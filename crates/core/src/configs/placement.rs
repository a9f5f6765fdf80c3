//! Settings of the choice of an upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::placement`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// What leaving the zone costs, as time: the round trip between availability zones, and
    /// as much more as the bytes between them are worth.
    #[serde(with = "humantime_serde")]
    pub zone_cost: Duration,
    /// Assumed time of a request in an upstream that has not reported.
    #[serde(with = "humantime_serde")]
    pub service_time_initial: Duration,
    /// Weight of an upstream's filling while it has free slots, in service times.
    pub spread: f64,
    /// A host is taken as a straggler when its service time exceeds the median of its
    /// peers by this factor.
    pub straggler_factor: f64,
    /// The suspicion of a straggler fades with the age of its last report at this rate.
    #[serde(with = "humantime_serde")]
    pub straggler_fades: Duration,
    /// How long a slow phase of an upstream's host is expected to go on.
    #[serde(with = "humantime_serde")]
    pub slow_phase: Duration,
    /// Share of the time that any host is expected to be slow, 0 to 1.
    pub slow_share: f64,
    /// How long work is expected to take on a slow host, in percent of the usual.
    pub slow_percent: u32,
    /// A host that joined takes its full share only after this long.
    #[serde(with = "humantime_serde")]
    pub ramp: Duration,
    /// How long a host that refused or broke is taken only when all others are worse.
    #[serde(with = "humantime_serde")]
    pub avoid_for: Duration,
    /// Candidates compared for one request, drawn at random when there are more.
    pub choices: usize,
    /// So many of them stand outside the own availability zone, if there are; more where the
    /// zone has too few.
    pub choices_outside: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone_cost: Duration::from_micros(500),
            service_time_initial: Duration::from_millis(20),
            spread: 1.0,
            straggler_factor: 2.0,
            straggler_fades: Duration::from_secs(5),
            slow_phase: Duration::from_millis(150),
            slow_share: 0.25,
            slow_percent: 400,
            ramp: Duration::from_secs(5),
            avoid_for: Duration::from_millis(500),
            choices: 8,
            choices_outside: 3,
        }
    }
}
