//! A caller as in a real service: sends a request and classifies the reply.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_http::problem;

/// Header with the request id, by which stand-in upstreams count the runs of each request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the name of the upstream that served the request.
pub const SERVER: &str = "x-server";
/// How long a caller still waits for a reply after the deadline of its request.
const REPLY_GRACE: Duration = Duration::from_secs(5);

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Requested service.
    pub service: String,
    /// Client account on whose behalf the request is made.
    pub client_account: String,
    /// Key of a client account, if any.
    pub account_key: Option<String>,
    /// Method; POST requests are the non-idempotent ones.
    pub method: Method,
    /// Request path.
    pub path: String,
    /// Request id, by which upstreams count its runs.
    pub id: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Request timeout, from which its deadline follows.
    pub timeout: Duration,
    /// Request body.
    pub body: Bytes,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            service: String::from("service"),
            client_account: String::from("client_account"),
            account_key: None,
            method: Method::GET,
            path: String::from("/"),
            id: String::new(),
            key: None,
            timeout: Duration::from_secs(5),
            body: Bytes::new(),
        }
    }
}

/// Outcome of a request as observed by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A complete response of the upstream.
    Answer {
        /// Response status.
        status: StatusCode,
        /// Name of the upstream that served the request.
        host: String,
        /// Response body.
        body: Bytes,
    },
    /// The request was refused by a node.
    Refused {
        /// Response status.
        status: StatusCode,
        /// Whether the request may have run.
        outcome: Outcome,
        /// Reason of the refusal.
        reason: Reason,
        /// Value of `Retry-After`, in seconds.
        retry_after: Option<u64>,
    },
    /// Connecting failed, so nothing was sent.
    NoConnection,
    /// The request failed, or its response broke off before it was complete.
    Broken {
        /// Whether the response head arrived.
        begun: bool,
    },
    /// No complete response arrived, even some seconds after the deadline.
    TimedOut,
}

impl Reply {
    /// Whether the upstream responded with a success status.
    #[must_use]
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answer { status, .. } if status.is_success())
    }

    /// Whether the refusal states that the request did not run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                outcome: Outcome::NotRun,
                ..
            }
        )
    }

    /// Whether the refusal states that the request may have run.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                outcome: Outcome::Unknown,
                ..
            }
        )
    }
}

/// The outcome of a request and how long its response took.
#[derive(Clone, Debug)]
pub struct TimedReply {
    /// Outcome of the request.
    pub reply: Reply,
    /// Time until the response head arrived, or until the end if none did.
    pub time_to_head: Duration,
    /// Time until the response was complete or the request failed.
    pub took: Duration,
}

/// A caller with a connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl Caller {
    /// Sends one request to a node, or directly to an upstream.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> TimedReply {
        let started_at = Instant::now();
        let reply_timeout = call.timeout + REPLY_GRACE;
        let mut time_to_head = None;
        let reply = tokio::time::timeout(
            reply_timeout,
            self.exchange(address, call, |now| {
                time_to_head = Some(now.duration_since(started_at));
            }),
        )
        .await
        .unwrap_or(Reply::TimedOut);
        let took = started_at.elapsed();
        TimedReply {
            reply,
            time_to_head: time_to_head.unwrap_or(took),
            took,
        }
    }

    /// Sends one request with additional headers and returns the response once its head arrives;
    /// `None` if a header is invalid or the request fails.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &Call,
        headers: &[(&'static str, &str)],
    ) -> Option<Response<Incoming>> {
        let mut request = request(address, call)?;
        for (name, value) in headers {
            request.headers_mut().insert(*name, value.parse().ok()?);
        }
        self.client.request(request).await.ok()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &Call,
        on_head: impl FnOnce(Instant),
    ) -> Reply {
        let Some(request) = request(address, call) else {
            return Reply::Broken { begun: false };
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Reply::NoConnection,
            Err(_) => return Reply::Broken { begun: false },
        };
        on_head(Instant::now());
        read(response).await
    }
}

fn request(address: SocketAddr, call: &Call) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header("mintridge-service", &call.service)
        .header("mintridge-client-account", &call.client_account)
        .header("mintridge-timeout-ms", call.timeout.as_millis().to_string())
        .header(REQUEST_ID, &call.id);
    if let Some(key) = &call.key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(key) = &call.account_key {
        builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    builder.body(Full::new(call.body.clone())).ok()
}

async fn read(response: Response<Incoming>) -> Reply {
    let (parts, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        return Reply::Broken { begun: true };
    };
    if let Some(refusal) = problem::read(Instant::now(), &parts.headers) {
        let retry_after = parts.headers.get(hyper::header::RETRY_AFTER);
        return Reply::Refused {
            status: parts.status,
            outcome: refusal.outcome,
            reason: refusal.reason,
            retry_after: retry_after
                .and_then(|value| value.to_str().ok())
                .and_then(|text| text.parse().ok()),
        };
    }
    let host = parts.headers.get(SERVER);
    let host = host
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    Reply::Answer {
        status: parts.status,
        host: host.to_owned(),
        body: collected.to_bytes(),
    }
}
