//! Announces an upstream to the node beside it, as a real one would.

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

const PERIOD: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_secs(1);

/// Announces until the sender is dropped; a change is announced at once.
pub async fn run(node: SocketAddr, mut announcement: watch::Receiver<Arc<Announcement>>) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    loop {
        let current = Arc::clone(&announcement.borrow_and_update());
        if let Some(request) = request(node, &current) {
            let sent = tokio::time::timeout(TIMEOUT, client.request(request)).await;
            if !matches!(sent, Ok(Ok(_))) {
                log::debug!(node:% = node; "announcement not taken");
            }
        }
        tokio::select! {
            () = tokio::time::sleep(PERIOD) => {}
            changed = announcement.changed() => if changed.is_err() { return },
        }
    }
}

fn request(node: SocketAddr, announcement: &Announcement) -> Option<Request<Full<Bytes>>> {
    let written = serde_json::to_vec(announcement).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{node}/announcement"))
        .body(Full::new(Bytes::from(written)))
        .ok()
}
