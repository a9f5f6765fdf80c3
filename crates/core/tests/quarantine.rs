//! Requests that end upstreams: who is blamed, what is held back, and what is tried.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mintridge_core::configs::quarantine::Settings;
use mintridge_core::fingerprint::{self, Fingerprint};
use mintridge_core::quarantine::{Change, Event, Peer, Quarantine, trial_host};
use mintridge_core::screen::Verdict;
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

fn ended(in_progress: &[Fingerprint]) -> Event {
    Event::Ended {
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

/// Tells each node all that the others know, until nobody hears news.
fn spread(now: Instant, nodes: &mut [Quarantine]) {
    loop {
        let all: Vec<_> = nodes
            .iter()
            .map(|node| node.updates_for(now, None))
            .collect();
        let mut news = false;
        for node in nodes.iter_mut() {
            for told in &all {
                news |= node.merge(now, told.clone()) != Change::None;
            }
        }
        if !news {
            return;
        }
    }
}

fn is_held(node: &Quarantine, now: Instant, fingerprint: Fingerprint) -> bool {
    !matches!(
        node.screen().judge(now, fingerprint),
        Verdict::Pass | Verdict::BodyDecides
    )
}

/// A caller repeats a request through any node, and it ends the upstream of three of them. Each
/// node saw one end; once they have told each other, all hold the request back, also one that saw
/// none. Two ends are not enough: second attempts meet as many by chance.
#[test]
fn seen_on_three_nodes_holds_back_everywhere() {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..4).map(node).collect();
    for (index, held) in [(0, false), (1, false), (2, true)] {
        nodes[index].seen(now, ended(&[request(7)]));
        spread(now, &mut nodes);
        for node in &nodes {
            assert_eq!(is_held(node, now, request(7)), held, "after {index}");
        }
    }
    assert!(!is_held(&nodes[3], now, request(8)));
}

/// One upstream ends three times, each time under the same request: three starts, three ends.
#[test]
fn seen_three_times_on_one_node_holds_back() {
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        assert_eq!(node.seen(now, ended(&[request(7)])), Change::Urgent);
    }
    assert!(is_held(&node, now, request(7)));
}

/// Six requests are in progress at each end. One that others send all the time is among them at
/// three of four ends, so by number alone it would be refused as well. The one present at all
/// four explains them.
#[test]
fn ended_blames_the_request_that_explains_most() {
    let now = Instant::now();
    let mut node = node(0);
    let (guilty, common) = (request(1), request(2));
    for n in 0..4 {
        let mut in_progress = vec![guilty];
        if n > 0 {
            in_progress.push(common);
        }
        in_progress.extend((0..4).map(|other| request(10 + 4 * n + other)));
        node.seen(now, ended(&in_progress));
    }
    assert!(is_held(&node, now, guilty));
    assert!(!is_held(&node, now, common));
}

/// Guards against a common request that is held back since it was in progress at a few ends at once.
#[test]
fn ended_blames_no_request_that_was_answered_until_then() {
    let now = Instant::now();
    let mut node = node(0);
    let (guilty, common) = (request(1), request(2));
    for _ in 0..20 {
        node.seen(now, answered("service", common));
    }
    for _ in 0..3 {
        node.seen(now, ended(&[guilty, common]));
    }
    assert!(is_held(&node, now, guilty));
    assert!(!is_held(&node, now, common));
}

/// Guards against a request that is spared for ever since it was answered before it began to end upstreams.
#[test]
fn ended_blames_a_request_that_was_answered_before() {
    let now = Instant::now();
    let mut node = node(0);
    let guilty = request(1);
    for _ in 0..20 {
        node.seen(now, answered("service", guilty));
    }
    for n in 0..3 {
        node.seen(now, ended(&[guilty, request(10 + n)]));
    }
    assert!(is_held(&node, now, guilty));
}

/// Guards against an innocent request that stays blamed in place of one that was answered before.
#[test]
fn ended_corrects_whom_it_blames_by_the_next_end() {
    let now = Instant::now();
    let mut node = node(0);
    let (guilty, slow) = (request(1), request(2));
    node.seen(now, answered("service", guilty));
    for _ in 0..3 {
        node.seen(now, ended(&[guilty, slow]));
    }
    node.seen(now, ended(&[guilty]));
    assert!(is_held(&node, now, guilty));
    assert!(!is_held(&node, now, slow));
}

