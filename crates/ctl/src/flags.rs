//! Command-line arguments of `mintridge`.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Manages presets, nodes and settings of mintridge.
    ///
    /// Exit codes: 0 success; 1 failure, nothing was changed; 2 invalid arguments, file or
    /// value; 3 another operator changed it first; 4 unknown whether the change took
    /// effect; 5 changed, but not confirmed in force on every node in time.
    cmd mintridge {
        /// Address of the store, 127.0.0.1:2379 by default.
        optional --store address: SocketAddr
        /// Address of a node's operator endpoint; the other nodes are discovered through it.
        repeated --node address: SocketAddr
        /// Timeout of one call in milliseconds, 1000 by default.
        optional --timeout-ms millis: u64
        /// Name shown to other operators; by default the environment variable USER.
        optional --by name: String
        /// Print JSON instead of tables.
        optional --json

        /// Manage presets.
        cmd preset {
            /// Check a preset file without changing anything.
            cmd validate {
                /// Preset file, JSON with comments.
                required file: PathBuf
            }
            /// Write a preset; if it is in force, its new contents take effect at once.
            cmd put {
                /// Name of the preset.
                required name: String
                /// Preset file, JSON with comments.
                required file: PathBuf
                /// Write only if the preset still has this store revision, as printed by `show`.
                optional --expect revision: i64
            }
            /// List the presets.
            cmd list {}
            /// Show a preset.
            cmd show {
                /// Name of the preset.
                required name: String
            }
            /// Show the differences between two presets.
            cmd diff {
                /// Name of the first preset.
                required from: String
                /// Name of the second preset.
                required to: String
            }
            /// Put a preset in force.
            cmd use {
                /// Name of the preset.
                required name: String
                /// Wait up to this many seconds until it is in force on all nodes found by --node.
                optional --wait seconds: f64
            }
            /// Delete a preset that is not in force.
            cmd delete {
                /// Name of the preset.
                required name: String
            }
            /// Show the preset in force and who put it in force.
            cmd in-force {}
        }
        /// Inspect nodes.
        cmd node {
            /// Show the state that each node reports of itself and of the other nodes.
            cmd status {}
        }
        /// Show what happened to one request, from the logs of several nodes.
        cmd explain {
            /// Id of the request, as sent by the caller or as given in the refusal.
            required request: String
            /// Log files of nodes.
            repeated file: PathBuf
        }
        /// Work with nodes' settings files.
        cmd settings {
            /// Check a settings file.
            cmd check {
                /// Settings file, JSON with comments.
                required file: PathBuf
            }
            /// Print all settings with their defaults.
            cmd defaults {}
        }
    }
}
