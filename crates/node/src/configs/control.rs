//! Settings of the communication with peers and the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::control`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How often a designated reader reads the preset in force in addition to its watch.
    #[serde(with = "humantime_serde")]
    pub store_read_every: Duration,
    /// How long a single watch of the store waits for a change.
    #[serde(with = "humantime_serde")]
    pub watch_for: Duration,
    /// How often a designated reader renews its seed, which is its entry in the store through which
    /// other nodes find it, and reads the other seeds.
    #[serde(with = "humantime_serde")]
    pub seeds_every: Duration,
    /// Time to live of a seed that is no longer renewed.
    #[serde(with = "humantime_serde")]
    pub seed_time_to_live: Duration,
    /// A node that has had no contact with any peer for this long reads the store itself.
    #[serde(with = "humantime_serde")]
    pub isolated_after: Duration,
    /// Number of peers that are notified of a change immediately.
    pub push_to: usize,
    /// Timeout for sending a newer document (a preset or a routing table) to a peer.
    #[serde(with = "humantime_serde")]
    pub document_within: Duration,
    /// Number of exchanges with differing membership tables after which the full table is
    /// requested.
    pub pull_after: u32,
    /// Maximum number of open connections from peers.
    pub connections_most: usize,
    /// Maximum size of a message from a peer, in bytes.
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
