//! HTTP endpoints for operators and their tools: health, metrics and state.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode};
use mintridge_core::outcome::Reason;
use mintridge_http::handler::{Function, ResponseFuture};
use mintridge_http::{Body, reply, server};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::context::{Context, GuardState, View};
use crate::entry::UpstreamView;

/// Path that returns 200 while the process responds.
pub const HEALTH: &str = "/health";
/// Path that returns 200 while the node forwards requests to its upstream.
pub const READY: &str = "/ready";
/// Path that returns 200 while callers may send requests to the node.
pub const ACCEPTING: &str = "/accepting";
/// Path of the metrics in the Prometheus text format.
pub const METRICS: &str = "/metrics";
/// Path of the complete state, a [`Status`] in JSON.
pub const STATE: &str = "/state";

/// State of a node, and its view of the other nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the node's host.
    pub host: Arc<str>,
    /// Whether a stop has been requested.
    pub stopping: bool,
    /// Members, and the preset in force on this node.
    pub view: View,
    /// Version of the routing table in force on this node; 0 if there is none yet.
    #[serde(default)]
    pub routes_version: u64,
    /// State of the upstream beside the node.
    pub guarded: GuardState,
    /// Load of the upstreams as known to the node's entry.
    pub seen: Vec<UpstreamView>,
}

/// Serves the endpoints for operators until the node ends.
pub async fn run(context: Arc<Context>, listener: TcpListener) {
    let phase = context.control_phase();
    let limits = server::Limits {
        connections: 64,
        ..server::Limits::default()
    };
    let handler = Function::new(context, |context, request| -> ResponseFuture {
        Box::pin(async move { answer(&context, &request) })
    });
    server::serve(listener, handler, server::Protocol::Http1, limits, phase).await;
}

fn answer(context: &Context, request: &Request<Body>) -> Response<Body> {
    match request.uri().path() {
        HEALTH => reply::text(StatusCode::OK, "working\n"),
        READY => ready(context),
        ACCEPTING => accepting(context),
        METRICS => metrics(context),
        STATE => reply::json(StatusCode::OK, &status(context)),
        _ => reply::text(
            StatusCode::NOT_FOUND,
            "/health /ready /accepting /metrics /state\n",
        ),
    }
}

fn ready(context: &Context) -> Response<Body> {
    match context.latest.guarded.borrow().closed {
        None => reply::text(StatusCode::OK, "ready\n"),
        Some(reason) => {
            let text = format!("{}\n", Reason::as_str(reason));
            reply::text(StatusCode::SERVICE_UNAVAILABLE, text)
        }
    }
}

fn accepting(context: &Context) -> Response<Body> {
    if context.accepts_callers() {
        return reply::text(StatusCode::OK, "accepting\n");
    }
    reply::text(StatusCode::SERVICE_UNAVAILABLE, "not accepting\n")
}

fn metrics(context: &Context) -> Response<Body> {
    match context.metrics.text() {
        Ok(text) => reply::text(StatusCode::OK, text),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn status(context: &Context) -> Status {
    Status {
        host: Arc::clone(context.host()),
        stopping: context.is_stopping(),
        view: context.latest.view.borrow().as_ref().clone(),
        routes_version: context.routes_version(),
        guarded: context.latest.guarded.borrow().clone(),
        seen: context.latest.upstreams.borrow().clone(),
    }
}
