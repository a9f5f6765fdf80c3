//! The entry: takes callers' requests, chooses hosts, tries again where that is safe.

mod attempt;
mod candidates;
mod deferred;
mod forward;
mod placed;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::body::Body as _;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use mintridge_core::fingerprint::{self, Fingerprint};
use mintridge_core::load::Report;
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::placement::Placement;
use mintridge_core::screen::Verdict;
use mintridge_core::{quarantine, retry};
use mintridge_http::handler::{Answer, Function};
use mintridge_http::problem::{self, Precision};
use mintridge_http::{Body, server};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::attempt::Sent;
use self::candidates::candidates;
use self::forward::forward;
use crate::arrival::{self, Routing};
use crate::context::{Context, View};
use crate::headers::Head;
use crate::link::Links;
use crate::replay::Source;
use crate::request_log::{History, RequestLog};
use crate::{reports, traces};

/// When a caller is told to come back if no host offers its service.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);
/// How often operators' view of the upstreams is renewed.
const PUBLISH_EVERY: Duration = Duration::from_millis(500);

/// Everything the entry's requests share.
pub struct Entry {
    context: Arc<Context>,
    placement: Mutex<Placement>,
    budgets: Mutex<HashMap<Arc<str>, retry::Budget>>,
    peers: Mutex<HashMap<Arc<str>, SocketAddr>>,
    links: Links,
    next_number: AtomicU64,
    log: Arc<RequestLog>,
}

/// One upstream as this entry sees it, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Seen {
    /// The host.
    pub host: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The last report that arrived.
    pub report: Report,
    /// Requests of this node that are on their way there or back.
    pub outstanding: u32,
}

