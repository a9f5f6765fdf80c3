//! Settings of the failover between store readers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of [`crate::failover`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Interval at which a reader verifies that the store holds nothing newer than its documents,
    /// and reports so to its zone.
    #[serde(with = "humantime_serde")]
    pub check_every: Duration,
    /// Delay after a failed check.
    #[serde(with = "humantime_serde")]
    pub check_retried_after: Duration,
    /// Readers are presumed to have failed when the latest proof that counts for a node is this
    /// old. It covers a check with the repeats of its report, and together with the successors'
    /// turns it stays below the time within which a change must be in force.
    #[serde(with = "humantime_serde")]
    pub doubted_after: Duration,
    /// Delay after which each report is sent once more, since datagrams get lost.
    #[serde(with = "humantime_serde")]
    pub report_repeated_after: Duration,
    /// Time for the first report once a node knows most others. Nodes that start together differ
    /// by some hundred milliseconds.
    #[serde(with = "humantime_serde")]
    pub first_report_within: Duration,
    /// Time that each successor leaves the one before it to take over first.
    #[serde(with = "humantime_serde")]
    pub turn: Duration,
    /// Maximum number of nodes of a zone that may act in place of its readers.
    pub successors: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            check_every: Duration::from_millis(750),
            check_retried_after: Duration::from_millis(400),
            doubted_after: Duration::from_millis(1_200),
            report_repeated_after: Duration::from_millis(250),
            first_report_within: Duration::from_millis(600),
            turn: Duration::from_millis(50),
            successors: 8,
        }
    }
}
