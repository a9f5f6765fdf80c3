//! An upstream: slots, a service time, and misbehaviour on command. It counts what ran
//! by request id, which is the account that proofs are checked against.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Method, Request, Response, StatusCode};
use mintridge_core::outcome::{Reason, Refusal};
use mintridge_http::handler::{Answer, Function};
use mintridge_http::problem::{self, Precision};
use mintridge_http::server::{Ended, Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};

/// Header by which a caller numbers its request for the account.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that names the upstream that answered.
pub const SERVER: &str = "x-server";
const CLIENT_ACCOUNT: &str = "mintridge-client-account";
const TIMEOUT: &str = "mintridge-timeout-ms";
/// Trace context of a request.
pub const TRACEPARENT: &str = "traceparent";
/// Header by which an answer tells the trace context that reached the upstream.
pub const SEEN_TRACEPARENT: &str = "x-seen-traceparent";
/// Header by which an answer to a probe tells the load.
pub const LOAD: &str = "x-load";
/// Header by which an answer to a probe tells how much longer the upstream stays cold, in
/// milliseconds.
pub const COLD: &str = "x-cold";
/// Path that reads and replaces the behaviour.
pub const BEHAVIOUR: &str = "/standin/behaviour";
/// Path that reads the account of what ran.
pub const ACCOUNT: &str = "/standin/account";
/// Path of health probes.
pub const HEALTH: &str = "/health";
/// Prefix of paths that answer with that many bytes, as in `/bytes/1000`.
pub const BYTES: &str = "/bytes/";
/// Path of a request that ends upstreams, where they are told to crash on it.
pub const CRASHES: &str = "/crashes";
/// Path that answers with the refusal of a deeper call.
pub const DEEPER: &str = "/deeper";
const BODY_MOST: usize = 64 * 1024;
const CHUNK: usize = 64 * 1024;
/// Requests to a cold upstream are counted over any such span.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// What an upstream does with requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Manner {
    /// Serves them; those beyond the slots wait.
    #[default]
    Serve,
    /// Serves them; those beyond the slots are refused with status 503.
    Shed,
    /// Refuses every one at once with status 503.
    FailFast,
    /// Runs them and then answers with status 503.
    FailSlowly,
    /// Runs them and never answers.
    Silent,
    /// Breaks answers off after half of their bytes.
    BreakAnswers,
}

/// How the upstream behaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time that one request takes once it has a slot.
    pub service_micros: u64,
    /// Requests served at once.
    pub slots: usize,
    /// What it does with requests.
    pub manner: Manner,
    /// Probes are never answered.
    pub hang_probes: bool,
    /// A request for this path ends the whole process once its body has come and half of its
    /// service time has passed.
    pub crashes_on: Option<String>,
    /// How long the process is down after a crash.
    pub down_millis: u64,
    /// How long it serves after that before it announces its start.
    pub unannounced_millis: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_micros: 20_000,
            slots: 12,
            manner: Manner::Serve,
            hang_probes: false,
            crashes_on: None,
            down_millis: 1_000,
            unannounced_millis: 0,
        }
    }
}

/// What ran here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Runs by request id.
    pub runs: HashMap<String, u32>,
    /// Requests that reached this upstream, probes excluded.
    pub requests: u64,
    /// Probes that reached this upstream.
    pub probes: u64,
    /// Most requests open at once.
    pub open_most: u64,
    /// Requests open now.
    pub open: u64,
    /// Times the process crashed.
    pub crashes: u64,
    /// Most requests in any second while it was cold.
    pub cold_most: usize,
}

/// An upstream, shared by its connections.
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
    account: Account,
    cold: Cold,
}

/// A cold spell.
#[derive(Debug, Default)]
struct Cold {
    until: Option<Instant>,
    /// When requests arrived in it, of the last second.
    arrived: VecDeque<Instant>,
}

