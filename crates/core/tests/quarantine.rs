//! Quarantine of requests that crash upstreams: culprits, trials and convergence between nodes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::configs::quarantine::Settings;
use mintridge_core::fingerprint::{self, Fingerprint};
use mintridge_core::quarantine::{Change, Event, Peer, Quarantine, trial_host};
use mintridge_core::screen::Verdict;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn request(number: u64) -> Fingerprint {
    Fingerprint {
        head: number,
        body: Some(1),
    }
}

fn node(number: u64) -> Quarantine {
    Quarantine::new(Settings::default(), number)
}

fn crashed(in_progress: &[Fingerprint]) -> Event {
    Event::Crashed {
        service: Arc::from("service"),
        in_progress: in_progress.to_vec(),
    }
}

fn answered(service: &str, fingerprint: Fingerprint) -> Event {
    Event::Answered {
        service: Arc::from(service),
        fingerprint,
    }
}

/// Exchanges updates between all nodes until none of them changes.
fn converge(now: Instant, nodes: &mut [Quarantine]) {
    loop {
        let updates: Vec<_> = nodes
            .iter()
            .map(|node| node.updates_for(now, None))
            .collect();
        let mut changed = false;
        for node in nodes.iter_mut() {
            for update in &updates {
                changed |= node.merge(now, update.clone()) != Change::None;
            }
        }
        if !changed {
            return;
        }
    }
}

fn is_quarantined(node: &Quarantine, now: Instant, fingerprint: Fingerprint) -> bool {
    !matches!(
        node.screen().check(now, fingerprint),
        Verdict::Pass | Verdict::NeedsBody
    )
}

/// Guards against a request that crashes upstreams beside several nodes and is never quarantined,
/// because each node observes only one crash. After an exchange, all nodes quarantine it, also one
/// that observed none. Two crashes do not suffice: an innocent request that is retried may have as
/// many by chance.
#[test]
fn record_quarantines_everywhere_after_crashes_on_three_nodes() {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..4).map(node).collect();
    for (index, quarantined) in [(0, false), (1, false), (2, true)] {
        nodes[index].record(now, crashed(&[request(7)]));
        converge(now, &mut nodes);
        for node in &nodes {
            assert_eq!(
                is_quarantined(node, now, request(7)),
                quarantined,
                "after {index}"
            );
        }
    }
    assert!(!is_quarantined(&nodes[3], now, request(8)));
}

/// Guards against counting crashed upstreams instead of crashes: one upstream restarts and crashes
/// three times under the same request.
#[test]
fn record_quarantines_after_three_crashes_on_one_node() {
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        assert_eq!(node.record(now, crashed(&[request(7)])), Change::Urgent);
    }
    assert!(is_quarantined(&node, now, request(7)));
}

/// Guards against an innocent, common request that is quarantined for its number of crashes alone.
/// Six requests are in progress at each crash, and the common one at three of four; the culprit is
/// in progress at all four and explains them.
#[test]
fn record_blames_the_request_that_explains_most() {
    let now = Instant::now();
    let mut node = node(0);
    let (culprit, common) = (request(1), request(2));
    for n in 0..4 {
        let mut in_progress = vec![culprit];
        if n > 0 {
            in_progress.push(common);
        }
        in_progress.extend((0..4).map(|other| request(10 + 4 * n + other)));
        node.record(now, crashed(&in_progress));
    }
    assert!(is_quarantined(&node, now, culprit));
    assert!(!is_quarantined(&node, now, common));
}

/// Guards against a common request that is quarantined because it was in progress at the same
/// crashes as the culprit: only the culprit, which was never answered before, is blamed.
#[test]
fn record_blames_the_unanswered_request_of_two() {
    let now = Instant::now();
    let mut node = node(0);
    let (culprit, common) = (request(1), request(2));
    for _ in 0..20 {
        node.record(now, answered("service", common));
    }
    for _ in 0..3 {
        node.record(now, crashed(&[culprit, common]));
    }
    assert!(is_quarantined(&node, now, culprit));
    assert!(!is_quarantined(&node, now, common));
}

