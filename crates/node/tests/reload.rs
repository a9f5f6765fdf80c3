//! Reloading the settings file while the node runs.

mod common;

use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Plan, Scene, get, hosts, post_without_key, start_processes, with_timeout};
use mintridge_node::reload::Changes;
use mintridge_node::settings::Settings;
use mintridge_standin::scene::wait_for;
use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};

const COUNTER_TIMEOUT: Duration = Duration::from_secs(30);

/// Rewrites the settings file of the first node with `old` replaced by `new`.
fn rewrite(scene: &Scene, old: &str, new: &str) {
    let process = scene.process(0);
    let text = process.settings().expect("it is there");
    assert!(text.contains(old), "{old} in {text}");
    process
        .rewrite_settings(&text.replace(old, new))
        .expect("it is written");
}

fn send_sighup(scene: &Scene) {
    scene.process(0).signal(Signal::HUP).expect("it runs");
}

async fn wait_for_reload(scene: &Scene, kind: &str) {
    let counter = format!("mintridge_reloads_total{{kind=\"{kind}\"}}");
    let give_up_at = Instant::now() + COUNTER_TIMEOUT;
    while scene.counter(0, &counter).await < 1.0 {
        assert!(Instant::now() < give_up_at, "never counted: {kind}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An operator changes the settings with or without sending SIGHUP: the node applies the change in
/// both cases and keeps serving callers.
#[rstest]
#[case::with_a_signal(true)]
#[case::without_a_signal(false)]
#[tokio::test]
async fn changed_settings_are_applied(#[case] signalled: bool) {
    let scene = start_processes(hosts(2)).await;
    rewrite(&scene, "\"placements\":3", "\"placements\":2");
    if signalled {
        send_sighup(&scene);
    }
    wait_for_reload(&scene, "taken").await;
    assert!(scene.call(0, &get("after")).await.is_success());
}

/// Failure: the time until the kill changes in the settings file while the node runs. Symptom: the next
/// stop goes by the time of the start, and aborts requests that would end in time. The node need not
/// have read the file since.
#[tokio::test]
async fn stop_uses_the_settings_of_its_time() {
    let scene = start_processes(Plan {
        adjust: |settings| settings.node.stop_within = Duration::from_millis(1_500),
        ..hosts(1)
    })
    .await;
    scene.update_behaviour(0, |behaviour| behaviour.service_micros = 3_000_000);
    let (entry, caller) = (scene.addresses(0).callers, scene.caller.clone());
    let call = with_timeout(60_000, post_without_key("long"));
    let long = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the request runs", || scene.runs("long") == 1).await;
    rewrite(&scene, "\"killed_after\":null", "\"killed_after\":\"5s\"");
    let term = scene.process(0).signal(Signal::TERM);
    term.expect("the signal is sent");
    let reply = long.await.expect("the caller lives");
    assert!(reply.is_success(), "{reply:?}");
}

/// An operator enters an invalid value: the node rejects the file, keeps the settings in force and
/// keeps serving callers. The corrected file is applied.
#[tokio::test]
async fn invalid_settings_are_rejected() {
    let scene = start_processes(hosts(2)).await;
    rewrite(&scene, "\"slots_share\":1.0", "\"slots_share\":7.0");
    send_sighup(&scene);
    wait_for_reload(&scene, "rejected").await;
    assert!(scene.call(0, &get("meanwhile")).await.is_success());
    rewrite(&scene, "\"slots_share\":7.0", "\"slots_share\":0.9");
    send_sighup(&scene);
    wait_for_reload(&scene, "taken").await;
    assert!(scene.call(0, &get("after")).await.is_success());
}

/// A SIGHUP without a change to the file only counts as an unchanged reload.
#[tokio::test]
async fn unchanged_settings_are_counted() {
    let scene = start_processes(hosts(2)).await;
    send_sighup(&scene);
    wait_for_reload(&scene, "unchanged").await;
    assert!(scene.call(0, &get("after")).await.is_success());
}

#[test]
fn between_separates_live_sections_from_others() {
    let old = Settings::default();
    let mut new = old.clone();
    assert_eq!(Changes::between(&old, &new), Changes::default());
    new.retry.placements += 1;
    new.store.timeout *= 2;
    let changes = Changes::between(&old, &new);
    assert_eq!(changes.now, [String::from("retry")].into());
    assert_eq!(changes.at_next_start, [String::from("store")].into());
}

/// Failure: a SIGHUP within milliseconds of the opening of the listeners ends the process.
#[test]
fn hangup_as_soon_as_a_listener_opens_is_handled() {
    for _ in 0..8 {
        let mut settings = Settings::default();
        let free = TcpListener::bind(settings.listeners.callers).expect("a port");
        let callers = free.local_addr().expect("an address");
        drop(free);
        (settings.host, settings.listeners.callers) = (Arc::from("lone"), callers);
        let path = std::env::temp_dir().join(format!("hangup-{}.json", callers.port()));
        std::fs::write(&path, serde_json::to_vec(&settings).expect("text")).expect("written");
        let mut node = Command::new(env!("CARGO_BIN_EXE_mintridge-node"));
        let node = node.arg(&path).stdout(Stdio::null()).spawn();
        let mut node = node.expect("it starts");
        let started_at = Instant::now();
        while TcpStream::connect(callers).is_err() {
            assert!(started_at.elapsed() < Duration::from_secs(30), "no start");
        }
        let pid = Pid::from_child(&node);
        kill_process(pid, Signal::HUP).expect("the signal is sent");
        std::thread::sleep(Duration::from_millis(100));
        let ended = node.try_wait().expect("its state");
        let _ = node.kill().and_then(|()| node.wait());
        let _ = std::fs::remove_file(&path);
        assert_eq!(ended, None, "SIGHUP ended the process");
    }
}
