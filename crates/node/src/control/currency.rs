//! Questions between nodes about when the routing table was last known to be the newest, on which
//! the use of keys depends ([`mintridge_core::account::currency`]).
//!
//! Queries and answers are datagrams between the addresses of control. No answer is sent by a node
//! that has no proof itself; the asking node then asks another.

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::account::currency::{
    Answer, Currency, Heard, Moment, Peers, Question, Step, is_recent,
};
use mintridge_core::membership::Record;
use mintridge_core::route::Version;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::{Control, failover, watch};
use crate::request_log::millis;
use crate::{clock, datagram};

/// Kinds of the datagrams in the metrics.
const QUERY: &str = "currency-query";
const ANSWER: &str = "currency-answer";

/// Datagram in which a node asks another for its proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryDatagram {
    query: u64,
    /// Host of the asking node.
    host: Arc<str>,
}

/// Datagram in which a node states the age of its proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerDatagram {
    /// Number of the query.
    answers: u64,
    /// Time since the call to the store was sent that proved it, in milliseconds.
    age_millis: u64,
    /// Version of the routing table in force on the answering node.
    routes: Version,
}

/// State of the duty.
pub struct Duty {
    /// The decisions; `None` if the settings set no bound for revocations.
    currency: Option<Currency>,
    /// Whether keys may be used, as last logged.
    is_usable: bool,
    /// Whether the latest query of the store failed; logged when it becomes true.
    is_store_failing: bool,
}

impl Duty {
    /// Creates the state of a node that starts.
    pub fn new(revoked_within: Option<Duration>) -> Self {
        // Unlike the incarnation, this differs between two starts also if the clock is set back.
        let seed = RandomState::new().hash_one(());
        Self {
            currency: revoked_within.map(|bound| Currency::new(bound, seed)),
            is_usable: false,
            is_store_failing: false,
        }
    }
}

/// Nodes to ask, with their addresses.
struct Candidates {
    hosts: Vec<Arc<str>>,
    addresses: Vec<SocketAddr>,
    readers: usize,
    own_rank: usize,
}

impl Candidates {
    fn new(control: &Control) -> Self {
        let state = control.state.borrow();
        let records: Vec<&Record> = state.table.reader_candidates();
        Self {
            hosts: records.iter().map(|r| Arc::clone(&r.host)).collect(),
            addresses: records.iter().map(|r| r.control_address).collect(),
            readers: state.table.other_designated_readers(),
            own_rank: state.table.zone_rank(),
        }
    }

    fn peers(&self) -> Peers<'_> {
        Peers {
            hosts: &self.hosts,
            readers: self.readers,
            own_rank: self.own_rank,
        }
    }

    fn address(&self, host: &str) -> Option<SocketAddr> {
        let index = self.hosts.iter().position(|known| &**known == host)?;
        self.addresses.get(index).copied()
    }
}

/// Keeps the proof recent until the thread ends, if the settings set a bound for revocations.
pub async fn run(control: Rc<Control>, socket: Rc<UdpSocket>) {
    let settings = &control.context.settings;
    if settings.accounts.revoked_within.is_none() || settings.routes.key.is_none() {
        return;
    }
    let mut routes = control.context.latest.routes.subscribe();
    loop {
        if routes.borrow_and_update().is_none() {
            if routes.changed().await.is_err() {
                return;
            }
            continue;
        }
        update(&control);
        let candidates = Candidates::new(&control);
        let (step, next_at) = poll(&control, &candidates);
        if step.queries_store {
            tokio::task::spawn_local(query_store(Rc::clone(&control)));
        }
        send_questions(&control, &socket, &candidates, &step.questions).await;
        publish(&control);
        tokio::select! {
            () = tokio::time::sleep_until(next_at.into()) => {}
            _ = routes.changed() => {}
        }
    }
}

/// Records a proof by this node's own call to the store, sent at `queried`, which returned every
/// change acknowledged by then. The changes have been applied.
pub fn record_query(control: &Control, queried: Moment) {
    let own = control.state.borrow().routes.version();
    with(control, |currency| {
        currency.record_query(clock::end(), own, queried)
    });
    publish(control);
}

