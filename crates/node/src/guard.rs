//! The guard: every request to the upstream passes through it, so the node measures the upstream's
//! load by counting instead of polling.

mod dependencies;
mod discovery;
mod follow;
mod hand_over;
mod notices;
mod pace;
mod probing;
mod reporting;
mod runs;
mod screening;
mod slot;
mod unplaced;
mod warm_up;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use hyper::body::Body as _;
use hyper::{Request, Response, StatusCode};
use mintridge_core::admission::{Action, Admission};
use mintridge_core::answered::Answered;
use mintridge_core::claim::{Claim, Verdict as ClaimVerdict};
use mintridge_core::dependency;
use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::gate::Gate;
use mintridge_core::health::Health;
use mintridge_core::instance;
use mintridge_core::load::{Report, Upstream as UpstreamLoad};
use mintridge_core::membership;
use mintridge_core::notice::Known;
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_core::probe;
use mintridge_core::request::Id;
use mintridge_core::request_limit::RequestLimit;
use mintridge_core::warm_up::WarmUp;
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::problem::{self, Precision};
use mintridge_http::{Body, reply, server};
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot};

use self::hand_over::hand_over;
use self::reporting::Reporting;
use self::runs::Runs;
use self::slot::admit;
use self::unplaced::Unplaced;
use crate::announcement::{Announcement, Message};
use crate::claims::Job;
use crate::context::{Context, GuardState, View};
use crate::headers::{self, Head};
use crate::link::{CHECK_PATH, SLOT_PATH};
use crate::request_log::{RequestLog, limit_text};
use crate::settings::Settings;
use crate::traces;
use crate::upstream::Upstream;

/// HTTP/2 receive window in bytes. Peers send only the beginning of a body until the request has a
/// slot; with this window the rest then arrives in few round trips.
const BODY_WINDOW: u32 = 256 * 1024;

/// State shared by all requests of the guard.
struct Guard {
    context: Arc<Context>,
    state: Mutex<State>,
    /// Wakes the task that refuses queued requests which can no longer finish in time.
    queued: Notify,
    reporting: Reporting,
    pace: pace::Pace,
    /// Wakes the task that polls the upstream while requests wait for the end of a slow phase.
    slow_phase_wait: Notify,
    /// Wakes the task that polls the upstream for its remaining cold time.
    warm_up_due: Notify,
    unplaced: Unplaced,
    /// Wakes the task that checks an upstream that names a request limit.
    limit_named: Notify,
    /// Wakes the task that discovers the upstream's instance.
    discovery_due: Notify,
    upstream: Upstream,
    log: RequestLog,
}

struct State {
    admission: Admission,
    gate: Gate,
    health: Health,
    /// Budget for probes of a doubtful upstream: a share of the time of one slot.
    probe_budget: probe::Budget,
    /// Budget for pace polls, which ask the upstream for its host's current speed: the same share
    /// of the time of all other slots, so that both budgets together stay within that share of the
    /// upstream.
    pace_budget: probe::Budget,
    announcement: Option<Announcement>,
    /// Announcements of incarnations that the upstream has not confirmed.
    held: Vec<Announcement>,
    instance: instance::Register,
    /// Whether the current instance stated in a health check that it is leaving.
    leaving_checked: bool,
    /// Whether to ask the upstream if it is still leaving.
    leaving_recheck: bool,
    /// Statements of the current incarnation that another node heard before this process.
    adopted: Option<Known>,
    waiters: HashMap<Id, oneshot::Sender<Result<(), Refusal>>>,
    next_id: u64,
    runs: Runs,
    /// Quarantined requests whose trial is in progress.
    trials: HashSet<Fingerprint>,
    /// Counts how often the upstream answered each request.
    answered: Answered,
    /// Recent runs by route, and which of them failed with their calls.
    dependencies: dependency::Register,
}

