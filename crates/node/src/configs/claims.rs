//! Settings of the thread that claims idempotency keys.

use serde::{Deserialize, Serialize};

/// Settings of [`crate::claims`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Capacity of the queue from the guard to the claims thread.
    pub ring: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ring: 1024 }
    }
}
