//! Classification of an upstream's responses: the response to this request, a statement that the
//! request did not run, or an error.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::{full_listener, serve_connections};
use http_body_util::BodyExt;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode};
use mintridge_core::load::Upstream as Load;
use mintridge_core::notice::{Limit, Notice};
use mintridge_http::reply;
use mintridge_node::adapter::Adapter;
use mintridge_node::settings::Settings;
use mintridge_node::upstream::{Error, Received, Upstream};
use rstest::rstest;

/// Responses to the requests of one connection, in order; `ID` is replaced by the request's id.
type Script = &'static [&'static str];

const GOOD: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-length: 4\r\n\r\ngood";

struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

/// Starts a server that plays one script per connection.
fn start(scripts: &'static [Script]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    std::thread::spawn(move || {
        for script in scripts {
            let (stream, _) = listener.accept().expect("accepted");
            counter.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || play(stream, script));
        }
    });
    Server {
        address,
        connections,
    }
}

fn play(mut stream: TcpStream, script: Script) {
    for response in script {
        let Some(id) = read_id(&mut stream) else {
            return;
        };
        let response = response.replace("ID", &id);
        stream.write_all(response.as_bytes()).expect("written");
    }
    // At the end of its script the connection stays open until the client closes it, unless the end
    // of the last response is marked by closing the connection.
    if !script.last().is_some_and(|last| last.contains("close")) {
        let _ = stream.read(&mut [0; 16]);
    }
}

fn read_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let line = head.lines().find_map(|line| line.strip_prefix("x-id: "))?;
    Some(line.to_owned())
}

fn upstream() -> Upstream {
    let mut settings = Settings::default();
    settings.callers.request_header = Some("x-id".to_owned());
    settings.upstream.expected_instance_header = Some("x-expected".to_owned());
    settings.upstream.instance_header = Some("x-instance".to_owned());
    settings.upstream.not_run_header = Some("x-not-run".to_owned());
    settings.upstream.signature_header = Some("x-sign".to_owned());
    settings.upstream.load_header = Some("x-load".to_owned());
    settings.upstream.request_limit_header = Some("x-limit".to_owned());
    settings.upstream.leaving_header = Some("x-leaving".to_owned());
    settings.upstream.answer_held_most = 64;
    let adapter = Adapter {
        load: |value| {
            let slots = value.parse().ok()?;
            Some(Load {
                slots,
                ..Load::default()
            })
        },
        ..Adapter::default()
    };
    Upstream::new(&settings, adapter)
}

async fn send(upstream: &Upstream, server: &Server, id: &str) -> Result<Received, Error> {
    let request = Request::builder()
        .uri("/")
        .header("host", "a")
        .header("x-id", id)
        .body(reply::empty())
        .expect("a request");
    let deadline = Instant::now() + Duration::from_secs(30);
    upstream.send(server.address, request, deadline).await
}

/// Guards against an unknown outcome for a request that failed before a connection was open.
#[rstest]
#[case::deadline(false)]
#[case::restart(true)]
#[tokio::test]
async fn send_reports_that_nothing_was_sent_without_a_connection(#[case] restarted: bool) {
    let (address, _listener, _waiting) = full_listener();
    let upstream = upstream();
    let deadline = Instant::now() + Duration::from_millis(200);
    let sending = upstream.send(address, Request::new(reply::empty()), deadline);
    let restarting = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if restarted {
            upstream.reset_after_restart();
        }
    };
    let (sent, ()) = tokio::join!(sending, restarting);
    match sent.err() {
        Some(Error::Restarted { sent: false }) => assert!(restarted),
        Some(Error::NoConnectionInTime) => assert!(!restarted),
        other => panic!("{other:?}"),
    }
}

async fn body(received: Result<Received, Error>) -> String {
    match received {
        Ok(Received::Answer(_, body)) => {
            let bytes = body.collect().await.expect("a whole body").to_bytes();
            String::from_utf8_lossy(&bytes).into_owned()
        }
        Ok(Received::NotRun { .. }) => panic!("not run"),
        Err(error) => panic!("{error}"),
    }
}

