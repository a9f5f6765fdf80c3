//! Settings of each module of the node; the `Default` implementations define the defaults.

pub mod callers;
pub mod claims;
pub mod control;
pub mod guard;
pub mod link;
pub mod listeners;
pub mod logs;
pub mod routes;
pub mod store;
pub mod traces;
pub mod upstream;
