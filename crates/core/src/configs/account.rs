//! Settings for client accounts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings for [`crate::account`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time within which a key that a new routing table removes can no longer be used at any node;
    /// if unset, there is no such bound.
    #[serde(with = "humantime_serde")]
    pub revoked_within: Option<Duration>,
    /// Length of the sliding window in which the requests of an account are limited.
    #[serde(with = "humantime_serde")]
    pub rate_window: Duration,
    /// Share of an account's limit by which its requests in a window may exceed it.
    pub rate_overshoot: f64,
    /// Number of requests by which an account's requests in a window may exceed its limit in
    /// addition.
    pub rate_slack: f64,
    /// Number of shards into which accounts are hashed; each shard has one owner among the nodes.
    pub shards: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            revoked_within: None,
            rate_window: Duration::from_secs(5),
            rate_overshoot: 0.1,
            rate_slack: 20.0,
            shards: 8,
        }
    }
}
