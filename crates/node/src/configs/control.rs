//! Settings of the exchanges with peers and the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::control`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How often a holder reads the preset in force beside its watch.
    #[serde(with = "humantime_serde")]
    pub store_read_every: Duration,
    /// How long one watch of the store waits for a change.
    #[serde(with = "humantime_serde")]
    pub watch_for: Duration,
    /// How often a holder renews its entry among the seeds and reads the others.
    #[serde(with = "humantime_serde")]
    pub seeds_every: Duration,
    /// How long an entry among the seeds outlives its node.
    #[serde(with = "humantime_serde")]
    pub seed_time_to_live: Duration,
    /// A node that has heard no peer for this long reads the store itself.
    #[serde(with = "humantime_serde")]
    pub isolated_after: Duration,
    /// Peers told at once of a change.
    pub push_to: usize,
    /// A peer that is behind has this long to take a document: a preset or a routing table.
    #[serde(with = "humantime_serde")]
    pub document_within: Duration,
    /// Exchanges with differing tables before a whole table is asked for.
    pub pull_after: u32,
    /// Connections of peers open at once.
    pub connections_most: usize,
    /// Largest message taken from a peer.
    pub message_bytes_most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            store_read_every: Duration::from_secs(2),
            watch_for: Duration::from_millis(500),
            seeds_every: Duration::from_secs(5),
            seed_time_to_live: Duration::from_secs(20),
            isolated_after: Duration::from_secs(3),
            push_to: 3,
            document_within: Duration::from_secs(2),
            pull_after: 20,
            connections_most: 256,
            message_bytes_most: 4 * 1024 * 1024,
        }
    }
}
