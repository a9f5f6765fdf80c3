//! Pipelined requests: sent on one connection without waiting for responses.

mod common;

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{
    PAUSED, WAIT_TIMEOUT, bodies, connect, get, read_responses, read_to_close, read_until, start,
    start_with, start_with_header_timeout, wait_until,
};
use mintridge_http::server::{Limits, Phase};
use rstest::rstest;

/// Guards against a dropped response when a request takes longer than the header timeout and its
/// caller sends nothing else: the timeout of the next request must not end this one.
#[test]
fn serve_answers_a_request_longer_than_the_header_timeout() {
    let server = start_with_header_timeout(Duration::from_millis(100));
    let mut stream = connect(&server);
    stream.write_all(get("600").as_bytes()).expect("sent");
    let text = read_responses(&mut stream, 1);
    assert_eq!(bodies(&text), ["600:"]);
    assert_eq!(server.counters.dropped.load(Ordering::SeqCst), 0);
}

/// A caller sends a slow request and two quick ones at once. All three are handled concurrently,
/// and the responses are in the order of the requests.
#[test]
fn serve_handles_pipelined_requests_concurrently() {
    let server = start();
    let mut stream = connect(&server);
    let requests = [get("150"), get("1"), get("2")].concat();
    stream.write_all(requests.as_bytes()).expect("sent");
    let text = read_responses(&mut stream, 3);
    assert_eq!(bodies(&text), ["150:", "1:", "2:"]);
    assert_eq!(server.counters.max_running.load(Ordering::SeqCst), 3);
}

/// Each request gets its own body, whether it has a content length or is chunked, even if further
/// requests follow.
#[test]
fn serve_gives_each_request_its_own_body() {
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
    let text = read_responses(&mut stream, 3);
    assert_eq!(bodies(&text), ["20:first", "1:second", "2:"]);
}

/// A caller that expects `100 Continue` before it sends its body receives it.
#[test]
fn serve_sends_100_continue() {
    let server = start();
    let mut stream = connect(&server);
    let head = "POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("sent");
    let mut interim = [0; 21];
    stream
        .read_exact(&mut interim)
        .expect("an interim response");
    assert!(interim.starts_with(b"HTTP/1.1 100"));
    stream.write_all(b"body").expect("sent");
    assert_eq!(bodies(&read_responses(&mut stream, 1)), ["1:body"]);
}

/// Guards against work for a caller that has disconnected: it closes the connection while three of
/// its requests are in progress, and all of them are dropped.
#[test]
fn serve_drops_all_requests_of_a_disconnected_caller() {
    let server = start();
    let mut stream = connect(&server);
    let requests = [get("60000"), get("60001"), get("60002")].concat();
    stream.write_all(requests.as_bytes()).expect("sent");
    wait_until("all run", || {
        server.counters.running.load(Ordering::SeqCst) == 3
    });
    drop(stream);
    wait_until("all are dropped", || {
        server.counters.dropped.load(Ordering::SeqCst) == 3
    });
}

/// In a planned stop, every request that was read is answered, and only the last response carries
/// `connection: close`.
#[rstest]
#[case::leaving(Phase::Leaving)]
#[case::closing(Phase::Closing { give_up_at: Instant::now() + WAIT_TIMEOUT })]
fn serve_answers_received_requests_before_it_closes(#[case] phase: Phase) {
    let server = start();
    let mut stream = connect(&server);
    let requests = [get("100"), get("120")].concat();
    stream.write_all(requests.as_bytes()).expect("sent");
    wait_until("both run", || {
        server.counters.running.load(Ordering::SeqCst) == 2
    });
    server.phase.send_replace(phase);
    let text = read_to_close(&mut stream);
    assert_eq!(bodies(&text), ["100:", "120:"]);
    assert_eq!(text.matches("connection: close").count(), 1);
    let last = text.find("connection: close").expect("a close header");
    assert!(last > text.find("<100:>").expect("answered"));
}

/// Bytes that can't be parsed as a request get an error response.
#[test]
fn serve_rejects_garbage() {
    let server = start();
    let mut stream = connect(&server);
    stream
        .write_all(b"no request at all\r\n\r\n")
        .expect("sent");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
}

/// Sends bytes while the body of a response to an earlier request is still arriving. Returns what the
/// caller received by `until`, which is part of it.
fn send_within_a_response(bytes: &str, until: &str) -> String {
    let server = start();
    let mut stream = connect(&server);
    stream.write_all(get(PAUSED).as_bytes()).expect("sent");
    let mut text = read_until(&mut stream, "<paused:");
    stream.write_all(bytes.as_bytes()).expect("sent");
    text.push_str(&read_until(&mut stream, until));
    text
}

/// Guards against an interim response or a rejection that is written into the body of the response
/// before it, where it passes as a part of that body.
#[rstest]
#[case::interim(
    "PUT /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n".to_owned(),
    "HTTP/1.1 100"
)]
#[case::too_many_fields(
    format!("GET /1 HTTP/1.1\r\nhost: a\r\n{}\r\n", "x-field: 1\r\n".repeat(110)),
    "HTTP/1.1 431"
)]
#[case::garbage("no request at all\r\n\r\n".to_owned(), "HTTP/1.1 400")]
fn serve_writes_nothing_into_a_response(#[case] bytes: String, #[case] follows: &str) {
    let text = send_within_a_response(&bytes, follows);
    assert_eq!(bodies(&text), ["paused:whole"], "{text}");
    let response = text.find("whole>").expect("a whole response");
    assert!(text.find(follows).is_some_and(|at| at > response), "{text}");
}

/// Guards against a connection that stalls once an interim response has waited for its turn.
#[test]
fn serve_reads_a_body_after_a_late_interim_response() {
    let server = start();
    let mut stream = connect(&server);
    let head = "PUT /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
    for _ in 0..3 {
        stream.write_all(get(PAUSED).as_bytes()).expect("sent");
        read_until(&mut stream, "<paused:");
        stream.write_all(head.as_bytes()).expect("sent");
        read_until(&mut stream, "HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"body").expect("sent");
        assert_eq!(bodies(&read_responses(&mut stream, 1)), ["1:body"]);
    }
}

/// Two callers send many requests behind one that takes long. Guards against responses that pile up in
/// memory until it is their turn.
#[test]
fn serve_handles_only_so_many_requests_ahead_of_their_turn() {
    const AHEAD: usize = 3;
    let server = start_with(Limits {
        ahead: AHEAD,
        ..Limits::default()
    });
    let mut streams = [connect(&server), connect(&server)];
    for stream in &mut streams {
        let requests = [get("1000"), get("1").repeat(20)].concat();
        stream.write_all(requests.as_bytes()).expect("sent");
    }
    std::thread::sleep(Duration::from_millis(500));
    let started = server.counters.started.load(Ordering::SeqCst);
    assert_eq!(started, streams.len() + AHEAD);
    for stream in &mut streams {
        let text = read_responses(stream, 21);
        let expected = [vec!["1000:"], vec!["1:"; 20]].concat();
        assert_eq!(bodies(&text), expected);
    }
}