impl Cold {
    fn left(&self, now: Instant) -> Duration {
        let until = self.until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// A request arrived; returns how many did in the second before, if it is cold.
    fn arrived(&mut self, now: Instant) -> usize {
        if self.left(now).is_zero() {
            self.arrived.clear();
            return 0;
        }
        self.arrived.retain(|at| now < *at + COLD_WINDOW);
        self.arrived.push_back(now);
        self.arrived.len()
    }
}

/// Answer to an ordinary request, in JSON; a caller checks that it is its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Result {
    /// The upstream that answered.
    pub host: String,
    /// The caller's id of the request.
    pub id: String,
    /// Client account named to the upstream.
    pub client_account: String,
    /// Milliseconds left, as told to the upstream.
    pub left_millis: String,
    /// Bytes of the request body.
    pub body_bytes: u64,
    /// BLAKE3 digest of the request body, in hexadecimal.
    pub body_digest: String,
}

impl Result {
    /// Reads an answer; `None` if it is something else.
    #[must_use]
    pub fn parse(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }
}

impl Upstream {
    /// An upstream of this name.
    #[must_use]
    pub fn new(name: &str, behaviour: Behaviour) -> Self {
        Self {
            name: Arc::from(name),
            state: Mutex::new(State {
                slots: Arc::new(Semaphore::new(behaviour.slots)),
                behaviour,
                account: Account::default(),
                cold: Cold::default(),
            }),
            crash: Notify::new(),
        }
    }

    /// Replaces the behaviour; requests that hold slots keep them.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let mut state = self.state.lock();
        if behaviour.slots != state.behaviour.slots {
            state.slots = Arc::new(Semaphore::new(behaviour.slots));
        }
        state.behaviour = behaviour;
    }

    fn count_run(&self, id: &str) {
        let runs = &mut self.state.lock().account.runs;
        *runs.entry(id.to_owned()).or_default() += 1;
    }

    /// The upstream turns cold for so long, without a word.
    pub fn turn_cold(&self, lasts: Duration) {
        self.state.lock().cold.until = Some(Instant::now() + lasts);
    }

    /// The behaviour in force.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        self.state.lock().behaviour.clone()
    }

    /// Waits for the next crash.
    pub async fn crashed(&self) {
        self.crash.notified().await;
    }

    /// What ran so far.
    #[must_use]
    pub fn account(&self) -> Account {
        self.state.lock().account.clone()
    }
}

/// Serves until `phase` closes.
pub async fn run(
    listener: TcpListener,
    upstream: Arc<Upstream>,
    phase: watch::Receiver<Phase>,
) -> Ended {
    let handler = Function::new(upstream, |upstream, request| -> Answer {
        Box::pin(answer(upstream, request))
    });
    serve(listener, handler, Protocol::Http1, Limits::default(), phase).await
}

async fn answer(upstream: Arc<Upstream>, request: Request<Body>) -> Response<Body> {
    let behaviour = upstream.behaviour();
    match request.uri().path() {
        BEHAVIOUR => return set_behaviour(&upstream, request).await,
        ACCOUNT => return reply::json(StatusCode::OK, &upstream.account()),
        HEALTH => return probe(&upstream, &behaviour).await,
        _ => {}
    }
    let id = header(&request, REQUEST_ID);
    let _open = Open::new(Arc::clone(&upstream));
    if behaviour.manner == Manner::FailFast {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "failing fast\n");
    }
    let slots = Arc::clone(&upstream.state.lock().slots);
    let slot = match slots.try_acquire() {
        Ok(slot) => slot,
        Err(_) if behaviour.manner == Manner::Shed => {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "shedding load\n");
        }
        Err(_) => match slots.acquire().await {
            Ok(slot) => slot,
            Err(_) => return reply::text(StatusCode::SERVICE_UNAVAILABLE, "closed\n"),
        },
    };
    upstream.count_run(&id);
    let response = work(&upstream, &behaviour, request, id).await;
    drop(slot);
    response
}

