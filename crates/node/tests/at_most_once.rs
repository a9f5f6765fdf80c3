//! An unrepeatable request runs at most once, and a refusal as "not run" is true.

mod common;

use std::time::Duration;

use common::{
    Plan, get, hosts, post, post_without_key, start_processes, start_processes_with_entry,
    total_runs, with_timeout,
};
use hyper::StatusCode;
use mintridge_bench::caller::{Call, Reply};
use mintridge_core::outcome::{Outcome, Reason};
use mintridge_standin::scene::{Scene, wait_for};
use mintridge_standin::store::Faults;
use mintridge_standin::upstream::{Mode, STATUS};
use mintridge_store::keys::{CLAIMS, SEEDS};
use rstest::rstest;
use rustix::process::Signal;

/// The caller loses the answer to its request and repeats it with the same key through another
/// node. The repeat must not run; it is refused with an unknown outcome.
#[tokio::test]
async fn repeat_after_answer_is_refused_as_unknown() {
    let scene = start_processes(hosts(3)).await;
    assert!(scene.call(0, &post("first", "key")).await.is_success());
    let reply = scene.call(1, &post("second", "key")).await;
    assert!(reply.is_unknown(), "{reply:?}");
    assert_eq!(total_runs(&scene, &["first", "second"]), 1);
}

/// Requests with the same key arrive at all nodes at the same moment; only one may run.
#[tokio::test]
async fn repeat_at_the_same_moment_runs_once() {
    let scene = start_processes(hosts(3)).await;
    for round in 0..10 {
        let key = format!("key-{round}");
        let ids: Vec<String> = (0..3).map(|n| format!("{key}-{n}")).collect();
        let calls: Vec<_> = ids.iter().map(|id| post(id, &key)).collect();
        let (a, b, c) = tokio::join!(
            scene.call(0, &calls[0]),
            scene.call(1, &calls[1]),
            scene.call(2, &calls[2])
        );
        let successes = [a, b, c].iter().filter(|reply| reply.is_success()).count();
        assert_eq!(successes, 1);
        let ran: u32 = ids.iter().map(|id| scene.runs(id)).sum();
        assert_eq!(ran, 1);
    }
}

/// The node beside the upstream is killed while the request runs, and replaced by one without
/// state. The request and its repeat through another node are both refused with an unknown outcome,
/// and the repeat does not run.
#[tokio::test]
async fn repeat_after_guard_is_killed_runs_once() {
    let mut scene = start_processes_with_entry(1).await;
    scene.update_behaviour(0, |behaviour| behaviour.manner = Mode::Silent);
    let entry = scene.addresses(1).callers;
    let caller = scene.caller.clone();
    let first = tokio::spawn(async move { caller.call(entry, &post("first", "key")).await.reply });
    wait_for("the request runs", || scene.runs("first") == 1).await;
    scene.kill(0).await;
    let reply = first.await.expect("the caller lives");
    assert!(reply.is_unknown(), "{reply:?}");
    scene.update_behaviour(0, |behaviour| behaviour.manner = Mode::Serve);
    scene.start_node(0).expect("starts");
    scene.wait_until_joined().await;
    let reply = retry_while_not_run(&scene, 1, "second", "key").await;
    assert!(reply.is_unknown(), "{reply:?}");
    assert_eq!(total_runs(&scene, &["first", "second"]), 1);
}

/// The node beside the upstream is killed while the request runs, and another host offers the same
/// service. The entry must not retry an unrepeatable request there.
#[rstest]
#[case::with_a_key(post("first", "key"))]
#[case::without_a_key(post_without_key("first"))]
#[tokio::test]
async fn killed_guard_is_not_followed_by_another_host(#[case] call: Call) {
    let mut scene = start_processes_with_entry(2).await;
    common::set_all_modes(&scene, Mode::Silent);
    let entry = scene.addresses(2).callers;
    let caller = scene.caller.clone();
    let first = tokio::spawn(async move { caller.call(entry, &call).await.reply });
    wait_for("the request runs", || scene.runs("first") == 1).await;
    let runs_on = |index: usize| scene.hosts[index].upstream.counts().requests > 0;
    let killed = usize::from(!runs_on(0));
    scene.kill(killed).await;
    let reply = first.await.expect("the caller lives");
    assert!(reply.is_unknown(), "{reply:?}");
    assert_eq!(scene.runs("first"), 1);
}

