//! Links between nodes: how many stay open.

mod common;

use std::time::{Duration, Instant};

use common::{
    BEHIND, ENTRY, Plan, Scene, bare_post, get, hosts, processes, relayed, until_known_behind,
    within,
};
use mintridge_standin::relay::Condition;
use mintridge_standin::scene::wait_for;
use mintridge_standin::upstream::Manner;
use tokio::task::JoinSet;

/// Generous limit on any wait for a condition.
const WAIT_MOST: Duration = Duration::from_mins(1);
const LINKS: &str = "mintridge_links";
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// In a fleet of hundreds each node meets nearly every other now and then. What callers see: each
/// call is answered, on a link that is open or a new one. Links at rest are closed, so that open
/// files and memory of a node do not follow the size of the fleet.
#[tokio::test]
async fn links_close_after_they_were_idle() {
    let close_soon = |settings: &mut mintridge_node::settings::Settings| {
        settings.link.close_after_idle = Duration::from_millis(500);
    };
    let plan = Plan {
        adjust: close_soon,
        ..hosts(6)
    };
    let scene = processes(plan).await;
    for number in 0..60 {
        let told = scene.call(0, &get(&format!("id-{number}"))).await;
        assert!(told.is_success(), "{told:?}");
    }
    let give_up_at = Instant::now() + WAIT_MOST;
    while scene.counter(0, LINKS).await < 1.0 {
        assert!(Instant::now() < give_up_at, "links were never seen open");
        let told = scene.call(0, &get("id-once-more")).await;
        assert!(told.is_success(), "{told:?}");
    }
    while scene.counter(0, LINKS).await > 0.0 {
        assert!(Instant::now() < give_up_at, "links were never closed");
        tokio::time::sleep(LOOK_EVERY).await;
    }
    let told = scene.call(0, &get("id-again")).await;
    assert!(told.is_success(), "{told:?}");
}

/// An entry whose link to the only host has fallen silent, for so long that it is checked before use.
async fn silent_for_long() -> Scene {
    let (scene, relay) = relayed().await;
    assert!(scene.call(ENTRY, &get("opens-the-link")).await.is_success());
    relay.set(Condition::Silent);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    scene
}

/// Requests sent at once on a link that has fallen silent.
const AT_ONCE: usize = 60;
/// Time in which each is told that the host cannot be reached: one check of the link and one
/// attempt at a new one, with room for a busy machine.
const TOLD_WITHIN: Duration = Duration::from_secs(4);

/// A host falls silent, and many callers ask for its service before anybody knows. What they see:
/// a refusal within a second or so. They wait for one and the same check of the link; while each
/// made a check of its own, one after the other, the last of 60 waited for fifteen seconds, and
/// answers that had come on that link waited with them.
#[tokio::test]
async fn silent_link_is_checked_once_for_all_who_wait() {
    let scene = silent_for_long().await;
    let entry = scene.addresses(ENTRY).callers;
    let mut sent = JoinSet::new();
    for n in 0..AT_ONCE {
        let caller = scene.caller.clone();
        let call = within(30_000, get(&format!("id-{n}")));
        sent.spawn(async move { caller.call(entry, &call).await });
    }
    for heard in sent.join_all().await {
        assert!(heard.told.is_not_run(), "{:?}", heard.told);
        assert!(heard.took < TOLD_WITHIN, "told after {:?}", heard.took);
    }
}

/// Guards against "may have run" for a request that met its deadline while its link was checked.
#[tokio::test]
async fn silent_link_is_not_run_for_who_met_its_deadline_waiting() {
    let scene = silent_for_long().await;
    let told = scene.call(ENTRY, &within(100, bare_post("waits"))).await;
    assert!(told.is_not_run(), "{told:?}");
}

/// Time in which a request with three seconds is told that its link was lost; a new link that falls
/// silent as well takes five.
const LOST_TOLD_WITHIN: Duration = Duration::from_millis(4_500);

/// Guards against an answer that waits beyond its deadline for a new link after the old one was lost.
#[tokio::test]
async fn lost_link_is_told_at_the_deadline() {
    let (mut scene, relay) = relayed().await;
    let patient = scene.add_with("patient", "other", "zone-b", <_>::default(), |settings| {
        settings.link.check_within = WAIT_MOST;
        settings.link.ping_within = Duration::from_secs(2);
    });
    patient.await.expect("it starts");
    let entry = scene.hosts.len() - 1;
    until_known_behind(&scene, entry).await;
    assert!(scene.call(entry, &get("opens-the-link")).await.is_success());
    scene.behave(BEHIND, |behaviour| behaviour.manner = Manner::Silent);
    let asking = {
        let caller = scene.caller.clone();
        let address = scene.addresses(entry).callers;
        tokio::spawn(async move {
            caller
                .call(address, &within(3_000, bare_post("lost")))
                .await
        })
    };
    wait_for("the request runs", || scene.runs("lost") == 1).await;
    relay.set(Condition::Silent);
    let heard = asking.await.expect("the caller lives");
    assert!(heard.told.is_unknown(), "{:?}", heard.told);
    assert!(heard.took < LOST_TOLD_WITHIN, "told after {:?}", heard.took);
}
