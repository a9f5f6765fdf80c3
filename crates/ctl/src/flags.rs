//! Arguments of `mintridge`.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operates mintridge: presets, nodes, settings.
    ///
    /// Exit codes: 0 done; 1 failed, and nothing was changed; 2 wrong arguments, file or
    /// value; 3 somebody else changed it first; 4 not known whether the change took
    /// effect; 5 changed, but not seen in force on every node in time.
    cmd mintridge {
        /// Address of the store, 127.0.0.1:2379 by default.
        optional --store address: SocketAddr
        /// Operators' address of a node; the others are found through it.
        repeated --node address: SocketAddr
        /// Milliseconds for one call, 1000 by default.
        optional --timeout-ms millis: u64
        /// Name shown to other operators; the environment's USER by default.
        optional --by name: String
        /// Print JSON for scripts instead of tables for people.
        optional --json

        /// Work on presets.
        cmd preset {
            /// Check a preset file without changing anything.
            cmd validate {
                /// Preset file, JSON with comments.
                required file: PathBuf
            }
            /// Write a preset; if it is in force, its new contents are in force at once.
            cmd put {
                /// Name of the preset.
                required name: String
                /// Preset file, JSON with comments.
                required file: PathBuf
                /// Only if nobody changed it since this store revision, as `show` told.
                optional --expect revision: i64
            }
            /// List the presets.
            cmd list {}
            /// Show a preset.
            cmd show {
                /// Name of the preset.
                required name: String
            }
            /// Show what differs between two presets.
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
                /// Wait so many seconds until every node found through --node shows it.
                optional --wait seconds: f64
            }
            /// Delete a preset that is not in force.
            cmd delete {
                /// Name of the preset.
                required name: String
            }
            /// Show the preset in force, and who put it in force.
            cmd in-force {}
        }
        /// Work on nodes.
        cmd node {
            /// Show what each node says of itself and the others.
            cmd status {}
        }
        /// Tell the story of one request from the logs of several nodes.
        cmd explain {
            /// Id of the request, as the caller sent it or as its refusal names it.
            required request: String
            /// Log files of nodes.
            repeated file: PathBuf
        }
        /// Work on settings files of nodes.
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
