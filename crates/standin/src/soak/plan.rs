//! Events of one run, drawn from its seed alone.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::relay::Condition;

/// Time of the first event: load runs without faults until then, so that the first fault hits open
/// connections.
const FIRST_EVENT_AT: Duration = Duration::from_millis(700);
/// Maximum gap between the beginnings of two events; events may last longer, so that they overlap.
const MAX_GAP: Duration = Duration::from_millis(900);
/// Maximum duration of an event.
const MAX_EVENT_DURATION: Duration = Duration::from_secs(3);

/// Minimum duration of a limit or a statement of leaving. Limits are checked after three seconds,
/// leaving after two.
const MIN_NOTICE_DURATION: Duration = Duration::from_secs(4);

/// Number of client accounts in runs with accounts.
const ACCOUNTS: u32 = 4;

/// Kinds of events that a run injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Planned operations only; no request may be cut off.
    Planned,
    /// All faults, mixed with planned operations.
    Mixed,
}

/// An event injected from outside the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A node gets SIGTERM and is started again once its process has ended.
    Stop,
    /// A node gets SIGHUP and reloads its settings.
    Reload,
    /// The upstream of a host announces that it is draining, and that it is ready at the end.
    Drain,
    /// Operators put a new preset in force.
    ChangePreset,
    /// The upstream of a host announces a restart under the same id.
    Restart,
    /// A node gets SIGKILL and is started again at the end.
    Kill,
    /// A node is paused with SIGSTOP until the end.
    Pause,
    /// The network from peers to a node has this condition until the end.
    PeerLink(Condition),
    /// The open connections from peers to a node stay open and carry no more data.
    StallPeerLinks,
    /// The network between a node and the store has this condition until the end.
    StoreLink(Condition),
    /// The store is down until the end.
    StoreDown,
    /// Calls to the store take this many milliseconds longer until the end.
    StoreSlow(u64),
    /// The next writes, this many, take effect and get no reply.
    StoreLosesReplies(u32),
    /// A write takes effect this many milliseconds late and gets no reply.
    StoreWritesLate(u64),
    /// Watches deliver no events until the end.
    StoreWatchesSilent,
    /// Reads return the state at the beginning of the event until the end.
    StoreReadsStale,
    /// A backup of the store is taken at the beginning, and the store is restored from it at the
    /// end.
    StoreRestore,
    /// The upstream of a host turns cold until the end without announcing it.
    TurnCold,
    /// The upstream of a host names this limit in its responses until the end, in requests per
    /// second.
    NameLimit(u32),
    /// The upstream of a host states in its responses that it is leaving, and is replaced at the
    /// end.
    StateLeaving,
}

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// When the event begins, counted from the start of the load.
    pub at: Duration,
    /// When the event ends, for events with a duration.
    pub until: Duration,
    /// Index of the affected host.
    pub host: usize,
    /// The event.
    pub event: Event,
}

/// Events of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Kinds of events in the run.
    pub mode: Mode,
    /// Whether a caller repeats a request that crashes upstreams.
    pub repeats_crash_request: bool,
    /// Whether upstreams turn cold, which lowers the rate that they sustain.
    pub has_cold_upstreams: bool,
    /// Whether upstreams name limits and state that they are leaving in their responses.
    pub has_notices: bool,
    /// Number of client accounts in the routing table; requests need keys if there are any.
    pub accounts: u32,
    /// Events in order of their beginning.
    pub entries: Vec<Entry>,
}

