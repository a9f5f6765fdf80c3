//! Settings of the claims on idempotency keys.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::claim`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Requests that may wait for a claim in one node.
    pub pending_most: usize,
    /// Keys claimed by one write; the store allows 128 operations in one.
    pub batch_most: usize,
    /// Writes a second that this node may spend on claims.
    pub writes_per_second: f64,
    /// Writes that may be spent at once after a quiet time.
    pub writes_burst: f64,
    /// How long a key is remembered after its claim.
    #[serde(with = "humantime_serde")]
    pub remember_for: Duration,
    /// How long one lease of the store takes in new claims.
    #[serde(with = "humantime_serde")]
    pub lease_used_for: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            pending_most: 1024,
            batch_most: 64,
            writes_per_second: 20.0,
            writes_burst: 8.0,
            remember_for: Duration::from_hours(24),
            lease_used_for: Duration::from_hours(1),
        }
    }
}
