//! The commands, one module for each group.

pub mod explain;
pub mod node;
pub mod preset;
pub mod settings;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::error::Error;
use crate::flags::{Mintridge, MintridgeCmd};

/// Port of the etcd client API.
const STORE_PORT: u16 = 2379;
const TIMEOUT: Duration = Duration::from_secs(1);

/// What every command is given.
#[derive(Clone, Debug)]
pub struct Context {
    /// Address of the store.
    pub store: SocketAddr,
    /// Operators' addresses of nodes.
    pub nodes: Vec<SocketAddr>,
    /// Time for one call.
    pub timeout: Duration,
    /// Name shown to other operators.
    pub by: String,
    /// Print JSON.
    pub json: bool,
}

/// Runs the command that the arguments name.
///
/// # Errors
/// If it fails; see [`Error::exit_code`].
pub async fn run(arguments: Mintridge) -> Result<(), Error> {
    let store = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), STORE_PORT);
    let user = || std::env::var("USER").unwrap_or_else(|_| String::from("unnamed"));
    let context = Context {
        store: arguments.store.unwrap_or(store),
        nodes: arguments.node,
        timeout: arguments.timeout_ms.map_or(TIMEOUT, Duration::from_millis),
        by: arguments.by.unwrap_or_else(user),
        json: arguments.json,
    };
    match arguments.subcommand {
        MintridgeCmd::Preset(preset) => preset::run(&context, preset).await,
        MintridgeCmd::Node(_) => node::status(&context).await,
        MintridgeCmd::Explain(explain) => explain::run(&context, &explain.request, &explain.file),
        MintridgeCmd::Settings(settings) => settings::run(&context, settings),
    }
}
