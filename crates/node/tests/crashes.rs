//! A request ends each upstream that begins to run it, and its caller sends it again and again.

mod common;

use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    Account, Plan, add_entry, bare_post, get, hosts, mixed_load, processes, processes_and_entry,
    within,
};
use mintridge_bench::caller::{Call, Told};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_node::settings::Settings;
use mintridge_standin::scene::{Scene, wait_for};
use mintridge_standin::upstream::{BYTES, CRASHES};
use rstest::rstest;

/// How long the caller goes on.
const SENT_FOR: Duration = Duration::from_secs(12);
/// It does not wait for an answer before it asks another node.
const REPEATED_EVERY: Duration = Duration::from_millis(80);
/// By then every node that can be reached has to know.
const NEWS_SPREAD_WITHIN: Duration = Duration::from_secs(3);
/// By then what is held back is in the store, if that answers.
const WRITTEN_WITHIN: Duration = Duration::from_secs(3);
/// Generous limit on any wait for a condition.
const WAIT_MOST: Duration = Duration::from_secs(30);

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
    scene.crash_on(Some(CRASHES));
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

/// Guards against blaming requests that an upstream got after its end, before it announced its next start.
#[tokio::test]
async fn end_of_an_upstream_is_told_without_what_its_next_start_got() {
    let scene = processes(hosts(1)).await;
    scene.announce_start(0);
    scene.crash_on(Some(CRASHES));
    scene.behave(0, |behaviour| {
        behaviour.down_millis = 300;
        behaviour.unannounced_millis = 500;
    });
    scene.call(0, &crashing("ends")).await;
    let ends = || lines(&scene, 0, "upstream ended with requests in progress").len();
    wait_for("the end is told", || ends() == 1).await;
    scene.behave(0, |behaviour| behaviour.service_micros = 2_000_000);
    let give_up_at = Instant::now() + WAIT_MOST;
    while scene.runs("after") == 0 {
        assert!(Instant::now() < give_up_at, "it never ran");
        scene.call(0, &within(1_500, get("after"))).await;
    }
    wait_for("the start is announced", || {
        lines(&scene, 0, "upstream announced itself").len() == 2
    })
    .await;
    assert_eq!(ends(), 1);
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
/// more repeats may reach an upstream. Where each is down for longer, no node sees three ends of its
/// own before the others have to know.
#[rstest]
#[case::back_soon(1_000)]
#[case::back_late(3_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_ended_three_upstreams_reaches_few_more(#[case] down_millis: u64) {
    let scene = processes(hosts(6)).await;
    scene.crash_on(Some(CRASHES));
    for index in 0..6 {
        scene.behave(index, |behaviour| behaviour.down_millis = down_millis);
    }
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

/// Sends a request through the nodes of these hosts in turn until it is held back on all of them.
async fn until_held_back(scene: &Scene, entries: &[usize], call: &Call) {
    let give_up_at = Instant::now() + WAIT_MOST;
    let mut refused = 0;
    for n in 0.. {
        assert!(Instant::now() < give_up_at, "never held back");
        let told = scene.call(entries[n % entries.len()], call).await;
        refused = if is_held_back(&told) { refused + 1 } else { 0 };
        if refused >= entries.len() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn is_held_back(told: &Told) -> bool {
    matches!(
        told,
        Told::Refused {
            reason: Reason::Quarantined,
            outcome: Outcome::NotRun,
            ..
        }
    )
}

/// A request with a body, which may not be repeated, ends upstreams. Once it is held back its
/// caller is told that it did not run and when to come back. The same path with another body, and
/// from another client account, is served.
#[rstest]
#[case::short(14)]
#[case::longer_than_is_digested(40_000)]
#[tokio::test]
async fn request_with_another_body_or_account_is_served(#[case] length: usize) {
    let scene = processes(hosts(3)).await;
    scene.crash_on(Some(CRASHES));
    let ends_upstreams = Call {
        path: String::from(CRASHES),
        body: Bytes::from(vec![b'x'; length]),
        ..bare_post("held")
    };
    until_held_back(&scene, &[0, 1, 2], &ends_upstreams).await;
    let crashes = scene.crashes();
    let told = scene.call(0, &ends_upstreams).await;
    assert!(is_held_back(&told), "{told:?}");
    let Told::Refused { retry_after, .. } = told else {
        panic!("not refused");
    };
    assert!(retry_after.is_some_and(|seconds| seconds >= 1));
    scene.crash_on(None);
    let others = [
        Call {
            body: Bytes::from(vec![b'y'; length]),
            ..ends_upstreams.clone()
        },
        Call {
            client_account: String::from("other"),
            ..ends_upstreams.clone()
        },
    ];
    for other in others {
        served_soon(&scene, 0, &other).await;
    }
    assert!(is_held_back(&scene.call(1, &ends_upstreams).await));
    assert_eq!(scene.crashes(), crashes);
}

/// Asks until upstreams that ended are back and trusted.
async fn served_soon(scene: &Scene, entry: usize, call: &Call) {
    let give_up_at = Instant::now() + WAIT_MOST;
    loop {
        let told = scene.call(entry, call).await;
        if told.is_success() {
            return;
        }
        assert!(!is_held_back(&told), "{told:?}");
        assert!(Instant::now() < give_up_at, "never served: {told:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A node starts again, with an empty memory, after a request was held back, and a node joins that
/// was never there. Callers of either are refused as those of all others.
#[tokio::test]
async fn node_that_starts_holds_back_what_the_others_do() {
    let mut scene = processes(hosts(3)).await;
    scene.crash_on(Some(CRASHES));
    until_held_back(&scene, &[0, 1, 2], &crashing("held")).await;
    scene.kill(0).await;
    scene.start_node(0).expect("it starts");
    add_entry(&mut scene).await;
    scene.until_joined().await;
    let crashes = scene.crashes();
    for entry in [0, 3] {
        for n in 0..10 {
            let told = scene.call(entry, &crashing(&format!("late-{n}"))).await;
            assert!(told.is_not_run(), "{told:?}");
        }
    }
    assert_eq!(scene.crashes(), crashes);
}

/// The upstreams are mended while the request is held back. Its trial comes, one upstream answers
/// it, and from then on it is served through all nodes.
#[tokio::test]
async fn request_is_served_again_once_its_trial_is_answered() {
    let adjust = |settings: &mut Settings| {
        settings.quarantine.trial_after = Duration::from_secs(2);
    };
    let scene = processes(Plan { adjust, ..hosts(3) }).await;
    scene.crash_on(Some(CRASHES));
    until_held_back(&scene, &[0, 1, 2], &crashing("held")).await;
    scene.crash_on(None);
    for entry in 0..3 {
        let give_up_at = Instant::now() + WAIT_MOST;
        while !scene.call(entry, &crashing("mended")).await.is_success() {
            assert!(Instant::now() < give_up_at, "never tried");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Trials come due while callers repeat the request through every node: one upstream ends under
/// each, not one for each node.
#[tokio::test]
async fn trial_ends_one_upstream_at_most() {
    let adjust = |settings: &mut Settings| {
        settings.quarantine.trial_after = Duration::from_secs(2);
    };
    let scene = processes(Plan { adjust, ..hosts(4) }).await;
    scene.crash_on(Some(CRASHES));
    until_held_back(&scene, &[0, 1, 2, 3], &crashing("held")).await;
    let crashes = scene.crashes();
    let until = Instant::now() + Duration::from_secs(6);
    for n in 0.. {
        if Instant::now() > until {
            break;
        }
        let entry = scene.addresses(n % 4).callers;
        let caller = scene.caller.clone();
        tokio::spawn(async move { caller.call(entry, &crashing(&format!("repeat-{n}"))).await });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(scene.crashes(), crashes + 1);
}

/// The upstreams of a service are lost together with a request in progress that everybody sends,
/// none of them by its fault. It is served as soon as an upstream is back.
#[tokio::test]
async fn common_request_is_served_after_a_loss_of_all_upstreams() {
    let scene = processes(hosts(4)).await;
    scene.crash_on(Some(CRASHES));
    let mut account = Account::default();
    for n in 0..2 {
        let load = mixed_load(&scene, 100.0, 1.0);
        let callers = tokio::spawn(async move {
            let mut account = Account::default();
            account.run(&load).await;
            account
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
        for entry in 0..4 {
            let caller = scene.caller.clone();
            let entry = scene.addresses(entry).callers;
            let call = crashing(&format!("end-{n}-{entry}"));
            tokio::spawn(async move { caller.call(entry, &call).await });
        }
        callers.await.expect("the load ends").check(&scene);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    account.run(&mixed_load(&scene, 100.0, 2.0)).await;
    account.check(&scene);
    account.all_succeeded();
}

/// All nodes lose power at once while a request is held back, and none is left that knows. Its
/// caller goes on, and no upstream may end under it again: what is held back lasts in the store.
#[tokio::test]
async fn hold_outlives_a_loss_of_all_nodes() {
    let mut scene = processes(hosts(3)).await;
    scene.crash_on(Some(CRASHES));
    until_held_back(&scene, &[0, 1, 2], &crashing("held")).await;
    tokio::time::sleep(WRITTEN_WITHIN).await;
    let crashes = scene.crashes();
    for index in 0..3 {
        scene.kill(index).await;
    }
    for index in 0..3 {
        scene.start_node(index).expect("it starts");
    }
    scene.until_joined().await;
    for n in 0..30 {
        let told = scene.call(n % 3, &crashing(&format!("after-{n}"))).await;
        assert!(told.is_not_run(), "{told:?}");
    }
    assert_eq!(scene.crashes(), crashes);
}
