//! Listeners: accept, serve gotham handlers, stop gracefully.

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
use tokio::sync::{mpsc, watch};

use crate::counted::Counted;
use crate::{Body, pipeline};

/// Protocol spoken on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1, for upstreams and operators.
    Http1,
    /// HTTP/1.1 with this many requests of one connection worked on at once, for callers.
    Pipelined(usize),
    /// HTTP/2 with prior knowledge, between nodes.
    Http2,
}

/// What one listener takes at most.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections open at once; further ones are closed at once.
    pub connections: usize,
    /// Bytes of a request's header section.
    pub header_bytes: usize,
    /// Fields of a request's header section.
    pub header_fields: usize,
    /// Time for a request's header section to arrive.
    pub header_within: Duration,
    /// Bytes of a request body taken before the handler reads it (HTTP/2 only).
    pub window: u32,
    /// Requests open at once on one connection (HTTP/2 only).
    pub streams: u32,
}

/// Bytes of a request body that may be on their way before its handler reads it.
///
/// A request that is refused before it is handed over has carried this much of its body for
/// nothing. A larger body takes a round trip for each such part.
const WINDOW: u32 = 16 * 1024;

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            header_bytes: 32 * 1024,
            header_fields: 100,
            header_within: Duration::from_secs(5),
            window: WINDOW,
            streams: 1024,
        }
    }
}

/// Phases of a listener's life, set by its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serve.
    Open,
    /// Serve, and let callers know that they should go elsewhere.
    Leaving,
    /// Take no more connections; finish the requests in progress until `give_up_at`.
    Closing {
        /// What is not finished by then is cut.
        give_up_at: Instant,
    },
}

/// How a listener ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Connections with a request in progress that were cut.
    pub cut: usize,
}

/// Serves until the phase turns to closing and the requests in progress are finished.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    protocol: Protocol,
    limits: Limits,
    mut phase: watch::Receiver<Phase>,
) -> Ended
where
    H: NewHandler + 'static,
{
    let (working, mut finished) = mpsc::channel::<Infallible>(1);
    let accepting = Accepting {
        handler: Arc::new(handler),
        protocol,
        limits,
        phase: phase.clone(),
        graceful: GracefulShutdown::new(),
        open: Arc::default(),
        working,
    };
    let give_up_at = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => accepting.take(stream, peer),
                Err(error) => {
                    log::warn!(error:% = error; "accept failed");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            },
            () = closing(&mut phase) => break closes_at(&phase),
        }
    };
    accepting.take_waiting(listener);
    let Accepting {
        graceful,
        open,
        working,
        ..
    } = accepting;
    drop(working);
    let all_finished = async {
        graceful.shutdown().await;
        finished.recv().await;
    };
    let finished = tokio::time::timeout_at(give_up_at.into(), all_finished).await;
    let cut = if finished.is_ok() {
        0
    } else {
        open.load(Ordering::Relaxed)
    };
    Ended { cut }
}

/// What becomes of connections that a listener accepts.
struct Accepting<H> {
    handler: Arc<H>,
    protocol: Protocol,
    limits: Limits,
    phase: watch::Receiver<Phase>,
    graceful: GracefulShutdown,
    open: Arc<AtomicUsize>,
    /// Held by each pipelined connection until it has ended.
    working: mpsc::Sender<Infallible>,
}

impl<H: NewHandler + 'static> Accepting<H> {
    fn take(&self, stream: TcpStream, peer: SocketAddr) {
        if self.open.load(Ordering::Relaxed) >= self.limits.connections {
            log::warn!(peer:% = peer; "connection closed: too many are open");
            return;
        }
        let connection = Connection {
            stream,
            peer,
            counted: Counted::new(Arc::clone(&self.open)),
        };
        let handler = Arc::clone(&self.handler);
        let Protocol::Pipelined(most) = self.protocol else {
            spawn(
                connection,
                handler,
                self.protocol,
                &self.limits,
                &self.graceful,
            );
            return;
        };
        let working = self.working.clone();
        let limits = self.limits.clone();
        let phase = self.phase.clone();
        tokio::spawn(async move {
            pipelined(connection, handler, &limits, most, phase).await;
            drop(working);
        });
    }

    /// Takes the connections that wait to be accepted, and closes the listener.
    ///
    /// Failure: the thread is busy while callers connect, and the listener closes next. Symptom:
    /// the system resets what waits in the listener's queue, and requests that have arrived there
    /// end without an answer. The system is asked until its queue is empty, since the runtime may
    /// not have looked for a while.
    fn take_waiting(&self, listener: TcpListener) {
        let listener = match listener.into_std() {
            Ok(listener) => listener,
            Err(error) => {
                log::warn!(error:% = error; "connections that waited to be accepted are lost");
                return;
            }
        };
        while let Ok((stream, peer)) = listener.accept() {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.take(stream, peer),
                Err(error) => log::warn!(peer:% = peer, error:% = error; "accept failed"),
            }
        }
    }
}

