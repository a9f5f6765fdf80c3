//! A stand-in for an upstream, with configurable slots, service time and faults. It counts the runs
//! of each request id, and tests check their results against these counts.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::problem::{self, Precision};
use mintridge_http::server::{Limits, Phase, Protocol, Shutdown, serve};
use mintridge_http::{Body, reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};

/// Header with the caller's request id, by which runs are counted.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the name of the upstream that sent the response.
pub const SERVER: &str = "x-server";
const CLIENT_ACCOUNT: &str = "mintridge-client-account";
const TIMEOUT: &str = "mintridge-timeout-ms";
/// Header with the trace context of a request.
pub const TRACEPARENT: &str = "traceparent";
/// Response header with the trace context that the upstream received.
pub const RECEIVED_TRACEPARENT: &str = "x-seen-traceparent";
/// Header of a probe response with the load of the upstream.
pub const LOAD_HEADER: &str = "x-load";
/// Header of a probe response with the remaining time for which the upstream is cold, in
/// milliseconds.
pub const COLD_HEADER: &str = "x-cold";
/// Header of a request with the host whose node received it from the caller.
pub const ORIGIN: &str = "x-origin";
/// Header of a response with the requests per second that the upstream takes from all nodes.
pub const LIMIT_HEADER: &str = "x-limit";
/// Header of a response that states that the upstream is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Path at which a request replaces the behaviour.
pub const BEHAVIOUR: &str = "/standin/behaviour";
/// Path that returns the [`Counts`].
pub const ACCOUNT: &str = "/standin/account";
/// Path of health probes.
pub const HEALTH: &str = "/health";
/// Prefix of paths whose response body has the given number of bytes, as in `/bytes/1000`.
pub const BYTES: &str = "/bytes/";
/// Prefix of paths whose response body has the given number of bytes and no length, as in
/// `/chunks/1000`.
pub const CHUNKS: &str = "/chunks/";
/// Path whose requests get no response and have their bodies left unread.
pub const UNREAD: &str = "/unread";
/// Path whose response body has no length and no end, as fast as the caller takes it.
pub const ENDLESS: &str = "/endless";
/// Path whose response body has no length and no end, a few bytes at a time.
pub const TRICKLE: &str = "/trickle";
/// Prefix of paths whose response has the given status after the run, and a body of the given number
/// of bytes, as in `/status/503/1000`.
pub const STATUS: &str = "/status/";
/// End of paths whose response is a JSON list of the names and values of the header fields received.
pub const FIELDS: &str = "/fields";
/// Path that tests of crashes set as [`Behaviour::crashes_on`]; otherwise it is an ordinary path.
pub const CRASHES: &str = "/crashes";
/// Path that returns the refusal of a nested call, as an upstream does that forwards it unchanged.
pub const NESTED_REFUSAL: &str = "/deeper";
const MAX_BEHAVIOUR_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;
/// Size and interval of the parts of [`TRICKLE`].
const TRICKLE_BYTES: usize = 100;
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);
/// Length of the sliding window in which requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Length of the sliding window in which requests to an upstream that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after the first response with a limit from which requests count: until then nodes learn of
/// it.
const LIMIT_LEARNED: Duration = Duration::from_millis(500);
/// Time after the first response with a limit from which the limit must hold.
const LIMIT_SETTLE: Duration = Duration::from_secs(3);
/// Factor on the requests that the limit allows in a window.
const LIMIT_FACTOR: f64 = 1.5;
/// Requests in a window that are allowed beyond that.
const LIMIT_SLACK: f64 = 5.0;
/// Time after the first response that states leaving from which no request may arrive by way of
/// the node that passed the response on.
const LEAVE_SETTLE: Duration = Duration::from_secs(2);

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Serves requests; those without a free slot wait.
    #[default]
    Serve,
    /// Serves requests; those without a free slot are rejected with status 503.
    Shed,
    /// Rejects every request immediately with status 503, health probes included.
    FailFast,
    /// Runs requests and then returns status 503.
    FailSlowly,
    /// Runs requests and never responds.
    Silent,
    /// Aborts response bodies of [`BYTES`] after half of their bytes.
    BreakAnswers,
}

/// Configurable behaviour of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time for which a request occupies its slot, in microseconds.
    pub service_micros: u64,
    /// Number of requests that are served concurrently.
    pub slots: usize,
    /// How requests are handled.
    pub manner: Mode,
    /// Whether health probes never get a response.
    pub hang_probes: bool,
    /// Path on which the upstream crashes, once the request body has been received and half of the
    /// service time has passed.
    pub crashes_on: Option<String>,
    /// Time for which the upstream is down after a crash, in milliseconds.
    pub down_millis: u64,
    /// Time between the restart after a crash and its announcement, in milliseconds.
    pub unannounced_millis: u64,
    /// Whether the client account of each request is recorded.
    pub records_accounts: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_micros: 20_000,
            slots: 12,
            manner: Mode::Serve,
            hang_probes: false,
            crashes_on: None,
            down_millis: 1_000,
            unannounced_millis: 0,
            records_accounts: false,
        }
    }
}

