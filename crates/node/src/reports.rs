//! Load reports that arrive as datagrams, between responses.

use std::sync::Arc;

use mintridge_core::load::Report;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::datagram;

/// Label of load reports in the metrics.
pub const KIND: &str = "report";

/// A load report as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The host that reports.
    pub host: Arc<str>,
    /// The service that the host offers.
    pub service: Arc<str>,
    /// The [`Report`] in its text form.
    pub report: String,
}

/// Receives reports until the thread ends, on the address and port on which peers send requests.
pub async fn receive(context: &Context, mut apply: impl FnMut(&Datagram, Report)) {
    let address = context.addresses.peers;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!(
                address:% = address,
                error:% = error;
                "failed to bind the load report socket; using load from responses only"
            );
            return;
        }
    };
    let read = |datagram: Datagram| match datagram.report.parse() {
        Ok(report) => apply(&datagram, report),
        Err(_) => context.metrics.bad_input(KIND),
    };
    datagram::receive(&socket, &context.metrics, KIND, read).await;
}
