//! Client of the key-value store. Each call has a deadline, and each error tells whether a write
//! may have taken effect.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::dialect::{Call, Dialect, HttpResponse};
use crate::epoch::Epochs;
use crate::operation::{Changes, Freshness, Item, Operation, Reply, Swap};
use crate::{etcd, wire};

/// Upper limit of a reply body, in bytes: values in the store are at most 1 MB, and a list of seeds
/// is far smaller.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Upper limit of the time for a response body that keeps arriving: ten times as long as the
/// largest value of the store, 1 MB, takes at 1 MB/s.
const MAX_BODY_DURATION: Duration = Duration::from_secs(10);

/// Idle time before the first TCP keepalive probe. A middlebox that loses the state of a connection
/// leaves a watch on it waiting without an error. Keepalive detects this within two seconds, so
/// that watches can be long and a change still arrives within seconds of such a loss.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Pause between two keepalive probes. The socket option takes whole seconds; a shorter pause becomes
/// zero, which the system rejects, and its default of over a minute stays in force.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 1;

const _: () = assert!(
    KEEPALIVE_IDLE.subsec_nanos() == 0 && KEEPALIVE_INTERVAL.subsec_nanos() == 0,
    "socket options for keepalive take whole seconds"
);

/// Reason why a call failed. The variants differ in whether a write may have taken effect.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call was not sent.
    #[error("the store at {address} cannot be reached")]
    Unreachable {
        /// Address of the store.
        address: SocketAddr,
    },
    /// The call was sent and no complete reply was received: a write may have taken effect, or may
    /// still do so.
    #[error("no reply from the store at {address}")]
    NoReply {
        /// Address of the store.
        address: SocketAddr,
    },
    /// The store replied with an error status; a write may have taken effect.
    #[error("the store replied with status {0}")]
    Status(StatusCode),
    /// The store rejected the call without applying it.
    #[error("the store rejected the call with status {0}; nothing was changed")]
    Rejected(StatusCode),
    /// The lease to which a write was to be attached has ended; nothing was written.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The store has compacted the history from which a watch was to resume.
    #[error("the store has compacted the requested history")]
    Compacted,
    /// The reply was sent before the store was restored from an older copy; a write that it
    /// acknowledges may be lost.
    #[error("the reply predates the store's restoration from an older copy")]
    Outdated,
    /// The store ended a watch.
    #[error("the store ended the watch")]
    WatchEnded,
    /// The reply belongs to another operation than the one called.
    #[error("the store's reply belongs to another operation")]
    Mismatch,
    /// The reply does not conform to the API; a write may have taken effect.
    #[error("cannot parse the store's reply: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The value is not of the type that mintridge stores under this key.
    #[error("cannot parse the value of {key}: {source}")]
    Value {
        /// The key.
        key: String,
        /// The parse error.
        source: serde_json::Error,
    },
}

impl Error {
    /// Returns whether a write that failed with this error certainly had no effect.
    #[must_use]
    pub const fn proves_no_effect(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Rejected(_) | Self::LeaseEnded => true,
            Self::Status(_)
            | Self::NoReply { .. }
            | Self::Compacted
            | Self::Outdated
            | Self::WatchEnded
            | Self::Mismatch
            | Self::Malformed(_)
            | Self::Value { .. } => false,
        }
    }
}

