//! Listeners that accept connections, serve gotham handlers and shut down gracefully.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use gotham::handler::NewHandler;
use gotham::service::call_handler;
use gotham::state::State;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};

use crate::counted::{CountGuard, CountedBody};
use crate::{Body, pipeline};

/// Protocol spoken on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1, for upstreams and operators.
    Http1,
    /// HTTP/1.1 with up to this many pipelined requests of a connection handled concurrently, for
    /// callers.
    Pipelined(usize),
    /// HTTP/2 with prior knowledge, between nodes.
    Http2,
}

/// Limits of a listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Maximum number of fields in a request's header section.
    pub header_fields: usize,
    /// Maximum time for a request's header section to arrive.
    pub header_timeout: Duration,
    /// Maximum bytes of a request body received before the handler reads it (HTTP/2 only).
    pub window: u32,
    /// Maximum number of concurrent requests of a connection (HTTP/2 only).
    pub streams: u32,
    /// Maximum number of pipelined requests of all connections that are handled before the responses
    /// ahead of theirs are written. Their responses wait in memory.
    pub ahead: usize,
}

/// Flow-control window of a stream: the bytes of a request body that may be in flight before the
/// handler reads it.
///
/// When a request is refused before its handler reads the body, up to this many bytes were sent
/// although they are discarded. A body larger than the window needs one round trip per window.
const WINDOW_BYTES: u32 = 16 * 1024;
/// HTTP/2 flow-control window of a connection, the largest that the protocol has.
///
/// Failure: all streams share the window of their connection, and unread bodies fill it.
/// Symptom: no other body arrives. Only the window of each stream is therefore limited.
pub const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_bytes: 32 * 1024,
            header_fields: 100,
            header_timeout: Duration::from_secs(5),
            window: WINDOW_BYTES,
            streams: 1024,
            ahead: 512,
        }
    }
}

/// A closing listener aborts connections between nodes if none has carried a request for this long.
/// A peer that lives confirms the close within a round trip.
const UNCONFIRMED_CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a closing listener checks whether requests are in progress.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Lifecycle phases of a listener, set by its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serves requests.
    Open,
    /// Serves requests, and closes pipelined connections after their last pending response so that
    /// callers reconnect elsewhere.
    Leaving,
    /// Accepts no more connections; requests in progress may finish until `give_up_at`.
    Closing {
        /// When connections with unfinished requests are aborted.
        give_up_at: Instant,
    },
}

/// Result of a listener's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Number of connections with a request in progress that were aborted.
    pub aborted_connections: usize,
}

/// Serves until the phase is [`Phase::Closing`] and the requests in progress have finished or
/// `give_up_at` has passed.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    protocol: Protocol,
    limits: Limits,
    mut phase: watch::Receiver<Phase>,
) -> Shutdown
where
    H: NewHandler + 'static,
{
    let (connection_guard, mut all_ended) = mpsc::channel::<Infallible>(1);
    let acceptor = Acceptor {
        handler: Arc::new(handler),
        protocol,
        phase: phase.clone(),
        graceful: GracefulShutdown::new(),
        open: Arc::default(),
        in_progress: Arc::default(),
        ahead: Arc::new(Semaphore::new(limits.ahead)),
        limits,
        connection_guard,
    };
    let give_up_at = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => acceptor.accept(stream, peer),
                Err(error) => {
                    log::warn!(error:% = error; "accept failed");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            },
            () = wait_until_closing(&mut phase) => break closing_deadline(&phase),
        }
    };
    acceptor.accept_queued(listener);
    let Acceptor {
        graceful,
        open,
        in_progress,
        connection_guard,
        ..
    } = acceptor;
    drop(connection_guard);
    let all_finished = async {
        graceful.shutdown().await;
        all_ended.recv().await;
    };
    let all_finished = async {
        tokio::select! {
            () = wait_until_unused(&in_progress), if protocol == Protocol::Http2 => {
                let connections = open.load(Ordering::Relaxed);
                log::info!(connections = connections; "peers did not confirm the close of unused connections");
            }
            () = all_finished => {}
        }
    };
    let shutdown = tokio::time::timeout_at(give_up_at.into(), all_finished).await;
    let aborted_connections = if shutdown.is_ok() {
        0
    } else {
        open.load(Ordering::Relaxed)
    };
    Shutdown {
        aborted_connections,
    }
}

