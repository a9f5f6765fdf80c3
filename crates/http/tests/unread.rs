//! Request bodies that the handler doesn't read to the end, and reuse of their connections.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{
    BROKEN, REFUSED, bodies, connect, get, read_responses, read_to_close, start,
    start_with_header_timeout,
};
use rstest::rstest;

const CLOSE_HEADER: &str = "connection: close";

fn post(path: &str, length: usize) -> String {
    format!("POST /{path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n")
}

/// Sends the header section of a request, and its body a little later.
fn send(stream: &mut TcpStream, head: &str, body: &[u8]) {
    stream.write_all(head.as_bytes()).expect("sent");
    std::thread::sleep(Duration::from_millis(20));
    stream.write_all(body).expect("sent");
}

/// Guards against the loss of a request that follows a refused one whose body was not read. The
/// refusal lacks `connection: close`, so the caller reuses the connection.
#[rstest]
#[case::small(10)]
#[case::large(40_000)]
#[case::larger_than_a_socket_takes_at_once(800_000)]
fn serve_discards_a_short_unread_body(#[case] length: usize) {
    let server = start();
    let mut stream = connect(&server);
    for _ in 0..5 {
        send(&mut stream, &post(REFUSED, length), &vec![b'x'; length]);
        let text = read_responses(&mut stream, 1);
        assert_eq!(bodies(&text), ["refused:"]);
        assert!(!text.contains(CLOSE_HEADER), "{text}");
        stream.write_all(get("1").as_bytes()).expect("sent");
        assert_eq!(bodies(&read_responses(&mut stream, 1)), ["1:"]);
    }
}

/// Guards against the reuse of a connection whose unread body is too long to be discarded, or of
/// unknown length: the refusal must carry `connection: close`.
#[rstest]
#[case::long(post(REFUSED, 500_000_000))]
#[case::of_unknown_length(
    format!("POST /{REFUSED} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
)]
fn serve_announces_close_before_a_long_unread_body(#[case] head: String) {
    let server = start();
    let mut stream = connect(&server);
    stream.write_all(head.as_bytes()).expect("sent");
    let text = read_to_close(&mut stream);
    assert_eq!(bodies(&text), ["refused:"]);
    assert!(text.contains(CLOSE_HEADER), "{text}");
}

/// A request that expects `100 Continue` is refused instead. Its caller may or may not send the
/// body, so the refusal carries `connection: close`, and no `100 Continue` is sent.
#[test]
fn serve_sends_no_100_continue_with_a_refusal() {
    let server = start();
    let mut stream = connect(&server);
    let head = format!(
        "POST /{REFUSED} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let text = read_to_close(&mut stream);
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains(CLOSE_HEADER), "{text}");
    assert!(text.ends_with("<refused:>"), "{text}");
}

/// Guards against the loss of the next request when one takes longer than the header timeout. No
/// further request is read after the timeout, so the response must carry `connection: close`.
#[test]
fn serve_announces_close_after_the_header_timeout() {
    let server = start_with_header_timeout(Duration::from_millis(100));
    let mut stream = connect(&server);
    stream.write_all(get("600").as_bytes()).expect("sent");
    let text = read_to_close(&mut stream);
    assert_eq!(bodies(&text), ["600:"]);
    assert!(text.contains(CLOSE_HEADER), "{text}");
}

/// Guards against the loss of a refusal whose caller takes long to send the remainder of its body.
#[test]
fn serve_delivers_a_refusal_to_a_slow_sender() {
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
    let text = read_to_close(&mut stream);
    assert!(text.contains(CLOSE_HEADER), "{text}");
    assert!(text.ends_with("<refused:>"), "{text}");
}

/// Guards against a connection that closes right after a response that took nearly as long as the
/// header timeout.
#[test]
fn serve_starts_the_header_timeout_after_the_response() {
    let server = start_with_header_timeout(Duration::from_millis(400));
    let mut stream = connect(&server);
    stream.write_all(get("300").as_bytes()).expect("sent");
    let text = read_responses(&mut stream, 1);
    assert!(!text.contains(CLOSE_HEADER), "{text}");
    std::thread::sleep(Duration::from_millis(200));
    stream.write_all(get("1").as_bytes()).expect("sent");
    assert_eq!(bodies(&read_responses(&mut stream, 1)), ["1:"]);
}

/// A valid request is followed by bytes that can't be parsed. The request is answered, and the
/// response carries `connection: close`.
#[test]
fn serve_answers_a_request_followed_by_garbage() {
    let server = start();
    let mut stream = connect(&server);
    let bytes = format!("{}no request at all\r\n\r\n", get("200"));
    stream.write_all(bytes.as_bytes()).expect("sent");
    let text = read_to_close(&mut stream);
    assert_eq!(bodies(&text), ["200:"]);
    assert!(text.contains(CLOSE_HEADER), "{text}");
}

/// A response breaks off while its caller still sends. Guards against a caller that learns of it only
/// once the node has read all that it sends.
#[test]
fn serve_ends_a_broken_response_before_it_lingers() {
    let server = start();
    let mut stream = connect(&server);
    let mut sending = stream.try_clone().expect("a second handle");
    stream.write_all(get(BROKEN).as_bytes()).expect("sent");
    let ended = Arc::new(AtomicBool::new(false));
    let has_ended = Arc::clone(&ended);
    let sender = std::thread::spawn(move || {
        while !has_ended.load(Ordering::Relaxed) && sending.write_all(b"GET").is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    let started_at = Instant::now();
    let text = read_to_close(&mut stream);
    let took = started_at.elapsed();
    ended.store(true, Ordering::Relaxed);
    sender.join().expect("the sender ends");
    assert!(text.contains("<begun"), "{text}");
    assert!(took < Duration::from_secs(10), "{took:?}");
}