async fn work(
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
    if behaviour.manner == Manner::Silent {
        std::future::pending::<()>().await;
    }
    let traceparent = request.headers().get(TRACEPARENT).cloned();
    let length = request
        .uri()
        .path()
        .strip_prefix(BYTES)
        .and_then(|length| length.parse().ok());
    if behaviour.manner == Manner::FailSlowly {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "failing slowly\n");
    }
    if request.uri().path() == DEEPER {
        return deeper();
    }
    let mut response = match (request.method(), length) {
        (&Method::GET, Some(length)) => bytes(length, behaviour.manner == Manner::BreakAnswers),
        _ => result(upstream, request, id).await,
    };
    if let Some(traceparent) = traceparent {
        response.headers_mut().insert(SEEN_TRACEPARENT, traceparent);
    }
    if let Ok(name) = upstream.name.parse() {
        response.headers_mut().insert(SERVER, name);
    }
    response
}

/// Ends the whole process; nobody hears an answer any more.
async fn crash(
    upstream: &Upstream,
    service_time: Duration,
    request: Request<Body>,
) -> Response<Body> {
    let _ = request.into_body().collect().await;
    tokio::time::sleep(service_time / 2).await;
    upstream.state.lock().account.crashes += 1;
    upstream.crash.notify_one();
    std::future::pending().await
}

async fn result(upstream: &Upstream, request: Request<Body>, id: String) -> Response<Body> {
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
    let result = Result {
        host: upstream.name.to_string(),
        id,
        client_account,
        left_millis,
        body_bytes,
        body_digest: digest.finalize().to_hex().to_string(),
    };
    reply::json(StatusCode::OK, &result)
}

/// The refusal of a deeper call, passed on as it came.
fn deeper() -> Response<Body> {
    let now = Instant::now();
    let refusal = Refusal::not_run(Reason::Busy, now);
    let mut response = problem::response(now, &refusal, "deeper", "deeper", Precision::Seconds);
    response.headers_mut().remove(hyper::header::RETRY_AFTER);
    response
}

/// A body of `length` bytes; a broken one ends with an error half way.
fn bytes(length: usize, broken: bool) -> Response<Body> {
    let end = if broken { length / 2 } else { length };
    let chunks = stream::unfold(0_usize, move |sent| async move {
        if sent < end {
            let next = CHUNK.min(end - sent);
            let frame = Frame::data(Bytes::from(vec![b'x'; next]));
            return Some((Ok(frame), sent + next));
        }
        (broken && sent == end).then(|| (Err(io::Error::other("broken on command")), length + 1))
    });
    let mut response = Response::new(Body::new(StreamBody::new(chunks)));
    let headers = response.headers_mut();
    headers.insert(hyper::header::CONTENT_LENGTH, length.into());
    response
}

async fn probe(upstream: &Upstream, behaviour: &Behaviour) -> Response<Body> {
    upstream.state.lock().account.probes += 1;
    if behaviour.hang_probes {
        std::future::pending::<()>().await;
    }
    if behaviour.manner == Manner::FailFast {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "failing fast\n");
    }
    let mut response = reply::text(StatusCode::OK, "ready\n");
    let left = upstream.state.lock().cold.left(Instant::now()).as_millis();
    let load = format!("{{\"slots\":{}}}", behaviour.slots);
    let told = [
        (SERVER, upstream.name.to_string()),
        (LOAD, load),
        (COLD, left.to_string()),
    ];
    for (name, value) in told {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

async fn set_behaviour(upstream: &Upstream, request: Request<Body>) -> Response<Body> {
    match reply::read_json(request.into_body(), BODY_MOST).await {
        Ok(behaviour) => {
            upstream.set_behaviour(behaviour);
            reply::text(StatusCode::OK, "set\n")
        }
        Err(error) => reply::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn header(request: &Request<Body>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

/// Counts a request as open while it is worked on.
struct Open(Arc<Upstream>);

impl Open {
    fn new(upstream: Arc<Upstream>) -> Self {
        let mut state = upstream.state.lock();
        let cold = state.cold.arrived(Instant::now());
        let account = &mut state.account;
        account.cold_most = account.cold_most.max(cold);
        account.requests += 1;
        account.open += 1;
        account.open_most = account.open_most.max(account.open);
        drop(state);
        Self(upstream)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.state.lock().account.open -= 1;
    }
}
