//! Small responses and the reading of small bodies.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Body;

/// Why a small JSON body was not taken.
#[derive(Debug, thiserror::Error)]
pub enum BadBody {
    /// It broke off or exceeds the limit.
    #[error("body broke off or is larger than {most} bytes")]
    Unread {
        /// Largest body taken, in bytes.
        most: usize,
    },
    /// It is not the JSON expected.
    #[error("body is not as expected: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A body of these bytes.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// A body of nothing.
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A plain-text response.
#[must_use]
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

/// A JSON response; a value that cannot be written gives status 500.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let Ok(written) = serde_json::to_vec(value) else {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "unserializable\n");
    };
    let mut response = Response::new(full(written));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Reads a body of at most `most` bytes as JSON.
///
/// # Errors
/// If the body breaks off, is too large, or is not the JSON expected.
pub async fn read_json<T, B>(body: B, most: usize) -> Result<T, BadBody>
where
    T: DeserializeOwned,
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Ok(serde_json::from_slice(&read_all(body, most).await?)?)
}

/// Reads a body of at most `most` bytes.
///
/// # Errors
/// If the body breaks off or is too large.
pub async fn read_all<B>(body: B, most: usize) -> Result<Bytes, BadBody>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, most)
        .collect()
        .await
        .map_err(|_| BadBody::Unread { most })?;
    Ok(collected.to_bytes())
}

/// Turns a body of hyper's client into gotham's.
pub fn from_incoming<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Body::new(body.map_err(io::Error::other))
}