/// Answers a node that asks for this node's proof, if there is one that counts.
pub fn answer(control: &Rc<Control>, socket: &Rc<UdpSocket>, query: &QueryDatagram) {
    let Some(age) = with(control, |currency| currency.age(clock::end())).flatten() else {
        return;
    };
    let Some(address) = address(control, &query.host) else {
        return;
    };
    let answer = AnswerDatagram {
        answers: query.query,
        // Rounded up, since a proof must never seem younger than it is.
        age_millis: millis(age) + 1,
        routes: control.state.borrow().routes.version(),
    };
    let (control, socket) = (Rc::clone(control), Rc::clone(socket));
    tokio::task::spawn_local(async move {
        let metrics = &control.context.metrics;
        datagram::send(&socket, metrics, ANSWER, &answer, &[address]).await;
    });
}

/// Records an answer, and fetches a newer routing table that it names.
pub fn apply_answer(control: &Rc<Control>, answer: &AnswerDatagram) {
    let own = control.state.borrow().routes.version();
    let recorded = with(control, |currency| {
        let answer = Answer {
            number: answer.answers,
            version: answer.routes,
            age: Duration::from_millis(answer.age_millis),
        };
        currency.record_answer(clock::end(), own, answer)
    });
    if let Some(Heard::NewerTable(host)) = recorded
        && let Some(address) = address(control, &host)
    {
        failover::catch_up(control, address);
    }
    publish(control);
}

/// Returns the control address of another host.
fn address(control: &Control, host: &str) -> Option<SocketAddr> {
    let state = control.state.borrow();
    let mut others = state.table.others();
    let record = others.find(|record| &*record.host == host);
    record.map(|record| record.control_address)
}

fn update(control: &Control) {
    let own = control.state.borrow().routes.version();
    with(control, |currency| currency.update(clock::end(), own));
}

fn poll(control: &Control, candidates: &Candidates) -> (Step, Instant) {
    let peers = candidates.peers();
    // The questions' ages are counted from this moment.
    let now = clock::start();
    let polled = with(control, |currency| {
        let step = currency.poll(now, peers);
        (step, currency.poll_at(now, peers))
    });
    polled.unwrap_or_else(|| (Step::default(), now.at))
}

async fn send_questions(
    control: &Control,
    socket: &UdpSocket,
    candidates: &Candidates,
    questions: &[Question],
) {
    for question in questions {
        let query = QueryDatagram {
            query: question.number,
            host: Arc::clone(control.context.host()),
        };
        let addresses: Vec<SocketAddr> = candidates.address(&question.host).into_iter().collect();
        let metrics = &control.context.metrics;
        datagram::send(socket, metrics, QUERY, &query, &addresses).await;
    }
}

/// Queries the store, since no other node has given this one a recent proof.
async fn query_store(control: Rc<Control>) {
    let queried = clock::start();
    let result = watch::poll_routes(&control).await;
    let is_failing = result.is_err();
    let was_failing = std::mem::replace(
        &mut control.currency.borrow_mut().is_store_failing,
        is_failing,
    );
    if let Err(error) = result
        && !was_failing
    {
        log::info!(error:% = error; "store does not confirm the routing table");
    }
    with(&control, |currency| {
        let confirmed = currency.confirmed();
        let counted = confirmed.is_some_and(|confirmed| confirmed.at >= queried.at);
        currency.end_query(Instant::now(), counted);
    });
}

/// Publishes when the routing table was last known to be the newest, and logs when keys may no longer
/// be used and when they may be used again.
fn publish(control: &Control) {
    let Some(bound) = control.context.settings.accounts.revoked_within else {
        return;
    };
    let confirmed = with(control, |currency| currency.confirmed()).flatten();
    let latest = &control.context.latest;
    latest.confirmed.send_if_modified(|published| {
        let is_modified = *published != confirmed;
        *published = confirmed;
        is_modified
    });
    let now = clock::end();
    let age = confirmed.map(|confirmed| confirmed.age(now));
    control.context.metrics.confirmed_age(age);
    let is_usable = is_recent(bound, confirmed, now);
    let was_usable = std::mem::replace(&mut control.currency.borrow_mut().is_usable, is_usable);
    let (age, version) = (age.map(millis), control.context.routes_version());
    if was_usable && !is_usable {
        log::warn!(
            confirmed_ms:? = age, version = version;
            "routing table is no longer confirmed as the newest; requests with a key are refused"
        );
    } else if is_usable && !was_usable {
        log::info!(
            confirmed_ms:? = age, version = version;
            "routing table is confirmed as the newest; requests with a key are accepted"
        );
    }
}

fn with<T>(control: &Control, run: impl FnOnce(&mut Currency) -> T) -> Option<T> {
    control.currency.borrow_mut().currency.as_mut().map(run)
}
