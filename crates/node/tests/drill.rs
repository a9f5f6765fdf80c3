//! The store is restored from a copy that is some seconds old: later writes are lost, and revisions
//! and lease ids are assigned again.

mod common;

use std::time::Duration;

use common::{Scene, get, hosts, post, preset, start_processes, total_runs, until_revision};
use mintridge_core::preset::InForce;
use mintridge_standin::scene::wait_for;
use mintridge_standin::store::drill::Drill;
use mintridge_store::keys::SEEDS;
use rustix::process::Signal;
use tokio::time::Instant;

/// Time within which an accepted change must be in force on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the nodes must have rewritten their seeds after the store is restored.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Puts a preset in force and waits until every node reports it.
async fn activate_and_wait(scene: &Scene, retry_share: f64, operator: &str) -> InForce {
    let activated = scene.activate_preset(preset(retry_share), operator).await;
    let in_force = activated.expect("accepted");
    until_revision(scene, in_force.revision.0).await;
    in_force
}

async fn until_seeds(scene: &Scene, count: usize) {
    wait_for("all seeds are stored", || scene.store.count(SEEDS) == count).await;
}

/// The store is restored from a copy older than the preset in force. No node may ever report the
/// older preset, and a node that starts while the store contains it must learn the newer one from
/// its peers.
#[tokio::test]
async fn change_accepted_before_a_restore_stays_in_force() {
    let mut scene = start_processes(hosts(4)).await;
    activate_and_wait(&scene, 0.1, "first").await;
    scene.store.take_backup();
    let second = activate_and_wait(&scene, 0.2, "second").await;
    scene.kill(3).await;
    let drill = Drill {
        rewrite_delay: Duration::from_secs(8),
        ..Drill::default()
    };
    scene.store.drill(drill).await;
    scene.start_node(3).expect("starts");
    let check_until = Instant::now() + IN_FORCE_TIMEOUT;
    while Instant::now() < check_until {
        for index in 0..3 {
            let Some(status) = scene.status(index).await else {
                continue;
            };
            let revision = status.view.in_force.revision;
            assert!(revision >= second.revision, "{revision:?} on host {index}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let status = scene.status(3).await.expect("it runs");
    assert_eq!(status.view.in_force.revision, second.revision);
}

/// An operator changes the preset right after the store is restored. The store assigns the change a
/// revision that nodes have already seen, and it must be in force everywhere in time nevertheless.
#[tokio::test]
async fn change_after_a_restore_comes_into_force() {
    let scene = start_processes(hosts(3)).await;
    activate_and_wait(&scene, 0.1, "first").await;
    scene.store.take_backup();
    for n in 0..20 {
        let key = format!("key-{n}");
        assert!(scene.call(n % 3, &post(&key, &key)).await.is_success());
    }
    scene.store.drill(Drill::default()).await;
    let second = scene
        .activate_preset(preset(0.2), "second")
        .await
        .expect("accepted");
    let accepted_at = Instant::now();
    until_revision(&scene, second.revision.0).await;
    assert!(accepted_at.elapsed() < IN_FORCE_TIMEOUT);
}

/// The store is restored from a copy without the nodes' seeds. Starting nodes find peers through
/// them, so they must be stored again within two seconds, also after a second restore.
#[tokio::test]
async fn seeds_are_rewritten_after_a_restore() {
    let scene = start_processes(hosts(3)).await;
    until_seeds(&scene, 3).await;
    for loss in 0..2 {
        scene.store.remove_all(SEEDS);
        scene.store.take_backup();
        until_seeds(&scene, 3).await;
        scene.store.drill(Drill::default()).await;
        let restored_at = Instant::now();
        until_seeds(&scene, 3).await;
        let took = restored_at.elapsed();
        assert!(took < RESTORE_TIMEOUT, "loss {loss}: after {took:?}");
    }
}

/// A request with an idempotency key runs, its caller loses the response, and the store loses the
/// claim. A repeat through another node must not run again; the node can't know the result and
/// answers that the request may have run.
#[tokio::test]
async fn repeat_under_a_lost_claim_runs_once() {
    let scene = start_processes(hosts(3)).await;
    until_seeds(&scene, 3).await;
    scene.store.take_backup();
    assert!(scene.call(0, &post("first", "key")).await.is_success());
    scene.store.drill(Drill::default()).await;
    let result = scene.call(1, &post("second", "key")).await;
    assert_eq!(total_runs(&scene, &["first", "second"]), 1, "{result:?}");
    assert!(result.is_unknown(), "{result:?}");
}

/// A node is paused before the store loses its latest writes and resumes after the store is
/// restored. Its state is from before the loss. Within seconds it must rewrite its seed, and it
/// must not report an older preset than before.
#[tokio::test]
async fn node_paused_during_a_restore_catches_up() {
    let scene = start_processes(hosts(3)).await;
    until_seeds(&scene, 3).await;
    scene.store.remove_all(SEEDS);
    scene.store.take_backup();
    until_seeds(&scene, 3).await;
    let second = activate_and_wait(&scene, 0.2, "second").await;
    scene.process(2).signal(Signal::STOP).expect("paused");
    scene.store.drill(Drill::default()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    scene.process(2).signal(Signal::CONT).expect("resumed");
    until_seeds(&scene, 3).await;
    let status = scene.status(2).await.expect("it runs");
    assert!(status.view.in_force.revision >= second.revision);
}

/// All nodes lose power, and the store is restored with an older preset. The restarted nodes can't
/// know the newer one until the operator writes it again; from then on every node must report it.
#[tokio::test]
async fn preset_written_again_is_in_force_after_a_loss_of_all_nodes() {
    let mut scene = start_processes(hosts(3)).await;
    activate_and_wait(&scene, 0.1, "first").await;
    scene.store.take_backup();
    let second = scene
        .activate_preset(preset(0.2), "second")
        .await
        .expect("accepted");
    for index in 0..3 {
        scene.kill(index).await;
    }
    scene.store.drill(Drill::default()).await;
    for index in 0..3 {
        scene.start_node(index).expect("starts");
    }
    scene.wait_until_joined().await;
    until_revision(&scene, second.revision.0).await;
}

/// The store loses its latest writes twice, some seconds apart, and a node is restarted after each
/// loss. Callers must be served throughout, and no node may return to an older preset.
#[tokio::test]
async fn two_restores_with_restarts_keep_the_preset_and_serve_callers() {
    let mut scene = start_processes(hosts(3)).await;
    let mut newest = activate_and_wait(&scene, 0.1, "first").await;
    for loss in 0..2_u32 {
        until_revision(&scene, newest.revision.0).await;
        scene.store.take_backup();
        let share = 0.2 + f64::from(loss) / 10.0;
        let operator = format!("change-{loss}");
        newest = activate_and_wait(&scene, share, &operator).await;
        scene.store.drill(Drill::default()).await;
        scene.stop(2).await;
        for n in 0..20 {
            let result = scene.call(n % 2, &get(&format!("during-{loss}-{n}"))).await;
            assert!(result.is_success(), "{result:?}");
        }
        scene.start_node(2).expect("starts");
        scene.wait_until_joined().await;
    }
    until_revision(&scene, newest.revision.0).await;
}
