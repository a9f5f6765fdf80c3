//! Settings of second attempts.

use serde::{Deserialize, Serialize};

/// Settings of [`crate::retry`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Attempts made for one request, the first included.
    pub attempts: u32,
    /// Second attempts that may be made at once after a quiet time.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            attempts: 3,
            burst: 10.0,
        }
    }
}
