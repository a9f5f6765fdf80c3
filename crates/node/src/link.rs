//! Links to peers: one HTTP/2 connection to each, checked while it is in use.

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
use mintridge_http::counted::Counted;
use mintridge_http::quiet_timer::Timer;
use mintridge_http::socket::Shared;
use mintridge_http::{Body, reply};
use parking_lot::Mutex;
use tokio::net::TcpStream;

use crate::configs::link::Settings;
use crate::headers;

/// Path answered by every peer at once, by which a link is checked.
pub const CHECK_PATH: &str = "/mintridge/link-check";
/// Path answered by the node beside the upstream once the request named in the headers has a
/// slot, or was refused.
pub const SLOT_PATH: &str = "/mintridge/slot";

/// How far a request got on a link that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of it was sent.
    #[error("the peer cannot be reached; nothing was sent")]
    NeverSent,
    /// No link was ready in time, so no byte of it was sent.
    #[error("no link to the peer was ready in time; nothing was sent")]
    NoLinkInTime,
    /// It was sent, and the link broke before the answer.
    #[error("the link broke before the answer")]
    Broken,
    /// It was sent, and no answer came in time.
    #[error("the peer did not answer in time")]
    Unanswered,
}

type Sender = http2::SendRequest<Body>;

/// An open link and how many requests are in progress on it.
#[derive(Clone, Debug)]
struct Link {
    sender: Sender,
    timer: Timer,
    in_progress: Arc<AtomicUsize>,
}

/// The question whether a request has a slot; `None` if its number cannot be sent.
#[must_use]
pub fn slot_question(number: &str) -> Option<Request<Body>> {
    let mut question = Request::builder()
        .method(Method::GET)
        .uri(format!("http://peer{SLOT_PATH}"))
        .body(reply::empty())
        .ok()?;
    headers::write_number(number, question.headers_mut());
    Some(question)
}

/// Links by address.
#[derive(Debug)]
pub struct Links {
    settings: Settings,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

/// A link and what is known of it. Whoever checks it or opens a new one holds the lock of `open`.
#[derive(Debug, Default)]
struct Slot {
    open: tokio::sync::Mutex<Option<Link>>,
    seen: Mutex<Seen>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// When something was last heard on the link.
    heard_at: Option<Instant>,
    /// When the last attempt to open one failed.
    failed_at: Option<Instant>,
}

impl Slot {
    /// Notes that the link lives, and waits for nobody.
    ///
    /// Failure: an answer comes while another request waits for a check of the link. Symptom: with
    /// the lock of that check the answer waits too, in the worst case beyond its deadline.
    fn heard(&self) {
        self.seen.lock().heard_at = Some(Instant::now());
    }

