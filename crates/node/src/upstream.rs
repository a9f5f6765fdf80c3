//! Calls to the upstream beside the node, over connections kept open.
//!
//! What comes back is sorted by what it proves: the answer to this very request, a
//! statement that the request did not run, or nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1;
use hyper::header::{
    ACCEPT_ENCODING, CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue,
    TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintridge_core::load::Upstream as Load;
use mintridge_http::{Body, reply};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::adapter::Adapter;
use crate::configs;

/// Idle connections are given up this long before the upstream says it closes them: a
/// request must not meet the close on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, or none of the request was written.
    #[error("the upstream cannot be reached; nothing was sent")]
    NeverSent,
    /// The deadline passed before a connection was open, so nothing of the request was written.
    #[error("no connection to the upstream by the deadline; nothing was sent")]
    NoConnectionInTime,
    /// The request was sent, and the deadline passed.
    #[error("the upstream did not answer by the deadline")]
    Unanswered,
    /// The connection broke, or the answer was cut short.
    #[error("the upstream broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The upstream started again before it answered.
    #[error("the upstream started again before it answered")]
    Restarted {
        /// Whether the request was sent to the start before.
        sent: bool,
    },
    /// The answer belongs to another request, or bears no mark of the upstream.
    #[error("what came back is not the upstream's answer to this request")]
    Foreign,
}

/// Whether the upstream takes a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It does.
    Open,
    /// Nothing listens at its address.
    Refused,
    /// It does not say: its host may be cut off, without power or paused.
    Silent,
}

/// What came back.
pub enum Received {
    /// The upstream's answer to this request.
    Answer(Parts, Body),
    /// The upstream says that the request did not run.
    NotRun {
        /// The instance that says so, if it names itself.
        instance: Option<Arc<str>>,
        /// Whether it is another instance than the one asked for.
        misdirected: bool,
        /// Its load, if it tells.
        load: Option<Load>,
    },
}

/// Connections to the upstream.
pub struct Upstream {
    names: configs::upstream::Settings,
    request_header: Option<String>,
    connect_within: Duration,
    idle_for: Duration,
    idle_most: usize,
    adapter: Adapter,
    idle: Arc<Mutex<Vec<Idle>>>,
    /// Counts the starts of the upstream that were heard of.
    starts: watch::Sender<u64>,
}

type Sender = http1::SendRequest<Body>;

/// A connection without a request.
struct Idle {
    address: SocketAddr,
    sender: Sender,
    unused_after: Instant,
}

/// A connection with a request, to be kept if its answer ends well.
struct Busy {
    idle: Arc<Mutex<Vec<Idle>>>,
    idle_most: usize,
    connection: Idle,
}

impl Busy {
    fn keep(self) {
        let mut idle = self.idle.lock();
        if idle.len() < self.idle_most && !self.connection.sender.is_closed() {
            idle.push(self.connection);
        }
    }
}

impl Upstream {
    /// No connection yet.
    #[must_use]
    pub fn new(settings: &crate::settings::Settings, adapter: Adapter) -> Self {
        Self {
            names: settings.upstream.clone(),
            request_header: settings.callers.request_header.clone(),
            connect_within: settings.guard.connect_within,
            idle_for: settings.guard.idle_connections_for,
            idle_most: settings.guard.idle_connections_most,
            adapter,
            idle: Arc::default(),
            starts: watch::Sender::new(0),
        }
    }

    /// The upstream has started again: no connection to the start before is used any more, and
    /// whoever waits for an answer of it is told at once.
    ///
    /// Failure: a host loses power, and its upstream starts again. Symptom: connections to the
    /// start before stay open and silent, and requests on them wait until their deadline.
    pub fn restarted(&self) {
        self.idle.lock().clear();
        self.starts.send_modify(|starts| *starts += 1);
    }

