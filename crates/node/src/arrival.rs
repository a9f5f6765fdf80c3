//! Reading a caller's request: which service, for whom, until when, repeatable or not.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, header};
use mintridge_core::claim::{Claim, Key, Owner};
use mintridge_core::fingerprint;
use mintridge_core::outcome::Reason;
use mintridge_core::route::{Kind, Table};

use crate::configs::callers::Settings;
use crate::headers::Head;

/// Client account of requests that name none.
pub const ANONYMOUS: &str = "anonymous";
/// Longest name of a service or client account, and longest idempotency key, in bytes.
const TEXT_MOST: usize = 256;

/// A caller's request as the entry node works on it.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the node beside the upstream is told.
    pub head: Head,
    /// Upstreams to which it may be handed.
    pub attempts: u32,
}

/// What decides which service takes a request.
#[derive(Clone, Copy, Debug)]
pub enum Routing<'a> {
    /// The request names its service.
    Named {
        /// Upstreams to which a request may be handed.
        attempts: u32,
    },
    /// Operators' routing table.
    Table {
        /// The table.
        table: &'a Table,
        /// Count of the requests of this node, by which splits are dealt.
        count: u64,
    },
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
    /// The caller's own id of the request is missing.
    #[error("the id of the request is missing")]
    RequestId,
    /// The routing table has no route for host and path.
    #[error("no route matches host and path")]
    NoRoute,
    /// The route for host and path could not be read.
    #[error("the route for host and path could not be read from the routing table")]
    ClosedRoute,
}

impl Malformed {
    /// The reason that the caller is told.
    #[must_use]
    pub const fn reason(self) -> Reason {
        match self {
            Self::NoRoute => Reason::NoRoute,
            Self::ClosedRoute => Reason::Unconfigured,
            Self::Service | Self::Timeout | Self::Text | Self::Keys | Self::RequestId => {
                Reason::BadRequest
            }
        }
    }
}

/// The caller's own id of the request, or the number that this node gave it.
///
/// # Errors
/// If the settings ask for an id and there is none.
pub fn request_id(
    settings: &Settings,
    number: &Arc<str>,
    headers: &HeaderMap,
) -> Result<Arc<str>, Malformed> {
    let Some(name) = &settings.request_header else {
        return Ok(Arc::clone(number));
    };
    let id = text(headers, name)?.ok_or(Malformed::RequestId)?;
    Ok(Arc::from(id))
}

/// How the chosen route treats a request.
struct Treatment {
    service: Arc<str>,
    route: Arc<str>,
    repeatable: bool,
    timeout: Duration,
    target: Option<Duration>,
    priority: u8,
    attempts: u32,
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
    routing: Routing<'_>,
) -> Result<Request, Malformed> {
    let treatment = treatment(settings, parts, routing)?;
    let service = treatment.service;
    let client_account =
        text(&parts.headers, &settings.client_account_header)?.unwrap_or(ANONYMOUS);
    let client_account: Arc<str> = Arc::from(client_account);
    let key = key(settings, &parts.headers)?.filter(|_| !parts.method.is_safe());
    let claim = key.map(|key| Claim {
        key: digest(&service, &client_account, key),
        owner: Owner(Arc::clone(&number)),
    });
    let deadline = now + allowed(settings, &parts.headers)?.min(treatment.timeout);
    let target = treatment.target.map_or(deadline, |target| now + target);
    Ok(Request {
        head: Head {
            service,
            client_account,
            deadline,
            request: number,
            repeatable: claim.is_none() && treatment.repeatable,
            claim,
            priority: treatment.priority,
            route: treatment.route,
            target: target.min(deadline),
            only_in_time: false,
            report_to: None,
        },
        attempts: treatment.attempts,
    })
}

fn treatment(
    settings: &Settings,
    parts: &Parts,
    routing: Routing<'_>,
) -> Result<Treatment, Malformed> {
    match routing {
        Routing::Named { attempts } => {
            let service = service(settings, parts)?;
            Ok(Treatment {
                route: Arc::clone(&service),
                service,
                repeatable: is_idempotent(&parts.method),
                timeout: settings.timeout_most,
                target: None,
                priority: 0,
                attempts,
            })
        }
        Routing::Table { table, count } => {
            let host = host(parts).ok_or(Malformed::NoRoute)?;
            let route = table.find(host, parts.uri.path());
            let route = route.ok_or(Malformed::NoRoute)?;
            let service = route.service(count).ok_or(Malformed::ClosedRoute)?;
            Ok(Treatment {
                service: Arc::clone(service),
                route: Arc::clone(&route.name),
                repeatable: route.kind == Kind::Idempotent,
                timeout: route.timeout,
                target: Some(route.target_latency),
                priority: route.priority,
                attempts: route.attempts,
            })
        }
    }
}

/// The host that the request names, without its port.
fn host(parts: &Parts) -> Option<&str> {
    let host = parts.headers.get(header::HOST)?.to_str().ok()?;
    Some(without_port(host))
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Digest of a request without its body, the same for each repeat of it through any node.
///
/// `host` is the one that the caller named. It tells requests apart where it chooses the route;
/// where the caller names a service, it may be no more than the address of the node.
#[must_use]
pub fn fingerprint(
    settings: &crate::settings::Settings,
    head: &Head,
    method: &Method,
    host: &str,
    path: Option<&PathAndQuery>,
) -> u64 {
    let host = if settings.routes.key.is_some() {
        without_port(host)
    } else {
        &head.service
    };
    let path = path.map_or("/", PathAndQuery::as_str);
    fingerprint::head(method.as_str(), host, path, &head.client_account)
}

/// Idempotent methods by RFC 9110, section 9.2.2.
fn is_idempotent(method: &Method) -> bool {
    method.is_safe() || matches!(*method, Method::PUT | Method::DELETE)
}

fn service(settings: &Settings, parts: &Parts) -> Result<Arc<str>, Malformed> {
    if let Some(named) = text(&parts.headers, &settings.service_header)? {
        return Ok(Arc::from(named));
    }
    match host(parts) {
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

/// Keys of different services and client accounts never meet.
fn digest(service: &str, client_account: &str, key: &str) -> Key {
    let mut hasher = blake3::Hasher::new();
    for part in [service, client_account, key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    Key(Arc::from(hasher.finalize().to_hex().as_str()))
}
