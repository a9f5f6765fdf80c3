//! Asking nodes for their state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use mintridge_http::reply;
use mintridge_node::operators::{STATE, Status};

use crate::error::Error;

/// Largest state taken, in bytes.
const STATE_MOST: usize = 16 * 1024 * 1024;

/// Asks one node.
///
/// # Errors
/// If it does not answer.
pub async fn status(address: SocketAddr, timeout: Duration) -> Result<Status, Error> {
    let asked = async {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let uri = format!("http://{address}{STATE}").parse().ok()?;
        let response = client.get(uri).await.ok()?;
        reply::read_json(response.into_body(), STATE_MOST)
            .await
            .ok()
    };
    let answered = tokio::time::timeout(timeout, asked).await;
    answered.ok().flatten().ok_or(Error::Node(address))
}

/// Asks the named nodes and all nodes they know; failures are part of the result.
///
/// # Errors
/// If none is named, or none of those named answers.
pub async fn all(
    named: &[SocketAddr],
    timeout: Duration,
) -> Result<Vec<Result<Status, SocketAddr>>, Error> {
    let mut known: BTreeSet<SocketAddr> = named.iter().copied().collect();
    let mut failed = Error::NoNode;
    for address in named {
        match status(*address, timeout).await {
            Ok(status) => {
                known.extend(
                    status
                        .view
                        .members
                        .iter()
                        .map(|member| member.operators_address),
                );
                failed = Error::NoNode;
                break;
            }
            Err(error) => failed = error,
        }
    }
    if known.len() == named.len() && matches!(failed, Error::Node(_)) || named.is_empty() {
        return Err(failed);
    }
    let mut asking = tokio::task::JoinSet::new();
    for address in known {
        asking.spawn(async move { status(address, timeout).await.map_err(|_| address) });
    }
    Ok(asking.join_all().await)
}