/// Draws the plan of a seed for a number of hosts and a duration of load. Every third seed has
/// planned operations only; in some of the others a request crashes upstreams, the store is
/// restored from older backups, upstreams turn cold, or they name limits and state leaving. In some of
/// both kinds requests need keys of client accounts.
#[must_use]
pub fn draw(seed: u64, hosts: usize, load: Duration) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mode = if seed.is_multiple_of(3) {
        Mode::Planned
    } else {
        Mode::Mixed
    };
    let mut entries = Vec::new();
    let mut at = FIRST_EVENT_AT;
    while at < load {
        let event = match mode {
            Mode::Planned => draw_planned(&mut rng),
            Mode::Mixed => draw_any(&mut rng),
        };
        entries.push(Entry {
            at,
            until: at + MAX_EVENT_DURATION.mul_f64(rng.random::<f64>()),
            host: rng.random_range(0..hosts),
            event,
        });
        at += MAX_GAP.mul_f64(rng.random::<f64>());
    }
    if mode == Mode::Mixed && seed % 10 == 4 {
        entries.extend(store_restores(&mut rng, load));
        entries.sort_by_key(|entry| entry.at);
    }
    let has_cold_upstreams = mode == Mode::Mixed && seed % 10 == 8;
    if has_cold_upstreams {
        entries.extend(cold_periods(&mut rng, hosts, load));
        entries.sort_by_key(|entry| entry.at);
    }
    let has_notices = mode == Mode::Mixed && seed % 10 == 5;
    if has_notices {
        entries.extend(notices(&mut rng, hosts, load));
        entries.sort_by_key(|entry| entry.at);
    }
    Plan {
        mode,
        has_notices,
        accounts: if seed % 10 == 6 { ACCOUNTS } else { 0 },
        repeats_crash_request: mode == Mode::Mixed && seed % 5 == 2,
        has_cold_upstreams,
        entries,
    }
}

/// One restore of the store in each half of the load.
fn store_restores(rng: &mut impl Rng, load: Duration) -> Vec<Entry> {
    let half = load / 2;
    let restore = |half_start: Duration, age: f64| {
        let at = half_start + FIRST_EVENT_AT;
        Entry {
            at,
            until: at + half.saturating_sub(FIRST_EVENT_AT).mul_f64(age),
            host: 0,
            event: Event::StoreRestore,
        }
    };
    vec![
        restore(Duration::ZERO, rng.random()),
        restore(half, rng.random()),
    ]
}

/// A series of cold periods, each of a random host.
fn cold_periods(rng: &mut impl Rng, hosts: usize, load: Duration) -> Vec<Entry> {
    let mut periods = Vec::new();
    let mut at = FIRST_EVENT_AT;
    while at < load {
        periods.push(Entry {
            at,
            until: at + MAX_EVENT_DURATION.mul_f64(rng.random::<f64>()),
            host: rng.random_range(0..hosts),
            event: Event::TurnCold,
        });
        at += MAX_GAP;
    }
    periods
}

/// A series of limits and statements of leaving, which last long enough to be checked.
fn notices(rng: &mut impl Rng, hosts: usize, load: Duration) -> Vec<Entry> {
    let mut notices = Vec::new();
    let mut at = FIRST_EVENT_AT;
    while at < load {
        let event = if rng.random::<bool>() {
            Event::NameLimit(rng.random_range(4..20))
        } else {
            Event::StateLeaving
        };
        notices.push(Entry {
            at,
            until: at + MIN_NOTICE_DURATION + MAX_EVENT_DURATION.mul_f64(rng.random::<f64>()),
            host: rng.random_range(0..hosts),
            event,
        });
        at += MAX_GAP;
    }
    notices
}

fn draw_planned(rng: &mut impl Rng) -> Event {
    match rng.random_range(0..4) {
        0 => Event::Stop,
        1 => Event::Reload,
        2 => Event::Drain,
        _ => Event::ChangePreset,
    }
}

fn draw_any(rng: &mut impl Rng) -> Event {
    match rng.random_range(0..15) {
        0 => Event::Kill,
        1 => Event::Pause,
        2 => Event::PeerLink(Condition::Cut),
        3 => Event::PeerLink(Condition::Silent),
        4 => Event::PeerLink(Condition::NoAnswers),
        5 => Event::StallPeerLinks,
        6 => Event::StoreLink(Condition::Silent),
        7 => Event::StoreDown,
        8 => Event::StoreSlow(rng.random_range(50..400)),
        9 => Event::StoreLosesReplies(rng.random_range(1..6)),
        10 => Event::StoreWritesLate(rng.random_range(100..2_000)),
        11 => Event::StoreWatchesSilent,
        12 => Event::StoreReadsStale,
        13 => Event::Restart,
        _ => draw_planned(rng),
    }
}
