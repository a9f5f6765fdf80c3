//! Bodies that nobody reads to their end, and what their callers' connections are worth afterwards.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::{REFUSED, answers, bodies, connect, get, rest, start, start_waiting};
use rstest::rstest;

const SAYS_CLOSE: &str = "connection: close";

fn post(path: &str, length: usize) -> String {
    format!("POST /{path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n")
}

/// Sends the request and its body, the body a little later than the head.
fn send(stream: &mut TcpStream, head: &str, body: &[u8]) {
    stream.write_all(head.as_bytes()).expect("sent");
    std::thread::sleep(Duration::from_millis(20));
    stream.write_all(body).expect("sent");
}

/// A request is refused before any of its body was read. The answer says nothing of an end, so
/// its caller sends the next request on the same connection, and that one is answered as well.
#[rstest]
#[case::small(10)]
#[case::large(40_000)]
#[case::larger_than_a_socket_takes_at_once(800_000)]
fn serve_reads_a_body_that_nobody_wanted(#[case] length: usize) {
    let server = start();
    let mut stream = connect(&server);
    for _ in 0..5 {
        send(&mut stream, &post(REFUSED, length), &vec![b'x'; length]);
        let text = answers(&mut stream, 1);
        assert_eq!(bodies(&text), ["refused:"]);
        assert!(!text.contains(SAYS_CLOSE), "{text}");
        stream.write_all(get("1").as_bytes()).expect("sent");
        assert_eq!(bodies(&answers(&mut stream, 1)), ["1:"]);
    }
}

/// A body is too long to be read for nothing, or nobody knows how long it is. The refusal says
/// that the connection ends, so that its caller sends nothing else on it.
#[rstest]
#[case::long(post(REFUSED, 500_000_000))]
#[case::of_unknown_length(
    format!("POST /{REFUSED} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
)]
fn serve_says_that_it_ends_before_a_long_body(#[case] head: String) {
    let server = start();
    let mut stream = connect(&server);
    stream.write_all(head.as_bytes()).expect("sent");
    let text = rest(&mut stream);
    assert_eq!(bodies(&text), ["refused:"]);
    assert!(text.contains(SAYS_CLOSE), "{text}");
}

/// A caller waits to be told to send its body, and its request is refused instead. It may send
/// the body all the same or not; nobody can tell, so the refusal says that the connection ends,
/// and nothing follows it.
#[test]
fn serve_asks_for_no_body_after_a_refusal() {
    let server = start();
    let mut stream = connect(&server);
    let head = format!(
        "POST /{REFUSED} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let text = rest(&mut stream);
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains(SAYS_CLOSE), "{text}");
    assert!(text.ends_with("<refused:>"), "{text}");
}

/// A request takes longer than the next one may be awaited: from then on nothing more is read
/// from its caller. The answer says so, or the caller's next request would be lost.
#[test]
fn serve_says_that_it_ends_after_the_time_for_a_header() {
    let server = start_waiting(Duration::from_millis(100));
    let mut stream = connect(&server);
    stream.write_all(get("600").as_bytes()).expect("sent");
    let text = rest(&mut stream);
    assert_eq!(bodies(&text), ["600:"]);
    assert!(text.contains(SAYS_CLOSE), "{text}");
}

/// Guards against a refusal that is lost since its caller takes long to send the rest of its body.
#[test]
fn serve_delivers_a_refusal_to_who_sends_slowly() {
    let server = start();
    let mut stream = connect(&server);
    let part = vec![7; 64 * 1024];
    let parts = 40;
    stream
        .write_all(post(REFUSED, parts * part.len()).as_bytes())
        .expect("sent");
    for _ in 0..parts {
        std::thread::sleep(Duration::from_millis(40));
        stream.write_all(&part).expect("taken");
    }
    let text = rest(&mut stream);
    assert!(text.contains(SAYS_CLOSE), "{text}");
    assert!(text.ends_with("<refused:>"), "{text}");
}

/// Guards against a connection that ends right behind an answer that took nearly the time for a header.
#[test]
fn serve_gives_the_time_for_a_header_after_the_answer() {
    let server = start_waiting(Duration::from_millis(400));
    let mut stream = connect(&server);
    stream.write_all(get("300").as_bytes()).expect("sent");
    let text = answers(&mut stream, 1);
    assert!(!text.contains(SAYS_CLOSE), "{text}");
    std::thread::sleep(Duration::from_millis(200));
    stream.write_all(get("1").as_bytes()).expect("sent");
    assert_eq!(bodies(&answers(&mut stream, 1)), ["1:"]);
}

/// A caller sends a proper request and behind it bytes that are none. The first is answered,
/// and the answer says that nothing behind it was read.
#[test]
fn serve_answers_what_came_before_garbage() {
    let server = start();
    let mut stream = connect(&server);
    let bytes = format!("{}no request at all\r\n\r\n", get("200"));
    stream.write_all(bytes.as_bytes()).expect("sent");
    let text = rest(&mut stream);
    assert_eq!(bodies(&text), ["200:"]);
    assert!(text.contains(SAYS_CLOSE), "{text}");
}
