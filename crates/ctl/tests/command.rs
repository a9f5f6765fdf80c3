//! Output and exit codes of the operators' command.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use mintridge_standin::scene::{Plan, Scene};
use mintridge_standin::store::Faults;
use rstest::rstest;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("mintridge-ctl-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("written");
    path
}

async fn mintridge(store: SocketAddr, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mintridge"));
    command
        .arg("--store")
        .arg(store.to_string())
        .args(arguments);
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.expect("joined").expect("it runs")
}

fn text(output: &Output) -> String {
    let parts = [&output.stdout, &output.stderr];
    parts
        .map(|part| String::from_utf8_lossy(part).into_owned())
        .concat()
}

/// Runs the command, asserts that it succeeds, and returns its output.
async fn run_ok(scene: &Scene, arguments: &[&str]) -> String {
    let output = mintridge(scene.store_address, arguments).await;
    let text = text(&output);
    assert!(output.status.success(), "{arguments:?}: {text}");
    text
}

async fn scene() -> Scene {
    Scene::start(Plan::default())
        .await
        .expect("the scene starts")
}

#[tokio::test]
async fn preset_passes_from_file_to_every_node() {
    let scene = scene().await;
    let path = file(
        "peak.json",
        "{ retry_share: 0.05, // fewer\n leaving: ['service-9'] }",
    );
    let path = path.to_str().expect("text");
    let node = scene.addresses(0).operators.to_string();
    run_ok(&scene, &["preset", "validate", path]).await;
    let written = run_ok(&scene, &["--node", &node, "preset", "put", "peak", path]).await;
    assert!(
        written.contains("service-9"),
        "the unknown host is pointed out: {written}"
    );
    let used = run_ok(
        &scene,
        &[
            "--by", "ana", "--node", &node, "preset", "use", "peak", "--wait", "30",
        ],
    )
    .await;
    assert!(used.contains("in force on 3 of 3 nodes"), "{used}");
    let in_force = run_ok(&scene, &["--json", "preset", "in-force"]).await;
    let in_force: serde_json::Value = serde_json::from_str(&in_force).expect("JSON");
    assert_eq!(in_force["changed_by"], "ana");
    let listed = run_ok(&scene, &["preset", "list"]).await;
    assert!(
        listed.contains("peak") && listed.contains("yes"),
        "{listed}"
    );
    let status = run_ok(&scene, &["--node", &node, "node", "status"]).await;
    assert_eq!(
        status.lines().filter(|line| line.contains("peak")).count(),
        3,
        "{status}"
    );
    let refused = mintridge(scene.store_address, &["preset", "delete", "peak"]).await;
    assert_eq!(refused.status.code(), Some(1), "{}", text(&refused));
}

#[tokio::test]
async fn preset_diff_shows_what_differs() {
    let scene = scene().await;
    let (a, b) = (file("a.json", "{}"), file("b.json", "{ retry_share: 0.3 }"));
    run_ok(&scene, &["preset", "put", "a", a.to_str().expect("text")]).await;
    run_ok(&scene, &["preset", "put", "b", b.to_str().expect("text")]).await;
    let diff = run_ok(&scene, &["preset", "diff", "a", "b"]).await;
    assert!(
        diff.contains("retry_share") && diff.contains("0.1") && diff.contains("0.3"),
        "{diff}"
    );
    assert!(!diff.contains("probe_share"), "{diff}");
}

#[rstest]
#[case::out_of_range(
    "range.json",
    "{ probe_share: 0.5 }",
    "probe_share: 0.5 is outside 0 to 0.05"
)]
#[case::unknown_key("key.json", "{ probe_shar: 0.5 }", "probe_shar")]
#[tokio::test]
async fn preset_validate_names_what_is_wrong(
    #[case] name: &str,
    #[case] contents: &str,
    #[case] message: &str,
) {
    let scene = scene().await;
    let path = file(name, contents);
    let path = path.to_str().expect("text");
    for arguments in [
        vec!["preset", "validate", path],
        vec!["preset", "put", "x", path],
    ] {
        let output = mintridge(scene.store_address, &arguments).await;
        assert_eq!(output.status.code(), Some(2), "{}", text(&output));
        assert!(text(&output).contains(message), "{}", text(&output));
    }
}

/// An operator edits a preset that another operator has changed since it was read. The command must
/// exit with code 3 and not overwrite the other change.
#[tokio::test]
async fn preset_put_with_an_old_revision_is_a_conflict() {
    let scene = scene().await;
    let path = file("edit.json", "{}");
    let path = path.to_str().expect("text");
    run_ok(&scene, &["preset", "put", "x", path]).await;
    run_ok(&scene, &["preset", "put", "x", path]).await;
    let old = mintridge(
        scene.store_address,
        &["preset", "put", "x", path, "--expect", "1"],
    )
    .await;
    assert_eq!(old.status.code(), Some(3), "{}", text(&old));
}

/// The store becomes unavailable after the write took effect and before it can be read back. The
/// command must report an unknown outcome with exit code 4.
#[tokio::test]
async fn preset_use_reports_unknown_outcome_when_the_store_fails() {
    let scene = scene().await;
    let path = file("lost.json", "{}");
    run_ok(
        &scene,
        &["preset", "put", "x", path.to_str().expect("text")],
    )
    .await;
    let store = std::sync::Arc::clone(&scene.store);
    store.set_faults(Faults {
        lose_replies: 1,
        ..Faults::default()
    });
    let writes = store.calls().writes;
    let outage = tokio::spawn(async move {
        let wrote = || store.calls().writes > writes;
        mintridge_standin::scene::wait_for("it wrote", wrote).await;
        store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    });
    let output = mintridge(scene.store_address, &["preset", "use", "x"]).await;
    outage.await.expect("joined");
    assert_eq!(output.status.code(), Some(4), "{}", text(&output));
}

#[tokio::test]
async fn settings_defaults_pass_their_own_check() {
    let scene = scene().await;
    let defaults = run_ok(&scene, &["settings", "defaults"]).await;
    let path = file("defaults.json", &defaults);
    run_ok(&scene, &["settings", "check", path.to_str().expect("text")]).await;
}

#[tokio::test]
async fn node_status_without_a_node_is_an_argument_error() {
    let scene = scene().await;
    let output = mintridge(scene.store_address, &["node", "status"]).await;
    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
}