/// Counts of the requests and runs of one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of runs by request id.
    pub runs: HashMap<String, u32>,
    /// Number of requests that reached this upstream, probes excluded.
    pub requests: u64,
    /// Number of probes that reached this upstream.
    pub probes: u64,
    /// Maximum number of concurrently open requests.
    pub open_most: u64,
    /// Number of open requests.
    pub open: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Maximum number of requests within one second while the upstream was cold.
    pub cold_most: usize,
    /// Maximum number of requests beyond what the named limit allows in its window.
    pub limit_excess: usize,
    /// Number of requests that arrived by way of nodes that had passed on long before that the
    /// upstream is leaving.
    pub after_leaving: u64,
    /// Client accounts with which a request arrived, by request id; only if they are recorded.
    #[serde(default)]
    pub accounts: HashMap<String, Vec<String>>,
    /// Number of requests with a key of a client account; only if accounts are recorded.
    #[serde(default)]
    pub keys: u64,
}

/// State of an upstream, shared by its connections.
#[derive(Debug)]
pub struct Upstream {
    name: Arc<str>,
    state: Mutex<State>,
    crash: Notify,
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    slots: Arc<Semaphore>,
    counts: Counts,
    cold_period: ColdPeriod,
    notice: Notice,
}

/// What the upstream states in its responses, with the requests that arrive meanwhile.
#[derive(Debug, Default)]
struct Notice {
    /// Value of [`LIMIT_HEADER`], which may be malformed.
    limit: Option<String>,
    leaving: bool,
    /// Whether responses to health probes state nothing.
    silent_probes: bool,
    /// When a response first named a limit.
    limit_named_at: Option<Instant>,
    /// When a response first stated leaving, by the host whose node passed it on.
    leaving_named_at: HashMap<String, Instant>,
    /// Arrival times of the requests within the last [`LIMIT_WINDOW`].
    arrivals: VecDeque<Instant>,
}

impl Notice {
    /// Records the arrival of a request and returns how many requests the limit is exceeded by.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn record_arrival(&mut self, now: Instant) -> usize {
        let named_for = self
            .limit_named_at
            .map(|named_at| now.saturating_duration_since(named_at));
        if named_for.is_none_or(|named_for| named_for < LIMIT_LEARNED) {
            self.arrivals.clear();
            return 0;
        }
        self.arrivals.retain(|at| now < *at + LIMIT_WINDOW);
        self.arrivals.push_back(now);
        let is_settled = named_for.is_some_and(|named_for| named_for >= LIMIT_SETTLE);
        let limit = self.limit.as_ref().and_then(|limit| limit.parse().ok());
        let Some(limit) = limit.filter(|limit: &f64| is_settled && *limit >= 0.0) else {
            return 0;
        };
        let allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        self.arrivals.len().saturating_sub(allowed as usize)
    }

    /// Returns whether the node of a host passed on long before that the upstream is leaving.
    fn is_leaving_settled(&self, now: Instant, origin: &str) -> bool {
        let named_at = self.leaving_named_at.get(origin);
        named_at.is_some_and(|named_at| now >= *named_at + LEAVE_SETTLE)
    }

    /// Adds the headers to the response to a request that came by way of the node of `origin`.
    fn write(&mut self, now: Instant, origin: Option<String>, response: &mut Response<Body>) {
        if let Some(value) = self.limit.as_ref().and_then(|limit| limit.parse().ok()) {
            response.headers_mut().insert(LIMIT_HEADER, value);
            self.limit_named_at.get_or_insert(now);
        }
        if self.leaving {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(LEAVING_HEADER, value);
            if let Some(origin) = origin {
                self.leaving_named_at.entry(origin).or_insert(now);
            }
        }
    }
}

/// Period in which the upstream is cold, with its recent requests.
#[derive(Debug, Default)]
struct ColdPeriod {
    until: Option<Instant>,
    /// Arrival times of the requests within the last [`COLD_WINDOW`].
    arrivals: VecDeque<Instant>,
}

