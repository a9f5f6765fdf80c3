//! `standin-upstream`: a stand-in for an upstream as a separate process. It announces itself to the
//! node beside it and drains on SIGTERM.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_http::server::Phase;
use mintridge_node::announcement::{Announcement, State};
use mintridge_standin::announcer;
use mintridge_standin::upstream::{self, Behaviour, Upstream};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-in for an upstream.
        cmd standin-upstream {
            /// Name of the upstream.
            required name: String
            /// Service that it provides.
            required service: String
            /// Address to listen on.
            required listen: SocketAddr
            /// Address at which the node beside it accepts announcements.
            required announce: SocketAddr
            /// Number of requests served concurrently, 12 by default.
            optional --slots slots: usize
            /// Service time of a request in microseconds, 20000 by default.
            optional --service-micros micros: u64
        }
    }
}

/// Delay between the announcement of the drain and the close of the listener, in which the node
/// refuses late requests, so that none reaches a closed listener.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_secs(3);
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = flags::StandinUpstream::from_env_or_exit();
    let defaults = Behaviour::default();
    let behaviour = Behaviour {
        slots: arguments.slots.unwrap_or(defaults.slots),
        service_micros: arguments.service_micros.unwrap_or(defaults.service_micros),
        ..defaults
    };
    let announcement = Announcement {
        service: Arc::from(arguments.service),
        address: arguments.listen,
        slots: u32::try_from(behaviour.slots).unwrap_or(u32::MAX),
        health_path: Arc::from(upstream::HEALTH),
        state: State::Ready,
        ..Announcement::default()
    };
    let (Ok(listener), Ok(mut terminate_signal)) = (
        TcpListener::bind(arguments.listen).await,
        signal(SignalKind::terminate()),
    ) else {
        eprintln!("{}: cannot listen", arguments.listen);
        return ExitCode::FAILURE;
    };
    let announcement_sender = watch::Sender::new(Arc::new(announcement.clone()));
    tokio::spawn(announcer::run(
        arguments.announce,
        announcement_sender.subscribe(),
    ));
    let phase = watch::Sender::new(Phase::Open);
    let upstream = Arc::new(Upstream::new(&arguments.name, behaviour));
    let serving = tokio::spawn(upstream::run(listener, upstream, phase.subscribe()));
    terminate_signal.recv().await;
    announcement_sender.send_replace(Arc::new(Announcement {
        state: State::Draining,
        ..announcement
    }));
    tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
    phase.send_replace(Phase::Closing {
        give_up_at: Instant::now() + DRAIN_TIMEOUT,
    });
    let _ = serving.await;
    ExitCode::SUCCESS
}
