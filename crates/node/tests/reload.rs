//! Settings read again while the node runs.

mod common;

use std::time::{Duration, Instant};

use common::{Scene, get, hosts, processes};
use mintridge_node::reload::Changed;
use mintridge_node::settings::Settings;
use rstest::rstest;
use rustix::process::Signal;

const WAIT_MOST: Duration = Duration::from_secs(30);

/// Writes the settings of the first node anew, with one piece of text replaced.
fn rewrite(scene: &Scene, old: &str, new: &str) {
    let process = scene.process(0);
    let text = process.settings().expect("it is there");
    assert!(text.contains(old), "{old} in {text}");
    process
        .rewrite_settings(&text.replace(old, new))
        .expect("it is written");
}

fn hang_up(scene: &Scene) {
    scene.process(0).signal(Signal::HUP).expect("it runs");
}

async fn until_counted(scene: &Scene, kind: &str) {
    let counter = format!("mintridge_reloads_total{{kind=\"{kind}\"}}");
    let give_up_at = Instant::now() + WAIT_MOST;
    while scene.counter(0, &counter).await < 1.0 {
        assert!(Instant::now() < give_up_at, "never counted: {kind}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An operator changes the settings and hangs up, or forgets to: the node takes them all the
/// same, goes on with its requests, and the callers see nothing of it.
#[rstest]
#[case::with_a_signal(true)]
#[case::without_a_signal(false)]
#[tokio::test]
async fn changed_settings_are_taken(#[case] signalled: bool) {
    let scene = processes(hosts(2)).await;
    rewrite(&scene, "\"placements\":3", "\"placements\":2");
    if signalled {
        hang_up(&scene);
    }
    until_counted(&scene, "taken").await;
    assert!(scene.call(0, &get("after")).await.is_success());
}

/// An operator mistypes a value: the node names it, keeps what is in force, and goes on; the
/// corrected file is taken.
#[tokio::test]
async fn wrong_settings_change_nothing() {
    let scene = processes(hosts(2)).await;
    rewrite(&scene, "\"slots_share\":1.0", "\"slots_share\":7.0");
    hang_up(&scene);
    until_counted(&scene, "rejected").await;
    assert!(scene.call(0, &get("meanwhile")).await.is_success());
    rewrite(&scene, "\"slots_share\":7.0", "\"slots_share\":0.9");
    hang_up(&scene);
    until_counted(&scene, "taken").await;
    assert!(scene.call(0, &get("after")).await.is_success());
}

/// A hangup without a change: nothing happens, and the node says so.
#[tokio::test]
async fn unchanged_settings_stay() {
    let scene = processes(hosts(2)).await;
    hang_up(&scene);
    until_counted(&scene, "unchanged").await;
    assert!(scene.call(0, &get("after")).await.is_success());
}

#[test]
fn between_tells_what_changes_now_and_what_later() {
    let old = Settings::default();
    let mut new = old.clone();
    assert_eq!(Changed::between(&old, &new), Changed::default());
    new.retry.placements += 1;
    new.store.timeout *= 2;
    let changed = Changed::between(&old, &new);
    assert_eq!(changed.now, [String::from("retry")].into());
    assert_eq!(changed.at_next_start, [String::from("store")].into());
}
