//! Requests that have arrived when a listener closes, and that a busy thread has not read yet.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{BUSY, Server, WAIT_MOST, answers, bodies, connect, get, rest, start, until};
use mintridge_http::server::Phase;
use rstest::rstest;

/// Which of two things a woken thread does first is left to chance.
const PLAYS: usize = 20;

/// Keeps the server's thread busy, and returns once it is.
fn keep_busy(server: &Server) -> TcpStream {
    let mut stream = connect(server);
    stream
        .write_all(get(&format!("{BUSY}100")).as_bytes())
        .expect("sent");
    until("the thread is busy", || {
        server.seen.running.load(Ordering::SeqCst) == 1
    });
    stream
}

fn close(server: &Server) {
    server.phase.send_replace(Phase::Closing {
        give_up_at: Instant::now() + WAIT_MOST,
    });
}

/// A caller sends a request on a connection that is kept open, while the node's thread is busy.
/// The listener closes before the thread comes to read it. The request is in the node's buffer,
/// so it is answered and not lost with the connection.
#[test]
fn serve_answers_what_has_arrived_on_an_idle_connection() {
    for play in 0..PLAYS {
        let server = start();
        let mut idle = connect(&server);
        idle.write_all(get("1").as_bytes()).expect("sent");
        answers(&mut idle, 1);
        let _busy = keep_busy(&server);
        idle.write_all(get("2").as_bytes()).expect("sent");
        close(&server);
        assert_eq!(bodies(&rest(&mut idle)), ["2:"], "play {play}");
    }
}

/// A caller connects and sends while the thread is busy, and the listener closes before it comes
/// to accept: the connection waits in the listener's queue, with its request. It is accepted and
/// answered; closing the listener would reset it.
#[rstest]
#[case::at_once(Duration::ZERO)]
// The connection was accepted by the system, and its first request is on its way.
#[case::a_little_later(Duration::from_millis(130))]
fn serve_answers_who_waits_in_the_queue(#[case] sends_after: Duration) {
    for play in 0..PLAYS {
        let server = start();
        let _busy = keep_busy(&server);
        let mut waiting = connect(&server);
        close(&server);
        std::thread::sleep(sends_after);
        waiting.write_all(get("2").as_bytes()).expect("sent");
        assert_eq!(bodies(&rest(&mut waiting)), ["2:"], "play {play}");
    }
}
