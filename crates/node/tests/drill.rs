//! The store comes back from a copy some seconds old: what was written since is gone, and
//! revisions and leases are given out again.

mod common;

use std::time::Duration;

use common::{Scene, hosts, post, processes, runs};
use mintridge_core::preset::Preset;
use mintridge_standin::scene::wait_for;
use mintridge_standin::store::drill::Drill;
use mintridge_store::keys::SEEDS;
use tokio::time::Instant;

/// A change that was accepted is in force everywhere within this.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
/// Entries are back this long after the store's return.
const BACK_WITHIN: Duration = Duration::from_secs(2);

fn preset(retry_share: f64) -> Preset {
    Preset {
        retry_share,
        ..Preset::default()
    }
}

async fn until_revision(scene: &Scene, revision: u64) {
    scene
        .until("in force", |status| {
            status.view.in_force.revision.0 >= revision
        })
        .await;
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
    let first = scene
        .put_in_force(preset(0.1), "first")
        .await
        .expect("accepted");
    until_revision(&scene, first.revision.0).await;
    scene.store.take_copy();
    let second = scene
        .put_in_force(preset(0.2), "second")
        .await
        .expect("accepted");
    until_revision(&scene, second.revision.0).await;
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
    let first = scene
        .put_in_force(preset(0.1), "first")
        .await
        .expect("accepted");
    until_revision(&scene, first.revision.0).await;
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
