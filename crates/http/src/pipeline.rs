//! HTTP/1.1 connections that handle pipelined requests concurrently.
//!
//! A caller may send further requests before the first is answered. A hyper server connection
//! reads the next request only after it has written the previous response, so each request would
//! wait for all earlier ones. Here two hyper server connections share one socket. One reads the
//! requests; its service returns an empty response at once, which is discarded. The other writes
//! the actual responses in order and reads a stub request in place of each actual one.

mod body;
mod side;
mod turn;

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
use self::turn::Turns;
use crate::quiet_timer::Timer;
use crate::server::Phase;
use crate::socket::{self, has_unread};
use crate::{Body, reply};

/// Maximum pause of the caller while a closed connection is still read.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which a closed connection is still read. It suffices for a large upload at
/// 10 Mbit/s.
const LINGER_TIMEOUT: Duration = Duration::from_secs(30);
/// How long an accepted connection is kept open for its first request while the listener closes.
/// The caller has just seen the connection succeed, so its request is probably on its way.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a connection that is about to be closed is checked for unread bytes.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Size of the buffers for reads from the socket, including the discarded bytes of a closed
/// connection.
const BUFFER_BYTES: usize = 4096;

/// How many requests are handled concurrently.
#[derive(Clone, Debug)]
pub struct Concurrency {
    /// Maximum number of requests of one connection whose turn has not come; further ones wait in the
    /// socket.
    pub per_connection: usize,
    /// Permits for requests that are handled ahead of their turn, on all connections together.
    ///
    /// Failure: callers send many requests behind one that takes long. Symptom: the responses that wait
    /// for their turn fill the memory. Without a permit a request is handled when its turn has come,
    /// which needs no other request to proceed.
    pub ahead: Arc<Semaphore>,
}

/// A request that was read; responses keep the order of the requests.
struct Pending {
    stub: &'static [u8],
    /// Notifies the request's task that its turn has come: all responses before its own are written.
    turn: oneshot::Sender<()>,
    awaited: Awaited,
}

/// A response that is due.
struct Awaited {
    response: oneshot::Receiver<Response<Body>>,
    /// Set if the rest of the request body won't be read, so that no later request can be either.
    ends_connection: Arc<AtomicBool>,
}

/// State that the reading and the writing side of a connection share.
struct Shared {
    /// Maximum time for a header section to arrive.
    header_timeout: Duration,
    /// Number of requests that were read and whose response has not been passed to hyper.
    unanswered: AtomicUsize,
    /// Whether at least one request was read.
    has_request: AtomicBool,
    /// Set once no further request is accepted.
    stopped: AtomicBool,
    /// Time since which all requests read are answered; `None` while a response is awaited or
    /// written.
    idle_since: Mutex<Option<Instant>>,
    /// Requests whose stub the writing side has read and whose response it does not await yet.
    awaiting_response: Mutex<VecDeque<Awaited>>,
    turns: Turns,
    phase: watch::Receiver<Phase>,
}

impl Shared {
    /// Records whether all requests read are answered.
    fn set_idle(&self, is_idle: bool) {
        if is_idle {
            self.turns.record_idle();
        }
        let mut idle_since = self.idle_since.lock();
        if is_idle {
            idle_since.get_or_insert_with(Instant::now);
        } else {
            *idle_since = None;
        }
    }

    /// Returns the earliest time at which the timeout of the next header section may fire.
    ///
    /// Failure: a request takes nearly as long as the header timeout. Symptom: its response lacks
    /// `connection: close`, yet the connection closes right after it, while the caller's next
    /// request is on its way. The timeout therefore starts at the end of the last response. A
    /// response that has not started can still carry `connection: close`, so while one is due the
    /// timeout isn't postponed.
    fn header_timeout_not_before(&self) -> Option<Instant> {
        if self.unanswered.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let idle_since = self.idle_since.lock().unwrap_or_else(Instant::now);
        Some(idle_since + self.header_timeout)
    }
}

