//! Settings for the rate limit of cold upstreams.

use serde::{Deserialize, Serialize};

/// Settings for [`crate::warm_up`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Requests per second that a cold upstream sustains, unless the routing table sets a rate for
    /// its service; without either there is no limit.
    pub requests_per_second: Option<f64>,
    /// Factor applied to that rate, which gives the maximum number of requests that may start in a
    /// cold upstream within any second.
    pub rate_factor: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            requests_per_second: None,
            rate_factor: 1.0,
        }
    }
}
