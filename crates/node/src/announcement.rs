//! What an upstream tells the node beside it, again and again while it lives.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::{Method, Request, Response, StatusCode};
use mintridge_http::handler::{Answer, Function};
use mintridge_http::{Body, reply, server};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::context::Context;

/// Path on which announcements are taken.
pub const PATH: &str = "/announcement";
const BODY_MOST: usize = 16 * 1024;

/// State of an upstream by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// An upstream announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it offers.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests it may have at once.
    pub slots: u32,
    /// Path for probes, asked for only while it is doubtful.
    #[serde(default = "default_health_path")]
    pub health_path: Arc<str>,
    /// Whether it takes requests.
    #[serde(default)]
    pub state: State,
}

fn default_health_path() -> Arc<str> {
    Arc::from("/health")
}

/// Serves announcements, passing them to the guard through its ring.
pub async fn run(context: Arc<Context>, listener: TcpListener) {
    let phase = context.control_phase();
    let limits = server::Limits {
        connections: 64,
        ..server::Limits::default()
    };
    let handler = Function::new(context, |context, request| -> Answer {
        Box::pin(answer(context, request))
    });
    server::serve(listener, handler, server::Protocol::Http1, limits, phase).await;
}

async fn answer(context: Arc<Context>, request: Request<Body>) -> Response<Body> {
    if request.method() != Method::POST || request.uri().path() != PATH {
        return reply::text(StatusCode::NOT_FOUND, "POST /announcement\n");
    }
    let announcement = match reply::read_json(request.into_body(), BODY_MOST).await {
        Ok(announcement) => announcement,
        Err(error) => {
            context.metrics.bad_input("announcement");
            log::warn!(error:% = error; "announcement not taken");
            return reply::text(StatusCode::BAD_REQUEST, format!("{error}\n"));
        }
    };
    if context.rings.announcements.try_send(announcement).is_err() {
        context.metrics.ring_full("announcements");
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "announce again\n");
    }
    reply::text(StatusCode::ACCEPTED, "taken\n")
}
