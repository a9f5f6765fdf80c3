//! Settings of the failover between store readers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::failover`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Interval at which a reader checks that the store answers it and reports so to its zone.
    #[serde(with = "humantime_serde")]
    pub check_every: Duration,
    /// Readers are presumed to have failed when no report has arrived for this long. It covers
    /// two checks, and together with the successors' turns it stays below the time within which
    /// a change must be in force.
    #[serde(with = "humantime_serde")]
    pub doubted_after: Duration,
    /// Time that each successor leaves the one before it to take over first.
    #[serde(with = "humantime_serde")]
    pub turn: Duration,
    /// Maximum number of nodes of a zone that may act in place of its readers.
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
