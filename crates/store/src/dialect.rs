//! HTTP dialect of one kind of store: a set of plain functions that is chosen at startup.

use hyper::{Method, StatusCode};

use crate::client::Error;
use crate::operation::{Operation, Reply};

/// An HTTP request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The JSON body; empty for none.
    pub body: Vec<u8>,
}

/// HTTP response of the store, as far as it has been received.
#[derive(Clone, Copy, Debug)]
pub struct HttpResponse<'a> {
    /// HTTP status.
    pub status: StatusCode,
    /// Bytes of the body received so far.
    pub body: &'a [u8],
    /// Whether the body is complete.
    pub complete: bool,
}

/// Functions that translate operations to HTTP requests, and HTTP responses to replies.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Builds the HTTP request for an operation.
    pub call: fn(&Operation) -> Result<Call, Error>,
    /// Parses a response; returns `None` while more of it is needed.
    pub reply: fn(&Operation, HttpResponse<'_>) -> Result<Option<Reply>, Error>,
    /// Whether the store keeps a watch open after the requested wait has passed without a change,
    /// so that the client has to end it.
    pub endless_watch: bool,
}
