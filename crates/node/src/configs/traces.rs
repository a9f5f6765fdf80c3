//! Settings of traces.

use serde::{Deserialize, Serialize};

/// Settings of [`crate::traces`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Whether spans are recorded and exported to the log under the target `trace`.
    pub sampled: bool,
}