    /// Sends a request and waits for its answer until the deadline.
    ///
    /// Dropping the future closes the connection, by which the upstream learns that
    /// nobody waits any more. Until a connection is open nothing was sent, whatever ends the wait.
    ///
    /// # Errors
    /// If no answer to this request came.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Received, Error> {
        let deadline = deadline.into();
        let mut starts = self.starts.subscribe();
        let connecting = tokio::time::timeout_at(deadline, self.connection(address));
        let connection = tokio::select! {
            connected = connecting => connected.map_err(|_| Error::NoConnectionInTime)??,
            _ = starts.changed() => return Err(Error::Restarted { sent: false }),
        };
        let answered = tokio::time::timeout_at(deadline, self.exchange(connection, request));
        tokio::select! {
            received = answered => received.map_err(|_| Error::Unanswered)?,
            _ = starts.changed() => Err(Error::Restarted { sent: true }),
        }
    }

    async fn exchange(
        &self,
        mut connection: Idle,
        request: Request<Body>,
    ) -> Result<Received, Error> {
        let asked = Asked::of(self.request_header.as_deref(), request.headers());
        let sent = connection.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            if error.take_message().is_some() {
                Error::NeverSent
            } else {
                Error::Broken(error.into_error())
            }
        })?;
        let busy = self.busy(connection, response.headers());
        self.sort(&asked, response, busy).await
    }

    /// Asks something small that is no caller's request, over a connection kept open.
    ///
    /// An answer that does not name the instance may belong to an earlier request; it ends its
    /// connection.
    ///
    /// # Errors
    /// If no answer came.
    pub async fn ask(&self, address: SocketAddr, path: &str) -> Result<Parts, Error> {
        let mut request = Request::new(reply::empty());
        *request.uri_mut() = path.parse().map_err(|_| Error::NeverSent)?;
        let host = HeaderValue::try_from(address.to_string()).map_err(|_| Error::NeverSent)?;
        request.headers_mut().insert(HOST, host);
        let mut connection = self.connection(address).await?;
        let sent = connection.sender.send_request(request).await;
        let response = sent.map_err(Error::Broken)?;
        let busy = self.busy(connection, response.headers());
        let (parts, body) = response.into_parts();
        if self.instance(&parts.headers).is_none() {
            return Err(Error::Foreign);
        }
        body.collect().await.map_err(Error::Broken)?;
        busy.keep();
        Ok(parts)
    }

    /// Tries a new connection; one that opens is kept for the next request.
    pub async fn reach(&self, address: SocketAddr) -> Reach {
        let connecting = tokio::time::timeout(self.connect_within, TcpStream::connect(address));
        match connecting.await {
            Err(_) => Reach::Silent,
            Ok(Err(_)) => Reach::Refused,
            Ok(Ok(stream)) => {
                if let Some(connection) = self.open_on(address, stream).await {
                    let busy = Busy {
                        idle: Arc::clone(&self.idle),
                        idle_most: self.idle_most,
                        connection,
                    };
                    busy.keep();
                }
                Reach::Open
            }
        }
    }

    /// Whether answers tell the load.
    #[must_use]
    pub const fn reports_load(&self) -> bool {
        self.names.load_header.is_some()
    }

    /// The load that an answer tells.
    #[must_use]
    pub fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let written = named(headers, self.names.load_header.as_deref())?;
        (self.adapter.load)(written)
    }

    /// How much longer the upstream stays cold, as the answer to a health check tells it.
    #[must_use]
    pub fn cold_for(&self, headers: &HeaderMap) -> Option<Duration> {
        let written = named(headers, self.names.cold_header.as_deref())?;
        (self.adapter.cold)(written)
    }

    /// The instance that an answer names.
    #[must_use]
    pub fn instance(&self, headers: &HeaderMap) -> Option<Arc<str>> {
        named(headers, self.names.instance_header.as_deref()).map(Arc::from)
    }

    /// A connection on which an answer with these headers has begun.
    fn busy(&self, connection: Idle, headers: &HeaderMap) -> Busy {
        Busy {
            idle: Arc::clone(&self.idle),
            idle_most: self.idle_most,
            connection: Idle {
                unused_after: self.unused_after(headers),
                ..connection
            },
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Idle, Error> {
        if let Some(kept) = self.take_idle(address) {
            return Ok(kept);
        }
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            self.open_on(address, stream).await
        };
        let connected = tokio::time::timeout(self.connect_within, connecting).await;
        connected.ok().flatten().ok_or(Error::NeverSent)
    }

    /// Makes a connection of an open stream.
    async fn open_on(&self, address: SocketAddr, stream: TcpStream) -> Option<Idle> {
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(upstream:% = address, error:% = error; "connection ended");
            }
        });
        Some(Idle {
            address,
            sender,
            unused_after: Instant::now() + self.idle_for,
        })
    }

    /// The connection used last, so that those not needed grow old and are given up.
    fn take_idle(&self, address: SocketAddr) -> Option<Idle> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|kept| {
            kept.address == address && now < kept.unused_after && !kept.sender.is_closed()
        });
        let ready = idle.iter().rposition(|kept| kept.sender.is_ready())?;
        Some(idle.remove(ready))
    }

    fn unused_after(&self, headers: &HeaderMap) -> Instant {
        let now = Instant::now();
        let told = named(headers, Some("keep-alive")).and_then(keep_alive_timeout);
        let told = told.map_or(self.idle_for, |told| told.saturating_sub(KEEP_ALIVE_MARGIN));
        now + told.min(self.idle_for)
    }

    /// Tells an answer to this request from everything else.
    ///
    /// Failure: an upstream sends a second answer, or bytes that belong to no request, and
    /// they arrive where the next answer is due. Symptom: a caller gets somebody else's
    /// answer. The answer must bring back the id of its request and, if it is one of
    /// success, the upstream's mark; otherwise its connection is closed with all that
    /// may still come on it.
    async fn sort(
        &self,
        asked: &Asked,
        response: Response<Incoming>,
        busy: Busy,
    ) -> Result<Received, Error> {
        let (mut parts, body) = response.into_parts();
        if !asked.is_answered_by(&parts.headers) {
            return Err(Error::Foreign);
        }
        let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST
            && self.names.expected_instance_header.is_some();
        if misdirected || named(&parts.headers, self.names.not_run_header.as_deref()).is_some() {
            let not_run = Received::NotRun {
                instance: self.instance(&parts.headers),
                misdirected,
                load: self.load(&parts.headers),
            };
            if body.collect().await.is_ok() {
                busy.keep();
            }
            return Ok(not_run);
        }
        let signed = self.names.signature_header.is_none()
            || named(&parts.headers, self.names.signature_header.as_deref()).is_some();
        if parts.status.is_success() && !signed || !asked.allows_encoding(&parts.headers) {
            return Err(Error::Foreign);
        }
        let body = self.hold(body, busy).await?;
        if body.whole {
            parts.headers.remove(TRANSFER_ENCODING);
            parts.headers.remove(CONTENT_LENGTH);
        }
        Ok(Received::Answer(parts, body.body))
    }

    /// Waits for the whole body if it is short.
    async fn hold(&self, mut body: Incoming, busy: Busy) -> Result<HeldBody, Error> {
        let mut arrived = BytesMut::new();
        while let Some(frame) = self.next_to_hold(&mut body, arrived.len()).await {
            match frame {
                Next::Frame(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        arrived.extend_from_slice(&data);
                    }
                }
                Next::TooLong => return Ok(HeldBody::rest(arrived.freeze(), body, busy)),
            }
        }
        busy.keep();
        Ok(HeldBody {
            body: reply::full(arrived.freeze()),
            whole: true,
        })
    }

    async fn next_to_hold(&self, body: &mut Incoming, held: usize) -> Option<Next> {
        let announced = hyper::body::Body::size_hint(body).lower();
        let left = usize::try_from(announced).unwrap_or(usize::MAX);
        if held.saturating_add(left) > self.names.answer_held_most {
            return Some(Next::TooLong);
        }
        body.frame().await.map(Next::Frame)
    }
}

