//! A caller as services have it: sends one request, and says what it was told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_http::problem;

/// Header by which upstreams of trials account for requests.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that names the upstream that answered.
pub const SERVER: &str = "x-server";
/// How long after its deadline a caller still listens.
const PATIENCE: Duration = Duration::from_secs(5);

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service asked for.
    pub service: String,
    /// Client account on whose behalf.
    pub client_account: String,
    /// Method; POST is unrepeatable.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Number of the request, for the account.
    pub id: String,
    /// Idempotency key, if it has one.
    pub key: Option<String>,
    /// Time allowed.
    pub timeout: Duration,
    /// Body.
    pub body: Bytes,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            service: String::from("service"),
            client_account: String::from("client_account"),
            method: Method::GET,
            path: String::from("/"),
            id: String::new(),
            key: None,
            timeout: Duration::from_secs(5),
            body: Bytes::new(),
        }
    }
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The upstream's answer, whole.
    Answer {
        /// Its status.
        status: StatusCode,
        /// The upstream that answered.
        host: String,
        /// Its body.
        body: Bytes,
    },
    /// A refusal.
    Refused {
        /// Its status.
        status: StatusCode,
        /// Whether the request may have had an effect.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When to come back, in seconds.
        retry_after: Option<u64>,
    },
    /// No connection could be opened, so nothing was sent.
    NoConnection,
    /// The answer visibly broke, or there was none.
    Broken {
        /// Whether its head arrived.
        begun: bool,
    },
    /// Nothing came, long after the deadline.
    Silence,
}

impl Told {
    /// Whether the upstream answered with success.
    #[must_use]
    pub fn is_success(&self) -> bool {
        matches!(self, Self::Answer { status, .. } if status.is_success())
    }

    /// Whether it was said that the request did not run.
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

    /// Whether it was said that the request may have run.
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

/// What was told, and how long the first byte of it and all of it took.
#[derive(Clone, Debug)]
pub struct Heard {
    /// What was told.
    pub told: Told,
    /// Time until the head of the answer.
    pub head_took: Duration,
    /// Time until its end.
    pub took: Duration,
}

/// A caller with its pool of connections.
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
    /// Sends one request to a node, or straight to an upstream.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Heard {
        let began = Instant::now();
        let patience = call.timeout + PATIENCE;
        let mut head_took = None;
        let told = tokio::time::timeout(
            patience,
            self.exchange(address, call, |now| {
                head_took = Some(now.duration_since(began));
            }),
        )
        .await
        .unwrap_or(Told::Silence);
        let took = began.elapsed();
        Heard {
            told,
            head_took: head_took.unwrap_or(took),
            took,
        }
    }

    /// Sends one request with further headers, and returns the head of what comes back.
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
        head_came: impl FnOnce(Instant),
    ) -> Told {
        let Some(request) = request(address, call) else {
            return Told::Broken { begun: false };
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Told::NoConnection,
            Err(_) => return Told::Broken { begun: false },
        };
        head_came(Instant::now());
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
    builder.body(Full::new(call.body.clone())).ok()
}

async fn read(response: Response<Incoming>) -> Told {
    let (parts, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        return Told::Broken { begun: true };
    };
    if let Some(refusal) = problem::read(Instant::now(), &parts.headers) {
        let retry_after = parts.headers.get(hyper::header::RETRY_AFTER);
        return Told::Refused {
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
    Told::Answer {
        status: parts.status,
        host: host.to_owned(),
        body: collected.to_bytes(),
    }
}
