//! An upstream starts again under the id that it had, or something else speaks in its name.

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

const WAIT_MOST: Duration = Duration::from_secs(30);
const INSTANCE: &str = "i-7";

/// An upstream that can fall silent, as one does whose host has lost power: its connections
/// stay open, and nothing comes on them any more.
#[derive(Default)]
struct Host {
    /// Whether connections opened from now on are silent.
    silent: AtomicBool,
    /// Requests received.
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

/// Answers requests without a body, unless the connection was opened by a silent host or the
/// host fell silent after it was.
fn answer(mut stream: TcpStream, host: &Host) {
    let mut lost = false;
    let mut buffer = [0; 4096];
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            return;
        }
        host.received.fetch_add(1, Ordering::SeqCst);
        lost |= host.silent.load(Ordering::SeqCst);
        if lost {
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
    settings.gate.announcement_lapses = WAIT_MOST;
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

async fn until_open(node: &Node) {
    wait_for("the upstream is known", || {
        let known = !node.context().latest.upstreams.borrow().is_empty();
        known && node.context().latest.guarded.borrow().closed.is_none()
    })
    .await;
}

async fn call(address: SocketAddr) -> Reply {
    let call = Call {
        timeout: WAIT_MOST,
        ..Call::default()
    };
    Caller::default().call(address, &call).await.reply
}

/// Guards against a start that is doubted since requests still waited for a connection to the one before.
#[tokio::test(flavor = "multi_thread")]
async fn restart_while_requests_wait_for_a_connection_makes_no_doubt() {
    let (address, _listener, _waiting) = full_listener();
    let mut settings = settings(address);
    settings.guard.connect_within = WAIT_MOST;
    let node = node::start(settings, Adapter::default()).expect("it starts");
    announce(&node, &announcement(address, 1_000, 40));
    until_open(&node).await;
    let callers = node.context().addresses.callers;
    let waiting: Vec<_> = (0..4).map(|_| tokio::spawn(call(callers))).collect();
    wait_for("all hold a slot", || {
        node.context().latest.guarded.borrow().load.in_flight == 4
    })
    .await;
    announce(&node, &announcement(address, 2_000, 1));
    for told in waiting {
        let told = told.await.expect("the call ends");
        assert!(told.is_not_run(), "{told:?}");
    }
    let call = Call {
        timeout: Duration::from_millis(300),
        ..Call::default()
    };
    let told = Caller::default().call(callers, &call).await.reply;
    assert!(
        matches!(
            told,
            Reply::Refused {
                reason: Reason::Deadline,
                ..
            }
        ),
        "{told:?}"
    );
}

/// The host of the upstream loses power while a request runs there, and the upstream starts
/// again under its id; its messages count from one. The caller is told at once that its request
/// may have run, and the next caller is served, over a connection to the new start: those that
/// were kept open to the one before are silent for good.
#[tokio::test(flavor = "multi_thread")]
async fn restart_under_the_same_id_ends_what_was_in_progress() {
    let host = Arc::new(Host::default());
    let address = upstream(&host);
    let node = start(address);
    announce(&node, &announcement(address, 1_000, 40));
    until_open(&node).await;
    let callers = node.context().addresses.callers;
    assert!(call(callers).await.is_success());

    host.silent.store(true, Ordering::SeqCst);
    let received = host.received.load(Ordering::SeqCst);
    let began_at = Instant::now();
    let lost = tokio::spawn(call(callers));
    let reached = || host.received.load(Ordering::SeqCst) > received;
    wait_for("the request runs", reached).await;
    host.silent.store(false, Ordering::SeqCst);
    announce(&node, &announcement(address, 2_000, 1));

    let told = lost.await.expect("the call ends");
    let unknown = matches!(&told, Reply::Refused { outcome, .. } if *outcome == Outcome::Unknown);
    assert!(unknown, "{told:?}");
    assert!(began_at.elapsed() < WAIT_MOST, "told only at the deadline");
    assert!(call(callers).await.is_success());
    node.terminate();
}

/// Another writer announces an upstream at another address under an id of its own, or a message
/// of the start before arrives late and says that it leaves. Callers see nothing of either: the
/// upstream beside the node goes on serving, and its own messages still count.
#[rstest]
#[case::other_address(|own: &mut Announcement| own.address.set_port(1), "i-8", 3_000)]
#[case::late_of_the_start_before(|_: &mut Announcement| {}, INSTANCE, 500)]
#[tokio::test(flavor = "multi_thread")]
async fn announcement_of_something_else_changes_nothing(
    #[case] change: fn(&mut Announcement),
    #[case] instance: &str,
    #[case] born: u64,
) {
    let host = Arc::new(Host::default());
    let address = upstream(&host);
    let node = start(address);
    announce(&node, &announcement(address, 1_000, 1));
    until_open(&node).await;
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
