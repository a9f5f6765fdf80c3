//! When a node that starts, or that hears nobody, turns to the store.
//!
//! Load pattern: hundreds of nodes start within a third of a second, for the first time or after
//! a loss of all power, and every day some are replaced one by one. If each asks the store for
//! peers, routing table and preset, and takes itself for one of its regular users until it knows
//! better, a start costs seven calls: some 2,000 for a fleet of 300 that starts once, ten times
//! what its regular users ask in 40 seconds. So peers come first: the hosts named in the settings, and who is found
//! through them brings the routing table along. Where none is named, a few nodes go ahead and the
//! others find them by a read that may lag, which costs a tenth.

use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use siphasher::sip::SipHasher13;

use crate::configs::bootstrap::Settings;

/// How steeply the number of nodes that have looked rises over the spread: each eighth of it
/// brings 2.7 times as many, so that of up to some thousand nodes one to a few are first.
const STEEPNESS: f64 = 8.0;
/// First pause between two looks into the store by a node that knows nobody.
const PAUSE_LEAST: Duration = Duration::from_millis(150);
/// Longest such pause: peers that come back are found through hosts that were known, too.
const PAUSE_MOST: Duration = Duration::from_secs(4);
/// Pause before the routing table is asked for again, where the store fails or holds none yet.
const ROUTES_AGAIN: Duration = Duration::from_millis(500);

/// Which hosts the settings name to join through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// None, as when a fleet starts for the first time.
    Nobody,
    /// Others.
    Others,
    /// This one is among them, so others wait for what it knows.
    Own,
}

/// What a node knows at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// When a peer was last heard.
    pub heard_at: Option<Instant>,
    /// Whether any other host is taken to be there.
    pub peers: bool,
    /// Whether it has the routing table, or needs none.
    pub routes: bool,
    /// Whether it is among the few of its zone that use the store for all others.
    pub holder: bool,
}

/// Why a node follows documents in the store itself, or that it learns of them from peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Peers bring what changes.
    #[default]
    Member,
    /// It is among the few of its zone that read the store for all others.
    Reader,
    /// It has heard no peer for long and may be cut off from all of them.
    Isolated,
    /// The readers of its zone do not tell that the store answers them, and it answers this node.
    StandIn,
}

impl Role {
    /// Its name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Member => "member",
            Self::Reader => "reader",
            Self::Isolated => "isolated",
            Self::StandIn => "stand-in",
        }
    }
}

/// What to do after a look at the entries of others in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Join through those found.
    Join,
    /// Look again, at all that was written.
    LookAtLatest,
    /// Write an entry, so that others find this node.
    WriteEntry,
}

/// Decides when one node uses the store.
#[derive(Debug)]
pub struct Bootstrap {
    settings: Settings,
    isolated_after: Duration,
    started_at: Instant,
    look_at: Instant,
    routes_at: Instant,
    /// Looks made while nobody was known.
    looks: u32,
}

impl Bootstrap {
    /// A node that starts; `seed` tells nodes, and starts of one node, apart.
    #[must_use]
    pub fn new(
        settings: Settings,
        isolated_after: Duration,
        now: Instant,
        named: Named,
        seed: u64,
    ) -> Self {
        let draw = draw(seed);
        let named_until = now + settings.named_first.mul_f64(1.0 + draw);
        let routes_until = now + settings.routes_first.mul_f64(1.0 + draw);
        let (look_at, routes_at) = match named {
            Named::Nobody => {
                let look_at = now + settings.start_spread.mul_f64(place(draw));
                (look_at, look_at)
            }
            Named::Others => (named_until, routes_until),
            Named::Own => (named_until, now),
        };
        Self {
            settings,
            isolated_after,
            started_at: now,
            look_at,
            routes_at,
            looks: 0,
        }
    }

    /// Whether the node follows documents in the store and keeps an entry there, and why.
    #[must_use]
    pub fn role(&self, now: Instant, known: Known) -> Role {
        if known.holder && self.is_settled(now) {
            Role::Reader
        } else if self.is_isolated(now, known) {
            Role::Isolated
        } else {
            Role::Member
        }
    }

    /// Whether the node follows documents in the store and keeps an entry there.
    #[must_use]
    pub fn follows(&self, now: Instant, known: Known) -> bool {
        self.role(now, known) != Role::Member
    }

    /// Whether the node has run long enough to know most others.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.started_at + self.settings.settled_after
    }

    /// Whether no peer has been heard for long.
    #[must_use]
    pub fn is_isolated(&self, now: Instant, known: Known) -> bool {
        let heard_at = known.heard_at.unwrap_or(self.started_at);
        now > heard_at + self.isolated_after
    }

    /// Whether the node reads the routing table itself, since no peer has brought it.
    #[must_use]
    pub fn reads_routes(&self, now: Instant, known: Known) -> bool {
        !known.routes && now >= self.routes_at
    }

    /// The routing table was not to be had; it is asked for again after a pause.
    pub fn found_no_routes(&mut self, now: Instant) {
        self.routes_at = now + ROUTES_AGAIN;
    }

    /// Whether the node looks for others in the store, since it knows nobody.
    #[must_use]
    pub fn is_discovery_due(&self, now: Instant, known: Known) -> bool {
        !known.peers && now >= self.look_at
    }

    /// The node has looked for others and still knows nobody.
    pub fn found_nobody(&mut self, now: Instant) {
        let doubled = 2_u32.saturating_pow(self.looks);
        self.look_at = now + PAUSE_LEAST.saturating_mul(doubled).min(PAUSE_MOST);
        self.looks = self.looks.saturating_add(1);
    }
}

/// What follows a look that found `others` entries, at all that was written or not.
#[must_use]
pub const fn next_step(latest: bool, others: usize) -> Step {
    match (others, latest) {
        (0, false) => Step::LookAtLatest,
        (0, true) => Step::WriteEntry,
        _ => Step::Join,
    }
}

/// A number that tells hosts, and starts of one host, apart.
#[must_use]
pub fn seed(host: &str, incarnation: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    (host, incarnation).hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1.
fn draw(seed: u64) -> f64 {
    let mut hasher = SipHasher13::new();
    seed.hash(&mut hasher);
    let high = u32::try_from(hasher.finish() >> 32).unwrap_or(0);
    f64::from(high) / f64::from(u32::MAX)
}

/// Place in the spread of a node that drew this number: few are early.
fn place(draw: f64) -> f64 {
    let least = (-STEEPNESS).exp();
    1.0 + draw.max(least).ln() / STEEPNESS
}
