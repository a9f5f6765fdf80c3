//! Settings of the exchange between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::membership`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time between two exchanges started by one node.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// A peer that has not answered an exchange by then is asked about through others.
    #[serde(with = "humantime_serde")]
    pub answer_within: Duration,
    /// Peers asked about one that did not answer.
    pub relays: usize,
    /// A suspected host is dead unless it speaks up within this time.
    #[serde(with = "humantime_serde")]
    pub suspicion: Duration,
    /// How long a dead or departed host is remembered, so that old news cannot revive it.
    #[serde(with = "humantime_serde")]
    pub forget_after: Duration,
    /// News records carried by one exchange.
    pub records_most: usize,
    /// Times a record is sent on, multiplied by the logarithm of the number of members. At 1 a
    /// node of 510 hears of a change from ten others on average.
    pub news_rounds: u32,
    /// Nodes in each availability zone that watch the store and keep an entry in it.
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
