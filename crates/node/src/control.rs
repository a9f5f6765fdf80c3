//! Keeps the members, the preset in force and the routing table up to date through exchanges with
//! peers and, on the few nodes that read it, through the store.

mod codec;
mod currency;
mod epochs;
mod evacuations;
mod exchange;
mod failover;
mod holder;
mod peer;
mod persistence;
mod suspects;
mod watch;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use mintridge_core::bootstrap::{self, Bootstrap, Contacts, QuarantineSources, Role, Snapshot};
use mintridge_core::evacuation;
use mintridge_core::failover::{Failover, Versions};
use mintridge_core::membership::{self, Record, Table, Version};
use mintridge_core::preset::{InForce, Offered, Register};
use mintridge_core::quarantine::{Event, Quarantine};
use mintridge_core::route::{self, Document};
use mintridge_store::client::Client;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::task::LocalSet;

use crate::context::{Context, Stage, View};
use crate::packed;
use crate::request_log::millis;

/// Maximum number of unreadable routes logged per routing table, so that a table with thousands of
/// them does not fill the log.
const MAX_LOGGED_FAULTS: usize = 8;

/// How a routing table reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// A read of the store.
    Read,
    /// A watch of the store.
    Watch,
    /// A check of the store, because no watch had delivered it.
    Poll,
    /// An exchange with a peer.
    Exchange,
}

impl Delivery {
    /// Returns the name of the sender used in logs.
    const fn sender(self) -> &'static str {
        match self {
            Self::Read | Self::Watch | Self::Poll => "store",
            Self::Exchange => "peer",
        }
    }

    /// Returns the name used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Poll => "poll",
            Self::Exchange => "exchange",
        }
    }
}

/// State shared by all tasks of the control thread.
struct Control {
    context: Arc<Context>,
    store: Client,
    state: RefCell<State>,
    /// Notified when a change is to be pushed to a few peers at once.
    updates_due: Notify,
    /// Notified when the quarantine has changed and is to be persisted.
    quarantine_changed: Notify,
    /// Whether the quarantine persisted before this node started has been loaded.
    quarantine_loaded: Cell<bool>,
    /// Set when the store answers again after an outage or has been restored from an older copy:
    /// this node's seed may have expired or been lost.
    store_recovered: Cell<bool>,
    /// Whether the store answers this node.
    store_health: failover::StoreHealth,
    /// When the routing table was last known to be the newest.
    currency: RefCell<currency::Duty>,
    /// The documents of operators in the store.
    sources: Vec<Rc<watch::Source>>,
}

struct State {
    table: Table,
    bootstrap: Bootstrap,
    failover: Failover,
    register: Register,
    routes: route::Register,
    quarantine: Quarantine,
    evacuations: evacuation::Register,
    /// When a peer last answered an exchange of this node.
    last_contact_at: Option<Instant>,
    /// Number of exchanges in which the table digests differed, minus those in which they were
    /// equal; at least zero.
    digest_mismatches: u32,
    /// Lease of this node's seed in the store, if it has written one.
    seed_lease: Option<i64>,
    /// Role in reading the store that was last logged.
    role: Role,
}

/// Runs all control tasks until the node ends, then announces its departure to peers and removes
/// its seed from the store.
pub async fn run(context: Arc<Context>, listener: TcpListener, events: mpsc::Receiver<Event>) {
    let control = Rc::new(Control::new(context));
    let local = LocalSet::new();
    local
        .run_until(async {
            control.publish();
            suspects::update_isolation(&control, Instant::now());
            tokio::task::spawn_local(peer::serve(Rc::clone(&control), listener));
            tokio::task::spawn_local(exchange::join(Rc::clone(&control)));
            tokio::task::spawn_local(exchange::rounds(Rc::clone(&control)));
            tokio::task::spawn_local(exchange::pushes(Rc::clone(&control)));
            tokio::task::spawn_local(holder::run(Rc::clone(&control)));
            tokio::task::spawn_local(failover::run(Rc::clone(&control)));
            for source in &control.sources {
                let source = Rc::clone(source);
                tokio::task::spawn_local(watch::follow(Rc::clone(&control), source));
            }
            tokio::task::spawn_local(follow_upstream(Rc::clone(&control)));
            tokio::task::spawn_local(suspects::receive(Rc::clone(&control), events));
            tokio::task::spawn_local(persistence::run(Rc::clone(&control)));
            tokio::task::spawn_local(epochs::follow(Rc::clone(&control)));
            control.until_ending().await;
            control.state.borrow_mut().table.leave();
            exchange::push(&control).await;
            holder::remove_seed(&control).await;
        })
        .await;
}

/// Sends the changes of the upstream reported by the guard to peers.
async fn follow_upstream(control: Rc<Control>) {
    let mut upstream = control.context.latest.upstream.subscribe();
    loop {
        let current = upstream.borrow_and_update().clone();
        let changed = control.state.borrow_mut().table.set_upstream(current);
        if changed {
            control.publish();
            control.updates_due.notify_one();
        }
        if upstream.changed().await.is_err() {
            return;
        }
    }
}

