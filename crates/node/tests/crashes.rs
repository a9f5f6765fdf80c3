//! A request crashes each upstream that starts it, and its caller repeats it.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    Plan, Replies, add_entry, get, hosts, mixed_load, post_without_key, start_processes,
    start_processes_with_entry, with_timeout,
};
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_node::settings::Settings;
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::{Scene, loopback, wait_for};
use mintridge_standin::store::Faults;
use mintridge_standin::upstream::{BYTES, CRASHES};
use rstest::rstest;
use rustix::process::Signal;

/// How long the load runs and the caller repeats its request.
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// Pause between two repeats; the caller doesn't wait for a response before it tries another node.
const REPEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Time for every reachable node to learn of a crash.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for the quarantine to be written to the store, if the store is available.
const STORE_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without contact to a peer after which a node counts as isolated.
const ISOLATED_AFTER: Duration = Duration::from_secs(1);
/// Time for which a caller repeats its request through an isolated node; a crashed upstream is back
/// within a fifth of it.
const ISOLATED_REPEATS_DURATION: Duration = Duration::from_secs(6);
/// Limit on any wait for a condition, generous for busy machines.
const MAX_WAIT: Duration = Duration::from_secs(30);

fn crashing(id: &str) -> Call {
    Call {
        path: String::from(CRASHES),
        ..get(id)
    }
}

/// Returns the lines of a node's log that contain `message`.
fn log_lines(scene: &Scene, index: usize, message: &str) -> Vec<String> {
    let logs = scene.process(index).logs();
    let found = logs.into_iter().filter(|line| line.contains(message));
    found.collect()
}

/// An upstream crashes with three requests in progress. Its node logs the fingerprints of all
/// three, which repeats share, so that operators find the same request in the next crash as well.
#[tokio::test]
async fn crash_is_logged_with_all_requests_in_progress() {
    let scene = start_processes_with_entry(1).await;
    scene.crash_on(Some(CRASHES));
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = 500_000);
    let entry = scene.addresses(1).callers;
    let calls = ["/a", "/b", CRASHES].map(|path| Call {
        path: path.to_owned(),
        ..with_timeout(20_000, get(path))
    });
    let calls = calls.map(|call| {
        let caller = scene.caller.clone();
        tokio::spawn(async move { caller.call(entry, &call).await.reply })
    });
    for call in calls {
        assert!(call.await.expect("the caller lives").is_unknown());
    }
    let crash_lines = || log_lines(&scene, 0, "upstream ended with requests in progress");
    wait_for("the crash is logged", || !crash_lines().is_empty()).await;
    let crash_lines = crash_lines();
    assert_eq!(crash_lines.len(), 1, "{crash_lines:?}");
    assert!(
        crash_lines[0].contains(r#""in_progress":3"#),
        "{crash_lines:?}"
    );
    let crashes = scene.counter(0, "mintridge_upstream_ends_total").await;
    assert!((crashes - 1.0).abs() < f64::EPSILON, "{crashes}");
}

/// An upstream crashes, restarts and receives requests before it announces the restart. These
/// requests must not count as in progress at the crash.
#[tokio::test]
async fn end_of_an_upstream_is_told_without_what_its_next_start_got() {
    let scene = start_processes(hosts(1)).await;
    scene.announce_restart(0);
    scene.crash_on(Some(CRASHES));
    scene.update_behaviour(0, |behaviour| {
        behaviour.down_millis = 300;
        behaviour.unannounced_millis = 500;
    });
    scene.call(0, &crashing("ends")).await;
    let logged_crashes = || log_lines(&scene, 0, "upstream ended with requests in progress").len();
    wait_for("the crash is logged", || logged_crashes() == 1).await;
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = 2_000_000);
    let give_up_at = Instant::now() + MAX_WAIT;
    while scene.runs("after") == 0 {
        assert!(Instant::now() < give_up_at, "the request never ran");
        scene.call(0, &with_timeout(1_500, get("after"))).await;
    }
    wait_for("the start is announced", || {
        log_lines(&scene, 0, "upstream announced itself").len() == 2
    })
    .await;
    assert_eq!(logged_crashes(), 1);
}

/// An upstream aborts responses but keeps running: no crash is logged.
#[tokio::test]
async fn aborted_response_of_a_running_upstream_is_no_crash() {
    let scene = start_processes(hosts(1)).await;
    common::set_all_modes(&scene, mintridge_standin::upstream::Mode::BreakAnswers);
    let broken = Call {
        path: format!("{BYTES}1000"),
        ..get("broken")
    };
    assert!(!scene.call(0, &broken).await.is_success());
    common::set_all_modes(&scene, mintridge_standin::upstream::Mode::Serve);
    assert!(scene.call(0, &get("last")).await.is_success());
    assert!(log_lines(&scene, 0, "upstream ended").is_empty());
}

