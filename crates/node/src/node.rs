//! Life cycle of a node: start, graceful stop and immediate shutdown.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use mintridge_core::stop::Plan;
use mintridge_store::epoch::Epochs;
use parking_lot::Mutex;
use socket2::{Domain, Type};
use tokio::sync::{mpsc, watch};

use crate::accounts::Limiter;
use crate::adapter::Adapter;
use crate::context::{Addresses, Context, GuardState, Latest, Rings, Stage, View, unix_millis};
use crate::duties::{self, Duty, Inputs, Socket};
use crate::metrics::Metrics;
use crate::request_log::millis;
use crate::settings::Settings;
use crate::traces;

/// Interval at which a graceful stop checks whether a duty has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum time for which requests from peers still get a refusal after the node has announced that
/// it accepts no new ones. The update reaches all peers within a few immediate gossip exchanges.
const PEER_UPDATE_DELAY: Duration = Duration::from_millis(300);

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node cannot listen on an address.
    #[error("cannot listen on {address} for {purpose}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the listener is for.
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

/// Starts a node; all its listeners are open when this returns.
///
/// # Errors
/// If the node cannot listen on an address or start a thread.
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
    let accounts = match listeners.accounts_address() {
        Some(address) => Some(bind_datagrams(address, "accounts")?),
        None => None,
    };
    let addresses = Addresses {
        callers: callers.1,
        peers: peers.1,
        control: control.1,
        announcements: announcements.1,
        operators: operators.1,
        accounts_port: accounts.as_ref().map(|(_, address)| address.port()),
    };
    let (to_guard, messages) = mpsc::channel(settings.guard.announcements_ring);
    let (to_claims, jobs) = mpsc::channel(settings.claims.ring);
    let (to_control, quarantine_events) = mpsc::channel(settings.guard.suspicions_ring);
    let rings = Rings {
        announcements: to_guard,
        claims: to_claims,
        quarantine_events: to_control,
    };
    if settings.traces.sampled {
        traces::start();
    }
    let latest = latest(&settings);
    let epochs = settings.store.epoch_header.as_deref();
    let epochs = epochs.map(Epochs::from_header).unwrap_or_default();
    let incarnation = unix_millis();
    let limiter = accounts.as_ref().map(|_| {
        let limiter = Limiter::new(&settings.accounts, &settings.host, incarnation);
        Arc::new(limiter)
    });
    let context = Arc::new(Context {
        settings,
        adapter,
        addresses,
        incarnation,
        limiter,
        metrics: Metrics::default(),
        epochs,
        calls: Mutex::default(),
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
        accounts: accounts.map(|(socket, _)| socket),
        messages,
        jobs,
        quarantine_events,
    };
    let duties = duties::start(&context, inputs).change_context(Error::Threads)?;
    log::info!(
        host = &**context.host(),
        callers:% = addresses.callers,
        peers:% = addresses.peers,
        control:% = addresses.control,
        announcements:% = addresses.announcements,
        operators:% = addresses.operators,
        accounts_port:? = addresses.accounts_port,
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
        verified: watch::Sender::new(Instant::now()),
        confirmed: watch::Sender::new(None),
        screen: watch::Sender::new(Arc::default()),
        upstream: watch::Sender::new(None),
        guarded: watch::Sender::new(GuardState::default()),
        upstreams: watch::Sender::new(Vec::new()),
        refreshed: watch::Sender::new(Instant::now()),
        stage: watch::Sender::new(Stage::Serving),
    }
}

/// Opens a listening socket with the given backlog.
///
/// Failure: many callers connect within a few milliseconds while the thread is busy.
/// Symptom: with the standard library's backlog of 128 the kernel drops SYN packets, and those
/// callers wait a second for the retransmission. The backlog is therefore configurable.
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

/// Binds a socket for datagrams.
fn bind_datagrams(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<(UdpSocket, SocketAddr), Report<Error>> {
    let bound = || -> io::Result<(UdpSocket, SocketAddr)> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let bound = socket.local_addr()?;
        Ok((socket, bound))
    };
    bound().change_context(Error::Listen { address, purpose })
}

fn sleep_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

impl Node {
    /// State shared by the duties.
    #[must_use]
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Stops gracefully: no request in progress is aborted before the end that the settings in force
    /// allow.
    ///
    /// 1. Callers are still served, but their connections are closed after the last pending
    ///    response so that they reconnect to another node. The upstream still gets new requests:
    ///    while its node forwards none, its capacity is missing and other upstreams carry its load.
    ///    It gets only those that can end before the node does.
    /// 2. The node stops forwarding new requests to the upstream and informs its peers. The
    ///    listener for callers closes once their requests in progress are finished.
    /// 3. The listener for peers closes once their requests in progress are finished.
    /// 4. The node leaves the cluster and ends.
    pub fn stop(self) {
        let now = Instant::now();
        let settings = &self.context.live().node;
        let plan = Plan::new(now, settings);
        log::info!(
            killed_after_ms:? = settings.killed_after.map(millis),
            closes_after_ms = millis(plan.closes_at - now),
            ends_after_ms = millis(plan.ends_at - now);
            "stopping"
        );
        self.set_stage(Stage::Leaving(plan));
        sleep_until(plan.closes_at);
        self.set_stage(Stage::ClosingCallers(plan));
        sleep_until(plan.ends_at.min(plan.closes_at + PEER_UPDATE_DELAY));
        self.wait_for_duty("entry");
        self.set_stage(Stage::ClosingPeers(plan));
        self.wait_for_duty("guard");
        self.terminate();
    }

    /// Ends the node immediately; requests in progress are aborted.
    pub fn terminate(self) {
        self.set_stage(Stage::Ending);
        for duty in self.duties {
            if duty.thread.join().is_err() {
                log::error!(duty = duty.name; "duty panicked");
            }
        }
        log::info!("ended");
    }

    fn set_stage(&self, stage: Stage) {
        self.context.latest.stage.send_replace(stage);
    }

    fn wait_for_duty(&self, name: &str) {
        let Some(duty) = self.duties.iter().find(|duty| duty.name == name) else {
            return;
        };
        while !duty.thread.is_finished() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
