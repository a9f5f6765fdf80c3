//! A node that has just started gets announcements that its upstream's former incarnation sent.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::serve_connections;
use mintridge_bench::caller::{Call, Caller, Reply};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_node::adapter::Adapter;
use mintridge_node::announcement::{Announcement, PATH, State};
use mintridge_node::node::{self, Node};
use mintridge_node::settings::Settings;
use mintridge_standin::scene::wait_for;
use rstest::rstest;

const INSTANCE: &str = "i-2";
const FORMER: &str = "i-1";
const SUCCESSOR: &str = "i-3";
/// Time in which a gate that should stay closed would have been opened.
const OBSERVED: Duration = Duration::from_millis(500);

/// Interval at which upstreams announce themselves.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1_500);

/// How the upstream answers health checks. All other requests it answers with status 200.
#[derive(Clone, Copy)]
struct Health {
    /// Status line and headers.
    head: &'static str,
    delay: Duration,
}

const READY: Health = Health {
    head: "HTTP/1.1 200 OK\r\n",
    delay: Duration::ZERO,
};
const LEAVING: Health = Health {
    head: "HTTP/1.1 503 No\r\nx-leaving: 1\r\n",
    delay: Duration::from_millis(30),
};
const NOT_READY: Health = Health {
    head: "HTTP/1.1 503 No\r\n",
    delay: Duration::ZERO,
};
/// The response comes after the time for which the node waits.
const HANGING: Health = Health {
    head: "HTTP/1.1 200 OK\r\n",
    delay: Duration::from_secs(20),
};
/// The response comes only after the interval between two health checks.
const SLOWLY_LEAVING: Health = Health {
    head: "HTTP/1.1 503 No\r\nx-leaving: 1\r\n",
    delay: Duration::from_millis(400),
};

/// State of the upstream.
#[derive(Default)]
struct Upstream {
    /// Whether its process has been replaced by [`SUCCESSOR`].
    restarted: AtomicBool,
    /// Whether health checks are answered as [`READY`] whatever the test gave.
    is_ready: AtomicBool,
    /// Number of requests received, health checks excluded.
    received: AtomicUsize,
}

/// An upstream with a node beside it that has just started.
struct Pair {
    node: Node,
    address: SocketAddr,
    upstream: Arc<Upstream>,
}

impl Pair {
    fn start(health: Health, work: Duration) -> Self {
        let upstream = Arc::new(Upstream::default());
        let served = Arc::clone(&upstream);
        let address = serve_connections(move |stream| serve(stream, health, work, &served));
        let mut settings = Settings::default();
        settings.callers.origin = String::from("service");
        settings.upstream.address = Some(address);
        settings.upstream.expected_instance_header = Some("x-expected".to_owned());
        settings.upstream.instance_header = Some("x-instance".to_owned());
        settings.upstream.load_header = Some("x-load".to_owned());
        settings.upstream.leaving_header = Some("x-leaving".to_owned());
        settings.gate.announcement_lapses = Duration::from_secs(30);
        let node = node::start(settings, Adapter::default()).expect("it starts");
        Self {
            node,
            address,
            upstream,
        }
    }

    fn announce(&self, instance: &str, sequence: u64, state: State) {
        let announcement = Announcement {
            service: Arc::from("service"),
            address: self.address,
            slots: 4,
            instance: Arc::from(instance),
            sequence,
            state,
            ..Announcement::default()
        };
        let body = serde_json::to_string(&announcement).expect("it is written");
        let address = self.node.context().addresses.announcements;
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

    fn is_open(&self) -> bool {
        let context = self.node.context();
        let is_known = !context.latest.upstreams.borrow().is_empty();
        is_known && context.latest.guarded.borrow().closed.is_none()
    }

    async fn wait_until_open(&self) {
        wait_for("the gate opens", || self.is_open()).await;
    }

    fn call(&self) -> impl Future<Output = Reply> + Send + 'static {
        let address = self.node.context().addresses.callers;
        async move {
            Caller::default()
                .call(address, &Call::default())
                .await
                .reply
        }
    }
}

