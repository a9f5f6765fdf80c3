//! Links between nodes: closing idle ones, and requests on a link that stops responding.

mod common;

use std::time::{Duration, Instant};

use common::{
    ENTRY, Plan, RELAYED, Scene, get, hosts, post_without_key, relayed, start_processes,
    wait_until_relayed_known, with_timeout,
};
use mintridge_standin::relay::Condition;
use mintridge_standin::scene::wait_for;
use mintridge_standin::upstream::Mode;
use tokio::task::JoinSet;

/// Generous limit on each wait for a condition.
const MAX_WAIT: Duration = Duration::from_mins(1);
const LINKS_METRIC: &str = "mintridge_links";
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against open files and memory of a node that grow with the size of the fleet: in a fleet
/// of hundreds of hosts, each node occasionally connects to nearly every other. Idle links must
/// close, and each call must succeed, whether its link is open or has to be opened.
#[tokio::test]
async fn idle_links_are_closed() {
    let close_soon = |settings: &mut mintridge_node::settings::Settings| {
        settings.link.close_after_idle = Duration::from_millis(500);
    };
    let plan = Plan {
        adjust: close_soon,
        ..hosts(6)
    };
    let scene = start_processes(plan).await;
    for number in 0..60 {
        let reply = scene.call(0, &get(&format!("id-{number}"))).await;
        assert!(reply.is_success(), "{reply:?}");
    }
    let deadline = Instant::now() + MAX_WAIT;
    while scene.counter(0, LINKS_METRIC).await < 1.0 {
        assert!(Instant::now() < deadline, "links were never seen open");
        let reply = scene.call(0, &get("id-once-more")).await;
        assert!(reply.is_success(), "{reply:?}");
    }
    while scene.counter(0, LINKS_METRIC).await > 0.0 {
        assert!(Instant::now() < deadline, "links were never closed");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let reply = scene.call(0, &get("id-again")).await;
    assert!(reply.is_success(), "{reply:?}");
}

/// Starts a scene in which the entry's link to the only host has been unresponsive for so long that
/// the link is checked before use.
async fn scene_with_silent_link() -> Scene {
    let (scene, relay) = relayed().await;
    assert!(scene.call(ENTRY, &get("opens-the-link")).await.is_success());
    relay.set(Condition::Silent);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    scene
}

/// Number of requests sent at once on an unresponsive link.
const CONCURRENT_REQUESTS: usize = 60;
/// Time within which each of them must be refused because the host is unreachable: one check of the
/// link and one attempt to open a new one, with a margin for a busy machine.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(4);

/// A host stops responding, and many callers request its service before the failure is detected.
/// All of them must share one check of the link and be refused within about a second. When each
/// made its own check, one after the other, the last of 60 waited for fifteen seconds, and
/// responses that had arrived on that link waited with them.
#[tokio::test]
async fn silent_link_is_checked_once_for_all_waiting_requests() {
    let scene = scene_with_silent_link().await;
    let entry = scene.addresses(ENTRY).callers;
    let mut sent = JoinSet::new();
    for n in 0..CONCURRENT_REQUESTS {
        let caller = scene.caller.clone();
        let call = with_timeout(30_000, get(&format!("id-{n}")));
        sent.spawn(async move { caller.call(entry, &call).await });
    }
    for timed_reply in sent.join_all().await {
        assert!(timed_reply.reply.is_not_run(), "{:?}", timed_reply.reply);
        assert!(
            timed_reply.took < REFUSAL_TIMEOUT,
            "refused after {:?}",
            timed_reply.took
        );
    }
}

/// Guards against an unknown outcome for a request whose deadline passed while its link was being
/// checked.
#[tokio::test]
async fn request_is_not_run_if_its_deadline_passes_during_a_link_check() {
    let scene = scene_with_silent_link().await;
    let reply = scene
        .call(ENTRY, &with_timeout(100, post_without_key("waits")))
        .await;
    assert!(reply.is_not_run(), "{reply:?}");
}

/// Time within which a request with a timeout of three seconds must get the reply that its link was
/// lost. Waiting for a new link, which is unresponsive as well, would take five seconds.
const LINK_LOSS_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Guards against a reply that is delayed beyond the deadline because the entry waits for a new
/// link after it lost the old one.
#[tokio::test]
async fn lost_link_is_reported_by_the_deadline() {
    let (mut scene, relay) = relayed().await;
    let added = scene.add_with("patient", "other", "zone-b", <_>::default(), |settings| {
        settings.link.check_within = MAX_WAIT;
        settings.link.ping_within = Duration::from_secs(2);
    });
    added.await.expect("it starts");
    let entry = scene.hosts.len() - 1;
    wait_until_relayed_known(&scene, entry).await;
    assert!(scene.call(entry, &get("opens-the-link")).await.is_success());
    scene.update_behaviour(RELAYED, |behaviour| behaviour.manner = Mode::Silent);
    let calling = {
        let caller = scene.caller.clone();
        let address = scene.addresses(entry).callers;
        tokio::spawn(async move {
            caller
                .call(address, &with_timeout(3_000, post_without_key("lost")))
                .await
        })
    };
    wait_for("the request runs", || scene.runs("lost") == 1).await;
    relay.set(Condition::Silent);
    let timed_reply = calling.await.expect("the caller lives");
    assert!(timed_reply.reply.is_unknown(), "{:?}", timed_reply.reply);
    assert!(
        timed_reply.took < LINK_LOSS_TIMEOUT,
        "replied after {:?}",
        timed_reply.took
    );
}