/// Guards against a culprit that is never quarantined because it was answered before it started to
/// crash upstreams.
#[test]
fn record_blames_a_culprit_that_was_answered_before() {
    let now = Instant::now();
    let mut node = node(0);
    let culprit = request(1);
    for _ in 0..20 {
        node.record(now, answered("service", culprit));
    }
    for n in 0..3 {
        node.record(now, crashed(&[culprit, request(10 + n)]));
    }
    assert!(is_quarantined(&node, now, culprit));
}

/// Guards against an innocent request that stays quarantined instead of a culprit that was answered
/// before: the next crash without the innocent request corrects the blame.
#[test]
fn record_corrects_the_blame_at_the_next_crash() {
    let now = Instant::now();
    let mut node = node(0);
    let (culprit, slow) = (request(1), request(2));
    node.record(now, answered("service", culprit));
    for _ in 0..3 {
        node.record(now, crashed(&[culprit, slow]));
    }
    node.record(now, crashed(&[culprit]));
    assert!(is_quarantined(&node, now, culprit));
    assert!(!is_quarantined(&node, now, slow));
}

/// Guards against a common request that is quarantined on nodes whose own upstream never answered
/// it.
#[test]
fn record_reports_earlier_answers_to_other_nodes() {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..4).map(node).collect();
    let (culprit, common) = (request(1), request(2));
    for node in &mut nodes[..3] {
        node.record(now, answered("service", common));
        node.record(now, crashed(&[culprit, common]));
    }
    converge(now, &mut nodes);
    for node in &nodes {
        assert!(is_quarantined(node, now, culprit));
        assert!(!is_quarantined(node, now, common));
    }
}

/// Two requests crash different upstreams at the same time. Both are quarantined, since neither
/// explains the crashes of the other.
#[test]
fn record_blames_two_requests_that_explain_different_crashes() {
    let now = Instant::now();
    let mut node = node(0);
    for n in 0..3 {
        node.record(now, crashed(&[request(1), request(20 + n)]));
        node.record(now, crashed(&[request(2), request(30 + n)]));
    }
    assert!(is_quarantined(&node, now, request(1)) && is_quarantined(&node, now, request(2)));
}

/// Guards against a common request that stays quarantined after a rack of upstreams is lost with it
/// in progress on each. Its first answer clears it on every node, whether it arrives before or
/// after the request is quarantined.
#[rstest]
#[case::before_third_crash(2)]
#[case::after_third_crash(3)]
fn record_clears_a_common_request_that_is_answered(#[case] crashes: u64) {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..5).map(node).collect();
    for index in 0..crashes {
        let index = usize::try_from(index).expect("small");
        nodes[index].record(now, crashed(&[request(7)]));
    }
    converge(now, &mut nodes);
    nodes[4].record(now, answered("service", request(7)));
    converge(now, &mut nodes);
    nodes[3].record(now, crashed(&[request(7)]));
    converge(now, &mut nodes);
    for node in &nodes {
        assert!(!is_quarantined(node, now, request(7)));
    }
}

/// Guards against a culprit that is cleared by answers of another service, which gets a share of
/// the request's traffic and can run it.
#[test]
fn record_clears_nothing_after_an_answer_of_another_service() {
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.record(now, crashed(&[request(7)]));
        node.record(now, answered("other", request(7)));
    }
    assert!(is_quarantined(&node, now, request(7)));
}

/// Guards against a cleared crash that counts again when a node that was cut off sends its older
/// state. A cleared crash stays cleared in whichever order updates arrive.
#[test]
fn merge_keeps_cleared_crashes() {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..3).map(node).collect();
    for _ in 0..3 {
        nodes[0].record(now, crashed(&[request(7)]));
    }
    let outdated = nodes[0].updates_for(now, None);
    nodes[1].merge(now, outdated.clone());
    nodes[1].record(now, answered("service", request(7)));
    assert_eq!(nodes[1].merge(now, outdated.clone()), Change::None);
    assert!(!is_quarantined(&nodes[1], now, request(7)));
    let updates = nodes[1].updates_for(now, None);
    nodes[2].merge(now, updates);
    nodes[2].merge(now, outdated);
    assert!(!is_quarantined(&nodes[2], now, request(7)));
}