impl State {
    /// Returns the versions of the documents in force on this node.
    fn versions(&self) -> Versions {
        Versions {
            preset: self.register.current().revision,
            routes: self.routes.version(),
        }
    }
}

impl Control {
    fn new(context: Arc<Context>) -> Self {
        let settings = &context.settings;
        let peers_public = settings.listeners.peers_public;
        let own = Record {
            host: Arc::clone(&settings.host),
            availability_zone: Arc::clone(&settings.availability_zone),
            peer_address: peers_public.unwrap_or(context.addresses.peers),
            control_address: context.addresses.control,
            operators_address: context.addresses.operators,
            version: Version {
                incarnation: context.incarnation,
                change: 0,
            },
            state: membership::State::Alive,
            upstream: None,
            packs: true,
        };
        let settled_at = Instant::now() + settings.bootstrap.settled_after;
        let seed = bootstrap::seed(context.host(), context.incarnation);
        let bootstrap = Bootstrap::new(
            settings.bootstrap.clone(),
            settings.control.isolated_after,
            Instant::now(),
            contacts(&context),
            seed,
        );
        Self {
            store: Client::with_dialect(
                settings.store.address,
                settings.store.timeout,
                context.adapter.store,
            )
            .with_epochs(context.epochs.clone()),
            state: RefCell::new(State {
                table: Table::new(settings.membership.clone(), own, seed),
                bootstrap,
                failover: Failover::new(settings.failover.clone(), settled_at),
                register: Register::default(),
                routes: route::Register::default(),
                quarantine: Quarantine::new(settings.quarantine.clone(), seed),
                evacuations: evacuation::Register::default(),
                last_contact_at: None,
                digest_mismatches: 0,
                seed_lease: None,
                role: Role::default(),
            }),
            updates_due: Notify::new(),
            quarantine_changed: Notify::new(),
            quarantine_loaded: Cell::new(false),
            store_recovered: Cell::new(false),
            store_health: failover::StoreHealth::default(),
            currency: RefCell::new(currency::Duty::new(settings.accounts.revoked_within)),
            sources: watch::sources(&context.settings.routes),
            context,
        }
    }

    async fn until_ending(&self) {
        let mut stage = self.context.latest.stage.subscribe();
        let ended = stage.wait_for(|stage| *stage == Stage::Ending).await;
        drop(ended);
    }

    /// Publishes the members, the preset in force and the evacuated zones to the other threads.
    fn publish(&self) {
        let state = self.state.borrow();
        let view = View {
            members: state.table.present().cloned().collect(),
            in_force: Arc::clone(state.register.current()),
            holder: state.table.is_designated_reader(),
            evacuated: state.evacuations.evacuated().cloned().collect(),
            left: state.table.left().cloned().collect(),
        };
        drop(state);
        self.context
            .metrics
            .view(view.members.len(), view.in_force.revision.0);
        self.context.latest.view.send_replace(Arc::new(view));
    }

    /// Puts a preset from a peer or the store in force if it is newer than the current one.
    fn offer(&self, document: InForce) {
        let by = Arc::clone(&document.changed_by);
        let revision = document.revision.0;
        let offered = self.state.borrow_mut().register.offer(document);
        match offered {
            Offered::Accepted => {
                log::info!(revision = revision, by = &*by; "preset in force");
                self.publish();
                self.updates_due.notify_one();
            }
            Offered::Same | Offered::Older => {}
            Offered::Conflict => {
                self.context.metrics.bad_input("preset-conflict");
                log::warn!(
                    revision = revision,
                    by = &*by;
                    "two different presets have the same revision"
                );
            }
            Offered::Invalid => {
                self.context.metrics.bad_input("preset");
                log::warn!(
                    revision = revision,
                    by = &*by;
                    "preset rejected: a value is out of range"
                );
            }
        }
    }

    /// Puts a routing table from a peer or the store in force if it is newer than the current one.
    /// A document that does not parse leaves the current one in force.
    fn offer_routes(&self, delivery: Delivery, source: &[u8], packed: Option<Arc<[u8]>>) {
        let from = delivery.sender();
        let table = match (self.context.adapter.routes)(source) {
            Ok(table) => table,
            Err(error) => {
                self.context.metrics.bad_input("routes");
                log::warn!(from = from, error:% = error; "failed to parse the routing table");
                return;
            }
        };
        let version = table.version;
        if !self.state.borrow().routes.is_older_than(version) {
            return;
        }
        let packed = match packed.map_or_else(|| packed::pack(source), Ok) {
            Ok(packed) => packed,
            Err(error) => {
                log::error!(error:% = error; "failed to compress the routing table");
                return;
            }
        };
        let document = Document { table, packed };
        let mut state = self.state.borrow_mut();
        state.routes.offer(document);
        let current = state.routes.current().cloned();
        drop(state);
        log::info!(
            from = from,
            by = delivery.as_str(),
            version = version.0;
            "routing table in force"
        );
        self.context.metrics.routes_version(version.0);
        self.log_faults(current.as_deref());
        self.log_account_faults(current.as_deref());
        log::debug!(document:? = current; "contents of the routing table");
        self.context.latest.routes.send_replace(current);
        self.updates_due.notify_one();
    }

