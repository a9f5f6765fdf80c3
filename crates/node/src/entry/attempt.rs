//! One attempt: sends the request to one host and classifies the response.

use std::future::pending;
use std::sync::Arc;
use std::time::Instant;

use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::placement::Ending;
use mintridge_core::retry::{self, Progress};
use mintridge_http::{Body, problem};

use super::Entry;
use super::deferred::{self, Deferred, Gate};
use super::placed::Placed;
use crate::accounts::Permit;
use crate::context::Context;
use crate::replay::Source;
use crate::{arrival, headers, link, traces};

/// A request as all of its attempts send it.
pub struct Outgoing {
    /// The parsed request.
    pub request: arrival::Request,
    /// Request head as the caller sent it.
    pub parts: Parts,
    /// Source of the request body, which each attempt replays.
    pub source: Source,
    /// Permit of the request's client account, if the account's rate is limited.
    pub permit: Option<Permit>,
    /// The only host that may run the request, as a trial; all others quarantine it.
    pub trial_host: Option<Arc<str>>,
}

/// How one attempt ended.
pub enum Attempt {
    /// The head of the upstream's response has arrived.
    Answered(Response<Incoming>),
    /// The attempt was refused by the node beside the upstream, or failed at this node.
    Refused {
        refusal: Refusal,
        progress: Progress,
        /// Whether the request may hold a claim on its idempotency key.
        claimed: bool,
    },
}

impl Attempt {
    /// Returns the outcome as it is written to the log.
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused { refusal, .. } => refusal.reason.as_str(),
        }
    }

    /// Returns the status of the upstream's response, if there is one.
    pub fn upstream_status(&self) -> Option<StatusCode> {
        match self {
            Self::Answered(response) => Some(response.status()),
            Self::Refused { .. } => None,
        }
    }
}

/// Sends the request to one host and waits for the head of the response.
pub async fn attempt(outgoing: &Outgoing, placed: &mut Placed) -> Attempt {
    let entry = Arc::clone(&placed.entry);
    let now = Instant::now();
    let head = &outgoing.request.head;
    let address = entry.peers.lock().get(&placed.host).copied();
    let gate = outgoing
        .source
        .may_exceed(deferred::INITIAL_BYTES)
        .then(|| Arc::new(Gate::default()));
    let request = outgoing.source.replay().and_then(|body| {
        let body = match &gate {
            Some(gate) => Body::new(Deferred::new(body, Arc::clone(gate))),
            None => Body::new(body),
        };
        let head = headers::Head {
            only_in_time: placed.only_in_time,
            run_by: outgoing.permit.as_ref().and_then(Permit::run_by),
            report_to: Some(entry.context.addresses.peers),
            known: placed.known.clone(),
            ..head.clone()
        };
        build(&entry.context, now, &head, &outgoing.parts, body)
    });
    let (Some(address), Some(request)) = (address, request) else {
        placed.ending = Ending::Avoid;
        return never_sent(now, Reason::NoUpstream);
    };
    let until = head.deadline + entry.context.settings.callers.grace;
    let sending = entry.links.send(address, request, until);
    let opening = async {
        match &gate {
            Some(gate) => {
                deferred::open_with_slot(&entry, address, &head.request_id, until, gate).await
            }
            None => pending().await,
        }
    };
    // Refusals that are due by then may still be in transit.
    let stopping = async {
        entry.context.last_answer_due().await;
        tokio::time::sleep(entry.context.settings.callers.grace).await;
    };
    let response = tokio::select! {
        biased;
        response = sending => response,
        never = opening => match never {},
        () = stopping => return may_have_run(Instant::now(), Reason::Leaving),
    };
    let now = Instant::now();
    match response {
        Ok(response) => {
            let attempted = classify_response(&entry, now, placed, response);
            // An upstream may respond before it has read the whole body, so the rest of the
            // body is still sent.
            if let (Some(gate), Attempt::Answered(_)) = (&gate, &attempted) {
                gate.open();
            }
            attempted
        }
        Err(link::Error::NeverSent) => {
            placed.ending = Ending::Avoid;
            never_sent(now, Reason::Unreachable)
        }
        Err(link::Error::NoLinkInTime) => {
            placed.ending = Ending::Avoid;
            never_sent(now, Reason::Deadline)
        }
        Err(link::Error::Broken) => {
            // The host is avoided only if no new link opens in the time left for an answer.
            let reconnecting = entry.links.can_connect(address);
            let reached = tokio::time::timeout_at(until.into(), reconnecting).await;
            if reached != Ok(true) {
                placed.ending = Ending::Avoid;
            }
            may_have_run(now, Reason::LinkLost)
        }
        Err(link::Error::Unanswered) => {
            placed.ending = Ending::Avoid;
            may_have_run(now, Reason::Deadline)
        }
    }
}

