//! Load reports that arrive between answers.

use std::sync::Arc;

use mintridge_core::load::Report;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::datagram;

/// What load reports count as in the metrics.
pub const KIND: &str = "report";

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
    let read = |datagram: Datagram| match datagram.report.parse() {
        Ok(report) => take(&datagram, report),
        Err(_) => context.metrics.bad_input(KIND),
    };
    datagram::receive(&socket, &context.metrics, KIND, read).await;
}
