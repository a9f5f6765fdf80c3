//! Stand-ins for the systems around mintridge: the platform's store, an upstream, and a network
//! between two processes with injectable faults. For tests and measurements only.

pub mod announcer;
pub mod cost;
pub mod process;
pub mod relay;
pub mod scene;
pub mod soak;
pub mod store;
pub mod supervisor;
pub mod tables;
pub mod upstream;