/// Waits until no request has been in progress for [`UNCONFIRMED_CLOSE_TIMEOUT`].
///
/// Failure: a connection falls silent for good while its listener closes. Symptom: the end of an
/// HTTP/2 connection waits for the peer's answer to a ping, so the stop lasts until the process is
/// killed.
async fn wait_until_unused(in_progress: &AtomicUsize) {
    let mut unused_since = Instant::now();
    while unused_since.elapsed() < UNCONFIRMED_CLOSE_TIMEOUT {
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        if in_progress.load(Ordering::Relaxed) > 0 {
            unused_since = Instant::now();
        }
    }
}

/// Serves the connections that a listener accepts.
struct Acceptor<H> {
    handler: Arc<H>,
    protocol: Protocol,
    limits: Limits,
    phase: watch::Receiver<Phase>,
    graceful: GracefulShutdown,
    open: Arc<AtomicUsize>,
    /// Number of requests whose responses have not been passed on, but for pipelined connections.
    in_progress: Arc<AtomicUsize>,
    /// Permits of pipelined requests that are handled ahead of their turn.
    ahead: Arc<Semaphore>,
    /// Cloned by each pipelined connection and dropped when it has ended, so that the receiver
    /// closes after the last one.
    connection_guard: mpsc::Sender<Infallible>,
}

impl<H: NewHandler + 'static> Acceptor<H> {
    fn accept(&self, stream: TcpStream, peer: SocketAddr) {
        if self.open.load(Ordering::Relaxed) >= self.limits.connections {
            log::warn!(peer:% = peer; "connection rejected: too many open connections");
            return;
        }
        let connection = Connection {
            stream,
            peer,
            open_guard: CountGuard::new(Arc::clone(&self.open)),
        };
        let handler = Arc::clone(&self.handler);
        let Protocol::Pipelined(max_in_progress) = self.protocol else {
            self.spawn(connection, handler);
            return;
        };
        let connection_guard = self.connection_guard.clone();
        let limits = self.limits.clone();
        let concurrency = pipeline::Concurrency {
            per_connection: max_in_progress,
            ahead: Arc::clone(&self.ahead),
        };
        let phase = self.phase.clone();
        tokio::spawn(async move {
            serve_pipelined(connection, handler, &limits, concurrency, phase).await;
            drop(connection_guard);
        });
    }

    /// Serves a connection whose requests are not pipelined.
    fn spawn(&self, connection: Connection, handler: Arc<H>) {
        let Connection {
            stream,
            peer,
            open_guard,
        } = connection;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "failed to set TCP_NODELAY");
        }
        let in_progress = Arc::clone(&self.in_progress);
        let service = service_fn(move |request: Request<Incoming>| {
            let guard = CountGuard::new(Arc::clone(&in_progress));
            let response = handle(Arc::clone(&handler), request, peer);
            async move {
                let response = response.await;
                Ok::<_, Infallible>(response.map(|body| CountedBody::new(body, guard)))
            }
        });
        let io = TokioIo::new(stream);
        match self.protocol {
            Protocol::Http1 | Protocol::Pipelined(_) => {
                let connection = http1(&self.limits).serve_connection(io, service);
                let graceful_connection = self.graceful.watch(connection);
                tokio::spawn(async move {
                    log_failure(graceful_connection.await, peer);
                    drop(open_guard);
                });
            }
            Protocol::Http2 => {
                let connection = http2(&self.limits).serve_connection(io, service);
                let graceful_connection = self.graceful.watch(connection);
                tokio::spawn(async move {
                    log_failure(graceful_connection.await, peer);
                    drop(open_guard);
                });
            }
        }
    }

    /// Accepts the connections in the listener's accept queue, and closes the listener.
    ///
    /// Failure: the thread is busy while callers connect, and the listener closes next. Symptom:
    /// the operating system resets the connections in the accept queue, and requests that have
    /// arrived on them get no response. The runtime's readiness may be out of date, so this calls
    /// the operating system directly until the queue is empty.
    fn accept_queued(&self, listener: TcpListener) {
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!(error:% = error; "connections in the accept queue are lost");
                return;
            }
        };
        while let Ok((stream, peer)) = listener.accept() {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.accept(stream, peer),
                Err(error) => log::warn!(peer:% = peer, error:% = error; "accept failed"),
            }
        }
    }
}

