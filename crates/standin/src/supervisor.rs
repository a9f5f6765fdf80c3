//! An upstream as a process of its own would be: when it crashes, all that it had in progress is
//! gone at once, nothing listens at its address for a while, and then it starts again there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mintridge_http::server::Phase;
use mintridge_node::announcement::Announcement;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;

use crate::upstream::{self, Upstream};

/// Serves on a thread of its own until `phase` closes, and again after each crash.
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
        while serve(address, listener.take(), &upstream, &phase) == Ended::Crashed {
            let behaviour = upstream.behaviour();
            std::thread::sleep(Duration::from_millis(behaviour.down_millis));
            let announcement = announcement.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(behaviour.unannounced_millis));
                announce_start(&announcement);
            });
        }
    });
}

/// Announces that the upstream has started again, under the id that it had.
pub fn announce_start(announcement: &watch::Sender<Arc<Announcement>>) {
    announcement.send_modify(|current| {
        let starts = current.born.unwrap_or_default();
        Arc::make_mut(current).born = Some(starts + 1);
    });
}

#[derive(PartialEq, Eq)]
enum Ended {
    Crashed,
    Closed,
}

/// One life of the process; its end takes the runtime along, and with it every connection.
fn serve(
    address: SocketAddr,
    listener: Option<std::net::TcpListener>,
    upstream: &Arc<Upstream>,
    phase: &watch::Receiver<Phase>,
) -> Ended {
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
        return Ended::Closed;
    };
    runtime.block_on(async {
        let bound = match listener {
            Some(listener) => TcpListener::from_std(listener),
            None => TcpListener::bind(address).await,
        };
        let Ok(bound) = bound else {
            return Ended::Closed;
        };
        tokio::select! {
            _ = upstream::run(bound, Arc::clone(upstream), phase.clone()) => Ended::Closed,
            () = upstream.crashed() => Ended::Crashed,
        }
    })
}
