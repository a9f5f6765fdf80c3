//! Arguments of `mintridge-node`.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// The node process that runs beside each upstream.
    cmd mintridge-node {
        /// Settings file, JSON with comments.
        required settings: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}
