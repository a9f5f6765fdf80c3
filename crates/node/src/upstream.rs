//! Calls to the upstream beside the node, over pooled connections.
//!
//! A response is classified by what it proves: it is the response to this request, it states that
//! the request did not run, or it proves nothing and is an error.

mod encoding;
mod head_limit;
mod response_body;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintridge_core::load::Upstream as Load;
use mintridge_core::notice::{Limit, Notice};
use mintridge_http::{Body, reply};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::watch;

use self::encoding::Accepted;
use self::head_limit::HeadLimit;
use self::response_body::{ResponseBody, discard};
use crate::adapter::Adapter;
use crate::configs;

/// Idle connections are discarded this long before the timeout in the upstream's `Keep-Alive`
/// header, because a request that is sent while the upstream closes the connection is lost.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Reason for which no response was received.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, or no byte of the request was written.
    #[error("the upstream is unreachable; nothing was sent")]
    NeverSent,
    /// The deadline passed before a connection was open; no byte of the request was written.
    #[error("no connection to the upstream by the deadline; nothing was sent")]
    NoConnectionInTime,
    /// The request was sent, and the deadline passed without a response.
    #[error("the upstream did not respond by the deadline")]
    Unanswered,
    /// The connection broke, or the response is truncated or malformed.
    #[error("the connection to the upstream broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The upstream restarted before it responded.
    #[error("the upstream restarted before it responded")]
    Restarted {
        /// Whether the request may have been sent to the previous incarnation.
        sent: bool,
    },
    /// The response received is not the response to this request: it does not echo the request's
    /// id, lacks the upstream's signature or instance header, or has an encoding that the request
    /// does not allow.
    #[error("the response received is not the upstream's response to this request")]
    Foreign,
    /// The response to a request of the node's own is longer than any such response.
    #[error("the response did not end within its limits")]
    Endless,
}

/// Result of an attempt to open a new connection to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The upstream accepted the connection.
    Open,
    /// The connection was refused: nothing listens at the upstream's address.
    Refused,
    /// No reply in time: the host may be disconnected, without power or paused.
    TimedOut,
}

/// Classified response of the upstream.
pub enum Received {
    /// The upstream's response to this request.
    Answer(Parts, Body),
    /// The upstream states that the request did not run.
    NotRun {
        /// Id of the responding instance, if the response contains it.
        instance: Option<Arc<str>>,
        /// Whether it is another instance than the expected one.
        misdirected: bool,
        /// Load of the upstream, if the response contains it.
        load: Option<Load>,
        /// Further statements of the upstream.
        notice: Notice,
        /// When the head of the response was received.
        received_at: ReceivedAt,
    },
}

/// When the head of a response was received; an extension of [`Parts`]. The whole response may be
/// complete much later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReceivedAt(pub Instant);

/// Client of the upstream, with a pool of connections.
pub struct Upstream {
    settings: configs::upstream::Settings,
    request_header: Option<String>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    max_idle: usize,
    adapter: Adapter,
    idle: Arc<Mutex<Vec<Connection>>>,
    /// Number of restarts of the upstream that were detected.
    restarts: watch::Sender<u64>,
}

type Sender = http1::SendRequest<Body>;

/// An open connection.
struct Connection {
    address: SocketAddr,
    sender: Sender,
    head_limit: HeadLimit,
    expires_at: Instant,
}

impl Connection {
    /// Sends a GET request of the node's own and waits for the head of the response.
    async fn get(&mut self, path: &str) -> Result<Response<Incoming>, Error> {
        let mut request = Request::new(reply::empty());
        *request.uri_mut() = path.parse().map_err(|_| Error::NeverSent)?;
        let host = HeaderValue::try_from(self.address.to_string()).map_err(|_| Error::NeverSent)?;
        request.headers_mut().insert(HOST, host);
        self.head_limit.begin();
        let sent = self.sender.send_request(request).await;
        self.head_limit.end();
        sent.map_err(Error::Broken)
    }
}

