//! Errors of the command and their exit codes.

use std::net::SocketAddr;
use std::process::ExitCode;

use error_stack::Report;
use mintridge_core::preset::Invalid;
use mintridge_node::settings;
use mintridge_store::presets::ChangeError;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The change of a preset was rejected, or its outcome is unknown.
    #[error(transparent)]
    Preset(#[from] ChangeError),
    /// The store could not be read.
    #[error(transparent)]
    Store(#[from] mintridge_store::client::Error),
    /// A file could not be read or is invalid.
    #[error("{}", .0.current_context())]
    File(Report<settings::Error>),
    /// A value of a preset file is out of range.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// A node did not respond.
    #[error("node at {0} does not respond")]
    NoResponse(SocketAddr),
    /// No node was given.
    #[error("specify at least one node with --node")]
    NoNode,
    /// The change was made, but was not confirmed by every node before the wait ended.
    #[error("in force on {confirmed} of {total} nodes when the wait ended")]
    Unconfirmed {
        /// Number of nodes on which the change is in force.
        confirmed: usize,
        /// Number of nodes queried.
        total: usize,
    },
    /// No line of the logs mentions the request.
    #[error("no log line mentions request {0}")]
    NoSuchRequest(String),
    /// The result cannot be serialized as JSON.
    #[error(transparent)]
    Output(#[from] serde_json::Error),
    /// The runtime cannot be started, or a log file cannot be read.
    #[error("cannot start the runtime or read a file: {0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns the exit code, as documented in the help.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::File(_)
            | Self::Invalid(_)
            | Self::Preset(ChangeError::Invalid(_))
            | Self::NoNode => 2,
            Self::Preset(ChangeError::Conflict(_) | ChangeError::Edited(_)) => 3,
            Self::Preset(ChangeError::Unknown(_)) => 4,
            Self::Unconfirmed { .. } => 5,
            _ => 1,
        })
    }
}
