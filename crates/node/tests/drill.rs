//! The store comes back from a copy some seconds old: what was written since is gone, and
//! revisions and leases are given out again.

mod common;

use std::time::Duration;

use common::{Scene, get, hosts, post, preset, processes, runs, until_revision};
use mintridge_core::preset::InForce;
use mintridge_standin::scene::wait_for;
use mintridge_standin::store::drill::Drill;
use mintridge_store::keys::SEEDS;
use rustix::process::Signal;
use tokio::time::Instant;

/// A change that was accepted is in force everywhere within this.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// Entries are back this long after the store's return.
const BACK_WITHIN: Duration = Duration::from_secs(2);

/// An operator puts a preset in force, and every node shows it.
async fn put_in_force(scene: &Scene, retry_share: f64, mark: &str) -> InForce {
    let put = scene.put_in_force(preset(retry_share), mark).await;
    let in_force = put.expect("accepted");
    until_revision(scene, in_force.revision.0).await;
    in_force
}

async fn until_entries(scene: &Scene, count: usize) {
    wait_for("all entries are there", || {
        scene.store.count(SEEDS) == count
    })
    .await;
}

/// An operator puts a preset in force, and the store comes back from before that. No node ever
/// shows the older one, and a node that starts while the store holds it learns the newer one from
/// its peers.
#[tokio::test]
async fn change_accepted_before_the_loss_stays_in_force() {
    let mut scene = processes(hosts(4)).await;
    put_in_force(&scene, 0.1, "first").await;
    scene.store.take_copy();
    let second = put_in_force(&scene, 0.2, "second").await;
    scene.kill(3).await;
    let never = Drill {
        operators_repeat_after: Duration::from_secs(8),
        ..Drill::default()
    };
    scene.store.drill(never).await;
    scene.start_node(3).expect("starts");
    let looked_until = Instant::now() + IN_FORCE_WITHIN;
    while Instant::now() < looked_until {
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

/// Right after the store's return an operator changes the preset. The store gives that change a
/// revision that nodes have seen before, and it is in force everywhere in time all the same.
#[tokio::test]
async fn change_after_the_return_is_in_force() {
    let scene = processes(hosts(3)).await;
    put_in_force(&scene, 0.1, "first").await;
    scene.store.take_copy();
    for n in 0..20 {
        let key = format!("key-{n}");
        assert!(scene.call(n % 3, &post(&key, &key)).await.is_success());
    }
    scene.store.drill(Drill::default()).await;
    let second = scene
        .put_in_force(preset(0.2), "second")
        .await
        .expect("accepted");
    let accepted_at = Instant::now();
    until_revision(&scene, second.revision.0).await;
    assert!(accepted_at.elapsed() < IN_FORCE_WITHIN);
}

/// The store comes back from a copy that was taken before any node had written its entry. Who
/// starts next looks for others there: the entries are back two seconds later, and again after a
/// second loss.
#[tokio::test]
async fn entries_are_back_after_the_return() {
    let scene = processes(hosts(3)).await;
    until_entries(&scene, 3).await;
    for loss in 0..2 {
        scene.store.remove_all(SEEDS);
        scene.store.take_copy();
        until_entries(&scene, 3).await;
        scene.store.drill(Drill::default()).await;
        let returned_at = Instant::now();
        until_entries(&scene, 3).await;
        let took = returned_at.elapsed();
        assert!(took < BACK_WITHIN, "loss {loss}: after {took:?}");
    }
}

/// A request with an idempotency key runs, its caller loses the answer, and the store loses the
/// claim. The caller repeats it through another node: it must not run again, and whoever cannot
/// know says that it may have run.
#[tokio::test]
async fn repeat_of_a_claim_that_was_lost_runs_once() {
    let scene = processes(hosts(3)).await;
    until_entries(&scene, 3).await;
    scene.store.take_copy();
    assert!(scene.call(0, &post("first", "key")).await.is_success());
    scene.store.drill(Drill::default()).await;
    let told = scene.call(1, &post("second", "key")).await;
    assert_eq!(runs(&scene, &["first", "second"]), 1, "{told:?}");
    assert!(told.is_unknown(), "{told:?}");
}

/// A node is paused before the store loses its newest seconds, and wakes after its return. It still
/// believes in its entry and in the preset of before; within seconds its entry is back, and it
/// shows nothing older than it did.
#[tokio::test]
async fn node_that_was_paused_over_the_return_catches_up() {
    let scene = processes(hosts(3)).await;
    until_entries(&scene, 3).await;
    scene.store.remove_all(SEEDS);
    scene.store.take_copy();
    until_entries(&scene, 3).await;
    let second = put_in_force(&scene, 0.2, "second").await;
    scene.process(2).signal(Signal::STOP).expect("paused");
    scene.store.drill(Drill::default()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    scene.process(2).signal(Signal::CONT).expect("woken");
    until_entries(&scene, 3).await;
    let status = scene.status(2).await.expect("it runs");
    assert!(status.view.in_force.revision >= second.revision);
}

/// All nodes lose power while the store is away, and it comes back with an older preset. The
/// fleet that starts knows no better until the operator writes the newer one again; from then on
/// every node shows it.
#[tokio::test]
async fn loss_of_all_nodes_during_the_drill_ends_with_what_was_repeated() {
    let mut scene = processes(hosts(3)).await;
    put_in_force(&scene, 0.1, "first").await;
    scene.store.take_copy();
    let second = scene
        .put_in_force(preset(0.2), "second")
        .await
        .expect("accepted");
    for index in 0..3 {
        scene.kill(index).await;
    }
    scene.store.drill(Drill::default()).await;
    for index in 0..3 {
        scene.start_node(index).expect("starts");
    }
    scene.until_joined().await;
    until_revision(&scene, second.revision.0).await;
}

/// The store loses its newest seconds twice, some seconds apart, and a node is stopped and started
/// in between. Callers are served all the while, and nothing falls back.
#[tokio::test]
async fn two_losses_beside_a_restart_keep_the_preset_and_the_callers() {
    let mut scene = processes(hosts(3)).await;
    let mut newest = put_in_force(&scene, 0.1, "first").await;
    for loss in 0..2_u32 {
        until_revision(&scene, newest.revision.0).await;
        scene.store.take_copy();
        let share = 0.2 + f64::from(loss) / 10.0;
        let mark = format!("change-{loss}");
        newest = put_in_force(&scene, share, &mark).await;
        scene.store.drill(Drill::default()).await;
        scene.stop(2).await;
        for n in 0..20 {
            let told = scene.call(n % 2, &get(&format!("during-{loss}-{n}"))).await;
            assert!(told.is_success(), "{told:?}");
        }
        scene.start_node(2).expect("starts");
        scene.until_joined().await;
    }
    until_revision(&scene, newest.revision.0).await;
}
