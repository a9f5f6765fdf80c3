//! Keys under which mintridge stores its data.

/// Key of the preset in force, an [`mintridge_core::preset::InForce`].
pub const IN_FORCE: &str = "mintridge/in-force";
/// Prefix of the presets by name, each a [`mintridge_core::preset::Preset`].
pub const PRESETS: &str = "mintridge/presets/";
/// Prefix of the seeds, the nodes through which a new node finds the fleet; each a
/// [`mintridge_core::membership::Record`] attached to a lease.
pub const SEEDS: &str = "mintridge/seeds/";
/// Key of the quarantine: the requests during which upstreams crashed, all in one value.
pub const QUARANTINE: &str = "mintridge/held";
/// Prefix of the claimed idempotency keys, each with the id of the request that owns the claim as
/// the value, and attached to a lease.
pub const CLAIMS: &str = "mintridge/claims/";

/// Returns the key of one preset.
#[must_use]
pub fn preset(name: &str) -> String {
    format!("{PRESETS}{name}")
}

/// Returns the key of one node's seed entry.
#[must_use]
pub fn seed(host: &str) -> String {
    format!("{SEEDS}{host}")
}

/// Returns the key of one claim.
#[must_use]
pub fn claim(digest: &str) -> String {
    format!("{CLAIMS}{digest}")
}
