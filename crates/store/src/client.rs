//! Calls to the store, each with a deadline, and what a failed one proves.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire;

/// Largest reply taken, in bytes: the store's values are at most a megabyte, and a
/// list of seeds is far smaller.
const REPLY_MOST: usize = 8 * 1024 * 1024;

/// Why a call failed, sorted by what is known of its effect.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It was never sent.
    #[error("the store at {address} cannot be reached")]
    Unreachable {
        /// Address of the store.
        address: SocketAddr,
    },
    /// It was sent and no reply came: a write may have taken effect, or may yet.
    #[error("no reply from the store at {address}")]
    Lost {
        /// Address of the store.
        address: SocketAddr,
    },
    /// The store answered with another status than success.
    #[error("the store refused with status {0}")]
    Refused(StatusCode),
    /// The reply is not what the API promises; a write may have taken effect.
    #[error("the store's reply does not parse: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The value is not what mintridge keeps under this key.
    #[error("the value of {key} does not parse: {source}")]
    Value {
        /// The key.
        key: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

impl Error {
    /// Whether a write that failed so certainly had no effect.
    ///
    /// A store whose members lost each other answers 503 or 504 to writes that may yet
    /// take effect; only a refusal for the caller's own fault proves that none did.
    #[must_use]
    pub fn proves_no_effect(&self) -> bool {
        match self {
            Self::Unreachable { .. } => true,
            Self::Refused(status) => status.is_client_error(),
            Self::Lost { .. } | Self::Malformed(_) | Self::Value { .. } => false,
        }
    }
}

/// A client of the store at one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client whose calls give up after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let http = HttpClient::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            address,
            timeout,
            http,
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<wire::KeyValue>, Error> {
        let range = wire::Range {
            key: key.into(),
            ..wire::Range::default()
        };
        let reply: wire::RangeReply = self.call(wire::RANGE, &range).await?;
        Ok(reply.kvs.into_iter().next())
    }

    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn list(&self, prefix: &str) -> Result<Vec<wire::KeyValue>, Error> {
        let range = wire::Range {
            key: prefix.into(),
            range_end: wire::prefix_end(prefix.as_bytes()),
        };
        let reply: wire::RangeReply = self.call(wire::RANGE, &range).await?;
        Ok(reply.kvs)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// If the call fails; see [`Error::proves_no_effect`].
    pub async fn txn(&self, txn: &wire::Txn) -> Result<wire::TxnReply, Error> {
        self.call(wire::TXN, txn).await
    }

    /// Grants a lease.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn grant(&self, time_to_live: Duration) -> Result<wire::Lease, Error> {
        let asked = wire::Lease {
            id: 0,
            ttl: i64::try_from(time_to_live.as_secs()).unwrap_or(i64::MAX),
        };
        self.call(wire::GRANT, &asked).await
    }

    /// Renews a lease; false if it lapsed.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn keep_alive(&self, id: i64) -> Result<bool, Error> {
        let lease = wire::Lease { id, ttl: 0 };
        let reply: wire::Streamed<wire::Lease> = self.call(wire::KEEP_ALIVE, &lease).await?;
        Ok(reply.result.ttl > 0)
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// If the call fails.
    pub async fn revoke(&self, id: i64) -> Result<(), Error> {
        let lease = wire::Lease { id, ttl: 0 };
        let _: wire::RangeReply = self.call(wire::REVOKE, &lease).await?;
        Ok(())
    }

    /// Watches one key from now on.
    ///
    /// # Errors
    /// If the watch cannot be opened.
    pub async fn watch(&self, key: &str) -> Result<Watch, Error> {
        let watch = wire::Watch {
            create_request: wire::WatchCreate {
                key: key.into(),
                start_revision: 0,
            },
        };
        let body = self.send(wire::WATCH, &watch).await?;
        Ok(Watch {
            address: self.address,
            body,
            unread: BytesMut::new(),
        })
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, Error> {
        let give_up_at = Instant::now() + self.timeout;
        let body = self.send(path, request).await?;
        let collected = Limited::new(body, REPLY_MOST).collect();
        let collected = tokio::time::timeout_at(give_up_at.into(), collected)
            .await
            .map_err(|_| self.lost())?
            .map_err(|_| self.lost())?;
        Ok(serde_json::from_slice(&collected.to_bytes())?)
    }

    async fn send(&self, path: &str, request: &impl Serialize) -> Result<Incoming, Error> {
        let written = serde_json::to_vec(request)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(written)))
            .map_err(|_| self.unreachable())?;
        let response = tokio::time::timeout(self.timeout, self.http.request(request))
            .await
            .map_err(|_| self.lost())?
            .map_err(|error| {
                if error.is_connect() {
                    self.unreachable()
                } else {
                    self.lost()
                }
            })?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        Err(Error::Refused(response.status()))
    }

    const fn lost(&self) -> Error {
        Error::Lost {
            address: self.address,
        }
    }

    const fn unreachable(&self) -> Error {
        Error::Unreachable {
            address: self.address,
        }
    }
}

/// An open watch.
#[derive(Debug)]
pub struct Watch {
    address: SocketAddr,
    body: Incoming,
    unread: BytesMut,
}

impl Watch {
    /// The next changes; an item may hold none.
    ///
    /// # Errors
    /// If the stream breaks or holds something else.
    pub async fn next(&mut self) -> Result<Vec<wire::KeyValue>, Error> {
        loop {
            if let Some(item) = self.take_item()? {
                let events = item.result.events.into_iter();
                return Ok(events.map(|event| event.kv).collect());
            }
            let lost = Error::Lost {
                address: self.address,
            };
            let Some(Ok(frame)) = self.body.frame().await else {
                return Err(lost);
            };
            if let Ok(data) = frame.into_data() {
                self.unread.extend_from_slice(&data);
            }
            if self.unread.len() > REPLY_MOST {
                return Err(lost);
            }
        }
    }

    fn take_item(&mut self) -> Result<Option<wire::Streamed<wire::WatchReply>>, Error> {
        let mut items = serde_json::Deserializer::from_slice(&self.unread).into_iter();
        let item = match items.next() {
            Some(Ok(item)) => item,
            Some(Err(error)) if !error.is_eof() => return Err(Error::Malformed(error)),
            Some(Err(_)) | None => return Ok(None),
        };
        let read = items.byte_offset();
        let _ = self.unread.split_to(read);
        Ok(Some(item))
    }
}
