//! A node's life: start, planned stop, end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use mintridge_store::epoch::Epochs;
use socket2::{Domain, Type};
use tokio::sync::{mpsc, watch};

use crate::adapter::Adapter;
use crate::context::{Addresses, Context, Guarded, Latest, Rings, Stage, View, unix_millis};
use crate::duties::{self, Duty, Inputs, Socket};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::traces;

/// How often a stop looks whether a duty has ended.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// How long peers' requests are still answered, with a refusal, after peers are told that
/// nothing new is taken: news reaches all peers within a few exchanges that follow at once.
const PEERS_LEARN_WITHIN: Duration = Duration::from_millis(300);

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {address} for {purpose}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
    },
    /// A thread cannot be started.
    #[error("cannot start the threads")]
    Threads,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    context: Arc<Context>,
    duties: Vec<Duty>,
}

/// Starts a node; it listens when this returns.
///
/// # Errors
/// If an address cannot be listened on or a thread not started.
pub fn start(settings: Settings, adapter: Adapter) -> Result<Node, Report<Error>> {
    let listeners = &settings.listeners;
    let listen = |address, purpose| listen(address, purpose, listeners.backlog);
    let callers = listen(listeners.callers, "callers")?;
    let peers = listen(listeners.peers, "peers")?;
    let control = listen(listeners.control, "control")?;
    let announcements = listen(listeners.announcements, "announcements")?;
    let operators = listen(listeners.operators, "operators")?;
    let metrics = match listeners.metrics {
        Some(address) => Some(listen(address, "metrics")?.0),
        None => None,
    };
    let addresses = Addresses {
        callers: callers.1,
        peers: peers.1,
        control: control.1,
        announcements: announcements.1,
        operators: operators.1,
    };
    let (to_guard, announced) = mpsc::channel(settings.guard.announcements_ring);
    let (to_claims, jobs) = mpsc::channel(settings.claims.ring);
    let (to_control, suspicions) = mpsc::channel(settings.guard.suspicions_ring);
    let rings = Rings {
        announcements: to_guard,
        claims: to_claims,
        suspicions: to_control,
    };
    if settings.traces.sampled {
        traces::start();
    }
    let latest = latest(&settings);
    let epochs = settings.store.epoch_header.as_deref();
    let epochs = epochs.map(Epochs::named_in).unwrap_or_default();
    let context = Arc::new(Context {
        settings,
        adapter,
        addresses,
        incarnation: unix_millis(),
        metrics: Metrics::default(),
        epochs,
        rings,
        latest,
    });
    let inputs = Inputs {
        callers: callers.0,
        peers: peers.0,
        control: control.0,
        announcements: announcements.0,
        operators: operators.0,
        metrics,
        announced,
        jobs,
        suspicions,
    };
    let duties = duties::start(&context, inputs).change_context(Error::Threads)?;
    log::info!(
        host = &**context.host(),
        callers:% = addresses.callers,
        peers:% = addresses.peers,
        control:% = addresses.control,
        announcements:% = addresses.announcements,
        operators:% = addresses.operators,
        peers_named = context.settings.peers.len();
        "node started"
    );
    Ok(Node { context, duties })
}

fn latest(settings: &Settings) -> Latest {
    Latest {
        settings: watch::Sender::new(Arc::new(settings.clone())),
        view: watch::Sender::new(Arc::new(View::default())),
        routes: watch::Sender::new(None),
        screen: watch::Sender::new(Arc::default()),
        upstream: watch::Sender::new(None),
        guarded: watch::Sender::new(Guarded::default()),
        seen: watch::Sender::new(Vec::new()),
        refreshed: watch::Sender::new(Instant::now()),
        stage: watch::Sender::new(Stage::Serving),
    }
}

/// Opens a listening socket.
///
/// Failure: many callers connect within a few milliseconds while the thread is busy.
/// Symptom: with the standard library's queue of 128 the system drops opening packets, and
/// those callers wait a second for the next one. The queue is as long as the settings say.
fn listen(
    address: SocketAddr,
    purpose: &'static str,
    backlog: i32,
) -> Result<(Socket, SocketAddr), Report<Error>> {
    let opened = || -> io::Result<(Socket, SocketAddr)> {
        let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(backlog)?;
        let socket = Socket::from(socket);
        let bound = socket.local_addr()?;
        Ok((socket, bound))
    };
    opened().change_context(Error::Listen { address, purpose })
}

impl Node {
    /// What the duties share.
    #[must_use]
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Stops as planned: no request in progress is cut within the time allowed.
    ///
    /// 1. Callers are still served while they learn that they should go elsewhere, and the
    ///    upstream still gets new requests: an upstream whose node restarts is missing for as
    ///    long as nothing passes to it, and others carry its load.
    /// 2. Nothing new is let through to the upstream and peers are told; callers' listener
    ///    closes when their requests in progress are finished.
    /// 3. Peers' listener closes when theirs are.
    /// 4. The node says goodbye.
    pub fn stop(self) {
        let settings = &self.context.settings.node;
        let give_up_at = Instant::now() + settings.stop_within;
        log::info!("stopping");
        self.set(Stage::Leaving);
        thread::sleep(settings.linger);
        self.set(Stage::ClosingCallers { give_up_at });
        thread::sleep(PEERS_LEARN_WITHIN);
        self.wait_for("entry");
        self.set(Stage::ClosingPeers { give_up_at });
        self.wait_for("guard");
        self.end();
    }

    /// Ends at once; requests in progress are cut.
    pub fn end(self) {
        self.set(Stage::Ending);
        for duty in self.duties {
            if duty.thread.join().is_err() {
                log::error!(duty = duty.name; "duty panicked");
            }
        }
        log::info!("ended");
    }

    fn set(&self, stage: Stage) {
        self.context.latest.stage.send_replace(stage);
    }

    fn wait_for(&self, name: &str) {
        let Some(duty) = self.duties.iter().find(|duty| duty.name == name) else {
            return;
        };
        while !duty.thread.is_finished() {
            thread::sleep(LOOK_EVERY);
        }
    }
}
