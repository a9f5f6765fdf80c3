//! Settings for retries.

use serde::{Deserialize, Serialize};

/// Settings for [`crate::retry`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of attempts for one request, including the first.
    pub attempts: u32,
    /// Maximum number of hosts asked for one request while none has sent it to its upstream.
    pub placements: u32,
    /// Status codes of an upstream's response after which an idempotent request is retried.
    pub on_statuses: Vec<u16>,
    /// Size of the retry budget: retries that can be made at once after a time without any.
    pub burst: f64,
    /// Share of `burst` that is reserved for requests of the most urgent rank and for calls of
    /// running requests, where such calls are observed. Above 0, retries also stop while no other
    /// host is likelier to run a request than to shed it.
    pub reserved_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempts: 3,
            placements: 3,
            on_statuses: vec![502, 503],
            burst: 10.0,
            reserved_share: 0.0,
        }
    }
}
