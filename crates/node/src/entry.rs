//! The entry: receives callers' requests, chooses a host for each, and retries where that is safe.

mod attempt;
mod authorization;
mod candidates;
mod deferred;
mod forward;
mod placed;
mod retrying;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::body::Body as _;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use mintridge_core::fingerprint::{self, Fingerprint};
use mintridge_core::load::Report;
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::placement::Placement;
use mintridge_core::screen::Verdict;
use mintridge_core::{notice, quarantine, retry};
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::problem::{self, Precision};
use mintridge_http::{Body, server};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::attempt::Outgoing;
use self::candidates::candidates;
use self::forward::forward;
use crate::accounts::Permit;
use crate::arrival::{self, Routing};
use crate::context::{Context, View};
use crate::headers::Head;
use crate::link::Links;
use crate::replay::Source;
use crate::request_log::{History, RequestLog, millis};
use crate::{headers, reports, traces};

/// Retry delay sent to a caller when no host offers its service.
const NO_UPSTREAM_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay sent to a caller whose route may be in a newer routing table. Within this time
/// another node of the zone begins to read the store, or the store answers again.
const UNVERIFIED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the operators' view of the upstreams is refreshed and idle links are closed.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by all requests of the entry.
pub struct Entry {
    context: Arc<Context>,
    placement: Mutex<Placement>,
    budgets: Mutex<HashMap<Arc<str>, retry::Budget>>,
    retrying: retrying::Services,
    peers: Mutex<HashMap<Arc<str>, SocketAddr>>,
    notices: Mutex<notice::Register>,
    links: Links,
    next_number: AtomicU64,
    log: Arc<RequestLog>,
}

/// An upstream as this entry knows it, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Host that the upstream runs on.
    pub host: Arc<str>,
    /// Service that the upstream offers.
    pub service: Arc<str>,
    /// Last load report received.
    pub report: Report,
    /// Requests of this node in flight to the upstream.
    pub outstanding: u32,
}

/// Serves callers until the node closes their listener.
pub async fn run(context: Arc<Context>, listener: TcpListener) {
    let entry = Arc::new(Entry::new(Arc::clone(&context)));
    let view = context.latest.view.subscribe();
    tokio::spawn(follow_view(Arc::clone(&entry), view));
    tokio::spawn(follow_settings(Arc::clone(&entry)));
    tokio::spawn(publish_periodically(Arc::clone(&entry)));
    tokio::spawn(receive_reports(Arc::clone(&entry)));
    let limits = server::Limits {
        connections: context.settings.callers.connections_most,
        header_timeout: context.settings.callers.header_within,
        ..server::Limits::default()
    };
    let handler = Function::new(entry, |entry, request| -> ResponseFuture {
        Box::pin(answer(entry, request))
    });
    let pipelined = context.settings.callers.pipelined_most;
    let phase = context.callers_phase();
    let ended = server::serve(
        listener,
        handler,
        server::Protocol::Pipelined(pipelined),
        limits,
        phase,
    )
    .await;
    if ended.aborted_connections > 0 {
        log::warn!(
            connections = ended.aborted_connections;
            "shutdown interrupted callers' requests"
        );
    }
}

