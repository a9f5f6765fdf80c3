//! Reports of the store's readers to their zone, and takeover by other nodes when the reports stop.
//!
//! A reader sends reports as long as the store answers it. When no reader of a zone sends any,
//! other nodes of the zone act as readers in their place.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::preset::Revision;
use mintridge_core::route::Version;
use mintridge_store::client::Error;
use mintridge_store::keys;
use mintridge_store::operation::Freshness;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::{Control, codec, exchange};
use crate::datagram;
use crate::request_log::millis;

/// Kind of the report datagrams in the metrics.
const KIND: &str = "reader-report";

/// Whether the store answers this node, and whether the node therefore acts as a reader.
#[derive(Default)]
pub struct StoreHealth {
    /// When the latest call that the store answered was sent.
    answered_at: Cell<Option<Instant>>,
    /// Whether the last read or watch of a document failed. Such reads are retried anyway, so no
    /// check is needed.
    reads_fail: Cell<bool>,
    /// Whether a check has failed since the last answer.
    check_failed: Cell<bool>,
    /// Whether this node acts in place of its zone's readers.
    acts_as_reader: Cell<bool>,
    /// Whether an exchange with a peer that has a newer document is in progress.
    catching_up: Cell<bool>,
    /// Notified when the node may have started or stopped following the store.
    role_changed: Notify,
    /// Notified when the store answers again after a failed check; a watch opened earlier may have
    /// missed changes.
    recovered: Notify,
}

impl StoreHealth {
    /// Records that the store answered a call sent at `requested_at`.
    pub fn record_answer(&self, requested_at: Instant) {
        self.answered_at
            .set(self.answered_at.get().max(Some(requested_at)));
        self.reads_fail.set(false);
        if self.check_failed.replace(false) {
            log::info!("store answers again");
            self.recovered.notify_waiters();
        }
    }

    /// Records that a read or watch of a document failed.
    pub fn record_read_failure(&self) {
        self.reads_fail.set(true);
    }

    /// Returns when the latest call that the store answered was sent.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at.get()
    }

    /// Returns whether this node acts in place of its zone's readers and the store answers it.
    pub fn acts_as_reader(&self) -> bool {
        self.acts_as_reader.get() && !self.check_failed.get()
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

/// Datagram in which a reader reports that the store answers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    host: Arc<str>,
    /// Time since the latest call that the store answered was sent, in milliseconds.
    age_millis: u64,
    preset: Revision,
    routes: Version,
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
    run_checks(&control, &socket).await;
}

async fn receive(control: Rc<Control>, socket: Rc<UdpSocket>) {
    let metrics = &control.context.metrics;
    datagram::receive(&socket, metrics, KIND, |report| apply(&control, &report)).await;
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
    if let Some(answered_at) = now.checked_sub(age) {
        state.failover.record_report(answered_at, precedes_own);
    }
    let theirs = codec::Versions {
        preset: report.preset,
        routes: report.routes,
    };
    let is_behind = state.versions().is_behind(&theirs);
    drop(state);
    if is_behind {
        catch_up(control, address);
    }
}

/// Starts an exchange with the node at this address, which has a newer document in force.
fn catch_up(control: &Rc<Control>, address: SocketAddr) {
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

/// Checks regularly that the store answers this node while it reads documents there, and reports
/// the result to the zone.
async fn run_checks(control: &Rc<Control>, socket: &UdpSocket) {
    let interval = control.context.settings.failover.check_every;
    loop {
        let now = Instant::now();
        let takeover_at = if update_role(control, now) {
            if is_check_due(control, now) {
                check_store(control).await;
            }
            send_report(control, socket).await;
            None
        } else {
            takeover_at(control)
        };
        let next_at = takeover_at.map_or(now + interval, |at| at.min(now + interval));
        tokio::time::sleep_until(next_at.into()).await;
    }
}

/// Updates whether this node acts as a reader; returns whether it reads documents in the store, for
/// a reason of its own or in place of its zone's readers.
fn update_role(control: &Control, now: Instant) -> bool {
    let snapshot = control.snapshot();
    let mut state = control.state.borrow_mut();
    let follows = state.bootstrap.follows_store(now, snapshot);
    let position = state.table.successor_position();
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

/// Returns whether to check the store: no other call has recently shown whether it answers.
fn is_check_due(control: &Control, now: Instant) -> bool {
    let health = &control.store_health;
    let interval = control.context.settings.failover.check_every;
    let answered_recently = health
        .answered_at
        .get()
        .is_some_and(|at| now < at + interval);
    let is_retrying = health.reads_fail.get() && !health.acts_as_reader.get();
    !answered_recently && !is_retrying
}

/// Checks that the store answers, with a small and possibly stale read, which costs it little.
async fn check_store(control: &Control) {
    let health = &control.store_health;
    let key = keys::seed(control.context.host());
    control.context.metrics.store_call("check-may-lag");
    let requested_at = Instant::now();
    match control.store.list(&key, Freshness::MayLag).await {
        Ok(_) => health.record_answer(requested_at),
        Err(error) => record_failed_check(control, &error),
    }
    health.role_changed.notify_waiters();
}

fn record_failed_check(control: &Control, error: &Error) {
    if control.store_health.check_failed.replace(true) {
        return;
    }
    let answered_at = control.store_health.answered_at();
    let age = answered_at.map(|at| millis(at.elapsed()));
    log::warn!(store_answered_ms:? = age, error:% = error; "store does not answer a check");
}

/// Returns the time since the latest call that the store answered was sent, or `None` if the store
/// no longer answers.
fn answer_age(control: &Control) -> Option<Duration> {
    let health = &control.store_health;
    let doubted_after = control.context.settings.failover.doubted_after;
    let age = health.answered_at()?.elapsed();
    let answers = !health.check_failed.get() && !health.reads_fail.get();
    (answers && age < doubted_after).then_some(age)
}

/// Reports to the zone that the store answers this node, if it does.
async fn send_report(control: &Control, socket: &UdpSocket) {
    let Some(age) = answer_age(control) else {
        return;
    };
    let (versions, zone) = {
        let state = control.state.borrow();
        let present = state
            .table
            .zone_peers()
            .filter(|record| record.is_present());
        let zone: Vec<SocketAddr> = present.map(|record| record.control_address).collect();
        (state.versions(), zone)
    };
    let report = Report {
        host: Arc::clone(control.context.host()),
        age_millis: millis(age),
        preset: versions.preset,
        routes: versions.routes,
    };
    datagram::send(socket, &control.context.metrics, KIND, &report, &zone).await;
}