/// A client of the store at one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    dialect: Dialect,
    epochs: Epochs,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client of etcd's dialect. Its calls fail when the store sends nothing for
    /// `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self::with_dialect(address, timeout, etcd::DIALECT)
    }

    /// Creates a client of any dialect.
    #[must_use]
    pub fn with_dialect(address: SocketAddr, timeout: Duration, dialect: Dialect) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let http = HttpClient::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            address,
            timeout,
            dialect,
            epochs: Epochs::default(),
            http,
        }
    }

    /// Makes the client record the epochs of its replies in `epochs`.
    #[must_use]
    pub fn with_epochs(self, epochs: Epochs) -> Self {
        Self { epochs, ..self }
    }

    /// Returns the epochs of the store.
    #[must_use]
    pub const fn epochs(&self) -> &Epochs {
        &self.epochs
    }

    /// Reads one key, and returns the store revision of the read with it.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn read(&self, key: &str) -> Result<(Option<Item>, i64), Error> {
        let operation = Operation::Get {
            key: key.to_owned(),
        };
        match self.run(&operation, self.timeout).await? {
            Reply::Page(page) => Ok((page.items.into_iter().next(), page.revision)),
            _ => Err(Error::Mismatch),
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        Ok(self.read(key).await?.0)
    }

    /// Reads all keys that begin with `prefix`, page by page. The pages are not one consistent
    /// snapshot.
    ///
    /// # Errors
    /// If a call fails.
    pub async fn list(&self, prefix: &str, freshness: Freshness) -> Result<Vec<Item>, Error> {
        Ok(self.list_from(prefix, freshness).await?.0)
    }

    /// Reads all keys that begin with `prefix`, and returns the store revision of the first page
    /// with them. A watch from that revision misses no change.
    ///
    /// # Errors
    /// If a call fails.
    pub async fn list_from(
        &self,
        prefix: &str,
        freshness: Freshness,
    ) -> Result<(Vec<Item>, i64), Error> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let operation = Operation::List {
                prefix: prefix.to_owned(),
                after: items
                    .last()
                    .map_or_else(String::new, |item| item.key.clone()),
                freshness,
            };
            let Reply::Page(page) = self.run(&operation, self.timeout).await? else {
                return Err(Error::Mismatch);
            };
            let more = page.more && !page.items.is_empty();
            let first_revision = *revision.get_or_insert(page.revision);
            items.extend(page.items);
            if !more {
                return Ok((items, first_revision));
            }
        }
    }

    /// Waits for changes later than revision `after` of keys that begin with `prefix`. Returns no
    /// changes if none occurs within `wait`.
    ///
    /// # Errors
    /// If the watch breaks or its history has been compacted.
    pub async fn changes(
        &self,
        prefix: &str,
        after: i64,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let operation = Operation::Changes {
            prefix: prefix.to_owned(),
            after,
            wait,
        };
        if !self.dialect.endless_watch {
            return match self.run(&operation, wait + self.timeout).await? {
                Reply::Changes(changes) => Ok(changes),
                _ => Err(Error::Mismatch),
            };
        }
        match tokio::time::timeout(wait, self.run(&operation, wait + self.timeout)).await {
            Ok(Ok(Reply::Changes(changes))) => Ok(changes),
            Ok(Ok(_)) => Err(Error::Mismatch),
            Ok(Err(error)) => Err(error),
            Err(_) => Ok(Changes {
                changes: vec![],
                revision: after,
            }),
        }
    }

    /// Returns the changes later than revision `after` of keys that begin with `prefix`, and the
    /// revision up to which they are complete. The reply includes all changes that were
    /// acknowledged before the call. Some dialects report no deletions.
    ///
    /// # Errors
    /// If the call fails or the history has been compacted.
    pub async fn poll(&self, prefix: &str, after: i64) -> Result<Changes, Error> {
        let operation = Operation::Poll {
            prefix: prefix.to_owned(),
            after,
        };
        match self.run(&operation, self.timeout).await? {
            Reply::Changes(changes) => Ok(changes),
            _ => Err(Error::Mismatch),
        }
    }

    /// Writes if all conditions hold; returns false if one does not.
    ///
    /// # Errors
    /// If the call fails; see [`Error::proves_no_effect`].
    pub async fn swap(&self, swap: &Swap) -> Result<bool, Error> {
        let operation = Operation::Swap(swap.clone());
        match self.run(&operation, self.timeout).await? {
            Reply::Swapped(applied) => Ok(applied),
            _ => Err(Error::Mismatch),
        }
    }

    /// Runs an etcd transaction, which can also read keys when a condition fails.
    ///
    /// # Errors
    /// If the call fails; see [`Error::proves_no_effect`].
    pub async fn etcd_txn(&self, txn: &wire::Txn) -> Result<wire::TxnReply, Error> {
        let call = Call {
            method: Method::POST,
            path: wire::TXN.to_owned(),
            body: serde_json::to_vec(txn)?,
        };
        let parse = |response: HttpResponse<'_>| {
            if !response.status.is_success() {
                return Err(etcd::status_error(response.status));
            }
            if !response.complete {
                return Ok(None);
            }
            Ok(Some(serde_json::from_slice(response.body)?))
        };
        self.exchange(call, self.timeout, parse).await
    }

    /// Grants a lease.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn grant(&self, time_to_live: Duration) -> Result<i64, Error> {
        match self
            .run(&Operation::Grant { time_to_live }, self.timeout)
            .await?
        {
            Reply::Granted { lease } => Ok(lease),
            _ => Err(Error::Mismatch),
        }
    }

    /// Renews a lease; returns false if it has expired.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn keep_alive(&self, lease: i64) -> Result<bool, Error> {
        match self.run(&Operation::Renew { lease }, self.timeout).await? {
            Reply::Renewed(alive) => Ok(alive),
            _ => Err(Error::Mismatch),
        }
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn revoke(&self, lease: i64) -> Result<(), Error> {
        match self.run(&Operation::Revoke { lease }, self.timeout).await? {
            Reply::Revoked => Ok(()),
            _ => Err(Error::Mismatch),
        }
    }

    async fn run(&self, operation: &Operation, timeout: Duration) -> Result<Reply, Error> {
        let call = (self.dialect.call)(operation)?;
        let parse = |response: HttpResponse<'_>| (self.dialect.reply)(operation, response);
        self.exchange(call, timeout, parse).await
    }

    /// Sends a call and passes the response received so far to `parse` until that returns a reply.
    ///
    /// Failure: transferring a long document over a slow link takes longer than the timeout.
    /// Symptom: every read of it fails, and the node treats the store as unavailable. Therefore the
    /// timeout covers the response headers alone. After them the call fails when the store sends
    /// nothing for the client's timeout, but not before `header_timeout` has passed, or when the
    /// body takes longer than [`MAX_BODY_DURATION`].
    async fn exchange<T>(
        &self,
        call: Call,
        header_timeout: Duration,
        parse: impl Fn(HttpResponse<'_>) -> Result<Option<T>, Error>,
    ) -> Result<T, Error> {
        let header_deadline = Instant::now() + header_timeout;
        let response = tokio::time::timeout_at(header_deadline.into(), self.send(call))
            .await
            .map_err(|_| self.no_reply())??;
        if !self.epochs.record(response.headers()) {
            return Err(Error::Outdated);
        }
        let body_deadline = header_deadline.max(Instant::now()) + MAX_BODY_DURATION;
        let status = response.status();
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        loop {
            let idle_deadline = (Instant::now() + self.timeout).max(header_deadline);
            let frame_deadline = idle_deadline.min(body_deadline);
            let frame = tokio::time::timeout_at(frame_deadline.into(), body.frame())
                .await
                .map_err(|_| self.no_reply())?;
            let complete = frame.is_none();
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        received.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => return Err(self.no_reply()),
                None => {}
            }
            if received.len() > MAX_REPLY_BYTES {
                return Err(self.no_reply());
            }
            let received_response = HttpResponse {
                status,
                body: &received,
                complete,
            };
            match parse(received_response)? {
                Some(reply) => return Ok(reply),
                None if complete => return Err(Error::WatchEnded),
                None => {}
            }
        }
    }

    async fn send(&self, call: Call) -> Result<Response<Incoming>, Error> {
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(call.body)))
            .map_err(|_| self.unreachable())?;
        self.http.request(request).await.map_err(|error| {
            if error.is_connect() {
                self.unreachable()
            } else {
                self.no_reply()
            }
        })
    }

    const fn no_reply(&self) -> Error {
        Error::NoReply {
            address: self.address,
        }
    }

    const fn unreachable(&self) -> Error {
        Error::Unreachable {
            address: self.address,
        }
    }
}
