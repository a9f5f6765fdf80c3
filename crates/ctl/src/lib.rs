//! Operators' command-line tool for presets, nodes and settings.

pub mod commands;
pub mod error;
pub mod flags;
pub mod nodes;
pub mod output;