/// Guards against a common request that is held back on nodes whose own upstream never answered it.
#[test]
fn ended_tells_other_nodes_what_was_answered_before() {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..4).map(node).collect();
    let (guilty, common) = (request(1), request(2));
    for node in &mut nodes[..3] {
        node.seen(now, answered("service", common));
        node.seen(now, ended(&[guilty, common]));
    }
    spread(now, &mut nodes);
    for node in &nodes {
        assert!(is_held(node, now, guilty));
        assert!(!is_held(node, now, common));
    }
}

/// Two requests end upstreams at the same time, each its own. Both are held back, since neither
/// explains the ends of the other.
#[test]
fn ended_blames_two_that_explain_different_ends() {
    let now = Instant::now();
    let mut node = node(0);
    for n in 0..3 {
        node.seen(now, ended(&[request(1), request(20 + n)]));
        node.seen(now, ended(&[request(2), request(30 + n)]));
    }
    assert!(is_held(&node, now, request(1)) && is_held(&node, now, request(2)));
}

/// A rack of upstreams is lost, and a request that is sent all the time was in progress on each.
/// The first answer to it shows that it is not to blame, on every node; so does an answer that
/// comes after it was held back.
#[rstest]
#[case::before_the_third(2)]
#[case::after_it(3)]
fn answered_clears_a_common_request(#[case] ends: u64) {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..5).map(node).collect();
    for index in 0..ends {
        let index = usize::try_from(index).expect("small");
        nodes[index].seen(now, ended(&[request(7)]));
    }
    spread(now, &mut nodes);
    nodes[4].seen(now, answered("service", request(7)));
    spread(now, &mut nodes);
    nodes[3].seen(now, ended(&[request(7)]));
    spread(now, &mut nodes);
    for node in &nodes {
        assert!(!is_held(node, now, request(7)));
    }
}

/// A part of a request's traffic goes to another service, which can run it. Its answers say
/// nothing of the service whose upstreams end.
#[test]
fn answered_by_another_service_clears_nothing() {
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.seen(now, ended(&[request(7)]));
        node.seen(now, answered("other", request(7)));
    }
    assert!(is_held(&node, now, request(7)));
}

/// A node hears late of an end that was cleared meanwhile: from one that was cut off and still
/// tells it as it was. What was cleared stays so, in whichever order news come.
#[test]
fn merge_keeps_what_was_cleared() {
    let now = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..3).map(node).collect();
    for _ in 0..3 {
        nodes[0].seen(now, ended(&[request(7)]));
    }
    let old = nodes[0].updates_for(now, None);
    nodes[1].merge(now, old.clone());
    nodes[1].seen(now, answered("service", request(7)));
    assert_eq!(nodes[1].merge(now, old.clone()), Change::None);
    assert!(!is_held(&nodes[1], now, request(7)));
    let told = nodes[1].updates_for(now, None);
    nodes[2].merge(now, told);
    nodes[2].merge(now, old);
    assert!(!is_held(&nodes[2], now, request(7)));
}

/// A node was cut off for longer than news are told, or has just started. The first exchange
/// brings what is held back, and takes back what it still holds back and others cleared.
#[test]
fn updates_for_brings_a_node_up_to_date_that_missed_the_news() {
    let began_at = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..2).map(node).collect();
    for _ in 0..3 {
        nodes[0].seen(began_at, ended(&[request(1)]));
        nodes[1].seen(began_at, ended(&[request(2)]));
    }
    spread(began_at, &mut nodes);
    nodes[0].seen(began_at, answered("service", request(2)));
    for _ in 0..3 {
        nodes[0].seen(began_at, ended(&[request(3)]));
    }
    let now = began_at + 60 * SECOND;
    assert!(
        nodes[0].updates_for(now, None).is_empty(),
        "news are told no more"
    );
    let from_late = Peer {
        digest: nodes[1].digest(),
        named: vec![],
    };
    let told = nodes[0].updates_for(now, Some(&from_late));
    nodes[1].merge(now, told.clone());
    assert!(is_held(&nodes[1], now, request(3)));
    let from_other = Peer {
        digest: nodes[0].digest(),
        named: told.iter().map(|suspect| suspect.fingerprint).collect(),
    };
    let told = nodes[1].updates_for(now, Some(&from_other));
    let from_late = Peer {
        digest: nodes[1].digest(),
        named: told.iter().map(|suspect| suspect.fingerprint).collect(),
    };
    let told = nodes[0].updates_for(now, Some(&from_late));
    nodes[1].merge(now, told);
    assert!(!is_held(&nodes[1], now, request(2)));
    assert_eq!(nodes[0].digest(), nodes[1].digest());
}

