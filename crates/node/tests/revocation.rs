//! Keys are used only while the routing table is known to have been the newest recently, and are
//! refused at no node that the store answers, directly or through peers.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Plan, ROUTES, Scene, get, route, start_processes, start_threads, table};
use mintridge_bench::caller::Reply;
use mintridge_core::outcome::Reason;
use mintridge_http::problem;
use mintridge_node::operators::Status;
use mintridge_standin::relay::{Condition, Relay};
use mintridge_standin::scene::{RunningNode, loopback};
use mintridge_standin::store::Faults;
use mintridge_standin::store::drill::Drill;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;

/// The bound that the specification names.
const BOUND: Duration = Duration::from_secs(5);
/// Time by which no proof of before it counts any more, with some for the node to look.
const LAPSED: Duration = Duration::from_millis(4_700);

/// Starts hosts of one zone with a routing table; each node reaches the store through its relay.
async fn start_with_relays(count: usize) -> (Scene, Vec<Arc<Relay>>) {
    let plan = Plan {
        services: vec![],
        adjust: |settings| {
            settings.routes.key = Some(String::from(ROUTES));
            settings.accounts.revoked_within = Some(BOUND);
        },
        ..Plan::default()
    };
    let mut scene = start_processes(plan).await;
    let mut relays = Vec::new();
    for index in 0..count {
        let relay = Arc::new(Relay::default());
        let (listener, address) = loopback().await.expect("a free port");
        tokio::spawn(Arc::clone(&relay).run(listener, scene.store_address));
        relays.push(relay);
        let name = format!("service-{index}");
        let added = scene.add_with(&name, "service", "zone-a", <_>::default(), |settings| {
            settings.store.address = address;
        });
        added.await.expect("it starts");
    }
    scene.wait_until_joined().await;
    write(&scene, 1);
    for index in 0..count {
        wait_for(&scene, index, None).await;
    }
    (scene, relays)
}

/// Writes a table with an account, a route that needs its key and one that needs none.
fn write(scene: &Scene, version: u64) {
    let mut anonymous = route("/anonymous");
    anonymous.anonymous = true;
    let listed = table(version, vec![route("/"), anonymous]);
    let mut document = serde_json::to_value(listed).expect("it is serialized");
    document["client_accounts"] = json!([{"name": "account", "keys": ["key-1"]}]);
    scene
        .store
        .overwrite(ROUTES, document.to_string().as_bytes());
}

/// Sends a request with a key; returns why it was refused.
async fn send_key(scene: &Scene, index: usize, path: &str) -> Option<Reason> {
    let mut call = get("with-key");
    call.path = path.to_owned();
    let address = scene.addresses(index).callers;
    let headers = [("authorization", "Bearer key-1")];
    let response = scene.caller.send(address, &call, &headers).await;
    let response = response.expect("the node answers");
    let refusal = problem::read(Instant::now(), response.headers());
    refusal.map(|refusal| refusal.reason)
}

