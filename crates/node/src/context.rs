//! State shared by the duties of a node.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use mintridge_core::account::currency::{self, Moment};
use mintridge_core::call;
use mintridge_core::load::Report;
use mintridge_core::membership::{Record, Upstream};
use mintridge_core::outcome::Reason;
use mintridge_core::preset::InForce;
use mintridge_core::quarantine::Event;
use mintridge_core::route::Document;
use mintridge_core::screen::Screen;
use mintridge_core::stop::{Plan, Stop};
use mintridge_http::server::Phase;
use mintridge_store::epoch::Epochs;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::accounts::Limiter;
use crate::adapter::Adapter;
use crate::announcement::Message;
use crate::claims::Job;
use crate::clock;
use crate::entry::UpstreamView;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Members and preset as known to this node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct View {
    /// Records of all hosts that are alive or suspected, including this one.
    pub members: Vec<Record>,
    /// The preset in force on this node.
    pub in_force: Arc<InForce>,
    /// Whether this node is a designated reader of the store.
    pub holder: bool,
    /// Evacuated availability zones, whose upstreams get no new requests.
    #[serde(default)]
    pub evacuated: BTreeSet<Arc<str>>,
    /// Hosts that have left on their own initiative in the last minute.
    #[serde(default)]
    pub left: BTreeSet<Arc<str>>,
}

/// State of the upstream beside this node, as observed by its guard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardState {
    /// Load of the upstream, as counted by the guard.
    pub load: Report,
    /// Why no new requests are forwarded to the upstream; `None` if they are.
    pub closed: Option<Reason>,
    /// Whether the upstream is marked doubtful because of its failures.
    pub doubtful: bool,
    /// Upstream time spent on probes so far, in microseconds.
    pub probe_micros: u64,
}

/// Progress of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The node serves requests.
    Serving,
    /// A stop has been requested. Callers are still served, but their connections are closed after
    /// the last pending response so that they reconnect to another node. The upstream gets only
    /// requests that can end in time.
    Leaving(Plan),
    /// No new requests are forwarded to the upstream, and peers are informed. The listener for
    /// callers is closed; requests in progress are finished.
    ClosingCallers(Plan),
    /// The listener for peers is closed as well.
    ClosingPeers(Plan),
    /// The remaining listeners and duties end, and the node leaves the cluster.
    Ending,
}

impl Stage {
    fn stop(&self) -> Stop {
        match *self {
            Self::Serving => Stop::default(),
            Self::Leaving(plan) | Self::ClosingCallers(plan) | Self::ClosingPeers(plan) => {
                plan.into()
            }
            Self::Ending => Plan::immediate(Instant::now()).into(),
        }
    }
}

/// Addresses on which the node listens, with the ports that were bound.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for requests from peers.
    pub peers: SocketAddr,
    /// Listener for exchanges with peers.
    pub control: SocketAddr,
    /// Listener for announcements of the upstream.
    pub announcements: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Port of the socket for messages that limit accounts, if it is set.
    pub accounts_port: Option<u16>,
}

/// Senders of the bounded queues between duties, which settings and metrics call rings.
#[derive(Debug)]
pub struct Rings {
    /// Messages of the upstream, to the guard.
    pub announcements: mpsc::Sender<Message>,
    /// Claims on idempotency keys, to the claims thread.
    pub claims: mpsc::Sender<Job>,
    /// Events of the guard about requests that crash upstreams, to control.
    pub quarantine_events: mpsc::Sender<Event>,
}

/// Watch channels between duties. A new value replaces the previous one, so these channels cannot
/// fill up.
#[derive(Debug)]
pub struct Latest {
    /// Members and preset, from control.
    pub view: watch::Sender<Arc<View>>,
    /// Routing table in force on this node, from control; `None` until the first one is known.
    pub routes: watch::Sender<Option<Arc<Document>>>,
    /// When the store was last known to hold nothing newer than the documents in force, from
    /// control; the start of the process until then.
    pub verified: watch::Sender<Instant>,
    /// When the routing table in force was last known to be the newest, from control; `None` until
    /// then, and always if the settings set no bound for revocations.
    pub confirmed: watch::Sender<Option<Moment>>,
    /// Suspect requests to check new requests against, from control.
    pub screen: watch::Sender<Arc<Screen>>,
    /// State of the upstream to publish to other nodes, from the guard.
    pub upstream: watch::Sender<Option<Upstream>>,
    /// State of the upstream for operators, from the guard.
    pub guarded: watch::Sender<GuardState>,
    /// Upstreams as known to the entry, for operators.
    pub upstreams: watch::Sender<Vec<UpstreamView>>,
    /// Start time of the last successful exchange with a peer or read of the store, from control.
    pub refreshed: watch::Sender<Instant>,
    /// Last accepted version of the settings file. Only the sections in
    /// [`crate::reload::LIVE_SECTIONS`] take effect.
    pub settings: watch::Sender<Arc<Settings>>,
    /// Stage of a graceful stop, set by [`crate::node::Node`].
    pub stage: watch::Sender<Stage>,
}

/// State shared by all duties; created once at startup.
#[derive(Debug)]
pub struct Context {
    /// Settings at startup.
    pub settings: Settings,
    /// Functions that translate between the node and its platform.
    pub adapter: Adapter,
    /// Addresses on which the node listens.
    pub addresses: Addresses,
    /// Start time of this process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// Newest epoch received from the store: the number of times the store has been restored from
    /// an older copy.
    pub epochs: Epochs,
    /// Requests in progress at the upstream, by which the entry recognizes their calls. The guard
    /// begins and ends them.
    pub calls: Mutex<call::Register>,
    /// Limits the request rates of client accounts, where `listeners.accounts` is set.
    pub limiter: Option<Arc<Limiter>>,
    /// Queues between duties.
    pub rings: Rings,
    /// Watch channels between duties.
    pub latest: Latest,
}

