//! Requests that follow each other on one connection without waiting for answers.

mod common;

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{WAIT_MOST, answers, bodies, connect, get, rest, start, start_waiting, until};
use mintridge_http::server::Phase;
use rstest::rstest;

/// A request takes longer than a header section may take to arrive, and its caller sends
/// nothing else meanwhile. The time for the next request runs out; the answer to this one
/// still comes, and only then does the connection end.
#[test]
fn serve_answers_a_request_longer_than_the_time_for_a_header() {
    let server = start_waiting(Duration::from_millis(100));
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
    let text = rest(&mut stream);
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
