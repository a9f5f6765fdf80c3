//! Settings for the first seconds after a node starts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::bootstrap`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time to join the fleet through the hosts named in the settings before a node searches the
    /// store for other nodes with a possibly stale read. Long enough for several round trips, and
    /// short compared with the time for which its callers would be rejected.
    #[serde(with = "humantime_serde")]
    pub named_first: Duration,
    /// Time to get the routing table from the named hosts before a node reads it from the store:
    /// a few round trips. All callers are rejected until the node has the table, and after a
    /// power loss of the whole fleet no peer has it.
    #[serde(with = "humantime_serde")]
    pub routes_first: Duration,
    /// Nodes that start without named hosts read the store at different times within this span,
    /// few of them early. The first start of a fleet takes this long.
    #[serde(with = "humantime_serde")]
    pub start_spread: Duration,
    /// Time after its start during which a node does not act as a designated reader of the store.
    /// Until then it does not know the nodes of its zone that precede it in the order that
    /// designates readers.
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