/// Waits until the phase is closing, or its owner is gone.
async fn closing(phase: &mut watch::Receiver<Phase>) {
    let turned = phase
        .wait_for(|phase| matches!(phase, Phase::Closing { .. }))
        .await;
    drop(turned);
}

fn closes_at(phase: &watch::Receiver<Phase>) -> Instant {
    match *phase.borrow() {
        Phase::Closing { give_up_at } => give_up_at,
        Phase::Open | Phase::Leaving => Instant::now(),
    }
}

/// An accepted connection.
struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    counted: Counted,
}

async fn pipelined<H>(
    connection: Connection,
    handler: Arc<H>,
    limits: &Limits,
    most: usize,
    phase: watch::Receiver<Phase>,
) where
    H: NewHandler + 'static,
{
    let peer = connection.peer;
    if let Err(error) = connection.stream.set_nodelay(true) {
        log::debug!(error:% = error; "no-delay not set");
    }
    let respond = move |request| handle(Arc::clone(&handler), request, peer);
    let builder = http1(limits);
    let header_within = limits.header_within;
    pipeline::serve(
        connection.stream,
        &builder,
        most,
        header_within,
        phase,
        respond,
    )
    .await;
    drop(connection.counted);
}

fn spawn<H>(
    connection: Connection,
    handler: Arc<H>,
    protocol: Protocol,
    limits: &Limits,
    graceful: &GracefulShutdown,
) where
    H: NewHandler + 'static,
{
    let Connection {
        stream,
        peer,
        counted,
    } = connection;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "no-delay not set");
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let answered = handle(Arc::clone(&handler), request, peer);
        async move { Ok::<_, Infallible>(answered.await) }
    });
    let io = TokioIo::new(stream);
    match protocol {
        Protocol::Http1 | Protocol::Pipelined(_) => {
            let connection = http1(limits).serve_connection(io, service);
            let watched = graceful.watch(connection);
            tokio::spawn(async move {
                finish(watched.await, peer);
                drop(counted);
            });
        }
        Protocol::Http2 => {
            let connection = http2(limits).serve_connection(io, service);
            let watched = graceful.watch(connection);
            tokio::spawn(async move {
                finish(watched.await, peer);
                drop(counted);
            });
        }
    }
}

fn http1(limits: &Limits) -> hyper::server::conn::http1::Builder {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_within)
        .max_headers(limits.header_fields)
        .max_buf_size(limits.header_bytes.max(8192));
    builder
}

/// The window bounds what arrives of a body before its handler asks for it, and with
/// it the memory that a waiting request holds.
fn http2(limits: &Limits) -> hyper::server::conn::http2::Builder<TokioExecutor> {
    let mut builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
    let header_bytes = u32::try_from(limits.header_bytes).unwrap_or(u32::MAX);
    let resets = usize::try_from(limits.streams).unwrap_or(usize::MAX);
    builder
        .timer(TokioTimer::new())
        .max_header_list_size(header_bytes)
        .initial_stream_window_size(limits.window)
        .initial_connection_window_size(limits.window.saturating_mul(16))
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
    let answered = call_handler(handler, AssertUnwindSafe(state)).await;
    answered.unwrap_or_else(|error| {
        log::error!(error:% = error; "handler could not be made");
        let status = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        crate::reply::text(status, "handler could not be made\n")
    })
}

fn finish(ended: Result<(), hyper::Error>, peer: SocketAddr) {
    if let Err(error) = ended {
        log::debug!(peer:% = peer, error:% = error; "connection ended");
    }
}
