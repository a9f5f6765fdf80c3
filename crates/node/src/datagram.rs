//! Datagrams between nodes, in JSON.
//!
//! One that is lost or late costs nothing but freshness: the next brings another.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

use crate::metrics::Metrics;

/// Longest datagram taken, in bytes: the names and figures of one host.
const BYTES_MOST: usize = 1024;

/// Takes in messages until the thread ends; what is none counts as bad input of this kind.
pub async fn receive<T: DeserializeOwned>(
    socket: &UdpSocket,
    metrics: &Metrics,
    kind: &'static str,
    mut take: impl FnMut(T),
) {
    let mut bytes = [0_u8; BYTES_MOST];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        match serde_json::from_slice(&bytes[..length]) {
            Ok(message) => take(message),
            Err(_) => metrics.bad_input(kind),
        }
    }
}

/// Sends a message to each of these addresses.
pub async fn send(
    socket: &UdpSocket,
    metrics: &Metrics,
    kind: &'static str,
    message: &impl Serialize,
    to: &[SocketAddr],
) {
    let written = match serde_json::to_vec(message) {
        Ok(written) => written,
        Err(error) => {
            log::error!(kind = kind, error:% = error; "datagram cannot be written");
            return;
        }
    };
    for address in to {
        match socket.send_to(&written, address).await {
            Ok(bytes) => {
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                metrics.control_sent(kind, bytes);
            }
            Err(error) => {
                log::debug!(kind = kind, node:% = address, error:% = error; "datagram not sent");
            }
        }
    }
}
