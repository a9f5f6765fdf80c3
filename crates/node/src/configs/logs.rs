//! Settings of logging.

use serde::{Deserialize, Serialize};

/// Settings of [`crate::logs`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Minimum log level (error, warn, info, debug or trace), or a filter such as
    /// `info,mintridge_node=debug`.
    pub level: String,
    /// Maximum number of request log lines per second and duty (a thread of the node); lines beyond
    /// it are only counted.
    pub request_lines_per_second: u32,
    /// One out of this many successful requests is logged; 0 logs none.
    pub sample_one_in: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            level: String::from("info"),
            request_lines_per_second: 50,
            sample_one_in: 1000,
        }
    }
}
