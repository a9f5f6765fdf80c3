//! Settings of the core modules; each `Default` implementation defines the defaults.
//!
//! Durations are written with their unit, such as `"500ms"` or `"3s"`.

pub mod account;
pub mod admission;
pub mod bootstrap;
pub mod claim;
pub mod failover;
pub mod gate;
pub mod health;
pub mod membership;
pub mod placement;
pub mod probe;
pub mod quarantine;
pub mod retry;
pub mod stop;
pub mod warm_up;
