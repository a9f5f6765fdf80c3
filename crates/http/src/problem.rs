//! HTTP representation of refusals: problem details (RFC 9457) and headers.

use std::time::{Duration, Instant};

use hyper::header::{
    CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::{Response, StatusCode};
use mintridge_core::outcome::{Outcome, Reason, Refusal};
use serde::{Deserialize, Serialize};

use crate::{Body, reply};

/// Header with the [`Outcome`], present on every refusal and on no response of an upstream.
pub const OUTCOME: HeaderName = HeaderName::from_static("mintridge-outcome");
/// Header with the [`Reason`], present on every refusal.
pub const REASON: HeaderName = HeaderName::from_static("mintridge-reason");
/// Header that names the proxy that refused the request and the type of error (RFC 9209).
pub const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");

/// Problem details in the body of a refusal.
#[derive(Debug, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type, a URI reference.
    #[serde(rename = "type")]
    pub kind: String,
    /// Human-readable summary of the problem type.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request may have had an effect.
    pub outcome: Outcome,
    /// Why the request was refused.
    pub reason: Reason,
    /// The host whose node refused the request.
    pub host: String,
    /// Id of the request, as in the log lines.
    pub request: String,
}

/// Precision of the `Retry-After` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precision {
    /// Whole seconds, as HTTP specifies, rounded up so that callers don't retry too early.
    Seconds,
    /// Seconds with three decimals, for nodes and for callers known to support it.
    Millis,
}

/// Returns the response to a refused request.
#[must_use]
pub fn response(
    now: Instant,
    refusal: &Refusal,
    host: &str,
    request: &str,
    precision: Precision,
) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let problem = Problem {
        kind: format!("urn:mintridge:refusal:{}", refusal.reason.as_str()),
        title: title(refusal.outcome).to_owned(),
        status: status.as_u16(),
        outcome: refusal.outcome,
        reason: refusal.reason,
        host: host.to_owned(),
        request: request.to_owned(),
    };
    let mut response = reply::json(status, &problem);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/problem+json");
    headers.insert(CONTENT_TYPE, content_type);
    headers.insert(OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
    headers.insert(REASON, HeaderValue::from_static(refusal.reason.as_str()));
    let proxy_status = format!("mintridge; error={}", proxy_error(refusal.reason));
    if let Ok(proxy_status) = HeaderValue::try_from(proxy_status) {
        headers.insert(PROXY_STATUS, proxy_status);
    }
    if refusal.reason == Reason::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    let delay = refusal.retry_at.saturating_duration_since(now);
    headers.insert(RETRY_AFTER, retry_after(delay, precision));
    response
}

/// Parses a refusal from the headers of a response; `None` if the response is not a refusal.
#[must_use]
pub fn read(now: Instant, headers: &HeaderMap) -> Option<Refusal> {
    let outcome = match headers.get(OUTCOME)?.to_str().ok()? {
        "not-run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let reason = headers
        .get(REASON)
        .and_then(|value| value.to_str().ok())
        .and_then(Reason::parse)
        .unwrap_or(Reason::LinkLost);
    let retry_at = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .map_or(now, |delay| now + delay);
    Some(Refusal {
        outcome,
        reason,
        retry_at,
    })
}

const fn title(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "The request was not run",
        Outcome::Unknown => "The request may have run",
    }
}

/// Returns the registered `Proxy-Status` error type (RFC 9209) that is closest to the reason.
const fn proxy_error(reason: Reason) -> &'static str {
    match reason {
        Reason::Busy | Reason::Late => "connection_limit_reached",
        Reason::Deadline => "connection_timeout",
        Reason::Unreachable => "connection_refused",
        Reason::LinkLost => "connection_terminated",
        Reason::ForeignAnswer | Reason::RunFailed => "http_protocol_error",
        Reason::BadRequest => "http_request_error",
        Reason::NoUpstream | Reason::NoRoute => "destination_not_found",
        Reason::Duplicate | Reason::Quarantined | Reason::Unauthorized | Reason::RateLimited => {
            "http_request_denied"
        }
        Reason::Leaving
        | Reason::Evacuated
        | Reason::Doubtful
        | Reason::Unannounced
        | Reason::Shed
        | Reason::Misdirected
        | Reason::Unconfigured
        | Reason::Unverified
        | Reason::DependencyFailing
        | Reason::Stale
        | Reason::StoreUnavailable => "destination_unavailable",
    }
}

fn retry_after(delay: Duration, precision: Precision) -> HeaderValue {
    match precision {
        Precision::Seconds => {
            let rounded = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
            HeaderValue::from(rounded.max(1))
        }
        Precision::Millis => {
            let text = format!("{:.3}", delay.as_secs_f64());
            HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1"))
        }
    }
}
