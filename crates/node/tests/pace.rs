//! A node polls its upstream for the speed of its host before it starts a request there.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::serve_connections;
use mintridge_bench::caller::{Call, Caller};
use mintridge_node::adapter::Adapter;
use mintridge_node::node::{self, Node};
use mintridge_node::settings::Settings;

const MAX_WAIT: Duration = Duration::from_secs(30);

/// State of an upstream that reports its slowness in each response.
#[derive(Default)]
struct UpstreamState {
    /// Slowness in percent.
    percent: AtomicU32,
    /// Pace polls received.
    polls: AtomicUsize,
    /// Callers' requests started.
    requests: AtomicUsize,
}

fn upstream(state: &Arc<UpstreamState>) -> SocketAddr {
    let state = Arc::clone(state);
    serve_connections(move |stream| serve(stream, &state))
}

/// Answers requests without a body until the connection is closed.
fn serve(mut stream: TcpStream, state: &UpstreamState) {
    let mut buffer = [0; 4096];
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            return;
        }
        if buffer.starts_with(b"GET /health ") {
            state.polls.fetch_add(1, Ordering::SeqCst);
        } else {
            state.requests.fetch_add(1, Ordering::SeqCst);
        }
        let percent = state.percent.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-instance: i-7\r\ncontent-length: 2\r\n\
             x-load: {{\"slots\":9,\"slowness_percent\":{percent}}}\r\n\r\nok"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
    }
}

/// Starts a node beside the upstream and waits until it has discovered it. The expected length of a
/// slow phase is so long that the result doesn't depend on how busy the test machine is.
fn start(address: SocketAddr) -> Node {
    let mut settings = Settings::default();
    settings.callers.origin = String::from("service");
    settings.upstream.address = Some(address);
    settings.upstream.instance_header = Some("x-instance".to_owned());
    settings.upstream.load_header = Some("x-load".to_owned());
    settings.admission.slow_phase = Duration::from_secs(20);
    settings.admission.service_time_initial = Duration::from_secs(25);
    settings.admission.pace_fresh = Duration::from_millis(1);
    settings.probe.timeout = Duration::from_secs(1);
    let node = node::start(settings, Adapter::default()).expect("it starts");
    let is_discovered = || {
        let is_known = !node.context().latest.upstreams.borrow().is_empty();
        is_known && node.context().latest.guarded.borrow().closed.is_none()
    };
    wait_until("the upstream is discovered", is_discovered);
    node
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let give_up_at = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(
            Instant::now() < give_up_at,
            "timed out waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The upstream's last report is old, and its host has become four times slower since. A request
/// arrives that can run nowhere else, and would stay slow until its end if it started now. It must
/// wait while the node polls the upstream, and start when the host is reported as fast again. The
/// caller gets one response, delayed by the rest of the slow phase.
#[tokio::test(flavor = "multi_thread")]
async fn request_begins_when_the_slow_phase_ends() {
    let state = Arc::new(UpstreamState::default());
    state.percent.store(400, Ordering::SeqCst);
    let node = start(upstream(&state));
    let address = node.context().addresses.callers;
    let call = tokio::spawn(async move {
        let call = Call {
            timeout: Duration::from_mins(1),
            ..Call::default()
        };
        Caller::default().call(address, &call).await.reply
    });
    let initial_polls = state.polls.load(Ordering::SeqCst);
    let waits = || {
        let queued = node.context().latest.guarded.borrow().load.queued;
        queued == 1 && state.polls.load(Ordering::SeqCst) > initial_polls
    };
    tokio::task::block_in_place(|| wait_until("the request waits", waits));
    assert_eq!(state.requests.load(Ordering::SeqCst), 0);
    state.percent.store(100, Ordering::SeqCst);
    let result = call.await.expect("the call ends");
    assert!(result.is_success(), "{result:?}");
    assert_eq!(state.requests.load(Ordering::SeqCst), 1);
    node.terminate();
}