enum Next {
    Frame(Result<Frame<Bytes>, hyper::Error>),
    TooLong,
}

struct HeldBody {
    body: Body,
    whole: bool,
}

impl HeldBody {
    /// A long body passes on as it comes; its connection is kept once it has ended.
    fn rest(begun: Bytes, body: Incoming, busy: Busy) -> Self {
        let first = (!begun.is_empty()).then_some(begun);
        let state = (first, body, Some(busy));
        let frames = futures_util::stream::unfold(state, |(first, mut body, mut busy)| async {
            if let Some(begun) = first {
                return Some((Ok(Frame::data(begun)), (None, body, busy)));
            }
            let Some(frame) = body.frame().await else {
                if let Some(busy) = busy.take() {
                    busy.keep();
                }
                return None;
            };
            if frame.is_err() {
                busy = None;
            }
            Some((frame.map_err(std::io::Error::other), (None, body, busy)))
        });
        Self {
            body: Body::new(StreamBody::new(frames)),
            whole: false,
        }
    }
}

/// What an answer has to fit.
struct Asked {
    id: Option<(String, Bytes)>,
    encodings: bool,
}

impl Asked {
    fn of(request_header: Option<&str>, headers: &HeaderMap) -> Self {
        let id = request_header.and_then(|name| {
            let value = headers.get(name)?;
            Some((name.to_owned(), Bytes::copy_from_slice(value.as_bytes())))
        });
        Self {
            id,
            encodings: headers.contains_key(ACCEPT_ENCODING),
        }
    }

    fn is_answered_by(&self, headers: &HeaderMap) -> bool {
        let Some((name, id)) = &self.id else {
            return true;
        };
        headers
            .get(name.as_str())
            .is_some_and(|echoed| echoed.as_bytes() == id)
    }

    /// An encoding that nobody asked for is not the upstream's doing.
    fn allows_encoding(&self, headers: &HeaderMap) -> bool {
        self.encodings || self.id.is_none() || !headers.contains_key(CONTENT_ENCODING)
    }
}

fn named<'a>(headers: &'a HeaderMap, name: Option<&str>) -> Option<&'a str> {
    headers.get(name?)?.to_str().ok()
}

/// The timeout of a `Keep-Alive` field.
fn keep_alive_timeout(field: &str) -> Option<Duration> {
    field
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok())
        .map(Duration::from_secs)
}
