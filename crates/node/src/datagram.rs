//! JSON datagrams between nodes.
//!
//! A datagram that is lost or late only makes the receiver's data older until the next one arrives.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::UdpSocket;

use crate::metrics::Metrics;

/// Size limit of a received datagram: the names and figures of one host.
const MAX_BYTES: usize = 1024;

/// Passes received messages to `apply` until the thread ends. A datagram that does not parse is
/// counted as bad input of this kind.
pub async fn receive<T: DeserializeOwned>(
    socket: &UdpSocket,
    metrics: &Metrics,
    kind: &'static str,
    mut apply: impl FnMut(T),
) {
    let mut bytes = [0_u8; MAX_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        match serde_json::from_slice(&bytes[..length]) {
            Ok(message) => apply(message),
            Err(_) => metrics.bad_input(kind),
        }
    }
}

/// Sends a message to each address.
pub async fn send(
    socket: &UdpSocket,
    metrics: &Metrics,
    kind: &'static str,
    message: &impl Serialize,
    to: &[SocketAddr],
) {
    let encoded = match serde_json::to_vec(message) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(kind = kind, error:% = error; "failed to encode datagram");
            return;
        }
    };
    for address in to {
        match socket.send_to(&encoded, address).await {
            Ok(bytes) => {
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                metrics.control_sent(kind, bytes);
            }
            Err(error) => {
                log::debug!(
                    kind = kind,
                    node:% = address,
                    error:% = error;
                    "failed to send datagram"
                );
            }
        }
    }
}
