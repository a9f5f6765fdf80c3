//! The load of one upstream, counted by the node beside it.

use serde::{Deserialize, Serialize};

/// Counted load, carried on every answer and refusal of the node that counted it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests handed to the upstream and not yet answered.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Requests the upstream may have at once.
    pub limit: u32,
    /// Mean time of a request in the upstream, in microseconds.
    pub service_micros: u32,
}

/// Load as the upstream itself tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstream {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests it works on at most.
    pub slots: u32,
    /// How long work takes on its host at this moment, in percent of the usual; `None` if
    /// it does not tell.
    pub slowness_percent: Option<u32>,
}
