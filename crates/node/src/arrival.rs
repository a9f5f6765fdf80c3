//! Reading a caller's request: which service, for whom, until when, repeatable or not.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::{Method, header};
use mintridge_core::claim::{Claim, Key, Mark};

use crate::configs::callers::Settings;
use crate::headers::Head;

/// Customer of requests that name none.
const ANONYMOUS: &str = "anonymous";
/// Longest name of a service or customer, and longest idempotency key, in bytes.
const TEXT_MOST: usize = 256;

/// A caller's request as the entry node works on it.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the node beside the upstream is told.
    pub head: Head,
    /// Whether running it twice does no harm: its method is idempotent, and its caller
    /// did not ask for at most one run by sending a key.
    pub repeatable: bool,
}

/// Why a request cannot be worked on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// Neither the header nor the host names a service.
    #[error("no service is named")]
    Service,
    /// The time allowed is not a whole number of milliseconds.
    #[error("the time allowed is not a whole number of milliseconds")]
    Timeout,
    /// A name or key is empty, too long or not text.
    #[error("a name or key is empty, longer than 256 bytes or not text")]
    Text,
    /// Two different idempotency keys were sent.
    #[error("more than one idempotency key was sent")]
    Keys,
}

/// Reads the request; `number` identifies it within the fleet.
///
/// # Errors
/// If a header is missing or malformed.
pub fn read(
    settings: &Settings,
    now: Instant,
    number: Arc<str>,
    parts: &Parts,
) -> Result<Request, Malformed> {
    let service = service(settings, parts)?;
    let customer = text(&parts.headers, &settings.customer_header)?.unwrap_or(ANONYMOUS);
    let customer: Arc<str> = Arc::from(customer);
    let key = key(settings, &parts.headers)?.filter(|_| !parts.method.is_safe());
    let repeatable = key.is_none() && is_idempotent(&parts.method);
    let claim = key.map(|key| Claim {
        key: digest(&service, &customer, key),
        mark: Mark(Arc::clone(&number)),
    });
    Ok(Request {
        head: Head {
            service,
            customer,
            deadline: now + allowed(settings, &parts.headers)?,
            request: number,
            claim,
        },
        repeatable,
    })
}

/// Idempotent methods by RFC 9110, section 9.2.2.
fn is_idempotent(method: &Method) -> bool {
    method.is_safe() || matches!(*method, Method::PUT | Method::DELETE)
}

fn service(settings: &Settings, parts: &Parts) -> Result<Arc<str>, Malformed> {
    if let Some(named) = text(&parts.headers, &settings.service_header)? {
        return Ok(Arc::from(named));
    }
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .map(|host| host.rsplit_once(':').map_or(host, |(name, _)| name));
    match host {
        Some(host) if !host.is_empty() && host.len() <= TEXT_MOST => Ok(Arc::from(host)),
        _ => Err(Malformed::Service),
    }
}

fn allowed(settings: &Settings, headers: &HeaderMap) -> Result<Duration, Malformed> {
    let Some(written) = text(headers, &settings.timeout_header)? else {
        return Ok(settings.timeout_default);
    };
    let millis = written.parse().map_err(|_| Malformed::Timeout)?;
    Ok(Duration::from_millis(millis).min(settings.timeout_most))
}

/// The idempotency key. Two different ones on one request are refused: whichever was
/// claimed, a repeat with the other would run again.
fn key<'a>(settings: &Settings, headers: &'a HeaderMap) -> Result<Option<&'a str>, Malformed> {
    let mut keys = headers.get_all(settings.key_header.as_str()).iter();
    let first = keys.next();
    if keys.any(|other| Some(other) != first) {
        return Err(Malformed::Keys);
    }
    text(headers, &settings.key_header)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Malformed> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Malformed::Text)?;
    if text.is_empty() || text.len() > TEXT_MOST {
        return Err(Malformed::Text);
    }
    Ok(Some(text))
}

/// Keys of different services and customers never meet.
fn digest(service: &str, customer: &str, key: &str) -> Key {
    let mut hasher = blake3::Hasher::new();
    for part in [service, customer, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    Key(Arc::from(hasher.finalize().to_hex().as_str()))
}
