//! The side of exchanges that begins: rounds, pushes of updates, and joining.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use mintridge_core::membership::Record;
use tokio::net::TcpStream;

use super::codec::PeerState;
use super::{Control, codec, evacuations, peer, suspects};
use crate::packed;
use crate::peer_capnp::peer as peer_rpc;
use crate::settings::Settings;

/// Longest life of a connection for exchanges.
pub const CONNECTION_MOST: Duration = Duration::from_secs(10);
/// First pause between two attempts to join through the hosts named in the settings.
const JOIN_AGAIN_LEAST: Duration = Duration::from_millis(50);
/// Longest such pause.
const JOIN_AGAIN_MOST: Duration = Duration::from_millis(500);
/// Time between two exchanges started by a node that has just started: after six of them
/// each of 300 nodes that start together knows nine in ten, and each costs either side 0.3 ms of processor time.
const PERIOD_AT_START: Duration = Duration::from_millis(100);
/// Exchanges with differing tables before a node that has just started asks for a whole one.
const PULL_AFTER_AT_START: u32 = 3;
/// Pause after a failed accept.
pub const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer in time.
    #[error("no answer in time")]
    Silent,
    /// No connection.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The call failed.
    #[error("call failed: {0}")]
    Call(#[from] capnp::Error),
    /// The answer is malformed.
    #[error(transparent)]
    Malformed(#[from] codec::Malformed),
}

/// One exchange each period, with each peer in turn; more often at the start.
///
/// Failure: all power was lost, and every node starts with the few hosts that the named ones knew
/// at that moment. Symptom: for seconds those few get the requests of all, and refuse most.
pub async fn rounds(control: Rc<Control>) {
    let period = control.context.settings.membership.period;
    loop {
        let now = Instant::now();
        let settled = control.state.borrow().bootstrap.is_settled(now);
        let pause = if settled {
            period
        } else {
            period.min(PERIOD_AT_START)
        };
        if control.state.borrow_mut().table.tick(now) {
            control.publish();
        }
        suspects::tick(&control, now);
        evacuations::tick(&control, now);
        let next = control.state.borrow_mut().table.next_peer();
        match next {
            Some(record) => {
                tokio::task::spawn_local(round(Rc::clone(&control), record));
            }
            None => log::trace!("no peer is known"),
        }
        tokio::time::sleep(pause).await;
    }
}

/// One round: the peer itself, then others about it, then suspicion.
async fn round(control: Rc<Control>, record: Record) {
    if with(&control, record.control_address).await.is_ok() {
        control.state.borrow_mut().table.mark_alive(&record.host);
        return;
    }
    let relays = control.state.borrow_mut().table.relays(&record.host);
    let mut confirmed = false;
    for relay in relays {
        match ask(&control, &relay, &record).await {
            Ok(true) => return,
            Ok(false) => confirmed = true,
            Err(error) => log::debug!(relay = &*relay.host, error:% = error; "relay not asked"),
        }
    }
    log::info!(host = &*record.host, confirmed = confirmed; "host does not answer");
    let now = Instant::now();
    let mut state = control.state.borrow_mut();
    state.table.mark_suspect(now, &record.host, confirmed);
    drop(state);
    control.publish();
}

/// Tells a few peers at once when something changed here.
pub async fn pushes(control: Rc<Control>) {
    loop {
        control.updates_due.notified().await;
        push(&control).await;
    }
}

/// Exchanges with a few peers at once.
pub async fn push(control: &Rc<Control>) {
    let most = control.context.settings.control.push_to;
    let peers = control.state.borrow_mut().table.sample(most, "");
    let exchanges = peers
        .iter()
        .map(|record| with(control, record.control_address));
    futures_util::future::join_all(exchanges).await;
}

/// Finds the fleet through the hosts named in the settings: asks all of them at once, again and
/// again, until a peer is known.
///
/// Failure: all hosts start together, and a named one listens a moment later than this one asks.
/// Symptom: asked once, or one after the other with a timeout each, nobody is found in time and
/// the whole fleet turns to the store.
pub async fn join(control: Rc<Control>) {
    let own = control.context.addresses.control;
    let mut named = named(&control.context.settings);
    named.retain(|address| *address != own);
    let mut pause = JOIN_AGAIN_LEAST;
    while !named.is_empty() {
        if !control.state.borrow().table.has_peers() {
            let joining = named
                .iter()
                .map(|address| Box::pin(join_at(&control, *address)));
            let joined = futures_util::future::select_ok(joining).await;
            if let Err(error) = joined {
                log::debug!(error:% = error; "no named host answers");
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(JOIN_AGAIN_MOST);
    }
}

/// Control addresses of the hosts named in the settings.
pub fn named(settings: &Settings) -> Vec<SocketAddr> {
    let port_of = |named: &SocketAddr| settings.peers_port.unwrap_or(named.port());
    let named = settings.peers.iter();
    named
        .map(|named| SocketAddr::new(named.ip(), port_of(named)))
        .collect()
}

/// Joins through one peer: an exchange, then its whole table.
pub async fn join_at(control: &Rc<Control>, address: SocketAddr) -> Result<(), Error> {
    with(control, address).await?;
    pull(control, address).await
}

/// One exchange with the peer at this address.
pub async fn with(control: &Rc<Control>, address: SocketAddr) -> Result<(), Error> {
    let asked_at = Instant::now();
    let within = control.context.settings.membership.answer_within;
    let theirs = match tokio::time::timeout(within, call(control, address)).await {
        Ok(Ok(theirs)) => theirs,
        Ok(Err(error)) => {
            control.context.metrics.exchange("failed", 0);
            return Err(error);
        }
        Err(_) => {
            control.context.metrics.exchange("silent", 0);
            return Err(Error::Silent);
        }
    };
    control.state.borrow_mut().heard_at = Some(Instant::now());
    let (digest, peer) = (theirs.digest, theirs.peer_state());
    apply_exchange(control, Instant::now(), theirs);
    control.heard(asked_at);
    send_newer_documents(control, address, peer).await;
    compare(control, address, digest).await;
    Ok(())
}

async fn call(control: &Rc<Control>, address: SocketAddr) -> Result<codec::Exchange, Error> {
    exchange(control, address, None).await
}

async fn exchange(
    control: &Rc<Control>,
    address: SocketAddr,
    peer: Option<&PeerState>,
) -> Result<codec::Exchange, Error> {
    let client = connect(control, address).await?;
    let mut request = client.exchange_request();
    let now = Instant::now();
    let ours = compose(control, now, peer);
    let packs = match peer {
        Some(peer) => peer.packs,
        None => control.state.borrow().table.reads_packed(address),
    };
    let records = codec::write_exchange(now, &ours, packs, request.get().init_ours());
    let sent = request.get().total_size()?.word_count;
    control.exchange_sent(sent, records);
    let response = request.send().promise.await?;
    let theirs = response.get()?.get_theirs()?;
    let words = sent + theirs.total_size()?.word_count;
    control
        .context
        .metrics
        .exchange("answered", words * codec::WORD);
    Ok(codec::read_exchange(Instant::now(), theirs)?)
}

impl Control {
    /// Counts a side of an exchange of so many words that was sent, with its records of so many
    /// bytes.
    pub(super) fn exchange_sent(&self, words: u64, records: u64) {
        let metrics = &self.context.metrics;
        metrics.control_sent("records", records);
        let rest = (words * codec::WORD).saturating_sub(records);
        metrics.control_sent("exchange", rest);
    }
}

/// The peer is behind, or holds back other requests: it hears of what holds here without waiting
/// for the next round.
///
/// A document has more time than an exchange: its length says nothing about the peer's health.
async fn send_newer_documents(control: &Rc<Control>, address: SocketAddr, peer: PeerState) {
    let (ours, held) = {
        let state = control.state.borrow();
        (state.versions(), state.quarantine.digest())
    };
    if !peer.versions.is_behind(&ours) && peer.quarantine.digest == held {
        return;
    }
    let within = control.context.settings.control.document_within;
    let given = tokio::time::timeout(within, exchange(control, address, Some(&peer))).await;
    match given {
        Ok(Ok(theirs)) => apply_exchange(control, Instant::now(), theirs),
        Ok(Err(error)) => {
            log::debug!(peer:% = address, error:% = error; "newer documents not given");
        }
        Err(_) => log::debug!(peer:% = address; "newer documents not given in time"),
    }
}

/// Asks for the whole table when updates alone did not make the tables equal.
///
/// Failure: a record was missed by all the rounds that spread it. Symptom: two nodes
/// disagree for good. A lasting difference of the digests shows it; a short one is an update
/// on its way and costs nothing more. A node that has just started may know a few of hundreds,
/// and asks sooner.
async fn compare(control: &Rc<Control>, address: SocketAddr, theirs: u64) {
    let pull_due = {
        let mut state = control.state.borrow_mut();
        if state.table.digest() == theirs {
            state.differing = state.differing.saturating_sub(1);
        } else {
            state.differing += 1;
        }
        let settled = state.bootstrap.is_settled(Instant::now());
        let pull_after = if settled {
            control.context.settings.control.pull_after
        } else {
            PULL_AFTER_AT_START
        };
        let pull_due = state.differing >= pull_after;
        if pull_due {
            state.differing = 0;
            // A peer that lacks this node seldom meets a differing table, and does not ask.
            state.table.spread_own();
        }
        pull_due
    };
    if !pull_due {
        return;
    }
    if let Err(error) = pull(control, address).await {
        log::debug!(peer:% = address, error:% = error; "table not pulled");
    }
}

async fn pull(control: &Rc<Control>, address: SocketAddr) -> Result<(), Error> {
    let within = control.context.settings.membership.answer_within;
    let pulled = async {
        let client = connect(control, address).await?;
        let mut request = client.table_request();
        request.get().set_packs(true);
        let response = request.send().promise.await?;
        let packed = response.get()?.get_packed_records()?;
        if packed.is_empty() {
            return Ok(codec::read_records(response.get()?.get_records()?)?);
        }
        Ok::<_, Error>(codec::unpack_records(packed)?)
    };
    let records = tokio::time::timeout(within, pulled)
        .await
        .map_err(|_| Error::Silent)??;
    control.merge(Instant::now(), records);
    Ok(())
}

async fn ask(control: &Rc<Control>, relay: &Record, about: &Record) -> Result<bool, Error> {
    let within = control.context.settings.membership.answer_within * 2;
    let asked = async {
        let client = connect(control, relay.control_address).await?;
        let mut request = client.ask_request();
        let address = about.control_address.to_string();
        request.get().set_control_address(address);
        let response = request.send().promise.await?;
        Ok::<_, Error>(response.get()?.get_answered())
    };
    tokio::time::timeout(within, asked)
        .await
        .map_err(|_| Error::Silent)?
}

/// Each exchange has a connection of its own: with hundreds of peers taken in turn an
/// open one would mostly be idle, and an idle one may have been lost by the network.
async fn connect(control: &Rc<Control>, address: SocketAddr) -> Result<peer_rpc::Client, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let bytes_most = control.context.settings.control.message_bytes_most;
    let network = peer::network(stream, Side::Client, bytes_most);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(async move {
        let _ = tokio::time::timeout(CONNECTION_MOST, system).await;
    });
    Ok(client)
}

/// What this node says in an exchange; documents only if the peer's are known older.
pub fn compose(control: &Control, now: Instant, peer: Option<&PeerState>) -> codec::Exchange {
    let mut state = control.state.borrow_mut();
    let versions = state.versions();
    let theirs = peer.map(|peer| peer.versions);
    let in_force = theirs
        .filter(|theirs| theirs.preset < versions.preset)
        .map(|_| state.register.current().as_ref().clone());
    let routes = theirs
        .filter(|theirs| theirs.routes < versions.routes)
        .and_then(|_| {
            state
                .routes
                .current()
                .map(|document| Arc::clone(&document.packed))
        });
    codec::Exchange {
        updates: state
            .table
            .take_updates_except(peer.map_or(&[], |peer| &peer.records)),
        digest: state.table.digest(),
        versions,
        in_force,
        routes,
        suspects: state
            .quarantine
            .updates_for(now, peer.map(|peer| &peer.quarantine)),
        held: state.quarantine.digest(),
        evacuations: state.evacuations.zones().collect(),
        packs: true,
    }
}

/// Unpacks a routing table of a peer; what does not unpack changes nothing.
fn take_routes(control: &Control, packed: Arc<[u8]>) {
    match packed::unpack(&packed) {
        Ok(source) => control.offer_routes("peer", &source, Some(packed)),
        Err(error) => {
            control.context.metrics.bad_input("routes");
            log::warn!(error:% = error; "routing table of a peer does not unpack");
        }
    }
}

/// Takes in what a peer said.
pub fn apply_exchange(control: &Control, now: Instant, theirs: codec::Exchange) {
    if let Some(document) = theirs.in_force {
        control.offer(document);
    }
    let is_newer = control
        .state
        .borrow()
        .routes
        .is_older_than(theirs.versions.routes);
    if let Some(packed) = theirs.routes.filter(|_| is_newer) {
        take_routes(control, packed);
    }
    evacuations::merge(control, "peer", theirs.evacuations);
    control.merge(now, theirs.updates);
    suspects::merge(control, now, theirs.suspects);
}
