//! Links to peers: one HTTP/2 connection per peer, with liveness checks while it is in use.

use std::collections::HashMap;
use std::error::Error as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::rt::Timer as _;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use mintridge_http::counted::CountGuard;
use mintridge_http::quiet_timer::Timer;
use mintridge_http::server::CONNECTION_WINDOW_BYTES;
use mintridge_http::socket::SharedStream;
use mintridge_http::{Body, reply};
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::configs::link::Settings;
use crate::headers;

/// Path that every peer answers immediately; used to check a link.
pub const CHECK_PATH: &str = "/mintridge/link-check";
/// Path that the node beside the upstream answers once the request identified in the headers has a
/// slot or has been refused.
pub const SLOT_PATH: &str = "/mintridge/slot";

/// HTTP/2 receive window of a response in bytes: what arrives before the caller takes it.
const RESPONSE_WINDOW_BYTES: u32 = 128 * 1024;
/// Failure of a request on a link, by how far the request got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No link could be opened or used; no byte of the request was sent.
    #[error("the peer is unreachable; nothing was sent")]
    NeverSent,
    /// No link was ready by the deadline; no byte of the request was sent.
    #[error("no link to the peer was ready in time; nothing was sent")]
    NoLinkInTime,
    /// The request was sent, and the link broke before the response.
    #[error("the link broke before the response")]
    Broken,
    /// The request was sent, and no response arrived by the deadline.
    #[error("the peer did not respond in time")]
    Unanswered,
}

type Sender = http2::SendRequest<Body>;

/// An open link and the number of requests in progress on it.
#[derive(Clone, Debug)]
struct Link {
    sender: Sender,
    timer: Timer,
    in_progress: Arc<AtomicUsize>,
}

/// Builds the request that a peer answers once the caller's request with this id has a slot or has
/// been refused; `None` if it cannot be built.
#[must_use]
pub fn slot_request(request_id: &str) -> Option<Request<Body>> {
    let mut request = Request::builder()
        .method(Method::GET)
        .uri(format!("http://peer{SLOT_PATH}"))
        .body(reply::empty())
        .ok()?;
    headers::write_request_id(request_id, request.headers_mut());
    Some(request)
}

/// Links by address.
#[derive(Debug)]
pub struct Links {
    settings: Settings,
    entries: Mutex<HashMap<SocketAddr, Arc<Entry>>>,
}

/// The link to one peer and its activity. The lock of `open` is held while the link is checked or a
/// new one is opened.
#[derive(Debug, Default)]
struct Entry {
    open: tokio::sync::Mutex<Option<Link>>,
    activity: Mutex<Activity>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    /// When something was last received on the link.
    received_at: Option<Instant>,
    /// When an attempt to open a link last failed.
    open_failed_at: Option<Instant>,
}

impl Entry {
    /// Records that something was received on the link, without the lock of `open`.
    ///
    /// Failure: a response arrives while another request waits for a check of the link. Symptom: if
    /// recording it needed the lock that is held during the check, the response would wait too, in
    /// the worst case beyond its deadline. The activity therefore has its own short lock.
    fn record_received(&self) {
        self.activity.lock().received_at = Some(Instant::now());
    }

    /// Returns whether something was received at or after `since`; `None` stands for an instant
    /// before the start of the clock.
    fn has_received_since(&self, since: Option<Instant>) -> bool {
        since.is_none_or(|since| {
            self.activity
                .lock()
                .received_at
                .is_some_and(|received_at| received_at >= since)
        })
    }
}

