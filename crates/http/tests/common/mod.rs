//! A pipelined server on a thread of its own, and a caller that writes raw bytes.

#![allow(dead_code)]

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Request, Response, StatusCode};
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::server::{Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Generous timeout of every wait.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Path whose requests are refused before any of the body is read.
pub const REFUSED: &str = "refused";
/// Path whose response body pauses for [`PAUSE`] after its first half.
pub const PAUSED: &str = "paused";
/// Pause within the response to [`PAUSED`].
pub const PAUSE: Duration = Duration::from_millis(400);
/// Path whose response breaks off after its first bytes.
pub const BROKEN: &str = "broken";
/// Path prefix, followed by the number of milliseconds for which to block the server's only thread.
pub const BUSY_PREFIX: &str = "busy-";

#[derive(Default)]
pub struct Counters {
    pub started: AtomicUsize,
    pub running: AtomicUsize,
    pub max_running: AtomicUsize,
    pub dropped: AtomicUsize,
}

struct RunningGuard(Arc<Counters>, bool);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        if !self.1 {
            self.0.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Sleeps for the number of milliseconds in the path, then responds with the path and the body.
/// See [`REFUSED`], [`BROKEN`], [`PAUSED`] and [`BUSY_PREFIX`] for other paths.
async fn respond(counters: Arc<Counters>, request: Request<Body>) -> Response<Body> {
    counters.started.fetch_add(1, Ordering::SeqCst);
    let running = counters.running.fetch_add(1, Ordering::SeqCst) + 1;
    counters.max_running.fetch_max(running, Ordering::SeqCst);
    let mut guard = RunningGuard(counters, false);
    let path = request.uri().path().trim_start_matches('/').to_owned();
    if path == REFUSED {
        guard.1 = true;
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "<refused:>");
    }
    if path == BROKEN {
        guard.1 = true;
        let broken = (
            Duration::from_millis(50),
            Err(io::Error::other("broken off")),
        );
        return in_parts(vec![(Duration::ZERO, Ok("<begun")), broken]);
    }
    if path == PAUSED {
        guard.1 = true;
        let parts = vec![(Duration::ZERO, Ok("<paused:")), (PAUSE, Ok("whole>"))];
        let mut response = in_parts(parts);
        let length = HeaderValue::from("<paused:whole>".len());
        response.headers_mut().insert(CONTENT_LENGTH, length);
        return response;
    }
    if let Some(millis) = path.strip_prefix(BUSY_PREFIX) {
        std::thread::sleep(Duration::from_millis(millis.parse().unwrap_or(0)));
    }
    let body = request.into_body().collect().await.expect("a whole body");
    let millis = path.parse().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(millis)).await;
    guard.1 = true;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    reply::text(StatusCode::OK, format!("<{path}:{body}>"))
}

/// Returns a response whose body arrives in parts, each after a pause.
fn in_parts(parts: Vec<(Duration, io::Result<&'static str>)>) -> Response<Body> {
    let parts = stream::iter(parts).then(async |(pause, part)| {
        tokio::time::sleep(pause).await;
        part.map(|part| Frame::data(Bytes::from(part)))
    });
    Response::new(Body::new(StreamBody::new(parts)))
}

pub struct Server {
    pub address: SocketAddr,
    pub counters: Arc<Counters>,
    pub phase: watch::Sender<Phase>,
}

pub fn start() -> Server {
    start_with(Limits::default())
}

/// Starts a server with this timeout for a header section.
pub fn start_with_header_timeout(header_timeout: Duration) -> Server {
    start_with(Limits {
        header_timeout,
        ..Limits::default()
    })
}

pub fn start_with(limits: Limits) -> Server {
    let counters = Arc::new(Counters::default());
    let phase = watch::Sender::new(Phase::Open);
    let (server_counters, receiver) = (Arc::clone(&counters), phase.subscribe());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("set");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let handler = Function::new(server_counters, |counters, request| -> ResponseFuture {
                Box::pin(respond(counters, request))
            });
            let protocol = Protocol::Pipelined(8);
            serve(listener, handler, protocol, limits, receiver).await;
        });
    });
    Server {
        address,
        counters,
        phase,
    }
}

pub fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream
}

pub fn get(path: &str) -> String {
    format!("GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads until this many responses have arrived.
pub fn read_responses(stream: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    let mut bytes = [0; 1024];
    while text.matches('>').count() < count {
        let read = stream.read(&mut bytes).expect("readable");
        assert!(read > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

/// Reads until this text has arrived, and the bytes that came with it.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut bytes = [0; 1024];
    while !text.contains(end) {
        let read = stream.read(&mut bytes).expect("readable");
        assert!(read > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

/// Reads until the server closes the connection, and checks that the connection isn't reset.
pub fn read_to_close(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let ended = stream.read_to_string(&mut text);
    assert!(ended.is_ok(), "{ended:?} after {text:?}");
    text
}

pub fn bodies(text: &str) -> Vec<String> {
    let parts = text.split('<').skip(1);
    parts
        .filter_map(|part| part.split('>').next())
        .map(ToOwned::to_owned)
        .collect()
}

pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < give_up_at,
            "not within {WAIT_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
