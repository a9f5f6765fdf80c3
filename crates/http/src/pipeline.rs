//! HTTP/1.1 connections whose requests are worked on while earlier ones still run.
//!
//! A caller may send further requests before the first is answered. A server connection of
//! hyper reads the next request only after it has written the last answer, so each request
//! would wait for all before it. Here two server connections of hyper share one socket: one
//! reads requests and is given an empty answer at once, which is thrown away; the other
//! writes the true answers, in order, and takes its requests from a list of stubs.

mod body;
mod side;

use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, Version};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::task::JoinSet;

use self::body::track;
use self::side::{ReadSide, WriteSide};
use crate::quiet_timer::Timer;
use crate::server::Phase;
use crate::socket::has_unread;
use crate::{Body, reply};

/// How long the caller of a closed connection may pause before it is read no longer.
const LINGER: Duration = Duration::from_millis(500);
/// How long a closed connection is read at most: a large upload at ten megabits a second.
const LINGER_MOST: Duration = Duration::from_secs(30);
/// How long a connection that was accepted is kept for its first request while the listener
/// closes: its caller was just told that it is connected, so a request is on its way.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_millis(500);
/// How often a connection that is to be closed is looked at for bytes that have arrived.
const LOOK_EVERY: Duration = Duration::from_millis(2);
/// Bytes thrown away at once while a connection lingers.
const SCRATCH: usize = 4096;

/// A request that was read and must be answered, in this order.
struct Pending {
    stub: &'static [u8],
    answer: oneshot::Receiver<Response<Body>>,
    /// What is left of its body is not read, so that nothing behind it is either.
    ends_connection: Arc<AtomicBool>,
}

/// What the two sides of a connection share.
struct Shared {
    /// Time for a header section to arrive.
    header_within: Duration,
    /// Requests read and not yet answered.
    unanswered: AtomicUsize,
    /// Whether any request was read.
    used: AtomicBool,
    /// No further request is taken.
    stopped: AtomicBool,
    /// Since when all that was read is answered; none while an answer is being written.
    idle_since: Mutex<Option<Instant>>,
    /// Stubs that the writing side has read, with their answers.
    begun: Mutex<VecDeque<Pending>>,
    phase: watch::Receiver<Phase>,
}

impl Shared {
    /// Notes whether all that was read is answered.
    fn note_idle(&self, is_idle: bool) {
        let mut idle_since = self.idle_since.lock();
        if is_idle {
            idle_since.get_or_insert_with(Instant::now);
        } else {
            *idle_since = None;
        }
    }

    /// Until when the next header section may be awaited at least.
    ///
    /// Failure: a request takes nearly as long as the next header section may. Symptom: its answer
    /// says nothing of an end, and the connection ends right behind it, with the caller's next
    /// request on its way. The time is counted from the end of the last answer. One that is not
    /// begun yet can still say that the connection ends, so it holds off nothing.
    fn next_header_by(&self) -> Option<Instant> {
        if self.unanswered.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let idle_since = self.idle_since.lock().unwrap_or_else(Instant::now);
        Some(idle_since + self.header_within)
    }
}

/// Serves one connection.
///
/// At most `most` requests are worked on at once; further ones wait in the socket. When the
/// caller goes away, all its requests are dropped. In phase [`Phase::Leaving`] the
/// connection ends with the last answer due; in [`Phase::Closing`] it also ends when idle.
pub async fn serve<F, R>(
    stream: TcpStream,
    builder: &http1::Builder,
    most: usize,
    header_within: Duration,
    phase: watch::Receiver<Phase>,
    respond: F,
) where
    F: Fn(Request<Body>) -> R,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let caller = stream.peer_addr().ok();
    let stream = Arc::new(stream);
    let shared = Arc::new(Shared {
        header_within,
        unanswered: AtomicUsize::new(0),
        used: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
        idle_since: Mutex::new(Some(Instant::now())),
        begun: Mutex::default(),
        phase: phase.clone(),
    });
    let (sender, pending) = mpsc::unbounded_channel();
    let reading = read(&stream, builder, most, Arc::clone(&shared), sender, respond);
    let writing = write(&stream, builder.clone(), shared, pending);
    let mut unread = 0;
    tokio::select! {
        () = reading => {}
        () = writing => {
            let lingering = linger(&stream, &mut unread);
            let _ = tokio::time::timeout(LINGER_MOST, lingering).await;
        }
    }
    if unread > 0 {
        log::info!(
            caller:? = caller,
            bytes = unread,
            phase:? = *phase.borrow();
            "connection closed with bytes of its caller unread"
        );
    }
}

