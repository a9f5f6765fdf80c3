//! Settings for choosing an upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings for [`crate::placement`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Cost of leaving the availability zone, as time: the round trip between zones, plus the value
    /// of the traffic between them.
    #[serde(with = "humantime_serde")]
    pub zone_cost: Duration,
    /// Assumed service time of an upstream that has not reported its load yet.
    #[serde(with = "humantime_serde")]
    pub service_time_initial: Duration,
    /// Additional cost of an upstream whose slots are all taken, compared with an idle one, in
    /// service times; it grows in proportion to the load.
    pub spread: f64,
    /// A host counts as a straggler when its service time exceeds the median of its peers by this
    /// factor.
    pub straggler_factor: f64,
    /// Time constant with which a straggler's reported service time decays to the median with the
    /// age of the report.
    #[serde(with = "humantime_serde")]
    pub straggler_fades: Duration,
    /// Expected remaining duration of a slow phase of an upstream's host.
    #[serde(with = "humantime_serde")]
    pub slow_phase: Duration,
    /// Expected share of the time that a host is in a slow phase, 0 to 1.
    pub slow_share: f64,
    /// Expected service time on a host in a slow phase, in percent of the usual one.
    pub slow_percent: u32,
    /// Time over which the share of a host that has just joined grows to its full share.
    #[serde(with = "humantime_serde")]
    pub ramp: Duration,
    /// How long a host that refused a request, or whose connection broke, is chosen only if all
    /// others are worse.
    #[serde(with = "humantime_serde")]
    pub avoid_for: Duration,
    /// Number of candidates compared for one request, sampled at random when there are more.
    pub choices: usize,
    /// How many of the compared candidates are taken from outside the node's availability zone, as
    /// far as there are any; more if that zone has too few.
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
