//! Settings of logging.

use serde::{Deserialize, Serialize};

/// Settings of [`crate::logs`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Least level logged: error, warn, info, debug or trace; or a filter as in `info,mintridge_node=debug`.
    pub level: String,
    /// Lines about requests that each duty writes in a second; what goes beyond is counted.
    pub request_lines_per_second: u32,
    /// One in so many requests that succeed is logged; 0 for none.
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