impl ColdPeriod {
    fn remaining(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Records the arrival of a request and returns the number of arrivals in the last
    /// [`COLD_WINDOW`], or 0 if the upstream isn't cold.
    fn record_arrival(&mut self, now: Instant) -> usize {
        if self.remaining(now).is_zero() {
            self.arrivals.clear();
            return 0;
        }
        self.arrivals.retain(|at| now < *at + COLD_WINDOW);
        self.arrivals.push_back(now);
        self.arrivals.len()
    }
}

/// JSON response to an ordinary request. It repeats what the upstream received, so that a caller
/// can check that the response belongs to its own request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the upstream that sent the response.
    pub host: String,
    /// Request id given by the caller.
    pub id: String,
    /// Client account that the upstream received.
    pub client_account: String,
    /// Milliseconds until the deadline, as the upstream received them.
    pub left_millis: String,
    /// Length of the request body in bytes.
    pub body_bytes: u64,
    /// BLAKE3 digest of the request body, in hexadecimal.
    pub body_digest: String,
}

impl Echo {
    /// Parses a response body; returns `None` if it isn't the JSON of this type.
    #[must_use]
    pub fn parse(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }
}

impl Upstream {
    /// Records the client account and the key with which a request arrived.
    fn record_account(&self, id: &str, request: &Request<Body>) {
        let account = header(request, CLIENT_ACCOUNT);
        let has_key = request.headers().contains_key(hyper::header::AUTHORIZATION);
        let counts = &mut self.state.lock().counts;
        counts.keys += u64::from(has_key);
        counts
            .accounts
            .entry(id.to_owned())
            .or_default()
            .push(account);
    }

    /// Creates an upstream with this name and behaviour.
    #[must_use]
    pub fn new(name: &str, behaviour: Behaviour) -> Self {
        Self {
            name: Arc::from(name),
            state: Mutex::new(State {
                slots: Arc::new(Semaphore::new(behaviour.slots)),
                behaviour,
                counts: Counts::default(),
                cold_period: ColdPeriod::default(),
                notice: Notice::default(),
            }),
            crash: Notify::new(),
        }
    }

    /// Replaces the behaviour. Requests in progress keep their slots; if the number of slots
    /// changes, these don't count against the new number.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let mut state = self.state.lock();
        if behaviour.slots != state.behaviour.slots {
            state.slots = Arc::new(Semaphore::new(behaviour.slots));
        }
        state.behaviour = behaviour;
    }

    fn count_run(&self, id: &str) {
        let runs = &mut self.state.lock().counts.runs;
        *runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Makes the upstream cold for `duration`. No announcement is sent; only [`COLD_HEADER`]
    /// reports it.
    pub fn start_cold_period(&self, duration: Duration) {
        self.state.lock().cold_period.until = Some(Instant::now() + duration);
    }

    /// Names a limit in all responses from now on; `None` ends it.
    pub fn set_limit(&self, limit: Option<&str>) {
        let notice = &mut self.state.lock().notice;
        notice.limit = limit.map(ToOwned::to_owned);
        notice.limit_named_at = None;
    }

    /// Sets whether all responses from now on state that the upstream is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        let notice = &mut self.state.lock().notice;
        notice.leaving = leaving;
        notice.leaving_named_at.clear();
    }

    /// Whether the upstream states that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state.lock().notice.leaving
    }

    /// Forgets that the node of a host passed on that the upstream is leaving, because that node was
    /// restarted or paused.
    pub fn excuse(&self, origin: &str) {
        let notice = &mut self.state.lock().notice;
        notice.leaving_named_at.remove(origin);
    }

    /// Sets whether responses to health probes state neither limit nor leaving.
    pub fn set_silent_probes(&self, silent: bool) {
        self.state.lock().notice.silent_probes = silent;
    }

    /// Returns the current behaviour.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.state.lock().behaviour.clone()
    }

    /// Waits for the next crash.
    pub async fn crashed(&self) {
        self.crash.notified().await;
    }

    /// Returns the counts since the start of the stand-in.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.state.lock().counts.clone()
    }
}

/// Serves requests until `phase` is [`Phase::Closing`].
pub async fn run(
    listener: TcpListener,
    upstream: Arc<Upstream>,
    phase: watch::Receiver<Phase>,
) -> Shutdown {
    let handler = Function::new(upstream, |upstream, request| -> ResponseFuture {
        Box::pin(handle(upstream, request))
    });
    serve(listener, handler, Protocol::Http1, Limits::default(), phase).await
}

async fn handle(upstream: Arc<Upstream>, request: Request<Body>) -> Response<Body> {
    let is_probe = request.uri().path() == HEALTH;
    let origin = (!is_probe).then(|| header(&request, ORIGIN));
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut response = respond(Arc::clone(&upstream), request).await;
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    let mut state = upstream.state.lock();
    if !(is_probe && state.notice.silent_probes) {
        state.notice.write(Instant::now(), origin, &mut response);
    }
    drop(state);
    response
}

