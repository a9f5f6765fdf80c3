//! A node that starts beside a running upstream discovers its instance.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mintridge_node::adapter::Adapter;
use mintridge_node::node;
use mintridge_node::settings::Settings;
use rstest::rstest;

const MAX_WAIT: Duration = Duration::from_secs(30);
/// Timeout of the node's health checks and pause between two of them.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const READY: &str = "HTTP/1.1 200 OK\r\nx-instance: i-7\r\nx-load: {\"slots\":9}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
const NOT_READY: &str =
    "HTTP/1.1 503 No\r\nx-instance: i-7\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Starts an upstream that answers health checks with each of `answers` in turn and then repeats
/// the last one. Returns its address and the number of health checks so far.
fn upstream(answers: &'static [&'static str]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let checks = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&checks);
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let number = counter.fetch_add(1, Ordering::SeqCst);
            let _ = stream.read(&mut [0; 1024]);
            let answer = answers[number.min(answers.len() - 1)];
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    (address, checks)
}

/// A node restarts beside a running upstream: it must accept requests for it at once, before the
/// upstream's next announcement, and send no more health checks after the discovery.
///
/// On a busy machine a response may take longer than the timeout of 200 ms, and the node repeats
/// the health check: one more for each 200 ms that have passed, and none after the discovery.
#[rstest]
#[case::ready_at_once(&[READY], 1)]
#[case::ready_later(&[NOT_READY, READY], 2)]
fn start_discovers_the_upstream(
    #[case] answers: &'static [&'static str],
    #[case] min_checks: usize,
) {
    let (address, checks) = upstream(answers);
    let mut settings = Settings::default();
    settings.callers.origin = "service".to_owned();
    settings.upstream.address = Some(address);
    settings.upstream.instance_header = Some("x-instance".to_owned());
    settings.upstream.load_header = Some("x-load".to_owned());
    let started_at = Instant::now();
    let node = node::start(settings, Adapter::default()).expect("it starts");
    let give_up_at = Instant::now() + MAX_WAIT;
    loop {
        let guarded = node.context().latest.guarded.borrow().clone();
        if guarded.closed.is_none() && guarded.load.limit == 9 {
            break;
        }
        assert!(Instant::now() < give_up_at, "never discovered: {guarded:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
    let sent = checks.load(Ordering::SeqCst);
    let min_duration = CHECK_INTERVAL * u32::try_from(min_checks - 1).expect("few");
    let delay = started_at.elapsed().saturating_sub(min_duration);
    let repeated = usize::try_from(delay.as_millis() / CHECK_INTERVAL.as_millis()).expect("few");
    let expected = min_checks..=min_checks + repeated;
    assert!(
        expected.contains(&sent),
        "{sent} health checks, expected {expected:?}"
    );
    std::thread::sleep(CHECK_INTERVAL * 2);
    assert_eq!(checks.load(Ordering::SeqCst), sent);
    node.terminate();
}
