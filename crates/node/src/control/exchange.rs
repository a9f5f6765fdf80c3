//! Exchanges that this node starts: gossip rounds, pushes of updates, and joining the fleet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use mintridge_core::membership::Record;
use tokio::net::TcpStream;

use super::codec::PeerState;
use super::{Control, Delivery, codec, evacuations, peer, suspects};
use crate::packed;
use crate::peer_capnp::peer as peer_rpc;
use crate::settings::Settings;

/// Maximum duration of a connection for exchanges.
pub const MAX_CONNECTION_DURATION: Duration = Duration::from_secs(10);
/// Initial delay between two attempts to join through the hosts named in the settings.
const MIN_JOIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between two such attempts.
const MAX_JOIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two gossip rounds of a node that has just started. When 300 nodes start together,
/// each knows nine in ten of the others after six rounds, and an exchange costs each side 0.3 ms of
/// CPU time.
const STARTUP_PERIOD: Duration = Duration::from_millis(100);
/// Number of exchanges with differing tables after which a node that has just started requests a
/// peer's whole table.
const STARTUP_PULL_AFTER: u32 = 3;
/// Delay after a failed accept.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Error of an exchange.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer did not answer before the timeout.
    #[error("no answer before the timeout")]
    Timeout,
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The RPC failed.
    #[error("RPC failed: {0}")]
    Call(#[from] capnp::Error),
    /// The answer could not be decoded.
    #[error(transparent)]
    Malformed(#[from] codec::Malformed),
}

/// Runs gossip rounds: one exchange per period, with each peer in turn, and more often at startup.
///
/// Failure: all nodes start after a power loss, and each learns only of the few members that the
/// hosts named in the settings knew at that moment. Symptom: for seconds those few receive all
/// requests and refuse most. The shorter period at startup makes the rest of the fleet known
/// sooner.
pub async fn rounds(control: Rc<Control>) {
    let period = control.context.settings.membership.period;
    loop {
        let now = Instant::now();
        let settled = control.state.borrow().bootstrap.is_settled(now);
        let pause = if settled {
            period
        } else {
            period.min(STARTUP_PERIOD)
        };
        if control.state.borrow_mut().table.tick(now) {
            control.publish();
        }
        suspects::update_isolation(&control, now);
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

/// Runs one round with a peer. If it does not answer, relays are asked to contact it; if none of
/// them reaches it either, it is marked as suspect.
async fn round(control: Rc<Control>, record: Record) {
    if perform(&control, record.control_address).await.is_ok() {
        control.state.borrow_mut().table.mark_alive(&record.host);
        return;
    }
    let relays = control.state.borrow_mut().table.relays(&record.host);
    let mut confirmed = false;
    for relay in relays {
        match ask_relay(&control, &relay, &record).await {
            Ok(true) => return,
            Ok(false) => confirmed = true,
            Err(error) => log::debug!(relay = &*relay.host, error:% = error; "relay call failed"),
        }
    }
    log::info!(host = &*record.host, confirmed = confirmed; "host does not answer");
    let now = Instant::now();
    let mut state = control.state.borrow_mut();
    state.table.mark_suspect(now, &record.host, confirmed);
    drop(state);
    control.publish();
}

/// Pushes to a few peers at once whenever something changes on this node.
pub async fn pushes(control: Rc<Control>) {
    loop {
        control.updates_due.notified().await;
        push(&control).await;
    }
}

/// Performs exchanges with a few peers at once and waits for all of them.
pub async fn push(control: &Rc<Control>) {
    let max_peers = control.context.settings.control.push_to;
    let peers = control.state.borrow_mut().table.sample(max_peers, "");
    let exchanges = peers
        .iter()
        .map(|record| perform(control, record.control_address));
    futures_util::future::join_all(exchanges).await;
}

/// Joins the fleet through the hosts named in the settings: contacts all of them at once and
/// retries with a backoff while no peer is known.
///
/// Failure: all hosts start together, and a named host starts listening just after it was
/// contacted. Symptom: with a single attempt, or with attempts one after the other that each time
/// out, no peer is found in time and the whole fleet falls back to the store.
pub async fn join(control: Rc<Control>) {
    let own = control.context.addresses.control;
    let mut contacts = contact_addresses(&control.context.settings);
    contacts.retain(|address| *address != own);
    let mut pause = MIN_JOIN_RETRY_DELAY;
    while !contacts.is_empty() {
        if !control.state.borrow().table.has_peers() {
            let joining = contacts
                .iter()
                .map(|address| Box::pin(join_through(&control, *address)));
            let joined = futures_util::future::select_ok(joining).await;
            if let Err(error) = joined {
                log::debug!(error:% = error; "none of the hosts named in the settings answers");
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_JOIN_RETRY_DELAY);
    }
}

/// Returns the control addresses of the hosts named in the settings.
pub fn contact_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let port_of = |named: &SocketAddr| settings.peers_port.unwrap_or(named.port());
    let named = settings.peers.iter();
    named
        .map(|named| SocketAddr::new(named.ip(), port_of(named)))
        .collect()
}

/// Joins through one peer: runs an exchange, then requests its whole table.
pub async fn join_through(control: &Rc<Control>, address: SocketAddr) -> Result<(), Error> {
    perform(control, address).await?;
    pull_table(control, address).await
}

/// Performs an exchange with the peer at this address.
pub async fn perform(control: &Rc<Control>, address: SocketAddr) -> Result<(), Error> {
    let requested_at = Instant::now();
    let timeout = control.context.settings.membership.answer_within;
    let theirs = match tokio::time::timeout(timeout, send_first_request(control, address)).await {
        Ok(Ok(theirs)) => theirs,
        Ok(Err(error)) => {
            control.context.metrics.exchange("failed", 0);
            return Err(error);
        }
        Err(_) => {
            control.context.metrics.exchange("silent", 0);
            return Err(Error::Timeout);
        }
    };
    let now = Instant::now();
    let previous = control.state.borrow_mut().last_contact_at.replace(now);
    let (digest, peer) = (theirs.digest, theirs.peer_state());
    apply_exchange(control, now, theirs);
    suspects::update_isolation(control, now);
    if previous.is_none() {
        log_first_exchange(control, address, &peer);
    }
    control.mark_refreshed(requested_at);
    send_newer_documents(control, address, peer).await;
    compare_digests(control, address, digest).await;
    Ok(())
}

fn log_first_exchange(control: &Control, address: SocketAddr, peer: &PeerState) {
    let quarantined = control.state.borrow().quarantine.quarantined().len();
    log::info!(
        peer:% = address,
        suspects = peer.quarantine.fingerprints.len(),
        quarantined = quarantined;
        "first exchange with a peer"
    );
}

/// Sends the first request of an exchange, without documents because the peer's versions are not
/// known yet.
async fn send_first_request(
    control: &Rc<Control>,
    address: SocketAddr,
) -> Result<codec::Exchange, Error> {
    send_request(control, address, None).await
}

async fn send_request(
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
    control.record_sent(sent, records);
    let response = request.send().promise.await?;
    let theirs = response.get()?.get_theirs()?;
    let words = sent + theirs.total_size()?.word_count;
    control
        .context
        .metrics
        .exchange("answered", words * codec::WORD_BYTES);
    Ok(codec::read_exchange(Instant::now(), theirs)?)
}

impl Control {
    /// Counts a sent exchange message: its size in words, and the size of its records in bytes.
    pub(super) fn record_sent(&self, words: u64, records: u64) {
        let metrics = &self.context.metrics;
        metrics.control_sent("records", records);
        let rest = (words * codec::WORD_BYTES).saturating_sub(records);
        metrics.control_sent("exchange", rest);
    }
}

/// If the peer has an older document or a different quarantine, sends it this node's without
/// waiting for the next round.
///
/// The timeout is longer than that of an exchange because a large document takes longer to send
/// and says nothing about the peer's health.
async fn send_newer_documents(control: &Rc<Control>, address: SocketAddr, peer: PeerState) {
    let (ours, quarantine_digest) = {
        let state = control.state.borrow();
        (state.versions(), state.quarantine.digest())
    };
    if !peer.versions.is_behind(&ours) && peer.quarantine.digest == quarantine_digest {
        return;
    }
    let timeout = control.context.settings.control.document_within;
    let result = tokio::time::timeout(timeout, send_request(control, address, Some(&peer))).await;
    match result {
        Ok(Ok(theirs)) => apply_exchange(control, Instant::now(), theirs),
        Ok(Err(error)) => {
            log::debug!(peer:% = address, error:% = error; "failed to send newer documents");
        }
        Err(_) => log::debug!(peer:% = address; "sending newer documents timed out"),
    }
}

/// Compares the table digests of an exchange and requests the peer's whole table if they keep
/// differing.
///
/// Failure: a node misses every round that spread a record. Symptom: the tables of two nodes
/// differ permanently. Digests that differ in several exchanges reveal this; a brief difference is
/// an update that is still being spread and causes no request. A node that has just started may
/// know only a few of hundreds of members, so it requests the table after fewer exchanges.
async fn compare_digests(control: &Rc<Control>, address: SocketAddr, theirs: u64) {
    let pull_due = {
        let mut state = control.state.borrow_mut();
        if state.table.digest() == theirs {
            state.digest_mismatches = state.digest_mismatches.saturating_sub(1);
        } else {
            state.digest_mismatches += 1;
        }
        let settled = state.bootstrap.is_settled(Instant::now());
        let pull_after = if settled {
            control.context.settings.control.pull_after
        } else {
            STARTUP_PULL_AFTER
        };
        let pull_due = state.digest_mismatches >= pull_after;
        if pull_due {
            state.digest_mismatches = 0;
            // A peer that lacks this node's record rarely sees a differing digest, so it would not
            // request the table itself.
            state.table.spread_own();
        }
        pull_due
    };
    if !pull_due {
        return;
    }
    if let Err(error) = pull_table(control, address).await {
        log::debug!(peer:% = address, error:% = error; "failed to pull the membership table");
    }
}

/// Requests the whole membership table of a peer and merges it.
async fn pull_table(control: &Rc<Control>, address: SocketAddr) -> Result<(), Error> {
    let timeout = control.context.settings.membership.answer_within;
    let call = async {
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
    let records = tokio::time::timeout(timeout, call)
        .await
        .map_err(|_| Error::Timeout)??;
    control.merge(Instant::now(), records);
    Ok(())
}

/// Asks a relay to contact the target; returns whether the target answered the relay.
async fn ask_relay(control: &Rc<Control>, relay: &Record, target: &Record) -> Result<bool, Error> {
    let timeout = control.context.settings.membership.answer_within * 2;
    let call = async {
        let client = connect(control, relay.control_address).await?;
        let mut request = client.ask_request();
        let address = target.control_address.to_string();
        request.get().set_control_address(address);
        let response = request.send().promise.await?;
        Ok::<_, Error>(response.get()?.get_answered())
    };
    tokio::time::timeout(timeout, call)
        .await
        .map_err(|_| Error::Timeout)?
}

/// Opens a connection to a peer. Every exchange uses a new one: with hundreds of peers contacted in
/// turn, a kept connection would be idle most of the time and might have been dropped by the
/// network.
async fn connect(control: &Rc<Control>, address: SocketAddr) -> Result<peer_rpc::Client, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let max_message_bytes = control.context.settings.control.message_bytes_most;
    let network = peer::network(stream, Side::Client, max_message_bytes);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(async move {
        let _ = tokio::time::timeout(MAX_CONNECTION_DURATION, system).await;
    });
    Ok(client)
}

/// Composes this node's side of an exchange. A document is included only if the peer's is known to
/// be older.
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
        quarantine_digest: state.quarantine.digest(),
        evacuations: state.evacuations.zones().collect(),
        packs: true,
    }
}

/// Unpacks a routing table received from a peer and puts it in force if it is newer. A table that
/// does not unpack is ignored.
fn apply_routes(control: &Control, packed: Arc<[u8]>) {
    match packed::unpack(&packed) {
        Ok(source) => control.offer_routes(Delivery::Exchange, &source, Some(packed)),
        Err(error) => {
            control.context.metrics.bad_input("routes");
            log::warn!(error:% = error; "failed to unpack a routing table received from a peer");
        }
    }
}

/// Applies the message of a peer in an exchange.
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
        apply_routes(control, packed);
    }
    evacuations::merge(control, "peer", theirs.evacuations);
    control.merge(now, theirs.updates);
    suspects::merge(control, now, theirs.suspects);
}