/// Guards against a node whose quarantine stays wrong after it was cut off for longer than changes
/// are gossiped, or after its start. The exchange after a digest mismatch adds the requests that
/// others quarantine and clears those that others have cleared.
#[test]
fn updates_for_catches_up_a_node_that_missed_changes() {
    let began_at = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..2).map(node).collect();
    for _ in 0..3 {
        nodes[0].record(began_at, crashed(&[request(1)]));
        nodes[1].record(began_at, crashed(&[request(2)]));
    }
    converge(began_at, &mut nodes);
    nodes[0].record(began_at, answered("service", request(2)));
    for _ in 0..3 {
        nodes[0].record(began_at, crashed(&[request(3)]));
    }
    let now = began_at + 60 * SECOND;
    assert!(
        nodes[0].updates_for(now, None).is_empty(),
        "changes are no longer gossiped"
    );
    let late_peer = Peer {
        digest: nodes[1].digest(),
        fingerprints: vec![],
    };
    let updates = nodes[0].updates_for(now, Some(&late_peer));
    nodes[1].merge(now, updates.clone());
    assert!(is_quarantined(&nodes[1], now, request(3)));
    let other_peer = Peer {
        digest: nodes[0].digest(),
        fingerprints: updates.iter().map(|suspect| suspect.fingerprint).collect(),
    };
    let updates = nodes[1].updates_for(now, Some(&other_peer));
    let late_peer = Peer {
        digest: nodes[1].digest(),
        fingerprints: updates.iter().map(|suspect| suspect.fingerprint).collect(),
    };
    let updates = nodes[0].updates_for(now, Some(&late_peer));
    nodes[1].merge(now, updates);
    assert!(!is_quarantined(&nodes[1], now, request(2)));
    assert_eq!(nodes[0].digest(), nodes[1].digest());
}

/// Guards against requests that are refused because they share the path of a quarantined request.
/// A request with another body, client account or method passes. If too little of the body has
/// arrived, the verdict waits for it.
#[rstest]
#[case::same(b"body", Some(4), true)]
#[case::other_body(b"other", Some(5), false)]
#[case::body_pending(b"", None, false)]
fn check_distinguishes_bodies(
    #[case] body: &[u8],
    #[case] declared: Option<u64>,
    #[case] quarantined: bool,
) {
    let fingerprint = |body: &[u8], declared| {
        let mut digest = fingerprint::Body::new(declared);
        digest.update(body);
        Fingerprint {
            head: fingerprint::head("POST", "host", "/path", "account"),
            body: digest.digest(),
        }
    };
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.record(now, crashed(&[fingerprint(b"body", Some(4))]));
    }
    let sent = fingerprint(body, declared);
    assert_eq!(is_quarantined(&node, now, sent), quarantined);
    let verdict = node.screen().check(now, sent);
    assert_eq!(verdict == Verdict::NeedsBody, sent.body.is_none());
    let other = fingerprint::head("POST", "host", "/path", "other");
    let other = Fingerprint {
        head: other,
        ..sent
    };
    assert_eq!(node.screen().check(now, other), Verdict::Pass);
}

/// Guards against a culprit that is never quarantined because its body is sent so slowly that
/// upstreams crash before it has arrived: the head alone identifies it.
#[test]
fn check_matches_the_head_if_no_body_arrived() {
    let now = Instant::now();
    let mut node = node(0);
    let without_body = Fingerprint {
        head: 7,
        body: None,
    };
    for _ in 0..3 {
        node.record(now, crashed(&[without_body]));
    }
    assert!(is_quarantined(&node, now, without_body));
    assert!(is_quarantined(&node, now, request(7)));
    node.record(now, answered("service", request(7)));
    assert!(!is_quarantined(&node, now, without_body));
}