/// The same path with another body, from another client account or by another method is served as
/// before. What came of a body when the upstream ended may be too little to tell it by; then the
/// request is told by the rest.
#[rstest]
#[case::same(b"body", Some(4), true)]
#[case::other_body(b"other", Some(5), false)]
#[case::body_to_come(b"", None, false)]
fn judge_tells_bodies_apart(
    #[case] body: &[u8],
    #[case] declared: Option<u64>,
    #[case] held: bool,
) {
    let fingerprint = |body: &[u8], declared| {
        let mut digest = fingerprint::Body::new(declared);
        digest.take(body);
        Fingerprint {
            head: fingerprint::head("POST", "host", "/path", "account"),
            body: digest.digest(),
        }
    };
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.seen(now, ended(&[fingerprint(b"body", Some(4))]));
    }
    let asked = fingerprint(body, declared);
    assert_eq!(is_held(&node, now, asked), held);
    let verdict = node.screen().judge(now, asked);
    assert_eq!(verdict == Verdict::BodyDecides, asked.body.is_none());
    let other = fingerprint::head("POST", "host", "/path", "other");
    let other = Fingerprint {
        head: other,
        ..asked
    };
    assert_eq!(node.screen().judge(now, other), Verdict::Pass);
}

/// Upstreams end before the body of a request that is sent slowly has come.
#[test]
fn judge_holds_by_the_head_where_no_body_was_seen() {
    let now = Instant::now();
    let mut node = node(0);
    let unseen = Fingerprint {
        head: 7,
        body: None,
    };
    for _ in 0..3 {
        node.seen(now, ended(&[unseen]));
    }
    assert!(is_held(&node, now, unseen));
    assert!(is_held(&node, now, request(7)));
    node.seen(now, answered("service", request(7)));
    assert!(!is_held(&node, now, unseen));
}

/// A body that comes in parts has the digest of one that comes at once, however long it is.
#[rstest]
#[case::short(100)]
#[case::long(3 * fingerprint::BODY_MOST)]
fn digest_does_not_depend_on_parts(#[case] length: usize) {
    let bytes: Vec<u8> = (0..length)
        .map(|n| u8::try_from(n % 251).expect("small"))
        .collect();
    let mut whole = fingerprint::Body::new(None);
    whole.take(&bytes);
    whole.end();
    let mut parts = fingerprint::Body::new(u64::try_from(length).ok());
    for part in bytes.chunks(7) {
        parts.take(part);
    }
    assert!(whole.digest().is_some());
    assert_eq!(whole.digest(), parts.digest());
}

/// Callers go on for two minutes. One trial comes after ten seconds and one a minute later, and
/// the pauses grow; a trial that is told to other nodes counts there too.
#[test]
fn tried_waits_longer_each_time() {
    let began_at = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..3).map(node).collect();
    for _ in 0..3 {
        nodes[0].seen(began_at, ended(&[request(7)]));
    }
    spread(began_at, &mut nodes);
    let mut trials = Vec::new();
    for second in 0..400 {
        let now = began_at + second * SECOND;
        let due = nodes
            .iter()
            .position(|node| node.screen().judge(now, request(7)) == Verdict::Trial);
        if let Some(node) = due {
            nodes[node].seen(now, Event::Tried(request(7)));
            nodes[node].seen(now, ended(&[request(7)]));
            spread(now, &mut nodes);
            trials.push(second);
        }
    }
    assert_eq!(trials, vec![10, 70, 190]);
}

/// Its upstreams were mended: the trial is answered, and the request is served everywhere.
#[test]
fn tried_with_success_is_held_back_no_more() {
    let began_at = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.seen(began_at, ended(&[request(7)]));
    }
    let now = began_at + 10 * SECOND;
    assert_eq!(node.screen().judge(now, request(7)), Verdict::Trial);
    node.seen(now, Event::Tried(request(7)));
    node.seen(now, answered("service", request(7)));
    assert_eq!(node.screen().judge(now, request(7)), Verdict::Pass);
}