    /// Logs the faults of a routing table; called once per version.
    fn log_faults(&self, current: Option<&Document>) {
        let faults = current.map_or(&[][..], |document| document.table.faults.as_slice());
        for _ in faults {
            self.context.metrics.bad_input("route");
        }
        for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
            log::warn!(
                route = &*fault.route,
                cause = &*fault.cause,
                faults = faults.len();
                "failed to parse part of a route"
            );
        }
    }

    /// Logs the client accounts and keys of a routing table that were left out; called once per
    /// version. A fault contains no value of the table, since that may be a key.
    fn log_account_faults(&self, current: Option<&Document>) {
        let faults = current.map_or(&[][..], |document| document.table.accounts.faults());
        for _ in faults {
            self.context.metrics.bad_input("account");
        }
        for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
            log::warn!(
                client_account = &*fault.account,
                cause = fault.cause,
                faults = faults.len();
                "part of the client accounts left out"
            );
        }
    }

    /// Merges membership records; returns whether any of them changed the table.
    fn merge(&self, now: Instant, records: Vec<Record>) -> bool {
        let mut state = self.state.borrow_mut();
        let mut changed = false;
        for record in records {
            changed |= state.table.merge(now, record);
        }
        drop(state);
        if changed {
            self.publish();
        }
        changed
    }

    /// Publishes when the store was last known to hold nothing newer than the documents in force.
    fn publish_verified(&self) {
        let Some(verified_at) = self.state.borrow().failover.verified_at() else {
            return;
        };
        self.context.latest.verified.send_if_modified(|published| {
            let is_newer = *published < verified_at;
            *published = verified_at.max(*published);
            is_newer
        });
    }

    /// Records that a peer or the store answered a request sent at `requested_at`. After a pause of
    /// the process the guard accepts no requests until such a refresh or a timeout.
    fn mark_refreshed(&self, requested_at: Instant) {
        self.context.latest.refreshed.send_replace(requested_at);
    }

    /// Returns the state on which this node's use of the store depends.
    fn snapshot(&self) -> Snapshot {
        let state = self.state.borrow();
        let needs_routes = self.context.settings.routes.key.is_some();
        Snapshot {
            last_contact_at: state.last_contact_at,
            has_peers: state.table.has_peers(),
            has_routes: !needs_routes || state.routes.current().is_some(),
            is_designated_reader: state.table.is_designated_reader(),
        }
    }

    /// Returns whether other nodes may have requests in quarantine that this node does not know of.
    fn may_lack_quarantine(&self, now: Instant) -> bool {
        let snapshot = self.snapshot();
        let state = self.state.borrow();
        let sources = QuarantineSources {
            list_read: self.quarantine_loaded.get(),
            peer_known: state.last_contact_at.is_some() || state.table.others().next().is_some(),
        };
        let bootstrap = &state.bootstrap;
        bootstrap.may_lack_quarantine(now, snapshot, sources)
    }

    /// Returns this node's role in reading the store.
    fn role(&self, now: Instant, snapshot: Snapshot) -> Role {
        let role = self.state.borrow().bootstrap.role(now, snapshot);
        if role == Role::Member && self.store_health.acts_as_reader() {
            Role::ActingReader
        } else {
            role
        }
    }

    /// Returns whether this node follows documents in the store itself.
    fn follows_store(&self, now: Instant) -> bool {
        self.role(now, self.snapshot()) != Role::Member
    }

    /// Logs this node's role in reading the store if it has changed.
    fn log_role(&self, now: Instant, snapshot: Snapshot) {
        let role = self.role(now, snapshot);
        let before = std::mem::replace(&mut self.state.borrow_mut().role, role);
        if role == before {
            return;
        }
        let age = |at: Option<Instant>| at.map(|at| millis(now.saturating_duration_since(at)));
        self.context.metrics.reads_store(role != Role::Member);
        log::info!(
            role = role.as_str(),
            before = before.as_str(),
            peer_heard_ms:? = age(snapshot.last_contact_at),
            store_answered_ms:? = age(self.store_health.answered_at());
            "role in reading the store changed"
        );
    }
}

/// Returns which kind of hosts the settings name for joining the fleet.
fn contacts(context: &Context) -> Contacts {
    let own = context.addresses.control;
    let addresses = exchange::contact_addresses(&context.settings);
    if addresses.is_empty() {
        Contacts::None
    } else if addresses.contains(&own) {
        Contacts::IncludesOwn
    } else {
        Contacts::Others
    }
}
