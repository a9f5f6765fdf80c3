//! Readers of the store tell their zone that it answers them; others take their place when
//! none does.

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

/// What reports of readers count as in the metrics.
const KIND: &str = "reader-report";

/// What a node knows of the store's answers to itself.
#[derive(Default)]
pub struct Reach {
    /// When the last call was made that the store answered.
    answered_at: Cell<Option<Instant>>,
    /// Documents whose last read or watch failed are read again and again: no check is needed.
    failing: Cell<bool>,
    /// A check was not answered since the last one that was.
    missed: Cell<bool>,
    /// This node takes the place of its zone's readers.
    acts_as_reader: Cell<bool>,
    /// An exchange is under way with a peer that has something newer in force.
    catching_up: Cell<bool>,
    /// Whether the node follows the store may have changed.
    changed: Notify,
    /// The store answers again; a watch from before may be deaf.
    back: Notify,
}

impl Reach {
    /// A call made at `asked_at` was answered.
    pub fn answered(&self, asked_at: Instant) {
        self.answered_at
            .set(self.answered_at.get().max(Some(asked_at)));
        self.failing.set(false);
        if self.missed.replace(false) {
            log::info!("the store answers again");
            self.back.notify_waiters();
        }
    }

    /// A read or watch of a document failed.
    pub fn failed(&self) {
        self.failing.set(true);
    }

    /// When the last call was made that the store answered.
    pub fn answered_at(&self) -> Option<Instant> {
        self.answered_at.get()
    }

    /// Whether this node takes the place of its zone's readers, and the store answers it.
    pub fn acts_as_reader(&self) -> bool {
        self.acts_as_reader.get() && !self.missed.get()
    }

    /// Waits until whether the node follows the store may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the store answers again after a check that it did not answer.
    pub async fn back(&self) {
        self.back.notified().await;
    }
}

/// A reader's report, as a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Report {
    host: Arc<str>,
    /// How long ago the call was made that the store answered last, in milliseconds.
    age_millis: u64,
    preset: Revision,
    routes: Version,
}

/// Sends and takes reports until the thread ends, at the address of exchanges.
pub async fn listen(control: Rc<Control>) {
    let address = control.context.addresses.control;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::error!(address:% = address, error:% = error; "readers of the store are not heard");
            return;
        }
    };
    tokio::task::spawn_local(receive(Rc::clone(&control), Rc::clone(&socket)));
    check(&control, &socket).await;
}

async fn receive(control: Rc<Control>, socket: Rc<UdpSocket>) {
    let metrics = &control.context.metrics;
    datagram::receive(&socket, metrics, KIND, |report| apply(&control, &report)).await;
}

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
    let ahead = state.table.precedes_own(&report.host);
    let age = Duration::from_millis(report.age_millis);
    if let Some(answered_at) = now.checked_sub(age) {
        state.failover.record_report(answered_at, ahead);
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

/// Has one exchange with the node at this address, which has something newer in force.
fn catch_up(control: &Rc<Control>, address: SocketAddr) {
    if control.reach.catching_up.replace(true) {
        return;
    }
    let control = Rc::clone(control);
    tokio::task::spawn_local(async move {
        if let Err(error) = exchange::with(&control, address).await {
            log::debug!(peer:% = address, error:% = error; "newer documents not taken");
        }
        control.reach.catching_up.set(false);
    });
}

/// Checks that the store answers this node, while it reads documents there, and reports it.
async fn check(control: &Rc<Control>, socket: &UdpSocket) {
    let every = control.context.settings.failover.check_every;
    loop {
        let now = Instant::now();
        let turn_at = if reads_store(control, now) {
            if is_check_due(control, now) {
                ask_store(control).await;
            }
            send(control, socket).await;
            None
        } else {
            turn_at(control)
        };
        let next_at = turn_at.map_or(now + every, |turn_at| turn_at.min(now + every));
        tokio::time::sleep_until(next_at.into()).await;
    }
}

/// Whether this node reads documents in the store, or is to, in place of its zone's readers.
fn reads_store(control: &Control, now: Instant) -> bool {
    let snapshot = control.snapshot();
    let mut state = control.state.borrow_mut();
    let follows = state.bootstrap.follows_store(now, snapshot);
    let position = state.table.successor_position();
    let acts_as_reader = !follows && state.failover.acts_as_reader(now, position);
    if acts_as_reader && !control.reach.acts_as_reader.get() {
        // Nothing is read in full before the store has answered a check.
        control.reach.missed.set(true);
    }
    control.reach.acts_as_reader.set(acts_as_reader);
    follows || acts_as_reader
}

/// When this node's turn comes to take the place of its zone's readers.
fn turn_at(control: &Control) -> Option<Instant> {
    let state = control.state.borrow();
    state.failover.takeover_at(state.table.successor_position())
}

/// Whether the store is to be asked: nothing else has shown lately that it answers, nor fails.
fn is_check_due(control: &Control, now: Instant) -> bool {
    let reach = &control.reach;
    let every = control.context.settings.failover.check_every;
    let is_recent = reach.answered_at.get().is_some_and(|at| now < at + every);
    let is_read_again = reach.failing.get() && !reach.acts_as_reader.get();
    !is_recent && !is_read_again
}

/// Asks the store for something short, by a read that may lag, which costs it little.
async fn ask_store(control: &Control) {
    let reach = &control.reach;
    let key = keys::seed(control.context.host());
    control.context.metrics.store_call("check-may-lag");
    let asked_at = Instant::now();
    match control.store.list(&key, Freshness::MayLag).await {
        Ok(_) => reach.answered(asked_at),
        Err(error) => missed(control, &error),
    }
    reach.changed.notify_waiters();
}

fn missed(control: &Control, error: &Error) {
    if control.reach.missed.replace(true) {
        return;
    }
    let answered_at = control.reach.answered_at();
    let age = answered_at.map(|at| millis(at.elapsed()));
    log::warn!(store_answered_ms:? = age, error:% = error; "the store does not answer a check");
}

/// How long ago the call was made that the store answered last, if it answers still.
fn answered_ago(control: &Control) -> Option<Duration> {
    let reach = &control.reach;
    let doubted_after = control.context.settings.failover.doubted_after;
    let ago = reach.answered_at()?.elapsed();
    let answers = !reach.missed.get() && !reach.failing.get();
    (answers && ago < doubted_after).then_some(ago)
}

/// Tells the zone that the store answers this node, if it does.
async fn send(control: &Control, socket: &UdpSocket) {
    let Some(ago) = answered_ago(control) else {
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
        age_millis: millis(ago),
        preset: versions.preset,
        routes: versions.routes,
    };
    datagram::send(socket, &control.context.metrics, KIND, &report, &zone).await;
}