/// All nodes that know the same hosts name the same one, and each request may have another.
#[test]
fn trial_host_is_one_for_all() {
    let hosts: Vec<Arc<str>> = (0..20).map(|n| Arc::from(format!("host-{n}"))).collect();
    let mut named = BTreeMap::new();
    for number in 0..100 {
        let here = trial_host(request(number), hosts.iter()).expect("one of them");
        let there = trial_host(request(number), hosts.iter().rev());
        assert_eq!(Some(here), there);
        *named.entry(here).or_insert(0) += 1;
    }
    assert!(named.len() > 10, "{named:?}");
}

/// Somebody sends a thousand requests of this kind, or a zone is lost with a thousand in progress.
/// What is remembered stays bounded, and a request under which three upstreams ended stays.
#[test]
fn ended_a_thousand_times_remembers_the_worst() {
    let now = Instant::now();
    let mut node = node(0);
    for _ in 0..3 {
        node.seen(now, ended(&[request(0)]));
    }
    for number in 1..1000 {
        node.seen(now, ended(&[request(number)]));
    }
    assert_eq!(node.len(), Settings::default().suspects_most);
    assert!(is_held(&node, now, request(0)));
}

/// Nobody has sent it for an hour: it is forgotten on every node, also where it was heard of
/// later, and not brought back by one that still remembers.
#[test]
fn tick_forgets_what_is_no_longer_sent() {
    let began_at = Instant::now();
    let mut nodes: Vec<Quarantine> = (0..2).map(node).collect();
    for _ in 0..3 {
        nodes[0].seen(began_at, ended(&[request(7)]));
    }
    let later = began_at + 2 * SECOND;
    let told = nodes[0].updates_for(later, None);
    nodes[1].merge(later, told.clone());
    let hour_later = began_at + Settings::default().remember_for;
    for node in &mut nodes {
        node.tick(hour_later);
        assert_eq!(node.merge(hour_later, told.clone()), Change::None);
        assert!(node.is_empty());
    }
}

/// A fleet as it is seen by this replay.
struct Fleet {
    /// What the node beside each upstream knows.
    nodes: Vec<Quarantine>,
    /// When each upstream is there again.
    back_at: Vec<Instant>,
    ends: u32,
}

/// Replay of the load: nine upstreams that are back three seconds after an end; a request that
/// ends them, repeated twelve times a second through any node, each repeat by up to two attempts;
/// a tenth of a second until the news has spread. Placed like any other request it ends upstreams
/// for as long as it is sent; held back, no more than were under way when the third ended.
#[rstest]
#[case::placed_like_any_other(usize::MAX, 40, u32::MAX)]
#[case::held_back(3, 3, 8)]
fn replay_of_a_request_that_ends_upstreams(
    #[case] ends_least: usize,
    #[case] at_least: u32,
    #[case] at_most: u32,
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
        back_at: vec![began_at; 9],
        ends: 0,
    };
    let mut under_way: Vec<(Instant, usize)> = Vec::new();
    for step in 0..1_500_u32 {
        let now = began_at + step * Duration::from_millis(10);
        let due: Vec<usize> = under_way
            .iter()
            .filter(|(ends_at, _)| *ends_at <= now)
            .map(|(_, host)| *host)
            .collect();
        under_way.retain(|(ends_at, _)| *ends_at > now);
        for host in due {
            fleet.nodes[host].seen(now, ended(&[request(1), request(1_000 + u64::from(step))]));
            fleet.back_at[host] = now + 3 * SECOND;
            fleet.ends += 1;
        }
        if step % 10 == 0 {
            spread(now, &mut fleet.nodes);
        }
        if step % 8 != 0 {
            continue;
        }
        let free = (0..9).find(|host| {
            let busy = under_way.iter().any(|(_, other)| other == host);
            !busy && fleet.back_at[*host] <= now
        });
        if let Some(host) = free
            && !is_held(&fleet.nodes[host], now, request(1))
        {
            under_way.push((now + Duration::from_millis(100), host));
        }
    }
    assert!(
        fleet.ends >= at_least && fleet.ends <= at_most,
        "{}",
        fleet.ends
    );
}
