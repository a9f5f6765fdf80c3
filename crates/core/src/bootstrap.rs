//! Decides when a node that starts, or that has lost contact with all peers, uses the store.
//!
//! Load pattern: hundreds of nodes start within a third of a second, for the first time or after
//! a power loss of the whole fleet, and every day some are replaced one by one. If each node asks
//! the store for peers, routing table and preset, and considers itself a designated reader of the
//! store until it learns of other nodes, a start costs seven calls a node: some 2,000 for one start
//! of a fleet of 300, ten times what its designated readers send in 40 seconds. Nodes therefore
//! contact peers first: the hosts named in the settings, and the peers found through them also
//! provide the routing table. Where no host is named, a few nodes use the store first and the
//! others find them there with a possibly stale read, which costs a tenth of a call.

use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use crate::configs::bootstrap::Settings;

/// Growth rate of the number of nodes that have read the store over the start spread: it grows
/// 2.7-fold with each eighth of the spread, so that of up to some thousand nodes one to a few are
/// first.
const STEEPNESS: f64 = 8.0;
/// Initial delay between two discovery attempts through the store by a node without peers.
const MIN_DISCOVERY_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum delay between two discovery attempts. It can be long because peers that return are also
/// found through previously known hosts.
const MAX_DISCOVERY_BACKOFF: Duration = Duration::from_secs(4);
/// Delay before the routing table is read again if the store fails or does not contain one yet.
const ROUTES_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How a node may have learned which requests are in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineSources {
    /// Whether it has read the list in the store since its start.
    pub list_read: bool,
    /// Whether it has known any other host since its start.
    pub peer_known: bool,
}

/// Kind of hosts that the settings name for joining the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contacts {
    /// No host, as on the first start of a fleet.
    None,
    /// Only other hosts.
    Others,
    /// This host is one of them, so other nodes wait for the data that it provides.
    IncludesOwn,
}

/// State of a node's knowledge at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot {
    /// When a peer was last in contact.
    pub last_contact_at: Option<Instant>,
    /// Whether any other host is alive or suspected.
    pub has_peers: bool,
    /// Whether the node has the routing table or does not need one.
    pub has_routes: bool,
    /// Whether the node is one of the designated readers of the store in its zone.
    pub is_designated_reader: bool,
}

/// Whether a node receives changes of documents, such as the routing table, from its peers, or
/// watches the documents in the store, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// The node receives changes from peers.
    #[default]
    Member,
    /// The node is one of the designated readers of its zone, which read the store for all others.
    Reader,
    /// The node has had no contact with any peer for the isolation timeout and may be cut off.
    Isolated,
    /// The node acts in place of the designated readers of its zone: they do not report that the
    /// store answers them, while it answers this node. Decided by [`crate::failover`].
    ActingReader,
}

impl Role {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Reader => "reader",
            Self::Isolated => "isolated",
            Self::ActingReader => "stand-in",
        }
    }
}

/// Next step after reading the entries of other nodes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Join through the nodes found.
    Join,
    /// Read again, with the latest writes included.
    ReadLatest,
    /// Write an entry, so that other nodes find this one.
    WriteEntry,
}

/// Decides for one node when it uses the store.
#[derive(Debug)]
pub struct Bootstrap {
    settings: Settings,
    isolated_after: Duration,
    started_at: Instant,
    discovery_at: Instant,
    routes_read_at: Instant,
    /// Number of discovery attempts so far.
    discovery_attempts: u32,
}

impl Bootstrap {
    /// Creates the state of a node that starts; `seed` differs between nodes and between starts of
    /// one node.
    #[must_use]
    pub fn new(
        settings: Settings,
        isolated_after: Duration,
        now: Instant,
        named: Contacts,
        seed: u64,
    ) -> Self {
        let fraction = unit_fraction(seed);
        let named_deadline = now + settings.named_first.mul_f64(1.0 + fraction);
        let routes_deadline = now + settings.routes_first.mul_f64(1.0 + fraction);
        let (discovery_at, routes_read_at) = match named {
            Contacts::None => {
                let discovery_at = now + settings.start_spread.mul_f64(start_offset(fraction));
                (discovery_at, discovery_at)
            }
            Contacts::Others => (named_deadline, routes_deadline),
            Contacts::IncludesOwn => (named_deadline, now),
        };
        Self {
            settings,
            isolated_after,
            started_at: now,
            discovery_at,
            routes_read_at,
            discovery_attempts: 0,
        }
    }

