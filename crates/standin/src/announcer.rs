//! Announces an upstream to the node beside it, as a real upstream does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use mintridge_node::announcement::Announcement;
use tokio::sync::watch;

const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the current announcement periodically, and immediately after a change, until the sender
/// of `announcement` is dropped.
pub async fn run(node: SocketAddr, mut announcement: watch::Receiver<Arc<Announcement>>) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    loop {
        let current = Arc::clone(&announcement.borrow_and_update());
        if let Some(request) = request(node, &current) {
            let response = tokio::time::timeout(REQUEST_TIMEOUT, client.request(request)).await;
            if !matches!(response, Ok(Ok(_))) {
                log::debug!(node:% = node; "sending the announcement to the node failed");
            }
        }
        tokio::select! {
            () = tokio::time::sleep(ANNOUNCEMENT_INTERVAL) => {}
            changed = announcement.changed() => if changed.is_err() { return },
        }
    }
}

fn request(node: SocketAddr, announcement: &Announcement) -> Option<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(announcement).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{node}/announcement"))
        .body(Full::new(Bytes::from(body)))
        .ok()
}