/// Guards against forwarding a response that is not the upstream's response to this request: a late
/// response to another request, a response of a device in between, which is not signed, or one with
/// a content encoding that was not asked for. The request may have run.
#[rstest]
#[case::of_another_request(&[&["HTTP/1.1 200 OK\r\nx-id: other\r\nx-sign: s\r\ncontent-length: 4\r\n\r\nevil"] as Script] as &[Script])]
#[case::without_id(&[&["HTTP/1.1 200 OK\r\nx-sign: s\r\ncontent-length: 4\r\n\r\nevil"] as Script] as &[Script])]
#[case::without_signature(&[&["HTTP/1.1 200 OK\r\nx-id: ID\r\ncontent-length: 4\r\n\r\nevil"] as Script] as &[Script])]
#[case::encoded(&[&["HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nevil"] as Script] as &[Script])]
#[tokio::test]
async fn send_rejects_a_foreign_response(#[case] scripts: &'static [Script]) {
    let server = start(scripts);
    let received = send(&upstream(), &server, "1").await;
    assert!(matches!(received, Err(Error::Foreign)));
}

/// Guards against passing on a response with a content encoding that its request does not accept: it is
/// not the upstream's response.
#[rstest]
#[case::identity("identity", false)]
#[case::empty("", false)]
#[case::another("br, deflate", false)]
#[case::excluded("gzip;q=0, br", false)]
#[case::excluded_from_any("*, gzip; Q=0.000", false)]
#[case::named("br, GZIP;q=0.5", true)]
#[case::former_name("x-gzip", true)]
#[case::any("*", true)]
#[case::any_other("identity;q=0.5, *;q=0", false)]
#[tokio::test]
async fn send_accepts_an_encoding_that_was_asked_for(
    #[case] accept_encoding: &str,
    #[case] expected: bool,
) {
    const ENCODED: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-encoding: gzip\r\n\
        content-length: 4\r\n\r\ngzip";
    let server = start(&[&[ENCODED]]);
    let request = Request::builder()
        .uri("/")
        .header("host", "a")
        .header("x-id", "1")
        .header("accept-encoding", accept_encoding)
        .body(reply::empty())
        .expect("a request");
    let deadline = Instant::now() + Duration::from_secs(30);
    let received = upstream().send(server.address, request, deadline).await;
    assert_eq!(matches!(received, Ok(Received::Answer(..))), expected);
    assert_eq!(matches!(received, Err(Error::Foreign)), !expected);
}

/// Guards against treating a truncated or malformed response as complete: fewer bytes than
/// `Content-Length`, no final chunk, or no HTTP response at all.
#[rstest]
#[case::short(&[&["HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-length: 40\r\nconnection: close\r\n\r\nhalf"] as Script] as &[Script])]
#[case::chunks(&[&["HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n4\r\nhalf\r\n"] as Script] as &[Script])]
#[case::garbage(&[&["close this is no answer\r\n\r\n"] as Script] as &[Script])]
#[tokio::test]
async fn send_rejects_a_truncated_response(#[case] scripts: &'static [Script]) {
    let server = start(scripts);
    let received = send(&upstream(), &server, "1").await;
    assert!(matches!(received, Err(Error::Broken(_))));
}

/// A faulty upstream sends a second response after the first. The next caller must get its own
/// response over a new connection, or an error, but never the extra bytes.
#[tokio::test]
async fn send_after_a_second_response_returns_no_foreign_bytes() {
    const TWICE: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-length: 4\r\n\r\ngood\
        HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-length: 4\r\n\r\nevil";
    let server = start(&[&[TWICE, GOOD], &[GOOD], &[GOOD]]);
    let upstream = upstream();
    assert_eq!(body(send(&upstream, &server, "1").await).await, "good");
    for id in ["2", "3"] {
        match send(&upstream, &server, id).await {
            Ok(received) => assert_eq!(body(Ok(received)).await, "good"),
            Err(error) => assert!(matches!(error, Error::Foreign | Error::Broken(_))),
        }
    }
}

