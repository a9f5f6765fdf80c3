//! An unrepeatable request runs at most once, and "not run" is true.

mod common;

use std::time::Duration;

use common::{bare_post, hosts, post, processes, processes_and_entry, runs, within};
use mintridge_bench::caller::{Call, Told};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_standin::scene::{Scene, wait_for};
use mintridge_standin::store::Faults;
use mintridge_standin::upstream::Manner;
use mintridge_store::keys::{CLAIMS, SEEDS};
use rstest::rstest;
use rustix::process::Signal;

/// The caller gets its answer, loses it, and asks again through another node with the
/// same key: it is told that the request may have run, and nothing runs again.
#[tokio::test]
async fn repeat_after_answer_is_refused_as_unknown() {
    let scene = processes(hosts(3)).await;
    assert!(scene.call(0, &post("first", "key")).await.is_success());
    let told = scene.call(1, &post("second", "key")).await;
    assert!(told.is_unknown(), "{told:?}");
    assert_eq!(runs(&scene, &["first", "second"]), 1);
}

/// The same key comes through all nodes at the same moment: one runs.
#[tokio::test]
async fn repeat_at_the_same_moment_runs_once() {
    let scene = processes(hosts(3)).await;
    for round in 0..10 {
        let key = format!("key-{round}");
        let ids: Vec<String> = (0..3).map(|n| format!("{key}-{n}")).collect();
        let calls: Vec<_> = ids.iter().map(|id| post(id, &key)).collect();
        let (a, b, c) = tokio::join!(
            scene.call(0, &calls[0]),
            scene.call(1, &calls[1]),
            scene.call(2, &calls[2])
        );
        let successes = [a, b, c].iter().filter(|told| told.is_success()).count();
        assert_eq!(successes, 1);
        let ran: u32 = ids.iter().map(|id| scene.runs(id)).sum();
        assert_eq!(ran, 1);
    }
}

/// The node beside the upstream is killed while the request runs. The caller is told
/// that it may have run; a repeat through another node, with the killed one replaced by
/// an empty one, is told the same.
#[tokio::test]
async fn repeat_after_guard_is_killed_runs_once() {
    let mut scene = processes_and_entry(1).await;
    scene.behave(0, |behaviour| behaviour.manner = Manner::Silent);
    let entry = scene.addresses(1).callers;
    let caller = scene.caller.clone();
    let first = tokio::spawn(async move { caller.call(entry, &post("first", "key")).await.told });
    wait_for("the request runs", || scene.runs("first") == 1).await;
    scene.kill(0).await;
    let told = first.await.expect("the caller lives");
    assert!(told.is_unknown(), "{told:?}");
    scene.behave(0, |behaviour| behaviour.manner = Manner::Serve);
    scene.start_node(0).expect("starts");
    scene.until_joined().await;
    let told = until_taken(&scene, 1, "second", "key").await;
    assert!(told.is_unknown(), "{told:?}");
    assert_eq!(runs(&scene, &["first", "second"]), 1);
}

/// The node beside the upstream is killed while the request runs, and another host
/// offers the same service: the entry does not send an unrepeatable request there.
#[rstest]
#[case::with_a_key(post("first", "key"))]
#[case::without_a_key(bare_post("first"))]
#[tokio::test]
async fn killed_guard_is_not_followed_by_another_host(#[case] call: Call) {
    let mut scene = processes_and_entry(2).await;
    common::all_behave(&scene, Manner::Silent);
    let entry = scene.addresses(2).callers;
    let caller = scene.caller.clone();
    let first = tokio::spawn(async move { caller.call(entry, &call).await.told });
    wait_for("the request runs", || scene.runs("first") == 1).await;
    let runs_on = |index: usize| scene.hosts[index].upstream.account().requests > 0;
    let killed = usize::from(!runs_on(0));
    scene.kill(killed).await;
    let told = first.await.expect("the caller lives");
    assert!(told.is_unknown(), "{told:?}");
    assert_eq!(scene.runs("first"), 1);
}

