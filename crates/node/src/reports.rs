//! Load reports that arrive between answers.
//!
//! A report that is lost or late costs nothing but freshness: the next answer brings another.

use std::sync::Arc;

use mintridge_core::load::Report;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::context::Context;

/// Longest datagram taken, in bytes: names of a host and a service, and five figures.
const DATAGRAM_MOST: usize = 1024;

/// A load report on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The host that reports.
    pub host: Arc<str>,
    /// The service that it offers.
    pub service: Arc<str>,
    /// A [`Report`] as text.
    pub report: String,
}

/// Takes in reports until the thread ends, at the address at which peers send requests.
pub async fn receive(context: &Context, mut take: impl FnMut(&Datagram, Report)) {
    let address = context.addresses.peers;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!(address:% = address, error:% = error; "load is heard with answers only");
            return;
        }
    };
    let mut bytes = [0_u8; DATAGRAM_MOST];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        let Ok(datagram) = serde_json::from_slice::<Datagram>(&bytes[..length]) else {
            context.metrics.bad_input("report");
            continue;
        };
        match datagram.report.parse() {
            Ok(report) => take(&datagram, report),
            Err(_) => context.metrics.bad_input("report"),
        }
    }
}