    /// Returns the node's role: whether and why it watches documents in the store and keeps an
    /// entry there. Never returns [`Role::ActingReader`].
    #[must_use]
    pub fn role(&self, now: Instant, snapshot: Snapshot) -> Role {
        if snapshot.is_designated_reader && self.is_settled(now) {
            Role::Reader
        } else if self.is_isolated(now, snapshot) {
            Role::Isolated
        } else {
            Role::Member
        }
    }

    /// Whether the node watches documents in the store and keeps an entry there.
    #[must_use]
    pub fn follows_store(&self, now: Instant, snapshot: Snapshot) -> bool {
        self.role(now, snapshot) != Role::Member
    }

    /// Whether the node has run long enough to know most other nodes.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.started_at + self.settings.settled_after
    }

    /// Whether the node has had no contact with any peer for the isolation timeout.
    #[must_use]
    pub fn is_isolated(&self, now: Instant, snapshot: Snapshot) -> bool {
        let last_contact_at = snapshot.last_contact_at.unwrap_or(self.started_at);
        now > last_contact_at + self.isolated_after
    }

    /// Whether other nodes may have requests in quarantine that this node does not know of.
    ///
    /// A node that has just started knows nothing until a peer answers it or it has read the stored
    /// list. Later it depends on its peers; a node that never knew any has none to miss.
    #[must_use]
    pub fn may_lack_quarantine(
        &self,
        now: Instant,
        snapshot: Snapshot,
        sources: QuarantineSources,
    ) -> bool {
        let has_learned = snapshot.last_contact_at.is_some() || sources.list_read;
        !has_learned || sources.peer_known && self.is_isolated(now, snapshot)
    }

    /// Whether the node must read the routing table from the store now, since no peer has provided
    /// it.
    #[must_use]
    pub fn is_routes_read_due(&self, now: Instant, snapshot: Snapshot) -> bool {
        !snapshot.has_routes && now >= self.routes_read_at
    }

    /// Schedules the next read of the routing table, in case the last one did not find it.
    pub fn schedule_routes_retry(&mut self, now: Instant) {
        self.routes_read_at = now + ROUTES_RETRY_DELAY;
    }

    /// Whether the node must read the entries of other nodes in the store now, since it knows no
    /// peer.
    #[must_use]
    pub fn is_discovery_due(&self, now: Instant, snapshot: Snapshot) -> bool {
        !snapshot.has_peers && now >= self.discovery_at
    }

    /// Schedules the next discovery attempt with exponential backoff, in case the last one found no
    /// peer.
    pub fn schedule_discovery_retry(&mut self, now: Instant) {
        let factor = 2_u32.saturating_pow(self.discovery_attempts);
        self.discovery_at = now
            + MIN_DISCOVERY_BACKOFF
                .saturating_mul(factor)
                .min(MAX_DISCOVERY_BACKOFF);
        self.discovery_attempts = self.discovery_attempts.saturating_add(1);
    }
}

/// Returns the step after a read that found `others` entries of other nodes; `latest` is false if
/// the read could be stale.
#[must_use]
pub const fn next_step(latest: bool, others: usize) -> Step {
    match (others, latest) {
        (0, false) => Step::ReadLatest,
        (0, true) => Step::WriteEntry,
        _ => Step::Join,
    }
}

/// Returns a seed that differs between hosts and between starts of one host.
#[must_use]
pub fn seed(host: &str, incarnation: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    (host, incarnation).hash(&mut hasher);
    hasher.finish()
}

/// Returns a pseudorandom number from 0 to 1.
fn unit_fraction(seed: u64) -> f64 {
    let mut hasher = SipHasher13::new();
    seed.hash(&mut hasher);
    let high = u32::try_from(hasher.finish() >> 32).unwrap_or(0);
    f64::from(high) / f64::from(u32::MAX)
}

/// Maps a uniform number to a node's share of the start spread, so that few nodes are early.
fn start_offset(fraction: f64) -> f64 {
    let min_fraction = (-STEEPNESS).exp();
    1.0 + fraction.max(min_fraction).ln() / STEEPNESS
}
