//! Queries to nodes for their state.

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

/// Upper limit of a node's state document, in bytes.
const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;

/// Queries one node.
///
/// # Errors
/// If it does not respond.
pub async fn status(address: SocketAddr, timeout: Duration) -> Result<Status, Error> {
    let request = async {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let uri = format!("http://{address}{STATE}").parse().ok()?;
        let response = client.get(uri).await.ok()?;
        reply::read_json(response.into_body(), MAX_STATE_BYTES)
            .await
            .ok()
    };
    let response = tokio::time::timeout(timeout, request).await;
    response.ok().flatten().ok_or(Error::NoResponse(address))
}

/// Queries the seed nodes and all nodes known to the first seed that responds. The result contains
/// the address of each node that does not respond.
///
/// # Errors
/// If `seeds` is empty, or no seed responds.
pub async fn statuses(
    seeds: &[SocketAddr],
    timeout: Duration,
) -> Result<Vec<Result<Status, SocketAddr>>, Error> {
    let mut addresses: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
    let mut last_error = Error::NoNode;
    for address in seeds {
        match status(*address, timeout).await {
            Ok(status) => {
                addresses.extend(
                    status
                        .view
                        .members
                        .iter()
                        .map(|member| member.operators_address),
                );
                last_error = Error::NoNode;
                break;
            }
            Err(error) => last_error = error,
        }
    }
    if addresses.len() == seeds.len() && matches!(last_error, Error::NoResponse(_))
        || seeds.is_empty()
    {
        return Err(last_error);
    }
    let mut requests = tokio::task::JoinSet::new();
    for address in addresses {
        requests.spawn(async move { status(address, timeout).await.map_err(|_| address) });
    }
    Ok(requests.join_all().await)
}
