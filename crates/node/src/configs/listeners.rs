//! Addresses on which a node listens; port 0 takes any free one.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Listeners of [`crate::node`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Callers, HTTP/1.1.
    pub callers: SocketAddr,
    /// Requests from peers, HTTP/2.
    pub peers: SocketAddr,
    /// Where peers reach that listener, if something stands in between.
    pub peers_public: Option<SocketAddr>,
    /// Exchanges with peers, Cap'n Proto.
    pub control: SocketAddr,
    /// Announcements of the upstream, HTTP/1.1.
    pub announcements: SocketAddr,
    /// Operators: health, metrics, state.
    pub operators: SocketAddr,
    /// A further address for operators, where theirs changes and collectors need a fixed one.
    pub metrics: Option<SocketAddr>,
    /// New connections that wait to be accepted, on each listener.
    pub backlog: i32,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            callers: any_port,
            peers: any_port,
            peers_public: None,
            control: any_port,
            announcements: any_port,
            operators: any_port,
            metrics: None,
            backlog: 1024,
        }
    }
}
