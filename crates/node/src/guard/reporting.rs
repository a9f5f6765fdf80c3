//! Sends load changes by datagram to the nodes that recently sent requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use mintridge_core::recipients::Recipients;
use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::Guard;
use crate::datagram;
use crate::reports::{self, Datagram};

/// The recipients of load reports, and a notification that the load has changed.
#[derive(Default)]
pub struct Reporting {
    recipients: Mutex<Recipients>,
    changed: Notify,
}

impl Reporting {
    /// Records that a node sent a request and gave `node` as the address for load reports.
    pub fn record_request(&self, now: Instant, node: SocketAddr) {
        self.recipients.lock().record_request(now, node);
    }

    /// Requests a report, since the load has changed.
    pub fn notify_change(&self) {
        self.changed.notify_one();
    }
}

/// Sends reports until the thread ends, at most one in each interval of the settings.
pub async fn run(guard: Arc<Guard>) {
    let address = SocketAddr::new(guard.context.addresses.peers.ip(), 0);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!(
                error:% = error;
                "cannot open a socket for load reports; load is reported only in responses"
            );
            return;
        }
    };
    let interval = guard.context.settings.guard.report_every;
    loop {
        guard.reporting.changed.notified().await;
        if let Some(report) = guard.datagram() {
            let nodes = guard.reporting.recipients.lock().select(Instant::now());
            let metrics = &guard.context.metrics;
            datagram::send(&socket, metrics, reports::KIND, &report, &nodes).await;
        }
        tokio::time::sleep(interval).await;
    }
}

impl Guard {
    /// Returns the load report for peers, or `None` until the upstream has announced itself.
    fn datagram(&self) -> Option<Datagram> {
        let now = Instant::now();
        let state = self.state.lock();
        let announcement = state.announcement.as_ref()?;
        Some(Datagram {
            host: Arc::clone(self.context.host()),
            service: Arc::clone(&announcement.service),
            report: state.admission.report(now).to_string(),
        })
    }
}
