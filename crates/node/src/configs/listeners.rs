//! Addresses on which a node listens; port 0 selects any free port.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

/// Settings of the listeners opened by [`crate::node`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address for callers (HTTP/1.1).
    pub callers: SocketAddr,
    /// Address for requests from peers (HTTP/2).
    pub peers: SocketAddr,
    /// Address at which peers reach the `peers` listener if it differs, for example behind a proxy.
    pub peers_public: Option<SocketAddr>,
    /// Address for exchanges with peers (Cap'n Proto).
    pub control: SocketAddr,
    /// Address for announcements of the upstream (HTTP/1.1).
    pub announcements: SocketAddr,
    /// Address for operators: health, metrics and state.
    pub operators: SocketAddr,
    /// Additional address for operators, for metrics collectors that need a fixed address while
    /// `operators` changes.
    pub metrics: Option<SocketAddr>,
    /// Address for the datagrams by which nodes limit the request rates of client accounts; its port
    /// is the same on all hosts. If unset, rates are not limited.
    pub accounts: Option<SocketAddr>,
    /// Whether these datagrams use the port after that of `peers` if `accounts` is unset.
    pub accounts_next_to_peers: bool,
    /// Maximum number of connections waiting to be accepted, per listener.
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
            accounts: None,
            accounts_next_to_peers: false,
            backlog: 1024,
        }
    }
}

impl Settings {
    /// Returns the address for datagrams that limit the request rates of client accounts; `None` if
    /// rates are not limited.
    #[must_use]
    pub fn accounts_address(&self) -> Option<SocketAddr> {
        let next_to_peers = || {
            let port = self.peers.port().checked_add(1)?;
            Some(SocketAddr::new(self.peers.ip(), port))
        };
        let next_to_peers = self.accounts_next_to_peers.then(next_to_peers).flatten();
        self.accounts.or(next_to_peers)
    }
}
