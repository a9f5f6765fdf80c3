//! Settings of the routing table.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of the routing table that operators keep in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Key of the routing table in the store; if unset, there is none, and each request names its
    /// service.
    pub key: Option<String>,
    /// Prefix of the keys of evacuated availability zones; the name of the zone follows it. If
    /// unset, no zone is ever evacuated. These keys are read and watched together with the routing
    /// table.
    pub evacuations: Option<String>,
    /// Time after which a table that the store has not confirmed again no longer proves that a
    /// route or a key does not exist. Requests that match no route, or whose key no account has, are
    /// then refused with a retry delay.
    #[serde(with = "humantime_serde")]
    pub doubted_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            key: None,
            evacuations: None,
            doubted_after: Duration::from_secs(2),
        }
    }
}
