//! A preset, once accepted, is in force everywhere and never reverts.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Replies, hosts, mixed_load, preset, start_processes, until_revision};
use mintridge_core::preset::{InForce, Preset, Revision};
use mintridge_node::settings::Settings;
use mintridge_standin::cost::calls_since;
use mintridge_standin::scene::{Scene, author, wait_for};
use mintridge_standin::store::Faults;
use mintridge_store::keys::{IN_FORCE, SEEDS};
use mintridge_store::presets::{self, Refused};
use rstest::rstest;
use rustix::process::Signal;

/// Puts ana's preset in force and ben's after it; what the store held in between, and the
/// latest.
async fn two_in_force(scene: &Scene) -> (Vec<u8>, InForce) {
    scene
        .activate_preset(preset(0.2), "ana")
        .await
        .expect("accepted");
    let old = scene.store.value(IN_FORCE).expect("written");
    let latest = scene
        .activate_preset(preset(0.3), "ben")
        .await
        .expect("accepted");
    (old, latest)
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

#[tokio::test]
async fn use_is_in_force_on_every_node_within_seconds() {
    let scene = start_processes(hosts(6)).await;
    for revision in 1..=3 {
        let mark = format!("operator-{revision}");
        let in_force = scene
            .activate_preset(preset(0.2), &mark)
            .await
            .expect("accepted");
        let accepted = Instant::now();
        until_revision(&scene, in_force.revision.0).await;
        // Generous beside the 5 s of the brief: the figure is measured elsewhere.
        assert!(accepted.elapsed() < Duration::from_secs(30));
    }
}

/// The operator switches presets while load runs: every node shows the new one, and no
/// caller sees anything of it.
#[tokio::test]
async fn use_under_load_cuts_nothing() {
    let scene = start_processes(hosts(3)).await;
    let load = mixed_load(&scene, 150.0, 3.0);
    let sending = tokio::spawn(async move {
        let mut replies = Replies::default();
        replies.run(&load).await;
        replies
    });
    for change in 1..=5_u32 {
        let preset = preset(f64::from(change) / 100.0);
        let mark = format!("operator-{change}");
        let in_force = scene
            .activate_preset(preset, &mark)
            .await
            .expect("accepted");
        until_revision(&scene, in_force.revision.0).await;
    }
    let replies = sending.await.expect("the load ends");
    replies.check(&scene);
    replies.all_succeeded();
}

/// Accepted, and at that moment the store goes out, or its watches fall silent: nodes
/// that have it pass it on, and those that watch read as well.
#[rstest]
#[case::silent_watches(Faults { silent_watches: true, ..Faults::default() })]
#[case::slow(Faults { slow_millis: 200, ..Faults::default() })]
#[tokio::test]
async fn use_reaches_all_although(#[case] faults: Faults) {
    let scene = start_processes(hosts(4)).await;
    scene.store.set_faults(faults);
    let in_force = scene
        .activate_preset(preset(0.2), "operator")
        .await
        .expect("accepted");
    until_revision(&scene, in_force.revision.0).await;
}

/// A preset is put in force, the store goes out, and the last node starts with an empty
/// memory and these settings: it learns the preset in force and the members from peers.
async fn last_node_learns_from_peers(mut scene: Scene, adjust: impl FnOnce(&mut Settings)) {
    let in_force = scene
        .activate_preset(preset(0.2), "operator")
        .await
        .expect("accepted");
    until_revision(&scene, in_force.revision.0).await;
    scene.store.set_faults(down());
    let last = scene.hosts.len() - 1;
    scene.kill(last).await;
    scene.start_node_with(last, adjust).expect("starts");
    until_revision(&scene, in_force.revision.0).await;
    scene.wait_until_joined().await;
}

/// A node starts with an empty memory while the store is out: it knows a peer from its
/// settings, and learns the preset in force and the members from it.
#[tokio::test]
async fn node_that_starts_during_an_outage_learns_from_peers() {
    let scene = start_processes(hosts(3)).await;
    let peers = vec![scene.addresses(0).control, scene.addresses(1).control];
    last_node_learns_from_peers(scene, |settings| settings.peers = peers).await;
}

/// The same, where the settings name hosts by another of their ports.
#[tokio::test]
async fn node_that_starts_during_an_outage_finds_peers_by_their_hosts() {
    let scene = start_processes(hosts(2)).await;
    let named = scene.addresses(0);
    last_node_learns_from_peers(scene, |settings| {
        settings.peers = vec![named.announcements];
        settings.peers_port = Some(named.control.port());
    })
    .await;
}

/// The store loses the entries by which nodes are found and does not say so, while it is out
/// or while it answers. Each node that keeps one writes it again once the store answers.
#[rstest]
#[case::during_an_outage(true)]
#[case::while_it_answers(false)]
#[tokio::test]
async fn entry_that_the_store_took_away_comes_back(#[case] outage: bool) {
    let mut plan = hosts(1);
    plan.adjust = |settings| settings.control.seeds_every = Duration::from_secs(1);
    let scene = start_processes(plan).await;
    let key = format!("{SEEDS}{}", scene.hosts[0].name);
    let is_there = || scene.store.value(&key).is_some();
    wait_for("the entry is there", is_there).await;
    if outage {
        scene.store.set_faults(down());
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    scene.store.remove(&key);
    scene.store.set_faults(Faults::default());
    wait_for("the entry is back", is_there).await;
}

/// Two operators change presets at the same moment, unaware of each other: one wins, and
/// the other is told who was first.
#[tokio::test]
async fn two_operators_one_wins_and_the_other_is_told() {
    let scene = start_processes(hosts(2)).await;
    let store = scene.operator_client();
    for name in ["day", "peak"] {
        let author = author("setup");
        presets::put(&store, name, preset(0.1), None, &author)
            .await
            .expect("accepted");
    }
    let standing = presets::in_force(&store).await.expect("read");
    let day = presets::get(&store, "day").await.expect("read");
    let peak = presets::get(&store, "peak").await.expect("read");
    let (ana, ben) = (author("ana"), author("ben"));
    let (first, second) = tokio::join!(
        presets::activate_from(&store, &day, &standing, &ana),
        presets::activate_from(&store, &peak, &standing, &ben)
    );
    let (won, lost) = match (first, second) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        other => panic!("{other:?}"),
    };
    let Refused::Conflict(found) = lost else {
        panic!("{lost:?}");
    };
    assert_eq!(found.changed_by, won.changed_by);
    until_revision(&scene, won.revision.0).await;
    scene
        .wait_until("the winner's", |status| {
            status.view.in_force.name == won.name
        })
        .await;
}

/// The write takes effect, and its reply is lost or says that the store is not available:
/// the command reads its own mark back and says truly that it took.
#[rstest]
#[case::lost(Faults { lose_replies: 1, ..Faults::default() })]
#[case::denied(Faults { deny_writes: 1, ..Faults::default() })]
#[tokio::test]
async fn use_with_a_lost_reply_says_that_it_took(#[case] faults: Faults) {
    let scene = start_processes(hosts(2)).await;
    let store = scene.operator_client();
    presets::put(&store, "day", preset(0.2), None, &author("ana"))
        .await
        .expect("accepted");
    scene.store.set_faults(faults);
    let in_force = presets::activate(&store, "day", &author("ana-2"))
        .await
        .expect("it took");
    assert_eq!(in_force.revision, Revision(1));
    until_revision(&scene, 1).await;
}

#[tokio::test]
async fn use_with_the_store_down_says_that_nothing_changed() {
    let scene = start_processes(hosts(2)).await;
    let store = scene.operator_client();
    presets::put(&store, "day", preset(0.2), None, &author("ana"))
        .await
        .expect("accepted");
    scene.store.set_faults(down());
    let refused = presets::activate(&store, "day", &author("ana-2"))
        .await
        .unwrap_err();
    assert!(
        matches!(refused, Refused::Unread(_) | Refused::NotChanged(_)),
        "{refused:?}"
    );
}

/// An edit of the preset in force is itself in force everywhere.
#[tokio::test]
async fn put_of_the_preset_in_force_is_in_force() {
    let scene = start_processes(hosts(2)).await;
    scene
        .activate_preset(preset(0.2), "ana")
        .await
        .expect("accepted");
    let store = scene.operator_client();
    let edited = presets::put(&store, "preset", preset(0.3), None, &author("ben")).await;
    let edited = edited.expect("accepted").expect("it is in force");
    until_revision(&scene, edited.revision.0).await;
    scene
        .wait_until("the edit", |status| {
            (status.view.in_force.preset.retry_share - 0.3).abs() < 1e-9
        })
        .await;
}

/// The store delivers old events again, holds what it held before, or holds garbage: no
/// node goes back, and the last good preset stays in force.
#[tokio::test]
async fn nothing_old_or_wrong_reverts_what_is_in_force() {
    let scene = start_processes(hosts(3)).await;
    let (old, _) = two_in_force(&scene).await;
    until_revision(&scene, 2).await;
    scene.store.replay(IN_FORCE, &old);
    scene.store.overwrite(IN_FORCE, &old);
    tokio::time::sleep(Duration::from_secs(3)).await;
    scene.store.overwrite(IN_FORCE, b"{ not a preset");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let wrong = InForce {
        revision: Revision(9),
        preset: Preset {
            probe_share: 7.0,
            ..Preset::default()
        },
        ..InForce::default()
    };
    let wrong = serde_json::to_vec(&wrong).expect("written");
    scene.store.overwrite(IN_FORCE, &wrong);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..3 {
        let status = scene.status(index).await.expect("it answers");
        assert_eq!(status.view.in_force.changed_by, Arc::from("ben"));
    }
}

/// The store comes back with what it held before, with nothing, or with garbage. The nodes
/// put back what is in force, so that the operator's next change is a later one: accepted,
/// and in force everywhere.
#[rstest]
#[case::older(Some(1))]
#[case::empty(None)]
#[case::garbage(Some(0))]
#[tokio::test]
async fn store_from_before_is_brought_up_to_date(#[case] revision: Option<u64>) {
    let scene = start_processes(hosts(3)).await;
    let (old, latest) = two_in_force(&scene).await;
    until_revision(&scene, latest.revision.0).await;
    match revision {
        Some(0) => scene.store.overwrite(IN_FORCE, b"{ not a preset"),
        Some(_) => scene.store.overwrite(IN_FORCE, &old),
        None => scene.store.remove(IN_FORCE),
    }
    wait_for("the store is up to date", || {
        let value = scene.store.value(IN_FORCE).unwrap_or_default();
        let held: Option<InForce> = serde_json::from_slice(&value).ok();
        held.is_some_and(|held| held.revision == latest.revision)
    })
    .await;
    let next = scene
        .activate_preset(preset(0.1), "carl")
        .await
        .expect("accepted");
    assert!(next.revision > latest.revision);
    until_revision(&scene, next.revision.0).await;
    scene
        .wait_until("carl's", |status| {
            &*status.view.in_force.changed_by == "carl"
        })
        .await;
}

/// A node is frozen while two changes are made, and wakes while the store is out: its
/// peers bring it to the latest.
#[tokio::test]
async fn frozen_node_catches_up_from_peers() {
    let scene = start_processes(hosts(3)).await;
    scene.process(2).signal(Signal::STOP).expect("frozen");
    scene
        .activate_preset(preset(0.2), "ana")
        .await
        .expect("accepted");
    scene
        .activate_preset(preset(0.3), "ben")
        .await
        .expect("accepted");
    scene
        .wait_until_on(&[0, 1], "in force", |status| {
            status.view.in_force.revision.0 >= 2
        })
        .await;
    scene.store.set_faults(down());
    scene.process(2).signal(Signal::CONT).expect("woken");
    scene
        .wait_until_on(&[2], "in force", |status| {
            status.view.in_force.revision.0 >= 2
        })
        .await;
}

/// The store is out for seconds. Callers see nothing of it; what the nodes that use it ask
/// meanwhile is paid for, and their return meets the store all at once. One node asks for the
/// preset every 0.6 s and renews its entry every half second, and asks for nothing else while
/// that fails. (It made 21 calls in three seconds when it asked for everything.)
#[tokio::test]
async fn store_that_is_out_is_asked_little() {
    let mut plan = hosts(1);
    plan.adjust = |settings| settings.control.seeds_every = Duration::from_millis(500);
    let scene = start_processes(plan).await;
    let key = format!("{SEEDS}{}", scene.hosts[0].name);
    wait_for("the entry is there", || scene.store.value(&key).is_some()).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    scene.store.set_faults(down());
    let before = scene.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let asked = calls_since(&scene.store.calls(), &before);
    assert!(asked <= 15.0, "{asked} calls");
    scene.store.remove(&key);
    scene.store.set_faults(Faults::default());
    wait_for("the entry is back", || scene.store.value(&key).is_some()).await;
}
