//! A leaving host gets no new requests after a few seconds, and a planned stop cuts none.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{
    ENTRY, Plan, RELAYED, Replies, get, hosts, mixed_load, post_without_key, relayed,
    start_processes, start_processes_with_entry, with_timeout,
};
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_core::preset::Preset;
use mintridge_node::announcement::State;
use mintridge_node::operators::Status;
use mintridge_node::settings::Settings;
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::{Scene, loopback, wait_for};
use mintridge_standin::store::Faults;
use rstest::rstest;
use rustix::process::Signal;

/// Time after the announcement within which a leaving host may still get new requests.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);

fn leaving(host: &str) -> Preset {
    Preset {
        leaving: BTreeSet::from([Arc::from(host)]),
        ..Preset::default()
    }
}

fn requests(scene: &Scene, index: usize) -> u64 {
    scene.hosts[index].upstream.counts().requests
}

/// One node gets SIGTERM under load. All requests must be answered. They are sent through the other
/// nodes only, because callers of the stopped node use another one once it closes.
#[tokio::test]
async fn stop_of_a_node_cuts_no_request() {
    let mut scene = start_processes(hosts(3)).await;
    let mut load = mixed_load(&scene, 150.0, 5.0);
    load.targets.remove(0);
    let sending = tokio::spawn(async move {
        let mut replies = Replies::default();
        replies.run(&load).await;
        replies
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    scene.stop(0).await;
    let replies = sending.await.expect("the load ends");
    replies.check(&scene);
    replies.all_succeeded();
}

/// The node of a service's only host is stopped. While its own callers are still being asked to
/// reconnect elsewhere, callers of another node must be served by the upstream as before. It is
/// unavailable only while nothing can reach it.
#[tokio::test]
async fn stop_serves_the_upstream_while_callers_leave() {
    let scene = start_processes_with_entry(1).await;
    scene
        .process(0)
        .signal(Signal::TERM)
        .expect("the signal is sent");
    let stopping = |status: Status| status.stopping;
    while !scene.status(0).await.is_some_and(stopping) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let result = scene.call(1, &get("while-leaving")).await;
    assert!(result.is_success(), "{result:?}");
    assert_eq!(scene.runs("while-leaving"), 1);
}

/// Failure: a stopping node admits requests that outlast it, because they are usually short. Symptom:
/// it aborts them when it ends, and no time is left for a retry. They must run elsewhere, while it goes on
/// serving those that end in time.
#[rstest]
#[case::unrepeatable(post_without_key, 6_000)]
#[case::repeatable(get, 3_200)]
#[tokio::test]
async fn stop_admits_no_request_that_outlasts_the_node(
    #[case] long_call: fn(&str) -> Call,
    #[case] timeout_ms: u64,
) {
    let plan = Plan {
        adjust: |settings| {
            settings.node.linger = Duration::from_millis(1800);
            settings.node.stop_within = Duration::from_millis(2500);
        },
        ..hosts(2)
    };
    let mut scene = start_processes(plan).await;
    // In the zone of the host that stops, so that requests are placed there first.
    let stay_in_zone =
        |settings: &mut Settings| settings.placement.zone_cost = Duration::from_secs(1);
    let added = scene.add_with("entry-1", "other", "zone-a", <_>::default(), stay_in_zone);
    added.await.expect("it starts");
    scene.wait_until_joined().await;
    let call_usual = async |name: &str, count: u32| {
        for n in 0..count {
            let call = with_timeout(500, long_call(&format!("{name}-{n}")));
            assert!(scene.call(2, &call).await.is_success(), "{call:?}");
        }
    };
    call_usual("usual", 20).await;
    let term = scene.process(0).signal(Signal::TERM);
    term.expect("the signal is sent");
    tokio::time::sleep(Duration::from_millis(700)).await;
    for index in 0..2 {
        scene.update_behaviour(index, |behaviour| behaviour.service_micros = 2_200_000);
    }
    let (entry, caller) = (scene.addresses(2).callers, scene.caller.clone());
    let long = (0..6).map(|n| {
        let (caller, call) = (caller.clone(), long_call(&format!("long-{n}")));
        tokio::spawn(async move {
            caller
                .call(entry, &with_timeout(timeout_ms, call))
                .await
                .reply
        })
    });
    let long: Vec<_> = long.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = requests(&scene, 0);
    for index in 0..2 {
        scene.update_behaviour(index, |behaviour| behaviour.service_micros = 5_000);
    }
    call_usual("short", 20).await;
    assert!(requests(&scene, 0) > before, "its capacity is not used");
    for (n, reply) in long.into_iter().enumerate() {
        let reply = reply.await.expect("the caller lives");
        assert!(reply.is_success(), "{reply:?}");
        assert_eq!(scene.runs(&format!("long-{n}")), 1);
    }
}

/// Failure: a stopping entry forwards a request with more time than it has left itself. Symptom: the
/// connection closes without an answer while the upstream works on.
#[tokio::test]
async fn stop_of_the_entry_node_answers_what_outlasts_it() {
    let plan = Plan {
        adjust: |settings| {
            settings.node.linger = Duration::from_millis(800);
            settings.node.stop_within = Duration::from_millis(1500);
        },
        ..hosts(2)
    };
    let scene = start_processes(plan).await;
    for index in 0..2 {
        scene.update_behaviour(index, |behaviour| behaviour.service_micros = 6_000_000);
    }
    let term = scene.process(0).signal(Signal::TERM);
    term.expect("the signal is sent");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let reply = scene
        .call(0, &with_timeout(10_000, post_without_key("long")))
        .await;
    assert!(
        matches!(
            reply,
            Reply::Refused {
                outcome: Outcome::Unknown,
                reason: Reason::Deadline,
                ..
            }
        ),
        "{reply:?}"
    );
    assert_eq!(scene.runs("long"), 1);
}

/// Failure: a request was accepted before the signal and runs for longer than the node. Symptom: its
/// connection closes without an answer. It must be told that it may have run, and must not run again.
#[rstest]
#[case::unrepeatable(post_without_key)]
#[case::repeatable(get)]
#[tokio::test]
async fn stop_answers_requests_in_progress_before_it_ends(#[case] call: fn(&str) -> Call) {
    let plan = Plan {
        adjust: |settings| settings.node.killed_after = Some(Duration::from_secs(3)),
        ..hosts(2)
    };
    let scene = start_processes(plan).await;
    for index in 0..2 {
        scene.update_behaviour(index, |behaviour| behaviour.service_micros = 10_000_000);
    }
    let (entry, caller) = (scene.addresses(0).callers, scene.caller.clone());
    let call = with_timeout(30_000, call("long"));
    let long = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the request runs", || scene.runs("long") == 1).await;
    let term = scene.process(0).signal(Signal::TERM);
    term.expect("the signal is sent");
    let reply = long.await.expect("the caller lives");
    assert!(
        matches!(
            reply,
            Reply::Refused {
                outcome: Outcome::Unknown,
                reason: Reason::Leaving,
                ..
            }
        ),
        "{reply:?}"
    );
    assert_eq!(scene.runs("long"), 1);
}

/// Failure: a stopping node does not use the time that the platform leaves it, or plans for more than
/// that. Symptom: a request that ends in time is aborted, or its connection closes without an answer.
/// The node gets SIGKILL at the end of that time, as from the platform.
#[rstest]
#[case::short(1_500, 800)]
#[case::long(7_000, 5_000)]
#[tokio::test]
async fn stop_uses_the_time_until_the_kill(#[case] killed_after_ms: u64, #[case] work_ms: u64) {
    let mut scene = start_processes(hosts(1)).await;
    let killed_after = Duration::from_millis(killed_after_ms);
    let stopping = |settings: &mut Settings| {
        settings.node.killed_after = Some(killed_after);
        settings.node.stop_within = Duration::from_secs(3);
    };
    let added = scene.add_with("entry-1", "other", "zone-a", <_>::default(), stopping);
    added.await.expect("it starts");
    scene.wait_until_joined().await;
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = work_ms * 1_000);
    let (entry, caller) = (scene.addresses(1).callers, scene.caller.clone());
    let call = with_timeout(60_000, post_without_key("long"));
    let long = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the request runs", || scene.runs("long") == 1).await;
    let term = scene.process(1).signal(Signal::TERM);
    term.expect("the signal is sent");
    tokio::time::sleep(killed_after).await;
    scene.kill(1).await;
    let reply = long.await.expect("the caller lives");
    assert!(reply.is_success(), "{reply:?}");
}

/// An entry node gets SIGTERM while a caller's request runs: the caller must get the whole
/// response.
#[tokio::test]
async fn stop_of_the_entry_node_finishes_requests_in_progress() {
    let mut scene = start_processes(hosts(2)).await;
    for index in 0..2 {
        scene.update_behaviour(index, |behaviour| behaviour.service_micros = 2_500_000);
    }
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let call = with_timeout(20_000, get("long"));
    let long = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the request runs", || scene.runs("long") == 1).await;
    scene.stop(0).await;
    assert!(long.await.expect("the caller lives").is_success());
}

/// A caller sends requests on one connection to a node that gets SIGTERM. Every response must be
/// whole, and one must carry `Connection: close`, so that the caller reconnects elsewhere before
/// the listener is closed.
#[tokio::test]
async fn stop_sends_connection_close_before_it_closes() {
    let mut scene = start_processes(hosts(2)).await;
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let sending = tokio::spawn(async move {
        loop {
            let answer = caller.send(entry, &get("again"), &[]).await;
            let answer = answer.expect("a response until the connection closes");
            assert!(answer.status().is_success(), "{}", answer.status());
            if answer.headers().contains_key("connection") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    scene.stop(0).await;
    sending
        .await
        .expect("the node asks the caller to reconnect");
}

/// An upstream announces under load that it drains. No request may fail, and after a few seconds it
/// gets no new ones.
#[tokio::test]
async fn drain_of_an_upstream_cuts_no_request() {
    let scene = start_processes(hosts(3)).await;
    let load = mixed_load(&scene, 150.0, 5.0);
    let sending = tokio::spawn(async move {
        let mut replies = Replies::default();
        replies.run(&load).await;
        replies
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    scene.announce(0, State::Draining);
    tokio::time::sleep(LEAVING_TIMEOUT).await;
    let before = requests(&scene, 0);
    let replies = sending.await.expect("the load ends");
    assert_eq!(requests(&scene, 0), before, "new requests after leaving");
    replies.check(&scene);
    replies.all_succeeded();
}

/// The preset in force names a host as leaving: the host finishes its requests, gets no new ones,
/// and serves again once a later preset no longer names it.
#[tokio::test]
async fn preset_drains_a_host_and_restores_it() {
    let scene = start_processes(hosts(3)).await;
    scene
        .activate_preset(leaving("service-1"), "out")
        .await
        .expect("accepted");
    scene
        .wait_until("all know that it leaves", |status| {
            status.view.members.iter().any(|record| {
                &*record.host == "service-1" && record.upstream.as_ref().is_some_and(|u| u.leaving)
            })
        })
        .await;
    let before = requests(&scene, 0);
    let mut replies = Replies::default();
    replies.run(&mixed_load(&scene, 100.0, 2.0)).await;
    replies.all_succeeded();
    assert_eq!(requests(&scene, 0), before);
    scene
        .activate_preset(Preset::default(), "back")
        .await
        .expect("accepted");
    scene
        .wait_until_on(&[0], "it is open again", |status| {
            status.guarded.closed.is_none()
        })
        .await;
    scene
        .wait_until("all know that it is back", |status| {
            status
                .view
                .members
                .iter()
                .all(|record| record.upstream.as_ref().is_some_and(|u| !u.leaving))
        })
        .await;
    replies.run(&mixed_load(&scene, 100.0, 2.0)).await;
    replies.all_succeeded();
    assert!(requests(&scene, 0) > before);
}

/// A node is paused while a preset drains its host, and resumes with requests already waiting in
/// its sockets. Its upstream must get none of them: they are refused as not run and run elsewhere.
/// The short pause is shorter than an announcement's lifetime, so the node can detect it only by
/// the pause itself; the long one outlasts every lease.
#[rstest]
#[case::short(Duration::from_millis(1_700))]
#[case::long(Duration::from_secs(12))]
#[tokio::test]
async fn paused_node_that_missed_the_preset_runs_nothing_on_resume(#[case] pause: Duration) {
    let scene = start_processes(hosts(3)).await;
    let before = requests(&scene, 0);
    let paused_at = Instant::now();
    scene.process(0).signal(Signal::STOP).expect("paused");
    scene
        .activate_preset(leaving("service-1"), "out")
        .await
        .expect("accepted");
    let in_force = |status: &Status| status.view.in_force.revision.0 == 1;
    scene.wait_until_on(&[1, 2], "in force", in_force).await;
    let entry = scene.addresses(0).callers;
    let waiting: Vec<_> = (0..30)
        .map(|n| {
            let caller = scene.caller.clone();
            let call = with_timeout(30_000, get(&format!("early-{n}")));
            tokio::spawn(async move { caller.call(entry, &call).await.reply })
        })
        .collect();
    tokio::time::sleep(pause.saturating_sub(paused_at.elapsed())).await;
    scene.process(0).signal(Signal::CONT).expect("resumed");
    for call in waiting {
        let result = call.await.expect("the caller lives");
        assert!(result.is_success() || result.is_not_run(), "{result:?}");
    }
    scene.wait_until_on(&[0], "in force", in_force).await;
    assert_eq!(
        requests(&scene, 0),
        before,
        "new requests on a leaving host"
    );
}

/// A node that is partitioned from peers and store has an outdated view and keeps sending requests
/// to a host that left. The guard there must refuse them as not run, and they run on another host
/// without an error for the caller.
///
/// A node also receives updates in the replies when it pushes its own upstream, which may be
/// discovered only after the host drains. Pushes are therefore disabled, and the only link over
/// which the node joined is cut.
#[tokio::test]
async fn requests_of_a_partitioned_entry_to_a_leaving_host_are_refused() {
    let mut scene = start_processes(hosts(2)).await;
    let (listener, relay_address) = loopback().await.expect("a free port");
    let relay = Arc::new(Relay::default());
    tokio::spawn(Arc::clone(&relay).run(listener, scene.addresses(0).control));
    scene
        .add_with("deaf", "other", "zone-a", <_>::default(), |settings| {
            settings.peers = vec![relay_address];
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
    scene.wait_until_on(&[2], "it knows both", knows_both).await;
    relay.set(Condition::Cut);
    scene.announce(0, State::Draining);
    scene
        .wait_until_on(&[0], "its guard knows", |status| {
            status.guarded.closed.is_some()
        })
        .await;
    let before = requests(&scene, 0);
    for n in 0..20 {
        let result = scene.call(2, &get(&format!("id-{n}"))).await;
        assert!(result.is_success(), "{result:?}");
    }
    let refused = scene
        .counter(
            0,
            "mintridge_guard_refusals_total{outcome=\"not-run\",reason=\"leaving\"}",
        )
        .await;
    assert!(
        refused >= 1.0,
        "the partitioned entry sent no request there"
    );
    assert_eq!(requests(&scene, 0), before);
}

/// A host drains while the store is down: its own node refuses requests, and the others learn of it
/// from their peers.
#[tokio::test]
async fn drain_needs_no_store() {
    let scene = start_processes(hosts(3)).await;
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    scene.announce(0, State::Draining);
    scene
        .wait_until("all know that it leaves", |status| {
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

/// Failure: a link from another node falls silent for good while the node beside it stops. Symptom:
/// without any request in progress the stop lasts until the process is aborted or killed.
#[tokio::test]
async fn stop_does_not_wait_for_a_silent_link() {
    let (mut scene, relay) = relayed().await;
    assert!(scene.call(ENTRY, &get("before")).await.is_success());
    relay.stall_open_connections();
    let started_at = Instant::now();
    scene.stop(RELAYED).await;
    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(20), "{took:?}");
}

/// Guards against a stop that takes the link of a long request for an unused one.
#[tokio::test]
async fn stop_waits_for_a_long_request_of_a_peer() {
    let mut scene = start_processes_with_entry(1).await;
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = 7_000_000);
    let (entry, caller) = (scene.addresses(1).callers, scene.caller.clone());
    let call = with_timeout(60_000, post_without_key("long"));
    let long = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the request runs", || scene.runs("long") == 1).await;
    scene.stop(0).await;
    let reply = long.await.expect("the caller lives");
    assert!(reply.is_success(), "{reply:?}");
}
