//! Tests that an accepted preset comes into force on all nodes and is never reverted.

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
use mintridge_store::presets::{self, ChangeError};
use rstest::rstest;
use rustix::process::Signal;

/// Puts two presets in force, one after the other; returns the stored value of the first and the
/// second preset in force.
async fn activate_two(scene: &Scene) -> (Vec<u8>, InForce) {
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
async fn activation_reaches_every_node_within_seconds() {
    let scene = start_processes(hosts(6)).await;
    for revision in 1..=3 {
        let operator = format!("operator-{revision}");
        let in_force = scene
            .activate_preset(preset(0.2), &operator)
            .await
            .expect("accepted");
        let accepted = Instant::now();
        until_revision(&scene, in_force.revision.0).await;
        // The requirement is 5 s, which is measured elsewhere; this bound is generous.
        assert!(accepted.elapsed() < Duration::from_secs(30));
    }
}

/// Guards against requests that fail while an operator switches presets under load.
#[tokio::test]
async fn activation_under_load_fails_no_request() {
    let scene = start_processes(hosts(3)).await;
    let load = mixed_load(&scene, 150.0, 3.0);
    let sending = tokio::spawn(async move {
        let mut replies = Replies::default();
        replies.run(&load).await;
        replies
    });
    for change in 1..=5_u32 {
        let preset = preset(f64::from(change) / 100.0);
        let operator = format!("operator-{change}");
        let in_force = scene
            .activate_preset(preset, &operator)
            .await
            .expect("accepted");
        until_revision(&scene, in_force.revision.0).await;
    }
    let replies = sending.await.expect("the load ends");
    replies.check(&scene);
    replies.all_succeeded();
}

/// Guards against a preset that does not reach every node because the store's watches stop
/// delivering changes or its answers are slow. Nodes that have the preset pass it on, and nodes
/// that watch it also read it at intervals.
#[rstest]
#[case::silent_watches(Faults { silent_watches: true, ..Faults::default() })]
#[case::slow(Faults { slow_millis: 200, ..Faults::default() })]
#[tokio::test]
async fn activation_reaches_every_node_despite(#[case] faults: Faults) {
    let scene = start_processes(hosts(4)).await;
    scene.store.set_faults(faults);
    let in_force = scene
        .activate_preset(preset(0.2), "operator")
        .await
        .expect("accepted");
    until_revision(&scene, in_force.revision.0).await;
}

/// Puts a preset in force, takes the store down and restarts the last node without its state and
/// with these settings. The node must learn the preset and the members from peers.
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

/// Guards against a node that starts during an outage of the store and does not learn the preset
/// and the members from the peers that its settings name.
#[tokio::test]
async fn node_that_starts_during_an_outage_learns_from_peers() {
    let scene = start_processes(hosts(3)).await;
    let peers = vec![scene.addresses(0).control, scene.addresses(1).control];
    last_node_learns_from_peers(scene, |settings| settings.peers = peers).await;
}

/// The same, where the settings name a host with another port and set `peers_port` separately.
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

/// Guards against a node that can no longer be found because the store lost its seed without
/// reporting it, during an outage or while answering. The node must write the seed again.
#[rstest]
#[case::during_an_outage(true)]
#[case::while_it_answers(false)]
#[tokio::test]
async fn lost_seed_is_written_again(#[case] outage: bool) {
    let mut plan = hosts(1);
    plan.adjust = |settings| settings.control.seeds_every = Duration::from_secs(1);
    let scene = start_processes(plan).await;
    let key = format!("{SEEDS}{}", scene.hosts[0].name);
    let is_stored = || scene.store.value(&key).is_some();
    wait_for("the seed is stored", is_stored).await;
    if outage {
        scene.store.set_faults(down());
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    scene.store.remove(&key);
    scene.store.set_faults(Faults::default());
    wait_for("the seed is stored again", is_stored).await;
}

/// Guards against a change that is lost when two operators switch presets at the same moment. One
/// must win, and the other must get a conflict that names the winner.
#[tokio::test]
async fn concurrent_activations_conflict() {
    let scene = start_processes(hosts(2)).await;
    let store = scene.operator_client();
    for name in ["day", "peak"] {
        let author = author("setup");
        presets::put(&store, name, preset(0.1), None, &author)
            .await
            .expect("accepted");
    }
    let current = presets::in_force(&store).await.expect("read");
    let day = presets::get(&store, "day").await.expect("read");
    let peak = presets::get(&store, "peak").await.expect("read");
    let (ana, ben) = (author("ana"), author("ben"));
    let (first, second) = tokio::join!(
        presets::activate_from(&store, &day, &current, &ana),
        presets::activate_from(&store, &peak, &current, &ben)
    );
    let (won, lost) = match (first, second) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        other => panic!("{other:?}"),
    };
    let ChangeError::Conflict(found) = lost else {
        panic!("{lost:?}");
    };
    assert_eq!(found.changed_by, won.changed_by);
    until_revision(&scene, won.revision.0).await;
    scene
        .wait_until("the winner's preset is in force", |status| {
            status.view.in_force.name == won.name
        })
        .await;
}

/// Guards against an activation that is reported as failed although its write took effect and only
/// the reply was lost or reported the store as unavailable. The command reads its own write back.
#[rstest]
#[case::lost(Faults { lose_replies: 1, ..Faults::default() })]
#[case::denied(Faults { deny_writes: 1, ..Faults::default() })]
#[tokio::test]
async fn activation_with_a_lost_reply_is_confirmed(#[case] faults: Faults) {
    let scene = start_processes(hosts(2)).await;
    let store = scene.operator_client();
    presets::put(&store, "day", preset(0.2), None, &author("ana"))
        .await
        .expect("accepted");
    scene.store.set_faults(faults);
    let in_force = presets::activate(&store, "day", &author("ana-2"))
        .await
        .expect("activated");
    assert_eq!(in_force.revision, Revision(1));
    until_revision(&scene, 1).await;
}

#[tokio::test]
async fn activation_with_the_store_down_reports_no_change() {
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
        matches!(
            refused,
            ChangeError::ReadFailed(_) | ChangeError::NotChanged(_)
        ),
        "{refused:?}"
    );
}