/// Guards against a digest that depends on how a body is split into parts, so that retries of one
/// request get different fingerprints.
#[rstest]
#[case::short(100)]
#[case::long(3 * fingerprint::MAX_BODY_BYTES)]
fn digest_does_not_depend_on_parts(#[case] length: usize) {
    let bytes: Vec<u8> = (0..length)
        .map(|n| u8::try_from(n % 251).expect("small"))
        .collect();
    let mut whole = fingerprint::Body::new(None);
    whole.update(&bytes);
    whole.finish();
    let mut split = fingerprint::Body::new(u64::try_from(length).ok());
    for part in bytes.chunks(7) {
        split.update(part);
    }
    assert!(whole.digest().is_some());
    assert_eq!(whole.digest(), split.digest());
}

/// Guards against a request that crashes an upstream at a constant rate while its callers go on
/// retrying. The first trial is due after ten seconds, the second a minute later, then the delay
/// doubles; trials by other nodes count too.
#[test]
fn record_doubles_the_trial_delay() {
    let began_at = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..3).map(node).collect();
    for _ in 0..3 {
        nodes[0].record(began_at, crashed(&[request(7)]));
    }
    converge(began_at, &mut nodes);
    let mut trials = Vec::new();
    for second in 0..400 {
        let now = began_at + second * SECOND;
        let due = nodes
            .iter()
            .position(|node| node.screen().check(now, request(7)) == Verdict::Trial);
        if let Some(node) = due {
            nodes[node].record(now, Event::Tried(request(7)));
            nodes[node].record(now, crashed(&[request(7)]));
            converge(now, &mut nodes);
            trials.push(second);
        }
    }
    assert_eq!(trials, vec![10, 70, 190]);
}

/// Guards against a request that stays quarantined after its upstreams have been fixed: an answered
/// trial ends the quarantine.
#[test]
fn record_ends_the_quarantine_after_an_answered_trial() {
    let began_at = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.record(began_at, crashed(&[request(7)]));
    }
    let now = began_at + 10 * SECOND;
    assert_eq!(node.screen().check(now, request(7)), Verdict::Trial);
    node.record(now, Event::Tried(request(7)));
    node.record(now, answered("service", request(7)));
    assert_eq!(node.screen().check(now, request(7)), Verdict::Pass);
}

/// Guards against several nodes trying the same request: all nodes that know the same hosts choose
/// the same one. Different requests are distributed over the hosts.
#[test]
fn trial_host_is_the_same_on_all_nodes() {
    let hosts: Vec<Arc<str>> = (0..20).map(|n| Arc::from(format!("host-{n}"))).collect();
    let mut requests_per_host = BTreeMap::new();
    for number in 0..100 {
        let here = trial_host(request(number), hosts.iter()).expect("one of them");
        let there = trial_host(request(number), hosts.iter().rev());
        assert_eq!(Some(here), there);
        *requests_per_host.entry(here).or_insert(0) += 1;
    }
    assert!(requests_per_host.len() > 10, "{requests_per_host:?}");
}

/// Guards against unbounded memory when a caller sends a thousand requests that crash upstreams, or
/// an availability zone is lost with a thousand in progress. A request with three crashes is not
/// evicted.
#[test]
fn record_keeps_the_worst_suspect_after_a_thousand_crashes() {
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.record(now, crashed(&[request(0)]));
    }
    for number in 1..1000 {
        node.record(now, crashed(&[request(number)]));
    }
    assert_eq!(node.len(), Settings::default().suspects_most);
    assert!(is_quarantined(&node, now, request(0)));
}

/// Guards against a request that is never forgotten because nodes return it to each other. An hour
/// after its last crash every node forgets it, also one that learned of it later, and an update
/// that still contains it does not restore it.
#[test]
fn expire_forgets_requests_without_recent_crashes() {
    let began_at = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..2).map(node).collect();
    for _ in 0..3 {
        nodes[0].record(began_at, crashed(&[request(7)]));
    }
    let later = began_at + 2 * SECOND;
    let updates = nodes[0].updates_for(later, None);
    nodes[1].merge(later, updates.clone());
    let hour_later = began_at + Settings::default().remember_for;
    for node in &mut nodes {
        node.expire(hour_later);
        assert_eq!(node.merge(hour_later, updates.clone()), Change::None);
        assert!(node.is_empty());
    }
}