/// Serves peers until the node closes their listener.
pub async fn run(
    context: Arc<Context>,
    listener: TcpListener,
    announcements: mpsc::Receiver<Message>,
) {
    let guard = Arc::new(Guard::new(Arc::clone(&context)));
    follow::start(&guard, announcements);
    tokio::spawn(probing::run(Arc::clone(&guard)));
    tokio::spawn(reporting::run(Arc::clone(&guard)));
    tokio::spawn(discovery::run(Arc::clone(&guard)));
    tokio::spawn(pace::poll_in_slow_phase(Arc::clone(&guard)));
    tokio::spawn(warm_up::run(Arc::clone(&guard)));
    tokio::spawn(warm_up::follow_rate(Arc::clone(&guard)));
    tokio::spawn(notices::check_limit(Arc::clone(&guard)));
    let handler = Function::new(guard, |guard, request| -> ResponseFuture {
        Box::pin(handle(guard, request))
    });
    let limits = server::Limits {
        window: BODY_WINDOW,
        ..server::Limits::default()
    };
    let phase = context.peers_phase();
    let ended = server::serve(listener, handler, server::Protocol::Http2, limits, phase).await;
    if ended.aborted_connections > 0 {
        log::warn!(
            connections = ended.aborted_connections;
            "shutdown closed connections with peers' requests in progress"
        );
    }
}

async fn handle(guard: Arc<Guard>, request: Request<Body>) -> Response<Body> {
    if request.uri().path() == CHECK_PATH {
        return reply::text(StatusCode::OK, "here\n");
    }
    if request.uri().path() == SLOT_PATH {
        let request_id = headers::request_id(request.headers()).unwrap_or("");
        guard.unplaced.wait_for_decision(request_id).await;
        return reply::text(StatusCode::OK, "it has a slot or was refused\n");
    }
    let now = Instant::now();
    let head = match headers::read(now, request.headers()) {
        Ok(head) => head,
        Err(error) => {
            guard.context.metrics.bad_input("peer-request");
            log::warn!(error:% = error; "rejected a malformed request from a peer");
            let refusal = Refusal::not_run(Reason::BadRequest, now);
            return guard.refuse(&refusal, "", false);
        }
    };
    if let Some(address) = head.report_to {
        guard.reporting.record_request(now, address);
    }
    let span = traces::child("guard", &guard.context, request.headers());
    traces::in_span(span, serve(guard, head, request)).await
}

async fn serve(guard: Arc<Guard>, head: Head, request: Request<Body>) -> Response<Body> {
    let has_body = !request.body().is_end_stream();
    let unplaced = has_body.then(|| guard.unplaced.begin(&head.request_id));
    let slot = match admit(&guard, &head).await {
        Ok(slot) => slot,
        Err(refusal) => return guard.refuse(&refusal, &head.request_id, false),
    };
    if let Some(claim) = &head.claim
        && let Err(refusal) = guard.claim(claim, head.deadline).await
    {
        return guard.refuse(&refusal, &head.request_id, true);
    }
    drop(unplaced);
    let claimed = head.claim.is_some();
    match hand_over(&guard, slot, &head, request).await {
        Ok(response) => response,
        Err(refusal) => guard.refuse(&refusal, &head.request_id, claimed),
    }
}

