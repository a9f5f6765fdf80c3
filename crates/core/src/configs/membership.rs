//! Settings of the membership exchanges between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::membership`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Interval between two exchanges started by one node.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Timeout of an exchange. Other nodes are then asked to probe the peer.
    #[serde(with = "humantime_serde")]
    pub answer_within: Duration,
    /// Number of peers asked to probe a peer that did not answer.
    pub relays: usize,
    /// Time after which a suspected host is considered dead unless it refutes the suspicion.
    #[serde(with = "humantime_serde")]
    pub suspicion: Duration,
    /// How long the record of a dead or departed host is retained as a tombstone, so that an
    /// outdated record cannot revive it.
    #[serde(with = "humantime_serde")]
    pub forget_after: Duration,
    /// Maximum number of updated records carried by one exchange.
    pub records_most: usize,
    /// Number of times a record is retransmitted, as a multiple of the logarithm of the number of
    /// members. At 1, a node in a fleet of 510 receives a change from ten others on average.
    pub news_rounds: u32,
    /// Number of designated readers in each availability zone: the nodes that watch the store and
    /// maintain a seed in it, through which other nodes find them.
    pub holders_per_zone: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(500),
            answer_within: Duration::from_millis(400),
            relays: 2,
            suspicion: Duration::from_secs(3),
            forget_after: Duration::from_mins(1),
            records_most: 96,
            news_rounds: 1,
            holders_per_zone: 2,
        }
    }
}