    fn was_heard_since(&self, since: Option<Instant>) -> bool {
        since.is_none_or(|since| {
            self.seen
                .lock()
                .heard_at
                .is_some_and(|heard| heard >= since)
        })
    }
}

impl Links {
    /// No link yet; each is opened when first used.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            slots: Mutex::default(),
        }
    }

    /// Forgets links to addresses that are no longer in use.
    pub fn keep(&self, in_use: impl Fn(&SocketAddr) -> bool) {
        self.slots.lock().retain(|address, _| in_use(address));
    }

    /// Closes links that nothing was heard on for long; one that still carries a request ends
    /// with it.
    ///
    /// Failure: in a fleet of hundreds each node meets nearly every other now and then. Symptom:
    /// memory and open files of a node follow the size of the fleet.
    ///
    /// Returns how many are left.
    pub fn close_idle(&self, now: Instant) -> usize {
        let since = now.checked_sub(self.settings.close_after_idle);
        let mut slots = self.slots.lock();
        slots.retain(|_, slot| {
            // A link whose lock is held is in use at this moment.
            let Ok(open) = slot.open.try_lock() else {
                return true;
            };
            open.is_some() && slot.was_heard_since(since)
        });
        slots.len()
    }

    /// Sends a request and waits for the head of the response until `until`.
    ///
    /// Waiting for the link and waiting for the answer end apart, since a request that met its
    /// deadline before it was sent certainly did not run.
    ///
    /// # Errors
    /// If the link cannot be opened or breaks, or time runs out.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        until: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let until = until.into();
        let slot = self.slot(address);
        let ready = tokio::time::timeout_at(until, self.ready(&slot, address)).await;
        let mut link = ready.map_err(|_| Error::NoLinkInTime)??;
        let _in_progress = Counted::new(Arc::clone(&link.in_progress));
        let sent = tokio::time::timeout_at(until, link.sender.try_send_request(request)).await;
        match sent.map_err(|_| Error::Unanswered)? {
            Ok(response) => {
                slot.heard();
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

    /// Whether a new connection to the peer can be opened now, whatever became of the
    /// one in use: a lost connection is no fault of the host's.
    pub async fn can_connect(&self, address: SocketAddr) -> bool {
        let slot = self.slot(address);
        self.ready(&slot, address).await.is_ok()
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        Arc::clone(self.slots.lock().entry(address).or_default())
    }

    /// A link that was heard lately, or a new one.
    ///
    /// Failure: something between two nodes loses track of an idle connection, or takes a
    /// new one and cuts it. Symptom: the request sent on it hangs or breaks, and an
    /// unrepeatable one ends as unknown. A link that was not heard lately, a new one
    /// included, answers a cheap request first; if it does not, nothing was risked.
    ///
    /// Failure: a host falls silent while many requests wait for its link. Symptom: each makes an
    /// attempt of its own when its turn comes, and the last ones meet their deadline in the line.
    /// An attempt that failed while a request waited tells it what one of its own would.
    async fn ready(&self, slot: &Slot, address: SocketAddr) -> Result<Link, Error> {
        let asked_at = Instant::now();
        let mut open = slot.open.lock().await;
        if let Some(link) = open.as_mut()
            && !link.sender.is_closed()
            && self.is_alive(slot, link).await
        {
            return Ok(link.clone());
        }
        if open.take().is_some() {
            log::info!(peer:% = address; "link ended or is silent; another is opened");
        }
        let failed_at = slot.seen.lock().failed_at;
        if failed_at.is_some_and(|failed_at| failed_at > asked_at) {
            return Err(Error::NeverSent);
        }
        let opened = self.open(address).await;
        if let Ok(link) = &opened {
            slot.heard();
            *open = Some(link.clone());
        } else {
            slot.seen.lock().failed_at = Some(Instant::now());
            let took = asked_at.elapsed().as_millis();
            log::info!(peer:% = address, after_ms:% = took; "no link to the peer");
        }
        opened
    }

    async fn open(&self, address: SocketAddr) -> Result<Link, Error> {
        let mut link = self.connect(address).await?;
        if self.answers(&mut link).await {
            Ok(link)
        } else {
            Err(Error::NeverSent)
        }
    }

    async fn is_alive(&self, slot: &Slot, link: &mut Link) -> bool {
        let since = Instant::now().checked_sub(self.settings.check_after_idle);
        if slot.was_heard_since(since) {
            return true;
        }
        let alive = self.answers(link).await;
        if alive {
            slot.heard();
        }
        alive
    }

    async fn answers(&self, link: &mut Link) -> bool {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://peer{CHECK_PATH}"))
            .body(reply::empty());
        let Ok(request) = request else { return false };
        tokio::select! {
            biased;
            answered = link.sender.send_request(request) => answered.is_ok(),
            () = link.timer.sleep(self.settings.check_within) => false,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, Error> {
        let connected = self.handshake(address);
        tokio::time::timeout(self.settings.connect_within, connected)
            .await
            .map_err(|_| Error::NeverSent)?
    }

    /// Pings run only while requests are open, so that idle links cost nothing.
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
            .handshake(TokioIo::new(Shared(stream)))
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
            let ended = connection.await;
            log_end(
                address,
                opened_at,
                in_progress.load(Ordering::Relaxed),
                ended,
            );
        });
        Ok(link)
    }
}

/// One line for a link that ended under requests, whose outcome is unknown from here on.
fn log_end(
    address: SocketAddr,
    opened_at: Instant,
    in_progress: usize,
    ended: Result<(), hyper::Error>,
) {
    if in_progress == 0 {
        log::debug!(peer:% = address, reason = why(ended); "link ended");
        return;
    }
    log::warn!(
        peer:% = address,
        age_ms:% = opened_at.elapsed().as_millis(),
        in_progress = in_progress,
        reason = why(ended);
        "link ended under requests"
    );
}

fn why(ended: Result<(), hyper::Error>) -> String {
    let Err(error) = ended else {
        return String::from("closed, or no pong in time");
    };
    error
        .source()
        .map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