/// A request crashes each upstream that starts it, and its caller repeats it through any node, with
/// a new id each time. Without a quarantine each repeat is placed like a new request: all six
/// upstreams crash within 0.1 s, and 68 times in 12 s. The fingerprint of the request is in all 68
/// log lines, from every host, and that of a common request in 17. Load is not the cause, as most
/// lines report one request in progress.
///
/// Once three upstreams have crashed and the crashes have had time to spread, at most three more
/// repeats may reach an upstream. With the longer downtime no node sees three crashes of its own
/// before the others have to know of them.
#[rstest]
#[case::short_downtime(1_000)]
#[case::long_downtime(3_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_crashed_three_upstreams_reaches_few_more(#[case] down_millis: u64) {
    let scene = start_processes(hosts(6)).await;
    scene.crash_on(Some(CRASHES));
    for index in 0..6 {
        scene.update_behaviour(index, |behaviour| behaviour.down_millis = down_millis);
    }
    let others = mixed_load(&scene, 60.0, LOAD_DURATION.as_secs_f64());
    let others = tokio::spawn(async move {
        let mut replies = Replies::default();
        replies.run(&others).await;
        replies
    });
    let began_at = Instant::now();
    let mut third_crash_at = None;
    let mut late = Vec::new();
    let mut repeats = tokio::time::interval(REPEAT_INTERVAL);
    for n in 0.. {
        repeats.tick().await;
        let now = Instant::now();
        if now > began_at + LOAD_DURATION {
            break;
        }
        if scene.crashes() >= 3 {
            third_crash_at.get_or_insert(now);
        }
        let id = format!("repeat-{n}");
        if third_crash_at.is_some_and(|at| now > at + SPREAD_TIMEOUT) {
            late.push(id.clone());
        }
        let caller = scene.caller.clone();
        let entry = scene.addresses(n % 6).callers;
        tokio::spawn(async move { caller.call(entry, &crashing(&id)).await });
    }
    let replies = others.await.expect("the load ends");
    replies.check(&scene);
    assert!(
        third_crash_at.is_some(),
        "fewer than three upstreams crashed"
    );
    let reached: u32 = late.iter().map(|id| scene.runs(id)).sum();
    assert!(
        reached <= 3,
        "{reached} of {} late repeats reached an upstream, {} crashes in total",
        late.len(),
        scene.crashes()
    );
}

