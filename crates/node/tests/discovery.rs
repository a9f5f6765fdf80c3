//! A node that starts beside a running upstream finds out who it is.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mintridge_node::adapter::Adapter;
use mintridge_node::node;
use mintridge_node::settings::Settings;
use rstest::rstest;

const WAIT_MOST: Duration = Duration::from_secs(30);
/// How long the node waits for an answer, and between two questions.
const ASK_AGAIN: Duration = Duration::from_millis(200);
const READY: &str = "HTTP/1.1 200 OK\r\nx-instance: i-7\r\nx-load: {\"slots\":9}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const NOT_READY: &str =
    "HTTP/1.1 503 No\r\nx-instance: i-7\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// An upstream that answers one health check with each of these, then with the last.
fn upstream(answers: &'static [&'static str]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let asked = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&asked);
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let number = counted.fetch_add(1, Ordering::SeqCst);
            let _ = stream.read(&mut [0; 1024]);
            let answer = answers[number.min(answers.len() - 1)];
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    (address, asked)
}

/// A node starts again beside an upstream that goes on: it takes requests for it at once,
/// before the upstream's next announcement, and asks no more once it knows.
///
/// On a busy machine an answer may take longer than the 200 ms for which the node waits for it,
/// and it asks again: one question more for each such time that has passed, and none at all after
/// it knows.
#[rstest]
#[case::ready_at_once(&[READY], 1)]
#[case::ready_later(&[NOT_READY, READY], 2)]
fn start_finds_the_upstream(#[case] answers: &'static [&'static str], #[case] questions: usize) {
    let (address, asked) = upstream(answers);
    let mut settings = Settings::default();
    settings.callers.origin = "service".to_owned();
    settings.upstream.address = Some(address);
    settings.upstream.instance_header = Some("x-instance".to_owned());
    settings.upstream.load_header = Some("x-load".to_owned());
    let started_at = Instant::now();
    let node = node::start(settings, Adapter::default()).expect("it starts");
    let give_up_at = Instant::now() + WAIT_MOST;
    loop {
        let guarded = node.context().latest.guarded.borrow().clone();
        if guarded.closed.is_none() && guarded.load.limit == 9 {
            break;
        }
        assert!(Instant::now() < give_up_at, "never found: {guarded:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
    let known = asked.load(Ordering::SeqCst);
    let usual = ASK_AGAIN * u32::try_from(questions - 1).expect("few");
    let late = started_at.elapsed().saturating_sub(usual);
    let repeated = usize::try_from(late.as_millis() / ASK_AGAIN.as_millis()).expect("few");
    let expected = questions..=questions + repeated;
    assert!(expected.contains(&known), "{known} questions, {expected:?}");
    std::thread::sleep(ASK_AGAIN * 2);
    assert_eq!(asked.load(Ordering::SeqCst), known);
    node.end();
}
