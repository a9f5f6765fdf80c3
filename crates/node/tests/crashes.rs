//! A request ends each upstream that begins to run it, and its caller sends it again and again.

mod common;

use std::time::{Duration, Instant};

use common::{Account, get, hosts, mixed_load, processes, processes_and_entry, within};
use mintridge_bench::caller::Call;
use mintridge_standin::scene::{Scene, wait_for};
use mintridge_standin::upstream::BYTES;

/// Path of the request that ends upstreams.
const CRASHES: &str = "/crashes";
/// How long the caller goes on.
const SENT_FOR: Duration = Duration::from_secs(12);
/// It does not wait for an answer before it asks another node.
const REPEATED_EVERY: Duration = Duration::from_millis(80);
/// By then every node that can be reached has to know.
const NEWS_SPREAD_WITHIN: Duration = Duration::from_secs(3);

/// Lets the upstreams of these hosts crash on [`CRASHES`].
fn crash(scene: &Scene, count: usize) {
    for index in 0..count {
        scene.behave(index, |behaviour| {
            behaviour.crashes_on = Some(String::from(CRASHES));
        });
    }
}

fn crashing(id: &str) -> Call {
    Call {
        path: String::from(CRASHES),
        ..get(id)
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

/// A caller sends a request that ends each upstream that begins to run it, and sends it again and
/// again, through any node and under a new id each time. Nothing remembered what was in progress
/// when an upstream ended, so each repeat was placed like a request never seen before, and
/// upstreams that had just come back ended again under it. All six upstreams ended within a tenth
/// of a second, and 68 times in twelve seconds.
///
/// What settled it were 68 lines `upstream ended with requests in progress`. One fingerprint stands
/// in all of them, from every host. Another one, of a common request that others sent meanwhile,
/// stands in 17, and load does not: most lines tell of one request in progress.
///
/// Once three upstreams have ended under it and the news has had time to spread, at most three
/// more repeats may reach an upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_ended_three_upstreams_reaches_few_more() {
    let scene = processes(hosts(6)).await;
    crash(&scene, 6);
    let others = mixed_load(&scene, 60.0, SENT_FOR.as_secs_f64());
    let others = tokio::spawn(async move {
        let mut account = Account::default();
        account.run(&others).await;
        account
    });
    let began_at = Instant::now();
    let mut third_end_at = None;
    let mut late = Vec::new();
    let mut repeats = tokio::time::interval(REPEATED_EVERY);
    for n in 0.. {
        repeats.tick().await;
        let now = Instant::now();
        if now > began_at + SENT_FOR {
            break;
        }
        if scene.crashes() >= 3 {
            third_end_at.get_or_insert(now);
        }
        let id = format!("repeat-{n}");
        if third_end_at.is_some_and(|at| now > at + NEWS_SPREAD_WITHIN) {
            late.push(id.clone());
        }
        let caller = scene.caller.clone();
        let entry = scene.addresses(n % 6).callers;
        tokio::spawn(async move { caller.call(entry, &crashing(&id)).await });
    }
    let account = others.await.expect("the load ends");
    account.check(&scene);
    assert!(third_end_at.is_some(), "no three upstreams ended");
    let reached: u32 = late.iter().map(|id| scene.runs(id)).sum();
    assert!(
        reached <= 3,
        "{reached} of {} late repeats reached an upstream, {} ended in all",
        late.len(),
        scene.crashes()
    );
}
