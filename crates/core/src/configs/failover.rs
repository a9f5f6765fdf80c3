//! Settings of the failover between readers of the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::failover`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// A reader makes sure that the store answers it, and tells its zone, this often.
    #[serde(with = "humantime_serde")]
    pub check_every: Duration,
    /// Readers of which nothing was heard for this long are in doubt. Two checks fit in, and
    /// with the successors' turns it stays below the time in which a change must be in force.
    #[serde(with = "humantime_serde")]
    pub doubted_after: Duration,
    /// Each successor gives the one before it this long.
    #[serde(with = "humantime_serde")]
    pub turn: Duration,
    /// Nodes of a zone that may take the place of its readers.
    pub successors: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            check_every: Duration::from_millis(400),
            doubted_after: Duration::from_secs(1),
            turn: Duration::from_millis(50),
            successors: 8,
        }
    }
}
