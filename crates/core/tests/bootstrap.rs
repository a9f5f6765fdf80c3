//! Simulates the start of a fleet against a store that counts its calls.

use std::time::{Duration, Instant};

use mintridge_core::bootstrap::{
    Bootstrap, Contacts, QuarantineSources, Snapshot, Step, next_step,
};
use mintridge_core::configs::bootstrap::Settings;
use rstest::rstest;

const ISOLATED_AFTER: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(10);
/// Age of the data returned by a possibly stale read.
const STALENESS: Duration = Duration::from_secs(1);
/// Cost of a possibly stale read relative to any other call.
const STALE_READ_COST: f64 = 0.1;
/// Cost of writing the entry by which other nodes discover this one: a lease and a write.
const ENTRY_COST: f64 = 2.0;

fn settings() -> Settings {
    Settings {
        start_spread: Duration::from_secs(2),
        settled_after: Duration::from_secs(2),
        ..Settings::default()
    }
}

const fn empty_snapshot() -> Snapshot {
    Snapshot {
        last_contact_at: None,
        has_peers: false,
        has_routes: false,
        is_designated_reader: true,
    }
}

/// Starts a fleet without named hosts; returns the mean cost of store calls per node and the time
/// until all nodes have read the store.
fn simulate_start(nodes: u64) -> (f64, Duration) {
    let start = Instant::now();
    let node = |seed| Bootstrap::new(settings(), ISOLATED_AFTER, start, Contacts::None, seed);
    let mut waiting: Vec<Bootstrap> = (0..nodes).map(node).collect();
    let mut calls = 0.0;
    let mut written: Vec<Instant> = Vec::new();
    let mut now = start;
    while !waiting.is_empty() {
        now += TICK;
        let due = |node: &mut Bootstrap| node.is_discovery_due(now, empty_snapshot());
        for _ in waiting.extract_if(.., due) {
            calls += STALE_READ_COST;
            let visible = written.iter().filter(|at| **at + STALENESS <= now).count();
            if next_step(false, visible) == Step::Join {
                continue;
            }
            calls += 1.0;
            if next_step(true, written.len()) == Step::WriteEntry {
                calls += ENTRY_COST;
                written.push(now);
            }
        }
    }
    (
        calls / f64::from(u32::try_from(nodes).expect("few")),
        now - start,
    )
}

/// First start of a fleet. If each node asked the store for everything it needs, it would make
/// seven calls. A start must cost less than half a call per node in a large fleet, and all nodes
/// must have read the store within two seconds.
#[rstest]
#[case::small(12, 2.0)]
#[case::large(300, 0.5)]
#[case::target(510, 0.5)]
fn is_discovery_due_spread_over_a_first_start(#[case] nodes: u64, #[case] max_calls: f64) {
    let (calls, duration) = simulate_start(nodes);
    assert!(calls < max_calls, "{calls} calls for each of {nodes}");
    assert!(duration <= settings().start_spread + TICK, "{duration:?}");
}

/// A node is replaced while the fleet runs. A named host provides the routing table within a few
/// round trips, and all peers shortly afterwards. The node must not call the store, neither for
/// peers and routes nor as a designated reader, although it counts as one until it knows
/// the nodes that come before it in the order of readers.
#[test]
fn is_discovery_due_never_on_a_node_that_joins_through_peers() {
    let start = Instant::now();
    let node = Bootstrap::new(settings(), ISOLATED_AFTER, start, Contacts::Others, 7);
    for millis in 0..2_000 {
        let now = start + Duration::from_millis(millis);
        let has_routes = millis >= 12;
        let has_joined = millis >= 25;
        let snapshot = Snapshot {
            last_contact_at: has_joined.then_some(now),
            has_peers: has_joined,
            has_routes,
            is_designated_reader: true,
        };
        assert!(!node.is_discovery_due(now, snapshot) && !node.is_routes_read_due(now, snapshot));
        assert!(!node.follows_store(now, snapshot), "after {millis} ms");
    }
}

/// After a power loss of the whole fleet, the named hosts are down or have no data yet. A node must
/// read the routing table from the store within 30 ms and look for other nodes within 60 ms, since
/// its callers are rejected until then. With 250 to 500 ms for both, 32 requests at 28 nodes were
/// rejected as unconfigured, compared with one request.
#[test]
fn is_routes_read_due_in_time_without_named_hosts() {
    let start = Instant::now();
    for seed in 0..300 {
        let node = Bootstrap::new(settings(), ISOLATED_AFTER, start, Contacts::Others, seed);
        let routes_due_at = start + Duration::from_millis(30);
        assert!(node.is_routes_read_due(routes_due_at, empty_snapshot()));
        assert!(node.is_discovery_due(start + Duration::from_millis(60), empty_snapshot()));
    }
}

/// After a power loss of the whole fleet, the named hosts must read the routing table immediately,
/// since other nodes wait for it.
#[test]
fn is_routes_read_due_immediately_on_a_named_host() {
    let start = Instant::now();
    let node = Bootstrap::new(settings(), ISOLATED_AFTER, start, Contacts::IncludesOwn, 1);
    assert!(node.is_routes_read_due(start, empty_snapshot()));
}

/// A node is cut off from its peers but not from the store for half a minute. Its discovery
/// attempts must back off: without backoff a hundred such nodes made two hundred calls a second.
#[test]
fn schedule_discovery_retry_backs_off_while_cut_off() {
    let start = Instant::now();
    let mut node = Bootstrap::new(settings(), ISOLATED_AFTER, start, Contacts::Others, 1);
    let mut attempts = 0;
    for tick in 0..3_000 {
        let now = start + TICK * tick;
        if node.is_discovery_due(now, empty_snapshot()) {
            attempts += 1;
            node.schedule_discovery_retry(now);
        }
    }
    assert!((8..=12).contains(&attempts), "{attempts} attempts");
}

/// Guards against a node that trusts an empty or outdated quarantine: a new process to which neither
/// a peer nor the store has replied, and a node whose peers do not answer any more, or never did. A
/// host that is alone in its fleet is not isolated.
#[rstest]
#[case::new_process(None, false, false, true)]
#[case::new_process_with_peers(None, false, true, true)]
#[case::alone(None, true, false, false)]
#[case::in_contact(Some(Duration::from_secs(58)), false, true, false)]
#[case::partitioned(Some(Duration::from_secs(10)), true, true, true)]
#[case::never_answered(None, true, true, true)]
fn may_lack_quarantine_without_contact(
    #[case] contact_after: Option<Duration>,
    #[case] list_read: bool,
    #[case] peer_known: bool,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let node = Bootstrap::new(settings(), ISOLATED_AFTER, start, Contacts::None, 1);
    let snapshot = Snapshot {
        last_contact_at: contact_after.map(|after| start + after),
        ..empty_snapshot()
    };
    let sources = QuarantineSources {
        list_read,
        peer_known,
    };
    let now = start + Duration::from_mins(1);
    assert_eq!(node.may_lack_quarantine(now, snapshot, sources), expected);
}
