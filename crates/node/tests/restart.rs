//! Tests for upstreams that restart under the same id and for announcements by other senders.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::full_listener;
use mintridge_bench::caller::{Call, Caller, Reply};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_node::adapter::Adapter;
use mintridge_node::announcement::{Announcement, PATH};
use mintridge_node::node::{self, Node};
use mintridge_node::settings::Settings;
use mintridge_standin::scene::wait_for;
use rstest::rstest;

const MAX_WAIT: Duration = Duration::from_secs(30);
const INSTANCE: &str = "i-7";

/// Upstream that can stop responding, as after a power loss of its host: its connections stay open,
/// but no data arrives on them.
#[derive(Default)]
struct Host {
    /// Whether a connection becomes unresponsive when it receives a request.
    silent: AtomicBool,
    /// Number of requests received.
    received: AtomicUsize,
}

fn upstream(host: &Arc<Host>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let host = Arc::clone(host);
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let host = Arc::clone(&host);
            std::thread::spawn(move || answer(stream, &host));
        }
    });
    address
}

/// Answers requests without a body, until one arrives while `silent` is set; from then on the
/// connection stays unresponsive.
fn answer(mut stream: TcpStream, host: &Host) {
    let mut is_silent = false;
    let mut buffer = [0; 4096];
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            return;
        }
        host.received.fetch_add(1, Ordering::SeqCst);
        is_silent |= host.silent.load(Ordering::SeqCst);
        if is_silent {
            continue;
        }
        let head = b"HTTP/1.1 200 OK\r\nx-instance: i-7\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(head).is_err() {
            return;
        }
    }
}

fn settings(address: SocketAddr) -> Settings {
    let mut settings = Settings::default();
    settings.callers.origin = String::from("service");
    settings.upstream.address = Some(address);
    settings.gate.announcement_lapses = MAX_WAIT;
    settings
}

fn start(address: SocketAddr) -> Node {
    node::start(settings(address), Adapter::default()).expect("it starts")
}

/// Sends an announcement and waits until it is acknowledged.
fn announce(node: &Node, announcement: &Announcement) {
    let body = serde_json::to_string(announcement).expect("it is written");
    let address = node.context().addresses.announcements;
    let mut stream = TcpStream::connect(address).expect("a connection");
    let length = body.len();
    let request = format!(
        "POST {PATH} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).expect("it is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("it is answered");
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
}

fn announcement(address: SocketAddr, born: u64, sequence: u64) -> Announcement {
    Announcement {
        service: Arc::from("service"),
        address,
        slots: 4,
        instance: Arc::from(INSTANCE),
        born: Some(born),
        sequence,
        ..Announcement::default()
    }
}

async fn wait_until_gate_is_open(node: &Node) {
    wait_for("the upstream is known", || {
        let is_known = !node.context().latest.upstreams.borrow().is_empty();
        is_known && node.context().latest.guarded.borrow().closed.is_none()
    })
    .await;
}

async fn call(address: SocketAddr) -> Reply {
    let call = Call {
        timeout: MAX_WAIT,
        ..Call::default()
    };
    Caller::default().call(address, &call).await.reply
}

/// Guards against a restarted upstream that is treated as unhealthy because requests were still
/// waiting for a connection to its previous start.
#[tokio::test(flavor = "multi_thread")]
async fn restart_while_requests_wait_for_a_connection_keeps_the_upstream_healthy() {
    let (address, _listener, _waiting) = full_listener();
    let mut settings = settings(address);
    settings.guard.connect_within = MAX_WAIT;
    let node = node::start(settings, Adapter::default()).expect("it starts");
    announce(&node, &announcement(address, 1_000, 40));
    wait_until_gate_is_open(&node).await;
    let callers = node.context().addresses.callers;
    let waiting: Vec<_> = (0..4).map(|_| tokio::spawn(call(callers))).collect();
    wait_for("all hold a slot", || {
        node.context().latest.guarded.borrow().load.in_flight == 4
    })
    .await;
    announce(&node, &announcement(address, 2_000, 1));
    for call in waiting {
        let result = call.await.expect("the call ends");
        assert!(result.is_not_run(), "{result:?}");
    }
    let call = Call {
        timeout: Duration::from_millis(300),
        ..Call::default()
    };
    let result = Caller::default().call(callers, &call).await.reply;
    assert!(
        matches!(
            result,
            Reply::Refused {
                reason: Reason::Deadline,
                ..
            }
        ),
        "{result:?}"
    );
}

/// Guards against callers that wait until their deadline after the upstream's host loses power and
/// the upstream restarts under the same id, with its announcements numbered from one again. The
/// caller of the interrupted request must learn at once that the request may have run. The next
/// request must use a connection to the new start, as kept connections to the old one stay silent.
#[tokio::test(flavor = "multi_thread")]
async fn restart_under_the_same_id_ends_requests_in_progress() {
    let host = Arc::new(Host::default());
    let address = upstream(&host);
    let node = start(address);
    announce(&node, &announcement(address, 1_000, 40));
    wait_until_gate_is_open(&node).await;
    let callers = node.context().addresses.callers;
    assert!(call(callers).await.is_success());

    host.silent.store(true, Ordering::SeqCst);
    let received = host.received.load(Ordering::SeqCst);
    let started_at = Instant::now();
    let interrupted = tokio::spawn(call(callers));
    let is_running = || host.received.load(Ordering::SeqCst) > received;
    wait_for("the request runs", is_running).await;
    host.silent.store(false, Ordering::SeqCst);
    announce(&node, &announcement(address, 2_000, 1));

    let result = interrupted.await.expect("the call ends");
    let is_unknown =
        matches!(&result, Reply::Refused { outcome, .. } if *outcome == Outcome::Unknown);
    assert!(is_unknown, "{result:?}");
    assert!(
        started_at.elapsed() < MAX_WAIT,
        "ended only at the deadline"
    );
    assert!(call(callers).await.is_success());
    node.terminate();
}

/// Guards against an upstream that is taken out of service by an announcement that is not its own:
/// one of another upstream at another address, or a late one of its previous start that says that
/// it leaves. The upstream must go on serving, and its own announcements must still be accepted.
#[rstest]
#[case::other_address(|own: &mut Announcement| own.address.set_port(1), "i-8", 3_000)]
#[case::late_from_the_previous_start(|_: &mut Announcement| {}, INSTANCE, 500)]
#[tokio::test(flavor = "multi_thread")]
async fn foreign_announcement_changes_nothing(
    #[case] change: fn(&mut Announcement),
    #[case] instance: &str,
    #[case] born: u64,
) {
    let host = Arc::new(Host::default());
    let address = upstream(&host);
    let node = start(address);
    announce(&node, &announcement(address, 1_000, 1));
    wait_until_gate_is_open(&node).await;
    let callers = node.context().addresses.callers;
    let mut other = Announcement {
        instance: Arc::from(instance),
        state: mintridge_node::announcement::State::Draining,
        ..announcement(address, born, 99)
    };
    change(&mut other);
    announce(&node, &other);
    announce(&node, &announcement(address, 1_000, 2));
    for _ in 0..5 {
        assert!(call(callers).await.is_success());
    }
    node.terminate();
}