/// Applies each view of the members, beginning with the current one.
///
/// Failure: a view that is published between the first read and the subscription is never applied.
/// Symptom: a node with few peers knows no upstream until the next change, which may never come.
/// The single subscription is made before the first read, so no view is missed.
async fn follow_view(entry: Arc<Entry>, mut view: watch::Receiver<Arc<View>>) {
    loop {
        let current = Arc::clone(&view.borrow_and_update());
        entry.apply_view(&current);
        entry.publish();
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Applies each newly accepted version of the settings file.
async fn follow_settings(entry: Arc<Entry>) {
    let mut settings = entry.context.latest.settings.subscribe();
    while settings.changed().await.is_ok() {
        let current = Arc::clone(&settings.borrow_and_update());
        entry
            .placement
            .lock()
            .set_settings(current.placement.clone());
        entry.log.set_settings(&current.logs);
        for budget in entry.budgets.lock().values_mut() {
            budget.set_settings(current.retry.clone());
        }
    }
}

async fn receive_reports(entry: Arc<Entry>) {
    reports::receive(&entry.context, |datagram, report| {
        let mut placement = entry.placement.lock();
        placement.record_report(Instant::now(), &datagram.service, &datagram.host, report);
    })
    .await;
}

/// Publishes the upstreams for operators, and closes idle links.
async fn publish_periodically(entry: Arc<Entry>) {
    loop {
        entry.publish();
        let open = entry.links.close_idle(Instant::now());
        entry.context.metrics.links(open);
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}

async fn answer(entry: Arc<Entry>, request: Request<Body>) -> Response<Body> {
    let now = Instant::now();
    let request_id = entry.create_request_id();
    let span = traces::root("entry", &entry.context, request.headers());
    let mut history = History::new(&entry.log, now, &request_id);
    let serving = serve(Arc::clone(&entry), now, request_id, request, &mut history);
    let response = traces::in_span(span, serving).await;
    entry
        .context
        .metrics
        .record_response(now.elapsed(), &response);
    let refusal = problem::read(now, response.headers());
    history.finish(
        response.status(),
        refusal.map(|refusal| refusal.reason.as_str()),
    );
    response
}

async fn serve(
    entry: Arc<Entry>,
    now: Instant,
    request_id: Arc<str>,
    request: Request<Body>,
    history: &mut History,
) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let settings = &entry.context.settings.callers;
    let request_id = match arrival::request_id(settings, &request_id, &parts.headers) {
        Ok(id) => id,
        Err(error) => return entry.refuse_malformed(now, error, &request_id, &parts, 0),
    };
    history.set_request_id(&request_id);
    // The routing table must be loaded after this call.
    let may_use_keys = entry.context.may_use_keys(now);
    let routes = entry.context.latest.routes.borrow().clone();
    let version = routes
        .as_ref()
        .map_or(0, |document| document.table.version.0);
    history.set_routes_version(version);
    let routing = match &routes {
        Some(document) => Routing::Table {
            table: &document.table,
            count: entry.next_number.load(Ordering::Relaxed),
        },
        None if entry.context.settings.routes.key.is_some() => {
            let refusal = Refusal::not_run(Reason::Unconfigured, now + NO_UPSTREAM_RETRY_DELAY);
            return entry.refuse(&refusal, &request_id);
        }
        None => Routing::ByService {
            attempts: entry.context.settings.retry.attempts,
        },
    };
    let resolution = match arrival::resolve(settings, &parts, routing) {
        Ok(resolution) => resolution,
        Err(error) => return entry.refuse_malformed(now, error, &request_id, &parts, version),
    };
    let caller = match entry.authorize(now, &request_id, &resolution, &parts.headers, may_use_keys)
    {
        Ok(caller) => caller,
        Err(refusal) => return entry.refuse(&refusal, &request_id),
    };
    let has_accounts = resolution.accounts.is_some();
    let has_key = parts.headers.contains_key(AUTHORIZATION);
    if has_accounts {
        headers::strip_credentials(&settings.client_account_header, &mut parts.headers);
    }
    let id = Arc::clone(&request_id);
    let mut parsed = match arrival::read(settings, now, id, &parts, resolution, &caller) {
        Ok(parsed) => parsed,
        Err(error) => return entry.refuse_malformed(now, error, &request_id, &parts, version),
    };
    parsed.limit_deadline(entry.context.stop());
    if !has_key {
        entry.recognize_call(now, &mut parsed, has_accounts);
    }
    history.record_routing(&parsed.head);
    let fingerprint = entry.fingerprint(&parsed.head, &parts, &body);
    history.set_fingerprint(fingerprint.head);
    let trial_host = match entry.screen(now, &parsed.head.service, fingerprint) {
        Ok(trial_host) => trial_host,
        Err(refusal) => return entry.refuse(&refusal, &parsed.head.request_id),
    };
    let permit = match entry.acquire_permit(&parsed.head.client_account).await {
        Ok(permit) => permit,
        Err(refusal) => return entry.refuse(&refusal, &parsed.head.request_id),
    };
    let outgoing = Outgoing {
        permit,
        request: parsed,
        parts,
        source: Source::new(body, settings.replay_most),
        trial_host,
    };
    forward(&entry, outgoing, history).await
}

impl Entry {
    fn new(context: Arc<Context>) -> Self {
        let settings = &context.settings;
        let seed = context.incarnation ^ u64::from(context.addresses.callers.port());
        Self {
            placement: Mutex::new(Placement::new(settings.placement.clone(), seed)),
            budgets: Mutex::default(),
            retrying: Mutex::default(),
            peers: Mutex::default(),
            notices: Mutex::default(),
            links: Links::new(settings.link.clone()),
            next_number: AtomicU64::new(1),
            log: Arc::new(RequestLog::new(&settings.logs)),
            context,
        }
    }

    /// Finds the request in progress at this node's upstream whose call an arriving request is. With
    /// client accounts the call takes the rank of its parent if that is more urgent: the parent's run
    /// is wasted without it. Requests with a key are no calls of an upstream.
    fn recognize_call(&self, now: Instant, request: &mut arrival::Request, has_accounts: bool) {
        let Some(deadline) = request.stated_deadline else {
            return;
        };
        request.parent = self.context.calls.lock().record_call(now, deadline);
        if let Some(parent) = &request.parent {
            self.context.metrics.call();
            if has_accounts {
                request.head.priority = request.head.priority.min(parent.rank);
            }
        }
    }

    /// Refuses a request that is malformed, or that names no known route or no service.
    ///
    /// Failure: this node misses a change of the routing table. Symptom: requests on a route that
    /// was added are told that there is none, which callers do not retry. A table that the store has
    /// not confirmed recently therefore gives them a time to come back.
    fn refuse_malformed(
        &self,
        now: Instant,
        error: arrival::Malformed,
        request_id: &str,
        parts: &Parts,
        routes_version: u64,
    ) -> Response<Body> {
        self.context.metrics.bad_input("caller-request");
        let verified_at = *self.context.latest.verified.borrow();
        if self.log.try_acquire(1) {
            let host = parts.headers.get(HOST);
            log::info!(
                request = request_id,
                error:% = error,
                host_asked = host.and_then(|host| host.to_str().ok()).unwrap_or(""),
                path = parts.uri.path(),
                routes_version = routes_version,
                verified_ms = millis(now.saturating_duration_since(verified_at));
                "request not taken"
            );
        }
        let (reason, retry_at) = match error {
            arrival::Malformed::NoRoute if !self.context.is_table_verified(now) => {
                (Reason::Unverified, now + UNVERIFIED_RETRY_DELAY)
            }
            arrival::Malformed::InvalidRoute => (error.reason(), now + NO_UPSTREAM_RETRY_DELAY),
            _ => (error.reason(), now),
        };
        self.refuse(&Refusal::not_run(reason, retry_at), request_id)
    }

    /// Returns the fingerprint that repeats of a caller's request share. It does not wait for
    /// the body: one that has not arrived yet leaves the fingerprint without a body digest.
    fn fingerprint(&self, head: &Head, parts: &Parts, body: &Body) -> Fingerprint {
        let host = attempt::host(parts);
        let path = parts.uri.path_and_query();
        let settings = &self.context.settings;
        Fingerprint {
            head: arrival::fingerprint(settings, head, &parts.method, host, path),
            body: fingerprint::Body::new(body.is_end_stream().then_some(0)).digest(),
        }
    }

    /// Refuses a quarantined request before it uses any more resources. If a trial is due, returns
    /// the only host that may run it.
    fn screen(
        &self,
        now: Instant,
        service: &str,
        fingerprint: Fingerprint,
    ) -> Result<Option<Arc<str>>, Refusal> {
        match self.context.screen().check(now, fingerprint) {
            // The node beside the upstream reads the body and decides.
            Verdict::Pass | Verdict::NeedsBody => Ok(None),
            Verdict::Quarantined(until) => Err(Refusal::not_run(Reason::Quarantined, until)),
            Verdict::Trial => {
                let placement = self.placement.lock();
                let host = quarantine::trial_host(fingerprint, placement.hosts(service));
                Ok(host.cloned())
            }
        }
    }

    /// Returns a permit for a request of this client account, or `None` if the account has no limit
    /// or this node limits none.
    async fn acquire_permit(&self, account: &str) -> Result<Option<Permit>, Refusal> {
        match &self.context.limiter {
            Some(limiter) => limiter.acquire(account).await,
            None => Ok(None),
        }
    }

    /// Replaces a permit that earlier attempts have used up.
    async fn renew_permit(&self, outgoing: &mut Outgoing) -> Result<(), Refusal> {
        if outgoing.permit.as_ref().is_some_and(Permit::is_used_up) {
            let account = &outgoing.request.head.client_account;
            outgoing.permit = self.acquire_permit(account).await?;
        }
        Ok(())
    }

    /// Returns a request ID that is unique in the fleet: host, incarnation and a counter.
    fn create_request_id(&self) -> Arc<str> {
        let count = self.next_number.fetch_add(1, Ordering::Relaxed);
        let host = self.context.host();
        let incarnation = self.context.incarnation;
        Arc::from(format!("{host}.{incarnation:x}.{count}"))
    }

    /// Updates candidates, peer addresses, links and retry budgets from a view of the members.
    fn apply_view(&self, view: &View) {
        let own_zone = &self.context.settings.availability_zone;
        let upstreams = candidates(view, own_zone);
        let addresses: HashMap<Arc<str>, SocketAddr> = view
            .members
            .iter()
            .map(|record| (Arc::clone(&record.host), record.peer_address))
            .collect();
        self.links
            .retain(|address| addresses.values().any(|peer| peer == address));
        self.notices
            .lock()
            .prune(Instant::now(), |host| addresses.contains_key(host));
        *self.peers.lock() = addresses;
        self.placement.lock().update(Instant::now(), &upstreams);
        let share = view.in_force.preset.retry_share;
        for budget in self.budgets.lock().values_mut() {
            budget.set_share(share);
        }
    }

    fn refuse(&self, refusal: &Refusal, request_id: &str) -> Response<Body> {
        self.context.metrics.refusal(refusal);
        let host = self.context.host();
        let fractions = self.context.settings.callers.retry_after_fractions;
        let precision = if fractions {
            Precision::Millis
        } else {
            Precision::Seconds
        };
        problem::response(Instant::now(), refusal, host, request_id, precision)
    }

    /// Publishes the upstreams known to this entry, for operators.
    fn publish(&self) {
        self.context
            .latest
            .upstreams
            .send_replace(self.upstream_views());
    }

    fn upstream_views(&self) -> Vec<UpstreamView> {
        let placement = self.placement.lock();
        placement
            .candidates()
            .map(|(upstream, report, outstanding)| UpstreamView {
                host: Arc::clone(&upstream.host),
                service: Arc::clone(&upstream.service),
                report: *report,
                outstanding,
            })
            .collect()
    }
}
