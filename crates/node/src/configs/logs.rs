//! Settings of logging.

use serde::{Deserialize, Serialize};

/// Settings of [`crate::logs`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Least level logged: error, warn, info, debug or trace; or a filter as in `info,mintridge_node=debug`.
    pub level: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            level: String::from("info"),
        }
    }
}
