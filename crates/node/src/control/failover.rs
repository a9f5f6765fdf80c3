//! Reports of the store's readers to their zone, and takeover by other nodes when the reports stop.
//!
//! A reader polls the store for changes at intervals and reports that it has all of them. When no
//! such report of a zone's readers counts for a node, it may act as a reader in their place.
//!
//! Failure: readers report that the store answers them. Symptom: a store that answers some of their
//! calls, but neither their watches nor their reads, keeps them in office, and a change comes into
//! force nowhere. A report therefore rests on a call that returns every acknowledged change.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::failover::{Proof, Versions};
use mintridge_core::preset::Revision;
use mintridge_core::route::Version;
use mintridge_store::client::Error;
use mintridge_store::keys;
use mintridge_store::operation::Freshness;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::{Control, currency, exchange, watch};
use crate::request_log::millis;
use crate::{clock, datagram};

/// Kind of the report datagrams in the metrics.
const KIND: &str = "reader-report";

/// Interval at which a node checks whether its role has changed.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Whether the store answers this node, and whether the node therefore acts as a reader.
#[derive(Default)]
pub struct StoreHealth {
    /// When the latest call that the store answered was sent.
    answered_at: Cell<Option<Instant>>,
    /// Whether a check has failed since the last answer.
    check_failed: Cell<bool>,
    /// Whether this node acts in place of its zone's readers.
    acts_as_reader: Cell<bool>,
    /// Whether an exchange with a peer that has a newer document is in progress.
    catching_up: Cell<bool>,
    /// Notified when the node may have started or stopped following the store.
    role_changed: Notify,
    /// Notified when a document has been read, so that a check may be possible.
    document_read: Notify,
    /// Notified when a report is to be sent.
    report_due: Notify,
    /// Notified when the store answers again after a failed check; a watch opened earlier may have
    /// missed changes.
    recovered: Notify,
}

impl StoreHealth {
    /// Records that the store answered a call sent at `requested_at`.
    pub fn record_answer(&self, requested_at: Instant) {
        self.answered_at
            .set(self.answered_at.get().max(Some(requested_at)));
        if self.check_failed.replace(false) {
            log::info!("store answers again");
            self.recovered.notify_waiters();
        }
    }

    /// Records that a document has been read.
    pub fn record_read(&self) {
        self.document_read.notify_one();
    }

    /// Returns when the latest call that the store answered was sent.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at.get()
    }

    /// Returns whether this node acts in place of its zone's readers and the store answers it.
    pub fn acts_as_reader(&self) -> bool {
        self.acts_as_reader.get() && !self.check_failed.get()
    }

    /// Returns whether the node has begun to act as a reader and the store has not answered it yet.
    fn is_untested(&self) -> bool {
        self.acts_as_reader.get() && self.check_failed.get()
    }

    /// Waits until the node may have started or stopped following the store.
    pub async fn role_changed(&self) {
        self.role_changed.notified().await;
    }

    /// Waits until the store answers again after a failed check.
    pub async fn recovered(&self) {
        self.recovered.notified().await;
    }
}

/// Datagram in which a reader reports that it has all changes that the store had acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    host: Arc<str>,
    /// Time since the call to the store was sent that proved it, in milliseconds.
    age_millis: u64,
    preset: Revision,
    routes: Version,
}

/// Any datagram to the address of control. The kinds differ in their fields.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Message {
    Answer(currency::AnswerDatagram),
    Query(currency::QueryDatagram),
    Report(Report),
}

/// Sends and receives reports until the thread ends. They are UDP datagrams between the addresses
/// that the nodes use for exchanges over TCP.
pub async fn run(control: Rc<Control>) {
    let address = control.context.addresses.control;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::error!(
                address:% = address, error:% = error;
                "failed to bind the socket for reports of the store's readers"
            );
            return;
        }
    };
    tokio::task::spawn_local(receive(Rc::clone(&control), Rc::clone(&socket)));
    tokio::task::spawn_local(currency::run(Rc::clone(&control), Rc::clone(&socket)));
    run_checks(&control, &socket).await;
}

async fn receive(control: Rc<Control>, socket: Rc<UdpSocket>) {
    let metrics = &control.context.metrics;
    datagram::receive(&socket, metrics, KIND, |message| match message {
        Message::Answer(answer) => currency::apply_answer(&control, &answer),
        Message::Query(query) => currency::answer(&control, &socket, &query),
        Message::Report(report) => apply(&control, &report),
    })
    .await;
}

/// Records a report of a node in this zone, and fetches newer documents that the report mentions.
fn apply(control: &Rc<Control>, report: &Report) {
    let now = Instant::now();
    let mut state = control.state.borrow_mut();
    let sender = state
        .table
        .zone_peers()
        .find(|record| record.host == report.host);
    let Some(address) = sender.map(|record| record.control_address) else {
        return;
    };
    let precedes_own = state.table.precedes_own(&report.host);
    let age = Duration::from_millis(report.age_millis);
    let theirs = Versions {
        preset: report.preset,
        routes: report.routes,
    };
    let own = state.versions();
    if let Some(at) = now.checked_sub(age) {
        let proof = Proof {
            versions: theirs,
            at,
        };
        let counts = state.failover.record_report(now, own, proof, precedes_own);
        if counts && precedes_own && state.table.is_designated_reader() {
            // The second reader repeats the proof, in case the first one's datagram was lost.
            control.store_health.report_due.notify_one();
        }
    }
    let is_behind = own.is_behind(&theirs);
    drop(state);
    control.publish_verified();
    if is_behind {
        catch_up(control, address);
    }
}

