//! How one kind of store is spoken to over HTTP: plain functions, chosen at the start.

use hyper::{Method, StatusCode};

use crate::client::Error;
use crate::operation::{Operation, Reply};

/// An HTTP request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The JSON body; empty for none.
    pub body: Vec<u8>,
}

/// What the store has answered so far.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// Its status.
    pub status: StatusCode,
    /// The bytes of its body that have arrived.
    pub body: &'a [u8],
    /// Whether the body is complete.
    pub complete: bool,
}

/// The functions that write calls and read answers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Writes a call.
    pub call: fn(&Operation) -> Result<Call, Error>,
    /// Reads an answer; `None` while more of it must arrive.
    pub reply: fn(&Operation, Answer<'_>) -> Result<Option<Reply>, Error>,
    /// Whether a watch without a change stays open beyond the wait asked for, so that the
    /// client has to end it.
    pub endless_watch: bool,
}
