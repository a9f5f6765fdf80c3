//! Client accounts of the routing table: whose key a request carries, how urgent it is, and how
//! many requests the account may send.
//!
//! Failure: any process that reaches a node can send requests under any account's name. Symptom:
//! it takes that account's share of the queue, and the upstream acts on an unverified name.
//! A request therefore carries a key, and the node derives the account from it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub mod authorization;
pub mod currency;
pub mod directory;
pub mod key;
pub mod limiter;
pub mod listing;

pub use self::directory::Directory;

/// Name that stands for no account, in messages between nodes and in the queue.
pub const ANONYMOUS: &str = "anonymous";

/// A client account of the routing table.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, which upstreams receive with each request of the account.
    pub name: Arc<str>,
    /// Priority, which goes before that of the route; 0 is the highest.
    pub priority: u8,
    /// Limit on the account's requests over all nodes; `None` if there is none.
    pub limit: Option<Limit>,
}

/// Limit on the requests of a client account over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that may be sent at once after a time without requests.
    pub burst: f64,
}
