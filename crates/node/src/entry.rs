//! The entry: takes callers' requests, chooses hosts, tries again where that is safe.

mod attempt;
mod candidates;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use mintridge_core::attempts::Attempts;
use mintridge_core::load::Report;
use mintridge_core::outcome::{Outcome, Reason, Refusal};
use mintridge_core::placement::{Ending, Placement};
use mintridge_core::retry::{self, Progress};
use mintridge_http::handler::{Answer, Function};
use mintridge_http::problem::{self, Precision};
use mintridge_http::{Body, reply, server};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::attempt::{Attempt, attempt};
use self::candidates::candidates;
use crate::arrival::{self, Routing};
use crate::body::Held;
use crate::claims::Job;
use crate::context::{Context, View};
use crate::headers;
use crate::link::Links;
use crate::replay::Source;
use crate::request_log::{self, History, RequestLog};
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

/// A request placed on a host; counted there until dropped.
struct Placed {
    entry: Arc<Entry>,
    service: Arc<str>,
    host: Arc<str>,
    ending: Ending,
    /// What was known of its upstream when it was chosen, and since when.
    known: (Report, Instant),
}

impl Placed {
    /// What logs tell of the attempt.
    fn told(
        &self,
        asked_at: Instant,
        forwarding: &Forwarding,
        attempted: &Attempt,
    ) -> request_log::Attempt {
        let (report, reported_at) = self.known;
        request_log::Attempt {
            host: Arc::clone(&self.host),
            report,
            report_age: asked_at.duration_since(reported_at),
            only_in_time: forwarding.request.head.only_in_time,
            outcome: match attempted {
                Attempt::Answered(_) => "answered",
                Attempt::Refused { refusal, .. } => refusal.reason.as_str(),
            },
            asked_at,
            took: asked_at.elapsed(),
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let mut placement = self.entry.placement.lock();
        placement.finish(Instant::now(), &self.service, &self.host, self.ending);
    }
}

/// What all attempts of one request share.
struct Forwarding {
    request: arrival::Request,
    parts: Parts,
    source: Source,
    attempts: Attempts,
    /// Whether the request may hold its claim.
    claimed: bool,
    /// Whether any attempt so far may have run.
    may_have_run: bool,
    /// A failure that an upstream answered, told if no further attempt does better.
    failure: Option<(Response<Incoming>, Placed)>,
}

/// Serves callers until the node closes their listener.
pub async fn run(context: Arc<Context>, listener: TcpListener) {
    let entry = Arc::new(Entry::new(Arc::clone(&context)));
    let view = context.latest.view.subscribe();
    tokio::spawn(follow_view(Arc::clone(&entry), view));
    tokio::spawn(publish_often(Arc::clone(&entry)));
    tokio::spawn(take_reports(Arc::clone(&entry)));
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
        entry.take_view(&current);
        entry.publish();
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn take_reports(entry: Arc<Entry>) {
    reports::receive(&entry.context, |datagram, report| {
        let mut placement = entry.placement.lock();
        placement.reported(Instant::now(), &datagram.service, &datagram.host, report);
    })
    .await;
}

async fn publish_often(entry: Arc<Entry>) {
    loop {
        entry.publish();
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
    let forwarding = Forwarding {
        request: read,
        parts,
        source: Source::new(body, settings.replay_most),
        attempts: Attempts::default(),
        claimed: false,
        may_have_run: false,
        failure: None,
    };
    forward(&entry, forwarding, history).await
}

/// Tries hosts until one answers or no further attempt may be made.
async fn forward(
    entry: &Arc<Entry>,
    mut forwarding: Forwarding,
    history: &mut History,
) -> Response<Body> {
    loop {
        let Some(mut placed) = entry.place(&mut forwarding) else {
            let retry_at = Instant::now() + NO_UPSTREAM_RETRY;
            let none = Refusal::not_run(Reason::NoUpstream, retry_at);
            return entry.give_up(forwarding, none);
        };
        let asked_at = Instant::now();
        let attempted = attempt(entry, &forwarding, &mut placed).await;
        history.attempted(placed.told(asked_at, &forwarding, &attempted));
        match attempted {
            Attempt::Answered(response) => {
                forwarding.attempts.was_handed();
                if !entry.is_failure(&response) {
                    return entry.pass_on(response, placed, &forwarding);
                }
                placed.ending = Ending::Avoid;
                if !entry.may_retry(&forwarding, Progress::MayHaveRun) {
                    return entry.pass_on(response, placed, &forwarding);
                }
                forwarding.may_have_run = true;
                forwarding.failure = Some((response, placed));
            }
            Attempt::Refused {
                refusal,
                progress,
                claimed,
            } => {
                let may_have_run = progress == Progress::MayHaveRun;
                forwarding.claimed |= claimed;
                forwarding.may_have_run |= may_have_run;
                let again = if refusal.spared_upstreams() {
                    entry.may_ask_another(&mut forwarding, &refusal)
                } else {
                    forwarding.attempts.was_handed();
                    let elsewhere = may_have_run || refusal.reason.is_local();
                    elsewhere && entry.may_retry(&forwarding, progress)
                };
                if !again {
                    return entry.give_up(forwarding, refusal);
                }
            }
        }
    }
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

    /// Whether an upstream's answer says that it cannot serve this time.
    ///
    /// One that says when to come back was refused deeper down, or by its own choice: it is
    /// passed on, so that a refusal at depth is not tried again at every level above.
    fn is_failure(&self, response: &Response<Incoming>) -> bool {
        let status = response.status().as_u16();
        let listed = self.context.settings.retry.on_statuses.contains(&status);
        listed && !response.headers().contains_key(RETRY_AFTER)
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
        self.refuse(&Refusal::not_run(error.reason(), now), number)
    }

    /// Whether another host may be asked for a request that no upstream has seen.
    fn may_ask_another(&self, forwarding: &mut Forwarding, refusal: &Refusal) -> bool {
        let settings = &self.context.settings.retry;
        let head = &forwarding.request.head;
        let others = |tried: &[Arc<str>]| self.placement.lock().has_untried(&head.service, tried);
        let attempts = &mut forwarding.attempts;
        attempts.refused(settings, Instant::now(), head.deadline, refusal, others)
    }

    /// Number of a request within the fleet: host, its start, and a count.
    fn number(&self) -> Arc<str> {
        let count = self.next_number.fetch_add(1, Ordering::Relaxed);
        let host = self.context.host();
        let incarnation = self.context.incarnation;
        Arc::from(format!("{host}.{incarnation:x}.{count}"))
    }

    /// Takes the members that offer something.
    fn take_view(&self, view: &View) {
        let own_zone = &self.context.settings.availability_zone;
        let upstreams = candidates(&view.members, own_zone);
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

    /// Chooses a host that was not tried yet, and counts the request there.
    fn place(self: &Arc<Self>, forwarding: &mut Forwarding) -> Option<Placed> {
        let retry = &self.context.settings.retry;
        let service = &forwarding.request.head.service;
        let mut placement = self.placement.lock();
        let host = placement.pick(Instant::now(), service, forwarding.attempts.tried())?;
        let known = placement.known(service, &host)?;
        drop(placement);
        let service = Arc::clone(service);
        forwarding.request.head.report_to = Some(self.context.addresses.peers);
        forwarding.request.head.only_in_time = forwarding.attempts.asks(retry, &host);
        Some(Placed {
            entry: Arc::clone(self),
            service,
            host,
            ending: Ending::Answered,
            known,
        })
    }

    /// Whether another host may be tried; an answer in hand is not given up for none.
    fn may_retry(&self, forwarding: &Forwarding, progress: Progress) -> bool {
        let request = &forwarding.request;
        let service = &request.head.service;
        if !self
            .placement
            .lock()
            .has_untried(service, forwarding.attempts.tried())
        {
            return false;
        }
        if forwarding.attempts.handed() >= request.attempts {
            return false;
        }
        let deadline = request.head.deadline;
        let allowed = self.with_budget(&request.head.service, |budget| {
            budget.may_retry(
                Instant::now(),
                deadline,
                forwarding.attempts.handed(),
                progress,
                request.head.repeatable,
            )
        });
        if allowed {
            self.context.metrics.retry();
        }
        allowed
    }

    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut retry::Budget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        let budget = budgets.entry(Arc::clone(service)).or_insert_with(|| {
            let share = self.context.in_force().preset.retry_share;
            retry::Budget::new(self.context.settings.retry.clone(), share)
        });
        act(budget)
    }

    /// Passes the upstream's answer on, as it comes.
    fn pass_on(
        &self,
        response: Response<Incoming>,
        placed: Placed,
        forwarding: &Forwarding,
    ) -> Response<Body> {
        if placed.ending == Ending::Answered {
            self.with_budget(&forwarding.request.head.service, retry::Budget::earn);
        }
        let (mut parts, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        let idle = self.context.settings.callers.body_idle;
        let body = Held::new(reply::from_incoming(body), placed, idle);
        Response::from_parts(parts, Body::new(body))
    }

    /// Tells the caller of a refusal; a claim that was made for nothing is given back.
    ///
    /// Only a request that was certainly refused by every host it went to gives its
    /// claim back: no host will hand it over any more.
    ///
    /// Failure: a repeatable request runs on one host, breaks, and is refused by the
    /// next. Symptom: its caller is told of the last refusal alone, "not run", which is
    /// false. What any attempt may have done decides.
    fn give_up(&self, mut forwarding: Forwarding, refusal: Refusal) -> Response<Body> {
        if let Some((response, placed)) = forwarding.failure.take() {
            return self.pass_on(response, placed, &forwarding);
        }
        let head = &forwarding.request.head;
        let refusal = if forwarding.may_have_run {
            Refusal::unknown(refusal.reason, refusal.retry_at)
        } else {
            refusal
        };
        if let Some(claim) = &head.claim
            && forwarding.claimed
            && refusal.outcome == Outcome::NotRun
        {
            let job = Job::Release(claim.clone());
            if self.context.rings.claims.try_send(job).is_err() {
                self.context.metrics.ring_full("claims");
            }
        }
        self.refuse(&refusal, &head.request)
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
            .view()
            .map(|(upstream, report, outstanding)| Seen {
                host: Arc::clone(&upstream.host),
                service: Arc::clone(&upstream.service),
                report: *report,
                outstanding,
            })
            .collect()
    }
}