async fn respond(upstream: Arc<Upstream>, request: Request<Body>) -> Response<Body> {
    let behaviour = upstream.behaviour();
    match request.uri().path() {
        BEHAVIOUR => return set_behaviour(&upstream, request).await,
        ACCOUNT => return reply::json(StatusCode::OK, &upstream.counts()),
        HEALTH => return probe_response(&upstream, &behaviour).await,
        _ => {}
    }
    let id = header(&request, REQUEST_ID);
    let origin = header(&request, ORIGIN);
    let _open_request = OpenRequest::new(Arc::clone(&upstream), &origin);
    if behaviour.records_accounts {
        upstream.record_account(&id, &request);
    }
    if behaviour.manner == Mode::FailFast {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "failing fast\n");
    }
    let slots = Arc::clone(&upstream.state.lock().slots);
    let slot = match slots.try_acquire() {
        Ok(slot) => slot,
        Err(_) if behaviour.manner == Mode::Shed => {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "shedding load\n");
        }
        Err(_) => match slots.acquire().await {
            Ok(slot) => slot,
            Err(_) => return reply::text(StatusCode::SERVICE_UNAVAILABLE, "closed\n"),
        },
    };
    upstream.count_run(&id);
    let response = run_request(&upstream, &behaviour, request, id).await;
    drop(slot);
    response
}

async fn run_request(
    upstream: &Upstream,
    behaviour: &Behaviour,
    request: Request<Body>,
    id: String,
) -> Response<Body> {
    let service_time = Duration::from_micros(behaviour.service_micros);
    if behaviour.crashes_on.as_deref() == Some(request.uri().path()) {
        return crash(upstream, service_time, request).await;
    }
    tokio::time::sleep(service_time).await;
    if behaviour.manner == Mode::Silent || request.uri().path() == UNREAD {
        std::future::pending::<()>().await;
    }
    let traceparent = request.headers().get(TRACEPARENT).cloned();
    let length = request
        .uri()
        .path()
        .strip_prefix(BYTES)
        .and_then(|length| length.parse().ok());
    if behaviour.manner == Mode::FailSlowly {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "failing slowly\n");
    }
    if request.uri().path() == NESTED_REFUSAL {
        return nested_refusal();
    }
    let path = request.uri().path();
    if let Some(response) = status_response(path).or_else(|| unbounded_response(path)) {
        return response;
    }
    if request.uri().path().ends_with(FIELDS) {
        return reply::json(StatusCode::OK, &fields(&request));
    }
    let mut response = match (request.method(), length) {
        (&Method::GET, Some(length)) => {
            bytes_response(length, behaviour.manner == Mode::BreakAnswers)
        }
        _ => result_response(upstream, request, id).await,
    };
    if let Some(traceparent) = traceparent {
        response
            .headers_mut()
            .insert(RECEIVED_TRACEPARENT, traceparent);
    }
    if let Ok(name) = upstream.name.parse() {
        response.headers_mut().insert(SERVER, name);
    }
    response
}

/// Simulates a crash of the upstream process. The request never gets a response.
async fn crash(
    upstream: &Upstream,
    service_time: Duration,
    request: Request<Body>,
) -> Response<Body> {
    let _ = request.into_body().collect().await;
    tokio::time::sleep(service_time / 2).await;
    upstream.state.lock().counts.crashes += 1;
    upstream.crash.notify_one();
    std::future::pending().await
}

async fn result_response(
    upstream: &Upstream,
    request: Request<Body>,
    id: String,
) -> Response<Body> {
    let client_account = header(&request, CLIENT_ACCOUNT);
    let left_millis = header(&request, TIMEOUT);
    let mut digest = blake3::Hasher::new();
    let mut body_bytes = 0;
    let mut body = request.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return reply::text(StatusCode::BAD_REQUEST, "body broke off\n");
        };
        if let Some(data) = frame.data_ref() {
            digest.update(data);
            body_bytes += data.len() as u64;
        }
    }
    let echo = Echo {
        host: upstream.name.to_string(),
        id,
        client_account,
        left_millis,
        body_bytes,
        body_digest: digest.finalize().to_hex().to_string(),
    };
    reply::json(StatusCode::OK, &echo)
}

/// Returns the refusal of a nested call with its headers, as an upstream does that forwards it
/// unchanged.
fn nested_refusal() -> Response<Body> {
    let now = Instant::now();
    let refusal = Refusal::not_run(Reason::Busy, now);
    let mut response = problem::response(now, &refusal, "deeper", "deeper", Precision::Seconds);
    response.headers_mut().remove(hyper::header::RETRY_AFTER);
    response
}

