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
    /// How old a copy the store may come back from.
    #[serde(with = "humantime_serde")]
    pub copy_age_most: Duration,
    /// Claims remembered for such a return; beyond that the oldest are forgotten.
    pub kept_most: usize,
    /// How often the store is asked for a sign of its return while claims are remembered.
    #[serde(with = "humantime_serde")]
    pub check_every: Duration,
    /// How long after a return nothing is granted: every node has noticed by then and has written
    /// its claims again.
    #[serde(with = "humantime_serde")]
    pub doubtful_for: Duration,
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
            copy_age_most: Duration::from_secs(30),
            kept_most: 4096,
            check_every: Duration::from_secs(1),
            doubtful_for: Duration::from_secs(3),
        }
    }
}