impl Links {
    /// Creates an empty set; each link is opened on first use.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: Mutex::default(),
        }
    }

    /// Removes links to addresses that are no longer in use.
    pub fn retain(&self, in_use: impl Fn(&SocketAddr) -> bool) {
        self.entries.lock().retain(|address, _| in_use(address));
    }

    /// Closes links on which nothing was received for `close_after_idle` and returns the number
    /// that remain. A link that still carries a request closes when the request ends.
    ///
    /// Failure: in a fleet of hundreds of hosts, each node occasionally connects to nearly every
    /// other. Symptom: memory and open files of a node grow with the size of the fleet.
    pub fn close_idle(&self, now: Instant) -> usize {
        let since = now.checked_sub(self.settings.close_after_idle);
        let mut entries = self.entries.lock();
        entries.retain(|_, entry| {
            // A link whose lock is held is being checked or opened for a request.
            let Ok(open) = entry.open.try_lock() else {
                return true;
            };
            open.is_some() && entry.has_received_since(since)
        });
        entries.len()
    }

    /// Sends a request and waits for the head of the response until the deadline.
    ///
    /// A timeout while waiting for the link and one while waiting for the response are separate
    /// errors, because a request whose deadline passed before it was sent certainly did not run.
    ///
    /// # Errors
    /// If the link cannot be opened or breaks, or the deadline passes.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let deadline = deadline.into();
        let entry = self.entry(address);
        let ready = tokio::time::timeout_at(deadline, self.ready(&entry, address)).await;
        let mut link = ready.map_err(|_| Error::NoLinkInTime)??;
        let _in_progress = CountGuard::new(Arc::clone(&link.in_progress));
        let sent = tokio::time::timeout_at(deadline, link.sender.try_send_request(request)).await;
        match sent.map_err(|_| Error::Unanswered)? {
            Ok(response) => {
                entry.record_received();
                Ok(response)
            }
            Err(mut error) => {
                if error.take_message().is_some() {
                    return Err(Error::NeverSent);
                }
                Err(Error::Broken)
            }
        }
    }

    /// Returns whether a working link to the peer exists or can be opened now. The loss of a
    /// connection alone does not mean that the host has failed.
    pub async fn can_connect(&self, address: SocketAddr) -> bool {
        let entry = self.entry(address);
        self.ready(&entry, address).await.is_ok()
    }

    fn entry(&self, address: SocketAddr) -> Arc<Entry> {
        Arc::clone(self.entries.lock().entry(address).or_default())
    }

    /// Returns a link that is known to work, or opens a new one.
    ///
    /// Failure: a device between two nodes loses the state of an idle connection, or accepts a new
    /// connection and then cuts it. Symptom: the request sent on it hangs or breaks, and a
    /// non-repeatable request ends with an unknown outcome. A new link, or one on which nothing was
    /// received recently, must therefore answer a cheap check first; if the check fails, the
    /// request has not been sent.
    ///
    /// Failure: a host stops responding while many requests wait for its link. Symptom: each
    /// request in turn makes its own attempt to connect, and the last ones reach their deadline in
    /// the queue. If an attempt failed while a request waited, the request fails without another
    /// attempt, which would only repeat the result.
    async fn ready(&self, entry: &Entry, address: SocketAddr) -> Result<Link, Error> {
        let requested_at = Instant::now();
        let mut open = entry.open.lock().await;
        if let Some(link) = open.as_mut()
            && !link.sender.is_closed()
            && self.is_alive(entry, link).await
        {
            return Ok(link.clone());
        }
        if open.take().is_some() {
            log::info!(peer:% = address; "link closed or unresponsive; opening a new one");
        }
        let open_failed_at = entry.activity.lock().open_failed_at;
        if open_failed_at.is_some_and(|failed_at| failed_at > requested_at) {
            return Err(Error::NeverSent);
        }
        let opened = self.open(address).await;
        if let Ok(link) = &opened {
            entry.record_received();
            *open = Some(link.clone());
        } else {
            entry.activity.lock().open_failed_at = Some(Instant::now());
            let took = requested_at.elapsed().as_millis();
            log::info!(peer:% = address, after_ms:% = took; "failed to open a link to the peer");
        }
        opened
    }

    async fn open(&self, address: SocketAddr) -> Result<Link, Error> {
        let mut link = self.connect(address).await?;
        if self.check(&mut link).await {
            Ok(link)
        } else {
            Err(Error::NeverSent)
        }
    }

    async fn is_alive(&self, entry: &Entry, link: &mut Link) -> bool {
        let since = Instant::now().checked_sub(self.settings.check_after_idle);
        if entry.has_received_since(since) {
            return true;
        }
        let alive = self.check(link).await;
        if alive {
            entry.record_received();
        }
        alive
    }

    /// Returns whether the peer answers a check in time.
    async fn check(&self, link: &mut Link) -> bool {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://peer{CHECK_PATH}"))
            .body(reply::empty());
        let Ok(request) = request else { return false };
        tokio::select! {
            biased;
            response = link.sender.send_request(request) => response.is_ok(),
            () = link.timer.sleep(self.settings.check_within) => false,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, Error> {
        let connecting = self.handshake(address);
        tokio::time::timeout(self.settings.connect_within, connecting)
            .await
            .map_err(|_| Error::NeverSent)?
    }

    /// Connects to the peer. Pings are sent only while requests are in progress, so idle links
    /// cause no traffic.
    async fn handshake(&self, address: SocketAddr) -> Result<Link, Error> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| Error::NeverSent)?;
        stream.set_nodelay(true).map_err(|_| Error::NeverSent)?;
        let stream = Arc::new(stream);
        let timer = Timer::new(&stream);
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(timer.clone())
            .keep_alive_interval(self.settings.ping_every)
            .keep_alive_timeout(self.settings.ping_within)
            .keep_alive_while_idle(false)
            .initial_stream_window_size(RESPONSE_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(TokioIo::new(SharedStream(stream)))
            .await
            .map_err(|_| Error::NeverSent)?;
        let in_progress = Arc::new(AtomicUsize::new(0));
        let link = Link {
            sender,
            timer,
            in_progress: Arc::clone(&in_progress),
        };
        let opened_at = Instant::now();
        tokio::spawn(async move {
            let result = connection.await;
            log_close(
                address,
                opened_at,
                in_progress.load(Ordering::Relaxed),
                result,
            );
        });
        Ok(link)
    }
}

/// Logs the close of a link, as a warning if requests were in progress on it: this node cannot
/// learn their outcome any more.
fn log_close(
    address: SocketAddr,
    opened_at: Instant,
    in_progress: usize,
    result: Result<(), hyper::Error>,
) {
    if in_progress == 0 {
        log::debug!(peer:% = address, reason = close_reason(result); "link closed");
        return;
    }
    log::warn!(
        peer:% = address,
        age_ms:% = opened_at.elapsed().as_millis(),
        in_progress = in_progress,
        reason = close_reason(result);
        "link closed with requests in progress"
    );
}

fn close_reason(result: Result<(), hyper::Error>) -> String {
    let Err(error) = result else {
        return String::from("closed, or a ping was not answered in time");
    };
    error
        .source()
        .map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
