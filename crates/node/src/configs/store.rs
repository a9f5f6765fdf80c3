//! Settings of the platform's key-value store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Port of the etcd client API.
const ETCD_PORT: u16 = 2379;

/// Settings of [`mintridge_store::client`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address of the store's JSON API.
    pub address: SocketAddr,
    /// Timeout of one call.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Response header that counts how often the store has been restored from an older copy; if
    /// unset, a restore is not detected.
    pub epoch_header: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), ETCD_PORT),
            timeout: Duration::from_millis(500),
            epoch_header: None,
        }
    }
}
