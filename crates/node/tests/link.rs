//! Links between nodes, tested against a scripted peer.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use mintridge_http::reply;
use mintridge_node::configs::link::Settings;
use mintridge_node::link::{CHECK_PATH, Error, Links};
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::loopback;
use rstest::rstest;
use tokio::net::TcpListener;

/// Time that the peer takes to respond to a request.
const RESPONSE_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which the client's thread does not run; the peer's pong arrives meanwhile.
const STARVATION: Duration = Duration::from_millis(400);
/// Delay that the relay adds in each direction, in milliseconds.
const RELAY_DELAY_MS: u64 = 50;

/// Starts a peer on its own thread that answers every check immediately and counts the other
/// requests.
fn peer() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let runs = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&runs);
    thread::spawn(move || runtime().block_on(serve(listener, counted)));
    (address, runs)
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime")
}

async fn serve(listener: std::net::TcpListener, runs: Arc<AtomicU32>) {
    listener.set_nonblocking(true).expect("set");
    let listener = TcpListener::from_std(listener).expect("taken over");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let runs = Arc::clone(&runs);
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let runs = Arc::clone(&runs);
            async move {
                if request.uri().path() != CHECK_PATH {
                    runs.fetch_add(1, Ordering::SeqCst);
                    tokio::time::sleep(RESPONSE_DELAY).await;
                }
                Ok::<_, Infallible>(Response::new(reply::empty()))
            }
        });
        let builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
        tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
    }
}

/// Starts a slow relay to the peer and returns the relay's address.
fn slow_relay_to(peer: SocketAddr) -> SocketAddr {
    let (address_sender, address_receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime().block_on(async move {
            let (listener, address) = loopback().await.expect("a port");
            address_sender.send(address).expect("the test waits");
            let relay = Arc::new(Relay::default());
            relay.set(Condition::Slow(RELAY_DELAY_MS));
            relay.run(listener, peer).await;
        });
    });
    address_receiver.recv().expect("the relay listens")
}

/// A peer that accepts connections and never sends anything.
fn silent_peer() -> (SocketAddr, std::net::TcpListener) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    (listener.local_addr().expect("an address"), listener)
}

fn request() -> Request<mintridge_http::Body> {
    let request = Request::builder().uri("http://peer/");
    request.body(reply::empty()).expect("a request")
}

/// Guards against closing a working link because the client's own thread was starved of CPU time
/// and processed a pong or a check response late.
#[rstest]
#[case::while_it_opens(Duration::ZERO)]
#[case::under_a_request(RESPONSE_DELAY / 3)]
fn send_survives_a_starved_thread(#[case] starved_after: Duration) {
    let (peer, _) = peer();
    let address = slow_relay_to(peer);
    let links = Links::new(Settings {
        ping_every: Duration::from_millis(100),
        ping_within: Duration::from_millis(200),
        ..Settings::default()
    });
    let sent = runtime().block_on(async {
        let starving = async {
            tokio::time::sleep(starved_after).await;
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                thread::sleep(STARVATION);
            }
        };
        tokio::select! {
            sent = links.send(address, request(), Instant::now() + 4 * RESPONSE_DELAY) => sent,
            () = starving => unreachable!(),
        }
    });
    assert!(sent.is_ok(), "{sent:?}");
}

/// Guards against an unknown outcome for a request whose deadline passed while a link was being
/// opened.
#[test]
fn send_reports_that_nothing_was_sent_by_the_deadline() {
    let (address, _listener) = silent_peer();
    let links = Links::new(Settings {
        check_within: Duration::from_secs(10),
        ..Settings::default()
    });
    let until = Instant::now() + Duration::from_millis(300);
    let sent = runtime().block_on(links.send(address, request(), until));
    assert_eq!(sent.err(), Some(Error::NoLinkInTime));
}

/// Guards against the outcome "not run" for a request that was sent and whose deadline passed
/// without a response.
#[test]
fn send_reports_that_a_sent_request_is_unanswered() {
    let (address, runs) = peer();
    let links = Links::new(Settings::default());
    let until = Instant::now() + RESPONSE_DELAY / 2;
    let sent = runtime().block_on(links.send(address, request(), until));
    assert_eq!(sent.err(), Some(Error::Unanswered));
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}