impl Context {
    /// Returns the name of this host.
    #[must_use]
    pub const fn host(&self) -> &Arc<str> {
        &self.settings.host
    }

    /// Returns the last accepted settings.
    #[must_use]
    pub fn live(&self) -> Arc<Settings> {
        Arc::clone(&self.latest.settings.borrow())
    }

    /// Returns the preset in force on this node.
    #[must_use]
    pub fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.latest.view.borrow().in_force)
    }

    /// Returns the version of the routing table in force on this node; 0 if there is none yet.
    #[must_use]
    pub fn routes_version(&self) -> u64 {
        let routes = self.latest.routes.borrow();
        routes
            .as_ref()
            .map_or(0, |document| document.table.version.0)
    }

    /// Returns whether the routing table in force on this node lists client accounts.
    #[must_use]
    pub fn lists_accounts(&self) -> bool {
        let routes = self.latest.routes.borrow();
        routes
            .as_ref()
            .is_some_and(|document| !document.table.accounts.is_empty())
    }

    /// Returns whether the store has confirmed recently that it holds no newer routing table.
    #[must_use]
    pub fn is_table_verified(&self, now: Instant) -> bool {
        let verified_at = *self.latest.verified.borrow();
        now < verified_at + self.settings.routes.doubted_after
    }

    /// Returns whether a request that arrived at `now` may use the keys of a routing table that is
    /// loaded after this call.
    ///
    /// Failure: a thread stops for seconds between its look at the table and this check, while
    /// control confirms a newer one. Symptom: a key of the old table is used. The table must
    /// therefore be loaded after this call.
    #[must_use]
    pub fn may_use_keys(&self, now: Instant) -> bool {
        let Some(bound) = self.settings.accounts.revoked_within else {
            return true;
        };
        let confirmed = *self.latest.confirmed.borrow();
        currency::is_recent(bound, confirmed, clock::end_at(now))
    }

    /// Returns the snapshot of suspect requests.
    #[must_use]
    pub fn screen(&self) -> Arc<Screen> {
        Arc::clone(&self.latest.screen.borrow())
    }

    /// Returns whether a stop has been requested.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.latest.stage.borrow() != Stage::Serving
    }

    /// Returns the plan of the stop, if one has been requested.
    #[must_use]
    pub fn stop(&self) -> Stop {
        self.latest.stage.borrow().stop()
    }

    /// Waits until a stop has been requested and its time for the last answers has come.
    pub async fn last_answer_due(&self) {
        let mut stage = self.latest.stage.subscribe();
        let stop = stage.wait_for(|stage| stage.stop().is_known()).await;
        let last_answer_at = stop.ok().and_then(|stage| stage.stop().last_answer_at());
        if let Some(last_answer_at) = last_answer_at {
            tokio::time::sleep_until(last_answer_at.into()).await;
        }
    }

    /// Returns whether callers may send requests to this node: any required routing table is known,
    /// and no stop has been requested.
    #[must_use]
    pub fn accepts_callers(&self) -> bool {
        let configured =
            self.settings.routes.key.is_none() || self.latest.routes.borrow().is_some();
        configured && !self.is_stopping()
    }

    /// Returns the phase of the listener for callers.
    #[must_use]
    pub fn callers_phase(&self) -> watch::Receiver<Phase> {
        self.map_stage(|stage| match stage {
            Stage::Serving => Phase::Open,
            Stage::Leaving(_) => Phase::Leaving,
            Stage::ClosingCallers(plan) | Stage::ClosingPeers(plan) => close_by(plan),
            Stage::Ending => close_immediately(),
        })
    }

    /// Returns the phase of the listener for peers, which stays open longer than that for callers.
    #[must_use]
    pub fn peers_phase(&self) -> watch::Receiver<Phase> {
        self.map_stage(|stage| match stage {
            Stage::ClosingPeers(plan) => close_by(plan),
            Stage::Ending => close_immediately(),
            Stage::Serving | Stage::Leaving(_) | Stage::ClosingCallers(_) => Phase::Open,
        })
    }

    /// Returns the phase of the listeners that stay open until the node ends.
    #[must_use]
    pub fn control_phase(&self) -> watch::Receiver<Phase> {
        self.map_stage(|stage| match stage {
            Stage::Ending => close_immediately(),
            _ => Phase::Open,
        })
    }

    /// Maps the stage to a listener phase in a task spawned on the current thread's runtime.
    fn map_stage(&self, to_phase: fn(Stage) -> Phase) -> watch::Receiver<Phase> {
        let mut stage = self.latest.stage.subscribe();
        let first = to_phase(*stage.borrow_and_update());
        let (sender, receiver) = watch::channel(first);
        tokio::spawn(async move {
            while stage.changed().await.is_ok() {
                let phase = to_phase(*stage.borrow_and_update());
                sender.send_if_modified(|current| {
                    let changed = *current != phase;
                    *current = phase;
                    changed
                });
            }
            sender.send_replace(close_immediately());
        });
        receiver
    }
}

const fn close_by(plan: Plan) -> Phase {
    Phase::Closing {
        give_up_at: plan.ends_at,
    }
}

fn close_immediately() -> Phase {
    Phase::Closing {
        give_up_at: Instant::now(),
    }
}

/// Returns the milliseconds since the Unix epoch, or 0 if the clock is set before it.
#[must_use]
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}
