//! Helpers to build small responses and to read small bodies.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Body;

/// Error when reading a small body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body ended early or exceeds the size limit.
    #[error("body broke off or is larger than {max_bytes} bytes")]
    Incomplete {
        /// Maximum size of the body, in bytes.
        max_bytes: usize,
    },
    /// The body is not the expected JSON.
    #[error("body is not as expected: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Returns a body with the given content.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Returns a plain-text response.
#[must_use]
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a JSON response, or status 500 if the value cannot be serialized.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "unserializable\n");
    };
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Reads a body of up to `max_bytes` bytes as JSON.
///
/// # Errors
/// Returns an error if the body ends early, is too large, or is not the expected JSON.
pub async fn read_json<T, B>(body: B, max_bytes: usize) -> Result<T, BodyError>
where
    T: DeserializeOwned,
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Ok(serde_json::from_slice(&read_all(body, max_bytes).await?)?)
}

/// Reads a body of up to `max_bytes` bytes.
///
/// # Errors
/// Returns an error if the body ends early or is too large.
pub async fn read_all<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|_| BodyError::Incomplete { max_bytes })?;
    Ok(collected.to_bytes())
}

/// Converts a hyper body into gotham's type.
pub fn from_incoming<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Body::new(body.map_err(io::Error::other))
}