fn build(
    context: &Context,
    now: Instant,
    head: &headers::Head,
    parts: &Parts,
    body: Body,
) -> Option<Request<Body>> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = peer_uri(parts)?;
    let fields = request.headers_mut();
    fields.clone_from(&parts.headers);
    headers::strip_hop_by_hop(fields);
    headers::strip_own(fields);
    let callers = &context.settings.callers;
    if let Some(name) = &callers.origin_header {
        headers::set(fields, name, &callers.origin);
    }
    headers::write(now, head, fields);
    traces::inject(fields);
    Some(request)
}

/// Returns the value of the caller's `Host` header, or a placeholder if there is none.
pub fn host(parts: &Parts) -> &str {
    let host = parts.headers.get(hyper::header::HOST);
    host.and_then(|host| host.to_str().ok())
        .unwrap_or("upstream")
}

/// Builds the URI for the peer. HTTP/2 requires a scheme and an authority; the authority is the
/// caller's `Host`.
fn peer_uri(parts: &Parts) -> Option<Uri> {
    let host = host(parts);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Uri::builder()
        .scheme("http")
        .authority(host)
        .path_and_query(path)
        .build()
        .ok()
}

/// Distinguishes a refusal of the node beside the upstream from the upstream's response, and
/// records the load report that comes with either.
fn classify_response(
    entry: &Entry,
    now: Instant,
    placed: &mut Placed,
    mut response: Response<Incoming>,
) -> Attempt {
    let fields = response.headers_mut();
    let refusal = problem::read(now, fields);
    let claimed = headers::take_claimed(fields);
    let serves_others = headers::take_serves_others(fields);
    let known = headers::take_known(fields);
    entry
        .notices
        .lock()
        .record(&placed.host, placed.started_at, now, known);
    if let Some(report) = headers::take_load(fields) {
        let mut placement = entry.placement.lock();
        placement.record_report(now, &placed.service, &placed.host, report);
    }
    let Some(refusal) = refusal else {
        return Attempt::Answered(response);
    };
    // `Duplicate` and `Quarantined` concern the request and say nothing about the host, and
    // `DependencyFailing` concerns the services that its run calls. Unlike
    // `Avoid`, `Full` does not make placement avoid the host.
    placed.ending = match refusal.reason {
        Reason::Busy
        | Reason::Late
        | Reason::Deadline
        | Reason::Duplicate
        | Reason::Shed
        | Reason::DependencyFailing
        | Reason::Quarantined => Ending::Full,
        Reason::Leaving if serves_others => Ending::Full,
        _ => Ending::Avoid,
    };
    Attempt::Refused {
        refusal,
        progress: retry::progress_of(&refusal),
        claimed,
    }
}

const fn never_sent(now: Instant, reason: Reason) -> Attempt {
    Attempt::Refused {
        refusal: Refusal::not_run(reason, now),
        progress: Progress::NeverSent,
        claimed: false,
    }
}

const fn may_have_run(now: Instant, reason: Reason) -> Attempt {
    Attempt::Refused {
        refusal: Refusal::unknown(reason, now),
        progress: Progress::MayHaveRun,
        claimed: false,
    }
}
