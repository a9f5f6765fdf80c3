//! Which nodes are told of an upstream's load between two answers.
//!
//! Load pattern: a host turns slow within milliseconds and stays so for some hundred, while
//! each entry node hears of it only with its own next answer from there, a third of a second
//! later. Nodes that send again and again are told of each change at once. In a fleet of
//! hundreds a node meets the same host every ten seconds or more: what it is told meanwhile is
//! out of date long before it chooses again, so a node is told only once it has come back soon.
//! The messages then follow the traffic between two nodes and not the size of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after its last request a node is told: several times the gap between two
/// requests of one node to one upstream in steady traffic.
const TOLD_FOR: Duration = Duration::from_secs(2);
/// Nodes told at most; in a large fleet each upstream hears from more nodes than it is worth
/// telling, and the latest are the likeliest to send again.
const MOST: usize = 24;
/// Nodes remembered at most, told or not.
const REMEMBERED_MOST: usize = 256;

/// Nodes that sent requests lately.
#[derive(Debug, Default)]
pub struct Audience {
    nodes: HashMap<SocketAddr, Sender>,
}

/// One of them.
#[derive(Clone, Copy, Debug)]
struct Sender {
    /// It is forgotten then, unless it sends again.
    until: Instant,
    /// Whether it came back before it was forgotten.
    came_back: bool,
}

impl Audience {
    /// A node sent a request.
    pub fn sent(&mut self, now: Instant, node: SocketAddr) {
        let before = self.nodes.get(&node);
        let came_back = before.is_some_and(|sender| now < sender.until);
        let sender = Sender {
            until: now + TOLD_FOR,
            came_back,
        };
        self.nodes.insert(node, sender);
        if self.nodes.len() > REMEMBERED_MOST {
            let oldest = self.nodes.iter().min_by_key(|(_, sender)| sender.until);
            if let Some(node) = oldest.map(|(node, _)| *node) {
                self.nodes.remove(&node);
            }
        }
    }

    /// The nodes to tell: of those that came back, the latest.
    pub fn current(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.nodes.retain(|_, sender| now < sender.until);
        let told = self.nodes.iter().filter(|(_, sender)| sender.came_back);
        let mut told: Vec<(Instant, SocketAddr)> =
            told.map(|(node, sender)| (sender.until, *node)).collect();
        told.sort_unstable_by(|a, b| b.cmp(a));
        told.truncate(MOST);
        told.into_iter().map(|(_, node)| node).collect()
    }
}
