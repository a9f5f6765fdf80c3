//! `mintridge-node`: the node process that runs beside each upstream.

use std::process::ExitCode;

use mintridge_node::adapter::Adapter;
use mintridge_node::program;

fn main() -> ExitCode {
    program::run(Adapter::default())
}
