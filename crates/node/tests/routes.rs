//! A routing table in the store takes effect on every node and never reverts to an older version.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{
    Plan, ROUTES, Scene, get, route, start_processes, table, wait_for_reason, wait_for_version,
    write_table,
};
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::outcome::Reason;
use mintridge_core::route::{Route, Table};
use mintridge_standin::store::Faults;

/// Maximum size of a message between the nodes of these tests.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Longer than any test, so that a node that has contacted a peer never counts as isolated and
/// therefore never reads the store for that reason.
const ISOLATED_AFTER: Duration = Duration::from_hours(1);

/// Returns a table with a route for `/` and this many other routes.
fn table_with_others(version: u64, others: u32) -> Table {
    let mut routes = vec![route("/")];
    for index in 0..others {
        let name = index.wrapping_mul(2_654_435_761);
        routes.push(route(&format!("/{name:08x}/")));
    }
    table(version, routes)
}

/// Starts six hosts in one zone: two of their nodes read the store, four get updates from peers.
async fn start_one_zone() -> Scene {
    let plan = Plan {
        services: vec![("service", 6)],
        zones: vec!["zone-a"],
        adjust: |settings| {
            settings.routes.key = Some(String::from(ROUTES));
            settings.control.message_bytes_most = MAX_MESSAGE_BYTES;
            settings.control.isolated_after = ISOLATED_AFTER;
        },
        ..Plan::default()
    };
    start_processes(plan).await
}

/// Operators add 1,900 routes at once, which makes the table longer than a message between nodes
/// may be. It must still reach the four of six nodes that get it only from peers, since it is sent
/// compressed. Callers are served, and a later table replaces it.
#[tokio::test]
async fn table_of_many_routes_reaches_nodes_that_learn_from_peers() {
    let scene = start_one_zone().await;
    write_table(&scene, &table_with_others(1, 0));
    wait_for_version(&scene, 1).await;
    let length = write_table(&scene, &table_with_others(2, 1_900));
    assert!(length > 2 * MAX_MESSAGE_BYTES, "{length}");
    wait_for_version(&scene, 2).await;
    assert!(scene.call(5, &get("request")).await.is_success());
    write_table(&scene, &table_with_others(3, 0));
    wait_for_version(&scene, 3).await;
}

/// The store is restored to an older table, or its table cannot be parsed: every node keeps the
/// version it has, and applies the next higher one.
#[tokio::test]
async fn table_in_force_never_reverts() {
    let scene = start_one_zone().await;
    write_table(&scene, &table_with_others(5, 0));
    wait_for_version(&scene, 5).await;
    write_table(&scene, &table_with_others(4, 0));
    scene.store.overwrite(ROUTES, b"{ not a table");
    for _ in 0..10 {
        wait_for_version(&scene, 5).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    write_table(&scene, &table_with_others(6, 0));
    wait_for_version(&scene, 6).await;
}

/// One route of a table cannot be parsed, because it was written for a newer node. Requests on all
/// other routes are served. Requests on this one are refused as not run with a `Retry-After`, even
/// if a shorter prefix matches, until a version that can be parsed is in force.
#[tokio::test]
async fn table_with_a_closed_route_serves_the_others() {
    let scene = start_one_zone().await;
    let mut partial = table_with_others(1, 0);
    let routes = partial.hosts.values_mut().next().expect("a host");
    routes.push(Route::closed(Arc::from("newer"), Arc::from("/newer/")));
    write_table(&scene, &partial);
    wait_for_version(&scene, 1).await;
    assert!(scene.call(0, &get("served")).await.is_success());
    let call = Call {
        path: String::from("/newer/1"),
        ..get("closed")
    };
    for entry in 0..scene.hosts.len() {
        let reply = scene.call(entry, &call).await;
        let has_retry_after = matches!(
            reply,
            Reply::Refused {
                reason: Reason::Unconfigured,
                retry_after: Some(1),
                ..
            }
        );
        assert!(has_retry_after && reply.is_not_run(), "{reply:?}");
    }
    assert_eq!(scene.runs("closed"), 0);
    write_table(&scene, &table_with_others(2, 0));
    wait_for_version(&scene, 2).await;
    assert!(scene.call(0, &call).await.is_success());
}

/// Guards against a node that has lost touch with the store and tells callers of a route that was
/// added meanwhile that there is none.
#[tokio::test]
async fn missing_route_is_refused_as_unverified_while_the_store_is_down() {
    let scene = start_one_zone().await;
    write_table(&scene, &table(1, vec![route("/known/")]));
    wait_for_version(&scene, 1).await;
    let call = Call {
        path: String::from("/unknown/1"),
        ..get("unknown")
    };
    wait_for_reason(&scene, &call, Reason::NoRoute).await;
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    wait_for_reason(&scene, &call, Reason::Unverified).await;
    scene.store.set_faults(Faults::default());
    wait_for_reason(&scene, &call, Reason::NoRoute).await;
    assert_eq!(scene.runs("unknown"), 0);
}