/// A connection in use, to be returned to the pool once its response is complete. Dropping it
/// instead closes the connection.
struct Checkout {
    idle: Arc<Mutex<Vec<Connection>>>,
    max_idle: usize,
    connection: Connection,
}

impl Checkout {
    fn check_in(self) {
        let mut idle = self.idle.lock();
        if idle.len() < self.max_idle && !self.connection.sender.is_closed() {
            idle.push(self.connection);
        }
    }
}

impl Upstream {
    /// Creates a client without connections.
    #[must_use]
    pub fn new(settings: &crate::settings::Settings, adapter: Adapter) -> Self {
        Self {
            settings: settings.upstream.clone(),
            request_header: settings.callers.request_header.clone(),
            connect_timeout: settings.guard.connect_within,
            idle_timeout: settings.guard.idle_connections_for,
            max_idle: settings.guard.idle_connections_most,
            adapter,
            idle: Arc::default(),
            restarts: watch::Sender::new(0),
        }
    }

    /// Handles a restart of the upstream: discards idle connections to the previous incarnation and
    /// immediately fails all requests that wait for a connection or a response.
    ///
    /// Failure: a host loses power, and its upstream restarts. Symptom: connections to the previous
    /// incarnation stay open without any traffic, and requests on them wait until their deadline.
    pub fn reset_after_restart(&self) {
        self.idle.lock().clear();
        self.restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Sends a request and waits for its response until the deadline.
    ///
    /// Dropping the future closes the connection, which tells the upstream that the response is no
    /// longer needed. Any error that occurs before a connection is open means that nothing was
    /// sent.
    ///
    /// # Errors
    /// If no response to this request was received.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Received, Error> {
        let deadline = deadline.into();
        let mut restarts = self.restarts.subscribe();
        let acquiring = tokio::time::timeout_at(deadline, self.acquire(address));
        let connection = tokio::select! {
            acquired = acquiring => acquired.map_err(|_| Error::NoConnectionInTime)??,
            _ = restarts.changed() => return Err(Error::Restarted { sent: false }),
        };
        let sending = tokio::time::timeout_at(deadline, self.send_on(connection, request));
        tokio::select! {
            received = sending => received.map_err(|_| Error::Unanswered)?,
            _ = restarts.changed() => Err(Error::Restarted { sent: true }),
        }
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        request: Request<Body>,
    ) -> Result<Received, Error> {
        let expected = Expectation::of(self.request_header.as_deref(), request.headers());
        connection.head_limit.begin();
        let sent = connection.sender.try_send_request(request).await;
        connection.head_limit.end();
        let mut response = sent.map_err(|mut error| {
            if error.take_message().is_some() {
                Error::NeverSent
            } else {
                Error::Broken(error.into_error())
            }
        })?;
        response.extensions_mut().insert(ReceivedAt(Instant::now()));
        let checkout = self.checkout(connection, response.headers());
        self.classify(&expected, response, checkout).await
    }