/// Starts an exchange with the node at this address, which has a newer document in force.
pub fn catch_up(control: &Rc<Control>, address: SocketAddr) {
    if control.store_health.catching_up.replace(true) {
        return;
    }
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        let before = control.state.borrow().versions();
        let result = exchange::perform(&control, address).await;
        let now = control.state.borrow().versions();
        let outcome = match &result {
            Ok(()) if before.is_behind(&now) => "fetched",
            Ok(()) => "unchanged",
            Err(error) => {
                log::info!(
                    peer:% = address,
                    routes_version = now.routes.0,
                    error:% = error;
                    "failed to fetch newer documents"
                );
                "failed"
            }
        };
        control.context.metrics.catch_up(outcome);
        control.store_health.catching_up.set(false);
    });
}

/// Verifies at intervals, while this node reads the store, that it has all changes there, and reports
/// so to the zone.
async fn run_checks(control: &Rc<Control>, socket: &UdpSocket) {
    let mut repeat_at: Option<Instant> = None;
    loop {
        let now = Instant::now();
        if repeat_at.is_some_and(|at| now >= at) {
            repeat_at = None;
            send_report(control, socket).await;
        }
        let mut next_at = now + ROLE_POLL_INTERVAL;
        let reads = update_role(control, now);
        control.publish_verified();
        let verified_at = *control.context.latest.verified.borrow();
        let age = now.saturating_duration_since(verified_at);
        control.context.metrics.verified_age(age);
        if !reads {
            next_at = takeover_at(control).map_or(next_at, |at| at.min(next_at));
        } else if control.store_health.is_untested() || watch::can_poll(control) {
            let check_at = check_at(control, now);
            if now >= check_at {
                check(control).await;
                continue;
            }
            next_at = next_at.min(check_at);
        }
        next_at = repeat_at.map_or(next_at, |at| at.min(next_at));
        tokio::select! {
            () = tokio::time::sleep_until(next_at.into()) => {}
            () = control.store_health.document_read.notified() => {}
            () = control.store_health.report_due.notified() => {
                send_report(control, socket).await;
                let settings = &control.context.settings.failover;
                repeat_at = Some(Instant::now() + settings.report_repeated_after);
            }
        }
    }
}

/// Updates whether this node acts as a reader; returns whether it reads documents in the store, for
/// a reason of its own or in place of its zone's readers.
fn update_role(control: &Control, now: Instant) -> bool {
    let snapshot = control.snapshot();
    let mut state = control.state.borrow_mut();
    let follows = state.bootstrap.follows_store(now, snapshot);
    let (own, position) = (state.versions(), state.table.successor_position());
    state.failover.update(own);
    let acts_as_reader = !follows && state.failover.acts_as_reader(now, position);
    if acts_as_reader && !control.store_health.acts_as_reader.get() {
        // The store has to answer a check before any document is read.
        control.store_health.check_failed.set(true);
    }
    control.store_health.acts_as_reader.set(acts_as_reader);
    follows || acts_as_reader
}

/// Returns when this node takes over from its zone's readers if no report arrives.
fn takeover_at(control: &Control) -> Option<Instant> {
    let state = control.state.borrow();
    state.failover.takeover_at(state.table.successor_position())
}

/// Returns when the next check is due.
fn check_at(control: &Control, now: Instant) -> Instant {
    let state = control.state.borrow();
    let is_reader = state.table.is_designated_reader();
    let rank = if is_reader {
        state.table.zone_rank()
    } else {
        0
    };
    state.failover.check_at(now, rank)
}

/// Checks the store, and has a report sent to the zone if this node has all changes there.
async fn check(control: &Rc<Control>) {
    let health = &control.store_health;
    let queried = clock::start();
    let requested_at = queried.at;
    let result = if health.is_untested() {
        read_stale(control).await.map(|()| false)
    } else {
        watch::poll(control).await
    };
    match result {
        Ok(is_current) => {
            health.record_answer(requested_at);
            if is_current {
                control.mark_refreshed(requested_at);
                control
                    .state
                    .borrow_mut()
                    .failover
                    .record_check(requested_at);
                control.publish_verified();
                currency::record_query(control, queried);
                health.report_due.notify_one();
            }
        }
        Err(error) => {
            let now = Instant::now();
            control.state.borrow_mut().failover.record_failed_check(now);
            record_failed_check(control, &error);
        }
    }
    health.role_changed.notify_waiters();
}

/// Tests whether the store answers, with a small and possibly stale read, which costs it little.
async fn read_stale(control: &Control) -> Result<(), Error> {
    let key = keys::seed(control.context.host());
    control.context.metrics.store_call("check-may-lag");
    control.store.list(&key, Freshness::MayLag).await?;
    Ok(())
}

fn record_failed_check(control: &Control, error: &Error) {
    if control.store_health.check_failed.replace(true) {
        return;
    }
    let answered_at = control.store_health.answered_at();
    let age = answered_at.map(|at| millis(at.elapsed()));
    log::warn!(store_answered_ms:? = age, error:% = error; "store does not answer a check");
}

/// Reports to the zone when this node was last known to have all changes in the store.
async fn send_report(control: &Control, socket: &UdpSocket) {
    let (verified_at, versions, zone) = {
        let state = control.state.borrow();
        let Some(verified_at) = state.failover.verified_at() else {
            return;
        };
        let present = state
            .table
            .zone_peers()
            .filter(|record| record.is_present());
        let zone: Vec<SocketAddr> = present.map(|record| record.control_address).collect();
        (verified_at, state.versions(), zone)
    };
    let report = Report {
        host: Arc::clone(control.context.host()),
        age_millis: millis(verified_at.elapsed()),
        preset: versions.preset,
        routes: versions.routes,
    };
    datagram::send(socket, &control.context.metrics, KIND, &report, &zone).await;
}
