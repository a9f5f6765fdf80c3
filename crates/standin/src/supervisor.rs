//! Emulates the process of an upstream in a thread: a crash drops all requests in progress at once,
//! nothing listens at its address for a while, and then it starts again at the same address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mintridge_http::server::Phase;
use mintridge_node::announcement::Announcement;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::upstream::{self, Upstream};

/// Serves the upstream on a separate thread until `phase` closes, and restarts it after each crash.
pub fn start(
    listener: std::net::TcpListener,
    upstream: Arc<Upstream>,
    phase: watch::Receiver<Phase>,
    announcement: watch::Sender<Arc<Announcement>>,
) {
    std::thread::spawn(move || {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut listener = Some(listener);
        while run_once(address, listener.take(), &upstream, &phase) == Exit::Crashed {
            let behaviour = upstream.behaviour();
            std::thread::sleep(Duration::from_millis(behaviour.down_millis));
            let announcement = announcement.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(behaviour.unannounced_millis));
                announce_restart(&announcement);
            });
        }
    });
}

/// Announces that the upstream has restarted under the same id.
pub fn announce_restart(announcement: &watch::Sender<Arc<Announcement>>) {
    announcement.send_modify(|current| {
        let starts = current.born.unwrap_or_default();
        Arc::make_mut(current).born = Some(starts + 1);
    });
}

#[derive(PartialEq, Eq)]
enum Exit {
    Crashed,
    Closed,
}

/// Runs the upstream until it crashes or closes; dropping its runtime closes every connection.
fn run_once(
    address: SocketAddr,
    listener: Option<std::net::TcpListener>,
    upstream: &Arc<Upstream>,
    phase: &watch::Receiver<Phase>,
) -> Exit {
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
        return Exit::Closed;
    };
    runtime.block_on(async {
        let bound = match listener {
            Some(listener) => TcpListener::from_std(listener),
            None => TcpListener::bind(address).await,
        };
        let Ok(bound) = bound else {
            return Exit::Closed;
        };
        tokio::select! {
            _ = upstream::run(bound, Arc::clone(upstream), phase.clone()) => Exit::Closed,
            () = upstream.crashed() => Exit::Crashed,
        }
    })
}