/// A response without a length ends when its connection is closed, and is complete.
#[tokio::test]
async fn send_accepts_a_response_that_ends_with_its_connection() {
    let server =
        start(&[&["HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\nconnection: close\r\n\r\ngood"]]);
    assert_eq!(body(send(&upstream(), &server, "1").await).await, "good");
}

/// A connection is reused after a response and after a refusal, and a body longer than the buffer
/// limit is forwarded whole.
#[tokio::test]
async fn send_reuses_a_healthy_connection() {
    const NOT_RUN: &str =
        "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\nx-load: 12\r\ncontent-length: 0\r\n\r\n";
    const LONG: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-length: 80\r\n\r\n\
        01234567890123456789012345678901234567890123456789012345678901234567890123456789";
    let server = start(&[&[GOOD, NOT_RUN, LONG, GOOD]]);
    let upstream = upstream();
    assert_eq!(body(send(&upstream, &server, "1").await).await, "good");
    let refused = send(&upstream, &server, "2").await;
    let Ok(Received::NotRun {
        misdirected, load, ..
    }) = refused
    else {
        panic!("not refused");
    };
    assert!(!misdirected);
    assert_eq!(load.map(|load| load.slots), Some(12));
    assert_eq!(body(send(&upstream, &server, "3").await).await.len(), 80);
    assert_eq!(body(send(&upstream, &server, "4").await).await, "good");
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

const CHUNK: usize = 64 * 1024;

/// Returns one chunk of a body.
fn chunk() -> Vec<u8> {
    let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'x', CHUNK));
    chunk.extend(b"\r\n");
    chunk
}

/// Serves each connection with this head, followed by `part` without end. Returns the address and the
/// number of bytes written so far.
fn serve_endless(head: &'static str, part: Vec<u8>) -> (SocketAddr, Arc<AtomicUsize>) {
    let written = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&written);
    let address = serve_connections(move |mut stream| {
        let id = read_id(&mut stream).unwrap_or_default();
        let mut next = head.replace("ID", &id).into_bytes();
        while stream.write_all(&next).is_ok() {
            counter.fetch_add(next.len(), Ordering::SeqCst);
            next.clone_from(&part);
        }
    });
    (address, written)
}

/// Far more than the buffers of a connection hold, far less than an upstream writes in the time of a
/// test.
const MAX_ENDLESS_BYTES: usize = 30_000_000;

/// Guards against a refusal that waits until the deadline for the end of a body that has none, and
/// against reading that body into memory.
#[tokio::test]
async fn send_reports_a_refusal_whose_body_does_not_end() {
    let (address, written) = serve_endless(
        "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        chunk(),
    );
    let server = Server {
        address,
        connections: Arc::default(),
    };
    let started_at = Instant::now();
    let refused = send(&upstream(), &server, "1").await;
    assert!(matches!(refused, Ok(Received::NotRun { .. })));
    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let bytes = written.load(Ordering::SeqCst);
    assert!(bytes < MAX_ENDLESS_BYTES, "{bytes} bytes");
}

/// Guards against reading the response to a health check into memory if it does not end.
#[tokio::test]
async fn get_rejects_a_response_that_does_not_end() {
    let (address, written) = serve_endless(
        "HTTP/1.1 200 OK\r\nx-instance: i-1\r\ntransfer-encoding: chunked\r\n\r\n",
        chunk(),
    );
    let started_at = Instant::now();
    let checked = upstream().get(address, "/health").await;
    assert!(matches!(checked, Err(Error::Endless)), "{checked:?}");
    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let bytes = written.load(Ordering::SeqCst);
    assert!(bytes < MAX_ENDLESS_BYTES, "{bytes} bytes");
}

/// Guards against interim responses without end, which keep the node's thread busy until the deadline
/// while all its other requests wait.
#[tokio::test]
async fn send_rejects_interim_responses_without_end() {
    let (address, written) = serve_endless("", b"HTTP/1.1 103 Early\r\n\r\n".repeat(1_000));
    let server = Server {
        address,
        connections: Arc::default(),
    };
    let started_at = Instant::now();
    let received = send(&upstream(), &server, "1").await;
    assert!(matches!(received, Err(Error::Broken(_))));
    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(15), "{took:?}");
    let bytes = written.load(Ordering::SeqCst);
    assert!(bytes < MAX_ENDLESS_BYTES, "{bytes} bytes");
}

