//! A server of callers on a thread of its own, and a caller that writes bytes by hand.

#![allow(dead_code)]

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use mintridge_http::handler::{Answer, Function};
use mintridge_http::server::{Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Generous limit on any wait.
pub const WAIT_MOST: Duration = Duration::from_secs(30);
/// Path that is refused before any of the body was read.
pub const REFUSED: &str = "refused";
/// Begins a path that keeps the server's only thread busy for as many milliseconds as follow.
pub const BUSY: &str = "busy-";

#[derive(Default)]
pub struct Seen {
    pub running: AtomicUsize,
    pub most: AtomicUsize,
    pub dropped: AtomicUsize,
}

struct Running(Arc<Seen>, bool);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        if !self.1 {
            self.0.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Waits as many milliseconds as the path says and answers the path and the body; some paths
/// are refused, or keep the thread busy.
async fn answer(seen: Arc<Seen>, request: Request<Body>) -> Response<Body> {
    let running = seen.running.fetch_add(1, Ordering::SeqCst) + 1;
    seen.most.fetch_max(running, Ordering::SeqCst);
    let mut running = Running(seen, false);
    let path = request.uri().path().trim_start_matches('/').to_owned();
    if path == REFUSED {
        running.1 = true;
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "<refused:>");
    }
    if let Some(millis) = path.strip_prefix(BUSY) {
        std::thread::sleep(Duration::from_millis(millis.parse().unwrap_or(0)));
    }
    let body = request.into_body().collect().await.expect("a whole body");
    let millis = path.parse().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(millis)).await;
    running.1 = true;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    reply::text(StatusCode::OK, format!("<{path}:{body}>"))
}

pub struct Server {
    pub address: SocketAddr,
    pub seen: Arc<Seen>,
    pub phase: watch::Sender<Phase>,
}

pub fn start() -> Server {
    start_with(Limits::default())
}

/// A server that waits so long for a header section.
pub fn start_waiting(header_within: Duration) -> Server {
    start_with(Limits {
        header_within,
        ..Limits::default()
    })
}

pub fn start_with(limits: Limits) -> Server {
    let seen = Arc::new(Seen::default());
    let phase = watch::Sender::new(Phase::Open);
    let (of_server, receiver) = (Arc::clone(&seen), phase.subscribe());
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
            let handler = Function::new(of_server, |seen, request| -> Answer {
                Box::pin(answer(seen, request))
            });
            let protocol = Protocol::Pipelined(8);
            serve(listener, handler, protocol, limits, receiver).await;
        });
    });
    Server {
        address,
        seen,
        phase,
    }
}

pub fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("connected");
    stream.set_read_timeout(Some(WAIT_MOST)).expect("set");
    stream
}

pub fn get(path: &str) -> String {
    format!("GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads until this many answers have come.
pub fn answers(stream: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    let mut bytes = [0; 1024];
    while text.matches('>').count() < count {
        let read = stream.read(&mut bytes).expect("readable");
        assert!(read > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

/// Reads until the server closes the connection, which it must do in order.
pub fn rest(stream: &mut TcpStream) -> String {
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

pub fn until(what: &str, holds: impl Fn() -> bool) {
    let give_up_at = Instant::now() + WAIT_MOST;
    while !holds() {
        assert!(Instant::now() < give_up_at, "never came true: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