/// Reads requests and works on them; returns when the caller has gone.
///
/// Failure: a request takes longer than the next may be awaited, or what follows it cannot be read
/// as one. Symptom: the request in progress is dropped without an answer, or is answered as if the
/// connection lived on, and the next one is lost. Either ends the reading alone; what was read is
/// answered, and the last answer says that the connection ends.
async fn read<F, R>(
    stream: &Arc<TcpStream>,
    builder: &http1::Builder,
    most: usize,
    shared: Arc<Shared>,
    sender: mpsc::UnboundedSender<Pending>,
    respond: F,
) where
    F: Fn(Request<Body>) -> R,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let first_by = Instant::now() + FIRST_REQUEST_WITHIN;
    let mut phase = shared.phase.clone();
    let working = Arc::new(Semaphore::new(most));
    let tasks = Mutex::new(JoinSet::new());
    let service = service_fn(|request: Request<Incoming>| {
        let (request, rest) = track(request);
        let stub = stub(&request);
        let (answer, answered) = oneshot::channel();
        shared.used.store(true, Ordering::Relaxed);
        let accepted = !shared.stopped.load(Ordering::Relaxed);
        if accepted {
            shared.unanswered.fetch_add(1, Ordering::Relaxed);
            let pending = Pending {
                stub,
                answer: answered,
                ends_connection: rest.ends_connection(),
            };
            let _ = sender.send(pending);
            let working = Arc::clone(&working);
            let response = respond(request);
            let mut tasks = tasks.lock();
            while tasks.try_join_next().is_some() {}
            tasks.spawn(async move {
                let _permit = working.acquire_owned().await;
                let _ = answer.send(response.await);
            });
        }
        let working = Arc::clone(&working);
        let shared = Arc::clone(&shared);
        async move {
            if !accepted {
                return std::future::pending().await;
            }
            // Nothing behind it was read yet, so that any request unanswered is this one.
            let is_answered = || shared.unanswered.load(Ordering::Relaxed) == 0;
            rest.discard(is_answered).await;
            drop(working.acquire().await);
            Ok::<_, Infallible>(Response::new(reply::empty()))
        }
    });
    let io = ReadSide {
        stream: Arc::clone(stream),
        shared: Arc::clone(&shared),
    };
    let mut builder = builder.clone();
    let of_timer = Arc::clone(&shared);
    let not_before = move || of_timer.next_header_by();
    builder.timer(Timer::held_off(stream, not_before));
    let mut connection = pin!(builder.serve_connection(io, service));
    let idle_when_closing = async {
        closing(&mut phase).await;
        until_idle(stream, &shared, first_by).await;
    };
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = idle_when_closing => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    shared.stopped.store(true, Ordering::Relaxed);
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller's connection broke");
        if !error.is_timeout() && !error.is_parse() {
            return;
        }
    }
    drop(sender);
    until_gone(stream, &mut 0).await;
}

/// Writes answers in order; returns when all that were due are written.
async fn write(
    stream: &Arc<TcpStream>,
    mut builder: http1::Builder,
    shared: Arc<Shared>,
    pending: mpsc::UnboundedReceiver<Pending>,
) {
    let io = WriteSide {
        stream: Arc::clone(stream),
        pending,
        shared: Arc::clone(&shared),
    };
    let service = service_fn(move |_: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let next = shared.begun.lock().pop_front();
        async move {
            let pending = next.ok_or(Dropped)?;
            let mut response = pending.answer.await.map_err(|_| Dropped)?;
            let last = shared.unanswered.fetch_sub(1, Ordering::Relaxed) == 1;
            let ends = pending.ends_connection.load(Ordering::Acquire);
            response.headers_mut().remove(CONNECTION);
            let stopped = shared.stopped.load(Ordering::Relaxed);
            if last && (ends || stopped || *shared.phase.borrow() != Phase::Open) {
                shared.stopped.store(true, Ordering::Relaxed);
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Dropped>(response)
        }
    });
    // Only the side that reads requests knows whether one is on its way.
    builder.header_read_timeout(None).half_close(true);
    let connection = builder.serve_connection(io, service);
    if let Err(error) = connection.await {
        log::debug!(error:% = error; "answer not written whole");
    }
}

/// The request was dropped without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the request was dropped without an answer")]
struct Dropped;

/// Waits until the phase is closing.
async fn closing(phase: &mut watch::Receiver<Phase>) {
    let turned = phase
        .wait_for(|phase| matches!(phase, Phase::Closing { .. }))
        .await
        .is_ok();
    if !turned {
        std::future::pending::<()>().await;
    }
}

/// Waits until nothing that has arrived on a connection is unread, and its first request is not to
/// be expected any more.
///
/// Failure: the listener closes while the thread is busy. Symptom: a request lies in the buffer of
/// an idle connection, which is closed before anybody looks, and its caller gets no answer. The
/// buffer is looked at right before the close, so that only a request still on its way can cross it.
async fn until_idle(stream: &TcpStream, shared: &Shared, first_by: Instant) {
    loop {
        let is_new = !shared.used.load(Ordering::Relaxed) && Instant::now() < first_by;
        if !is_new && !has_unread(stream) {
            return;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Reads what the caller still sends on a closed connection, until it is gone or pauses.
///
/// Failure: a large upload is refused, and its caller sends all of it before it reads the answer.
/// Symptom: bytes that nobody reads reset the connection and take the answer with them.
async fn linger(stream: &TcpStream, unread: &mut usize) {
    loop {
        let before = *unread;
        let gone = tokio::time::timeout(LINGER, until_gone(stream, unread)).await;
        if gone.is_ok() || *unread == before {
            return;
        }
    }
}

/// Reads and throws away until the caller closes its side, counting the bytes.
async fn until_gone(stream: &TcpStream, unread: &mut usize) {
    let mut scratch = [0_u8; SCRATCH];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut scratch) {
            Ok(0) => return,
            Ok(read) => *unread += read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// The request that the writing side reads in place of the true one: its method and version
/// decide how an answer is written.
fn stub(request: &Request<Body>) -> &'static [u8] {
    match (request.method() == Method::HEAD, request.version()) {
        (false, Version::HTTP_10) => b"GET / HTTP/1.0\r\n\r\n",
        (true, Version::HTTP_10) => b"HEAD / HTTP/1.0\r\n\r\n",
        (false, _) => b"GET / HTTP/1.1\r\n\r\n",
        (true, _) => b"HEAD / HTTP/1.1\r\n\r\n",
    }
}
