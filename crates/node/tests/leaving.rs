//! A leaving host gets nothing new after a few seconds; a planned stop cuts nothing.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Account, get, hosts, mixed_load, processes, processes_and_entry, within};
use mintridge_core::preset::Preset;
use mintridge_node::announcement::State;
use mintridge_node::operators::Status;
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::{Scene, loopback, wait_for};
use mintridge_standin::store::Faults;
use rstest::rstest;
use rustix::process::Signal;

/// How long after the announcement a host may still get new requests.
const FEW_SECONDS: Duration = Duration::from_secs(3);

fn leaving(host: &str) -> Preset {
    Preset {
        leaving: BTreeSet::from([Arc::from(host)]),
        ..Preset::default()
    }
}

fn requests(scene: &Scene, index: usize) -> u64 {
    scene.hosts[index].upstream.account().requests
}

/// Under load one node gets SIGTERM, and callers that speak to the others and to it see
/// every request answered. Callers of the stopped node go elsewhere once it closes.
#[tokio::test]
async fn stop_of_a_node_cuts_no_request() {
    let mut scene = processes(hosts(3)).await;
    let mut load = mixed_load(&scene, 150.0, 5.0);
    load.targets.remove(0);
    let sending = tokio::spawn(async move {
        let mut account = Account::default();
        account.run(&load).await;
        account
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    scene.stop(0).await;
    let account = sending.await.expect("the load ends");
    account.check(&scene);
    account.all_succeeded();
}

/// The only host of a service stops its node as planned. While callers of that node still
/// learn that they should go elsewhere, callers of another node are served by the upstream
/// as before; it is missing only while nothing can pass to it.
#[tokio::test]
async fn stop_serves_the_upstream_while_callers_leave() {
    let scene = processes_and_entry(1).await;
    scene.process(0).signal(Signal::TERM).expect("told to stop");
    let stopping = |status: Status| status.stopping;
    while !scene.status(0).await.is_some_and(stopping) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let told = scene.call(1, &get("while-leaving")).await;
    assert!(told.is_success(), "{told:?}");
    assert_eq!(scene.runs("while-leaving"), 1);
}

/// The node that a caller speaks to gets SIGTERM while the caller's request runs: the
/// caller gets its answer, whole.
#[tokio::test]
async fn stop_of_the_entry_finishes_what_it_has() {
    let mut scene = processes(hosts(2)).await;
    for index in 0..2 {
        scene.behave(index, |behaviour| behaviour.service_micros = 2_500_000);
    }
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let call = within(20_000, get("long"));
    let long = tokio::spawn(async move { caller.call(entry, &call).await.told });
    wait_for("the request runs", || scene.runs("long") == 1).await;
    scene.stop(0).await;
    assert!(long.await.expect("the caller lives").is_success());
}

/// A caller keeps one connection to a node and asks again and again while that node gets
/// SIGTERM: every answer is whole, and one of them says that the connection closes, so
/// that the caller goes elsewhere before the listener is gone.
#[tokio::test]
async fn stop_tells_callers_to_go_before_it_closes() {
    let mut scene = processes(hosts(2)).await;
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let asking = tokio::spawn(async move {
        loop {
            let answer = caller.send(entry, &get("again"), &[]).await;
            let answer = answer.expect("an answer until told to go");
            assert!(answer.status().is_success(), "{}", answer.status());
            if answer.headers().contains_key("connection") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    scene.stop(0).await;
    asking.await.expect("told to go");
}

/// An upstream announces that it drains, under load: nobody sees a failure, and after a
/// few seconds it gets nothing new.
#[tokio::test]
async fn drain_of_an_upstream_cuts_no_request() {
    let scene = processes(hosts(3)).await;
    let load = mixed_load(&scene, 150.0, 5.0);
    let sending = tokio::spawn(async move {
        let mut account = Account::default();
        account.run(&load).await;
        account
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    scene.announce(0, State::Draining);
    tokio::time::sleep(FEW_SECONDS).await;
    let before = requests(&scene, 0);
    let account = sending.await.expect("the load ends");
    assert_eq!(requests(&scene, 0), before, "new requests after leaving");
    account.check(&scene);
    account.all_succeeded();
}

/// The preset in force names a host as leaving: it finishes what it has, gets nothing
/// new, and serves again when a later preset no longer names it.
#[tokio::test]
async fn preset_takes_a_host_out_and_back() {
    let scene = processes(hosts(3)).await;
    scene
        .put_in_force(leaving("service-1"), "out")
        .await
        .expect("accepted");
    scene
        .until("all know that it leaves", |status| {
            status.view.members.iter().any(|record| {
                &*record.host == "service-1" && record.upstream.as_ref().is_some_and(|u| u.leaving)
            })
        })
        .await;
    let before = requests(&scene, 0);
    let mut account = Account::default();
    account.run(&mixed_load(&scene, 100.0, 2.0)).await;
    account.all_succeeded();
    assert_eq!(requests(&scene, 0), before);
    scene
        .put_in_force(Preset::default(), "back")
        .await
        .expect("accepted");
    scene
        .until_of(&[0], "it is open again", |status| {
            status.guarded.closed.is_none()
        })
        .await;
    scene
        .until("all know that it is back", |status| {
            status
                .view
                .members
                .iter()
                .all(|record| record.upstream.as_ref().is_some_and(|u| !u.leaving))
        })
        .await;
    account.run(&mixed_load(&scene, 100.0, 2.0)).await;
    account.all_succeeded();
    assert!(requests(&scene, 0) > before);
}

/// A host's node is frozen while a preset takes the host out, and wakes with requests
/// already waiting in its sockets: its upstream gets none of them. They are refused as not
/// run there and run elsewhere. The short pause is shorter than an announcement lasts, so
/// nothing but the pause itself can tell the node; the long one outlasts every lease.
#[rstest]
#[case::short(Duration::from_millis(1_700))]
#[case::long(Duration::from_secs(12))]
#[tokio::test]
async fn frozen_node_that_missed_the_preset_runs_nothing_on_waking(#[case] pause: Duration) {
    let scene = processes(hosts(3)).await;
    let before = requests(&scene, 0);
    let frozen_at = Instant::now();
    scene.process(0).signal(Signal::STOP).expect("frozen");
    scene
        .put_in_force(leaving("service-1"), "out")
        .await
        .expect("accepted");
    let in_force = |status: &Status| status.view.in_force.revision.0 == 1;
    scene.until_of(&[1, 2], "in force", in_force).await;
    let entry = scene.addresses(0).callers;
    let waiting: Vec<_> = (0..30)
        .map(|n| {
            let caller = scene.caller.clone();
            let call = within(30_000, get(&format!("early-{n}")));
            tokio::spawn(async move { caller.call(entry, &call).await.told })
        })
        .collect();
    tokio::time::sleep(pause.saturating_sub(frozen_at.elapsed())).await;
    scene.process(0).signal(Signal::CONT).expect("woken");
    for told in waiting {
        let told = told.await.expect("the caller lives");
        assert!(told.is_success() || told.is_not_run(), "{told:?}");
    }
    scene.until_of(&[0], "in force", in_force).await;
    assert_eq!(
        requests(&scene, 0),
        before,
        "new requests on a leaving host"
    );
}

/// A node that is cut off from peers and store still believes what it knew: it goes on
/// sending to a host that left. The guard there refuses as not run, the request goes to
/// another host, and its caller notices nothing.
///
/// A node hears of others also when it tells them of its own upstream, which may be found
/// only after the host drains: it tells nobody, and the one link by which it joined is cut.
#[tokio::test]
async fn entry_that_was_cut_off_sends_to_a_leaving_host_in_vain() {
    let mut scene = processes(hosts(2)).await;
    let (listener, joins_through) = loopback().await.expect("a free port");
    let relay = Arc::new(Relay::default());
    tokio::spawn(Arc::clone(&relay).run(listener, scene.addresses(0).control));
    scene
        .add_with("deaf", "other", "zone-a", <_>::default(), |settings| {
            settings.peers = vec![joins_through];
            settings.membership.period = Duration::from_hours(1);
            settings.membership.answer_within = Duration::from_secs(20);
            settings.control.connections_most = 0;
            settings.control.push_to = 0;
            settings.store.address = ([127, 0, 0, 1], 1).into();
        })
        .await
        .expect("starts");
    let knows_both = |status: &Status| {
        let others = status
            .seen
            .iter()
            .filter(|seen| &*seen.service == "service");
        others.count() == 2
    };
    scene.until_of(&[2], "it knows both", knows_both).await;
    relay.set(Condition::Cut);
    scene.announce(0, State::Draining);
    scene
        .until_of(&[0], "its guard knows", |status| {
            status.guarded.closed.is_some()
        })
        .await;
    let before = requests(&scene, 0);
    for n in 0..20 {
        let told = scene.call(2, &get(&format!("id-{n}"))).await;
        assert!(told.is_success(), "{told:?}");
    }
    let refused = scene
        .counter(
            0,
            "mintridge_guard_refusals_total{outcome=\"not-run\",reason=\"leaving\"}",
        )
        .await;
    assert!(refused >= 1.0, "the deaf entry did try");
    assert_eq!(requests(&scene, 0), before);
}

/// The store is out and a host drains: its own node refuses, and the others learn of it
/// from their peers.
#[tokio::test]
async fn drain_needs_no_store() {
    let scene = processes(hosts(3)).await;
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    scene.announce(0, State::Draining);
    scene
        .until("all know that it leaves", |status| {
            status
                .view
                .members
                .iter()
                .any(|record| record.upstream.as_ref().is_some_and(|u| u.leaving))
        })
        .await;
    let before = requests(&scene, 0);
    for n in 0..20 {
        assert!(
            scene
                .call(n % 3, &get(&format!("id-{n}")))
                .await
                .is_success()
        );
    }
    assert_eq!(requests(&scene, 0), before);
}