/// Guards against a health check that keeps the node's thread busy in the same way.
#[tokio::test]
async fn check_rejects_interim_responses_without_end() {
    let (address, written) = serve_endless("", b"HTTP/1.1 103 Early\r\n\r\n".repeat(1_000));
    let checked = upstream().check(address, "/health").await;
    assert!(matches!(checked, Err(Error::Broken(_))), "{checked:?}");
    let bytes = written.load(Ordering::SeqCst);
    assert!(bytes < MAX_ENDLESS_BYTES, "{bytes} bytes");
}

/// A health check opens a connection of its own and needs the head of the response alone.
#[tokio::test]
async fn check_returns_the_head_on_a_new_connection() {
    const HEALTH: &str = "HTTP/1.1 503 Leaving\r\nx-instance: i-1\r\ncontent-length: 9\r\n\r\nhalf";
    let (address, _) = serve_endless(HEALTH, Vec::new());
    for _ in 0..2 {
        let parts = upstream().check(address, "/health").await.expect("a head");
        assert_eq!(parts.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(parts.headers["x-instance"], "i-1");
    }
}

/// Guards against rejecting a few interim responses before the actual one.
#[tokio::test]
async fn send_skips_interim_responses() {
    const AFTER_INTERIM: &str = "HTTP/1.1 103 Early\r\nlink: a\r\n\r\n\
        HTTP/1.1 100 Continue\r\n\r\n\
        HTTP/1.1 200 OK\r\nx-id: ID\r\nx-sign: s\r\ncontent-length: 4\r\n\r\ngood";
    let server = start(&[&[AFTER_INTERIM, AFTER_INTERIM]]);
    let upstream = upstream();
    for id in ["1", "2"] {
        assert_eq!(body(send(&upstream, &server, id).await).await, "good");
    }
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

/// The upstream's address now belongs to another instance, which rejects the request without
/// running it.
#[tokio::test]
async fn send_reports_another_instance() {
    let server = start(&[&[
        "HTTP/1.1 421 Misdirected\r\nx-id: ID\r\nx-instance: i-2\r\ncontent-length: 0\r\n\r\n",
    ]]);
    let received = send(&upstream(), &server, "1").await;
    let Ok(Received::NotRun {
        instance,
        misdirected,
        ..
    }) = received
    else {
        panic!("not refused");
    };
    assert!(misdirected);
    assert_eq!(instance.as_deref(), Some("i-2"));
}

/// An error response of the upstream is forwarded unchanged, even without a signature header.
#[tokio::test]
async fn send_forwards_an_error_response() {
    let server = start(&[&["HTTP/1.1 500 Oh\r\nx-id: ID\r\ncontent-length: 3\r\n\r\nbad"]]);
    let Ok(Received::Answer(parts, _)) = send(&upstream(), &server, "1").await else {
        panic!("no answer");
    };
    assert_eq!(parts.status, StatusCode::INTERNAL_SERVER_ERROR);
}

#[rstest]
#[case::nothing(&[], false, Limit::Absent)]
#[case::limit(&[("x-limit", "5.8")], false, Limit::Named(5.8))]
#[case::leaving(&[("x-leaving", "1")], true, Limit::Absent)]
#[case::both(&[("x-leaving", "1"), ("x-limit", "0")], true, Limit::Named(0.0))]
#[case::malformed(&[("x-limit", "-1")], false, Limit::Unreadable)]
#[case::two_limits(&[("x-limit", "5"), ("x-limit", "6")], false, Limit::Unreadable)]
fn notice_reads_what_the_upstream_states(
    #[case] headers: &[(&'static str, &'static str)],
    #[case] leaving: bool,
    #[case] limit: Limit,
) {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    assert_eq!(upstream().notice(&map), Notice { leaving, limit });
}