/// Serves one connection.
///
/// When the caller disconnects, all its requests are dropped. In phase [`Phase::Leaving`] the connection
/// closes after the last pending response; in [`Phase::Closing`] it also closes when idle.
pub async fn serve<F, R>(
    stream: TcpStream,
    builder: &http1::Builder,
    concurrency: Concurrency,
    header_timeout: Duration,
    phase: watch::Receiver<Phase>,
    respond: F,
) where
    F: Fn(Request<Body>) -> R,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let caller = stream.peer_addr().ok();
    let stream = Arc::new(stream);
    let shared = Arc::new(Shared {
        header_timeout,
        unanswered: AtomicUsize::new(0),
        has_request: AtomicBool::new(false),
        stopped: AtomicBool::new(false),
        idle_since: Mutex::new(Some(Instant::now())),
        awaiting_response: Mutex::default(),
        turns: Turns::default(),
        phase: phase.clone(),
    });
    let (sender, pending) = mpsc::unbounded_channel();
    let reading = read(
        &stream,
        builder,
        concurrency,
        Arc::clone(&shared),
        sender,
        respond,
    );
    let writing = write(&stream, builder.clone(), shared, pending);
    let mut unread = 0;
    tokio::select! {
        () = reading => {}
        complete = writing => {
            // The caller of a broken response must not wait for the rest of it while this lingers.
            if !complete && let Err(error) = socket::shutdown(&stream) {
                log::debug!(error:% = error; "failed to end a broken response");
            }
            let lingering = linger(&stream, &mut unread);
            let _ = tokio::time::timeout(LINGER_TIMEOUT, lingering).await;
        }
    }
    if unread > 0 {
        log::info!(
            caller:? = caller,
            bytes = unread,
            phase:? = *phase.borrow();
            "connection closed with unread bytes from the caller"
        );
    }
}

/// Reads and handles requests; returns when the caller has disconnected.
///
/// Failure: a request takes longer than the header timeout of the next one, or is followed by
/// bytes that aren't a valid request. Symptom: the request in progress is dropped without a
/// response, or its response lacks `connection: close` and the next request is lost. Such a timeout
/// or parse error therefore stops only the reading: the requests read so far are answered, and the
/// last response carries `connection: close`.
async fn read<F, R>(
    stream: &Arc<TcpStream>,
    builder: &http1::Builder,
    concurrency: Concurrency,
    shared: Arc<Shared>,
    sender: mpsc::UnboundedSender<Pending>,
    respond: F,
) where
    F: Fn(Request<Body>) -> R,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let first_request_deadline = Instant::now() + FIRST_REQUEST_TIMEOUT;
    let mut phase = shared.phase.clone();
    let permits = Arc::new(Semaphore::new(concurrency.per_connection));
    let tasks = Mutex::new(JoinSet::new());
    let service = service_fn(|request: Request<Incoming>| {
        let (request, remainder) = track(request);
        let stub = stub(&request);
        let (response_sender, response_receiver) = oneshot::channel();
        let (turn_sender, turn) = oneshot::channel();
        shared.has_request.store(true, Ordering::Relaxed);
        let accepted = !shared.stopped.load(Ordering::Relaxed);
        if accepted {
            shared.unanswered.fetch_add(1, Ordering::Relaxed);
            let is_next = shared.turns.record_read();
            let pending = Pending {
                stub,
                turn: turn_sender,
                awaited: Awaited {
                    response: response_receiver,
                    ends_connection: remainder.ends_connection(),
                },
            };
            let _ = sender.send(pending);
            let permits = Arc::clone(&permits);
            let ahead = Arc::clone(&concurrency.ahead);
            let response_future = respond(request);
            let mut tasks = tasks.lock();
            while tasks.try_join_next().is_some() {}
            tasks.spawn(async move {
                let _permit = permits.acquire_owned().await;
                if is_next {
                    let _ = response_sender.send(response_future.await);
                } else {
                    handle_in_turn(response_future, turn, ahead, response_sender).await;
                }
            });
        }
        let permits = Arc::clone(&permits);
        let shared = Arc::clone(&shared);
        async move {
            if !accepted {
                return std::future::pending().await;
            }
            // No later request was read yet, so an unanswered request can only be this one.
            let is_answered = || shared.unanswered.load(Ordering::Relaxed) == 0;
            remainder.discard(is_answered).await;
            drop(permits.acquire().await);
            Ok::<_, Infallible>(Response::new(reply::empty()))
        }
    });
    let io = ReadSide::new(Arc::clone(stream), Arc::clone(&shared));
    let mut builder = builder.clone();
    let timer_shared = Arc::clone(&shared);
    let not_before = move || timer_shared.header_timeout_not_before();
    builder.timer(Timer::with_not_before(stream, not_before));
    let mut connection = pin!(builder.serve_connection(io, service));
    let idle_when_closing = async {
        wait_until_closing(&mut phase).await;
        wait_until_idle(stream, &shared, first_request_deadline).await;
    };
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = idle_when_closing => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    shared.stopped.store(true, Ordering::Relaxed);
    if let Err(error) = result {
        log::debug!(error:% = error; "failed to read a request from the caller");
        if !error.is_timeout() && !error.is_parse() {
            return;
        }
    }
    drop(sender);
    discard_until_closed(stream, &mut 0).await;
}

