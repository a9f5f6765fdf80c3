//! Subcommands of `mintridge`, one module per group.

pub mod explain;
pub mod node;
pub mod preset;
pub mod settings;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::error::Error;
use crate::flags::{Mintridge, MintridgeCmd};

/// Default port of the store, that of the etcd client API.
const DEFAULT_STORE_PORT: u16 = 2379;
/// Default timeout of one call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Options common to all commands.
#[derive(Clone, Debug)]
pub struct Context {
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of the nodes' operator endpoints.
    pub nodes: Vec<SocketAddr>,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Name shown to other operators.
    pub by: String,
    /// Whether to print JSON.
    pub json: bool,
}

/// Runs the command given by the arguments.
///
/// # Errors
/// If it fails; see [`Error::exit_code`].
pub async fn run(arguments: Mintridge) -> Result<(), Error> {
    let default_store = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), DEFAULT_STORE_PORT);
    let user = || std::env::var("USER").unwrap_or_else(|_| String::from("unnamed"));
    let context = Context {
        store: arguments.store.unwrap_or(default_store),
        nodes: arguments.node,
        timeout: arguments
            .timeout_ms
            .map_or(DEFAULT_TIMEOUT, Duration::from_millis),
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
