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