/// State of the simulated fleet.
struct Fleet {
    /// Quarantine of the node beside each upstream.
    nodes: Vec<Quarantine>,
    /// Time at which each upstream has restarted.
    restarted_at: Vec<Instant>,
    crashes: u32,
}

/// Guards against a request that crashes upstreams for as long as it is sent. Simulated load: nine
/// upstreams that have restarted three seconds after a crash; a request that crashes them, retried
/// twelve times a second through any node, each retry with up to two attempts; a tenth of a second
/// until an update has reached all nodes. Without quarantine the crashes continue; with it, only
/// requests already in flight at the third crash add more.
#[rstest]
#[case::without_quarantine(usize::MAX, 40, u32::MAX)]
#[case::with_quarantine(3, 3, 8)]
fn record_in_a_simulation_of_a_request_that_crashes_upstreams(
    #[case] ends_least: usize,
    #[case] min_crashes: u32,
    #[case] max_crashes: u32,
) {
    let began_at = Instant::now();
    let settings = Settings {
        ends_least,
        ..Settings::default()
    };
    let mut fleet = Fleet {
        nodes: (0..9)
            .map(|n| Quarantine::new(settings.clone(), n))
            .collect(),
        restarted_at: vec![began_at; 9],
        crashes: 0,
    };
    let mut in_flight: Vec<(Instant, usize)> = Vec::new();
    for step in 0..1_500_u32 {
        let now = began_at + step * Duration::from_millis(10);
        let due: Vec<usize> = in_flight
            .iter()
            .filter(|(crashes_at, _)| *crashes_at <= now)
            .map(|(_, host)| *host)
            .collect();
        in_flight.retain(|(crashes_at, _)| *crashes_at > now);
        for host in due {
            fleet.nodes[host].record(
                now,
                crashed(&[request(1), request(1_000 + u64::from(step))]),
            );
            fleet.restarted_at[host] = now + 3 * SECOND;
            fleet.crashes += 1;
        }
        if step % 10 == 0 {
            converge(now, &mut fleet.nodes);
        }
        if step % 8 != 0 {
            continue;
        }
        let free_host = (0..9).find(|host| {
            let busy = in_flight.iter().any(|(_, other)| other == host);
            !busy && fleet.restarted_at[*host] <= now
        });
        if let Some(host) = free_host
            && !is_quarantined(&fleet.nodes[host], now, request(1))
        {
            in_flight.push((now + Duration::from_millis(100), host));
        }
    }
    assert!(
        fleet.crashes >= min_crashes && fleet.crashes <= max_crashes,
        "{}",
        fleet.crashes
    );
}

/// Returns a node that has been isolated since its start.
fn isolated_node(number: u64) -> Quarantine {
    let mut node = node(number);
    node.set_isolated(Instant::now(), true);
    node
}

/// Guards against an isolated node whose upstream crashes until the node has counted up to the
/// threshold of the fleet by itself. Others are not told of its verdict, and its callers may soon
/// retry, since contact with another node ends it.
#[test]
fn record_quarantines_after_one_crash_while_isolated() {
    let now = Instant::now();
    let mut node = isolated_node(0);
    node.record(now, crashed(&[request(7)]));
    let Verdict::Quarantined(retry_at) = node.screen().check(now, request(7)) else {
        panic!("not quarantined");
    };
    assert!(retry_at <= now + SECOND);
    assert_eq!(node.screen().check(now, request(8)), Verdict::Pass);
    assert!(node.quarantined().is_empty());
    assert_eq!(node.digest(), 0);
}