/// Serves callers until the node closes their listener.
pub async fn run(context: Arc<Context>, listener: TcpListener) {
    let entry = Arc::new(Entry::new(Arc::clone(&context)));
    let view = context.latest.view.subscribe();
    tokio::spawn(follow_view(Arc::clone(&entry), view));
    tokio::spawn(follow_settings(Arc::clone(&entry)));
    tokio::spawn(publish_often(Arc::clone(&entry)));
    tokio::spawn(receive_reports(Arc::clone(&entry)));
    let limits = server::Limits {
        connections: context.settings.callers.connections_most,
        header_within: context.settings.callers.header_within,
        ..server::Limits::default()
    };
    let handler = Function::new(entry, |entry, request| -> Answer {
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
    if ended.cut > 0 {
        log::warn!(connections = ended.cut; "callers' requests were cut by the stop");
    }
}

/// Takes each view of the members, the present one first.
///
/// Failure: a view that comes between a first reading and the subscription is never taken.
/// Symptom: a node with few peers knows of no upstream until the next change, which may be
/// never. One subscription, made before anything is read, misses none.
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

/// Takes each settings file that was accepted.
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

async fn publish_often(entry: Arc<Entry>) {
    loop {
        entry.publish();
        let open = entry.links.close_idle(Instant::now());
        entry.context.metrics.links(open);
        tokio::time::sleep(PUBLISH_EVERY).await;
    }
}

async fn answer(entry: Arc<Entry>, request: Request<Body>) -> Response<Body> {
    let now = Instant::now();
    let number = entry.number();
    let span = traces::root("entry", &entry.context, request.headers());
    let mut history = History::new(&entry.log, now, &number);
    let served = serve(Arc::clone(&entry), now, number, request, &mut history);
    let response = traces::within(span, served).await;
    entry.context.metrics.answered(now.elapsed(), &response);
    let refusal = problem::read(now, response.headers());
    history.answered(
        response.status(),
        refusal.map(|refusal| refusal.reason.as_str()),
    );
    response
}

async fn serve(
    entry: Arc<Entry>,
    now: Instant,
    number: Arc<str>,
    request: Request<Body>,
    history: &mut History,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let settings = &entry.context.settings.callers;
    let number = match arrival::request_id(settings, &number, &parts.headers) {
        Ok(id) => id,
        Err(error) => return entry.refuse_malformed(now, error, &number, &parts, 0),
    };
    history.identified(&number);
    let routes = entry.context.latest.routes.borrow().clone();
    let version = routes.as_ref().map_or(0, |known| known.table.version.0);
    history.read_by(version);
    let routing = match &routes {
        Some(document) => Routing::Table {
            table: &document.table,
            count: entry.next_number.load(Ordering::Relaxed),
        },
        None if entry.context.settings.routes.key.is_some() => {
            let refusal = Refusal::not_run(Reason::Unconfigured, now + NO_UPSTREAM_RETRY);
            return entry.refuse(&refusal, &number);
        }
        None => Routing::Named {
            attempts: entry.context.settings.retry.attempts,
        },
    };
    let read = match arrival::read(settings, now, Arc::clone(&number), &parts, routing) {
        Ok(read) => read,
        Err(error) => return entry.refuse_malformed(now, error, &number, &parts, version),
    };
    history.routed(&read.head.service, read.head.deadline);
    let fingerprint = entry.fingerprint(&read.head, &parts, &body);
    history.repeats(fingerprint.head);
    let only_on = match entry.screen(now, &read.head.service, fingerprint) {
        Ok(only_on) => only_on,
        Err(refusal) => return entry.refuse(&refusal, &read.head.request),
    };
    let sent = Sent {
        request: read,
        parts,
        source: Source::new(body, settings.replay_most),
        only_on,
    };
    forward(&entry, sent, history).await
}

impl Entry {
    fn new(context: Arc<Context>) -> Self {
        let settings = &context.settings;
        let seed = context.incarnation ^ u64::from(context.addresses.callers.port());
        Self {
            placement: Mutex::new(Placement::new(settings.placement.clone(), seed)),
            budgets: Mutex::default(),
            peers: Mutex::default(),
            links: Links::new(settings.link.clone()),
            next_number: AtomicU64::new(1),
            log: Arc::new(RequestLog::new(&settings.logs)),
            context,
        }
    }

    /// Refuses what cannot be read as a request of a known route, or of a named service.
    fn refuse_malformed(
        &self,
        now: Instant,
        error: arrival::Malformed,
        number: &str,
        parts: &Parts,
        routes_version: u64,
    ) -> Response<Body> {
        self.context.metrics.bad_input("caller-request");
        if self.log.admits(1) {
            let host = parts.headers.get(HOST);
            log::info!(
                request = number,
                error:% = error,
                host_asked = host.and_then(|host| host.to_str().ok()).unwrap_or(""),
                path = parts.uri.path(),
                routes_version = routes_version;
                "request not taken"
            );
        }
        let retry_at = match error {
            arrival::Malformed::ClosedRoute => now + NO_UPSTREAM_RETRY,
            _ => now,
        };
        self.refuse(&Refusal::not_run(error.reason(), retry_at), number)
    }

    /// What repeats of a caller's request share; a body that is still to come is not waited for.
    fn fingerprint(&self, head: &Head, parts: &Parts, body: &Body) -> Fingerprint {
        let host = attempt::host(parts);
        let path = parts.uri.path_and_query();
        let settings = &self.context.settings;
        Fingerprint {
            head: arrival::fingerprint(settings, head, &parts.method, host, path),
            body: fingerprint::Body::new(body.is_end_stream().then_some(0)).digest(),
        }
    }

    /// Refuses a request that is held back, before it costs anybody more; the host that may try
    /// it, if a trial is due.
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

    /// Number of a request within the fleet: host, its start, and a count.
    fn number(&self) -> Arc<str> {
        let count = self.next_number.fetch_add(1, Ordering::Relaxed);
        let host = self.context.host();
        let incarnation = self.context.incarnation;
        Arc::from(format!("{host}.{incarnation:x}.{count}"))
    }

    /// Takes the members that offer something.
    fn apply_view(&self, view: &View) {
        let own_zone = &self.context.settings.availability_zone;
        let upstreams = candidates(view, own_zone);
        let addresses: HashMap<Arc<str>, SocketAddr> = view
            .members
            .iter()
            .map(|record| (Arc::clone(&record.host), record.peer_address))
            .collect();
        self.links
            .keep(|address| addresses.values().any(|known| known == address));
        *self.peers.lock() = addresses;
        self.placement.lock().update(Instant::now(), &upstreams);
        let share = view.in_force.preset.retry_share;
        for budget in self.budgets.lock().values_mut() {
            budget.set_share(share);
        }
    }

    fn refuse(&self, refusal: &Refusal, number: &str) -> Response<Body> {
        self.context.metrics.refusal(refusal);
        let host = self.context.host();
        let fractions = self.context.settings.callers.retry_after_fractions;
        let precision = if fractions {
            Precision::Millis
        } else {
            Precision::Seconds
        };
        problem::response(Instant::now(), refusal, host, number, precision)
    }

    /// Shows operators what this entry knows of the upstreams.
    fn publish(&self) {
        self.context.latest.seen.send_replace(self.seen());
    }

    fn seen(&self) -> Vec<Seen> {
        let placement = self.placement.lock();
        placement
            .candidates()
            .map(|(upstream, report, outstanding)| Seen {
                host: Arc::clone(&upstream.host),
                service: Arc::clone(&upstream.service),
                report: *report,
                outstanding,
            })
            .collect()
    }
}