/// Handles a request ahead of its turn if there is a permit for that, or else when its turn has come.
/// Returns once it has both a response and its turn.
async fn handle_in_turn(
    response_future: impl Future<Output = Response<Body>>,
    mut turn: oneshot::Receiver<()>,
    ahead: Arc<Semaphore>,
    response_sender: oneshot::Sender<Response<Body>>,
) {
    let mut permit = tokio::select! {
        biased;
        _ = &mut turn => None,
        permit = ahead.acquire_owned() => permit.ok(),
    };
    let mut response_future = pin!(response_future);
    let response = loop {
        tokio::select! {
            biased;
            response = &mut response_future => break response,
            _ = &mut turn, if permit.is_some() => permit = None,
        }
    };
    let _ = response_sender.send(response);
    if permit.is_some() {
        let _ = turn.await;
    }
}

/// Writes responses in order. Returns whether all of them are complete.
async fn write(
    stream: &Arc<TcpStream>,
    mut builder: http1::Builder,
    shared: Arc<Shared>,
    pending: mpsc::UnboundedReceiver<Pending>,
) -> bool {
    let io = WriteSide {
        stream: Arc::clone(stream),
        pending,
        shared: Arc::clone(&shared),
    };
    let service = service_fn(move |_: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let next = shared.awaiting_response.lock().pop_front();
        async move {
            let awaited = next.ok_or(Dropped)?;
            let mut response = awaited.response.await.map_err(|_| Dropped)?;
            shared.turns.record_response();
            let is_last = shared.unanswered.fetch_sub(1, Ordering::Relaxed) == 1;
            let ends_connection = awaited.ends_connection.load(Ordering::Acquire);
            response.headers_mut().remove(CONNECTION);
            let stopped = shared.stopped.load(Ordering::Relaxed);
            if is_last && (ends_connection || stopped || *shared.phase.borrow() != Phase::Open) {
                shared.stopped.store(true, Ordering::Relaxed);
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Dropped>(response)
        }
    });
    // The header timeout applies to the reading side alone: it sees the actual requests.
    builder.header_read_timeout(None).half_close(true);
    let connection = builder.serve_connection(io, service);
    let result = connection.await;
    if let Err(error) = &result {
        log::debug!(error:% = error; "failed to write a complete response");
    }
    result.is_ok()
}

/// Error of a request that was dropped before its handler returned a response.
#[derive(Debug, thiserror::Error)]
#[error("the request was dropped without a response")]
struct Dropped;

/// Waits until the phase is [`Phase::Closing`]; never returns if the sender is dropped earlier.
async fn wait_until_closing(phase: &mut watch::Receiver<Phase>) {
    let is_closing = phase
        .wait_for(|phase| matches!(phase, Phase::Closing { .. }))
        .await
        .is_ok();
    if !is_closing {
        std::future::pending::<()>().await;
    }
}

/// Waits until the connection has no unread bytes, and either has received a request or the time
/// for its first request has passed.
///
/// Failure: the listener closes while the thread is busy. Symptom: an idle connection is closed
/// while an unread request is in its receive buffer, and the caller gets no response. The buffer is
/// checked right before the close, so only a request that has not arrived yet can be lost.
async fn wait_until_idle(stream: &TcpStream, shared: &Shared, first_request_deadline: Instant) {
    loop {
        let awaits_first_request =
            !shared.has_request.load(Ordering::Relaxed) && Instant::now() < first_request_deadline;
        if !awaits_first_request && !has_unread(stream) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Discards what the caller still sends on a closed connection, until it disconnects or pauses.
///
/// Failure: a large upload is refused, and its caller sends all of it before it reads the response.
/// Symptom: the unread bytes make the system reset the connection, and the response is lost.
/// Reading on avoids the reset.
async fn linger(stream: &TcpStream, unread: &mut usize) {
    loop {
        let before = *unread;
        let closed =
            tokio::time::timeout(LINGER_IDLE_TIMEOUT, discard_until_closed(stream, unread)).await;
        if closed.is_ok() || *unread == before {
            return;
        }
    }
}

/// Reads and discards bytes until the caller closes its side; adds their number to `unread`.
async fn discard_until_closed(stream: &TcpStream, unread: &mut usize) {
    let mut buffer = [0_u8; BUFFER_BYTES];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(read) => *unread += read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Returns the request that the writing side reads in place of the actual one. It has the same
/// method and version, since these determine how hyper writes the response.
fn stub(request: &Request<Body>) -> &'static [u8] {
    match (request.method() == Method::HEAD, request.version()) {
        (false, Version::HTTP_10) => b"GET / HTTP/1.0\r\n\r\n",
        (true, Version::HTTP_10) => b"HEAD / HTTP/1.0\r\n\r\n",
        (false, _) => b"GET / HTTP/1.1\r\n\r\n",
        (true, _) => b"HEAD / HTTP/1.1\r\n\r\n",
    }
}
