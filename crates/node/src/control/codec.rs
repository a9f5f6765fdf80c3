//! Encoding of exchanges between nodes as Cap'n Proto messages.

use std::net::{AddrParseError, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::evacuation::{Stamp, Zone};
use mintridge_core::failover::Versions;
use mintridge_core::fingerprint::Fingerprint;
use mintridge_core::membership::{self, Record, State, Summary, Upstream};
use mintridge_core::preset::{InForce, Revision};
use mintridge_core::quarantine::{self, Crash, Suspect};
use mintridge_core::route::Version;

use crate::{packed, peer_capnp};

/// Size of a message word in bytes.
pub const WORD_BYTES: u64 = 8;
/// Minimum number of records to pack; fewer are shorter unpacked.
const MIN_PACKED_RECORDS: usize = 3;

/// Error that makes a message of a peer unusable.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// The message does not match the schema.
    #[error("message does not match the schema: {0}")]
    Message(#[from] capnp::Error),
    /// The message uses an enum or union value that this version does not know.
    #[error("unknown enum or union value: {0}")]
    Unknown(#[from] capnp::NotInSchema),
    /// A text field is not valid UTF-8.
    #[error("text is not valid UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// An address could not be parsed.
    #[error("invalid address: {0}")]
    Address(#[from] AddrParseError),
    /// Packed records could not be unpacked.
    #[error(transparent)]
    Packed(#[from] packed::Error),
    /// The preset could not be parsed.
    #[error("invalid preset: {0}")]
    Preset(#[from] serde_json::Error),
}

impl From<Malformed> for capnp::Error {
    fn from(error: Malformed) -> Self {
        Self::failed(error.to_string())
    }
}

/// Message that one node sends to the other in an exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Membership updates that the sender gossips.
    pub updates: Vec<Record>,
    /// Digest of the sender's membership table.
    pub digest: u64,
    /// Versions of the documents in force on the sender.
    pub versions: Versions,
    /// The sender's preset, if the receiver's is known to be older.
    pub in_force: Option<InForce>,
    /// The sender's routing table as written by operators, compressed, if the receiver's is known
    /// to be older.
    pub routes: Option<Arc<[u8]>>,
    /// Evidence on requests suspected of crashing upstreams.
    pub suspects: Vec<Suspect>,
    /// Digest of the sender's quarantine.
    pub quarantine_digest: u64,
    /// Availability zones that have ever been evacuated.
    pub evacuations: Vec<Zone>,
    /// Whether the sender can read packed records.
    pub packs: bool,
}

impl Exchange {
    /// Returns what the receiver needs to know about the sender to answer it.
    #[must_use]
    pub fn peer_state(&self) -> PeerState {
        let fingerprints = self.suspects.iter().map(|suspect| suspect.fingerprint);
        PeerState {
            versions: self.versions,
            records: self.updates.iter().map(Record::summary).collect(),
            packs: self.packs,
            quarantine: quarantine::Peer {
                digest: self.quarantine_digest,
                fingerprints: fingerprints.collect(),
            },
        }
    }
}

/// State that a peer reported about itself in an exchange.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Versions of the documents in force on the peer.
    pub versions: Versions,
    /// Summaries of the records that the peer sent.
    pub records: Vec<Summary>,
    /// Whether the peer can read packed records.
    pub packs: bool,
    /// Quarantine state of the peer.
    pub quarantine: quarantine::Peer,
}

/// Writes the message of one side of an exchange, with its records packed if `packs` is true and
/// that makes them shorter; returns the size of the records in bytes.
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
        && let Ok(json) = serde_json::to_vec(document)
    {
        to.set_in_force(&json);
    }
    to.set_held(exchange.quarantine_digest);
    let length = list_len(&exchange.evacuations);
    write_evacuations(
        &exchange.evacuations,
        to.reborrow().init_evacuations(length),
    );
    let length = list_len(&exchange.suspects);
    write_suspects(now, &exchange.suspects, to.reborrow().init_suspects(length));
    let packed = packs.then(|| pack_records(&exchange.updates)).flatten();
    if let Some(packed) = packed {
        to.set_packed_updates(&packed);
        return byte_len(&packed);
    }
    write_records(
        &exchange.updates,
        to.init_updates(list_len(&exchange.updates)),
    )
}

/// Packs records; returns `None` if there are too few to make them shorter.
pub fn pack_records(records: &[Record]) -> Option<Arc<[u8]>> {
    if records.len() < MIN_PACKED_RECORDS {
        return None;
    }
    let mut message = capnp::message::Builder::new_default();
    let list = message
        .init_root::<peer_capnp::records::Builder<'_>>()
        .init_list(list_len(records));
    write_records(records, list);
    packed::pack(&capnp::serialize::write_message_to_words(&message)).ok()
}

/// Unpacks records that were packed by [`pack_records`].
pub fn unpack_records(packed: &[u8]) -> Result<Vec<Record>, Malformed> {
    let message = packed::unpack(packed)?;
    let mut message = message.as_slice();
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message_from_flat_slice(&mut message, options)?;
    let records = message.get_root::<peer_capnp::records::Reader<'_>>()?;
    read_records(records.get_list()?)
}

/// Returns the size of a message in bytes, for metrics.
pub fn byte_len(message: &[u8]) -> u64 {
    u64::try_from(message.len()).unwrap_or(u64::MAX)
}

/// Returns the length of a list, for allocating it in a message.
pub fn list_len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

/// Reads the message of one side of an exchange.
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
        quarantine_digest: from.get_held(),
        evacuations: read_evacuations(from.get_evacuations()?)?,
        packs: from.get_packs(),
    })
}

/// Writes records; returns their size in bytes.
pub fn write_records(
    records: &[Record],
    mut to: capnp::struct_list::Builder<'_, peer_capnp::record::Owned>,
) -> u64 {
    let mut words = 0;
    for (index, record) in (0..to.len()).zip(records) {
        write_record(record, to.reborrow().get(index));
        let entry = to.reborrow().get(index).into_reader();
        words += entry.total_size().map_or(0, |size| size.word_count);
    }
    words * WORD_BYTES
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

/// Writes the evidence on suspect requests. The remaining time is sent in whole seconds, rounded
/// down, so that a copy never outlives its original.
fn write_suspects(
    now: Instant,
    suspects: &[Suspect],
    mut to: capnp::struct_list::Builder<'_, peer_capnp::suspect::Owned>,
) {
    for (index, suspect) in (0..to.len()).zip(suspects) {
        let mut entry = to.reborrow().get(index);
        entry.set_head(suspect.fingerprint.head);
        match suspect.fingerprint.body {
            None => entry.reborrow().init_body().set_unseen(()),
            Some(body) => entry.reborrow().init_body().set_digest(body),
        }
        entry.set_trials(suspect.trials);
        let left = suspect.expires_at.saturating_duration_since(now);
        entry.set_left_seconds(u32::try_from(left.as_secs()).unwrap_or(u32::MAX));
        let mut ends = entry.init_ends(list_len(&suspect.crashes));
        for (index, crash) in (0..ends.len()).zip(&suspect.crashes) {
            let mut entry = ends.reborrow().get(index);
            entry.set_id(crash.id);
            entry.set_service(crash.service);
            entry.set_cleared(crash.cleared);
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
        let mut entry = to.reborrow().get(index);
        entry.set_zone(&*zone.name);
        entry.set_evacuated(zone.evacuated);
        entry.set_epoch(zone.stamp.epoch);
        entry.set_revision(zone.stamp.revision);
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
