//! `explain` finds the cause of a failed request from its ID and the logs of real processes alone.

mod common;

use std::path::PathBuf;
use std::time::{Duration, Instant};
use std::{env, fs};

use common::{
    Plan, ROUTES, Scene, add_entry, hosts, post_without_key, start_processes, table, with_timeout,
    write_table,
};
use mintridge_ctl::commands::explain::{self, History};
use mintridge_node::operators::Status;
use mintridge_node::settings::Settings;
use mintridge_standin::upstream::{Behaviour, Mode};

const LOG_TIMEOUT: Duration = Duration::from_secs(30);
/// Index of a node apart from the only host of the service.
const ENTRY: usize = 1;
/// Service time longer than any of these tests.
const ENDLESS_MICROS: u64 = 100_000_000;

/// Makes nodes use the request ID that the caller sends.
fn use_caller_ids(settings: &mut Settings) {
    settings.callers.request_header = Some(String::from("x-request-id"));
}

/// One host with one slot, whose service time is longer than the test.
fn one_slot() -> Plan {
    Plan {
        behaviour: Behaviour {
            service_micros: ENDLESS_MICROS,
            slots: 1,
            ..Behaviour::default()
        },
        adjust: use_caller_ids,
        ..hosts(1)
    }
}

/// Returns the history of a request once the logs of the nodes contain its cause.
async fn wait_for_history(scene: &Scene, request: &str) -> History {
    let timeout_at = Instant::now() + LOG_TIMEOUT;
    loop {
        let files: Vec<PathBuf> = (0..scene.hosts.len())
            .filter(|index| scene.hosts[*index].node.is_some())
            .map(|index| write_logs(scene, index))
            .collect();
        let history = explain::read_history(request, &files);
        for file in files {
            let _ = fs::remove_file(file);
        }
        if let Ok(history) = history
            && !history.cause.is_empty()
        {
            return history;
        }
        assert!(Instant::now() < timeout_at, "the logs contain no cause");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Writes the logs of one node to a file named after its port for callers, which no other node has.
fn write_logs(scene: &Scene, index: usize) -> PathBuf {
    let port = scene.addresses(index).callers.port();
    let path = env::temp_dir().join(format!("mintridge-logs-{port}"));
    fs::write(&path, scene.process(index).logs().join("\n")).expect("written");
    path
}

/// The only slot is taken by a request that will not end before the deadline of the next one, which
/// is refused at once. The logs must show the load that led to the refusal.
#[tokio::test]
async fn history_of_a_refusal_without_a_free_slot() {
    let scene = start_processes(one_slot()).await;
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let first = tokio::spawn(async move { caller.call(entry, &post_without_key("first")).await });
    scene
        .wait_until("the slot is taken", |status| {
            status.guarded.load.in_flight == 1
        })
        .await;
    let reply = scene
        .call(0, &with_timeout(5, post_without_key("refused")))
        .await;
    assert!(reply.is_not_run(), "{reply:?}");
    let history = wait_for_history(&scene, "refused").await;
    assert!(
        history.cause.contains("deadline (503)"),
        "{}",
        history.cause
    );
    let refused = history.events.iter();
    let mut refused = refused.filter(|event| event.message == "refused beside the upstream");
    let refused = refused.next().expect("the guard logs the reason");
    assert!(refused.details.contains("in_flight=1"), "{refused:?}");
    first.abort();
}

/// The node beside the upstream is killed while its upstream works on an unrepeatable request. The
/// request is refused at once with an unknown outcome; the logs of the entry node must show which
/// link broke.
#[tokio::test]
async fn history_of_an_unknown_outcome() {
    let mut scene = start_processes(one_slot()).await;
    add_entry(&mut scene).await;
    scene.wait_until_joined().await;
    let entry = scene.addresses(ENTRY).callers;
    let caller = scene.caller.clone();
    let call = tokio::spawn(async move { caller.call(entry, &post_without_key("lost")).await });
    let is_running = |status: &Status| status.guarded.load.in_flight == 1;
    scene
        .wait_until_on(&[0], "the slot is taken", is_running)
        .await;
    scene.kill(0).await;
    let reply = call.await.expect("the call ends").reply;
    assert!(reply.is_unknown(), "{reply:?}");
    let history = wait_for_history(&scene, "lost").await;
    assert!(
        history.cause.contains("link-lost (502)"),
        "{}",
        history.cause
    );
    assert!(
        history.cause.contains("it may have run"),
        "{}",
        history.cause
    );
    let names_the_link = |event: &explain::Event| event.details.contains("to=service-1");
    assert!(history.events.iter().any(names_the_link), "{history:?}");
}

/// An upstream runs an unrepeatable request and ends it with status 503, which its caller gets as an
/// unknown outcome. The logs must show the status that the upstream sent.
#[tokio::test]
async fn history_of_a_failed_run() {
    let adjust = |settings: &mut Settings| {
        use_caller_ids(settings);
        settings.callers.not_run_statuses = vec![503];
    };
    let scene = start_processes(Plan { adjust, ..hosts(1) }).await;
    scene.update_behaviour(0, |behaviour| behaviour.manner = Mode::FailSlowly);
    let reply = scene.call(0, &post_without_key("failed")).await;
    assert!(reply.is_unknown(), "{reply:?}");
    let history = wait_for_history(&scene, "failed").await;
    assert!(
        history.cause.contains("run-failed (502)") && history.cause.contains("it may have run"),
        "{}",
        history.cause
    );
    let has_the_status = |event: &explain::Event| event.details.contains("upstream_status=503");
    assert!(history.events.iter().any(has_the_status), "{history:?}");
}

/// Operators remove a route, and a caller that still requests it gets a 404. The logs must show the
/// request and the version of the routing table that it was matched against.
#[tokio::test]
async fn history_of_a_removed_route() {
    let adjust = |settings: &mut Settings| {
        use_caller_ids(settings);
        settings.routes.key = Some(String::from(ROUTES));
    };
    let scene = start_processes(Plan { adjust, ..hosts(1) }).await;
    write_table(&scene, &table(7, vec![]));
    scene
        .wait_until("the table is in force", |status| status.routes_version == 7)
        .await;
    let reply = scene.call(0, &post_without_key("gone")).await;
    assert!(reply.is_not_run(), "{reply:?}");
    let history = wait_for_history(&scene, "gone").await;
    assert!(
        history.cause.contains("no-route (404)"),
        "{}",
        history.cause
    );
    let has_the_version = |event: &explain::Event| {
        event.message == "request not taken" && event.details.contains("routes_version=7")
    };
    assert!(history.events.iter().any(has_the_version), "{history:?}");
}
