//! Settings of each module of the core; `Default` documents the defaults.
//!
//! Durations are written with their unit, as in `"500ms"` or `"3s"`.

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
pub mod warm_up;
