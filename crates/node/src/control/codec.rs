//! Records and presets in Cap'n Proto messages.

use std::net::{AddrParseError, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::evacuation::{Stamp, Zone};
use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::membership::{self, Record, State, Summary, Upstream};
use mintridge_core::preset::{InForce, Revision};
use mintridge_core::quarantine::{self, Crash, Suspect};
use mintridge_core::route::Version;

use crate::{packed, peer_capnp};

/// Bytes of a word of a message.
pub const WORD: u64 = 8;
/// Fewer records than this are shorter as they are.
const PACKED_LEAST: usize = 3;

/// Why a message of a peer was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// It is not a message of this schema.
    #[error("not a message of this schema: {0}")]
    Message(#[from] capnp::Error),
    /// It uses a value this version does not know.
    #[error("unknown value: {0}")]
    Unknown(#[from] capnp::NotInSchema),
    /// A text is not UTF-8.
    #[error("not text: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// An address does not parse.
    #[error("not an address: {0}")]
    Address(#[from] AddrParseError),
    /// Packed records do not unpack.
    #[error(transparent)]
    Packed(#[from] packed::Error),
    /// A preset does not parse.
    #[error("not a preset: {0}")]
    Preset(#[from] serde_json::Error),
}

impl From<Malformed> for capnp::Error {
    fn from(error: Malformed) -> Self {
        Self::failed(error.to_string())
    }
}

/// One side of an exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Records that the sender spreads.
    pub updates: Vec<Record>,
    /// Digest of its table.
    pub digest: u64,
    /// What it has in force.
    pub versions: Versions,
    /// Its preset, if the other's is known to be older.
    pub in_force: Option<InForce>,
    /// Its routing table as operators wrote it, compressed, if the other's is known to be older.
    pub routes: Option<Arc<[u8]>>,
    /// What it tells of requests that end upstreams.
    pub suspects: Vec<Suspect>,
    /// Digest of the requests that it holds back.
    pub held: u64,
    /// Zones that were ever evacuated.
    pub evacuations: Vec<Zone>,
    /// Whether the sender reads packed records.
    pub packs: bool,
}

impl Exchange {
    /// What the other side needs to know of this one to answer it.
    #[must_use]
    pub fn peer_state(&self) -> PeerState {
        let fingerprints = self.suspects.iter().map(|suspect| suspect.fingerprint);
        PeerState {
            versions: self.versions,
            records: self.updates.iter().map(Record::summary).collect(),
            packs: self.packs,
            quarantine: quarantine::Peer {
                digest: self.held,
                fingerprints: fingerprints.collect(),
            },
        }
    }
}

/// What a node told of itself in an exchange.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// What it has in force.
    pub versions: Versions,
    /// The records that it sent.
    pub records: Vec<Summary>,
    /// Whether it reads packed records.
    pub packs: bool,
    /// What it holds back.
    pub quarantine: quarantine::Peer,
}

/// What a node has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Versions {
    /// Revision of its preset.
    pub preset: Revision,
    /// Version of its routing table.
    pub routes: Version,
}

impl Versions {
    /// Whether something of this is older than the other's.
    #[must_use]
    pub fn is_behind(&self, other: &Self) -> bool {
        self.preset < other.preset || self.routes < other.routes
    }
}

/// Writes one side of an exchange, with its records packed if the peer reads them so; returns their
/// length in bytes.
pub fn write_exchange(
    now: Instant,
    exchange: &Exchange,
    packs: bool,
    mut to: peer_capnp::exchange::Builder<'_>,
) -> u64 {
    to.set_packs(exchange.packs);
    to.set_digest(exchange.digest);
    to.set_revision(exchange.versions.preset.0);
    to.set_routes_version(exchange.versions.routes.0);
    if let Some(document) = &exchange.routes {
        to.set_routes(document);
    }
    if let Some(document) = &exchange.in_force
        && let Ok(written) = serde_json::to_vec(document)
    {
        to.set_in_force(&written);
    }
    to.set_held(exchange.held);
    let length = length_of(&exchange.evacuations);
    write_evacuations(
        &exchange.evacuations,
        to.reborrow().init_evacuations(length),
    );
    let length = length_of(&exchange.suspects);
    write_suspects(now, &exchange.suspects, to.reborrow().init_suspects(length));
    let packed = packs.then(|| pack_records(&exchange.updates)).flatten();
    if let Some(packed) = packed {
        to.set_packed_updates(&packed);
        return bytes_of(&packed);
    }
    write_records(
        &exchange.updates,
        to.init_updates(length_of(&exchange.updates)),
    )
}

/// Records packed, if that makes them shorter.
pub fn pack_records(records: &[Record]) -> Option<Arc<[u8]>> {
    if records.len() < PACKED_LEAST {
        return None;
    }
    let mut message = capnp::message::Builder::new_default();
    let list = message
        .init_root::<peer_capnp::records::Builder<'_>>()
        .init_list(length_of(records));
    write_records(records, list);
    packed::pack(&capnp::serialize::write_message_to_words(&message)).ok()
}

/// Unpacks what [`pack_records`] has packed.
pub fn unpack_records(packed: &[u8]) -> Result<Vec<Record>, Malformed> {
    let message = packed::unpack(packed)?;
    let mut message = message.as_slice();
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message_from_flat_slice(&mut message, options)?;
    let records = message.get_root::<peer_capnp::records::Reader<'_>>()?;
    read_records(records.get_list()?)
}

/// Length of a message.
pub fn bytes_of(message: &[u8]) -> u64 {
    u64::try_from(message.len()).unwrap_or(u64::MAX)
}

/// Length of a list of a message.
pub fn length_of<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

/// Reads one side of an exchange.
pub fn read_exchange(
    now: Instant,
    from: peer_capnp::exchange::Reader<'_>,
) -> Result<Exchange, Malformed> {
    let document = from.get_in_force()?;
    let in_force = if document.is_empty() {
        None
    } else {
        Some(serde_json::from_slice(document)?)
    };
    let routes = from.get_routes()?;
    let packed_updates = from.get_packed_updates()?;
    let updates = if packed_updates.is_empty() {
        read_records(from.get_updates()?)?
    } else {
        unpack_records(packed_updates)?
    };
    Ok(Exchange {
        updates,
        digest: from.get_digest(),
        versions: Versions {
            preset: Revision(from.get_revision()),
            routes: Version(from.get_routes_version()),
        },
        in_force,
        routes: (!routes.is_empty()).then(|| Arc::from(routes)),
        suspects: read_suspects(now, from.get_suspects()?)?,
        held: from.get_held(),
        evacuations: read_evacuations(from.get_evacuations()?)?,
        packs: from.get_packs(),
    })
}

/// Writes records; returns their length in bytes.
pub fn write_records(
    records: &[Record],
    mut to: capnp::struct_list::Builder<'_, peer_capnp::record::Owned>,
) -> u64 {
    let mut words = 0;
    for (index, record) in (0..to.len()).zip(records) {
        write_record(record, to.reborrow().get(index));
        let written = to.reborrow().get(index).into_reader();
        words += written.total_size().map_or(0, |size| size.word_count);
    }
    words * WORD
}

/// Reads records.
pub fn read_records(
    from: capnp::struct_list::Reader<'_, peer_capnp::record::Owned>,
) -> Result<Vec<Record>, Malformed> {
    from.iter().map(read_record).collect()
}

fn write_record(record: &Record, mut to: peer_capnp::record::Builder<'_>) {
    to.set_host(&*record.host);
    to.set_availability_zone(&*record.availability_zone);
    to.set_peer_address(record.peer_address.to_string());
    to.set_control_address(record.control_address.to_string());
    to.set_operators_address(record.operators_address.to_string());
    to.set_incarnation(record.version.incarnation);
    to.set_change(record.version.change);
    to.set_packs(record.packs);
    to.set_standing(match record.state {
        State::Alive => peer_capnp::Standing::Alive,
        State::Suspect => peer_capnp::Standing::Suspect,
        State::Dead => peer_capnp::Standing::Dead,
        State::Left => peer_capnp::Standing::Left,
    });
    match &record.upstream {
        None => to.init_upstream().set_none(()),
        Some(upstream) => {
            let mut some = to.init_upstream().init_some();
            some.set_service(&*upstream.service);
            some.set_slots(upstream.slots);
            some.set_leaving(upstream.leaving);
        }
    }
}

fn read_record(from: peer_capnp::record::Reader<'_>) -> Result<Record, Malformed> {
    use peer_capnp::record::upstream;
    let upstream = match from.get_upstream().which()? {
        upstream::None(()) => None,
        upstream::Some(some) => {
            let some = some?;
            Some(Upstream {
                service: read_text(some.get_service()?)?,
                slots: some.get_slots(),
                leaving: some.get_leaving(),
            })
        }
    };
    Ok(Record {
        host: read_text(from.get_host()?)?,
        availability_zone: read_text(from.get_availability_zone()?)?,
        peer_address: read_address(from.get_peer_address()?)?,
        control_address: read_address(from.get_control_address()?)?,
        operators_address: read_address(from.get_operators_address()?)?,
        version: membership::Version {
            incarnation: from.get_incarnation(),
            change: from.get_change(),
        },
        state: match from.get_standing()? {
            peer_capnp::Standing::Alive => State::Alive,
            peer_capnp::Standing::Suspect => State::Suspect,
            peer_capnp::Standing::Dead => State::Dead,
            peer_capnp::Standing::Left => State::Left,
        },
        upstream,
        packs: from.get_packs(),
    })
}

/// Time left is told in whole seconds, rounded down: a copy never outlives what it was copied from.
fn write_suspects(
    now: Instant,
    suspects: &[Suspect],
    mut to: capnp::struct_list::Builder<'_, peer_capnp::suspect::Owned>,
) {
    for (index, suspect) in (0..to.len()).zip(suspects) {
        let mut written = to.reborrow().get(index);
        written.set_head(suspect.fingerprint.head);
        match suspect.fingerprint.body {
            None => written.reborrow().init_body().set_unseen(()),
            Some(body) => written.reborrow().init_body().set_digest(body),
        }
        written.set_trials(suspect.trials);
        let left = suspect.expires_at.saturating_duration_since(now);
        written.set_left_seconds(u32::try_from(left.as_secs()).unwrap_or(u32::MAX));
        let mut ends = written.init_ends(length_of(&suspect.crashes));
        for (index, crash) in (0..ends.len()).zip(&suspect.crashes) {
            let mut written = ends.reborrow().get(index);
            written.set_id(crash.id);
            written.set_service(crash.service);
            written.set_cleared(crash.cleared);
        }
    }
}

fn read_suspects(
    now: Instant,
    from: capnp::struct_list::Reader<'_, peer_capnp::suspect::Owned>,
) -> Result<Vec<Suspect>, Malformed> {
    from.iter()
        .map(|suspect| read_suspect(now, suspect))
        .collect()
}

fn read_suspect(now: Instant, from: peer_capnp::suspect::Reader<'_>) -> Result<Suspect, Malformed> {
    use peer_capnp::suspect::body;
    let body = match from.get_body().which()? {
        body::Unseen(()) => None,
        body::Digest(digest) => Some(digest),
    };
    let ends = from.get_ends()?;
    let crashes = ends.iter().map(|end| Crash {
        id: end.get_id(),
        service: end.get_service(),
        cleared: end.get_cleared(),
    });
    Ok(Suspect {
        fingerprint: Fingerprint {
            head: from.get_head(),
            body,
        },
        crashes: crashes.collect(),
        trials: from.get_trials(),
        expires_at: now + Duration::from_secs(from.get_left_seconds().into()),
    })
}

fn write_evacuations(
    zones: &[Zone],
    mut to: capnp::struct_list::Builder<'_, peer_capnp::evacuation::Owned>,
) {
    for (index, zone) in (0..to.len()).zip(zones) {
        let mut written = to.reborrow().get(index);
        written.set_zone(&*zone.name);
        written.set_evacuated(zone.evacuated);
        written.set_epoch(zone.stamp.epoch);
        written.set_revision(zone.stamp.revision);
    }
}

fn read_evacuations(
    from: capnp::struct_list::Reader<'_, peer_capnp::evacuation::Owned>,
) -> Result<Vec<Zone>, Malformed> {
    let zones = from.iter().map(|zone| {
        Ok(Zone {
            name: read_text(zone.get_zone()?)?,
            evacuated: zone.get_evacuated(),
            stamp: Stamp {
                epoch: zone.get_epoch(),
                revision: zone.get_revision(),
            },
        })
    });
    zones.collect()
}

fn read_text(from: capnp::text::Reader<'_>) -> Result<Arc<str>, Malformed> {
    Ok(Arc::from(from.to_str()?))
}

/// Reads an address.
pub fn read_address(from: capnp::text::Reader<'_>) -> Result<SocketAddr, Malformed> {
    Ok(from.to_str()?.parse()?)
}