/// Sends a request through the nodes of these hosts in turn until all of them refuse it as
/// quarantined.
async fn send_until_quarantined(scene: &Scene, entries: &[usize], call: &Call) {
    let give_up_at = Instant::now() + MAX_WAIT;
    let mut refused = 0;
    for n in 0.. {
        assert!(Instant::now() < give_up_at, "never quarantined");
        let result = scene.call(entries[n % entries.len()], call).await;
        refused = if is_quarantined(&result) {
            refused + 1
        } else {
            0
        };
        if refused >= entries.len() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn is_quarantined(result: &Reply) -> bool {
    matches!(
        result,
        Reply::Refused {
            reason: Reason::Quarantined,
            outcome: Outcome::NotRun,
            ..
        }
    )
}

/// A request with a body, which is not idempotent, crashes upstreams. Once it is quarantined, the
/// refusal says that it did not run and when to retry. The same path with another body, or from
/// another client account, is served.
#[rstest]
#[case::short(14)]
#[case::longer_than_the_digest(40_000)]
#[tokio::test]
async fn request_with_another_body_or_account_is_served(#[case] length: usize) {
    let scene = start_processes(hosts(3)).await;
    scene.crash_on(Some(CRASHES));
    let crashing_call = Call {
        path: String::from(CRASHES),
        body: Bytes::from(vec![b'x'; length]),
        ..post_without_key("held")
    };
    send_until_quarantined(&scene, &[0, 1, 2], &crashing_call).await;
    let crashes = scene.crashes();
    let result = scene.call(0, &crashing_call).await;
    assert!(is_quarantined(&result), "{result:?}");
    let Reply::Refused { retry_after, .. } = result else {
        panic!("not refused");
    };
    assert!(retry_after.is_some_and(|seconds| seconds >= 1));
    scene.crash_on(None);
    let others = [
        Call {
            body: Bytes::from(vec![b'y'; length]),
            ..crashing_call.clone()
        },
        Call {
            client_account: String::from("other"),
            ..crashing_call.clone()
        },
    ];
    for other in others {
        send_until_served(&scene, 0, &other).await;
    }
    assert!(is_quarantined(&scene.call(1, &crashing_call).await));
    assert_eq!(scene.crashes(), crashes);
}

/// Repeats a request until it is served, as crashed upstreams need time to become healthy again.
async fn send_until_served(scene: &Scene, entry: usize, call: &Call) {
    let give_up_at = Instant::now() + MAX_WAIT;
    loop {
        let result = scene.call(entry, call).await;
        if result.is_success() {
            return;
        }
        assert!(!is_quarantined(&result), "{result:?}");
        assert!(Instant::now() < give_up_at, "never served: {result:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A node restarts without state after a request was quarantined, and a new node joins. Both refuse
/// the request as all other nodes do.
#[tokio::test]
async fn started_node_quarantines_what_the_others_do() {
    let mut scene = start_processes(hosts(3)).await;
    scene.crash_on(Some(CRASHES));
    send_until_quarantined(&scene, &[0, 1, 2], &crashing("held")).await;
    scene.kill(0).await;
    scene.start_node(0).expect("it starts");
    add_entry(&mut scene).await;
    scene.wait_until_joined().await;
    let crashes = scene.crashes();
    for entry in [0, 3] {
        for n in 0..10 {
            let result = scene.call(entry, &crashing(&format!("late-{n}"))).await;
            assert!(result.is_not_run(), "{result:?}");
        }
    }
    assert_eq!(scene.crashes(), crashes);
}

/// The upstreams are fixed while a request is quarantined. One upstream answers its trial, and from
/// then on it is served through all nodes.
#[tokio::test]
async fn request_is_served_again_once_its_trial_is_answered() {
    let adjust = |settings: &mut Settings| {
        settings.quarantine.trial_after = Duration::from_secs(2);
    };
    let scene = start_processes(Plan { adjust, ..hosts(3) }).await;
    scene.crash_on(Some(CRASHES));
    send_until_quarantined(&scene, &[0, 1, 2], &crashing("held")).await;
    scene.crash_on(None);
    for entry in 0..3 {
        let give_up_at = Instant::now() + MAX_WAIT;
        while !scene.call(entry, &crashing("mended")).await.is_success() {
            assert!(Instant::now() < give_up_at, "never tried");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Trials become due while callers repeat the request through every node: each trial crashes one
/// upstream, not one per node.
#[tokio::test]
async fn trial_crashes_one_upstream_at_most() {
    let adjust = |settings: &mut Settings| {
        settings.quarantine.trial_after = Duration::from_secs(2);
    };
    let scene = start_processes(Plan { adjust, ..hosts(4) }).await;
    scene.crash_on(Some(CRASHES));
    send_until_quarantined(&scene, &[0, 1, 2, 3], &crashing("held")).await;
    let crashes = scene.crashes();
    let until = Instant::now() + Duration::from_secs(6);
    for n in 0.. {
        if Instant::now() > until {
            break;
        }
        let entry = scene.addresses(n % 4).callers;
        let caller = scene.caller.clone();
        tokio::spawn(async move { caller.call(entry, &crashing(&format!("repeat-{n}"))).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(scene.crashes(), crashes + 1);
}

/// All upstreams of a service crash with a common request in progress that causes none of the
/// crashes. The common request must be served as soon as an upstream is available again.
#[tokio::test]
async fn common_request_is_served_after_a_loss_of_all_upstreams() {
    let scene = start_processes(hosts(4)).await;
    scene.crash_on(Some(CRASHES));
    let mut replies = Replies::default();
    for n in 0..2 {
        let load = mixed_load(&scene, 100.0, 1.0);
        let callers = tokio::spawn(async move {
            let mut replies = Replies::default();
            replies.run(&load).await;
            replies
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        for entry in 0..4 {
            let caller = scene.caller.clone();
            let entry = scene.addresses(entry).callers;
            let call = crashing(&format!("end-{n}-{entry}"));
            tokio::spawn(async move { caller.call(entry, &call).await });
        }
        callers.await.expect("the load ends").check(&scene);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    replies.run(&mixed_load(&scene, 100.0, 2.0)).await;
    replies.check(&scene);
    replies.all_succeeded();
}

/// All nodes lose power at once while a request is quarantined, so that none has it in memory. No
/// upstream may crash by its repeats again, since the quarantine is kept in the store.
#[tokio::test]
async fn quarantine_survives_a_loss_of_all_nodes() {
    let mut scene = start_processes(hosts(3)).await;
    scene.crash_on(Some(CRASHES));
    send_until_quarantined(&scene, &[0, 1, 2], &crashing("held")).await;
    tokio::time::sleep(STORE_WRITE_TIMEOUT).await;
    let crashes = scene.crashes();
    for index in 0..3 {
        scene.kill(index).await;
    }
    for index in 0..3 {
        scene.start_node(index).expect("it starts");
    }
    scene.wait_until_joined().await;
    for n in 0..30 {
        let result = scene.call(n % 3, &crashing(&format!("after-{n}"))).await;
        assert!(result.is_not_run(), "{result:?}");
    }
    assert_eq!(scene.crashes(), crashes);
}

/// Settings of a node that soon counts as isolated and never runs trials.
fn set_isolatable(settings: &mut Settings) {
    settings.control.isolated_after = ISOLATED_AFTER;
    settings.quarantine.trial_after = Duration::from_hours(1);
}

/// Settings as above, with which no node but the first answers exchanges.
fn set_unanswering(settings: &mut Settings) {
    set_isolatable(settings);
    if &*settings.host != "service-1" {
        settings.control.connections_most = 0;
    }
}

async fn start_isolatable(adjust: fn(&mut Settings)) -> Scene {
    start_processes(Plan { adjust, ..hosts(3) }).await
}

/// Restarts the node of the first host with a store that does not answer, so that it finds no peer.
async fn restart_without_contact(scene: &mut Scene) -> Arc<Relay> {
    let relay = Arc::new(Relay::default());
    relay.set(Condition::Silent);
    let (listener, address) = loopback().await.expect("a free port");
    tokio::spawn(Arc::clone(&relay).run(listener, scene.store_address));
    scene.kill(0).await;
    let started = scene.start_node_with(0, |settings| settings.store.address = address);
    started.expect("it starts");
    relay
}

/// Pauses all nodes but the first one and stops the store, until the first one is isolated.
async fn cut_off_first_node(scene: &Scene) {
    for index in 1..scene.hosts.len() {
        let paused = scene.process(index).signal(Signal::STOP);
        paused.expect("the process lives");
    }
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    tokio::time::sleep(2 * ISOLATED_AFTER).await;
}

/// Repeats the crashing request through the first node, without waiting for responses.
async fn repeat_through_first_node(scene: &Scene) {
    let entry = scene.addresses(0).callers;
    let began_at = Instant::now();
    let mut repeats = tokio::time::interval(REPEAT_INTERVAL);
    for n in 0.. {
        repeats.tick().await;
        if began_at.elapsed() > ISOLATED_REPEATS_DURATION {
            return;
        }
        let caller = scene.caller.clone();
        let call = crashing(&format!("isolated-{n}"));
        tokio::spawn(async move { caller.call(entry, &call).await });
    }
}

/// Guards against a node that counts crashes up to the threshold of the whole fleet although it
/// cannot hear of those that the others observe.
#[rstest]
#[case::new_process(true, set_isolatable)]
#[case::partitioned(false, set_isolatable)]
#[case::never_answered(false, set_unanswering)]
#[tokio::test]
async fn request_crashes_the_upstream_of_an_isolated_node_once(
    #[case] restarts: bool,
    #[case] adjust: fn(&mut Settings),
) {
    let mut scene = start_isolatable(adjust).await;
    scene.crash_on(Some(CRASHES));
    if restarts {
        send_until_quarantined(&scene, &[0, 1, 2], &crashing("held")).await;
        restart_without_contact(&mut scene).await;
    } else {
        cut_off_first_node(&scene).await;
    }
    let crashes = scene.crashes();
    repeat_through_first_node(&scene).await;
    assert_eq!(scene.crashes() - crashes, 1);
}

/// Guards against an innocent request that a node keeps refusing after a single crash although it
/// has caught up with the other nodes since.
#[tokio::test]
async fn request_blamed_by_an_isolated_node_is_served_once_it_has_contact() {
    let mut scene = start_isolatable(set_isolatable).await;
    let relay = restart_without_contact(&mut scene).await;
    scene.crash_on(Some(CRASHES));
    send_until_quarantined(&scene, &[0], &crashing("held")).await;
    assert_eq!(scene.crashes(), 1);
    scene.crash_on(None);
    relay.set(Condition::Normal);
    let give_up_at = Instant::now() + MAX_WAIT;
    while !scene.call(0, &crashing("innocent")).await.is_success() {
        assert!(Instant::now() < give_up_at, "never served");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