impl Guard {
    fn new(context: Arc<Context>) -> Self {
        let settings = &context.settings;
        let now = Instant::now();
        let share = context.in_force().preset.probe_share;
        let mut admission = Admission::new(settings.admission.clone(), 1)
            .with_warm_up(WarmUp::new(settings.warm_up.clone(), now));
        if settings.upstream.request_limit_header.is_some() {
            admission = admission.with_request_limit(RequestLimit::new());
        }
        Self {
            state: Mutex::new(State {
                admission,
                gate: Gate::new(settings.gate.clone(), now),
                health: Health::new(settings.health.clone()),
                probe_budget: probe::Budget::new(settings.probe.clone(), share, now),
                pace_budget: probe::Budget::new(settings.probe.clone(), share, now),
                announcement: None,
                held: Vec::new(),
                instance: register(settings),
                leaving_checked: false,
                leaving_recheck: false,
                adopted: None,
                waiters: HashMap::new(),
                next_id: 0,
                runs: Runs::default(),
                trials: HashSet::new(),
                answered: Answered::default(),
                dependencies: dependency::Register::default(),
            }),
            queued: Notify::new(),
            reporting: Reporting::default(),
            pace: pace::Pace::default(),
            slow_phase_wait: Notify::new(),
            warm_up_due: Notify::new(),
            unplaced: Unplaced::default(),
            limit_named: Notify::new(),
            discovery_due: Notify::new(),
            upstream: Upstream::new(settings, context.adapter),
            log: RequestLog::new(&settings.logs),
            context,
        }
    }

    /// Carries out pending admission decisions until none is left.
    fn pump(&self) {
        let now = Instant::now();
        loop {
            let mut state = self.state.lock();
            let Some(action) = state.admission.poll(now) else {
                self.notify_if_warm_up_due(&state, now);
                return;
            };
            let (id, result) = match action {
                Action::Admit(id) => (id, Ok(())),
                Action::Refuse(id, refusal) => (id, Err(refusal)),
            };
            let waiter = state.waiters.remove(&id);
            if waiter.is_none_or(|waiter| waiter.send(result).is_err()) {
                state.admission.finish(id);
            }
        }
    }

    async fn claim(&self, claim: &Claim, deadline: Instant) -> Result<(), Refusal> {
        let (verdict_sender, receiver) = oneshot::channel();
        let job = Job::Submit {
            claim: claim.clone(),
            deadline,
            verdict_sender,
        };
        if self.context.rings.claims.try_send(job).is_err() {
            self.context.metrics.ring_full("claims");
            return Err(self.not_run(Reason::StoreUnavailable));
        }
        match tokio::time::timeout_at(deadline.into(), receiver).await {
            Ok(Ok(ClaimVerdict::Granted)) => Ok(()),
            Ok(Ok(ClaimVerdict::Duplicate)) => Err(self.unknown(Instant::now(), Reason::Duplicate)),
            Ok(Ok(ClaimVerdict::Doubtful)) => {
                Err(self.unknown(Instant::now(), Reason::StoreUnavailable))
            }
            Ok(Ok(ClaimVerdict::Unavailable) | Err(_)) => {
                Err(self.not_run(Reason::StoreUnavailable))
            }
            Err(_) => Err(self.not_run(Reason::Deadline)),
        }
    }

    /// Applies the load that the upstream reported; notifies peers if it changed.
    fn observe_load(&self, now: Instant, load: Option<&UpstreamLoad>) {
        let Some(load) = load else { return };
        if self.state.lock().admission.observe_load(now, load) {
            self.reporting.notify_change();
        }
    }

    fn report(&self, now: Instant) -> Report {
        self.state.lock().admission.report(now)
    }

    fn not_run(&self, reason: Reason) -> Refusal {
        self.state.lock().admission.refusal(Instant::now(), reason)
    }

    fn unknown(&self, now: Instant, reason: Reason) -> Refusal {
        let retry_at = self.state.lock().admission.refusal(now, reason).retry_at;
        Refusal::unknown(reason, retry_at)
    }

    fn refuse(&self, refusal: &Refusal, request_id: &str, claimed: bool) -> Response<Body> {
        let host = self.context.host();
        self.context.metrics.guard_refusal(refusal);
        let now = Instant::now();
        let mut response = problem::response(now, refusal, host, request_id, Precision::Millis);
        let report = self.report(now);
        self.log_refusal(refusal, request_id, &report);
        headers::write_load(&report, response.headers_mut());
        self.write_known(response.headers_mut());
        if refusal.reason == Reason::Leaving && !self.state.lock().gate.is_leaving() {
            headers::write_serves_others(response.headers_mut());
        }
        if claimed {
            headers::write_claimed(response.headers_mut());
        }
        response
    }

