//! Settings of the first seconds of a node.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::bootstrap`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Hosts named in the settings have this long to bring a node into the fleet before it looks
    /// for others in the store, by a read that may lag: several trips, and little of the time for
    /// which its callers would be refused.
    #[serde(with = "humantime_serde")]
    pub named_first: Duration,
    /// They have this long to bring the routing table: a few trips. Until it is known all callers
    /// are refused, and after a loss of all power nobody has it.
    #[serde(with = "humantime_serde")]
    pub routes_first: Duration,
    /// Nodes that start with no host named look into the store at different times within this
    /// span, few of them early. A fleet that starts for the first time waits as long.
    #[serde(with = "humantime_serde")]
    pub start_spread: Duration,
    /// A node is none of the few regular users of the store before it has run for this long:
    /// until then it does not know the others of its zone who come before it.
    #[serde(with = "humantime_serde")]
    pub settled_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            named_first: Duration::from_millis(30),
            routes_first: Duration::from_millis(15),
            start_spread: Duration::ZERO,
            settled_after: Duration::from_secs(1),
        }
    }
}
