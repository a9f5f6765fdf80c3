//! Which nodes are told of an upstream's load between two answers.
//!
//! Load pattern: a host turns slow within milliseconds and stays so for some hundred, while
//! each entry node hears of it only with its own next answer from there, a third of a second
//! later. Nodes that sent requests lately are told of each change at once; those that sent
//! none do not need it, so the messages follow the traffic and not the size of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after its last request a node is told: several times the gap between two
/// requests of one node to one upstream in steady traffic.
const TOLD_FOR: Duration = Duration::from_secs(2);
/// Nodes told at most; in a large fleet each upstream hears from more nodes than it is worth
/// telling, and the latest are the likeliest to send again.
const MOST: usize = 24;

/// Nodes that sent requests lately.
#[derive(Debug, Default)]
pub struct Audience {
    until: HashMap<SocketAddr, Instant>,
}

impl Audience {
    /// A node sent a request.
    pub fn sent(&mut self, now: Instant, node: SocketAddr) {
        self.until.insert(node, now + TOLD_FOR);
        if self.until.len() <= MOST {
            return;
        }
        let oldest = self.until.iter().min_by_key(|(_, until)| **until);
        if let Some(node) = oldest.map(|(node, _)| *node) {
            self.until.remove(&node);
        }
    }

    /// The nodes to tell.
    pub fn current(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.until.retain(|_, until| now < *until);
        self.until.keys().copied().collect()
    }
}