/// Guards against innocent requests that an isolated node refuses because they were in progress
/// beside the culprit: a crash with two requests blames neither, and a second one only the request
/// that both share.
#[test]
fn record_blames_only_what_explains_all_crashes_while_isolated() {
    let now = Instant::now();
    let mut node = isolated_node(0);
    let culprit = request(1);
    node.record(now, crashed(&[culprit, request(2)]));
    assert!(!is_quarantined(&node, now, culprit) && !is_quarantined(&node, now, request(2)));
    node.record(now, crashed(&[culprit, request(3)]));
    assert!(is_quarantined(&node, now, culprit));
    assert!(!is_quarantined(&node, now, request(2)) && !is_quarantined(&node, now, request(3)));
    node.record(now, crashed(&[request(4)]));
    assert!(is_quarantined(&node, now, culprit) && is_quarantined(&node, now, request(4)));
}

/// Guards against a common request that an isolated node refuses after a crash during which it was
/// in progress: the upstream has answered it before.
#[rstest]
#[case::alone(&[2], false)]
#[case::beside_the_culprit(&[1, 2], true)]
fn record_blames_no_answered_request_while_isolated(
    #[case] in_progress: &[u64],
    #[case] culprit_quarantined: bool,
) {
    let now = Instant::now();
    let mut node = isolated_node(0);
    let (culprit, common) = (request(1), request(2));
    node.record(now, answered("service", common));
    let in_progress: Vec<_> = in_progress.iter().copied().map(request).collect();
    node.record(now, crashed(&in_progress));
    assert!(!is_quarantined(&node, now, common));
    assert_eq!(is_quarantined(&node, now, culprit), culprit_quarantined);
}

/// Guards against an innocent request that an isolated node refuses after its upstream lost power
/// and restarted. Three such restarts count as three crashes do.
#[test]
fn record_blames_nothing_after_one_restart_while_isolated() {
    let now = Instant::now();
    let mut node = isolated_node(0);
    let restarted = || Event::Restarted {
        service: Arc::from("service"),
        in_progress: vec![request(7)],
    };
    node.record(now, restarted());
    node.record(now, restarted());
    assert!(!is_quarantined(&node, now, request(7)));
    node.record(now, restarted());
    assert!(is_quarantined(&node, now, request(7)));
}

/// Guards against an innocent request that a node refuses once it is isolated, because of a single
/// crash that it learned of before.
#[test]
fn set_isolated_counts_no_earlier_crash() {
    let now = Instant::now();
    let mut nodes = [node(0), node(1)];
    nodes[0].record(now, crashed(&[request(7)]));
    nodes[1].record(now, crashed(&[request(8)]));
    converge(now, &mut nodes);
    nodes[0].set_isolated(now, true);
    nodes[0].record(now, crashed(&[request(9)]));
    assert!(is_quarantined(&nodes[0], now, request(9)));
    assert!(!is_quarantined(&nodes[0], now, request(7)));
    assert!(!is_quarantined(&nodes[0], now, request(8)));
}

/// Guards against an innocent request that stays refused after the node has contact again, and
/// against a crash that the other nodes never learn of.
#[test]
fn set_isolated_releases_what_no_other_node_confirms() {
    let began_at = Instant::now();
    let mut node = isolated_node(0);
    node.record(began_at, crashed(&[request(7)]));
    let now = began_at + 60 * SECOND;
    assert!(node.updates_for(now, None).is_empty());
    node.set_isolated(now, false);
    assert!(!is_quarantined(&node, now, request(7)));
    assert_eq!(node.updates_for(now, None).len(), 1);
    node.record(now, crashed(&[request(7)]));
    assert!(!is_quarantined(&node, now, request(7)));
}

/// Guards against a request that runs again at the first contact of an isolated node, because both
/// nodes refuse it and seem to agree.
#[test]
fn set_isolated_keeps_what_another_node_confirms() {
    let now = Instant::now();
    let mut peer = node(0);
    for _ in 0..3 {
        peer.record(now, crashed(&[request(7)]));
    }
    let now = now + 60 * SECOND;
    let mut node = isolated_node(1);
    node.record(now, crashed(&[request(7)]));
    let known = Peer {
        digest: node.digest(),
        fingerprints: vec![],
    };
    node.merge(now, peer.updates_for(now, Some(&known)));
    assert!(is_quarantined(&node, now, request(7)));
    node.set_isolated(now, false);
    assert!(is_quarantined(&node, now, request(7)));
    assert_eq!(node.digest(), peer.digest());
}