/// Answers requests without a body until the connection is closed.
fn serve(mut stream: TcpStream, health: Health, work: Duration, upstream: &Upstream) {
    let mut buffer = [0; 4096];
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            return;
        }
        let head = if buffer.starts_with(b"GET /health ") {
            std::thread::sleep(health.delay);
            let is_ready = upstream.is_ready.load(Ordering::SeqCst);
            if is_ready { READY.head } else { health.head }
        } else {
            upstream.received.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(work);
            READY.head
        };
        let restarted = upstream.restarted.load(Ordering::SeqCst);
        let instance = if restarted { SUCCESSOR } else { INSTANCE };
        let answer = format!(
            "{head}x-instance: {instance}\r\nx-load: {{\"slots\":4}}\r\ncontent-length: 0\r\n\r\n"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Guards against a late announcement of an ended incarnation that ends the requests in progress at
/// its sound successor, or shuts it out for good.
#[rstest]
#[case::ready(State::Ready)]
#[case::draining(State::Draining)]
#[tokio::test(flavor = "multi_thread")]
async fn late_announcement_changes_nothing(#[case] state: State) {
    let pair = Pair::start(READY, Duration::from_millis(800));
    pair.announce(INSTANCE, 1, State::Ready);
    pair.wait_until_open().await;
    let running = tokio::spawn(pair.call());
    wait_for("the request runs", || {
        pair.upstream.received.load(Ordering::SeqCst) == 1
    })
    .await;
    pair.announce(FORMER, 40, state);
    let result = running.await.expect("the call ends");
    assert!(result.is_success(), "{result:?}");
    pair.announce(INSTANCE, 2, State::Ready);
    assert!(pair.call().await.is_success());
    pair.node.terminate();
}

/// Guards against an announcement from before the upstream stated that it is leaving, which opens
/// the gate of a restarted node to it.
#[rstest]
#[case::answers_within_an_interval(LEAVING)]
#[case::answers_later(SLOWLY_LEAVING)]
#[tokio::test(flavor = "multi_thread")]
async fn late_announcement_opens_no_gate_to_a_leaving_upstream(#[case] health: Health) {
    let pair = Pair::start(health, Duration::ZERO);
    for sequence in 7..9 {
        pair.announce(INSTANCE, sequence, State::Ready);
        let until = tokio::time::Instant::now() + OBSERVED * 2;
        while tokio::time::Instant::now() < until {
            assert!(!pair.is_open());
            let result = pair.call().await;
            assert!(result.is_not_run(), "{result:?}");
        }
    }
    assert_eq!(pair.upstream.received.load(Ordering::SeqCst), 0);
    pair.node.terminate();
}

/// Guards against one announcement, which may be late, that opens the gate to an upstream that
/// cannot be asked, and against such an upstream that is shut out while it goes on announcing itself.
#[rstest]
#[case::no_answer(HANGING)]
#[case::not_ready(NOT_READY)]
#[tokio::test(flavor = "multi_thread")]
async fn upstream_that_cannot_be_asked_needs_two_announcements(#[case] health: Health) {
    let pair = Pair::start(health, Duration::ZERO);
    pair.announce(INSTANCE, 7, State::Ready);
    tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    assert!(!pair.is_open());
    pair.announce(INSTANCE, 8, State::Ready);
    pair.wait_until_open().await;
    assert!(pair.call().await.is_success());
    pair.node.terminate();
}

/// Guards against a restarted upstream that waits for its second announcement, and against requests
/// to its former process that wait for their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn restart_is_confirmed_after_one_announcement() {
    let pair = Pair::start(READY, Duration::from_secs(3));
    pair.announce(INSTANCE, 1, State::Ready);
    pair.wait_until_open().await;
    let running = tokio::spawn(pair.call());
    wait_for("the request runs", || {
        pair.upstream.received.load(Ordering::SeqCst) == 1
    })
    .await;
    pair.upstream.restarted.store(true, Ordering::SeqCst);
    let announced_at = Instant::now();
    pair.announce(SUCCESSOR, 1, State::Ready);
    let result = running.await.expect("the call ends");
    let took = announced_at.elapsed();
    assert!(
        matches!(&result, Reply::Refused { outcome, .. } if *outcome == Outcome::Unknown),
        "{result:?}"
    );
    println!("confirmed after {took:?}");
    assert!(took < OBSERVED, "ended after {took:?}");
    pair.wait_until_open().await;
    pair.node.terminate();
}

/// Guards against an upstream that is shut out for good once it has restarted under the id under
/// which it was leaving, without a start time by which to tell.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_ends_with_a_restart_under_the_same_id() {
    let pair = Pair::start(LEAVING, Duration::ZERO);
    wait_for("the node learns that it leaves", || {
        let closed = pair.node.context().latest.guarded.borrow().closed;
        closed == Some(Reason::Leaving)
    })
    .await;
    pair.upstream.is_ready.store(true, Ordering::SeqCst);
    pair.announce(INSTANCE, 1, State::Ready);
    pair.wait_until_open().await;
    pair.node.terminate();
}
