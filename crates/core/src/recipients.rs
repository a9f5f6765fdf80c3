//! Selects the nodes that receive an upstream's load reports between two responses.
//!
//! Load pattern: a host becomes slow within milliseconds and stays slow for several hundred
//! milliseconds, while each entry node learns of it only from its own next response from that
//! host, a third of a second later. Nodes that send requests frequently are therefore notified of
//! each change immediately. In a fleet of hundreds, a node sends to the same host only every ten
//! seconds or more: a report received in between is out of date long before the node's next
//! choice, so a node is notified only if its last two requests were close together. The number of
//! messages then depends on the traffic between two nodes and not on the size of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after its last request a node receives reports: several times the gap between two
/// requests of one node to one upstream in steady traffic.
const SENDER_TTL: Duration = Duration::from_secs(2);
/// Maximum number of nodes notified. In a large fleet more nodes send requests to each upstream
/// than are worth notifying, and the most recent senders are the likeliest to send again.
const MAX_RECIPIENTS: usize = 24;
/// Maximum number of senders recorded, notified or not.
const MAX_SENDERS: usize = 256;

/// Nodes that sent requests recently.
#[derive(Debug, Default)]
pub struct Recipients {
    nodes: HashMap<SocketAddr, Sender>,
}

#[derive(Clone, Copy, Debug)]
struct Sender {
    /// When the sender is removed, unless it sends another request.
    expires_at: Instant,
    /// Whether the sender sent another request before it expired.
    is_recurring: bool,
}

impl Recipients {
    /// Records a request from `node`.
    pub fn record_request(&mut self, now: Instant, node: SocketAddr) {
        let before = self.nodes.get(&node);
        let is_recurring = before.is_some_and(|sender| now < sender.expires_at);
        let sender = Sender {
            expires_at: now + SENDER_TTL,
            is_recurring,
        };
        self.nodes.insert(node, sender);
        if self.nodes.len() > MAX_SENDERS {
            let oldest = self
                .nodes
                .iter()
                .min_by_key(|(_, sender)| sender.expires_at);
            if let Some(node) = oldest.map(|(node, _)| *node) {
                self.nodes.remove(&node);
            }
        }
    }

    /// Returns the nodes to notify: the most recent of the recurring senders.
    pub fn select(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.nodes.retain(|_, sender| now < sender.expires_at);
        let recipients = self.nodes.iter().filter(|(_, sender)| sender.is_recurring);
        let mut recipients: Vec<(Instant, SocketAddr)> = recipients
            .map(|(node, sender)| (sender.expires_at, *node))
            .collect();
        recipients.sort_unstable_by(|a, b| b.cmp(a));
        recipients.truncate(MAX_RECIPIENTS);
        recipients.into_iter().map(|(_, node)| node).collect()
    }
}
