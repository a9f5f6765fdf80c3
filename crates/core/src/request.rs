//! Properties of a request that admission control uses.

use std::sync::Arc;
use std::time::Instant;

/// Identifier of a request within one node, never reused by the same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A request that has arrived at the node beside the upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifier assigned by this node.
    pub id: Id,
    /// Client account that the request belongs to; queueing is fair between client accounts.
    pub client_account: Arc<str>,
    /// An answer after this instant is worthless to the caller.
    pub deadline: Instant,
    /// An answer after this instant is worth less to the caller; never later than the deadline.
    pub target: Instant,
    /// Priority of the route, which is the rank of the request in the queue; 0 is the most urgent.
    pub priority: u8,
    /// Route of the request; requests of one route do the same work.
    pub route: Arc<str>,
    /// Whether to refuse the request if it would miss its target here, because another host may
    /// still meet it.
    pub only_in_time: bool,
}
