//! The operators' command: presets, nodes, settings.

pub mod commands;
pub mod error;
pub mod flags;
pub mod nodes;
pub mod output;
