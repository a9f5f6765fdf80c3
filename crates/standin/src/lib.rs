//! Stand-ins for what mintridge meets: the platform's store, an upstream, and a
//! network between two processes that can be cut. For tests and trials only.

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
