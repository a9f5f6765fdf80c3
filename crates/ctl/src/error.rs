//! Failures of the command, each with its exit code.

use std::net::SocketAddr;
use std::process::ExitCode;

use error_stack::Report;
use mintridge_core::preset::Invalid;
use mintridge_node::settings;
use mintridge_store::presets::Refused;

/// Why a command did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The change of a preset was refused, or its effect is not known.
    #[error(transparent)]
    Preset(#[from] Refused),
    /// The store could not be read.
    #[error(transparent)]
    Store(#[from] mintridge_store::client::Error),
    /// A file was not taken.
    #[error("{}", .0.current_context())]
    File(Report<settings::Error>),
    /// A value of a preset file is out of range.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// A node did not answer.
    #[error("node at {0} does not answer")]
    Node(SocketAddr),
    /// No node was named.
    #[error("name a node with --node")]
    NoNode,
    /// The change was made and is not yet seen in force everywhere.
    #[error("in force on {seen} of {asked} nodes when the wait ended")]
    NotSeen {
        /// Nodes that show it.
        seen: usize,
        /// Nodes asked.
        asked: usize,
    },
    /// No line of the logs tells of the request.
    #[error("no line tells of request {0}")]
    NoSuchRequest(String),
    /// The result cannot be written as JSON.
    #[error(transparent)]
    Output(#[from] serde_json::Error),
    /// The runtime cannot be started, or a log file not be read.
    #[error("cannot start or read: {0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// The exit code, as documented in the help.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::File(_) | Self::Invalid(_) | Self::Preset(Refused::Invalid(_)) | Self::NoNode => {
                2
            }
            Self::Preset(Refused::Conflict(_) | Refused::Edited(_)) => 3,
            Self::Preset(Refused::Unknown(_)) => 4,
            Self::NotSeen { .. } => 5,
            _ => 1,
        })
    }
}
