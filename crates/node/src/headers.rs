//! Headers between nodes, and those that are never passed on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use mintridge_core::claim::{Claim, Key, Owner};
use mintridge_core::load::Report;

/// Prefix of all headers of mintridge; from outside they are dropped.
const PREFIX: &str = "mintridge-";
/// Service asked for.
const SERVICE: HeaderName = HeaderName::from_static("mintridge-to-service");
/// Client account on whose behalf the request runs.
const CLIENT_ACCOUNT: HeaderName = HeaderName::from_static("mintridge-for-client-account");
/// Time left until the deadline, in microseconds: clocks differ, what is left does not.
const LEFT: HeaderName = HeaderName::from_static("mintridge-left-us");
/// Number of the request, given by the entry node.
const REQUEST: HeaderName = HeaderName::from_static("mintridge-request");
/// Rank of the request; 0 is the most urgent.
const PRIORITY: HeaderName = HeaderName::from_static("mintridge-priority");
/// Name of the request's route; requests of one route do the same work.
const ROUTE: HeaderName = HeaderName::from_static("mintridge-route");
/// Time left until the answer is worth less to the caller, in microseconds.
const TARGET: HeaderName = HeaderName::from_static("mintridge-target-us");
/// Address at which the entry node takes load reports.
const REPORT_TO: HeaderName = HeaderName::from_static("mintridge-report-to");
/// Present on a request that is to be refused if it would miss its target here.
const ONLY_IN_TIME: HeaderName = HeaderName::from_static("mintridge-only-in-time");
/// Present on a request that may run more than once.
const REPEATABLE: HeaderName = HeaderName::from_static("mintridge-repeatable");
/// Digest of service, client account and idempotency key, if a claim is needed.
const CLAIM: HeaderName = HeaderName::from_static("mintridge-claim");
/// Load of the upstream that answered, a [`Report`].
const LOAD: HeaderName = HeaderName::from_static("mintridge-load");
/// Present on a refusal whose request may hold its claim.
const CLAIMED: HeaderName = HeaderName::from_static("mintridge-claimed");

/// Fields that belong to one connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What the entry node tells the node beside the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Service asked for.
    pub service: Arc<str>,
    /// Client account on whose behalf the request runs.
    pub client_account: Arc<str>,
    /// The answer is worth nothing after this instant.
    pub deadline: Instant,
    /// Number of the request, given by the entry node.
    pub request: Arc<str>,
    /// The claim that must be granted before the request is handed over.
    pub claim: Option<Claim>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Requests of one route do the same work.
    pub route: Arc<str>,
    /// The answer is worth less after this instant.
    pub target: Instant,
    /// Whether running it twice does no harm: its route or method is idempotent, and its
    /// caller did not ask for at most one run by sending a key.
    pub repeatable: bool,
    /// Whether to refuse it if it would miss its target, because another host may not.
    pub only_in_time: bool,
    /// Where the entry node takes load reports.
    pub report_to: Option<SocketAddr>,
}

/// A header between nodes is missing or malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {name} is missing or malformed")]
pub struct Malformed {
    /// The header.
    pub name: HeaderName,
}

/// Writes the head into the headers of a request to a peer.
pub fn write(now: Instant, head: &Head, headers: &mut HeaderMap) {
    let left = head.deadline.saturating_duration_since(now);
    insert(headers, SERVICE, &head.service);
    insert(headers, CLIENT_ACCOUNT, &head.client_account);
    insert(headers, LEFT, &left.as_micros().to_string());
    insert(headers, REQUEST, &head.request);
    if let Some(claim) = &head.claim {
        insert(headers, CLAIM, &claim.key.0);
    }
    insert(headers, PRIORITY, &head.priority.to_string());
    insert(headers, ROUTE, &head.route);
    let target = head.target.saturating_duration_since(now);
    insert(headers, TARGET, &target.as_micros().to_string());
    if let Some(address) = head.report_to {
        insert(headers, REPORT_TO, &address.to_string());
    }
    if head.only_in_time {
        headers.insert(ONLY_IN_TIME, HeaderValue::from_static("yes"));
    }
    if head.repeatable {
        headers.insert(REPEATABLE, HeaderValue::from_static("yes"));
    }
}

/// Names a request of which a peer is asked.
pub fn write_number(number: &str, headers: &mut HeaderMap) {
    insert(headers, REQUEST, number);
}

/// Number of the request of which a peer asks.
#[must_use]
pub fn number(headers: &HeaderMap) -> Option<&str> {
    text(headers, REQUEST)
}

/// Reads the head from the headers of a request of a peer.
///
/// # Errors
/// If a header is missing or malformed.
pub fn read(now: Instant, headers: &HeaderMap) -> Result<Head, Malformed> {
    let request: Arc<str> = Arc::from(required(headers, REQUEST)?);
    let deadline = instant(now, headers, LEFT)?;
    let claim = text(headers, CLAIM).map(|key| Claim {
        key: Key(Arc::from(key)),
        owner: Owner(Arc::clone(&request)),
    });
    Ok(Head {
        service: Arc::from(required(headers, SERVICE)?),
        client_account: Arc::from(required(headers, CLIENT_ACCOUNT)?),
        deadline,
        request,
        claim,
        priority: required(headers, PRIORITY)?
            .parse()
            .map_err(|_| Malformed { name: PRIORITY })?,
        route: Arc::from(required(headers, ROUTE)?),
        target: instant(now, headers, TARGET)?,
        repeatable: headers.contains_key(REPEATABLE),
        only_in_time: headers.contains_key(ONLY_IN_TIME),
        report_to: text(headers, REPORT_TO).and_then(|address| address.parse().ok()),
    })
}

/// The instant that lies so many microseconds ahead.
fn instant(now: Instant, headers: &HeaderMap, name: HeaderName) -> Result<Instant, Malformed> {
    let micros = required(headers, name.clone())?
        .parse()
        .map_err(|_| Malformed { name: name.clone() })?;
    now.checked_add(Duration::from_micros(micros))
        .ok_or(Malformed { name })
}

/// Attaches a load report to a response to a peer.
pub fn write_load(report: &Report, headers: &mut HeaderMap) {
    insert(headers, LOAD, &report.to_string());
}

/// Takes the load report off a response of a peer.
#[must_use]
pub fn take_load(headers: &mut HeaderMap) -> Option<Report> {
    let written = headers.remove(LOAD)?;
    written.to_str().ok()?.parse().ok()
}

/// Marks a refusal whose request may hold its claim.
pub fn write_claimed(headers: &mut HeaderMap) {
    headers.insert(CLAIMED, HeaderValue::from_static("yes"));
}

/// Takes that mark off.
#[must_use]
pub fn take_claimed(headers: &mut HeaderMap) -> bool {
    headers.remove(CLAIMED).is_some()
}

/// Drops what belongs to one connection, the fields that `Connection` names included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Drops every header of mintridge.
///
/// Failure: an upstream passes on the refusal of a deeper call with its headers.
/// Symptom: the entry node takes the answer for a refusal as not run and sends an
/// unrepeatable request that ran to a second host. Only the node that received the
/// response adds these headers, so none can come from further away.
pub fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Sets a header whose name comes from the settings; one that is no name is left out.
pub fn set(headers: &mut HeaderMap, name: &str, value: &str) {
    if let Ok(name) = HeaderName::try_from(name) {
        insert(headers, name, value);
    }
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::try_from(value) {
        headers.insert(name, value);
    }
}

fn required(headers: &HeaderMap, name: HeaderName) -> Result<&str, Malformed> {
    text(headers, name.clone()).ok_or(Malformed { name })
}

fn text(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}
