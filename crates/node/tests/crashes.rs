//! A request ends each upstream that begins to run it, and its caller sends it again and again.

mod common;

use common::{get, hosts, processes, processes_and_entry, within};
use mintridge_bench::caller::Call;
use mintridge_standin::scene::{Scene, wait_for};
use mintridge_standin::upstream::BYTES;

/// Path of the request that ends upstreams.
const CRASHES: &str = "/crashes";

/// Lets the upstreams of these hosts crash on [`CRASHES`].
fn crash(scene: &Scene, count: usize) {
    for index in 0..count {
        scene.behave(index, |behaviour| {
            behaviour.crashes_on = Some(String::from(CRASHES));
        });
    }
}

/// Lines of a node's log that say this.
fn lines(scene: &Scene, index: usize, message: &str) -> Vec<String> {
    let logs = scene.process(index).logs();
    let found = logs.into_iter().filter(|line| line.contains(message));
    found.collect()
}

/// An upstream crashes while it works on three requests. The log of the node beside it names all
/// three by what repeats of them share, so that the same request is found under the next upstream
/// that ends.
#[tokio::test]
async fn end_of_an_upstream_is_told_with_all_that_it_had_in_progress() {
    let scene = processes_and_entry(1).await;
    crash(&scene, 1);
    scene.behave(0, |behaviour| behaviour.service_micros = 500_000);
    let entry = scene.addresses(1).callers;
    let calls = ["/a", "/b", CRASHES].map(|path| Call {
        path: path.to_owned(),
        ..within(20_000, get(path))
    });
    let asked = calls.map(|call| {
        let caller = scene.caller.clone();
        tokio::spawn(async move { caller.call(entry, &call).await.told })
    });
    for call in asked {
        assert!(call.await.expect("the caller lives").is_unknown());
    }
    let told = || lines(&scene, 0, "upstream ended with requests in progress");
    wait_for("it is told", || !told().is_empty()).await;
    let told = told();
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].contains(r#""in_progress":3"#), "{told:?}");
    let ends = scene.counter(0, "mintridge_upstream_ends_total").await;
    assert!((ends - 1.0).abs() < f64::EPSILON, "{ends}");
}

/// An upstream breaks answers off and goes on: nothing says that it ended.
#[tokio::test]
async fn broken_answer_of_an_upstream_that_lives_is_no_end() {
    let scene = processes(hosts(1)).await;
    common::all_behave(&scene, mintridge_standin::upstream::Manner::BreakAnswers);
    let broken = Call {
        path: format!("{BYTES}1000"),
        ..get("broken")
    };
    assert!(!scene.call(0, &broken).await.is_success());
    common::all_behave(&scene, mintridge_standin::upstream::Manner::Serve);
    assert!(scene.call(0, &get("last")).await.is_success());
    assert!(lines(&scene, 0, "upstream ended").is_empty());
}