    /// Logs a refusal together with the load it is based on.
    fn log_refusal(&self, refusal: &Refusal, request_id: &str, report: &Report) {
        if !self.log.try_acquire(1) {
            return;
        }
        let state = self.state.lock();
        let named_limit = state.admission.request_limit().rate();
        let states_leaving = state.gate.states_leaving();
        drop(state);
        log::info!(
            request = request_id,
            outcome = refusal.outcome.as_str(),
            reason = refusal.reason.as_str(),
            in_flight = report.in_flight,
            queued = report.queued,
            limit = report.limit,
            service_ms = report.service_micros / 1000,
            slowness_percent = report.slowness_percent,
            named_limit = limit_text(named_limit),
            states_leaving = states_leaving,
            start_delay_ms = report.start_delay_micros / 1000;
            "refused beside the upstream"
        );
    }

    fn apply_view(&self, view: &View) {
        let now = Instant::now();
        let preset = &view.in_force.preset;
        let leaving = preset.leaving.contains(self.context.host());
        let zone = &self.context.settings.availability_zone;
        let evacuated = view.evacuated.contains(zone);
        let mut state = self.state.lock();
        state.gate.set_preset_drain(now, leaving);
        // The upstream may have turned cold while its zone was evacuated and got no requests.
        if state.gate.is_evacuated() && !evacuated {
            state.admission.warm_up_mut().invalidate();
            self.warm_up_due.notify_one();
        }
        state.gate.set_evacuated(now, evacuated);
        state.probe_budget.set_share(now, preset.probe_share);
        state.pace_budget.set_share(now, preset.probe_share);
        drop(state);
        self.publish();
    }

    /// Publishes the state of the upstream to the node's other tasks.
    fn publish(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let closed = state.gate.check(now);
        let announced = closed != Some(Reason::Unannounced);
        let leaving = state.gate.is_leaving();
        let announcement = state.announcement.as_ref().filter(|_| announced);
        let upstream = announcement.map(|announcement| membership::Upstream {
            service: Arc::clone(&announcement.service),
            slots: announcement.slots,
            leaving,
        });
        let spent = state.probe_budget.spent() + state.pace_budget.spent();
        let guarded = GuardState {
            load: state.admission.report(now),
            closed,
            doubtful: !state.health.is_ready(),
            probe_micros: u64::try_from(spent.as_micros()).unwrap_or(u64::MAX),
        };
        let named_limit = state.admission.request_limit().rate();
        drop(state);
        self.context.metrics.guarded(&guarded);
        self.context.metrics.named_limit(named_limit);
        send_if_changed(&self.context.latest.upstream, upstream);
        send_if_changed(&self.context.latest.guarded, guarded);
    }
}

/// Creates the register of the upstream's incarnations, which awaits the upstream's confirmation if
/// its responses name the instance.
fn register(settings: &Settings) -> instance::Register {
    let register = instance::Register::new(settings.gate.announcement_validity());
    if settings.upstream.instance_header.is_some() {
        register.asking_upstream()
    } else {
        register
    }
}

impl State {
    /// Returns the reason to refuse a new request for `service`, if there is one.
    fn refusal_reason(&mut self, now: Instant, service: &str) -> Option<Reason> {
        if let Some(reason) = self.gate.check(now) {
            return Some(reason);
        }
        if !self.health.is_ready() {
            return Some(Reason::Doubtful);
        }
        match &self.announcement {
            Some(announcement) if announcement.service.as_ref() == service => None,
            _ => Some(Reason::Unannounced),
        }
    }
}

fn send_if_changed<T: PartialEq>(latest: &tokio::sync::watch::Sender<T>, value: T) {
    latest.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    });
}