/// Guards against a request that a node which stays isolated refuses forever.
#[test]
fn check_tries_a_request_while_isolated() {
    let began_at = Instant::now();
    let mut node = isolated_node(0);
    node.record(began_at, crashed(&[request(7)]));
    let now = began_at + Settings::default().trial_after;
    assert_eq!(node.screen().check(now, request(7)), Verdict::Trial);
    node.record(now, Event::Tried(request(7)));
    assert!(is_quarantined(&node, now, request(7)));
    node.record(now, answered("service", request(7)));
    assert_eq!(node.screen().check(now, request(7)), Verdict::Pass);
}

/// Node that restarted while the fleet had a request in quarantine.
struct Restarted {
    quarantine: Quarantine,
    contact_at: Instant,
    upstream_back_at: Instant,
    crashes: u32,
}

/// Fleet of which some nodes restart at the same time.
#[derive(Clone, Copy)]
struct Restarts {
    nodes: usize,
    restarted: usize,
    /// Whether callers repeat the request through each restarted node; otherwise each repeat goes
    /// through one random node of the fleet.
    through_each: bool,
}

/// Guards against a request that crashes upstreams again and again beside nodes that restart without
/// contact. Simulated load: each restarted node is isolated for 0.1 to 3 s, callers repeat the
/// request twelve times a second, and crashed upstreams are back after half a second.
#[rstest]
#[case::of_12(12, 4)]
#[case::of_300(300, 42)]
#[case::of_510(510, 70)]
fn record_in_a_simulation_of_isolated_restarts(#[case] nodes: usize, #[case] restarted: usize) {
    for (seed, through_each) in (0..10).flat_map(|seed| [(seed, true), (seed, false)]) {
        let restarts = Restarts {
            nodes,
            restarted,
            through_each,
        };
        let unaware = simulate_restarts(seed, restarts, false);
        let aware = simulate_restarts(seed, restarts, true);
        println!("{nodes} nodes, seed {seed}: {unaware:?} without isolation, {aware:?} with it");
        assert!(!through_each || unaware.iter().any(|crashes| *crashes > 1));
        assert!(aware.iter().all(|crashes| *crashes <= 1));
        assert!(aware.iter().sum::<u32>() <= unaware.iter().sum());
    }
}

/// Returns the number of crashes beside each restarted node.
fn simulate_restarts(seed: u64, restarts: Restarts, knows_isolation: bool) -> Vec<u32> {
    const STEP: Duration = Duration::from_millis(10);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let began_at = Instant::now();
    let mut peer = node(u64::MAX);
    for _ in 0..3 {
        peer.record(began_at, crashed(&[request(1)]));
    }
    let restarted_at = began_at + 60 * SECOND;
    let restart = |number: u64| {
        let mut quarantine = node(number);
        quarantine.set_isolated(restarted_at, knows_isolation);
        Restarted {
            quarantine,
            contact_at: restarted_at + rng.random_range(10..300) * STEP,
            upstream_back_at: restarted_at,
            crashes: 0,
        }
    };
    let mut nodes: Vec<Restarted> = (0..).map(restart).take(restarts.restarted).collect();
    for step in 0..500_u32 {
        let now = restarted_at + step * STEP;
        let random_node = rng.random_range(0..restarts.nodes);
        for (index, node) in nodes.iter_mut().enumerate() {
            if now >= node.contact_at {
                let known = Peer {
                    digest: node.quarantine.digest(),
                    fingerprints: vec![],
                };
                node.quarantine
                    .merge(now, peer.updates_for(now, Some(&known)));
                node.quarantine.set_isolated(now, false);
            }
            let is_target = restarts.through_each || index == random_node;
            let is_repeated = step % 8 == 0 && is_target && now >= node.upstream_back_at;
            if is_repeated && !is_quarantined(&node.quarantine, now, request(1)) {
                node.quarantine.record(now, crashed(&[request(1)]));
                node.upstream_back_at = now + SECOND / 2;
                node.crashes += 1;
            }
        }
    }
    nodes.iter().map(|node| node.crashes).collect()
}
