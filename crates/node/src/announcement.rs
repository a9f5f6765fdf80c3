//! Announcements that an upstream repeatedly sends to the node beside it while it runs.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, Request, Response, StatusCode};
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::{Body, reply, server};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::adapter::Malformed;
use crate::context::Context;

/// Path on which announcements are received.
pub const PATH: &str = "/announcement";
const MAX_BODY_BYTES: usize = 16 * 1024;

/// State that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The upstream accepts requests.
    #[default]
    Ready,
    /// The upstream finishes its requests and accepts no new ones.
    Draining,
}

/// Announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the upstream offers.
    pub service: Arc<str>,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Number of requests that the upstream can run at once.
    pub slots: u32,
    /// Path for health probes, used only while the upstream is doubtful.
    #[serde(default = "default_health_path")]
    pub health_path: Arc<str>,
    /// State of the upstream.
    #[serde(default)]
    pub state: State,
    /// Remaining time for which the upstream is cold and can handle only a reduced request rate.
    #[serde(
        default,
        with = "humantime_serde",
        skip_serializing_if = "Duration::is_zero"
    )]
    pub cold_for: Duration,
    /// Id that the upstream sends in its responses; it may be the same after a restart.
    #[serde(default)]
    pub instance: Arc<str>,
    /// Start time by the upstream's own clock, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born: Option<u64>,
    /// Sequence number, which increases with each announcement until the upstream restarts.
    #[serde(default)]
    pub sequence: u64,
}

/// Message from an upstream to the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The upstream is running.
    Announced(Announcement),
    /// The upstream accepts no new requests and will exit soon.
    Leaving {
        /// Id of the instance that exits.
        instance: Arc<str>,
        /// Start time of the instance, if the message contains it.
        born: Option<u64>,
    },
}

/// A call from the upstream that has not been parsed.
#[derive(Clone, Copy, Debug)]
pub struct Incoming<'a> {
    /// Method of the call.
    pub method: &'a Method,
    /// Path of the call.
    pub path: &'a str,
    /// Body of the call.
    pub body: &'a [u8],
}

/// Parses a message in mintridge's own format.
///
/// # Errors
/// If method or path is wrong, or the body does not parse.
pub fn read(incoming: &Incoming<'_>) -> Result<Message, Malformed> {
    if incoming.method != Method::POST || incoming.path != PATH {
        return Err(Malformed::Call);
    }
    Ok(Message::Announced(serde_json::from_slice(incoming.body)?))
}

/// Builds the response to a message in mintridge's own format.
#[must_use]
pub fn acknowledge() -> Response<Body> {
    reply::text(StatusCode::ACCEPTED, "taken\n")
}

impl Default for Announcement {
    fn default() -> Self {
        Self {
            service: Arc::from(""),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: 1,
            health_path: default_health_path(),
            state: State::Ready,
            cold_for: Duration::ZERO,
            instance: Arc::from(""),
            born: None,
            sequence: 0,
        }
    }
}

fn default_health_path() -> Arc<str> {
    Arc::from("/health")
}

/// Serves the announcement endpoint and passes messages to the guard through a bounded queue.
pub async fn run(context: Arc<Context>, listener: TcpListener) {
    let phase = context.control_phase();
    let limits = server::Limits {
        connections: 64,
        ..server::Limits::default()
    };
    let handler = Function::new(context, |context, request| -> ResponseFuture {
        Box::pin(answer(context, request))
    });
    server::serve(listener, handler, server::Protocol::Http1, limits, phase).await;
}

async fn answer(context: Arc<Context>, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = match reply::read_all(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return refuse(&context, StatusCode::PAYLOAD_TOO_LARGE, &error),
    };
    let incoming = Incoming {
        method: &parts.method,
        path: parts.uri.path(),
        body: &body,
    };
    let message = match (context.adapter.parse_message)(&incoming) {
        Ok(message) => message,
        Err(error @ Malformed::Call) => return refuse(&context, StatusCode::NOT_FOUND, &error),
        Err(error) => return refuse(&context, StatusCode::BAD_REQUEST, &error),
    };
    if context.rings.announcements.try_send(message).is_err() {
        context.metrics.ring_full("announcements");
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "announce again\n");
    }
    (context.adapter.acknowledge)()
}

fn refuse(context: &Context, status: StatusCode, error: &dyn Error) -> Response<Body> {
    context.metrics.bad_input("announcement");
    log::warn!(error:% = error; "announcement rejected");
    reply::text(status, format!("{error}\n"))
}
