//! Names of the keys that mintridge keeps in the store.

/// The preset in force, an [`mintridge_core::preset::InForce`].
pub const IN_FORCE: &str = "mintridge/in-force";
/// Presets by name, each a [`mintridge_core::preset::Preset`].
pub const PRESETS: &str = "mintridge/presets/";
/// Nodes through which others find the fleet, each a
/// [`mintridge_core::membership::Record`] under a lease.
pub const SEEDS: &str = "mintridge/seeds/";
/// Requests that are held back because upstreams ended under them, all in one value.
pub const HELD: &str = "mintridge/held";
/// Claimed idempotency keys, each the mark of its request, under a lease.
pub const CLAIMS: &str = "mintridge/claims/";

/// Key of one preset.
#[must_use]
pub fn preset(name: &str) -> String {
    format!("{PRESETS}{name}")
}

/// Key of one node's entry among the seeds.
#[must_use]
pub fn seed(host: &str) -> String {
    format!("{SEEDS}{host}")
}

/// Key of one claim.
#[must_use]
pub fn claim(digest: &str) -> String {
    format!("{CLAIMS}{digest}")
}