/// Waits until requests with a key are refused for this reason, or accepted.
async fn wait_for(scene: &Scene, index: usize, reason: Option<Reason>) {
    let give_up_at = Instant::now() + Duration::from_secs(30);
    loop {
        let last = send_key(scene, index, "/").await;
        if last == reason {
            return;
        }
        assert!(Instant::now() < give_up_at, "{last:?}, awaited {reason:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn signal(scene: &Scene, index: usize, signal: Signal) {
    let sent = scene.process(index).signal(signal);
    sent.expect("it gets the signal");
}

/// Guards against a key that a node still uses after it was paused for longer than the bound, and
/// against requests without a key that are refused there.
#[tokio::test]
async fn paused_node_refuses_keys_until_it_is_confirmed_again() {
    let (scene, relays) = start_with_relays(2).await;
    signal(&scene, 0, Signal::STOP);
    write(&scene, 2);
    tokio::time::sleep(LAPSED).await;
    // Neither the store nor the peer can confirm the table before the requests arrive.
    relays[0].set(Condition::Silent);
    signal(&scene, 1, Signal::STOP);
    signal(&scene, 0, Signal::CONT);
    assert_eq!(send_key(&scene, 0, "/").await, Some(Reason::Unverified));
    let anonymous = send_key(&scene, 0, "/anonymous").await;
    assert_ne!(anonymous, Some(Reason::Unverified));
    let mut without_key = get("without-key");
    without_key.path = String::from("/anonymous");
    let without_key = scene.call(0, &without_key).await;
    let is_unverified = matches!(
        without_key,
        Reply::Refused {
            reason: Reason::Unverified,
            ..
        }
    );
    assert!(!is_unverified, "{without_key:?}");
    signal(&scene, 1, Signal::CONT);
    wait_for(&scene, 0, None).await;
    let status = scene.status(0).await.expect("it answers");
    assert_eq!(status.routes_version, 2);
}

/// Guards against a node that refuses keys because the store does not answer it, while its peers
/// reach the store; and against nodes that accept keys once no node reaches it.
#[rstest]
#[case::silent(Condition::Silent)]
#[case::cut(Condition::Cut)]
#[tokio::test]
async fn keys_are_accepted_while_any_peer_reaches_the_store(#[case] condition: Condition) {
    let (scene, relays) = start_with_relays(4).await;
    for relay in &relays[..3] {
        relay.set(condition);
    }
    let until = Instant::now() + BOUND * 2;
    while Instant::now() < until {
        for index in 0..4 {
            assert_eq!(send_key(&scene, index, "/").await, None, "node {index}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    relays[3].set(condition);
    tokio::time::sleep(LAPSED).await;
    for index in 0..4 {
        let refused = send_key(&scene, index, "/").await;
        assert_eq!(refused, Some(Reason::Unverified), "node {index}");
        let count = scene
            .counter(index, "mintridge_unconfirmed_keys_total")
            .await;
        assert!(count >= 1.0, "node {index}");
    }
}

/// Guards against keys that are refused, or an older table that comes back, after the store was
/// restored from a copy without the newest table.
#[tokio::test]
async fn keys_are_accepted_when_the_store_is_restored() {
    let (scene, _relays) = start_with_relays(3).await;
    scene.store.take_backup();
    write(&scene, 2);
    let is_newest = |status: &Status| status.routes_version == 2;
    scene
        .wait_until("the newest table is in force", is_newest)
        .await;
    scene.store.drill(Drill::default()).await;
    let until = Instant::now() + BOUND + LAPSED;
    while Instant::now() < until {
        for index in 0..3 {
            assert_eq!(send_key(&scene, index, "/").await, None, "node {index}");
            let status = scene.status(index).await.expect("it answers");
            assert_eq!(status.routes_version, 2, "node {index}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a bound that applies where the settings name none, and against a proof that
/// counts for longer than nine tenths of it.
#[rstest]
#[case::unset(None, true)]
#[case::set(Some(BOUND), false)]
#[tokio::test]
async fn may_use_keys_depends_on_the_bound(#[case] bound: Option<Duration>, #[case] later: bool) {
    let plan = Plan {
        services: vec![],
        adjust: |settings| settings.routes.key = Some(String::from(ROUTES)),
        ..Plan::default()
    };
    let mut scene = start_threads(plan).await;
    write(&scene, 1);
    let added = scene.add_with(
        "service-0",
        "service",
        "zone-a",
        <_>::default(),
        |settings| {
            settings.accounts.revoked_within = bound;
        },
    );
    added.await.expect("it starts");
    wait_for(&scene, 0, None).await;
    let Some(RunningNode::Threads(node)) = &scene.hosts[0].node else {
        panic!("the node is not a thread");
    };
    // The store fails, so that no later proof replaces the one of before.
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let now = Instant::now();
    assert!(node.context().may_use_keys(now));
    assert_eq!(node.context().may_use_keys(now + LAPSED), later);
}
