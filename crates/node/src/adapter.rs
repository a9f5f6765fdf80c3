//! Functions that translate between the node and its platform, selected once at startup.
//!
//! The default implements mintridge's own interface. A deployment on a platform with a different
//! interface provides its own functions, which only translate and make no decisions.

use std::time::Duration;

use hyper::Response;
use mintridge_core::load::Upstream as UpstreamLoad;
use mintridge_core::notice;
use mintridge_core::route::Table;
use mintridge_http::Body;
use mintridge_store::dialect::Dialect;
use mintridge_store::etcd;
use serde::Deserialize;

use crate::announcement::{self, Incoming, Message};

/// Input that does not conform to the interface of the platform.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// The body cannot be parsed.
    #[error("does not parse: {0}")]
    Body(#[from] serde_json::Error),
    /// A document of operators cannot be parsed. The parser's own message is left out, since it may
    /// quote a value, and some values are keys.
    #[error("does not parse at {path}, line {line}, column {column}")]
    Document {
        /// Path of the field.
        path: String,
        /// Line, starting at 1.
        line: usize,
        /// Column, starting at 1.
        column: usize,
    },
    /// The method or path is not one that the node supports.
    #[error("no such call")]
    Call,
}

/// Parses a document of operators that may contain keys of client accounts.
///
/// # Errors
/// If the document does not parse; the error quotes no value of it.
pub fn parse_document<'de, T: Deserialize<'de>>(document: &'de [u8]) -> Result<T, Malformed> {
    let mut source = serde_json::Deserializer::from_slice(document);
    let parsed = serde_path_to_error::deserialize(&mut source).map_err(|error| {
        let path = error.path().to_string();
        malformed_at(path, error.inner())
    })?;
    source
        .end()
        .map_err(|error| malformed_at(String::from("the end"), &error))?;
    Ok(parsed)
}

fn malformed_at(path: String, error: &serde_json::Error) -> Malformed {
    Malformed::Document {
        path,
        line: error.line(),
        column: error.column(),
    }
}

/// Functions that translate between the node and its platform.
#[derive(Clone, Copy, Debug)]
pub struct Adapter {
    /// Protocol of the store.
    pub store: Dialect,
    /// Parses a message that an upstream sends to the node beside it.
    pub parse_message: fn(&Incoming<'_>) -> Result<Message, Malformed>,
    /// Creates the response to an accepted message of the upstream.
    pub acknowledge: fn() -> Response<Body>,
    /// Parses the routing table that operators maintain in the store; the returned table reports
    /// the parts of single routes that cannot be parsed.
    pub routes: fn(&[u8]) -> Result<Table, Malformed>,
    /// Parses the load that an upstream adds to its responses; `None` if it cannot be parsed.
    pub load: fn(&str) -> Option<UpstreamLoad>,
    /// Parses the remaining time for which an upstream stays cold; `None` if it cannot be parsed.
    pub cold: fn(&str) -> Option<Duration>,
    /// Parses the request limit that an upstream names, in requests per second; `None` unless it
    /// is a finite number that is not negative.
    pub request_limit: fn(&str) -> Option<f64>,
    /// Whether the value of the leaving header states that the upstream is leaving.
    pub leaving: fn(&str) -> bool,
}

impl Default for Adapter {
    fn default() -> Self {
        Self {
            store: etcd::DIALECT,
            parse_message: announcement::read,
            acknowledge: announcement::acknowledge,
            routes: |document| parse_document(document),
            load: |value| serde_json::from_str(value).ok(),
            cold: |value| value.parse().ok().map(Duration::from_millis),
            request_limit: notice::parse_rate,
            leaving: |value| value == "1",
        }
    }
}