/// Waits until the phase is [`Phase::Closing`] or its sender is dropped.
async fn wait_until_closing(phase: &mut watch::Receiver<Phase>) {
    let result = phase
        .wait_for(|phase| matches!(phase, Phase::Closing { .. }))
        .await;
    drop(result);
}

fn closing_deadline(phase: &watch::Receiver<Phase>) -> Instant {
    match *phase.borrow() {
        Phase::Closing { give_up_at } => give_up_at,
        Phase::Open | Phase::Leaving => Instant::now(),
    }
}

/// An accepted connection.
struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    open_guard: CountGuard,
}

async fn serve_pipelined<H>(
    connection: Connection,
    handler: Arc<H>,
    limits: &Limits,
    concurrency: pipeline::Concurrency,
    phase: watch::Receiver<Phase>,
) where
    H: NewHandler + 'static,
{
    let peer = connection.peer;
    if let Err(error) = connection.stream.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set TCP_NODELAY");
    }
    let respond = move |request| handle(Arc::clone(&handler), request, peer);
    let builder = http1(limits);
    let header_timeout = limits.header_timeout;
    pipeline::serve(
        connection.stream,
        &builder,
        concurrency,
        header_timeout,
        phase,
        respond,
    )
    .await;
    drop(connection.open_guard);
}

fn http1(limits: &Limits) -> hyper::server::conn::http1::Builder {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.header_fields)
        // Hyper panics if the buffer is smaller than 8192 bytes.
        .max_buf_size(limits.header_bytes.max(8192));
    builder
}

/// The window bounds how much of a body arrives before its handler reads it, and thus the memory
/// used by a queued request.
fn http2(limits: &Limits) -> hyper::server::conn::http2::Builder<TokioExecutor> {
    let mut builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
    let header_bytes = u32::try_from(limits.header_bytes).unwrap_or(u32::MAX);
    // Hyper closes a connection with more pending reset streams than this (20 by default). The
    // limit equals the number of streams, so a peer can cancel all of them at once.
    let resets = usize::try_from(limits.streams).unwrap_or(usize::MAX);
    builder
        .timer(TokioTimer::new())
        .max_header_list_size(header_bytes)
        .initial_stream_window_size(limits.window)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(limits.streams)
        .max_pending_accept_reset_streams(resets);
    builder
}

async fn handle<H, B>(handler: Arc<H>, request: Request<B>, peer: SocketAddr) -> Response<Body>
where
    H: NewHandler + 'static,
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let state = State::from_request(request, peer);
    let response = call_handler(handler, AssertUnwindSafe(state)).await;
    response.unwrap_or_else(|error| {
        log::error!(error:% = error; "failed to create a request handler");
        let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        crate::reply::text(status, "handler could not be made\n")
    })
}

fn log_failure(result: Result<(), hyper::Error>, peer: SocketAddr) {
    if let Err(error) = result {
        log::debug!(peer:% = peer, error:% = error; "connection failed");
    }
}
