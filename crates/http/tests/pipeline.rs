//! Requests that follow each other on one connection without waiting for answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use mintridge_http::handler::{Answer, Function};
use mintridge_http::server::{Limits, Phase, Protocol, serve};
use mintridge_http::{Body, reply};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Generous limit on any wait.
const WAIT_MOST: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Seen {
    running: AtomicUsize,
    most: AtomicUsize,
    dropped: AtomicUsize,
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

/// Waits as many milliseconds as the path says and answers the path and the body.
async fn answer(seen: Arc<Seen>, request: Request<Body>) -> Response<Body> {
    let running = seen.running.fetch_add(1, Ordering::SeqCst) + 1;
    seen.most.fetch_max(running, Ordering::SeqCst);
    let mut running = Running(seen, false);
    let path = request.uri().path().trim_start_matches('/').to_owned();
    let body = request.into_body().collect().await.expect("a whole body");
    let millis = path.parse().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(millis)).await;
    running.1 = true;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    reply::text(StatusCode::OK, format!("<{path}:{body}>"))
}

struct Server {
    address: SocketAddr,
    seen: Arc<Seen>,
    phase: watch::Sender<Phase>,
}

fn start() -> Server {
    start_with(Limits::default())
}

fn start_with(limits: Limits) -> Server {
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

fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("connected");
    stream.set_read_timeout(Some(WAIT_MOST)).expect("set");
    stream
}

fn get(path: &str) -> String {
    format!("GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads until this many answers have come.
fn answers(stream: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    let mut bytes = [0; 1024];
    while text.matches('>').count() < count {
        let read = stream.read(&mut bytes).expect("readable");
        assert!(read > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

fn bodies(text: &str) -> Vec<String> {
    let parts = text.split('<').skip(1);
    parts
        .filter_map(|part| part.split('>').next())
        .map(ToOwned::to_owned)
        .collect()
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let give_up_at = Instant::now() + WAIT_MOST;
    while !holds() {
        assert!(Instant::now() < give_up_at, "never came true: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A request takes longer than a header section may take to arrive, and its caller sends
/// nothing else meanwhile. The time for the next request runs out; the answer to this one
/// still comes, and only then does the connection end.
#[test]
fn serve_answers_a_request_longer_than_the_time_for_a_header() {
    let server = start_with(Limits {
        header_within: Duration::from_millis(100),
        ..Limits::default()
    });
    let mut stream = connect(&server);
    stream.write_all(get("600").as_bytes()).expect("sent");
    let text = answers(&mut stream, 1);
    assert_eq!(bodies(&text), ["600:"]);
    assert_eq!(server.seen.dropped.load(Ordering::SeqCst), 0);
}

/// A caller sends a slow request and two quick ones at once. All three are worked on
/// together, and the answers come in the order of the requests.
#[test]
fn serve_works_on_pipelined_requests_together() {
    let server = start();
    let mut stream = connect(&server);
    let requests = [get("150"), get("1"), get("2")].concat();
    stream.write_all(requests.as_bytes()).expect("sent");
    let text = answers(&mut stream, 3);
    assert_eq!(bodies(&text), ["150:", "1:", "2:"]);
    assert_eq!(server.seen.most.load(Ordering::SeqCst), 3);
}

/// Bodies stay with their requests, with a length or in chunks, also with requests behind.
#[test]
fn serve_keeps_bodies_apart() {
    let server = start();
    let mut stream = connect(&server);
    let requests = [
        "POST /20 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nfirst".to_owned(),
        "POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n"
            .to_owned(),
        get("2"),
    ];
    stream
        .write_all(requests.concat().as_bytes())
        .expect("sent");
    let text = answers(&mut stream, 3);
    assert_eq!(bodies(&text), ["20:first", "1:second", "2:"]);
}

/// A caller that waits to be told to send its body is told.
#[test]
fn serve_tells_a_caller_to_go_on() {
    let server = start();
    let mut stream = connect(&server);
    let head = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("sent");
    let mut told = [0; 21];
    stream.read_exact(&mut told).expect("told");
    assert!(told.starts_with(b"HTTP/1.1 100"));
    stream.write_all(b"body").expect("sent");
    assert_eq!(bodies(&answers(&mut stream, 1)), ["1:body"]);
}

/// The caller closes its connection while three of its requests run: all are dropped, so
/// that nothing works on for nobody.
#[test]
fn serve_drops_all_requests_of_a_caller_that_left() {
    let server = start();
    let mut stream = connect(&server);
    let requests = [get("60000"), get("60001"), get("60002")].concat();
    stream.write_all(requests.as_bytes()).expect("sent");
    until("all run", || {
        server.seen.running.load(Ordering::SeqCst) == 3
    });
    drop(stream);
    until("all are dropped", || {
        server.seen.dropped.load(Ordering::SeqCst) == 3
    });
}

/// A planned stop: every request that was read is answered, the last answer says that the
/// connection closes, and then it does.
#[rstest]
#[case::leaving(Phase::Leaving)]
#[case::closing(Phase::Closing { give_up_at: Instant::now() + WAIT_MOST })]
fn serve_answers_what_was_read_before_it_closes(#[case] phase: Phase) {
    let server = start();
    let mut stream = connect(&server);
    let requests = [get("100"), get("120")].concat();
    stream.write_all(requests.as_bytes()).expect("sent");
    until("both run", || {
        server.seen.running.load(Ordering::SeqCst) == 2
    });
    server.phase.send_replace(phase);
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("closed in order");
    assert_eq!(bodies(&text), ["100:", "120:"]);
    assert_eq!(text.matches("connection: close").count(), 1);
    let last = text.find("connection: close").expect("said");
    assert!(last > text.find("<100:>").expect("answered"));
}

/// What cannot be read as a request is refused, not left without an answer.
#[test]
fn serve_refuses_garbage() {
    let server = start();
    let mut stream = connect(&server);
    stream
        .write_all(b"no request at all\r\n\r\n")
        .expect("sent");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
}
