//! The platform's key-value store, as far as mintridge uses it.
//!
//! [`wire`] holds the shapes of the published etcd v3 JSON API, [`client`] the calls,
//! [`keys`] the names under which mintridge keeps things, and [`presets`] the changes
//! of presets, which the operators' command makes and nodes read.

pub mod client;
pub mod dialect;
pub mod epoch;
pub mod etcd;
pub mod keys;
pub mod operation;
pub mod presets;
pub mod wire;
