//! Settings for claims on idempotency keys.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::claim`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of requests that wait for a claim on one node.
    pub pending_most: usize,
    /// Maximum number of keys claimed by one write; the store allows 128 operations in a write.
    pub batch_most: usize,
    /// Rate at which this node may send writes for claims to the store.
    pub writes_per_second: f64,
    /// Maximum number of writes in a burst after an idle period.
    pub writes_burst: f64,
    /// How long the store keeps a key after its claim.
    #[serde(with = "humantime_serde")]
    pub remember_for: Duration,
    /// How long new claims are attached to the same lease of the store.
    #[serde(with = "humantime_serde")]
    pub lease_used_for: Duration,
    /// Maximum age of a copy from which the store may be restored.
    #[serde(with = "humantime_serde")]
    pub copy_age_most: Duration,
    /// Maximum number of granted claims a node remembers in case of a restore; beyond that the
    /// oldest are dropped.
    pub kept_most: usize,
    /// Interval at which the store is checked for a restore while granted claims are remembered.
    #[serde(with = "humantime_serde")]
    pub check_every: Duration,
    /// How long after a restore no claim is granted. By then every node has detected the restore
    /// and has written its claims again.
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
