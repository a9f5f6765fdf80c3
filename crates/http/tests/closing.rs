//! Requests that have arrived but are still unread by a busy thread when a listener closes.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{
    BUSY_PREFIX, Server, WAIT_TIMEOUT, bodies, connect, get, read_responses, read_to_close, start,
    wait_until,
};
use mintridge_http::server::Phase;
use rstest::rstest;

/// Number of repetitions, since the order in which a woken thread handles two events is random.
const REPETITIONS: usize = 20;

/// Blocks the server's thread for a while; returns once it is blocked.
fn block_thread(server: &Server) -> TcpStream {
    let mut stream = connect(server);
    stream
        .write_all(get(&format!("{BUSY_PREFIX}100")).as_bytes())
        .expect("sent");
    wait_until("the thread is blocked", || {
        server.counters.running.load(Ordering::SeqCst) == 1
    });
    stream
}

fn close(server: &Server) {
    server.phase.send_replace(Phase::Closing {
        give_up_at: Instant::now() + WAIT_TIMEOUT,
    });
}

/// Guards against the loss of a request that is in the receive buffer of an idle connection when
/// the listener closes. The server's thread is busy, so it hasn't read the request yet.
#[test]
fn serve_answers_a_request_buffered_on_an_idle_connection() {
    for repetition in 0..REPETITIONS {
        let server = start();
        let mut idle = connect(&server);
        idle.write_all(get("1").as_bytes()).expect("sent");
        read_responses(&mut idle, 1);
        let _busy = block_thread(&server);
        idle.write_all(get("2").as_bytes()).expect("sent");
        close(&server);
        assert_eq!(
            bodies(&read_to_close(&mut idle)),
            ["2:"],
            "repetition {repetition}"
        );
    }
}

/// Guards against the reset of connections in the accept queue when the listener closes. A caller
/// connects and sends a request while the server's thread is too busy to accept the connection.
#[rstest]
#[case::at_once(Duration::ZERO)]
// The operating system has accepted the connection; its first request is still on its way.
#[case::a_little_later(Duration::from_millis(130))]
fn serve_answers_connections_in_the_accept_queue(#[case] send_delay: Duration) {
    for repetition in 0..REPETITIONS {
        let server = start();
        let _busy = block_thread(&server);
        let mut queued = connect(&server);
        close(&server);
        std::thread::sleep(send_delay);
        queued.write_all(get("2").as_bytes()).expect("sent");
        assert_eq!(
            bodies(&read_to_close(&mut queued)),
            ["2:"],
            "repetition {repetition}"
        );
    }
}