/// Returns the response to [`ENDLESS`], [`TRICKLE`] or a path of [`CHUNKS`].
fn unbounded_response(path: &str) -> Option<Response<Body>> {
    let (bytes, part, pause) = match path {
        ENDLESS => (usize::MAX, CHUNK_BYTES, None),
        TRICKLE => (usize::MAX, TRICKLE_BYTES, Some(TRICKLE_PAUSE)),
        _ => (path.strip_prefix(CHUNKS)?.parse().ok()?, CHUNK_BYTES, None),
    };
    let chunks = stream::unfold(bytes, move |left| async move {
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
        let next = part.min(left);
        let frame = Frame::data(Bytes::from(vec![b'x'; next]));
        (next > 0).then(|| (Ok::<_, io::Error>(frame), left - next))
    });
    Some(Response::new(Body::new(StreamBody::new(chunks))))
}

/// Returns the response to a path of [`STATUS`], with a time to come back.
fn status_response(path: &str) -> Option<Response<Body>> {
    let (status, length) = path.strip_prefix(STATUS)?.split_once('/')?;
    let mut response = bytes_response(length.parse().ok()?, false);
    *response.status_mut() = status.parse().ok()?;
    let retry_after = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert(hyper::header::RETRY_AFTER, retry_after);
    Some(response)
}

/// Returns a response with a body of `length` bytes. A broken body ends with an error after half of
/// them.
fn bytes_response(length: usize, is_broken: bool) -> Response<Body> {
    let end = if is_broken { length / 2 } else { length };
    let chunks = stream::unfold(0_usize, move |sent| async move {
        if sent < end {
            let next = CHUNK_BYTES.min(end - sent);
            let frame = Frame::data(Bytes::from(vec![b'x'; next]));
            return Some((Ok(frame), sent + next));
        }
        (is_broken && sent == end).then(|| {
            (
                Err(io::Error::other("response body broken off as configured")),
                length + 1,
            )
        })
    });
    let mut response = Response::new(Body::new(StreamBody::new(chunks)));
    let headers = response.headers_mut();
    headers.insert(hyper::header::CONTENT_LENGTH, length.into());
    response
}

async fn probe_response(upstream: &Upstream, behaviour: &Behaviour) -> Response<Body> {
    upstream.state.lock().counts.probes += 1;
    if behaviour.hang_probes {
        std::future::pending::<()>().await;
    }
    if behaviour.manner == Mode::FailFast {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "failing fast\n");
    }
    let mut response = reply::text(StatusCode::OK, "ready\n");
    let cold_millis = upstream
        .state
        .lock()
        .cold_period
        .remaining(Instant::now())
        .as_millis();
    let load = format!("{{\"slots\":{}}}", behaviour.slots);
    let headers = [
        (SERVER, upstream.name.to_string()),
        (LOAD_HEADER, load),
        (COLD_HEADER, cold_millis.to_string()),
    ];
    for (name, value) in headers {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

async fn set_behaviour(upstream: &Upstream, request: Request<Body>) -> Response<Body> {
    match reply::read_json(request.into_body(), MAX_BEHAVIOUR_BYTES).await {
        Ok(behaviour) => {
            upstream.set_behaviour(behaviour);
            reply::text(StatusCode::OK, "set\n")
        }
        Err(error) => reply::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

/// Returns the names and values of all header fields, in the form of the `FIELDS` response.
fn fields(request: &Request<Body>) -> Vec<(String, String)> {
    let fields = request.headers().iter();
    fields
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.to_string(), value.into_owned())
        })
        .collect()
}

fn header(request: &Request<Body>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Counts a request as open for as long as this value lives.
struct OpenRequest(Arc<Upstream>);

impl OpenRequest {
    fn new(upstream: Arc<Upstream>, origin: &str) -> Self {
        let mut state = upstream.state.lock();
        let now = Instant::now();
        let cold_requests = state.cold_period.record_arrival(now);
        let limit_excess = state.notice.record_arrival(now);
        let is_leaving_settled = state.notice.is_leaving_settled(now, origin);
        let counts = &mut state.counts;
        counts.cold_most = counts.cold_most.max(cold_requests);
        counts.limit_excess = counts.limit_excess.max(limit_excess);
        counts.after_leaving += u64::from(is_leaving_settled);
        counts.requests += 1;
        counts.open += 1;
        counts.open_most = counts.open_most.max(counts.open);
        drop(state);
        Self(upstream)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.state.lock().counts.open -= 1;
    }
}
