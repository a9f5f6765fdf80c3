//! Settings of the routing table.

use serde::{Deserialize, Serialize};

/// Settings of the routing table that operators keep in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Key of the routing table in the store; if unset, there is none, and each request names its
    /// service.
    pub key: Option<String>,
    /// Prefix of the keys of evacuated availability zones; the name of the zone follows it. If
    /// unset, no zone is ever evacuated. These keys are read and watched together with the routing
    /// table.
    pub evacuations: Option<String>,
}