/// Repeats the request until it is no longer refused as not run, which it is while the nodes are
/// still discovering each other.
async fn retry_while_not_run(
    scene: &mintridge_standin::scene::Scene,
    index: usize,
    id: &str,
    key: &str,
) -> Reply {
    loop {
        let reply = scene.call(index, &post(id, key)).await;
        if !reply.is_not_run() {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The entry node is killed while the request runs. The caller's connection breaks, and its repeat
/// through another node must not run.
#[tokio::test]
async fn repeat_after_entry_is_killed_runs_once() {
    let mut scene = start_processes(hosts(3)).await;
    for index in 0..3 {
        scene.update_behaviour(index, |behaviour| behaviour.service_micros = 300_000);
    }
    let entry = scene.addresses(0).callers;
    let caller = scene.caller.clone();
    let first = tokio::spawn(async move { caller.call(entry, &post("first", "key")).await.reply });
    wait_for("the request runs", || scene.runs("first") == 1).await;
    scene.kill(0).await;
    assert!(matches!(first.await, Ok(Reply::Broken { .. })));
    let reply = scene.call(1, &post("second", "key")).await;
    assert!(reply.is_unknown(), "{reply:?}");
    assert_eq!(total_runs(&scene, &["first", "second"]), 1);
}

/// The node beside the upstream is paused while it waits for the store, and resumed after the
/// caller's deadline. The caller is answered by its deadline, that answer stays true after the node
/// has resumed, and with a repeat under the same key there is at most one run.
#[tokio::test]
async fn guard_paused_before_sending_runs_nothing_after_the_deadline() {
    let scene = start_processes_with_entry(1).await;
    scene.store.set_faults(Faults {
        slow_millis: 300,
        ..Faults::default()
    });
    let entry = scene.addresses(1).callers;
    let caller = scene.caller.clone();
    let call = with_timeout(1_000, post("first", "key"));
    let first = tokio::spawn(async move { caller.call(entry, &call).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    scene.process(0).signal(Signal::STOP).expect("paused");
    let timed_reply = first.await.expect("the caller lives");
    assert!(timed_reply.reply.is_unknown(), "{:?}", timed_reply.reply);
    assert!(
        timed_reply.took < Duration::from_secs(4),
        "{:?}",
        timed_reply.took
    );
    scene.store.set_faults(Faults::default());
    scene.process(0).signal(Signal::CONT).expect("resumed");
    let reply = retry_while_not_run(&scene, 1, "second", "key").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        scene.runs("first"),
        0,
        "its deadline had passed before the node resumed"
    );
    assert!(total_runs(&scene, &["first", "second"]) <= 1, "{reply:?}");
}

/// The store is unavailable. A request with a key is refused at once as not run, with a retry
/// delay, and runs when the store is available again. Requests without a key are served meanwhile.
#[tokio::test]
async fn store_outage_refuses_keyed_requests_as_not_run() {
    let scene = start_processes(hosts(3)).await;
    scene.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let reply = scene.call(0, &post("first", "key")).await;
    let Reply::Refused {
        outcome,
        reason,
        retry_after,
        ..
    } = reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!(
        (outcome, reason),
        (Outcome::NotRun, Reason::StoreUnavailable)
    );
    assert!(retry_after.is_some());
    assert_eq!(scene.runs("first"), 0);
    assert!(scene.call(0, &common::get("lookup")).await.is_success());
    assert!(
        scene
            .call(0, &post_without_key("keyless"))
            .await
            .is_success()
    );
    scene.store.set_faults(Faults::default());
    assert!(scene.call(0, &post("first", "key")).await.is_success());
    assert_eq!(scene.runs("first"), 1);
}

/// The claim takes effect in the store, but the reply is lost or says that the store is not
/// available. The node reads the owner of the key back, and the request runs once.
#[rstest]
#[case::lost(Faults { lose_replies: 1, ..Faults::default() })]
#[case::denied(Faults { deny_writes: 1, ..Faults::default() })]
#[tokio::test]
async fn store_reply_lost_runs_once(#[case] faults: Faults) {
    let scene = start_processes(hosts(3)).await;
    scene.store.set_faults(faults);
    let reply = scene.call(0, &post("first", "key")).await;
    assert!(reply.is_success(), "{reply:?}");
    let reply = scene.call(1, &post("second", "key")).await;
    assert!(reply.is_unknown(), "{reply:?}");
    assert_eq!(total_runs(&scene, &["first", "second"]), 1);
}

/// The claim takes effect only after the node has abandoned it. The request was refused as not run,
/// which must stay true, and its repeat runs at most once.
#[tokio::test]
async fn store_write_applied_late_runs_nothing_twice() {
    let scene = start_processes(hosts(3)).await;
    // The fault hits the next write of any kind, so the nodes must have written their seeds before
    // the claim. Each host is the only one in its zone, so each node writes one.
    wait_for("all seeds are written", || scene.store.count(SEEDS) == 3).await;
    scene.store.set_faults(Faults {
        late_writes: 1,
        late_millis: 1_500,
        ..Faults::default()
    });
    let reply = scene.call(0, &post("first", "key")).await;
    assert!(reply.is_not_run(), "{reply:?}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    scene.call(1, &post("second", "key")).await;
    assert_eq!(scene.runs("first"), 0);
    assert!(scene.runs("second") <= 1);
}

/// The upstream runs the request and never answers. The request is refused with an unknown outcome
/// at its deadline, and is not retried on another host.
#[tokio::test]
async fn silent_upstream_is_not_retried() {
    let scene = start_processes(hosts(3)).await;
    common::set_all_modes(&scene, Mode::Silent);
    for call in [post("keyed", "key"), post_without_key("keyless")] {
        let call = with_timeout(500, call);
        let timed_reply = scene.caller.call(scene.addresses(0).callers, &call).await;
        assert!(timed_reply.reply.is_unknown(), "{:?}", timed_reply.reply);
        assert!(
            timed_reply.took < Duration::from_secs(3),
            "{:?}",
            timed_reply.took
        );
        assert_eq!(scene.runs(&call.id), 1);
    }
}

/// Ends the upstream of the first host and waits until its listener is closed. Before that a
/// connection is accepted and reset, and the node cannot know whether a request on it has run.
async fn end_first_upstream(scene: &Scene) {
    let address = scene.hosts[0].upstream_address;
    scene.end_upstream(0);
    let refused = || std::net::TcpStream::connect(address).is_err();
    wait_for("connections are refused", refused).await;
}

/// The upstream refuses connections, so the request has not run, and another host runs it under the
/// claim that the request already holds.
#[tokio::test]
async fn unreachable_upstream_fails_over_to_another_host() {
    let scene = start_processes(hosts(2)).await;
    end_first_upstream(&scene).await;
    for round in 0..6 {
        let id = format!("id-{round}");
        let reply = scene.call(0, &post(&id, &id)).await;
        assert!(reply.is_success(), "{reply:?}");
        assert_eq!(scene.runs(&id), 1);
    }
}

/// Every upstream refuses connections. The request is refused as not run and its claim is released,
/// so that the caller's repeat runs when an upstream is available again.
#[tokio::test]
async fn refused_everywhere_releases_the_claim() {
    let scene = start_processes(hosts(1)).await;
    end_first_upstream(&scene).await;
    let reply = scene.call(0, &post("first", "key")).await;
    assert!(reply.is_not_run(), "{reply:?}");
    wait_for("the claim is released", || scene.store.count(CLAIMS) == 0).await;
    let listener = tokio::net::TcpListener::bind(scene.hosts[0].upstream_address)
        .await
        .expect("binds again");
    let phase = tokio::sync::watch::Sender::new(mintridge_http::server::Phase::Open);
    let upstream = std::sync::Arc::clone(&scene.hosts[0].upstream);
    tokio::spawn(mintridge_standin::upstream::run(
        listener,
        upstream,
        phase.subscribe(),
    ));
    let reply = retry_while_not_run(&scene, 0, "second", "key").await;
    assert!(reply.is_success(), "{reply:?}");
    assert_eq!(total_runs(&scene, &["first", "second"]), 1);
}

/// A repeatable request runs and fails on a first host; the second refuses it before it runs, or
/// there is none. Guards against a refusal as "not run", which would be false: the caller gets the
/// upstream's own response or an unknown outcome.
#[rstest]
#[case::second_refuses(true)]
#[case::none_left(false)]
#[tokio::test]
async fn not_run_stays_true_after_a_first_attempt_that_ran(#[case] second_refuses: bool) {
    let scene = start_processes(hosts(2)).await;
    common::set_all_modes(&scene, Mode::FailSlowly);
    if second_refuses {
        scene.end_upstream(1);
    }
    let mut ran = 0;
    for n in 0..12 {
        let id = format!("id-{n}");
        let reply = scene.call(0, &common::get(&id)).await;
        ran += scene.runs(&id);
        assert!(
            !reply.is_not_run() || scene.runs(&id) == 0,
            "{id}: {reply:?}"
        );
    }
    assert!(ran > 0, "some ran");
}

/// Plan of one host whose callers take these statuses as a promise that a request has not run.
fn promises_by_status() -> Plan {
    Plan {
        adjust: |settings| settings.callers.not_run_statuses = vec![408, 421, 429, 503],
        ..hosts(1)
    }
}

/// An upstream runs a non-idempotent request and ends it with a status that promises that it has not
/// run. Guards against a caller that repeats the request because it got that status.
#[rstest]
#[case::unavailable(post_without_key("run"), 503, 100)]
#[case::unavailable_streamed(post_without_key("run"), 503, 200_000)]
#[case::with_a_key(post("run", "key"), 503, 100)]
#[case::too_many_requests(post_without_key("run"), 429, 100)]
#[case::timeout(post_without_key("run"), 408, 100)]
#[case::misdirected(post_without_key("run"), 421, 100)]
#[tokio::test]
async fn run_that_ends_with_a_promise_is_refused_as_unknown(
    #[case] call: Call,
    #[case] status: u16,
    #[case] body_bytes: usize,
) {
    let scene = start_processes(promises_by_status()).await;
    let call = Call {
        path: format!("{STATUS}{status}/{body_bytes}"),
        ..call
    };
    let reply = scene.call(0, &call).await;
    assert_eq!(
        reply,
        Reply::Refused {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            reason: Reason::RunFailed,
            retry_after: None,
        }
    );
    assert_eq!(scene.runs("run"), 1);
    let repeat = scene
        .call(
            0,
            &Call {
                id: "repeat".to_owned(),
                ..call.clone()
            },
        )
        .await;
    assert!(repeat.is_unknown(), "{repeat:?}");
    let repeats_run = u32::from(call.key.is_none());
    assert_eq!(scene.runs("repeat"), repeats_run);
}

/// Guards against hiding a status that promises nothing, or that a repeatable request may get, since
/// its caller may repeat it in any case.
#[rstest]
#[case::repeatable(get("run"), 503)]
#[case::server_error(post_without_key("run"), 500)]
#[case::not_found(post_without_key("run"), 404)]
#[tokio::test]
async fn run_that_ends_with_another_status_keeps_it(#[case] call: Call, #[case] status: u16) {
    let scene = start_processes(promises_by_status()).await;
    let call = Call {
        path: format!("{STATUS}{status}/100"),
        ..call
    };
    let reply = scene.call(0, &call).await;
    let Reply::Answer {
        status: found,
        body,
        ..
    } = &reply
    else {
        panic!("{reply:?}");
    };
    assert_eq!((found.as_u16(), body.len()), (status, 100));
    assert_eq!(scene.runs("run"), 1);
}
