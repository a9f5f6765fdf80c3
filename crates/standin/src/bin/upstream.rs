//! `standin-upstream`: an upstream as a process that announces itself and drains on
//! SIGTERM.

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
            /// Its name.
            required name: String
            /// Service it offers.
            required service: String
            /// Address to listen on.
            required listen: SocketAddr
            /// Where the node beside it takes announcements.
            required announce: SocketAddr
            /// Requests served at once, 12 by default.
            optional --slots slots: usize
            /// Microseconds one request takes, 20000 by default.
            optional --service-micros micros: u64
        }
    }
}

/// Time for late requests to be refused elsewhere before this process goes.
const DRAIN_LEAST: Duration = Duration::from_secs(3);
const DRAIN_MOST: Duration = Duration::from_mins(1);

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
    let (Ok(listener), Ok(mut terminate)) = (
        TcpListener::bind(arguments.listen).await,
        signal(SignalKind::terminate()),
    ) else {
        eprintln!("{}: cannot listen", arguments.listen);
        return ExitCode::FAILURE;
    };
    let announced = watch::Sender::new(Arc::new(announcement.clone()));
    tokio::spawn(announcer::run(arguments.announce, announced.subscribe()));
    let phase = watch::Sender::new(Phase::Open);
    let upstream = Arc::new(Upstream::new(&arguments.name, behaviour));
    let serving = tokio::spawn(upstream::run(listener, upstream, phase.subscribe()));
    terminate.recv().await;
    announced.send_replace(Arc::new(Announcement {
        state: State::Draining,
        ..announcement
    }));
    tokio::time::sleep(DRAIN_LEAST).await;
    phase.send_replace(Phase::Closing {
        give_up_at: Instant::now() + DRAIN_MOST,
    });
    let _ = serving.await;
    ExitCode::SUCCESS
}
