//! Client of the platform's key-value store, limited to the operations that mintridge uses.
//!
//! [`wire`] contains the message types of the published etcd v3 JSON API, [`client`] the calls,
//! [`keys`] the keys under which mintridge stores its data, and [`presets`] the operations on
//! presets, which the operators' command writes and nodes read.

pub mod client;
pub mod dialect;
pub mod epoch;
pub mod etcd;
pub mod keys;
pub mod operation;
pub mod presets;
pub mod wire;