/// Guards against an edit of the preset in force that is stored but does not come into force.
#[tokio::test]
async fn edit_of_the_preset_in_force_reaches_every_node() {
    let scene = start_processes(hosts(2)).await;
    scene
        .activate_preset(preset(0.2), "ana")
        .await
        .expect("accepted");
    let store = scene.operator_client();
    let edited = presets::put(&store, "preset", preset(0.3), None, &author("ben")).await;
    let edited = edited.expect("accepted").expect("in force");
    until_revision(&scene, edited.revision.0).await;
    scene
        .wait_until("the edit is in force", |status| {
            (status.view.in_force.preset.retry_share - 0.3).abs() < 1e-9
        })
        .await;
}

/// Guards against a node that reverts the preset in force because the store delivers old events
/// again or contains an older or invalid preset.
#[tokio::test]
async fn stale_or_invalid_presets_change_nothing() {
    let scene = start_processes(hosts(3)).await;
    let (old, _) = activate_two(&scene).await;
    until_revision(&scene, 2).await;
    scene.store.replay(IN_FORCE, &old);
    scene.store.overwrite(IN_FORCE, &old);
    tokio::time::sleep(Duration::from_secs(3)).await;
    scene.store.overwrite(IN_FORCE, b"{ not a preset");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let invalid = InForce {
        revision: Revision(9),
        preset: Preset {
            probe_share: 7.0,
            ..Preset::default()
        },
        ..InForce::default()
    };
    let invalid = serde_json::to_vec(&invalid).expect("written");
    scene.store.overwrite(IN_FORCE, &invalid);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..3 {
        let status = scene.status(index).await.expect("it answers");
        assert_eq!(status.view.in_force.changed_by, Arc::from("ben"));
    }
}

/// Guards against an operator's change that nodes ignore: the store now contains an older, no or an
/// invalid preset and accepts the change under a revision that is not newer than the preset in
/// force on the nodes. They must first write the preset in force back.
#[rstest]
#[case::older(Some(1))]
#[case::empty(None)]
#[case::garbage(Some(0))]
#[tokio::test]
async fn outdated_store_is_brought_up_to_date(#[case] revision: Option<u64>) {
    let scene = start_processes(hosts(3)).await;
    let (old, latest) = activate_two(&scene).await;
    until_revision(&scene, latest.revision.0).await;
    match revision {
        Some(0) => scene.store.overwrite(IN_FORCE, b"{ not a preset"),
        Some(_) => scene.store.overwrite(IN_FORCE, &old),
        None => scene.store.remove(IN_FORCE),
    }
    wait_for("the store is up to date", || {
        let value = scene.store.value(IN_FORCE).unwrap_or_default();
        let stored: Option<InForce> = serde_json::from_slice(&value).ok();
        stored.is_some_and(|stored| stored.revision == latest.revision)
    })
    .await;
    let next = scene
        .activate_preset(preset(0.1), "carl")
        .await
        .expect("accepted");
    assert!(next.revision > latest.revision);
    until_revision(&scene, next.revision.0).await;
    scene
        .wait_until("carl's preset is in force", |status| {
            &*status.view.in_force.changed_by == "carl"
        })
        .await;
}

/// Guards against a node that stays on an old preset because it was paused during two changes and
/// resumes while the store is down. It must catch up from its peers.
#[tokio::test]
async fn paused_node_catches_up_from_peers() {
    let scene = start_processes(hosts(3)).await;
    scene.process(2).signal(Signal::STOP).expect("paused");
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
    scene.process(2).signal(Signal::CONT).expect("resumed");
    scene
        .wait_until_on(&[2], "in force", |status| {
            status.view.in_force.revision.0 >= 2
        })
        .await;
}

/// Guards against excessive calls to a store that is down for seconds: the calls are billed, and
/// all nodes' retries reach the store at once when it recovers. A node reads the preset every 0.6 s
/// and renews its seed every half second, and sends nothing else while the renewal fails. A node
/// that sent all its calls made 21 in three seconds.
#[tokio::test]
async fn calls_to_a_store_that_is_down_are_limited() {
    let mut plan = hosts(1);
    plan.adjust = |settings| settings.control.seeds_every = Duration::from_millis(500);
    let scene = start_processes(plan).await;
    let key = format!("{SEEDS}{}", scene.hosts[0].name);
    wait_for("the seed is stored", || scene.store.value(&key).is_some()).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    scene.store.set_faults(down());
    let before = scene.store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = calls_since(&scene.store.calls(), &before);
    assert!(calls <= 15.0, "{calls} calls");
    scene.store.remove(&key);
    scene.store.set_faults(Faults::default());
    wait_for("the seed is stored again", || {
        scene.store.value(&key).is_some()
    })
    .await;
}