/// Asks until the refusal is about the key and not about a fleet still finding itself.
async fn until_taken(
    scene: &mintridge_standin::scene::Scene,
    index: usize,
    id: &str,
    key: &str,
) -> Told {
    loop {
        let told = scene.call(index, &post(id, key)).await;
        if !told.is_not_run() {
            return told;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The node the caller spoke to is killed while its request runs; the caller's connection
/// breaks, and its repeat through another node does not run.
#[tokio::test]
async fn repeat_after_entry_is_killed_runs_once() {
    let mut scene = processes(hosts(3)).await;
    for index in 0..3 {
        scene.behave(index, |behaviour| behaviour.service_micros = 300_000);
    }
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let first = tokio::spawn(async move { caller.call(entry, &post("first", "key")).await.told });
    wait_for("the request runs", || scene.runs("first") == 1).await;
    scene.kill(0).await;
    assert!(matches!(first.await, Ok(Told::Broken { .. })));
    let told = scene.call(1, &post("second", "key")).await;
    assert!(told.is_unknown(), "{told:?}");
    assert_eq!(runs(&scene, &["first", "second"]), 1);
}

/// The node beside the upstream is frozen while it waits for the store, past the
/// caller's deadline, and then woken. The caller is told by its deadline; whatever it was
/// told holds after the wake, and a repeat with the same key never makes two runs.
#[tokio::test]
async fn guard_frozen_before_hand_over_runs_nothing_late() {
    let scene = processes_and_entry(1).await;
    scene.store.set_faults(Faults {
        slow_millis: 300,
        ..Faults::default()
    });
    let entry = scene.addresses(1).callers;
    let caller = scene.caller.clone();
    let call = within(1_000, post("first", "key"));
    let first = tokio::spawn(async move { caller.call(entry, &call).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    scene.process(0).signal(Signal::STOP).expect("frozen");
    let heard = first.await.expect("the caller lives");
    assert!(heard.told.is_unknown(), "{:?}", heard.told);
    assert!(heard.took < Duration::from_secs(4), "{:?}", heard.took);
    scene.store.set_faults(Faults::default());
    scene.process(0).signal(Signal::CONT).expect("woken");
    let told = until_taken(&scene, 1, "second", "key").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        scene.runs("first"),
        0,
        "its deadline had passed before the wake"
    );
    assert!(runs(&scene, &["first", "second"]) <= 1, "{told:?}");
}

/// The store is out: a request with a key is refused at once, truthfully as not run, and
/// is told when to come back; when the store is back it runs.
#[tokio::test]
async fn store_out_refuses_keyed_requests_as_not_run() {
    let scene = processes(hosts(3)).await;
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let told = scene.call(0, &post("first", "key")).await;
    let Told::Refused {
        outcome,
        reason,
        retry_after,
        ..
    } = told
    else {
        panic!("{told:?}");
    };
    assert_eq!(
        (outcome, reason),
        (Outcome::NotRun, Reason::StoreUnavailable)
    );
    assert!(retry_after.is_some());
    assert_eq!(scene.runs("first"), 0);
    assert!(scene.call(0, &common::get("lookup")).await.is_success());
    assert!(scene.call(0, &bare_post("keyless")).await.is_success());
    scene.store.set_faults(Faults::default());
    assert!(scene.call(0, &post("first", "key")).await.is_success());
    assert_eq!(scene.runs("first"), 1);
}

/// The claim takes effect in the store, and the reply is lost or says that the store is
/// not available: the owner read back settles it, and the request runs once.
#[rstest]
#[case::lost(Faults { lose_replies: 1, ..Faults::default() })]
#[case::denied(Faults { deny_writes: 1, ..Faults::default() })]
#[tokio::test]
async fn store_reply_lost_runs_once(#[case] faults: Faults) {
    let scene = processes(hosts(3)).await;
    scene.store.set_faults(faults);
    let told = scene.call(0, &post("first", "key")).await;
    assert!(told.is_success(), "{told:?}");
    let told = scene.call(1, &post("second", "key")).await;
    assert!(told.is_unknown(), "{told:?}");
    assert_eq!(runs(&scene, &["first", "second"]), 1);
}

/// The claim takes effect only after the node gave up on it. The caller was told not run,
/// which stays true; its repeat runs at most once.
#[tokio::test]
async fn store_write_applied_late_runs_nothing_twice() {
    let scene = processes(hosts(3)).await;
    // The fault takes the next write, whichever it is: no entry of a node may come before the
    // claim. Each host is the only one of its zone, so that each node writes one.
    wait_for("all entries are there", || scene.store.count(SEEDS) == 3).await;
    scene.store.set_faults(Faults {
        late_writes: 1,
        late_millis: 1_500,
        ..Faults::default()
    });
    let told = scene.call(0, &post("first", "key")).await;
    assert!(told.is_not_run(), "{told:?}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    scene.call(1, &post("second", "key")).await;
    assert_eq!(scene.runs("first"), 0);
    assert!(scene.runs("second") <= 1);
}

/// The upstream runs the request and never answers: the caller is told unknown at its
/// deadline, and the request is not tried on another host.
#[tokio::test]
async fn silent_upstream_is_not_tried_again() {
    let scene = processes(hosts(3)).await;
    common::all_behave(&scene, Manner::Silent);
    for call in [post("keyed", "key"), bare_post("keyless")] {
        let call = within(500, call);
        let heard = scene.caller.call(scene.addresses(0).callers, &call).await;
        assert!(heard.told.is_unknown(), "{:?}", heard.told);
        assert!(heard.took < Duration::from_secs(3), "{:?}", heard.took);
        assert_eq!(scene.runs(&call.id), 1);
    }
}

/// Ends the upstream of the first host, and waits until its listener is closed: before that a
/// connection is accepted and reset, and a request on it may have run for all that the node can know.
async fn end_first_upstream(scene: &Scene) {
    let address = scene.hosts[0].upstream_address;
    scene.end_upstream(0);
    let refused = || std::net::TcpStream::connect(address).is_err();
    wait_for("connections are refused", refused).await;
}

/// The upstream does not accept connections: that is not run, and another host takes
/// the request under the claim it already has.
#[tokio::test]
async fn unreachable_upstream_is_left_for_another() {
    let scene = processes(hosts(2)).await;
    end_first_upstream(&scene).await;
    for round in 0..6 {
        let id = format!("id-{round}");
        let told = scene.call(0, &post(&id, &id)).await;
        assert!(told.is_success(), "{told:?}");
        assert_eq!(scene.runs(&id), 1);
    }
}

/// Every upstream refuses connections: not run, and the claim is given back, so that the
/// caller's repeat runs when they are back.
#[tokio::test]
async fn refused_everywhere_gives_the_claim_back() {
    let scene = processes(hosts(1)).await;
    end_first_upstream(&scene).await;
    let told = scene.call(0, &post("first", "key")).await;
    assert!(told.is_not_run(), "{told:?}");
    wait_for("the claim is given back", || scene.store.count(CLAIMS) == 0).await;
    let listener = tokio::net::TcpListener::bind(scene.hosts[0].upstream_address)
        .await
        .expect("binds again");
    let phase = tokio::sync::watch::Sender::new(mintridge_http::server::Phase::Open);
    let upstream = std::sync::Arc::clone(&scene.hosts[0].upstream);
    tokio::spawn(mintridge_standin::upstream::run(
        listener,
        upstream,
        phase.subscribe(),
    ));
    let told = until_taken(&scene, 0, "second", "key").await;
    assert!(told.is_success(), "{told:?}");
    assert_eq!(runs(&scene, &["first", "second"]), 1);
}

/// A repeatable request runs on a first host, which fails it, and is tried on a second,
/// which refuses it before it runs, or there is none left. The caller is told the
/// upstream's own answer or that it may have run; never that it did not.
#[rstest]
#[case::second_refuses(true)]
#[case::none_left(false)]
#[tokio::test]
async fn not_run_stays_true_after_a_first_attempt_that_ran(#[case] second_refuses: bool) {
    let scene = processes(hosts(2)).await;
    common::all_behave(&scene, Manner::FailSlowly);
    if second_refuses {
        scene.end_upstream(1);
    }
    let mut ran = 0;
    for n in 0..12 {
        let id = format!("id-{n}");
        let told = scene.call(0, &common::get(&id)).await;
        ran += scene.runs(&id);
        assert!(!told.is_not_run() || scene.runs(&id) == 0, "{id}: {told:?}");
    }
    assert!(ran > 0, "some ran");
}