    /// Sends a small GET request of the node's own, such as a health check, over a pooled
    /// connection.
    ///
    /// A response that does not name the instance may belong to an earlier request; its connection
    /// is closed.
    ///
    /// # Errors
    /// If no valid response was received.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Parts, Error> {
        let mut connection = self.acquire(address).await?;
        let response = connection.get(path).await?;
        let checkout = self.checkout(connection, response.headers());
        let (parts, body) = response.into_parts();
        if self.instance(&parts.headers).is_none() {
            return Err(Error::Foreign);
        }
        discard(body).await?;
        checkout.check_in();
        Ok(parts)
    }

    /// Sends a health check over a new connection, which shows whether the upstream accepts one, and
    /// returns the head of the response.
    ///
    /// # Errors
    /// If no response was received.
    pub async fn check(&self, address: SocketAddr, path: &str) -> Result<Parts, Error> {
        let mut connection = self.connect(address).await?;
        let response = connection.get(path).await?;
        Ok(response.into_parts().0)
    }

    /// Tries to open a new connection; if it opens, it goes to the pool.
    pub async fn try_connect(&self, address: SocketAddr) -> Reachability {
        let connecting = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address));
        match connecting.await {
            Err(_) => Reachability::TimedOut,
            Ok(Err(_)) => Reachability::Refused,
            Ok(Ok(stream)) => {
                if let Some(connection) = self.open_on(address, stream).await {
                    let checkout = Checkout {
                        idle: Arc::clone(&self.idle),
                        max_idle: self.max_idle,
                        connection,
                    };
                    checkout.check_in();
                }
                Reachability::Open
            }
        }
    }

    /// Returns whether responses are expected to contain the upstream's load.
    #[must_use]
    pub const fn reports_load(&self) -> bool {
        self.settings.load_header.is_some()
    }

    /// Returns the upstream's load from the headers of a response.
    #[must_use]
    pub fn load(&self, headers: &HeaderMap) -> Option<Load> {
        let value = header_text(headers, self.settings.load_header.as_deref())?;
        (self.adapter.load)(value)
    }

    /// Returns how much longer the upstream stays cold, from the headers of a health check
    /// response.
    #[must_use]
    pub fn cold_for(&self, headers: &HeaderMap) -> Option<Duration> {
        let value = header_text(headers, self.settings.cold_header.as_deref())?;
        (self.adapter.cold)(value)
    }

    /// Returns what the upstream states about itself in the headers of a response.
    #[must_use]
    pub fn notice(&self, headers: &HeaderMap) -> Notice {
        let limit_header = self.settings.request_limit_header.as_deref();
        let values = limit_header.map(|name| headers.get_all(name));
        let mut values = values.iter().flatten();
        let limit = match (values.next(), values.next()) {
            (None, _) => Limit::Absent,
            (Some(value), None) => {
                let limit = value.to_str().ok().and_then(self.adapter.request_limit);
                limit.map_or(Limit::Unreadable, Limit::Named)
            }
            (Some(_), Some(_)) => Limit::Unreadable,
        };
        let leaving = header_text(headers, self.settings.leaving_header.as_deref());
        Notice {
            leaving: leaving.is_some_and(self.adapter.leaving),
            limit,
        }
    }

    /// Returns the id of the instance from the headers of a response.
    #[must_use]
    pub fn instance(&self, headers: &HeaderMap) -> Option<Arc<str>> {
        header_text(headers, self.settings.instance_header.as_deref()).map(Arc::from)
    }

    /// Wraps a connection on which a response with these headers has started.
    fn checkout(&self, connection: Connection, headers: &HeaderMap) -> Checkout {
        Checkout {
            idle: Arc::clone(&self.idle),
            max_idle: self.max_idle,
            connection: Connection {
                expires_at: self.expires_at(headers),
                ..connection
            },
        }
    }

    /// Returns a pooled connection, or opens a new one.
    async fn acquire(&self, address: SocketAddr) -> Result<Connection, Error> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Error> {
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            self.open_on(address, stream).await
        };
        let connected = tokio::time::timeout(self.connect_timeout, connecting).await;
        connected.ok().flatten().ok_or(Error::NeverSent)
    }

    /// Starts HTTP/1 on an open stream.
    async fn open_on(&self, address: SocketAddr, stream: TcpStream) -> Option<Connection> {
        stream.set_nodelay(true).ok()?;
        let (head_limit, stream) = HeadLimit::new(stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(
                    upstream:% = address,
                    error:% = error;
                    "connection to the upstream failed"
                );
            }
        });
        Some(Connection {
            address,
            sender,
            head_limit,
            expires_at: Instant::now() + self.idle_timeout,
        })
    }

    /// Removes the most recently used ready connection from the pool, so that surplus connections
    /// stay unused and expire.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            connection.address == address
                && now < connection.expires_at
                && !connection.sender.is_closed()
        });
        let ready = idle
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(ready))
    }

    fn expires_at(&self, headers: &HeaderMap) -> Instant {
        let now = Instant::now();
        let announced = header_text(headers, Some("keep-alive")).and_then(keep_alive_timeout);
        let timeout = announced.map_or(self.idle_timeout, |announced| {
            announced.saturating_sub(KEEP_ALIVE_MARGIN)
        });
        now + timeout.min(self.idle_timeout)
    }

    /// Determines whether a response belongs to this request and whether the request ran.
    ///
    /// Failure: an upstream sends a second response, or bytes that belong to no request, and they
    /// arrive where the next response is expected. Symptom: a caller gets another caller's
    /// response. A response must therefore echo the id of its request and, if it is a success,
    /// contain the upstream's signature header. Otherwise the connection is closed, so that nothing
    /// that still arrives on it is used.
    async fn classify(
        &self,
        expected: &Expectation,
        response: Response<Incoming>,
        checkout: Checkout,
    ) -> Result<Received, Error> {
        let (mut parts, body) = response.into_parts();
        if !expected.matches_id(&parts.headers) {
            return Err(Error::Foreign);
        }
        let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST
            && self.settings.expected_instance_header.is_some();
        if misdirected
            || header_text(&parts.headers, self.settings.not_run_header.as_deref()).is_some()
        {
            let not_run = Received::NotRun {
                instance: self.instance(&parts.headers),
                misdirected,
                load: self.load(&parts.headers),
                notice: self.notice(&parts.headers),
                received_at: received_at(&parts),
            };
            if discard(body).await.is_ok() {
                checkout.check_in();
            }
            return Ok(not_run);
        }
        let signed = self.settings.signature_header.is_none()
            || header_text(&parts.headers, self.settings.signature_header.as_deref()).is_some();
        if parts.status.is_success() && !signed || !expected.allows_encoding(&parts.headers) {
            return Err(Error::Foreign);
        }
        let max_buffered = self.settings.answer_held_most;
        let body = ResponseBody::read(body, checkout, max_buffered).await?;
        if body.is_complete {
            parts.headers.remove(TRANSFER_ENCODING);
            parts.headers.remove(CONTENT_LENGTH);
        }
        Ok(Received::Answer(parts, body.body))
    }
}

