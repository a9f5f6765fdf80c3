//! Settings of second attempts.

use serde::{Deserialize, Serialize};

/// Settings of [`crate::retry`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Attempts made for one request, the first included.
    pub attempts: u32,
    /// Hosts tried for one request while none has handed it to its upstream.
    pub placements: u32,
    /// Statuses of an upstream's answer after which a repeatable request is tried again.
    pub on_statuses: Vec<u16>,
    /// Second attempts that may be made at once after a quiet time.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempts: 3,
            placements: 3,
            on_statuses: vec![502, 503],
            burst: 10.0,
        }
    }
}