/// What a response must match.
struct Expectation {
    /// Name and value of the request id header, if the request has one.
    id: Option<(String, Bytes)>,
    encodings: Accepted,
}

impl Expectation {
    fn of(request_header: Option<&str>, headers: &HeaderMap) -> Self {
        let id = request_header.and_then(|name| {
            let value = headers.get(name)?;
            Some((name.to_owned(), Bytes::copy_from_slice(value.as_bytes())))
        });
        Self {
            id,
            encodings: Accepted::of(headers),
        }
    }

    fn matches_id(&self, headers: &HeaderMap) -> bool {
        let Some((name, id)) = &self.id else {
            return true;
        };
        headers
            .get(name.as_str())
            .is_some_and(|echoed| echoed.as_bytes() == id)
    }

    /// Returns whether the response may have its content encoding. If the request did not ask for
    /// an encoding, something other than the upstream has added it.
    fn allows_encoding(&self, headers: &HeaderMap) -> bool {
        self.id.is_none() || self.encodings.allows(headers)
    }
}

/// Returns when the head of a response from [`Upstream::send`] was received.
#[must_use]
pub fn received_at(parts: &Parts) -> ReceivedAt {
    let received_at = parts.extensions.get().copied();
    received_at.unwrap_or_else(|| ReceivedAt(Instant::now()))
}

fn header_text<'a>(headers: &'a HeaderMap, name: Option<&str>) -> Option<&'a str> {
    headers.get(name?)?.to_str().ok()
}

/// Returns the timeout of a `Keep-Alive` field.
fn keep_alive_timeout(field: &str) -> Option<Duration> {
    field
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok())
        .map(Duration::from_secs)
}
